//! A router's side: its queues, the grants that it holds and what its
//! accounts were charged.

use std::collections::{BTreeMap, VecDeque};

use base::{Millis, Name, Origin};

use crate::message::{
    AccountTotal, Baseline, ForeignSlot, Grant, GrantId, Push, QueueState, Report, Snapshot,
};

/// Grantors whose sequence numbers are remembered.
const MAX_GRANTORS: usize = 64;

/// Names a waiting request to its router.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaitTicket(pub u64);

/// Settings of a book.
#[derive(Clone, Debug)]
pub struct DemandSettings {
    /// Requests of one account that may wait.
    pub max_queue: usize,
    /// Slots that are kept for the next request when one ends.
    pub max_spares: usize,
    /// Silence of the grantor after which floats are given up, milliseconds.
    pub spare_lease: Millis,
}

impl Default for DemandSettings {
    fn default() -> Self {
        Self { max_queue: 64, max_spares: 2, spare_lease: 3_000 }
    }
}

/// What became of a new request.
#[derive(Clone, Debug, PartialEq)]
pub enum EnqueueOutcome {
    /// A float was at hand: send at once.
    Dispatch(Grant),
    /// It waits for a grant.
    Waiting,
    /// The account's queue is full.
    Full,
}

#[derive(Clone, Debug)]
struct HeldGrant {
    grant: Grant,
    account: Name,
    charged: f64,
}

#[derive(Clone, Debug, Default)]
struct RunningTotal {
    charged: f64,
    done: u64,
    done_cost: f64,
    /// Charges that the present grantor has taken in.
    acked: f64,
    /// Whether the grantor knows the newest state.
    dirty: bool,
}

impl RunningTotal {
    fn message(&self, account: &Name) -> AccountTotal {
        AccountTotal {
            account: Name::clone(account),
            charged: self.charged,
            done: self.done,
            done_cost: self.done_cost,
        }
    }
}

/// Queues, grants and totals of one service at one router.
#[derive(Clone, Debug)]
pub struct DemandTracker {
    me: Origin,
    service: Name,
    settings: DemandSettings,
    queues: BTreeMap<Name, VecDeque<(WaitTicket, Millis)>>,
    floats: Vec<Grant>,
    /// What the grantor last said of the slots.
    contended: bool,
    held: BTreeMap<GrantId, HeldGrant>,
    totals: BTreeMap<Name, RunningTotal>,
    faults: BTreeMap<Name, u32>,
    grantor: Option<Origin>,
    heard_at: Millis,
    /// Highest sequence number received, by grantor, so that an old message
    /// of an earlier grantor is not taken again when it returns.
    seen: BTreeMap<Origin, u32>,
    seq: u64,
    /// Charges in the report of this sequence number, until it is answered.
    sent: Option<(u64, Vec<(Name, f64)>)>,
    snapshot: Option<Snapshot>,
    baseline: Option<Baseline>,
    urgency: ReportUrgency,
}

/// How soon the grantor has to hear of a change.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReportUrgency {
    /// Nothing changed.
    Never,
    /// Grants do not depend on it; the next report carries it.
    Soon,
    /// A slot became free or an account became backlogged.
    Now,
}

impl DemandTracker {
    /// An empty book.
    pub fn new(me: Origin, service: Name, settings: DemandSettings) -> Self {
        Self {
            me,
            service,
            settings,
            queues: BTreeMap::new(),
            floats: Vec::new(),
            contended: true,
            held: BTreeMap::new(),
            totals: BTreeMap::new(),
            faults: BTreeMap::new(),
            grantor: None,
            heard_at: 0,
            seen: BTreeMap::new(),
            seq: 0,
            sent: None,
            snapshot: None,
            baseline: None,
            urgency: ReportUrgency::Now,
        }
    }

    /// Requests of one account that may wait from now on.
    pub fn set_max_queue(&mut self, queue: usize) {
        self.settings.max_queue = queue;
    }

    /// Takes a new request.
    pub fn enqueue(&mut self, account: &Name, ticket: WaitTicket, now: Millis) -> EnqueueOutcome {
        if let Some(grant) = self.take_float(now) {
            self.hold(grant.clone(), Name::clone(account));
            return EnqueueOutcome::Dispatch(grant);
        }
        let queue = self.queues.entry(Name::clone(account)).or_default();
        if queue.len() >= self.settings.max_queue {
            return EnqueueOutcome::Full;
        }
        queue.push_back((ticket, now));
        let is_first = queue.len() == 1;
        self.raise(if is_first { ReportUrgency::Now } else { ReportUrgency::Soon });
        EnqueueOutcome::Waiting
    }

    /// Takes a waiting request out; false when it no longer waits.
    pub fn cancel(&mut self, account: &Name, ticket: WaitTicket) -> bool {
        let Some(queue) = self.queues.get_mut(account) else { return false };
        let Some(index) = queue.iter().position(|(waiting, _)| *waiting == ticket) else {
            return false;
        };
        queue.remove(index);
        self.raise(ReportUrgency::Soon);
        true
    }

    /// Takes in a grantor's message; returns the requests to send now.
    pub fn receive(&mut self, push: Push, now: Millis) -> Vec<(WaitTicket, Grant)> {
        if self.grantor.as_ref() != Some(&push.grantor) {
            return self.decline(push);
        }
        self.heard_at = now;
        if let Some(snapshot) = push.snapshot {
            self.take_snapshot(snapshot);
        }
        if let Some(seq) = push.answers {
            self.confirm(seq);
        }
        let mut dispatched = Vec::new();
        for grant in push.grants {
            // A doubled or overtaken grant counts as ended at the grantor, which
            // takes every sequence number up to the highest for received.
            let seen = self.seen.entry(push.grantor.clone()).or_default();
            if grant.id.seq() <= *seen {
                continue;
            }
            *seen = grant.id.seq();
            self.raise(ReportUrgency::Soon);
            if let Some(pair) = self.place(grant) {
                dispatched.push(pair);
            }
        }
        self.contended = push.contended;
        if push.contended && !self.floats.is_empty() {
            self.floats.clear();
            self.raise(ReportUrgency::Now);
        }
        dispatched
    }

    /// Counts the cost of a request in progress, in cost units.
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

    /// Settles a request that ended, in cost units. Its slot is kept as a float
    /// while there are slots for everyone, and given back otherwise.
    pub fn finish(&mut self, id: GrantId, cost: f64) {
        let Some(grant) = self.settle(id, cost) else { return };
        let is_own = self.grantor.as_ref().is_some_and(|grantor| id.is_from(grantor));
        if self.contended || !is_own || self.floats.len() >= self.settings.max_spares {
            self.raise(ReportUrgency::Now);
            return;
        }
        self.floats.push(Grant { account: None, ..grant });
        self.raise(ReportUrgency::Soon);
    }

    /// Settles a request whose target failed, in cost units, and gives back
    /// the slots that are kept there.
    pub fn fail(&mut self, id: GrantId, cost: f64) {
        let Some(grant) = self.settle(id, cost) else { return };
        *self.faults.entry(Name::clone(&grant.target)).or_default() += 1;
        self.floats.retain(|float| float.target != grant.target);
        self.raise(ReportUrgency::Now);
    }

    /// Gives a slot back whose request never ran; nothing is charged.
    pub fn release_unused(&mut self, id: GrantId) {
        let Some(held) = self.held.remove(&id) else { return };
        self.floats.retain(|float| float.target != held.grant.target);
        let total = self.totals.entry(held.account).or_default();
        total.charged -= held.charged;
        total.dirty = true;
        self.raise(ReportUrgency::Now);
    }

    /// How soon the grantor has to hear of the newest state.
    pub fn urgency(&self) -> ReportUrgency {
        self.urgency
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.held.len()
    }

    /// Waiting requests by account.
    pub fn queue_depths(&self) -> impl Iterator<Item = (&Name, usize)> {
        self.queues.iter().map(|(account, queue)| (account, queue.len()))
    }

    /// Floats that no request uses.
    pub fn spare_grants(&self) -> usize {
        self.floats.len()
    }

    /// The whole present state for `grantor`.
    pub fn build_report(&mut self, grantor: &Origin, now: Millis) -> Report {
        if self.grantor.as_ref() != Some(grantor) {
            self.change_grantor(grantor);
        }
        self.seq += 1;
        self.urgency = ReportUrgency::Never;
        let totals = self.changed_totals();
        let charges = totals.iter().map(|total| (Name::clone(&total.account), total.charged));
        self.sent = Some((self.seq, charges.collect()));
        let (own, foreign): (Vec<_>, Vec<_>) =
            self.held.iter().partition(|(id, _)| id.is_from(grantor));
        let foreign = foreign
            .into_iter()
            .map(|(id, held)| ForeignSlot { id: *id, target: Name::clone(&held.grant.target) });
        Report {
            from: self.me.clone(),
            service: Name::clone(&self.service),
            seq: self.seq,
            queues: self.queue_states(now),
            held: own.into_iter().map(|(id, _)| *id).collect(),
            idle: self.floats.iter().map(|grant| grant.id).collect(),
            foreign: foreign.collect(),
            seen: self.seen.get(grantor).copied().unwrap_or(0),
            totals,
            faults: self.faults.iter().map(|(name, count)| (Name::clone(name), *count)).collect(),
            baseline: self.baseline.clone(),
        }
    }

    /// A report with every total and nothing else, for a router that is not
    /// the grantor; the gossip baseline uses it.
    pub fn build_gossip_report(&self, now: Millis) -> Report {
        let totals = self.totals.iter();
        Report {
            from: self.me.clone(),
            service: Name::clone(&self.service),
            seq: now,
            queues: Vec::new(),
            held: Vec::new(),
            idle: Vec::new(),
            foreign: Vec::new(),
            seen: 0,
            totals: totals.map(|(account, total)| total.message(account)).collect(),
            faults: Vec::new(),
            baseline: None,
        }
    }

    /// A report did not reach the grantor.
    pub fn report_failed(&mut self) {
        self.sent = None;
        self.raise(ReportUrgency::Now);
    }

    fn settle(&mut self, id: GrantId, cost: f64) -> Option<Grant> {
        let held = self.held.remove(&id)?;
        let total = self.totals.entry(held.account).or_default();
        total.charged += cost - held.charged;
        total.done += 1;
        total.done_cost += cost;
        total.dirty = true;
        Some(held.grant)
    }

    fn raise(&mut self, urgency: ReportUrgency) {
        self.urgency = self.urgency.max(urgency);
    }

    fn place(&mut self, grant: Grant) -> Option<(WaitTicket, Grant)> {
        let account = match &grant.account {
            Some(account) => Name::clone(account),
            None => match self.longest_waiting() {
                Some(account) => account,
                None => {
                    self.floats.push(grant);
                    return None;
                }
            },
        };
        let Some((ticket, _)) = self.queues.get_mut(&account).and_then(VecDeque::pop_front) else {
            // The next report gives the slot back, since it does not hold it.
            self.raise(ReportUrgency::Now);
            return None;
        };
        self.hold(grant.clone(), account);
        Some((ticket, grant))
    }

    fn longest_waiting(&self) -> Option<Name> {
        let heads = self.queues.iter().filter_map(|(account, queue)| {
            let (_, since) = queue.front()?;
            Some((*since, account))
        });
        heads.min().map(|(_, account)| Name::clone(account))
    }

    /// Turns away grants of a process that is not this router's grantor; its
    /// ledger frees them when the router's lease there ends.
    fn decline(&mut self, _push: Push) -> Vec<(WaitTicket, Grant)> {
        Vec::new()
    }

    fn take_float(&mut self, now: Millis) -> Option<Grant> {
        if now.saturating_sub(self.heard_at) > self.settings.spare_lease {
            self.floats.clear();
        }
        self.floats.pop()
    }

    fn hold(&mut self, grant: Grant, account: Name) {
        let estimate = match &grant.account {
            Some(_) => grant.estimate,
            None => self.known_estimate(&account).unwrap_or(grant.estimate),
        };
        let total = self.totals.entry(Name::clone(&account)).or_default();
        total.charged += estimate;
        total.dirty = true;
        self.raise(ReportUrgency::Soon);
        self.held.insert(grant.id, HeldGrant { grant, account, charged: estimate });
    }

    fn known_estimate(&self, account: &Name) -> Option<f64> {
        let entries = &self.snapshot.as_ref()?.entries;
        let entry = entries.iter().find(|entry| entry.account == *account)?;
        Some(entry.estimate)
    }

    fn take_snapshot(&mut self, snapshot: Snapshot) {
        let is_newer = self
            .snapshot
            .as_ref()
            .is_none_or(|old| old.grantor != snapshot.grantor || old.seq < snapshot.seq);
        if is_newer {
            self.snapshot = Some(snapshot);
        }
    }

    fn confirm(&mut self, seq: u64) {
        let Some((sent_seq, charges)) = self.sent.take() else { return };
        if sent_seq != seq {
            self.sent = Some((sent_seq, charges));
            return;
        }
        self.baseline = None;
        for (account, charged) in charges {
            let Some(total) = self.totals.get_mut(&account) else { continue };
            total.acked = charged;
            total.dirty = total.charged != charged;
        }
    }

    fn change_grantor(&mut self, grantor: &Origin) {
        let acked = self.totals.iter().map(|(name, total)| (Name::clone(name), total.acked));
        let acked = acked.collect();
        self.baseline = self.snapshot.clone().map(|snapshot| Baseline { snapshot, acked });
        for total in self.totals.values_mut() {
            total.dirty = true;
        }
        self.floats.clear();
        while self.seen.len() > MAX_GRANTORS {
            self.seen.pop_first();
        }
        self.grantor = Some(grantor.clone());
    }

    fn changed_totals(&self) -> Vec<AccountTotal> {
        let changed = self.totals.iter().filter(|(_, total)| total.dirty);
        changed.map(|(account, total)| total.message(account)).collect()
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
