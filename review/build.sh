#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts. Needs rustc only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-standins review/main.rs
