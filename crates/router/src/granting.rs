//! Reports this router's demand to the grantor of each service, and pushes the
//! grants that it issues as grantor.

use std::sync::Arc;
use std::time::Duration;

use base::{Millis, Name};
use share::{DemandReport, GrantPush, ReportUrgency};

use crate::client::PeerClient;
use crate::context::RouterContext;
use crate::core::RouterCore;

/// Interval between passes while nothing changes, in milliseconds.
const TICK_MS: u64 = 100;
/// Interval between reports while nothing changes, in milliseconds.
const REPORT_PERIOD: Millis = 1_000;
/// Minimum interval between reports of changes that are not urgent, in
/// milliseconds.
const DEFERRED_REPORT_PERIOD: Millis = 300;

/// Sends reports and pushes until the process stops.
pub(crate) async fn run_granting(context: Arc<RouterContext>, peers: PeerClient) {
    loop {
        tokio::select! {
            () = context.demand_changed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(TICK_MS)) => {}
            () = context.stop.cancelled() => return,
        }
        let services: Vec<Name> = context.core().services.keys().cloned().collect();
        for service in services {
            if let Some((grantor, report)) = plan_report(&context, &service) {
                ntex::rt::spawn(send_report(Arc::clone(&context), peers.clone(), grantor, report));
            }
            send_pushes(&context, &peers, &service);
        }
    }
}

/// Returns the report to send now and the grantor to send it to, or `None` if
/// no message is needed. If this router is the grantor itself, applies its
/// report at once.
fn plan_report(context: &Arc<RouterContext>, service: &Name) -> Option<(Name, DemandReport)> {
    let now = context.now();
    let mut core = context.core();
    let grantor = core.grantor_of(service, now);
    let is_self = grantor == context.settings.instance;
    let origin = if is_self {
        Some(context.origin.clone())
    } else {
        core.members.peer(&grantor).and_then(|(_, origin)| origin.cloned())
    };
    let origin = origin?;
    let state = core.services.get_mut(service)?;
    if state.grantor != grantor {
        let old = std::mem::replace(&mut state.grantor, Name::clone(&grantor));
        tracing::info!(unit = "granting", event = "grantor", %service, %grantor, over = %old);
    }
    let age = now.saturating_sub(state.reported_at);
    let is_needed = match state.demand.urgency() {
        ReportUrgency::Now => true,
        ReportUrgency::Soon => age >= DEFERRED_REPORT_PERIOD,
        ReportUrgency::Routine => age >= REPORT_PERIOD,
    };
    if is_self {
        if is_needed {
            state.reported_at = now;
            let report = state.demand.build_report(&origin, now);
            report_to_self(&mut core, report, now);
        } else {
            core.issue_grants(service, None, now);
        }
        return None;
    }
    if state.report_in_flight || !is_needed {
        return None;
    }
    state.report_in_flight = true;
    state.reported_at = now;
    Some((grantor, state.demand.build_report(&origin, now)))
}

/// Sends this router's totals to every peer until the process stops. Used only
/// in the gossip mode, which exists for comparison in benchmarks.
pub(crate) async fn run_gossip(context: Arc<RouterContext>, peers: PeerClient) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(REPORT_PERIOD)) => {}
            () = context.stop.cancelled() => return,
        }
        let now = context.now();
        let (names, reports) = {
            let core = context.core();
            let reports = core.services.values().map(|state| state.demand.build_gossip_report(now));
            (core.members.alive(now), reports.collect::<Vec<DemandReport>>())
        };
        for name in names.into_iter().filter(|name| *name != context.settings.instance) {
            for report in reports.clone() {
                let (context, peers, name) = (Arc::clone(&context), peers.clone(), name.clone());
                ntex::rt::spawn(async move {
                    let sent: Result<GrantPush, _> = peers.send(&name, "report", &report).await;
                    if sent.is_err() {
                        context.core().members.record_failure(&name, context.now());
                    }
                });
            }
        }
    }
}

fn report_to_self(core: &mut RouterCore, report: DemandReport, now: Millis) {
    if let Some(push) = core.receive_report(report, now) {
        core.receive_push(push, now);
    }
}

async fn send_report(
    context: Arc<RouterContext>,
    peers: PeerClient,
    grantor: Name,
    report: DemandReport,
) {
    let sent: Result<GrantPush, _> = peers.send(&grantor, "report", &report).await;
    let now = context.now();
    let mut core = context.core();
    if let Some(state) = core.services.get_mut(&report.service) {
        state.report_in_flight = false;
    }
    match sent {
        Ok(push) => core.receive_push(push, now),
        Err(cause) => {
            tracing::info!(unit = "granting", event = "report_failed", %cause);
            core.members.record_failure(&grantor, now);
            if let Some(state) = core.services.get_mut(&report.service) {
                state.demand.record_report_failure();
            }
        }
    }
    drop(core);
    context.demand_changed.notify_one();
}

/// Starts a push to each router that has grants to receive, with at most one
/// push in flight for each router.
fn send_pushes(context: &Arc<RouterContext>, peers: &PeerClient, service: &Name) {
    let mut core = context.core();
    let Some(state) = core.services.get(service) else { return };
    for router in state.allocator.routers_to_push() {
        let push_key = (Name::clone(service), Name::clone(&router));
        if router == context.settings.instance || core.pushes_in_flight.contains(&push_key) {
            continue;
        }
        let Some(state) = core.services.get_mut(service) else { return };
        let Some(push) = state.allocator.take_push(&router) else { continue };
        core.pushes_in_flight.insert(push_key);
        ntex::rt::spawn(send_push(Arc::clone(context), peers.clone(), router, push));
    }
}

async fn send_push(context: Arc<RouterContext>, peers: PeerClient, router: Name, push: GrantPush) {
    let sent: Result<(), _> = peers.send(&router, "push", &push).await;
    let now = context.now();
    let mut core = context.core();
    core.pushes_in_flight.remove(&(Name::clone(&push.service), Name::clone(&router)));
    if let Err(cause) = sent {
        tracing::info!(unit = "granting", event = "push_failed", %cause);
        core.members.record_failure(&router, now);
        if let Some(state) = core.services.get_mut(&push.service) {
            state.allocator.mark_unreachable(&router);
        }
    }
    drop(core);
    context.demand_changed.notify_one();
}
