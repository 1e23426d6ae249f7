//! Max-min fair shares of client accounts over the fleet.
//!
//! Shares matter when a few accounts ask for many times their usual amount, every
//! router sees a part of the demand of each account, and the engines have less
//! capacity than is asked for. Each router announces its demand per account. From
//! the sum all routers compute the same shares, and each router grants the part of
//! an account's share that corresponds to its part of the account's demand, so it
//! does not matter where callers connect. While the engines are overloaded, less than
//! the capacity is granted. The demand of a peer that died is left out once its last
//! message is too old.
//!
//! Capacity and costs have the same unit, which the caller chooses; the gateway
//! counts tokens.

use std::collections::{BTreeMap, HashMap};

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::window::RateWindow;

/// Time in milliseconds for which a computed level is reused: a tenth of the time
/// between two messages of a peer, so that it adds little to their age.
const MAX_LEVEL_AGE_MS: Millis = 20;

/// Maximum demand of one account at one router, in cost units per second: 10,000
/// of the largest requests.
const MAX_DEMAND: f32 = 1e9;

/// Weight of the newest request in the average cost of all requests.
const COST_WEIGHT: f64 = 0.02;

/// Time in seconds for which an account may save its share, as requests come in bursts.
const MAX_BURST_S: f64 = 0.25;

/// Limits for the computation of shares.
#[derive(Clone, Copy, Debug)]
pub struct ShareSettings {
    /// Time in milliseconds over which demand is averaged: half of the window in
    /// which shares are guaranteed, so that a change takes effect within it.
    pub window_ms: Millis,
    /// Age in milliseconds after which the demand of a peer no longer counts.
    pub peer_max_age_ms: Millis,
    /// Factor on the capacity, since the costs of requests are estimates.
    pub headroom: f64,
    /// Maximum credit of an account at one router, as a number of requests.
    pub burst_requests: f64,
    /// Mean fullness of the engines up to which the whole capacity is granted.
    pub max_fullness: f64,
    /// Mean fullness at which only `min_capacity` is granted. Engines have queues,
    /// so it may exceed 1.
    pub overload_fullness: f64,
    /// Fraction of the requests within their shares that are refused as the request rates of
    /// the engines are used up, at which only `min_capacity` is granted.
    pub overload_refusals: f64,
    /// Fraction of the capacity that is granted even by overloaded engines, as
    /// they still complete requests.
    pub min_capacity: f64,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            window_ms: 2_000,
            peer_max_age_ms: 2_000,
            headroom: 1.1,
            burst_requests: 2.0,
            max_fullness: 1.0,
            overload_fullness: 1.3,
            overload_refusals: 0.3,
            min_capacity: 0.25,
        }
    }
}

/// Demand of one account at one router.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AccountDemand {
    /// Cost units per second.
    #[serde(rename = "asked")]
    pub cost_per_s: f32,
}

/// Admission decision on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareVerdict {
    /// Whether the account stays within its share with this request.
    pub is_within: bool,
    /// Fraction of the account's demand that its share covers, from 0 to 1.
    pub granted_fraction: f64,
    /// Share of the account over the fleet, in cost units per second.
    pub share: f64,
    /// Demand of the account over the fleet, in cost units per second.
    pub demand: f64,
    /// Mean fullness of the engines on which the share is based.
    pub fullness: f64,
}

#[derive(Debug)]
struct AccountState {
    demand: RateWindow,
    /// Cost units that may be admitted before the share is used up.
    credit: f64,
    /// When credit was last added.
    credited_at: Millis,
    /// Moving average of the cost of a request.
    average_cost: f64,
}

impl AccountState {
    /// Adds credit for a request: all of its `cost` if the account is below its share.
    /// Over the share, credit grows with time and not with the requests, as their rate
    /// may have risen faster than the demand that this router and its peers know of.
    /// `earlier_demand` is the demand at this router without the request, in cost units
    /// per second; `min_limit` is the least credit that the account may save.
    fn earn(
        &mut self,
        granted_fraction: f64,
        earlier_demand: f64,
        cost: f64,
        min_limit: f64,
        now: Millis,
    ) {
        let elapsed_s = now.saturating_sub(self.credited_at) as f64 / 1_000.0;
        self.credited_at = now;
        let own_share = granted_fraction * earlier_demand;
        let earned = if granted_fraction >= 1.0 {
            cost
        } else if earlier_demand > 0.0 {
            own_share * elapsed_s
        } else {
            granted_fraction * cost
        };
        self.credit = (self.credit + earned).min(min_limit.max(own_share * MAX_BURST_S));
    }
}

/// Computes the shares of all accounts from the demand that this router knows.
#[derive(Debug)]
pub struct AccountShares {
    settings: ShareSettings,
    accounts: HashMap<Name, AccountState>,
    peers: HashMap<Name, (BTreeMap<Name, AccountDemand>, Millis)>,
    /// Sum of the demand of the peers, by account.
    peer_demand: HashMap<Name, f64>,
    /// Capacity of the fleet in cost units per second; 0 if not known.
    capacity: f64,
    /// Mean fullness of the engines, at least 0; at 1 their slots or memory are in
    /// use.
    fullness: f64,
    /// Moving average of the cost of a request of any account; 0 before the first one.
    average_cost: f64,
    /// Moving average of the cost of a request to an engine that names a request rate; 0
    /// before the first one.
    rated_cost: f64,
    /// Fraction of the capacity that the request rates of the engines leave, from 0 to 1.
    rate_fraction: f64,
    /// Whether all engines name a request rate.
    is_rated: bool,
    /// Requests within their shares that were sent or refused for a request rate.
    rated_requests: RateWindow,
    /// Those that were refused.
    rate_refusals: RateWindow,
    /// Largest share of an account, and when it was computed.
    level: Option<(f64, Millis)>,
}

impl AccountShares {
    pub fn new(settings: ShareSettings) -> Self {
        Self {
            settings,
            accounts: HashMap::new(),
            peers: HashMap::new(),
            peer_demand: HashMap::new(),
            capacity: 0.0,
            fullness: 0.0,
            average_cost: 0.0,
            rated_cost: 0.0,
            rate_fraction: 1.0,
            is_rated: false,
            rated_requests: RateWindow::new(settings.window_ms),
            rate_refusals: RateWindow::new(settings.window_ms),
            level: None,
        }
    }

    /// Sets the fleet's capacity in cost units per second.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.level = None;
    }

    /// Returns whether the next request computes the shares anew.
    pub fn is_level_due(&self, now: Millis) -> bool {
        self.level.is_none_or(|(_, at)| now.saturating_sub(at) >= MAX_LEVEL_AGE_MS)
    }

    /// Sets the mean fullness of the engines. The level follows when it is due.
    pub fn set_fullness(&mut self, fullness: f64) {
        self.fullness = fullness;
    }

    /// Sets the request rates of the engines, each in requests per second, `None` for an
    /// engine without a limit. An engine that takes few requests has only that much of its
    /// part of the capacity. The level follows when it is due.
    pub fn set_rate_limits(&mut self, limits: impl Iterator<Item = Option<f64>>) {
        let limits: Vec<Option<f64>> = limits.collect();
        self.is_rated = !limits.is_empty() && limits.iter().all(Option::is_some);
        let engine_capacity = self.capacity / limits.len().max(1) as f64;
        let average_cost = if self.rated_cost > 0.0 { self.rated_cost } else { self.average_cost };
        let fraction = |limit: &Option<f64>| {
            let limit = limit.filter(|_| engine_capacity > 0.0 && average_cost > 0.0);
            limit.map_or(1.0, |limit| (limit * average_cost / engine_capacity).min(1.0))
        };
        let sum: f64 = limits.iter().map(fraction).sum();
        self.rate_fraction = if limits.is_empty() { 1.0 } else { sum / limits.len() as f64 };
    }

    /// Records whether a request within its account's share was refused as the request rates
    /// of the engines are used up, or sent.
    pub fn record_rate_outcome(&mut self, is_refused: bool, now: Millis) {
        self.rated_requests.add(1.0, now);
        self.rate_refusals.add(f64::from(u8::from(is_refused)), now);
    }

    /// Whether a request leaves the request rates of the engines to others: it is smaller than
    /// the average one, and engines without a rate have room for it. A rate counts requests
    /// whatever their size.
    pub fn leaves_rates(&self, cost: f64) -> bool {
        let has_room = !self.is_rated && self.fullness < self.settings.max_fullness;
        has_room && cost < self.average_cost
    }

    /// Records the cost of a request that is sent to an engine that names a request rate.
    pub fn record_rated_cost(&mut self, cost: f64) {
        update_average(&mut self.rated_cost, cost);
    }

    /// Returns the capacity that is granted now, in cost units per second. It falls
    /// while the engines are overloaded or their request rates used up, so that the
    /// accounts with the greatest shares get less, all by the same limit, rather than
    /// those whose router knows most of the load.
    fn granted_capacity(&mut self, now: Millis) -> f64 {
        let refused = self.rate_refusals.sum(now) / self.rated_requests.sum(now).max(1.0);
        let settings = &self.settings;
        let range = settings.overload_fullness - settings.max_fullness;
        let by_fullness = (self.fullness - settings.max_fullness) / range;
        let by_refusals = refused / settings.overload_refusals;
        let overload = by_fullness.max(by_refusals).clamp(0.0, 1.0);
        let fraction = 1.0 - overload * (1.0 - settings.min_capacity);
        self.capacity * settings.headroom * fraction * self.rate_fraction
    }

    /// Sets the age in milliseconds after which the demand of a peer no longer
    /// counts. A live peer sends several messages in this time.
    pub fn set_peer_max_age(&mut self, max_age: Millis) {
        self.settings.peer_max_age_ms = max_age;
    }

    /// Replaces the demand that a peer announced before. Values out of range are
    /// left out.
    pub fn update_peer(
        &mut self,
        peer: Name,
        mut demands: BTreeMap<Name, AccountDemand>,
        now: Millis,
    ) {
        self.remove_peer(&peer);
        // Other values, such as NaN, could not be subtracted from the sums again.
        demands.retain(|_, demand| (0.0..=MAX_DEMAND).contains(&demand.cost_per_s));
        for (account, demand) in &demands {
            *self.peer_demand.entry(Name::clone(account)).or_default() +=
                f64::from(demand.cost_per_s);
        }
        self.peers.insert(peer, (demands, now));
    }

    /// Drops the demand of a peer that is announced as part of its failure domain's.
    pub fn forget_peer(&mut self, peer: &Name) {
        self.remove_peer(peer);
    }

    /// Returns the demand at this router and at `peers` together, by account.
    pub fn joint_demands(&mut self, peers: &[Name], now: Millis) -> Vec<(Name, AccountDemand)> {
        let mut sums: BTreeMap<Name, f32> = BTreeMap::new();
        let own_demands = self.own_demands(now);
        let peer_demands = peers.iter().filter_map(|peer| self.peers.get(peer));
        let peer_demands = peer_demands.flat_map(|(demands, _)| demands);
        let own_demands = own_demands.iter().map(|(account, demand)| (account, demand));
        for (account, demand) in own_demands.chain(peer_demands) {
            *sums.entry(Name::clone(account)).or_default() += demand.cost_per_s;
        }
        sums.into_iter().map(|(name, cost_per_s)| (name, AccountDemand { cost_per_s })).collect()
    }

    fn remove_peer(&mut self, peer: &Name) {
        let Some((demands, _)) = self.peers.remove(peer) else { return };
        for (account, demand) in demands {
            let Some(total) = self.peer_demand.get_mut(&account) else { continue };
            *total -= f64::from(demand.cost_per_s);
            // A smaller remainder is a rounding error: no peer announces the account
            // any more.
            if *total < 1e-3 {
                self.peer_demand.remove(&account);
            }
        }
    }

    /// Drops the demand of peers whose last message is too old.
    fn expire_peers(&mut self, now: Millis) {
        let max_age = self.settings.peer_max_age_ms;
        let expired: Vec<Name> = self
            .peers
            .iter()
            .filter(|(_, (_, received_at))| now.saturating_sub(*received_at) > max_age)
            .map(|(peer, _)| Name::clone(peer))
            .collect();
        for peer in expired {
            self.remove_peer(&peer);
        }
    }

    /// Returns the demand at this router, by account.
    pub fn own_demands(&mut self, now: Millis) -> Vec<(Name, AccountDemand)> {
        let accounts = self.accounts.iter_mut();
        accounts
            .map(|(name, state)| (Name::clone(name), state.demand.per_second(now) as f32))
            .filter(|(_, cost_per_s)| *cost_per_s > 0.0)
            .map(|(name, cost_per_s)| (name, AccountDemand { cost_per_s }))
            .collect()
    }

    /// Records a request with an estimated `cost` and decides whether its account is
    /// within its share.
    pub fn admit_request(&mut self, account: &Name, cost: f64, now: Millis) -> ShareVerdict {
        let window_ms = self.settings.window_ms;
        let state = self.accounts.entry(Name::clone(account)).or_insert_with(|| AccountState {
            demand: RateWindow::new(window_ms),
            credit: 0.0,
            credited_at: now,
            average_cost: cost,
        });
        update_average(&mut self.average_cost, cost);
        let earlier_demand = state.demand.per_second(now);
        state.demand.add(cost, now);
        state.average_cost += (cost - state.average_cost) * 0.1;
        let own_demand = state.demand.per_second(now);
        let level = self.level(now);
        let demand = own_demand + self.peer_demand.get(account).copied().unwrap_or(0.0);
        let share = demand.min(level);
        let granted_fraction =
            if self.capacity <= 0.0 || demand <= 0.0 { 1.0 } else { share / demand };
        let burst_requests = self.settings.burst_requests;
        let fullness = self.fullness;
        let Some(state) = self.accounts.get_mut(account) else {
            return ShareVerdict { is_within: true, granted_fraction, share, demand, fullness };
        };
        let min_limit = burst_requests * state.average_cost.max(cost);
        state.earn(granted_fraction, earlier_demand, cost, min_limit, now);
        // Credit for half of the cost is enough: an overdraft is paid back later.
        let is_within = state.credit >= cost * 0.5;
        if is_within {
            state.credit -= cost;
        }
        ShareVerdict { is_within, granted_fraction, share, demand, fullness }
    }

    /// Gives back the credit for a request that was within its share but not served.
    pub fn refund(&mut self, account: &Name, cost: f64) {
        let burst_requests = self.settings.burst_requests;
        if let Some(state) = self.accounts.get_mut(account) {
            let max_credit = burst_requests * state.average_cost.max(cost);
            state.credit = (state.credit + cost).min(max_credit);
        }
    }

    /// Returns the largest share of an account, in cost units per second.
    fn level(&mut self, now: Millis) -> f64 {
        if let Some((level, _)) = self.level.filter(|_| !self.is_level_due(now)) {
            return level;
        }
        self.expire_peers(now);
        let mut demands = self.peer_demand.clone();
        for (name, state) in &mut self.accounts {
            *demands.entry(Name::clone(name)).or_default() += state.demand.per_second(now);
        }
        let level = water_level(demands.into_values(), self.granted_capacity(now));
        self.level = Some((level, now));
        level
    }
}

/// Moves an average towards a new value; the first one sets it.
fn update_average(average: &mut f64, value: f64) {
    let weight = if *average > 0.0 { COST_WEIGHT } else { 1.0 };
    *average += (value - *average) * weight;
}

/// Returns the max-min fair limit by water-filling: the level up to which each of
/// the `demands` is met such that `capacity` is used up. Infinite if `capacity`
/// suffices for all demands or is not positive.
pub fn water_level(demands: impl Iterator<Item = f64>, capacity: f64) -> f64 {
    let mut demands: Vec<f64> = demands.filter(|demand| *demand > 0.0).collect();
    if capacity <= 0.0 || demands.iter().sum::<f64>() <= capacity {
        return f64::INFINITY;
    }
    demands.sort_by(f64::total_cmp);
    let mut remaining = capacity;
    let mut count = demands.len();
    for demand in demands {
        let level = remaining / count as f64;
        if demand >= level {
            return level;
        }
        remaining -= demand;
        count -= 1;
    }
    f64::INFINITY
}
