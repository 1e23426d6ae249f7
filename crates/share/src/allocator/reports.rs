//! Taking in reports: each replaces what was known of its router.

use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name};

use super::SlotAllocator;
use super::records::{GrantRecord, QueueBook, RouterBook, TotalMark};
use crate::message::{GrantId, QueueState, Report};

impl SlotAllocator {
    /// Takes in a router's report; an older one than the last is ignored.
    pub fn apply_report(&mut self, report: Report, now: Millis) {
        let name = Name::clone(&report.from.instance);
        self.meet(&report, now);
        let Some(book) = self.routers.get_mut(&name) else { return };
        if report.seq <= book.last_seq {
            return;
        }
        book.last_seq = report.seq;
        book.heard_at = now;
        book.reachable = true;
        self.take_slots(&name, &report, now);
        self.take_totals(&name, &report);
        self.take_queues(&name, &report, now);
        self.take_faults(&name, &report, now);
    }

    /// Learns of a router or of its new life.
    pub(super) fn meet(&mut self, report: &Report, now: Millis) {
        let name = &report.from.instance;
        let known = self.routers.get(name).is_some_and(|book| book.origin == report.from);
        if known {
            return;
        }
        self.forget_grants(name);
        let mut marks = BTreeMap::new();
        if let Some(baseline) = &report.baseline {
            let grantor = &baseline.snapshot.grantor;
            if self.costs.is_empty() && *grantor != self.me {
                self.costs.adopt(&baseline.snapshot.entries);
                self.adopted_from = Some(grantor.clone());
                let demand = baseline.snapshot.demand.iter();
                self.usual_demand =
                    demand.map(|(router, part)| (Name::clone(router), f64::from(*part))).collect();
            }
            if self.adopted_from.as_ref() == Some(grantor) {
                for (account, charged) in &baseline.acked {
                    let mark = TotalMark { charged: *charged, ..TotalMark::default() };
                    marks.insert(Name::clone(account), mark);
                }
            }
        }
        let book = RouterBook {
            origin: report.from.clone(),
            last_seq: 0,
            heard_at: now,
            reachable: true,
            queues: BTreeMap::new(),
            marks,
            faults: BTreeMap::new(),
            outbox: Vec::new(),
            notice: false,
            snapshot_at: None,
        };
        self.routers.insert(Name::clone(name), book);
    }

    pub(super) fn take_slots(&mut self, name: &Name, report: &Report, now: Millis) {
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
            let is_known = held.contains(id) || idle.contains(id);
            if is_known || (id.is_from(&self.me) && id.seq() <= report.seen) {
                if !record.seen {
                    record.seen = true;
                    if let Some(account) = &record.account {
                        self.costs.add_pending(account, -record.estimate);
                    }
                }
                record.idle = idle.contains(id);
            }
            // Once confirmed, a grant that the report lacks has ended.
            if !is_known && record.seen {
                ended.push(*id);
            }
        }
        for id in ended {
            self.end_grant(id);
        }
        self.adopt_held(name, report, now);
        let has_lost_float = report.idle.iter().any(|id| !self.grants.contains_key(id));
        if let (true, Some(book)) = (has_lost_float, self.routers.get_mut(name)) {
            book.notice = true;
        }
        for (id, target) in foreign {
            self.adopt(id, name, target, now);
        }
    }

    /// Takes slots back into account whose grants arrived after all.
    pub(super) fn adopt_held(&mut self, name: &Name, report: &Report, now: Millis) {
        for id in &report.held {
            let Some(target) = self.lost.remove(id) else { continue };
            self.adopt(*id, name, &target, now);
        }
    }

    /// Counts a slot in use that this ledger did not hand out, or had given up.
    fn adopt(&mut self, id: GrantId, router: &Name, target: &Name, now: Millis) {
        let record = GrantRecord {
            router: Name::clone(router),
            account: None,
            estimate: 0.0,
            seen: true,
            idle: false,
            issued_at: now,
        };
        self.grants.insert(id, record);
        self.slots.take(id, target, now);
    }

    pub(super) fn take_totals(&mut self, name: &Name, report: &Report) {
        let Some(book) = self.routers.get_mut(name) else { return };
        for total in &report.totals {
            let mark = book.marks.entry(Name::clone(&total.account)).or_default();
            let charged = total.charged - mark.charged;
            let done = total.done.saturating_sub(mark.done);
            let done_cost = total.done_cost - mark.done_cost;
            mark.charged = total.charged;
            mark.done = total.done;
            mark.done_cost = total.done_cost;
            self.costs.charge(&total.account, charged);
            self.costs.learn(&total.account, done, done_cost);
        }
    }

    pub(super) fn take_queues(&mut self, name: &Name, report: &Report, now: Millis) {
        let mut promised: BTreeMap<Name, u32> = BTreeMap::new();
        for record in self.grants.values() {
            if record.router != *name || record.seen {
                continue;
            }
            if let Some(account) = &record.account {
                *promised.entry(Name::clone(account)).or_default() += 1;
            }
        }
        let Some(book) = self.routers.get_mut(name) else { return };
        let queue = |state: &QueueState| {
            let book = QueueBook {
                depth: state.depth,
                head_since: now as i64 - state.head_age as i64,
                promised: promised.get(&state.account).copied().unwrap_or(0),
            };
            (Name::clone(&state.account), book)
        };
        book.queues = report.queues.iter().map(queue).collect();
    }

    pub(super) fn take_faults(&mut self, name: &Name, report: &Report, now: Millis) {
        let Some(book) = self.routers.get_mut(name) else { return };
        for (target, count) in &report.faults {
            let old = book.faults.insert(Name::clone(target), *count).unwrap_or(0);
            if *count > old {
                self.slots.hear_failure(target, now);
            }
        }
    }
}
