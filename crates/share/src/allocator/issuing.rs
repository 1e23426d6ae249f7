//! Handing out slots: whose turn it is, and slots in advance.

use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name};

use super::records::{GrantRecord, RouterBook};
use super::{AllocationMode, SlotAllocator};
use crate::message::{Grant, GrantId};

/// Time for which slots stay contended after the last unmet demand, in
/// milliseconds.
const CONTENDED_HOLD: Millis = 1_000;

/// Time by which a request may be served before an older one of its account
/// elsewhere, in milliseconds.
const NEAR_SLACK: i64 = 250;

/// Time between two looks at where the demand is, in milliseconds.
const DEMAND_PERIOD: Millis = 1_000;

impl SlotAllocator {
    /// Grants what can be granted; call by period.
    pub fn issue_grants(&mut self, now: Millis) {
        self.issue_grants_preferring(None, now);
    }

    /// Grants what can be granted. An account's slot goes to `near`, whose
    /// report is about to be answered, when its request has waited about as
    /// long as the account's first one elsewhere: that saves a message.
    pub fn issue_grants_preferring(&mut self, near: Option<&Name>, now: Millis) {
        self.expire(now);
        let backlogged = self.backlogged();
        let open = self.open_estimates();
        self.costs.set_backlogged(&backlogged, &open);
        while let Some(target) = self.slots.pick(now) {
            let Some((account, router)) = self.next_queue(near) else { break };
            self.grant(&router, Some(account), &target, now);
        }
        if self.next_queue(None).is_some() {
            self.contend(now);
        } else if now >= self.contended_until {
            self.contended = false;
            self.issue_floats(now);
        }
    }

    /// Estimates of confirmed requests in progress, by account.
    fn open_estimates(&self) -> BTreeMap<Name, f64> {
        let mut open = BTreeMap::new();
        for record in self.grants.values().filter(|record| record.seen) {
            if let Some(account) = &record.account {
                *open.entry(Name::clone(account)).or_insert(0.0) += record.estimate;
            }
        }
        open
    }

    /// The least-served account with unpromised demand, and the router where
    /// its first request has waited longest, or `near` when it is close to it.
    pub(super) fn next_queue(&mut self, near: Option<&Name>) -> Option<(Name, Name)> {
        let mut heads: BTreeMap<&Name, (i64, &Name)> = BTreeMap::new();
        for (router, book) in &self.routers {
            if !book.reachable {
                continue;
            }
            for (account, queue) in &book.queues {
                if queue.depth <= queue.promised {
                    continue;
                }
                let head = (queue.head_since, router);
                let oldest = heads.entry(account).or_insert(head);
                *oldest = (*oldest).min(head);
            }
        }
        let costs = &mut self.costs;
        let levels =
            heads.iter().map(|(account, (_, router))| (costs.level(account), account, router));
        let least = levels.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)))?;
        let (account, router) = (Name::clone(least.1), Name::clone(least.2));
        let (oldest, _) = heads[&account];
        let near = near.filter(|near| {
            let queue = self.routers.get(*near).and_then(|book| book.queues.get(&account));
            queue.is_some_and(|queue| {
                queue.depth > queue.promised && queue.head_since - oldest <= NEAR_SLACK
            })
        });
        Some((account, near.map_or(router, Name::clone)))
    }

    pub(super) fn grant(
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
        let id = GrantId::new(&self.me, self.next_seq);
        self.slots.take(id, target, now);
        if let Some(account) = &account {
            self.costs.add_pending(account, estimate);
        }
        let Some(book) = self.routers.get_mut(router) else { return };
        if let Some(queue) = account.as_ref().and_then(|account| book.queues.get_mut(account)) {
            queue.promised += 1;
        }
        let idle = account.is_none();
        let record = GrantRecord {
            router: Name::clone(router),
            account: account.clone(),
            estimate,
            seen: false,
            idle,
            issued_at: now,
        };
        book.outbox.push(Grant { id, account, target: Name::clone(target), estimate });
        self.grants.insert(id, record);
    }

    /// Whether the router gets its slots here.
    pub(super) fn serves(&self, book: &RouterBook) -> bool {
        self.settings.mode == AllocationMode::Granting || book.origin == self.me
    }

    pub(super) fn issue_floats(&mut self, now: Millis) {
        let routers: Vec<Name> = self
            .routers
            .iter()
            .filter(|(_, book)| book.reachable && book.last_seq > 0 && self.serves(book))
            .map(|(name, _)| Name::clone(name))
            .collect();
        let count = u32::try_from(routers.len()).unwrap_or(u32::MAX).max(1);
        for router in routers {
            let idle = self.grants.values().filter(|record| record.idle && record.router == router);
            let idle = u32::try_from(idle.count()).unwrap_or(u32::MAX);
            // Half of the free slots stay back for routers whose floats are
            // not enough.
            let part = (self.slots.free(now) / 2).div_ceil(count);
            for _ in idle..self.settings.max_spares.min(idle + part) {
                let Some(target) = self.slots.pick(now) else { return };
                self.grant(&router, None, &target, now);
            }
        }
    }

    /// Tells every router that holds slots once that they are contended, and
    /// those with floats until they have given them back.
    pub(super) fn contend(&mut self, now: Millis) {
        let is_new = !std::mem::replace(&mut self.contended, true);
        self.contended_until = now + CONTENDED_HOLD;
        let concerned =
            self.grants.values().filter(|record| record.seen && (is_new || record.idle));
        let routers: BTreeSet<Name> = concerned.map(|record| Name::clone(&record.router)).collect();
        for router in routers {
            if let Some(book) = self.routers.get_mut(&router) {
                book.notice = true;
            }
        }
    }

    pub(super) fn backlogged(&self) -> Vec<Name> {
        let books = self.routers.values().filter(|book| book.reachable);
        let queues = books.flat_map(|book| &book.queues);
        let waiting = queues.filter(|(_, queue)| queue.depth > queue.promised);
        let names: BTreeSet<Name> = waiting.map(|(account, _)| Name::clone(account)).collect();
        names.into_iter().collect()
    }

    /// Weight of each router's waiting requests: an account's weight is spread
    /// over the routers by its waiting requests there.
    pub(super) fn demand_by_router(&self) -> BTreeMap<Name, f64> {
        let waiting = self.waiting_by_account();
        let demand = |book: &RouterBook| {
            let parts = book.queues.iter().map(|(account, queue)| {
                let part = f64::from(queue.depth) / f64::from(waiting[account].max(1));
                self.costs.weight(account) * part
            });
            parts.sum()
        };
        self.routers.iter().map(|(name, book)| (Name::clone(name), demand(book))).collect()
    }

    /// Which routers this one reaches, of all that are listed. While some are
    /// out of reach, what others use of the targets is left to them, down to
    /// the part of the demand that was usual on this side.
    pub fn set_reachable(&mut self, reached: &[Name], listed: usize, now: Millis) {
        if reached.len() >= listed {
            self.slots.set_reach(1.0);
            if now >= self.demand_due {
                self.demand_due = now + DEMAND_PERIOD;
                self.usual_demand = self.demand_by_router();
            }
            return;
        }
        let all: f64 = self.usual_demand.values().sum();
        let here = reached.iter().filter_map(|router| self.usual_demand.get(router));
        let here: f64 = here.sum();
        let by_count = reached.len() as f64 / listed.max(1) as f64;
        self.slots.set_reach(if all > 0.0 { here / all } else { by_count });
    }
}
