//! Routers that peers hear and this one does not.

use base::Millis;

use super::MemberTable;

/// Time in milliseconds after a peer has listed an address for which its router is live at that
/// peer: some rounds of heartbeats, each of which lists a part of the live peers.
const LISTED_MS: Millis = 10_000;

impl MemberTable {
    /// Returns the number of addresses that peers have listed lately and that belong to no known
    /// peer: their routers may have just started, or there is no link to them.
    pub fn unheard_count(&self, now: Millis) -> usize {
        let listed = self.candidates.iter().filter(|(address, candidate)| {
            now.saturating_sub(candidate.listed_at) < LISTED_MS
                && !self.peer_addresses.contains(address)
                && **address != self.own_address
        });
        listed.count()
    }
}
