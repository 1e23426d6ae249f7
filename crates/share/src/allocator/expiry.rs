//! Ends of grants: given back, lost, or held by a router that fell silent.

use base::{Millis, Name};

use super::SlotAllocator;
use super::records::{GrantRecord, RouterBook};
use crate::message::GrantId;

/// Lost grants that are remembered.
const MAX_LOST_GRANTS: usize = 1_024;

impl SlotAllocator {
    /// Frees the slots of lost grants and of routers that have been silent
    /// for their lease.
    pub(super) fn expire(&mut self, now: Millis) {
        let limit = self.settings.grant_lease;
        let lost =
            |record: &GrantRecord| !record.seen && now.saturating_sub(record.issued_at) > limit;
        let records = self.grants.iter().filter(|(_, record)| lost(record));
        let ids: Vec<GrantId> = records.map(|(id, _)| *id).collect();
        self.lose(ids);
        let lease = self.settings.router_lease;
        let silent = |book: &RouterBook| now.saturating_sub(book.heard_at) > lease;
        let expired: Vec<Name> = self
            .routers
            .iter()
            .filter(|(_, book)| silent(book))
            .map(|(name, _)| Name::clone(name))
            .collect();
        for name in expired {
            self.forget_grants(&name);
            if let Some(book) = self.routers.get_mut(&name) {
                book.reachable = false;
                book.queues.clear();
                book.outbox.clear();
            }
        }
    }

    pub(super) fn forget_grants(&mut self, router: &Name) {
        let records = self.grants.iter().filter(|(_, record)| record.router == *router);
        let ids = records.map(|(id, _)| *id).collect();
        self.lose(ids);
    }

    /// Frees slots whose router may still turn up with them.
    pub(super) fn lose(&mut self, ids: Vec<GrantId>) {
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

    pub(super) fn end_grant(&mut self, id: GrantId) {
        let Some(record) = self.grants.remove(&id) else { return };
        if let (false, Some(account)) = (record.seen, &record.account) {
            self.costs.add_pending(account, -record.estimate);
        }
        if let Some(target) = self.slots.release(id)
            && !record.idle
        {
            self.slots.hear_success(&target);
        }
    }
}
