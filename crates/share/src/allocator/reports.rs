//! Processing of reports. Each report replaces the known state of its router.

use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name};

use super::SlotAllocator;
use super::records::{GrantRecord, LastTotal, QueueRecord, RouterRecord};
use crate::message::{DemandReport, GrantId, QueueState};

impl SlotAllocator {
    /// Applies a router's report. A report that is not newer than the last one
    /// of the same incarnation is ignored.
    pub fn apply_report(&mut self, report: DemandReport, now: Millis) {
        let name = Name::clone(&report.from.instance);
        self.register_router(&report, now);
        let Some(router) = self.routers.get_mut(&name) else { return };
        if report.seq <= router.last_seq {
            return;
        }
        router.last_seq = report.seq;
        router.last_report_at = now;
        router.reachable = true;
        self.apply_slots(&name, &report, now);
        self.apply_totals(&name, &report);
        self.apply_queues(&name, &report, now);
        self.apply_faults(&name, &report, now);
    }

    /// Registers an unknown router, or a new incarnation of a known one, whose
    /// earlier grants then expire.
    ///
    /// An allocator that has no accounts yet starts from the snapshot in the
    /// report's baseline. Charges that the snapshot already contains are not
    /// counted again.
    pub(super) fn register_router(&mut self, report: &DemandReport, now: Millis) {
        let name = &report.from.instance;
        let is_known = self.routers.get(name).is_some_and(|router| router.origin == report.from);
        if is_known {
            return;
        }
        self.expire_router_grants(name);
        let mut totals = BTreeMap::new();
        if let Some(baseline) = &report.baseline {
            let grantor = &baseline.snapshot.grantor;
            if self.costs.is_empty() && *grantor != self.own_origin {
                self.costs.restore(&baseline.snapshot.entries);
                self.restored_from = Some(grantor.clone());
                let demand = baseline.snapshot.demand.iter();
                self.usual_demand = demand
                    .map(|(router, weight)| (Name::clone(router), f64::from(*weight)))
                    .collect();
            }
            if self.restored_from.as_ref() == Some(grantor) {
                for (account, charged) in &baseline.acked {
                    let total = LastTotal { charged: *charged, ..LastTotal::default() };
                    totals.insert(Name::clone(account), total);
                }
            }
        }
        let router = RouterRecord {
            origin: report.from.clone(),
            last_seq: 0,
            last_report_at: now,
            reachable: true,
            queues: BTreeMap::new(),
            totals,
            faults: BTreeMap::new(),
            outbox: Vec::new(),
            notify_contended: false,
            last_snapshot_at: None,
        };
        self.routers.insert(Name::clone(name), router);
    }

    /// Brings the grants of a router in line with those that its report lists.
    pub(super) fn apply_slots(&mut self, name: &Name, report: &DemandReport, now: Millis) {
        let held: BTreeSet<GrantId> = report.held.iter().copied().collect();
        let idle: BTreeSet<GrantId> = report.idle.iter().copied().collect();
        let mut foreign: BTreeMap<GrantId, &Name> =
            report.foreign.iter().map(|slot| (slot.id, &slot.target)).collect();
        let mut ended = Vec::new();
        for (id, record) in &mut self.grants {
            if record.router != *name {
                continue;
            }
            if foreign.remove(id).is_some() {
                continue;
            }
            let is_listed = held.contains(id) || idle.contains(id);
            if is_listed || (id.is_from(&self.own_origin) && id.seq() <= report.seen) {
                if !record.confirmed {
                    record.confirmed = true;
                    if let Some(account) = &record.account {
                        self.costs.add_pending(account, -record.estimate);
                    }
                }
                record.idle = idle.contains(id);
            }
            // A confirmed grant that the report does not list has ended.
            if !is_listed && record.confirmed {
                ended.push(*id);
            }
        }
        for id in ended {
            self.end_grant(id);
        }
        self.restore_lost_grants(name, report, now);
        // A spare grant that is unknown here occupies no slot. Sending the
        // contention state again makes the router drop it while slots are
        // contended.
        let has_unknown_spare = report.idle.iter().any(|id| !self.grants.contains_key(id));
        if let (true, Some(router)) = (has_unknown_spare, self.routers.get_mut(name)) {
            router.notify_contended = true;
        }
        for (id, target) in foreign {
            self.adopt_grant(id, name, target, now);
        }
    }

    /// Occupies the slots again of grants that expired here but reached their
    /// router.
    pub(super) fn restore_lost_grants(&mut self, name: &Name, report: &DemandReport, now: Millis) {
        for id in &report.held {
            let Some(target) = self.lost.remove(id) else { continue };
            self.adopt_grant(*id, name, &target, now);
        }
    }

    /// Occupies the slot of a grant that another grantor issued or that expired
    /// here.
    fn adopt_grant(&mut self, id: GrantId, router: &Name, target: &Name, now: Millis) {
        let record = GrantRecord {
            router: Name::clone(router),
            account: None,
            estimate: 0.0,
            confirmed: true,
            idle: false,
            issued_at: now,
        };
        self.grants.insert(id, record);
        self.slots.acquire(id, target, now);
    }

    /// Charges accounts the difference between the reported totals and the last
    /// ones of the same router.
    pub(super) fn apply_totals(&mut self, name: &Name, report: &DemandReport) {
        let Some(router) = self.routers.get_mut(name) else { return };
        for total in &report.totals {
            let last = router.totals.entry(Name::clone(&total.account)).or_default();
            let charged = total.charged - last.charged;
            let done = total.done.saturating_sub(last.done);
            let done_cost = total.done_cost - last.done_cost;
            last.charged = total.charged;
            last.done = total.done;
            last.done_cost = total.done_cost;
            self.costs.charge(&total.account, charged);
            self.costs.update_estimates(&total.account, done, done_cost);
        }
    }

    /// Replaces the queues of a router by those of its report. Grants that are
    /// still unconfirmed count as issued for these queues.
    pub(super) fn apply_queues(&mut self, name: &Name, report: &DemandReport, now: Millis) {
        let mut unconfirmed: BTreeMap<Name, u32> = BTreeMap::new();
        for record in self.grants.values() {
            if record.router != *name || record.confirmed {
                continue;
            }
            if let Some(account) = &record.account {
                *unconfirmed.entry(Name::clone(account)).or_default() += 1;
            }
        }
        let Some(router) = self.routers.get_mut(name) else { return };
        let queue = |state: &QueueState| {
            let record = QueueRecord {
                depth: state.depth,
                head_since: now as i64 - state.head_age as i64,
                unconfirmed: unconfirmed.get(&state.account).copied().unwrap_or(0),
            };
            (Name::clone(&state.account), record)
        };
        router.queues = report.queues.iter().map(queue).collect();
    }

    /// Records a failure of each target whose reported fault count rose.
    pub(super) fn apply_faults(&mut self, name: &Name, report: &DemandReport, now: Millis) {
        let Some(router) = self.routers.get_mut(name) else { return };
        for (target, count) in &report.faults {
            let old = router.faults.insert(Name::clone(target), *count).unwrap_or(0);
            if *count > old {
                self.slots.record_failure(target, now);
            }
        }
    }
}
