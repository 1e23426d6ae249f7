//! Address answers: which routers an account's callers should use.

use base::{Millis, Name, rank_candidates};

use crate::members::MemberTable;

/// Settings of the address answers.
#[derive(Clone, Debug)]
pub struct AddressSettings {
    /// Routers in an answer at least, when there are as many.
    pub min_routers: usize,
    /// Requests in progress and waiting of one account for which one more
    /// router joins the answer.
    pub requests_per_router: usize,
    /// Milliseconds for which a caller may keep the answer.
    pub lease: Millis,
}

impl Default for AddressSettings {
    fn default() -> Self {
        Self { min_routers: 3, requests_per_router: 16, lease: 10_000 }
    }
}

/// Routers for an account, the preferred one first. The order is by
/// rendezvous, so that one router's coming or going moves few accounts, and
/// never names one that is leaving or cannot be reached.
pub fn select_routers(
    members: &MemberTable,
    settings: &AddressSettings,
    account: &str,
    demand: usize,
    now: Millis,
) -> Vec<Name> {
    let alive = members.alive(now);
    let count = settings.min_routers + demand / settings.requests_per_router;
    rank_candidates(account, &alive).into_iter().take(count).cloned().collect()
}
