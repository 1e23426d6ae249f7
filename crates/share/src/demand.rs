//! The router's side: its queues, the grants that it holds and the charges of
//! its accounts.

use std::collections::{BTreeMap, VecDeque};

use base::{Millis, Name, Origin};

use crate::message::{
    AccountTotal, Baseline, DemandReport, ForeignSlot, Grant, GrantId, GrantPush, QueueState,
    Snapshot,
};

/// Maximum number of grantors whose sequence numbers are kept.
const MAX_GRANTORS: usize = 64;

/// Identifies a waiting request within its router.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaitTicket(pub u64);

/// Settings of a demand tracker.
#[derive(Clone, Debug)]
pub struct DemandSettings {
    /// Maximum number of waiting requests of one account.
    pub max_queue: usize,
    /// Maximum number of grants kept as spares when requests end. Further grants
    /// are returned.
    pub max_spares: usize,
    /// Time without a message from the grantor after which spare grants are
    /// dropped, in milliseconds.
    pub spare_lease: Millis,
}

impl Default for DemandSettings {
    fn default() -> Self {
        Self { max_queue: 64, max_spares: 2, spare_lease: 3_000 }
    }
}

/// Result of enqueueing a request.
#[derive(Clone, Debug, PartialEq)]
pub enum EnqueueOutcome {
    /// A spare grant was available; the request can be sent at once.
    Dispatch(Grant),
    /// The request waits for a grant.
    Waiting,
    /// The account's queue is full.
    Full,
}

/// A grant that a request uses.
#[derive(Clone, Debug)]
struct HeldGrant {
    grant: Grant,
    account: Name,
    /// Cost charged so far for the request, in cost units.
    charged: f64,
}

/// Charges of one account since this router started.
#[derive(Clone, Debug, Default)]
struct RunningTotal {
    charged: f64,
    done: u64,
    done_cost: f64,
    /// Value of `charged` that a grantor last acknowledged.
    acked: f64,
    /// Whether the current grantor has yet to acknowledge the total.
    dirty: bool,
}

impl RunningTotal {
    fn to_message(&self, account: &Name) -> AccountTotal {
        AccountTotal {
            account: Name::clone(account),
            charged: self.charged,
            done: self.done,
            done_cost: self.done_cost,
        }
    }
}

/// Tracks the queues, grants and account totals of one service at one router.
#[derive(Clone, Debug)]
pub struct DemandTracker {
    own_origin: Origin,
    service: Name,
    settings: DemandSettings,
    queues: BTreeMap<Name, VecDeque<(WaitTicket, Millis)>>,
    /// Grants that no request uses yet, held for the next request.
    spares: Vec<Grant>,
    /// Whether slots are contended, by the grantor's last message.
    contended: bool,
    held: BTreeMap<GrantId, HeldGrant>,
    totals: BTreeMap<Name, RunningTotal>,
    /// Failed sends to each target.
    faults: BTreeMap<Name, u32>,
    grantor: Option<Origin>,
    last_push_at: Millis,
    /// Highest grant sequence number received from each grantor. Earlier
    /// grantors are kept so that their old messages are not accepted again when
    /// they return.
    seen: BTreeMap<Origin, u32>,
    seq: u64,
    /// Sequence number and charges of the last report, until it is answered.
    unacked_report: Option<(u64, Vec<(Name, f64)>)>,
    snapshot: Option<Snapshot>,
    /// Sent with each report until the current grantor answers one.
    baseline: Option<Baseline>,
    urgency: ReportUrgency,
}

/// How soon a change has to be reported to the grantor.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReportUrgency {
    /// Nothing changed; the periodic report is enough.
    Routine,
    /// Grants do not depend on the change, so it may wait a short time and be
    /// reported together with later ones.
    Soon,
    /// A slot became free or an account became backlogged.
    Now,
}

impl DemandTracker {
    /// Creates a tracker without requests or grants.
    pub fn new(own_origin: Origin, service: Name, settings: DemandSettings) -> Self {
        Self {
            own_origin,
            service,
            settings,
            queues: BTreeMap::new(),
            spares: Vec::new(),
            contended: true,
            held: BTreeMap::new(),
            totals: BTreeMap::new(),
            faults: BTreeMap::new(),
            grantor: None,
            last_push_at: 0,
            seen: BTreeMap::new(),
            seq: 0,
            unacked_report: None,
            snapshot: None,
            baseline: None,
            urgency: ReportUrgency::Now,
        }
    }

    /// Sets the maximum number of waiting requests of one account.
    pub fn set_max_queue(&mut self, max_queue: usize) {
        self.settings.max_queue = max_queue;
    }

    /// Adds a request, which uses a spare grant or waits in its account's queue.
    pub fn enqueue(&mut self, account: &Name, ticket: WaitTicket, now: Millis) -> EnqueueOutcome {
        if let Some(grant) = self.take_spare(now) {
            self.hold_grant(grant.clone(), Name::clone(account));
            return EnqueueOutcome::Dispatch(grant);
        }
        let queue = self.queues.entry(Name::clone(account)).or_default();
        if queue.len() >= self.settings.max_queue {
            return EnqueueOutcome::Full;
        }
        queue.push_back((ticket, now));
        let is_first = queue.len() == 1;
        self.raise_urgency(if is_first { ReportUrgency::Now } else { ReportUrgency::Soon });
        EnqueueOutcome::Waiting
    }

    /// Removes a waiting request. Returns `false` if it no longer waits.
    pub fn cancel(&mut self, account: &Name, ticket: WaitTicket) -> bool {
        let Some(queue) = self.queues.get_mut(account) else { return false };
        let Some(index) = queue.iter().position(|(waiting, _)| *waiting == ticket) else {
            return false;
        };
        queue.remove(index);
        self.raise_urgency(ReportUrgency::Soon);
        true
    }

    /// Processes a message of the grantor. Returns the requests to send now.
    pub fn apply_push(&mut self, push: GrantPush, now: Millis) -> Vec<(WaitTicket, Grant)> {
        if self.grantor.as_ref() != Some(&push.grantor) {
            return self.reject_push(push);
        }
        self.last_push_at = now;
        if let Some(snapshot) = push.snapshot {
            self.store_snapshot(snapshot);
        }
        if let Some(seq) = push.answers {
            self.acknowledge_report(seq);
        }
        let mut dispatched = Vec::new();
        for grant in push.grants {
            // The grantor assumes that every grant up to the highest reported
            // sequence number was received, so it treats a duplicated or
            // overtaken grant that is not in use as ended.
            let seen = self.seen.entry(push.grantor.clone()).or_default();
            if grant.id.seq() <= *seen {
                continue;
            }
            *seen = grant.id.seq();
            self.raise_urgency(ReportUrgency::Soon);
            if let Some(pair) = self.assign_grant(grant) {
                dispatched.push(pair);
            }
        }
        self.contended = push.contended;
        if push.contended && !self.spares.is_empty() {
            self.spares.clear();
            self.raise_urgency(ReportUrgency::Now);
        }
        dispatched
    }

    /// Charges a request in progress for its cost so far, in cost units. A cost
    /// below the amount already charged changes nothing.
    pub fn record_progress(&mut self, id: GrantId, cost: f64) {
        let Some(held) = self.held.get_mut(&id) else { return };
        if cost <= held.charged {
            return;
        }
        let total = self.totals.entry(Name::clone(&held.account)).or_default();
        total.charged += cost - held.charged;
        total.dirty = true;
        held.charged = cost;
    }

    /// Settles a request that ended at its cost, in cost units. While slots are
    /// not contended, the grant is kept as a spare, up to `max_spares`; otherwise
    /// it is returned.
    pub fn finish(&mut self, id: GrantId, cost: f64) {
        let Some(grant) = self.settle(id, cost) else { return };
        let is_own = self.grantor.as_ref().is_some_and(|grantor| id.is_from(grantor));
        if self.contended || !is_own || self.spares.len() >= self.settings.max_spares {
            self.raise_urgency(ReportUrgency::Now);
            return;
        }
        self.spares.push(Grant { account: None, ..grant });
        self.raise_urgency(ReportUrgency::Soon);
    }

    /// Settles a request whose target failed at its cost, in cost units, and
    /// returns the spare grants for that target.
    pub fn fail(&mut self, id: GrantId, cost: f64) {
        let Some(grant) = self.settle(id, cost) else { return };
        *self.faults.entry(Name::clone(&grant.target)).or_default() += 1;
        self.spares.retain(|spare| spare.target != grant.target);
        self.raise_urgency(ReportUrgency::Now);
    }

    /// Returns a grant whose request never ran, along with the spare grants for
    /// its target, and takes back the charge.
    pub fn release_unused(&mut self, id: GrantId) {
        let Some(held) = self.held.remove(&id) else { return };
        self.spares.retain(|spare| spare.target != held.grant.target);
        let total = self.totals.entry(held.account).or_default();
        total.charged -= held.charged;
        total.dirty = true;
        self.raise_urgency(ReportUrgency::Now);
    }

    /// Returns how soon the current state has to be reported to the grantor.
    pub fn urgency(&self) -> ReportUrgency {
        self.urgency
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.held.len()
    }

    /// Returns the number of waiting requests of each account.
    pub fn queue_depths(&self) -> impl Iterator<Item = (&Name, usize)> {
        self.queues.iter().map(|(account, queue)| (account, queue.len()))
    }

    /// Returns the number of spare grants.
    pub fn spare_grants(&self) -> usize {
        self.spares.len()
    }

    /// Builds a report of the complete state for `grantor`.
    pub fn build_report(&mut self, grantor: &Origin, now: Millis) -> DemandReport {
        if self.grantor.as_ref() != Some(grantor) {
            self.change_grantor(grantor);
        }
        self.seq += 1;
        self.urgency = ReportUrgency::Routine;
        let totals = self.changed_totals();
        let charges = totals.iter().map(|total| (Name::clone(&total.account), total.charged));
        self.unacked_report = Some((self.seq, charges.collect()));
        let (own, foreign): (Vec<_>, Vec<_>) =
            self.held.iter().partition(|(id, _)| id.is_from(grantor));
        let foreign = foreign
            .into_iter()
            .map(|(id, held)| ForeignSlot { id: *id, target: Name::clone(&held.grant.target) });
        DemandReport {
            from: self.own_origin.clone(),
            service: Name::clone(&self.service),
            seq: self.seq,
            queues: self.queue_states(now),
            held: own.into_iter().map(|(id, _)| *id).collect(),
            idle: self.spares.iter().map(|grant| grant.id).collect(),
            foreign: foreign.collect(),
            seen: self.seen.get(grantor).copied().unwrap_or(0),
            totals,
            faults: self.faults.iter().map(|(name, count)| (Name::clone(name), *count)).collect(),
            baseline: self.baseline.clone(),
        }
    }

    /// Builds a report with all totals and nothing else, for a router that is not
    /// the grantor. Only the gossip mode uses it.
    pub fn build_gossip_report(&self, now: Millis) -> DemandReport {
        let totals = self.totals.iter();
        DemandReport {
            from: self.own_origin.clone(),
            service: Name::clone(&self.service),
            seq: now,
            queues: Vec::new(),
            held: Vec::new(),
            idle: Vec::new(),
            foreign: Vec::new(),
            seen: 0,
            totals: totals.map(|(account, total)| total.to_message(account)).collect(),
            faults: Vec::new(),
            baseline: None,
        }
    }

    /// Records that a report did not reach the grantor; the next one is urgent.
    pub fn record_report_failure(&mut self) {
        self.unacked_report = None;
        self.raise_urgency(ReportUrgency::Now);
    }

    /// Ends a held grant and charges its final cost, in cost units.
    fn settle(&mut self, id: GrantId, cost: f64) -> Option<Grant> {
        let held = self.held.remove(&id)?;
        let total = self.totals.entry(held.account).or_default();
        total.charged += cost - held.charged;
        total.done += 1;
        total.done_cost += cost;
        total.dirty = true;
        Some(held.grant)
    }

    fn raise_urgency(&mut self, urgency: ReportUrgency) {
        self.urgency = self.urgency.max(urgency);
    }

    /// Gives a grant to the first request of its account. A spare grant goes to
    /// the request that has waited longest, or is kept if none waits.
    fn assign_grant(&mut self, grant: Grant) -> Option<(WaitTicket, Grant)> {
        let account = match &grant.account {
            Some(account) => Name::clone(account),
            None => match self.longest_waiting() {
                Some(account) => account,
                None => {
                    self.spares.push(grant);
                    return None;
                }
            },
        };
        let Some((ticket, _)) = self.queues.get_mut(&account).and_then(VecDeque::pop_front) else {
            // The next report does not list the grant, which returns its slot.
            self.raise_urgency(ReportUrgency::Now);
            return None;
        };
        self.hold_grant(grant.clone(), account);
        Some((ticket, grant))
    }

    /// Returns the account whose first request has waited longest.
    fn longest_waiting(&self) -> Option<Name> {
        let heads = self.queues.iter().filter_map(|(account, queue)| {
            let (_, since) = queue.front()?;
            Some((*since, account))
        });
        heads.min().map(|(_, account)| Name::clone(account))
    }

    /// Rejects grants of a router that is not the current grantor. Its allocator
    /// frees their slots when this router's lease there expires.
    fn reject_push(&mut self, _push: GrantPush) -> Vec<(WaitTicket, Grant)> {
        Vec::new()
    }

    /// Takes a spare grant, after dropping all of them if their lease expired.
    fn take_spare(&mut self, now: Millis) -> Option<Grant> {
        if now.saturating_sub(self.last_push_at) > self.settings.spare_lease {
            self.spares.clear();
        }
        self.spares.pop()
    }

    /// Charges the estimate for a request of `account` and holds its grant.
    fn hold_grant(&mut self, grant: Grant, account: Name) {
        let estimate = match &grant.account {
            Some(_) => grant.estimate,
            None => self.known_estimate(&account).unwrap_or(grant.estimate),
        };
        let total = self.totals.entry(Name::clone(&account)).or_default();
        total.charged += estimate;
        total.dirty = true;
        self.raise_urgency(ReportUrgency::Soon);
        self.held.insert(grant.id, HeldGrant { grant, account, charged: estimate });
    }

    /// Returns the account's estimate in the last snapshot, in cost units.
    fn known_estimate(&self, account: &Name) -> Option<f64> {
        let entries = &self.snapshot.as_ref()?.entries;
        let entry = entries.iter().find(|entry| entry.account == *account)?;
        Some(entry.estimate)
    }

    /// Stores a snapshot unless it is older than the stored one of its grantor.
    fn store_snapshot(&mut self, snapshot: Snapshot) {
        let is_newer = self
            .snapshot
            .as_ref()
            .is_none_or(|old| old.grantor != snapshot.grantor || old.seq < snapshot.seq);
        if is_newer {
            self.snapshot = Some(snapshot);
        }
    }

    /// Records that the grantor has processed the report `seq`. An answer to any
    /// report but the last one is ignored.
    fn acknowledge_report(&mut self, seq: u64) {
        let Some((sent_seq, charges)) = self.unacked_report.take() else { return };
        if sent_seq != seq {
            self.unacked_report = Some((sent_seq, charges));
            return;
        }
        self.baseline = None;
        for (account, charged) in charges {
            let Some(total) = self.totals.get_mut(&account) else { continue };
            total.acked = charged;
            total.dirty = total.charged != charged;
        }
    }

    /// Prepares the state for a new grantor: a baseline with the last snapshot,
    /// every total to report again, and no spare grants.
    fn change_grantor(&mut self, grantor: &Origin) {
        let acked = self.totals.iter().map(|(name, total)| (Name::clone(name), total.acked));
        let acked = acked.collect();
        self.baseline = self.snapshot.clone().map(|snapshot| Baseline { snapshot, acked });
        for total in self.totals.values_mut() {
            total.dirty = true;
        }
        self.spares.clear();
        while self.seen.len() > MAX_GRANTORS {
            self.seen.pop_first();
        }
        self.grantor = Some(grantor.clone());
    }

    fn changed_totals(&self) -> Vec<AccountTotal> {
        let changed = self.totals.iter().filter(|(_, total)| total.dirty);
        changed.map(|(account, total)| total.to_message(account)).collect()
    }

    fn queue_states(&self, now: Millis) -> Vec<QueueState> {
        let state = |(account, queue): (&Name, &VecDeque<(WaitTicket, Millis)>)| {
            let (_, since) = queue.front()?;
            Some(QueueState {
                account: Name::clone(account),
                depth: u32::try_from(queue.len()).unwrap_or(u32::MAX),
                head_age: now.saturating_sub(*since),
            })
        };
        self.queues.iter().filter_map(state).collect()
    }
}
