//! Issuing of grants, for waiting requests and in advance.

use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name};

use super::records::{GrantRecord, RouterRecord};
use super::{AllocationMode, SlotAllocator};
use crate::message::{Grant, GrantId};

/// Period for which slots stay contended after requests last waited without a
/// free slot, in milliseconds.
const CONTENDED_HOLD: Millis = 1_000;

/// Maximum difference in waiting time at which the preferred router's oldest
/// request is served before an older one of the same account at another router,
/// in milliseconds.
const PREFERENCE_SLACK: i64 = 250;

/// Period between two samples of the demand of each router, in milliseconds.
const DEMAND_PERIOD: Millis = 1_000;

impl SlotAllocator {
    /// Issues all grants that the free slots allow. Call it periodically, as it
    /// also expires overdue grants.
    pub fn issue_grants(&mut self, now: Millis) {
        self.issue_grants_preferring(None, now);
    }

    /// Issues all grants that the free slots allow, preferring one router.
    ///
    /// A grant of an account goes to the router `preferred`, whose report is
    /// about to be answered, if its oldest request has waited about as long as
    /// the account's oldest one elsewhere. The reply then carries the grant,
    /// which saves a message.
    pub fn issue_grants_preferring(&mut self, preferred: Option<&Name>, now: Millis) {
        self.expire_overdue(now);
        let backlogged = self.backlogged_accounts();
        let in_progress = self.in_progress_estimates();
        self.costs.update_backlogged(&backlogged, &in_progress);
        while let Some(target) = self.slots.pick_target(now) {
            let Some((account, router)) = self.next_queue(preferred) else { break };
            self.issue_grant(&router, Some(account), &target, now);
        }
        if self.next_queue(None).is_some() {
            self.signal_contention(now);
        } else if now >= self.contended_until {
            self.contended = false;
            self.issue_spares(now);
        }
    }

    /// Sums the estimates of confirmed grants by account, in cost units.
    fn in_progress_estimates(&self) -> BTreeMap<Name, f64> {
        let mut estimates = BTreeMap::new();
        for record in self.grants.values().filter(|record| record.confirmed) {
            if let Some(account) = &record.account {
                *estimates.entry(Name::clone(account)).or_insert(0.0) += record.estimate;
            }
        }
        estimates
    }

    /// Returns the least-served account that has waiting requests without a
    /// grant, and the router to serve: `preferred` if its oldest request is
    /// within `PREFERENCE_SLACK` of the account's oldest one, otherwise the
    /// router where that one waits.
    pub(super) fn next_queue(&mut self, preferred: Option<&Name>) -> Option<(Name, Name)> {
        let mut heads: BTreeMap<&Name, (i64, &Name)> = BTreeMap::new();
        for (name, router) in &self.routers {
            if !router.reachable {
                continue;
            }
            for (account, queue) in &router.queues {
                if queue.depth <= queue.unconfirmed {
                    continue;
                }
                let head = (queue.head_since, name);
                let oldest = heads.entry(account).or_insert(head);
                *oldest = (*oldest).min(head);
            }
        }
        let costs = &mut self.costs;
        let candidates = heads
            .iter()
            .map(|(account, (_, router))| (costs.projected_cost(account), account, router));
        let least = candidates.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)))?;
        let (account, router) = (Name::clone(least.1), Name::clone(least.2));
        let (oldest, _) = heads[&account];
        let preferred = preferred.filter(|preferred| {
            let queue = self.routers.get(*preferred).and_then(|router| router.queues.get(&account));
            queue.is_some_and(|queue| {
                queue.depth > queue.unconfirmed && queue.head_since - oldest <= PREFERENCE_SLACK
            })
        });
        Some((account, preferred.map_or(router, Name::clone)))
    }

    /// Occupies a slot of `target` and queues the grant for the router. Without
    /// an account it is a spare grant.
    pub(super) fn issue_grant(
        &mut self,
        router: &Name,
        account: Option<Name>,
        target: &Name,
        now: Millis,
    ) {
        let estimate = match &account {
            Some(account) => self.costs.estimate(account),
            None => self.costs.common_estimate(),
        };
        self.next_seq += 1;
        let id = GrantId::new(&self.own_origin, self.next_seq);
        self.slots.acquire(id, target, now);
        if let Some(account) = &account {
            self.costs.add_pending(account, estimate);
        }
        let Some(receiver) = self.routers.get_mut(router) else { return };
        if let Some(queue) = account.as_ref().and_then(|account| receiver.queues.get_mut(account)) {
            queue.unconfirmed += 1;
        }
        let idle = account.is_none();
        let record = GrantRecord {
            router: Name::clone(router),
            account: account.clone(),
            estimate,
            confirmed: false,
            idle,
            issued_at: now,
        };
        receiver.outbox.push(Grant { id, account, target: Name::clone(target), estimate });
        self.grants.insert(id, record);
    }

    /// Returns whether this allocator issues grants to the router.
    pub(super) fn grants_to(&self, router: &RouterRecord) -> bool {
        self.settings.mode == AllocationMode::Granting || router.origin == self.own_origin
    }

    /// Issues spare grants to the reachable routers that have reported, up to
    /// `max_spares` for each.
    pub(super) fn issue_spares(&mut self, now: Millis) {
        let routers: Vec<Name> = self
            .routers
            .iter()
            .filter(|(_, router)| router.reachable && router.last_seq > 0 && self.grants_to(router))
            .map(|(name, _)| Name::clone(name))
            .collect();
        let count = u32::try_from(routers.len()).unwrap_or(u32::MAX).max(1);
        for router in routers {
            let idle = self.grants.values().filter(|record| record.idle && record.router == router);
            let idle = u32::try_from(idle.count()).unwrap_or(u32::MAX);
            // Half of the free slots stay free for routers that need more than
            // their spare grants.
            let quota = (self.slots.free(now) / 2).div_ceil(count);
            for _ in idle..self.settings.max_spares.min(idle + quota) {
                let Some(target) = self.slots.pick_target(now) else { return };
                self.issue_grant(&router, None, &target, now);
            }
        }
    }

    /// Marks the slots as contended. Every router that holds a slot is notified
    /// once; a router with spare grants is notified until it has returned them.
    pub(super) fn signal_contention(&mut self, now: Millis) {
        let is_new = !std::mem::replace(&mut self.contended, true);
        self.contended_until = now + CONTENDED_HOLD;
        let records =
            self.grants.values().filter(|record| record.confirmed && (is_new || record.idle));
        let routers: BTreeSet<Name> = records.map(|record| Name::clone(&record.router)).collect();
        for name in routers {
            if let Some(router) = self.routers.get_mut(&name) {
                router.notify_contended = true;
            }
        }
    }

    /// Returns the accounts that have waiting requests without a grant at
    /// reachable routers, sorted by name.
    pub(super) fn backlogged_accounts(&self) -> Vec<Name> {
        let routers = self.routers.values().filter(|router| router.reachable);
        let queues = routers.flat_map(|router| &router.queues);
        let waiting = queues.filter(|(_, queue)| queue.depth > queue.unconfirmed);
        let names: BTreeSet<Name> = waiting.map(|(account, _)| Name::clone(account)).collect();
        names.into_iter().collect()
    }

    /// Returns the demand of each router as a sum of account weights. The weight
    /// of each account with waiting requests is divided among the routers in
    /// proportion to the number that wait there.
    pub(super) fn demand_by_router(&self) -> BTreeMap<Name, f64> {
        let waiting = self.waiting_by_account();
        let demand = |router: &RouterRecord| {
            let weights = router.queues.iter().map(|(account, queue)| {
                let fraction = f64::from(queue.depth) / f64::from(waiting[account].max(1));
                self.costs.weight(account) * fraction
            });
            weights.sum()
        };
        self.routers.iter().map(|(name, router)| (Name::clone(name), demand(router))).collect()
    }

    /// Sets which of the `listed` routers this one reaches, itself included.
    ///
    /// While all are reachable, this allocator may use every slot, whatever load
    /// others put on the targets. Otherwise it leaves others the slots that they
    /// occupy, except for a fraction that it may always use: the reachable
    /// routers' part of the usual demand or, when no demand is known, their part
    /// of the listed routers.
    pub fn set_reachable(&mut self, reachable: &[Name], listed: usize, now: Millis) {
        if reachable.len() >= listed {
            self.slots.set_min_share(1.0);
            if now >= self.next_demand_sample {
                self.next_demand_sample = now + DEMAND_PERIOD;
                self.usual_demand = self.demand_by_router();
            }
            return;
        }
        let total: f64 = self.usual_demand.values().sum();
        let own = reachable.iter().filter_map(|router| self.usual_demand.get(router));
        let own: f64 = own.sum();
        let by_count = reachable.len() as f64 / listed.max(1) as f64;
        self.slots.set_min_share(if total > 0.0 { own / total } else { by_count });
    }
}
