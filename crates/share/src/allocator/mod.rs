//! The grantor's side: hands out the slots of one service.

mod expiry;
mod issuing;
mod records;
mod reports;

use std::collections::BTreeMap;

use base::{Millis, Name, Origin};

use self::records::{GrantRecord, RouterBook};
use crate::message::{GrantId, Push, Snapshot};
use crate::slots::{SlotTable, TargetInfo};
use crate::virtual_cost::CostTable;

/// Snapshot entries that one router gets each second, about 2 KB.
const SNAPSHOT_ENTRIES_PER_SECOND: Millis = 64;

/// How the routers share the slots; all but `Granting` are baselines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllocationMode {
    /// One grantor hands out every slot.
    Granting,
    /// Each router grants to itself from a fixed part of the slots.
    Local { index: u32, count: u32 },
}

/// Settings of a ledger.
#[derive(Clone, Debug)]
pub struct AllocatorSettings {
    /// Charge of a request before any has ended, in cost units.
    pub first_estimate: f64,
    /// Virtual cost that an account may be ahead at most, in cost units.
    pub max_lead: f64,
    /// Unused slots that one router may hold.
    pub max_spares: u32,
    /// Silence of a router after which its slots are free, in milliseconds.
    pub router_lease: Millis,
    /// Age at which a grant that no report has confirmed counts as lost, in
    /// milliseconds. A router that got it all the same reports the slot.
    pub grant_lease: Millis,
    /// Shortest time between two snapshots to the same router, in milliseconds.
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

/// Grants the slots of one service.
///
/// Safety never rests on the ledger being the only one: two ledgers for the
/// same targets overload them for a while and do no other harm.
#[derive(Clone, Debug)]
pub struct SlotAllocator {
    me: Origin,
    service: Name,
    settings: AllocatorSettings,
    slots: SlotTable,
    costs: CostTable,
    routers: BTreeMap<Name, RouterBook>,
    grants: BTreeMap<GrantId, GrantRecord>,
    /// Targets of grants that counted as lost, for a router that got one.
    lost: BTreeMap<GrantId, Name>,
    /// Weight of the demand at each router while all were reached.
    usual_demand: BTreeMap<Name, f64>,
    demand_due: Millis,
    /// Grantor whose snapshot this ledger started from.
    adopted_from: Option<Origin>,
    next_seq: u32,
    snapshot_seq: u64,
    /// More waits than there are slots, or did a moment ago.
    contended: bool,
    contended_until: Millis,
}

impl SlotAllocator {
    /// A ledger that knows no targets yet.
    pub fn new(me: Origin, service: Name, settings: AllocatorSettings) -> Self {
        let costs = CostTable::new(settings.first_estimate, settings.max_lead);
        let mut slots = SlotTable::default();
        slots.set_reach(1.0);
        Self {
            me,
            service,
            settings,
            slots,
            costs,
            routers: BTreeMap::new(),
            grants: BTreeMap::new(),
            lost: BTreeMap::new(),
            usual_demand: BTreeMap::new(),
            demand_due: 0,
            adopted_from: None,
            next_seq: 0,
            snapshot_seq: 0,
            contended: false,
            contended_until: 0,
        }
    }

    /// Weights by account, from the document.
    pub fn set_weights(&mut self, weights: BTreeMap<Name, f64>) {
        self.costs.set_weights(weights);
    }

    /// Bound on how far ahead an account may be, in cost units over weight.
    pub fn set_max_lead(&mut self, max_lead: f64) {
        self.costs.set_max_lead(max_lead);
    }

    /// Targets by the published list, with the slots of the document.
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

    /// Changes how the slots are shared, from the next list of targets on.
    pub fn set_mode(&mut self, mode: AllocationMode) {
        self.settings.mode = mode;
    }

    /// Takes in a target's load report: requests in progress and waiting, and
    /// whether it can serve. One that is not ready gets no grants.
    pub fn record_load(&mut self, target: &Name, load: u32, ready: bool, now: Millis) {
        self.slots.hear_load(target, load, ready, now);
    }

    /// Takes in a failed load poll.
    pub fn record_failure(&mut self, target: &Name, now: Millis) {
        self.slots.hear_failure(target, now);
    }

    /// Messages that wait for a router, or none.
    pub fn take_push(&mut self, router: &Name) -> Option<Push> {
        let contended = self.contended;
        let book = self.routers.get_mut(router)?;
        if book.outbox.is_empty() && !book.notice {
            return None;
        }
        book.notice = false;
        Some(Push {
            grantor: self.me.clone(),
            service: Name::clone(&self.service),
            grants: std::mem::take(&mut book.outbox),
            contended,
            answers: None,
            snapshot: None,
        })
    }

    /// The answer to a router's report, with what waits for it.
    pub fn build_reply(&mut self, router: &Name, seq: u64, now: Millis) -> Push {
        let push = self.take_push(router).unwrap_or_else(|| Push {
            grantor: self.me.clone(),
            service: Name::clone(&self.service),
            grants: Vec::new(),
            contended: self.contended,
            answers: None,
            snapshot: None,
        });
        let snapshot = self.due_snapshot(router, now);
        Push { answers: Some(seq), snapshot, ..push }
    }

    /// Routers for which messages wait.
    pub fn routers_to_push(&self) -> Vec<Name> {
        let waiting = |book: &RouterBook| !book.outbox.is_empty() || book.notice;
        let routers = self.routers.iter().filter(|(_, book)| waiting(book));
        routers.map(|(name, _)| Name::clone(name)).collect()
    }

    /// A message to the router failed: its queues get nothing until it
    /// reports again.
    pub fn mark_unreachable(&mut self, router: &Name) {
        if let Some(book) = self.routers.get_mut(router) {
            book.reachable = false;
        }
    }

    /// Virtual cost by account with unconfirmed grants, for status and tests.
    pub fn virtual_costs(&mut self) -> Vec<(Name, f64)> {
        let names: Vec<Name> =
            self.costs.entries().into_iter().map(|entry| entry.account).collect();
        names
            .into_iter()
            .map(|name| {
                let level = self.costs.level(&name);
                (name, level)
            })
            .collect()
    }

    /// Each target with its state in words, for status.
    pub fn target_states(&self, now: Millis) -> Vec<(Name, String)> {
        self.slots.states(now)
    }

    /// Slots in use or promised.
    pub fn used(&self) -> u32 {
        self.slots.used()
    }

    /// Slots that could be granted now.
    pub fn free(&self, now: Millis) -> u32 {
        self.slots.free(now)
    }

    /// Requests that wait, by account, over all routers that report.
    pub fn waiting_by_account(&self) -> BTreeMap<Name, u32> {
        let mut waiting = BTreeMap::new();
        for book in self.routers.values() {
            for (account, queue) in &book.queues {
                *waiting.entry(Name::clone(account)).or_insert(0) += queue.depth;
            }
        }
        waiting
    }

    fn due_snapshot(&mut self, router: &Name, now: Millis) -> Option<Snapshot> {
        let entries = self.costs.snapshot();
        let demand = self.usual_demand.iter().filter(|(_, part)| **part > 0.0);
        let demand: Vec<(Name, f32)> =
            demand.map(|(router, part)| (Name::clone(router), *part as f32)).collect();
        let size = (entries.len() + demand.len()) as Millis;
        let size_period = size * 1_000 / SNAPSHOT_ENTRIES_PER_SECOND;
        let period = self.settings.snapshot_period.max(size_period);
        let book = self.routers.get_mut(router)?;
        if book.snapshot_at.is_some_and(|at| now.saturating_sub(at) < period) {
            return None;
        }
        book.snapshot_at = Some(now);
        self.snapshot_seq += 1;
        Some(Snapshot { grantor: self.me.clone(), seq: self.snapshot_seq, entries, demand })
    }
}
