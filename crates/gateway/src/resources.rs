//! Measures what the process holds: memory, descriptors, connections, requests
//! and bytes held for them.

use std::fs;
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;

use crate::cold::log_warm_targets;
use crate::context::GatewayContext;
use crate::downtime::update_unanswered;
use crate::view::expire_domains;

/// Time between two samples.
const SAMPLE_PERIOD: Duration = Duration::from_secs(1);
/// Size of a memory page on the supported platforms, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Logs what the process holds, and updates the gauges, until it stops.
pub(crate) async fn sample_resources(context: Arc<GatewayContext>) {
    while !context.shutdown.is_cancelled() {
        log_sample(&context);
        update_unanswered(&context);
        log_warm_targets(&context);
        tokio::time::sleep(SAMPLE_PERIOD).await;
    }
}

fn log_sample(context: &GatewayContext) {
    expire_domains(context);
    let resident_bytes = resident_bytes();
    let descriptors = open_descriptors();
    let connections = context.open_connections();
    let calls = context.open_calls();
    let held_bytes = context.memory().used();
    let is_saturated = context.accept_policy().is_saturated();
    let lines_dropped = base::dropped_log_lines();
    tracing::info!(
        unit = "resources",
        event = "sampled",
        resident_bytes,
        descriptors,
        connections,
        calls,
        held_bytes,
        is_saturated,
        lines_dropped,
    );
    let limited_targets = context.limits().limited_targets();
    let cold_targets = context.limits().cold_targets(context.now());
    let gauges = [
        ("resident_bytes", resident_bytes),
        ("descriptors", descriptors),
        ("caller_connections", Some(connections as u64)),
        ("open_calls", Some(calls as u64)),
        ("held_bytes", Some(held_bytes as u64)),
        ("saturated", Some(u64::from(is_saturated))),
        ("limited_targets", Some(limited_targets as u64)),
        ("cold_targets", Some(cold_targets as u64)),
        ("log_lines_dropped", Some(lines_dropped as u64)),
        ("evacuated_domains", Some(context.targets().evacuated_domains(context.now()) as u64)),
    ];
    for (name, value) in gauges {
        if let Some(value) = value {
            context.metrics.gauge(name, value).ok();
        }
    }
}

/// Returns the resident memory of the process, if the platform reports it.
fn resident_bytes() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Returns the number of descriptors in use, if the platform reports it.
fn open_descriptors() -> Option<u64> {
    Some(fs::read_dir("/proc/self/fd").ok()?.count() as u64)
}
