#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/cases-3.rs -o target/review-3/cases-3
