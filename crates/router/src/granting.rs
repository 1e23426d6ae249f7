//! Reports this router's demand to each service's grantor and sends out what
//! it grants itself.

use std::sync::Arc;
use std::time::Duration;

use base::{Millis, Name};
use share::{Push, Report, ReportUrgency};

use crate::client::PeerClient;
use crate::context::RouterContext;
use crate::core::RouterCore;

/// Time between two passes without a change, in milliseconds.
const TICK_MS: u64 = 100;
/// Time between two reports without a change, in milliseconds.
const REPORT_PERIOD: Millis = 1_000;
/// Age of a change that can wait at which it is reported, in milliseconds.
const LAZY_PERIOD: Millis = 300;

/// Runs until the process stops.
pub(crate) async fn run_granting(context: Arc<RouterContext>, peers: PeerClient) {
    loop {
        tokio::select! {
            () = context.demand_changed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(TICK_MS)) => {}
            () = context.stop.cancelled() => return,
        }
        let services: Vec<Name> = context.core().desks.keys().cloned().collect();
        for service in services {
            if let Some((grantor, report)) = plan_report(&context, &service) {
                ntex::rt::spawn(send_report(Arc::clone(&context), peers.clone(), grantor, report));
            }
            send_pushes(&context, &peers, &service);
        }
    }
}

/// The report to send now and its receiver; a report to this router itself is
/// taken in at once.
fn plan_report(context: &Arc<RouterContext>, service: &Name) -> Option<(Name, Report)> {
    let now = context.now();
    let mut core = context.core();
    let grantor = core.grantor_of(service, now);
    let is_own = grantor == context.settings.instance;
    let origin = if is_own {
        Some(context.origin.clone())
    } else {
        core.members.peer(&grantor).and_then(|(_, origin)| origin.cloned())
    };
    let origin = origin?;
    let desk = core.desks.get_mut(service)?;
    if desk.grantor != grantor {
        let old = std::mem::replace(&mut desk.grantor, Name::clone(&grantor));
        tracing::info!(unit = "granting", event = "grantor", %service, %grantor, over = %old);
    }
    let age = now.saturating_sub(desk.reported_at);
    let is_needed = match desk.book.urgency() {
        ReportUrgency::Now => true,
        ReportUrgency::Soon => age >= LAZY_PERIOD,
        ReportUrgency::Never => age >= REPORT_PERIOD,
    };
    if is_own {
        if is_needed {
            desk.reported_at = now;
            let report = desk.book.build_report(&origin, now);
            report_to_self(&mut core, report, now);
        } else {
            core.pump(service, None, now);
        }
        return None;
    }
    if desk.reporting || !is_needed {
        return None;
    }
    desk.reporting = true;
    desk.reported_at = now;
    Some((grantor, desk.book.build_report(&origin, now)))
}

/// Tells every peer this router's totals; the gossip baseline's task.
pub(crate) async fn run_gossip(context: Arc<RouterContext>, peers: PeerClient) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(REPORT_PERIOD)) => {}
            () = context.stop.cancelled() => return,
        }
        let now = context.now();
        let (names, reports) = {
            let core = context.core();
            let reports = core.desks.values().map(|desk| desk.book.build_gossip_report(now));
            (core.members.alive(now), reports.collect::<Vec<Report>>())
        };
        for name in names.into_iter().filter(|name| *name != context.settings.instance) {
            for report in reports.clone() {
                let (context, peers, name) = (Arc::clone(&context), peers.clone(), name.clone());
                ntex::rt::spawn(async move {
                    let sent: Result<Push, _> = peers.tell(&name, "report", &report).await;
                    if sent.is_err() {
                        context.core().members.record_failure(&name, context.now());
                    }
                });
            }
        }
    }
}

fn report_to_self(core: &mut RouterCore, report: Report, now: Millis) {
    if let Some(push) = core.receive_report(report, now) {
        core.receive_push(push, now);
    }
}

async fn send_report(
    context: Arc<RouterContext>,
    peers: PeerClient,
    grantor: Name,
    report: Report,
) {
    let sent: Result<Push, _> = peers.tell(&grantor, "report", &report).await;
    let now = context.now();
    let mut core = context.core();
    if let Some(desk) = core.desks.get_mut(&report.service) {
        desk.reporting = false;
    }
    match sent {
        Ok(push) => core.receive_push(push, now),
        Err(cause) => {
            tracing::info!(unit = "granting", event = "report_failed", %cause);
            core.members.record_failure(&grantor, now);
            if let Some(desk) = core.desks.get_mut(&report.service) {
                desk.book.report_failed();
            }
        }
    }
    drop(core);
    context.demand_changed.notify_one();
}

/// Starts a push to each router for which grants wait, one at a time each.
fn send_pushes(context: &Arc<RouterContext>, peers: &PeerClient, service: &Name) {
    let mut core = context.core();
    let Some(desk) = core.desks.get(service) else { return };
    for router in desk.ledger.routers_to_push() {
        let slot = (Name::clone(service), Name::clone(&router));
        if router == context.settings.instance || core.pushing.contains(&slot) {
            continue;
        }
        let Some(desk) = core.desks.get_mut(service) else { return };
        let Some(push) = desk.ledger.take_push(&router) else { continue };
        core.pushing.insert(slot);
        ntex::rt::spawn(send_push(Arc::clone(context), peers.clone(), router, push));
    }
}

async fn send_push(context: Arc<RouterContext>, peers: PeerClient, router: Name, push: Push) {
    let sent: Result<(), _> = peers.tell(&router, "push", &push).await;
    let now = context.now();
    let mut core = context.core();
    core.pushing.remove(&(Name::clone(&push.service), Name::clone(&router)));
    if let Err(cause) = sent {
        tracing::info!(unit = "granting", event = "push_failed", %cause);
        core.members.record_failure(&router, now);
        if let Some(desk) = core.desks.get_mut(&push.service) {
            desk.ledger.mark_unreachable(&router);
        }
    }
    drop(core);
    context.demand_changed.notify_one();
}
