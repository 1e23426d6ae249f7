//! The status report for operators.

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
    /// The last document that was refused, and the reason.
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
    /// Time since the last message from the member itself, in milliseconds.
    age_ms: Option<Millis>,
}

#[derive(Serialize)]
struct ServiceStatus {
    grantor: Name,
    waiting: usize,
    in_progress: usize,
    /// Number of spare grants that this router holds.
    floats: usize,
    waits_ms: WaitStatus,
    /// `None` unless this router is the service's grantor.
    granted: Option<GrantorStatus>,
}

/// Times that requests waited for a slot at this router since its start, in
/// milliseconds.
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
    /// Number of waiting requests in the whole fleet, by account.
    waiting: BTreeMap<Name, u32>,
    /// Cost divided by weight, by account, in cost units.
    virtual_cost: BTreeMap<Name, f64>,
    /// State of each target with its used and permitted slots, as text.
    targets: BTreeMap<Name, String>,
}

/// Collects the current status.
pub(crate) fn collect_status(context: &RouterContext) -> RouterStatus {
    let now = context.now();
    let mut guard = context.core();
    let core = &mut *guard;
    let own = &context.settings.instance;
    let member = |view: fleet::MemberView| MemberStatus {
        instance: view.name,
        standing: status_name(view.status),
        age_ms: view.age,
    };
    let members = core.members.views(now).into_iter().map(member).collect();
    let mut services = BTreeMap::new();
    for (name, state) in &mut core.services {
        let granted = (state.grantor == *own).then(|| GrantorStatus {
            used: state.allocator.used(),
            free: state.allocator.free(now),
            waiting: state.allocator.waiting_by_account(),
            virtual_cost: state.allocator.virtual_costs().into_iter().collect(),
            targets: state.allocator.target_states(now).into_iter().collect(),
        });
        let status = ServiceStatus {
            grantor: Name::clone(&state.grantor),
            waiting: state.demand.waiting(),
            in_progress: state.demand.in_progress(),
            floats: state.demand.spare_grants(),
            waits_ms: WaitStatus {
                count: state.waits_ms.len(),
                p50: state.waits_ms.value_at_quantile(0.5),
                p95: state.waits_ms.value_at_quantile(0.95),
                p99: state.waits_ms.value_at_quantile(0.99),
            },
            granted,
        };
        services.insert(Name::clone(name), status);
    }
    let active = core.active_document.as_ref();
    RouterStatus {
        instance: Name::clone(own),
        incarnation: context.origin.incarnation,
        domain: Name::clone(&context.settings.domain),
        up_ms: now,
        draining: core.draining,
        revision: core.revision_gate.revision(),
        revision_age_ms: active.map(|active| now.saturating_sub(active.since)),
        last_refusal: core.last_refusal.clone(),
        members,
        services,
        open_requests: core.open_requests,
        control_bytes: context.control_bytes.load(Ordering::Relaxed),
        control_messages: context.control_messages.load(Ordering::Relaxed),
        control_cpu_ms: context.control_cpu_ms(),
    }
}

fn status_name(status: PeerStatus) -> &'static str {
    match status {
        PeerStatus::Alive => "alive",
        PeerStatus::Suspect => "suspect",
        PeerStatus::Gone => "gone",
        PeerStatus::Draining => "draining",
    }
}
