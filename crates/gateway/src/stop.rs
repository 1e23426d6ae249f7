//! Drains the router when it stops.

use std::sync::Arc;
use std::time::Duration;

use admit::{LINGER_MS, OpenCounts, StopCycle, StopPlan, StopSettings, StopStep};
use base::Millis;
use inbound::QueuedSocket;

use crate::context::{GatewayContext, millis};
use crate::report::CallEnd;
use crate::serve;
use crate::settings::GatewaySettings;
use crate::signals::MAX_NOTICED_MS;

/// Callers may use an address response for this many times its lease.
const USABLE_LEASES: f64 = 3.0;
/// The process exits this long before it would be killed, in milliseconds.
const EXIT_MARGIN_MS: u64 = 500;
/// Requests without a response are answered this long before the exit at the latest, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 200;
/// Part of the time until the kill before which no request is given up for the silence of its target.
const PATIENT_PART: f64 = 5.0 / 6.0;
/// Longest time between the platform's SIGTERM and its arrival for which nothing is lost, in
/// milliseconds.
const SIGNAL_DELAY_MS: u64 = 1_000;
/// The process ends this long before it would be killed, whatever it does. It has tried to exit by
/// itself before.
const FORCED_EXIT_MARGIN: Duration = Duration::from_millis(100);
/// Requests that are open are cut this long after the exit time, in milliseconds, if the exit itself is
/// late: then nothing has counted them.
const CUT_DELAY_MS: Millis = 200;
/// Longest time for which the exit waits until requests that it cuts are reported.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);
const REPORT_POLL_PERIOD: Duration = Duration::from_millis(5);
/// Most lines on requests that the end of a drain finds open, and on connections that it leaves.
const MAX_OPEN_LINES: usize = 64;
/// Least time between two lines on the progress of a drain, in milliseconds.
const PROGRESS_PERIOD_MS: Millis = 1_000;

/// Returns the time after the signal at which a process ends that has not stopped by itself.
pub(crate) fn forced_exit_limit(settings: &GatewaySettings) -> Duration {
    let kill = Duration::from_millis(millis(settings.bounds.stop_s));
    kill.saturating_sub(FORCED_EXIT_MARGIN)
}

/// Starts the stop if its signal has come, and ends requests when the plan says so. Both threads call
/// it, so that neither depends on the other for what it accepts.
pub(crate) fn check_signal(context: &GatewayContext) {
    let now = context.now();
    context.signal_watch.check(now);
    let Some(plan) = context.stop_plan() else { return };
    if plan.is_ended(now) {
        end_silent_calls(context, plan);
    }
    if plan.exit_in_ms(now.saturating_sub(CUT_DELAY_MS)) == 0 {
        context.exiting.cancel();
    }
}

/// Returns the plan of a stop whose signal had not been sent at `unsignalled_at`.
pub(crate) fn plan_stop(settings: &GatewaySettings, unsignalled_at: Millis) -> StopPlan {
    let settings = StopSettings {
        notice_ms: millis(serve::ADDRESS_LEASE_S * USABLE_LEASES),
        kill_ms: millis(settings.bounds.stop_s),
        exit_margin_ms: EXIT_MARGIN_MS,
        answer_margin_ms: ANSWER_MARGIN_MS,
        give_up_ms: millis(settings.bounds.stop_s * PATIENT_PART) + MAX_NOTICED_MS,
        signal_delay_ms: SIGNAL_DELAY_MS,
        linger_ms: LINGER_MS,
    };
    StopPlan::new(unsignalled_at, &settings)
}

/// Drains the router by its plan. It is withdrawn from address responses, reports that it is not
/// ready, and accepts only requests that time out before they would be cut. It exits once none is
/// open and callers have had time to move to other routers.
pub(crate) async fn drain(context: &Arc<GatewayContext>, plan: StopPlan) {
    let unsignalled_at = plan.unsignalled_at();
    let noticed_ms = context.now().saturating_sub(unsignalled_at);
    tracing::info!(unit = "run", event = "drain", open = context.open_calls(), noticed_ms);
    let mut cycle = StopCycle::new(plan);
    let mut is_notice_over = false;
    let mut reported_at = context.now();
    let mut open = OpenCounts::default();
    loop {
        check_signal(context);
        if context.now() >= reported_at + PROGRESS_PERIOD_MS {
            reported_at = context.now();
            log_progress(context, unsignalled_at, open.queued);
        }
        if plan.is_notice_over(context.now()) {
            if !is_notice_over {
                let after_ms = context.now().saturating_sub(unsignalled_at);
                let open = context.open_calls();
                tracing::info!(unit = "run", event = "notice_ended", after_ms, open);
            }
            is_notice_over = true;
        }
        let listen = context.settings.listen.callers;
        let step;
        (step, open) = context.open.counter.step(&mut cycle, &context.clock, listen).await;
        match step {
            StopStep::Wait => {}
            StopStep::Close => {
                context.close();
                let after_ms = context.now().saturating_sub(unsignalled_at);
                tracing::info!(unit = "run", event = "closed", after_ms);
            }
            StopStep::Exit => break,
        }
    }
    let took_ms = context.now().saturating_sub(unsignalled_at);
    log_drained(context, took_ms, open);
}

/// Logs what the drain did and what it leaves: a warning if that is anything that a caller waits for.
fn log_drained(context: &GatewayContext, took_ms: Millis, open: OpenCounts) {
    let (cut, ends) = (context.open_calls(), &context.open);
    let OpenCounts { connections, queued, .. } = open;
    let shown_queued = match ends.counter.knows_queues() {
        true => queued.to_string(),
        false => "unknown".into(),
    };
    let broken = ends.stop_ends(CallEnd::Broken);
    let broken_by = (broken > 0).then(|| ends.stop_broken.to_string());
    macro_rules! log_at {
        ($level:ident) => {
            tracing::$level!(
                unit = "run",
                event = "drained",
                took_ms,
                cut,
                connections,
                queued = %shown_queued,
                broken,
                broken_by,
                left = ends.stop_ends(CallEnd::Left),
                timed_out = ends.stop_ends(CallEnd::Cut),
                lines_dropped = base::dropped_log_lines(),
                answered = ends.stop_ends(CallEnd::Answered),
                refused = ends.stop_ends(CallEnd::Refused),
            )
        };
    }
    if cut == 0 && connections == 0 && queued == 0 {
        log_at!(info);
        return;
    }
    log_at!(warn);
    let sockets = QueuedSocket::list(context.settings.listen.callers).unwrap_or_else(|cause| {
        tracing::warn!(unit = "run", event = "queues_not_read", %cause);
        Vec::new()
    });
    for QueuedSocket { peer, unread, unacknowledged } in sockets.into_iter().take(MAX_OPEN_LINES) {
        tracing::warn!(unit = "run", event = "left_queued", %peer, unread, unacknowledged);
    }
}

/// Answers the requests without a response, after all that are open were named, once.
fn end_silent_calls(context: &GatewayContext, plan: StopPlan) {
    context.open.end_log.get_or_init(|| log_open_calls(context, plan.unsignalled_at()));
    context.ending.cancel();
}

/// Names the requests that are open at the end of a drain: a process that is killed before its exit
/// reports none of them.
fn log_open_calls(context: &GatewayContext, unsignalled_at: Millis) {
    let now = context.now();
    for (request, started_at) in context.open.oldest_calls(MAX_OPEN_LINES) {
        tracing::warn!(
            unit = "run",
            event = "still_open",
            %request,
            age_ms = now.saturating_sub(started_at),
            after_signal_ms = started_at.checked_sub(unsignalled_at),
        );
    }
}

fn log_progress(context: &GatewayContext, unsignalled_at: Millis, queued: usize) {
    let now = context.now();
    let after_ms = now.saturating_sub(unsignalled_at);
    let oldest = context.open.oldest_call();
    tracing::info!(
        unit = "run",
        event = "draining",
        after_ms,
        open = context.open_calls(),
        unwritten = context.open.unwritten_connections(),
        queued,
        oldest = oldest.as_ref().map(|(request, _)| &**request),
        oldest_ms = oldest.as_ref().map(|(_, started_at)| now.saturating_sub(*started_at)),
    );
}

/// Ends the requests that are open at the exit, and waits until they are reported.
pub(crate) async fn cut_open_calls(context: &GatewayContext) {
    context.exiting.cancel();
    let reporting = async {
        while context.open.unreported_calls() > 0 {
            tokio::time::sleep(REPORT_POLL_PERIOD).await;
        }
    };
    if tokio::time::timeout(REPORT_TIMEOUT, reporting).await.is_err() {
        let unreported = context.open.unreported_calls();
        tracing::warn!(unit = "run", event = "not_reported", unreported);
    }
}
