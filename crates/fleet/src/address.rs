//! Address responses: the routers that the callers of an account should use.

use base::{Millis, Name, rank_candidates};

use crate::members::MemberTable;

/// Settings of the address responses.
#[derive(Clone, Debug)]
pub struct AddressSettings {
    /// Minimum number of routers in a response, if that many are alive.
    pub min_routers: usize,
    /// Demand of the account, as passed to [`select_routers`], for which one more
    /// router is added to the response.
    pub requests_per_router: usize,
    /// Time for which a caller may keep the response, in milliseconds.
    pub lease: Millis,
}

impl Default for AddressSettings {
    fn default() -> Self {
        Self { min_routers: 3, requests_per_router: 16, lease: 10_000 }
    }
}

/// Returns the routers for an account, the preferred one first. `demand` is the
/// number of the account's requests that wait at this router.
///
/// Rendezvous hashing gives the order, so that adding or removing one router
/// moves few accounts. Routers that drain or cannot be reached are left out.
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
