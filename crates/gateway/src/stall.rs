//! Waits for callers that do not take their answers.

use std::time::Duration;

use base::Name;
use cadence::prelude::*;
use ntex::io::IoRef;

use crate::worker::Worker;

/// First and longest time between two checks whether a caller has taken what was sent to it.
const FIRST_CHECK: Duration = Duration::from_millis(5);
const LONGEST_CHECK: Duration = Duration::from_millis(160);

/// Waits until a caller has taken all of the answer to `request` that was passed on but what fits into the buffer of
/// its socket: the system may hold more than that. Terminates the connection of the caller that has
/// taken nothing for longest if there are too many such ones.
pub(crate) async fn wait_until_taken(worker: &Worker, io: &IoRef, request: &str) {
    // A connection whose socket has room writes in the same turn of the thread.
    tokio::task::yield_now().await;
    let room = worker.context.settings.resources.socket_buffer_bytes();
    let has_room = || worker.connections.untaken_bytes(io) <= room;
    if has_room() {
        return;
    }
    let (_stalled, terminated) = worker.stalled.begin(io, &Name::from(request));
    if let Some(terminated) = terminated {
        log_terminated(worker, &terminated);
    }
    let mut pause = FIRST_CHECK;
    while !has_room() {
        tokio::time::sleep(pause).await;
        pause = (2 * pause).min(LONGEST_CHECK);
    }
}

fn log_terminated(worker: &Worker, request: &str) {
    let context = &worker.context;
    context.metrics.incr("stalled_terminated").ok();
    let now = context.now();
    let Some(left_out) = context.refusal_log_sampler().allow(now) else { return };
    tracing::info!(
        unit = "accept",
        event = "stalled_terminated",
        request,
        stalled = worker.stalled.count(),
        limit = "resources.memory_mb",
        left_out = (left_out > 0).then_some(left_out),
    );
}
