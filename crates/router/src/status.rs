//! The status that operators read.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use base::{Millis, Name};
use fleet::PeerStatus;
use serde::Serialize;

use crate::context::RouterContext;

#[derive(Serialize)]
pub(crate) struct RouterStatus {
    instance: Name,
    incarnation: u64,
    domain: Name,
    up_ms: Millis,
    draining: bool,
    revision: u64,
    revision_age_ms: Option<Millis>,
    /// The last document that was refused, and why.
    last_refusal: Option<String>,
    members: Vec<MemberStatus>,
    services: BTreeMap<Name, ServiceStatus>,
    open_requests: usize,
    control_bytes: u64,
    control_messages: u64,
    control_cpu_ms: u64,
}

#[derive(Serialize)]
struct MemberStatus {
    instance: Name,
    standing: &'static str,
    age_ms: Option<Millis>,
}

#[derive(Serialize)]
struct ServiceStatus {
    grantor: Name,
    waiting: usize,
    in_progress: usize,
    floats: usize,
    waits_ms: WaitStatus,
    /// Filled at the service's grantor only.
    granted: Option<GrantorStatus>,
}

/// Milliseconds that requests waited for a slot here since the start.
#[derive(Serialize)]
struct WaitStatus {
    count: u64,
    p50: u64,
    p95: u64,
    p99: u64,
}

#[derive(Serialize)]
struct GrantorStatus {
    used: u32,
    free: u32,
    /// Waiting requests by account over the fleet.
    waiting: BTreeMap<Name, u32>,
    /// Cost over weight by account, in cost units.
    virtual_cost: BTreeMap<Name, f64>,
    targets: BTreeMap<Name, String>,
}

/// Collects the status now.
pub(crate) fn status_of(context: &RouterContext) -> RouterStatus {
    let now = context.now();
    let mut guard = context.core();
    let core = &mut *guard;
    let own = &context.settings.instance;
    let member = |view: fleet::MemberView| MemberStatus {
        instance: view.name,
        standing: standing_name(view.status),
        age_ms: view.age,
    };
    let members = core.members.views(now).into_iter().map(member).collect();
    let mut services = BTreeMap::new();
    for (name, desk) in &mut core.desks {
        let granted = (desk.grantor == *own).then(|| GrantorStatus {
            used: desk.ledger.used(),
            free: desk.ledger.free(now),
            waiting: desk.ledger.waiting_by_account(),
            virtual_cost: desk.ledger.virtual_costs().into_iter().collect(),
            targets: desk.ledger.target_states(now).into_iter().collect(),
        });
        let status = ServiceStatus {
            grantor: Name::clone(&desk.grantor),
            waiting: desk.book.waiting(),
            in_progress: desk.book.in_progress(),
            floats: desk.book.spare_grants(),
            waits_ms: WaitStatus {
                count: desk.waits_ms.len(),
                p50: desk.waits_ms.value_at_quantile(0.5),
                p95: desk.waits_ms.value_at_quantile(0.95),
                p99: desk.waits_ms.value_at_quantile(0.99),
            },
            granted,
        };
        services.insert(Name::clone(name), status);
    }
    let force = core.force.as_ref();
    RouterStatus {
        instance: Name::clone(own),
        incarnation: context.origin.incarnation,
        domain: Name::clone(&context.settings.domain),
        up_ms: now,
        draining: core.draining,
        revision: core.gate.revision(),
        revision_age_ms: force.map(|force| now.saturating_sub(force.since)),
        last_refusal: core.last_refusal.clone(),
        members,
        services,
        open_requests: core.open_requests,
        control_bytes: context.control_bytes.load(Ordering::Relaxed),
        control_messages: context.control_messages.load(Ordering::Relaxed),
        control_cpu_ms: context.control_cpu_ms(),
    }
}

fn standing_name(standing: PeerStatus) -> &'static str {
    match standing {
        PeerStatus::Alive => "alive",
        PeerStatus::Suspect => "suspect",
        PeerStatus::Gone => "gone",
        PeerStatus::Draining => "draining",
    }
}
