//! The grantor's side: allocates the slots of one service to routers.

mod expiry;
mod issuing;
mod records;
mod reports;

use std::collections::BTreeMap;

use base::{Millis, Name, Origin};

use self::records::{GrantRecord, RouterRecord};
use crate::message::{GrantId, GrantPush, Snapshot};
use crate::slots::{SlotTable, TargetInfo};
use crate::virtual_cost::CostTable;

/// Maximum rate of snapshot entries sent to one router, about 2 KB per second.
const SNAPSHOT_ENTRIES_PER_SECOND: Millis = 64;

/// How slots are allocated among routers. Modes other than `Granting` exist only
/// for comparison in benchmarks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllocationMode {
    /// One grantor allocates every slot.
    Granting,
    /// Each router issues grants to itself from a fixed part of the slots:
    /// every `count`-th slot, starting at `index`.
    Local { index: u32, count: u32 },
}

/// Settings of an allocator.
#[derive(Clone, Debug)]
pub struct AllocatorSettings {
    /// Cost charged for a request before any has ended, in cost units.
    pub first_estimate: f64,
    /// Maximum amount by which an account's virtual cost may exceed that of the
    /// least-served backlogged account, in cost units over weight.
    pub max_lead: f64,
    /// Maximum number of spare grants that one router may hold.
    pub max_spares: u32,
    /// Time without a report after which a router's slots are freed, in
    /// milliseconds.
    pub router_lease: Millis,
    /// Age after which a grant that no report has confirmed counts as lost, in
    /// milliseconds. A router that received it nevertheless reports the slot.
    pub grant_lease: Millis,
    /// Minimum time between two snapshots to the same router, in milliseconds.
    pub snapshot_period: Millis,
    pub mode: AllocationMode,
}

impl Default for AllocatorSettings {
    fn default() -> Self {
        Self {
            first_estimate: 100.0,
            max_lead: 100_000.0,
            max_spares: 2,
            router_lease: 3_000,
            grant_lease: 1_000,
            snapshot_period: 1_000,
            mode: AllocationMode::Granting,
        }
    }
}

/// Allocates the slots of one service by issuing grants to routers.
///
/// Safety does not depend on there being a single allocator. Two allocators for
/// the same targets overload them temporarily and have no other effect.
#[derive(Clone, Debug)]
pub struct SlotAllocator {
    own_origin: Origin,
    service: Name,
    settings: AllocatorSettings,
    slots: SlotTable,
    costs: CostTable,
    routers: BTreeMap<Name, RouterRecord>,
    grants: BTreeMap<GrantId, GrantRecord>,
    /// Targets of grants that counted as lost, in case a router received one.
    lost: BTreeMap<GrantId, Name>,
    /// Demand of each router, as a sum of account weights, when all routers were
    /// last reachable.
    usual_demand: BTreeMap<Name, f64>,
    next_demand_sample: Millis,
    /// Grantor whose snapshot this allocator started from.
    restored_from: Option<Origin>,
    next_seq: u32,
    snapshot_seq: u64,
    /// Whether requests wait without a free slot, or recently did.
    contended: bool,
    /// Earliest time at which contention may end.
    contended_until: Millis,
    /// When overdue grants were last looked for.
    ran_at: Millis,
    /// End of the time in which this router catches up after it was frozen.
    catches_up_until: Millis,
}

impl SlotAllocator {
    /// Creates an allocator without targets.
    pub fn new(own_origin: Origin, service: Name, settings: AllocatorSettings) -> Self {
        let costs = CostTable::new(settings.first_estimate, settings.max_lead);
        let mut slots = SlotTable::default();
        slots.set_min_share(1.0);
        Self {
            own_origin,
            service,
            settings,
            slots,
            costs,
            routers: BTreeMap::new(),
            grants: BTreeMap::new(),
            lost: BTreeMap::new(),
            usual_demand: BTreeMap::new(),
            next_demand_sample: 0,
            restored_from: None,
            next_seq: 0,
            snapshot_seq: 0,
            contended: false,
            contended_until: 0,
            ran_at: 0,
            catches_up_until: 0,
        }
    }

    /// Sets the weights of the accounts, from the document. An account without
    /// an entry has weight 1.
    pub fn set_weights(&mut self, weights: BTreeMap<Name, f64>) {
        self.costs.set_weights(weights);
    }

    /// Sets the maximum amount by which an account's virtual cost may exceed
    /// that of the least-served backlogged account, in cost units over weight.
    pub fn set_max_lead(&mut self, max_lead: f64) {
        self.costs.set_max_lead(max_lead);
    }

    /// Sets the targets of the published list, with the slots that the document
    /// gives them.
    pub fn set_targets(&mut self, mut targets: Vec<TargetInfo>) {
        if let AllocationMode::Local { index, count } = self.settings.mode {
            let mut position = 0;
            for target in &mut targets {
                let all = position..position + target.slots;
                position = all.end;
                let own = all.filter(|slot| slot % count == index).count();
                target.slots = u32::try_from(own).unwrap_or(u32::MAX);
            }
        }
        self.slots.set_targets(targets);
    }

    /// Sets how slots are allocated, effective from the next
    /// [`Self::set_targets`].
    pub fn set_mode(&mut self, mode: AllocationMode) {
        self.settings.mode = mode;
    }

    /// Records a target's load report: its requests in progress and waiting, and
    /// whether it can serve. A target that is not ready gets no grants.
    pub fn record_load(&mut self, target: &Name, load: u32, ready: bool, now: Millis) {
        self.slots.record_load(target, load, ready, now);
    }

    /// Records a failed load poll of a target.
    pub fn record_failure(&mut self, target: &Name, now: Millis) {
        self.slots.record_failure(target, now);
    }

    /// Takes the pending message for a router, if there is one.
    pub fn take_push(&mut self, router: &Name) -> Option<GrantPush> {
        let contended = self.contended;
        let record = self.routers.get_mut(router)?;
        if record.outbox.is_empty() && !record.notify_contended {
            return None;
        }
        record.notify_contended = false;
        Some(GrantPush {
            grantor: self.own_origin.clone(),
            service: Name::clone(&self.service),
            grants: std::mem::take(&mut record.outbox),
            contended,
            answers: None,
            snapshot: None,
        })
    }

    /// Builds the reply to a router's report, with the pending grants for it and
    /// a snapshot if one is due.
    pub fn build_reply(&mut self, router: &Name, seq: u64, now: Millis) -> GrantPush {
        let push = self.take_push(router).unwrap_or_else(|| GrantPush {
            grantor: self.own_origin.clone(),
            service: Name::clone(&self.service),
            grants: Vec::new(),
            contended: self.contended,
            answers: None,
            snapshot: None,
        });
        let snapshot = self.due_snapshot(router, now);
        GrantPush { answers: Some(seq), snapshot, ..push }
    }

    /// Returns the routers for which a message is pending.
    pub fn routers_to_push(&self) -> Vec<Name> {
        let is_pending =
            |router: &RouterRecord| !router.outbox.is_empty() || router.notify_contended;
        let routers = self.routers.iter().filter(|(_, router)| is_pending(router));
        routers.map(|(name, _)| Name::clone(name)).collect()
    }

    /// Records that a message to the router failed. Its queues get no grants
    /// until it reports again.
    pub fn mark_unreachable(&mut self, router: &Name) {
        if let Some(record) = self.routers.get_mut(router) {
            record.reachable = false;
        }
    }

    /// Returns the virtual cost of each account, including the estimates of
    /// unconfirmed grants, for the status and tests.
    pub fn virtual_costs(&mut self) -> Vec<(Name, f64)> {
        let names: Vec<Name> =
            self.costs.entries().into_iter().map(|entry| entry.account).collect();
        names
            .into_iter()
            .map(|name| {
                let cost = self.costs.projected_cost(&name);
                (name, cost)
            })
            .collect()
    }

    /// Returns each target with its state as text, for the status.
    pub fn target_states(&self, now: Millis) -> Vec<(Name, String)> {
        self.slots.states(now)
    }

    /// Returns the number of slots that grants occupy.
    pub fn used(&self) -> u32 {
        self.slots.used()
    }

    /// Returns the number of slots that could be granted now.
    pub fn free(&self, now: Millis) -> u32 {
        self.slots.free(now)
    }

    /// Returns the number of waiting requests of each account over all routers
    /// that report.
    pub fn waiting_by_account(&self) -> BTreeMap<Name, u32> {
        let mut waiting = BTreeMap::new();
        for router in self.routers.values() {
            for (account, queue) in &router.queues {
                *waiting.entry(Name::clone(account)).or_insert(0) += queue.depth;
            }
        }
        waiting
    }

    /// Returns a snapshot for the router if enough time has passed since the
    /// last one, given the size of the snapshot.
    fn due_snapshot(&mut self, router: &Name, now: Millis) -> Option<Snapshot> {
        let entries = self.costs.snapshot();
        let demand = self.usual_demand.iter().filter(|(_, weight)| **weight > 0.0);
        let demand: Vec<(Name, f32)> =
            demand.map(|(router, weight)| (Name::clone(router), *weight as f32)).collect();
        let size = (entries.len() + demand.len()) as Millis;
        let size_period = size * 1_000 / SNAPSHOT_ENTRIES_PER_SECOND;
        let period = self.settings.snapshot_period.max(size_period);
        let record = self.routers.get_mut(router)?;
        if record.last_snapshot_at.is_some_and(|at| now.saturating_sub(at) < period) {
            return None;
        }
        record.last_snapshot_at = Some(now);
        self.snapshot_seq += 1;
        Some(Snapshot { grantor: self.own_origin.clone(), seq: self.snapshot_seq, entries, demand })
    }
}
