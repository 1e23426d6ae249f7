//! Rates at which permits for one cold target are issued, so that all instances together stay
//! under a hard bound.
//!
//! A permit is used within [`COLD_PERMIT_MS`] of the request for it, and its request arrives
//! within [`ARRIVAL_MS`] after that. A bucket of `burst` tokens that is filled at `rate` thus
//! lets at most `burst + rate * SPREAD_S` requests arrive in any one second.
//!
//! With 8.9 requests per second, an overage of 1.5 and a slack of 5, at most 18 requests may
//! arrive in a second. The elected issuer that misses no peer adds 2 + 8.9 * 1.25 = 13.1, and
//! one that misses the peer that would be elected instead, which may issue too, adds 1 + 3.9 *
//! 1.25 = 5.9. Groups that do not hear each other share the rate by their sizes, and the bursts
//! by the same parts.

use base::Millis;
use serde::{Deserialize, Serialize};

/// Time in milliseconds after the request for a permit within which the permit of a cold target
/// is used.
pub const COLD_PERMIT_MS: Millis = 200;
/// Time in milliseconds between the writing of a request and its arrival at the target.
const ARRIVAL_MS: Millis = 50;
/// Length in seconds of the interval in which the permits were issued whose requests arrive in
/// one second.
const SPREAD_S: f64 = 1.0 + (COLD_PERMIT_MS + ARRIVAL_MS) as f64 / 1_000.0;
/// Largest bucket of an issuer. A token that finds its bucket full is lost.
const MAX_BURST: f64 = 2.0;
/// Part of a whole request that the sum of all issuers stays under the next whole number.
const MARGIN: f64 = 0.01;
/// Factor of the cold rate at which a target that answers counts as warm.
const WARM_FACTOR: f64 = 8.0;
/// Increase of the rate of a target after its cold time for each request that it answers in
/// full, in requests per second. The rate thereby grows e-fold in a second at most.
const GROWTH_PER_S: f64 = 1.0;
/// Time in milliseconds after its cold time from which on a target counts as warm without answers:
/// the permits of an instance that is late expire unused, so that it would never learn of any.
pub(crate) const WARM_AFTER_MS: Millis = 6_000;
/// Time in seconds for which the unused rate of such a target is saved.
const GROWTH_BURST_S: f64 = 0.25;

/// Bound of the requests that a cold target gets in any one second from all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor of the rate that the target tolerates.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// What a target tolerates while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests per second from all instances together; over 0.
    pub per_second: f32,
    /// When the cold time ends, on this instance's clock in milliseconds. From then on, the rate
    /// grows with the requests that the target answers in full.
    pub until: Millis,
}

/// Role of an instance that is asked for a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum IssuerRole {
    /// It issues nothing: it has just started, others are elected, or it does not know who else
    /// may issue.
    None,
    /// It is elected by the part of the known fleet that it hears, and hears all peers that
    /// would be elected before it.
    Elected { fraction: f64 },
    /// It is elected by a majority, but misses one peer that would be elected before it.
    Second { fraction: f64 },
}

/// Rate and size of an issuer's bucket for a cold target.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ColdRate {
    pub(crate) per_second: f64,
    pub(crate) burst: f64,
}

impl ColdBounds {
    /// Returns the rate of an issuer while the target tolerates `per_second`; `None` if it issues
    /// nothing.
    pub(crate) fn rate(self, per_second: f64, role: IssuerRole) -> Option<ColdRate> {
        let total = (per_second * self.overage + self.slack).floor() + 1.0 - MARGIN;
        let full_burst = MAX_BURST.min(total / 2.0).max(1.0);
        let full = per_second.min((total - full_burst) / SPREAD_S);
        let rate = match role {
            IssuerRole::None => return None,
            IssuerRole::Elected { fraction } => {
                let bursts = total - full * SPREAD_S;
                ColdRate { per_second: full * fraction, burst: full_burst.min(bursts * fraction) }
            }
            IssuerRole::Second { fraction } => {
                let rest = (total - full_burst - full * SPREAD_S - 1.0) / SPREAD_S;
                ColdRate { per_second: rest.min(full * fraction), burst: 1.0 }
            }
        };
        (rate.per_second > 0.0 && rate.burst >= 1.0).then_some(rate)
    }
}

/// Returns the rate of a target after its cold time that has answered `answered` requests in full
/// since; `None` if it counts as warm.
pub(crate) fn growing_rate(per_second: f64, answered: u32) -> Option<ColdRate> {
    let grown = per_second + f64::from(answered) * GROWTH_PER_S;
    let burst = (grown * GROWTH_BURST_S).max(MAX_BURST);
    (grown < per_second * WARM_FACTOR).then_some(ColdRate { per_second: grown, burst })
}
