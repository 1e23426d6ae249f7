//! Virtual cost of each account: the cost charged to it, divided by its weight.
//!
//! Based on the virtual token counter of Sheng et al., "Fairness in Serving
//! Large Language Models", OSDI 2024, which raises the counter of an account
//! that becomes backlogged to that of the least-served backlogged account.
//! This implementation also charges an estimate at dispatch and limits how far
//! an account's virtual cost may exceed the lowest one.

use std::collections::BTreeMap;

use base::Name;

use crate::message::SnapshotEntry;

/// Weight of the newest sample in a learned estimate.
const ESTIMATE_GAIN: f64 = 0.1;

#[derive(Clone, Debug)]
pub(crate) struct AccountCost {
    weight: f64,
    virtual_cost: f64,
    /// Estimates of grants that no report has confirmed yet, in cost units.
    pending: f64,
    estimate: Option<f64>,
    backlogged: bool,
}

impl AccountCost {
    fn projected_cost(&self) -> f64 {
        self.virtual_cost + self.pending / self.weight
    }
}

/// Virtual costs of the accounts of one service.
#[derive(Clone, Debug)]
pub(crate) struct CostTable {
    accounts: BTreeMap<Name, AccountCost>,
    weights: BTreeMap<Name, f64>,
    /// Lowest virtual cost among the backlogged accounts, excluding estimates
    /// of requests in progress. Keeps its last value while no account is
    /// backlogged.
    floor: f64,
    /// Moving average of the request cost over all accounts, in cost units.
    common_estimate: f64,
    /// Maximum amount by which a virtual cost may exceed the floor.
    max_lead: f64,
}

impl CostTable {
    pub(crate) fn new(first_estimate: f64, max_lead: f64) -> Self {
        Self {
            accounts: BTreeMap::new(),
            weights: BTreeMap::new(),
            floor: 0.0,
            common_estimate: first_estimate,
            max_lead,
        }
    }

    pub(crate) fn set_weights(&mut self, weights: BTreeMap<Name, f64>) {
        for (name, account) in &mut self.accounts {
            account.weight = weights.get(name).copied().unwrap_or(1.0);
        }
        self.weights = weights;
    }

    pub(crate) fn set_max_lead(&mut self, max_lead: f64) {
        self.max_lead = max_lead;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn account(&mut self, name: &Name) -> &mut AccountCost {
        let weight = self.weights.get(name).copied().unwrap_or(1.0);
        let floor = self.floor;
        self.accounts.entry(Name::clone(name)).or_insert_with(|| AccountCost {
            weight,
            virtual_cost: floor,
            pending: 0.0,
            estimate: None,
            backlogged: false,
        })
    }

    /// Returns the virtual cost including the estimates of unconfirmed grants.
    pub(crate) fn projected_cost(&mut self, name: &Name) -> f64 {
        self.account(name).projected_cost()
    }

    pub(crate) fn weight(&self, name: &Name) -> f64 {
        self.weights.get(name).copied().unwrap_or(1.0)
    }

    /// Returns the cost to charge for the account's next request, in cost units.
    pub(crate) fn estimate(&mut self, name: &Name) -> f64 {
        let common = self.common_estimate;
        self.account(name).estimate.unwrap_or(common)
    }

    pub(crate) fn common_estimate(&self) -> f64 {
        self.common_estimate
    }

    /// Adds a cost that a router charged, in cost units. It is negative when a
    /// request settled below its estimate.
    pub(crate) fn charge(&mut self, name: &Name, cost: f64) {
        let account = self.account(name);
        account.virtual_cost += cost / account.weight;
    }

    /// Adds the estimate of an unconfirmed grant, in cost units; a negative
    /// cost removes it.
    pub(crate) fn add_pending(&mut self, name: &Name, cost: f64) {
        let account = self.account(name);
        account.pending = (account.pending + cost).max(0.0);
    }

    /// Updates the moving averages with `done` ended requests that cost
    /// `done_cost` in total.
    pub(crate) fn update_estimates(&mut self, name: &Name, done: u64, done_cost: f64) {
        if done == 0 {
            return;
        }
        let sample = done_cost / done as f64;
        let gain = 1.0 - (1.0 - ESTIMATE_GAIN).powi(i32::try_from(done).unwrap_or(i32::MAX));
        self.common_estimate += gain * (sample - self.common_estimate);
        let account = self.account(name);
        let old = account.estimate.unwrap_or(sample);
        account.estimate = Some(old + gain * (sample - old));
    }

    /// Records which accounts are backlogged, raises the newly backlogged ones
    /// to the floor and limits every virtual cost to the floor plus `max_lead`.
    ///
    /// `backlogged` must be sorted. `in_progress` holds the estimates of
    /// requests in progress, in cost units. The floor excludes them, so a newly
    /// backlogged account does not start behind estimates that may be too high.
    pub(crate) fn update_backlogged(
        &mut self,
        backlogged: &[Name],
        in_progress: &BTreeMap<Name, f64>,
    ) {
        for name in backlogged {
            let floor = self.floor;
            let account = self.account(name);
            if !account.backlogged {
                account.virtual_cost = account.virtual_cost.max(floor);
            }
        }
        for (name, account) in &mut self.accounts {
            account.backlogged = backlogged.binary_search(name).is_ok();
        }
        let settled = |(name, account): (&Name, &AccountCost)| {
            account.virtual_cost - in_progress.get(name).copied().unwrap_or(0.0) / account.weight
        };
        let backlogged = self.accounts.iter().filter(|(_, account)| account.backlogged);
        let least = backlogged.map(settled).fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            self.floor = least;
        }
        let cap = self.floor + self.max_lead;
        for account in self.accounts.values_mut() {
            account.virtual_cost = account.virtual_cost.min(cap);
        }
    }

    /// Returns the accounts that a new grantor has to know. An account that is
    /// neither backlogged nor above the floor would start from the floor anyway.
    pub(crate) fn snapshot(&self) -> Vec<SnapshotEntry> {
        let is_relevant =
            |account: &AccountCost| account.backlogged || account.virtual_cost > self.floor;
        let entries = self.entries().into_iter();
        entries.filter(|entry| self.accounts.get(&entry.account).is_some_and(is_relevant)).collect()
    }

    pub(crate) fn entries(&self) -> Vec<SnapshotEntry> {
        let entry = |(name, account): (&Name, &AccountCost)| SnapshotEntry {
            account: Name::clone(name),
            virtual_cost: account.virtual_cost,
            estimate: account.estimate.unwrap_or(self.common_estimate),
        };
        self.accounts.iter().map(entry).collect()
    }

    /// Continues from an earlier grantor's snapshot: sets the virtual costs and
    /// estimates of its accounts, and the floor to the lowest of these costs.
    pub(crate) fn restore(&mut self, entries: &[SnapshotEntry]) {
        for entry in entries {
            let account = self.account(&entry.account);
            account.virtual_cost = entry.virtual_cost;
            account.estimate = Some(entry.estimate);
        }
        let virtual_costs = entries.iter().map(|entry| entry.virtual_cost);
        let least = virtual_costs.fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            self.floor = least;
        }
    }
}
