//! Release of slots whose grants ended, were lost, or belong to a router that
//! stopped reporting.

use base::{Millis, Name};

use super::SlotAllocator;
use super::records::{GrantRecord, RouterRecord};
use crate::message::GrantId;

/// Time between two runs after which this router counts as having been frozen, in
/// milliseconds. It runs every 100 ms.
const FREEZE_GAP: Millis = 500;
/// Time after a freeze in which confirmations that waited to be read may arrive, in
/// milliseconds: a report period of the routers and a round trip.
const CATCH_UP: Millis = 400;
/// Longest time by which a freeze prolongs the lease of a grant, in milliseconds.
const MAX_PROLONGATION: Millis = 2_000;

/// Maximum number of lost grants whose targets are kept.
const MAX_LOST_GRANTS: usize = 1_024;

impl SlotAllocator {
    /// Frees the slots of grants that were not confirmed within `grant_lease`
    /// and of routers that have not reported for `router_lease`. While this router was
    /// frozen it read no confirmation, so that time does not count.
    pub(super) fn expire_overdue(&mut self, now: Millis) {
        if now.saturating_sub(self.ran_at) > FREEZE_GAP {
            self.catches_up_until = now + CATCH_UP;
        }
        self.ran_at = now;
        let prolongation = if now < self.catches_up_until { MAX_PROLONGATION } else { 0 };
        let limit = self.settings.grant_lease + prolongation;
        let is_lost = |record: &GrantRecord| {
            !record.confirmed && now.saturating_sub(record.issued_at) > limit
        };
        let records = self.grants.iter().filter(|(_, record)| is_lost(record));
        let ids: Vec<GrantId> = records.map(|(id, _)| *id).collect();
        self.expire_grants(ids);
        let lease = self.settings.router_lease;
        let is_silent = |router: &RouterRecord| now.saturating_sub(router.last_report_at) > lease;
        let expired: Vec<Name> = self
            .routers
            .iter()
            .filter(|(_, router)| is_silent(router))
            .map(|(name, _)| Name::clone(name))
            .collect();
        for name in expired {
            self.expire_router_grants(&name);
            if let Some(router) = self.routers.get_mut(&name) {
                router.reachable = false;
                router.queues.clear();
                router.outbox.clear();
            }
        }
    }

    /// Frees the slots of all grants of a router.
    pub(super) fn expire_router_grants(&mut self, router: &Name) {
        let records = self.grants.iter().filter(|(_, record)| record.router == *router);
        let ids = records.map(|(id, _)| *id).collect();
        self.expire_grants(ids);
    }

    /// Frees slots of grants that their router may still use, and keeps the
    /// targets in case a later report lists these grants.
    pub(super) fn expire_grants(&mut self, ids: Vec<GrantId>) {
        for id in ids {
            if let Some(target) = self.slots.target_of(id) {
                self.lost.insert(id, target);
            }
            self.end_grant(id);
        }
        while self.lost.len() > MAX_LOST_GRANTS {
            self.lost.pop_first();
        }
    }

    /// Removes a grant and frees its slot. Unless it was an unused spare grant,
    /// this also resets the failures of its target.
    pub(super) fn end_grant(&mut self, id: GrantId) {
        let Some(record) = self.grants.remove(&id) else { return };
        if let (false, Some(account)) = (record.confirmed, &record.account) {
            self.costs.add_pending(account, -record.estimate);
        }
        if let Some(target) = self.slots.release(id)
            && !record.idle
        {
            self.slots.record_success(&target);
        }
    }
}
