//! Max-min shares of client accounts over the fleet.
//!
//! Load pattern: a few accounts ask for many times their usual, all routers
//! see a part of each account, and the engines give less than is asked for.
//! Every router says how much it is asked for by each account; from the sum
//! each works out the same shares and serves the same fraction of an account's
//! requests, so the fraction holds wherever the account's callers connect. A
//! peer that died drops out of the sum when what it said is too old.

use std::collections::{BTreeMap, HashMap};

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::window::RateWindow;

/// Time for which a computed level holds, in milliseconds: a tenth of the time
/// between two messages of a peer, so its age adds little to theirs.
const LEVEL_AGE_MS: Millis = 20;

/// Most that one router can be asked for by one account, in cost units per
/// second: 10,000 of the largest requests.
const MOST_ASKED: f32 = 1e9;

/// Bounds of the shares.
#[derive(Clone, Copy, Debug)]
pub struct ShareSettings {
    /// Time over which demand is averaged, in milliseconds: half of the window
    /// in which shares are owed, so that a change counts within the window.
    pub window_ms: Millis,
    /// Time after which what a peer said no longer counts, in milliseconds.
    pub peer_age_ms: Millis,
    /// Share that is granted beyond the computed one, as costs are estimates.
    pub headroom: f64,
    /// Requests' worth of credit that an account saves up at a router.
    pub saved_requests: f64,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self { window_ms: 2_000, peer_age_ms: 2_000, headroom: 1.1, saved_requests: 2.0 }
    }
}

/// Demand of one account at one router, in cost units per second.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AccountDemand {
    #[serde(rename = "asked")]
    pub cost_per_s: f32,
}

/// What the shares say of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareVerdict {
    /// The account is within its share with this request.
    pub is_within: bool,
    /// Part of the account's demand that its share covers, 0 to 1.
    pub granted_fraction: f64,
    /// The account's share over the fleet, in cost units per second.
    pub share: f64,
    /// The account's demand over the fleet, in cost units per second.
    pub demand: f64,
}

#[derive(Debug)]
struct AccountState {
    asked: RateWindow,
    /// Cost units that may be granted before the share is used up.
    credit: f64,
    /// Moving average of a request's cost.
    usual_cost: f64,
}

/// Shares of all accounts as this router sees them.
#[derive(Debug)]
pub struct AccountShares {
    settings: ShareSettings,
    accounts: HashMap<Name, AccountState>,
    peers: HashMap<Name, (BTreeMap<Name, AccountDemand>, Millis)>,
    /// Sum of what the peers said, by account.
    peer_asked: HashMap<Name, f64>,
    /// Cost units per second that the fleet gives; 0 when not known.
    capacity: f64,
    /// The level that all accounts may reach, and when it was computed.
    level: Option<(f64, Millis)>,
}

impl AccountShares {
    pub fn new(settings: ShareSettings) -> Self {
        Self {
            settings,
            accounts: HashMap::new(),
            peers: HashMap::new(),
            peer_asked: HashMap::new(),
            capacity: 0.0,
            level: None,
        }
    }

    /// Sets the fleet's capacity in cost units per second.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.level = None;
    }

    /// Sets the time after which what a peer said no longer counts, in
    /// milliseconds: a few of its messages.
    pub fn set_peer_max_age(&mut self, age: Millis) {
        self.settings.peer_age_ms = age;
    }

    /// What a peer is asked for, replacing what it said before.
    pub fn update_peer(
        &mut self,
        peer: Name,
        mut rates: BTreeMap<Name, AccountDemand>,
        now: Millis,
    ) {
        self.forget_peer(&peer);
        // Sums with other values could not be taken back.
        rates.retain(|_, rate| (0.0..=MOST_ASKED).contains(&rate.cost_per_s));
        for (account, rate) in &rates {
            *self.peer_asked.entry(Name::clone(account)).or_default() += f64::from(rate.cost_per_s);
        }
        self.peers.insert(peer, (rates, now));
    }

    fn forget_peer(&mut self, peer: &Name) {
        let Some((rates, _)) = self.peers.remove(peer) else { return };
        for (account, rate) in rates {
            let Some(asked) = self.peer_asked.get_mut(&account) else { continue };
            *asked -= f64::from(rate.cost_per_s);
            // What is left of a sum of fractions that were taken off again.
            if *asked < 1e-3 {
                self.peer_asked.remove(&account);
            }
        }
    }

    /// Drops what peers said too long ago.
    fn forget_silent(&mut self, now: Millis) {
        let age = self.settings.peer_age_ms;
        let silent: Vec<Name> = self
            .peers
            .iter()
            .filter(|(_, (_, at))| now.saturating_sub(*at) > age)
            .map(|(peer, _)| Name::clone(peer))
            .collect();
        for peer in silent {
            self.forget_peer(&peer);
        }
    }

    /// What this router is asked for, by account.
    pub fn own_demands(&mut self, now: Millis) -> Vec<(Name, AccountDemand)> {
        let accounts = self.accounts.iter_mut();
        accounts
            .map(|(name, state)| (Name::clone(name), state.asked.per_second(now) as f32))
            .filter(|(_, cost_per_s)| *cost_per_s > 0.0)
            .map(|(name, cost_per_s)| (name, AccountDemand { cost_per_s }))
            .collect()
    }

    /// A request arrived that costs about `cost`; whether its account is within
    /// its share.
    pub fn admit_request(&mut self, account: &Name, cost: f64, now: Millis) -> ShareVerdict {
        let window_ms = self.settings.window_ms;
        let state = self.accounts.entry(Name::clone(account)).or_insert_with(|| AccountState {
            asked: RateWindow::new(window_ms),
            credit: 0.0,
            usual_cost: cost,
        });
        state.asked.add(cost, now);
        state.usual_cost += (cost - state.usual_cost) * 0.1;
        let own = state.asked.per_second(now);
        let level = self.level(now);
        let demand = own + self.peer_asked.get(account).copied().unwrap_or(0.0);
        let share = demand.min(level * self.settings.headroom);
        let granted_fraction =
            if self.capacity <= 0.0 || demand <= 0.0 { 1.0 } else { share / demand };
        let saved_requests = self.settings.saved_requests;
        let Some(state) = self.accounts.get_mut(account) else {
            return ShareVerdict { is_within: true, granted_fraction, share, demand };
        };
        let most = saved_requests * state.usual_cost.max(cost);
        state.credit = (state.credit + granted_fraction * cost).min(most);
        // Half of the cost is enough: what is overdrawn now is missing later.
        let is_within = state.credit >= cost * 0.5;
        if is_within {
            state.credit -= cost;
        }
        ShareVerdict { is_within, granted_fraction, share, demand }
    }

    /// A request within its share was not served after all.
    pub fn refund(&mut self, account: &Name, cost: f64) {
        let saved_requests = self.settings.saved_requests;
        if let Some(state) = self.accounts.get_mut(account) {
            let most = saved_requests * state.usual_cost.max(cost);
            state.credit = (state.credit + cost).min(most);
        }
    }

    /// The level of all shares, in cost units per second.
    fn level(&mut self, now: Millis) -> f64 {
        if let Some((level, at)) = self.level
            && now.saturating_sub(at) < LEVEL_AGE_MS
        {
            return level;
        }
        self.forget_silent(now);
        let mut demands = self.peer_asked.clone();
        for (name, state) in &mut self.accounts {
            *demands.entry(Name::clone(name)).or_default() += state.asked.per_second(now);
        }
        let level = water_level(demands.into_values(), self.capacity);
        self.level = Some((level, now));
        level
    }
}

/// The level up to which every demand is met when all demands together are over
/// `capacity`; infinite when they are not.
pub fn water_level(demands: impl Iterator<Item = f64>, capacity: f64) -> f64 {
    let mut demands: Vec<f64> = demands.filter(|demand| *demand > 0.0).collect();
    if capacity <= 0.0 || demands.iter().sum::<f64>() <= capacity {
        return f64::INFINITY;
    }
    demands.sort_by(f64::total_cmp);
    let mut rest = capacity;
    let mut count = demands.len();
    for demand in demands {
        let level = rest / count as f64;
        if demand >= level {
            return level;
        }
        rest -= demand;
        count -= 1;
    }
    f64::INFINITY
}
