//! A few routers and their messages in memory, with every fault as a step.

use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Origin, rank_candidates};
use share::{
    AllocatorSettings, DemandSettings, DemandTracker, EnqueueOutcome, Grant, GrantId, Push, Report,
    ReportUrgency, SlotAllocator, TargetInfo, WaitTicket,
};

pub const SERVICE: &str = "svc";
pub const ROUTERS: usize = 4;
pub const ACCOUNTS: [(&str, f64); 4] = [("a", 1.0), ("b", 1.0), ("c", 2.0), ("d", 4.0)];
pub const TARGETS: u32 = 3;
pub const SLOTS: u32 = 2;
pub const MAX_COST: f64 = 100.0;
/// Lead that a ledger allows at most.
pub const MAX_LEAD: f64 = 2.0 * (TARGETS * SLOTS) as f64 * MAX_COST;
/// Time after which nothing of an earlier fault is left: grants lost, leases
/// of routers and their snapshots.
const SETTLE_MS: Millis = 8_000;

/// Age up to which a grant is confirmed before it counts as lost: its lease of
/// a second less the 300 ms that a confirmation may wait. An older one may be
/// granted again while it arrives, which overloads a target for a while.
const TIMELY_MS: Millis = 600;

#[derive(Clone, Debug)]
enum Message {
    Report(Report),
    Push(Push),
}

#[derive(Clone, Debug)]
struct Envelope {
    from: usize,
    to: usize,
    message: Message,
    sent_at: Millis,
}

#[derive(Clone, Debug)]
pub struct Running {
    pub id: GrantId,
    pub account: Name,
    pub router: usize,
}

#[derive(Clone, Debug)]
struct Node {
    origin: Origin,
    book: DemandTracker,
    ledger: SlotAllocator,
    paused: bool,
    group: u8,
    reported_at: Millis,
}

impl Node {
    fn new(name: &Name, incarnation: u64) -> Self {
        let origin = Origin { instance: Name::clone(name), incarnation };
        let settings = AllocatorSettings {
            first_estimate: MAX_COST / 4.0,
            max_lead: MAX_LEAD,
            ..AllocatorSettings::default()
        };
        let mut ledger = SlotAllocator::new(origin.clone(), SERVICE.into(), settings);
        ledger
            .set_weights(ACCOUNTS.iter().map(|(name, weight)| ((*name).into(), *weight)).collect());
        let target = |index| TargetInfo {
            name: format!("t{index}").into(),
            domain: "d".into(),
            slots: SLOTS,
            leaving: false,
        };
        ledger.set_targets((0..TARGETS).map(target).collect());
        let settings = DemandSettings { max_queue: 10_000, ..DemandSettings::default() };
        let book = DemandTracker::new(origin.clone(), SERVICE.into(), settings);
        Self { origin, book, ledger, paused: false, group: 0, reported_at: 0 }
    }
}

/// Routers, messages under way and what an outside observer knows.
#[derive(Clone, Debug)]
pub struct Cluster {
    nodes: Vec<Node>,
    wire: Vec<Envelope>,
    pub now: Millis,
    pub running: Vec<Running>,
    waiting: BTreeMap<WaitTicket, (usize, Name)>,
    dispatched: BTreeSet<WaitTicket>,
    next_ticket: u64,
    next_incarnation: u64,
    /// Cost of what ended, by account.
    pub served: BTreeMap<Name, f64>,
    /// Whether any fault happened that excuses more requests than slots.
    pub faulted: bool,
}

impl Cluster {
    pub fn new() -> Self {
        let name = |index| Name::from(format!("r{index}"));
        let nodes = (0..ROUTERS).map(|index| Node::new(&name(index), index as u64)).collect();
        Self {
            nodes,
            wire: Vec::new(),
            now: 1_000,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            dispatched: BTreeSet::new(),
            next_ticket: 0,
            next_incarnation: 100,
            served: BTreeMap::new(),
            faulted: false,
        }
    }

    pub fn arrive(&mut self, router: usize, account: usize) {
        if self.nodes[router].paused {
            return;
        }
        let account: Name = ACCOUNTS[account].0.into();
        let ticket = WaitTicket(self.next_ticket);
        self.next_ticket += 1;
        match self.nodes[router].book.enqueue(&account, ticket, self.now) {
            EnqueueOutcome::Waiting => {
                self.waiting.insert(ticket, (router, account));
            }
            EnqueueOutcome::Dispatch(grant) => self.dispatch(router, ticket, &account, &grant),
            EnqueueOutcome::Full => panic!("queue of 10000 is full"),
        }
    }

    /// Ends the `nth` running request on a router that is awake.
    pub fn finish(&mut self, nth: usize, cost: f64) {
        let awake: Vec<usize> = (0..self.running.len())
            .filter(|index| !self.nodes[self.running[*index].router].paused)
            .collect();
        if awake.is_empty() {
            return;
        }
        let run = self.running.remove(awake[nth % awake.len()]);
        self.nodes[run.router].book.finish(run.id, cost);
        *self.served.entry(run.account).or_default() += cost;
    }

    /// Lets a router report, grant and push, as its granting task would.
    pub fn pump(&mut self, index: usize) {
        if self.nodes[index].paused {
            return;
        }
        let now = self.now;
        let grantor = self.grantor_of(index);
        let origin = self.nodes[grantor].origin.clone();
        let node = &mut self.nodes[index];
        let is_due = now.saturating_sub(node.reported_at) >= 300;
        if node.book.urgency() == ReportUrgency::Now || is_due {
            node.reported_at = now;
            let report = node.book.build_report(&origin, now);
            if grantor == index {
                self.take_report(index, report);
            } else {
                let message = Message::Report(report);
                let sent_at = now;
                self.wire.push(Envelope { from: index, to: grantor, message, sent_at });
            }
        }
        self.nodes[index].ledger.issue_grants(now);
        self.send_pushes(index);
    }

    /// Delivers the `nth` message under way.
    pub fn deliver(&mut self, nth: usize) {
        let Some(index) = self.pick(nth) else { return };
        let envelope = self.wire.remove(index);
        self.hand_over(envelope);
    }

    pub fn duplicate(&mut self, nth: usize) {
        let Some(index) = self.pick(nth) else { return };
        let envelope = self.wire[index].clone();
        self.hand_over(envelope);
    }

    /// Loses the `nth` message; its sender learns of it.
    pub fn lose(&mut self, nth: usize) {
        let Some(index) = self.pick(nth) else { return };
        let envelope = self.wire.remove(index);
        self.fail(&envelope);
    }

    pub fn tick(&mut self, ms: Millis) {
        self.now += ms;
    }

    pub fn cut(&mut self, mask: u8) {
        self.faulted = true;
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.group = (mask >> index) & 1;
        }
    }

    pub fn heal(&mut self) {
        for node in &mut self.nodes {
            node.group = 0;
        }
    }

    /// Starts a router again with empty memory; its requests die with it.
    pub fn restart(&mut self, index: usize) {
        self.faulted = true;
        self.next_incarnation += 1;
        let name = Name::clone(&self.nodes[index].origin.instance);
        let group = self.nodes[index].group;
        self.nodes[index] = Node { group, ..Node::new(&name, self.next_incarnation) };
        self.running.retain(|run| run.router != index);
        self.waiting.retain(|_, (router, _)| *router != index);
    }

    pub fn pause(&mut self, index: usize) {
        self.faulted = true;
        self.nodes[index].paused = true;
    }

    pub fn wake(&mut self, index: usize) {
        self.nodes[index].paused = false;
    }

    /// Ends every fault and lets all messages arrive.
    pub fn settle(&mut self) {
        self.heal();
        (0..ROUTERS).for_each(|index| self.wake(index));
        let until = self.now + SETTLE_MS;
        while self.now < until {
            self.round();
            self.tick(100);
        }
    }

    /// Every router pumps and every message arrives, in order.
    pub fn round(&mut self) {
        (0..ROUTERS).for_each(|index| self.pump(index));
        while !self.wire.is_empty() {
            self.deliver(0);
        }
        (0..ROUTERS).for_each(|index| self.pump(index));
        while !self.wire.is_empty() {
            self.deliver(0);
        }
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether every account has a waiting request somewhere.
    pub fn all_backlogged(&self) -> bool {
        ACCOUNTS
            .iter()
            .all(|(name, _)| self.waiting.values().any(|(_, account)| **account == **name))
    }

    /// Virtual costs as the grantor of router 0 counts them.
    pub fn levels(&mut self) -> BTreeMap<Name, f64> {
        let grantor = self.grantor_of(0);
        self.nodes[grantor].ledger.virtual_costs().into_iter().collect()
    }

    /// Floats that routers hold unused.
    pub fn spare_grants(&self) -> usize {
        self.nodes.iter().map(|node| node.book.spare_grants()).sum()
    }

    fn grantor_of(&self, index: usize) -> usize {
        let group = self.nodes[index].group;
        let reachable = |other: &usize| {
            let node = &self.nodes[*other];
            *other == index || (node.group == group && !node.paused)
        };
        let reachable: Vec<usize> = (0..ROUTERS).filter(reachable).collect();
        let names: Vec<Name> = reachable
            .iter()
            .map(|other| Name::clone(&self.nodes[*other].origin.instance))
            .collect();
        let first = rank_candidates(SERVICE, &names)[0];
        reachable[names.iter().position(|name| name == first).expect("ranked name is reachable")]
    }

    /// A message between two routers that reach each other, both awake.
    fn pick(&self, nth: usize) -> Option<usize> {
        let open: Vec<usize> =
            (0..self.wire.len()).filter(|index| !self.nodes[self.wire[*index].to].paused).collect();
        (!open.is_empty()).then(|| open[nth % open.len()])
    }

    fn hand_over(&mut self, envelope: Envelope) {
        let (from, to) = (envelope.from, envelope.to);
        if self.now - envelope.sent_at > TIMELY_MS {
            self.faulted = true;
        }
        if self.nodes[from].group != self.nodes[to].group {
            self.fail(&envelope);
            return;
        }
        match envelope.message {
            Message::Report(report) => self.take_report(to, report),
            Message::Push(push) => self.take_push(to, push),
        }
    }

    fn fail(&mut self, envelope: &Envelope) {
        match &envelope.message {
            Message::Report(_) => self.nodes[envelope.from].book.report_failed(),
            Message::Push(_) => {
                let name = Name::clone(&self.nodes[envelope.to].origin.instance);
                self.nodes[envelope.from].ledger.mark_unreachable(&name);
            }
        }
    }

    fn take_report(&mut self, index: usize, report: Report) {
        let now = self.now;
        let router = Name::clone(&report.from.instance);
        let seq = report.seq;
        let node = &mut self.nodes[index];
        node.ledger.apply_report(report, now);
        node.ledger.issue_grants_preferring(Some(&router), now);
        let answer = node.ledger.build_reply(&router, seq, now);
        self.send(index, &router, answer);
        self.send_pushes(index);
    }

    fn send_pushes(&mut self, index: usize) {
        for router in self.nodes[index].ledger.routers_to_push() {
            if let Some(push) = self.nodes[index].ledger.take_push(&router) {
                self.send(index, &router, push);
            }
        }
    }

    fn send(&mut self, from: usize, router: &Name, push: Push) {
        let found = self.nodes.iter().position(|node| node.origin.instance == *router);
        let to = found.expect("push is for a known router");
        if to == from {
            self.take_push(to, push);
            return;
        }
        let (message, sent_at) = (Message::Push(push), self.now);
        self.wire.push(Envelope { from, to, message, sent_at });
    }

    fn take_push(&mut self, index: usize, push: Push) {
        let now = self.now;
        for (ticket, grant) in self.nodes[index].book.receive(push, now) {
            let (router, account) = self.waiting.remove(&ticket).expect("ticket does not wait");
            assert_eq!(router, index, "ticket waits at another router");
            self.dispatch(index, ticket, &account, &grant);
        }
    }

    fn dispatch(&mut self, router: usize, ticket: WaitTicket, account: &Name, grant: &Grant) {
        assert!(self.dispatched.insert(ticket), "request was dispatched twice");
        if let Some(granted) = &grant.account {
            assert_eq!(granted, account, "grant was used by another account");
        }
        let is_taken = self.running.iter().any(|run| run.id == grant.id);
        assert!(!is_taken, "one grant serves two requests");
        let account = Name::clone(account);
        self.running.push(Running { id: grant.id, account, router });
        if !self.faulted {
            let slots = (TARGETS * SLOTS) as usize;
            assert!(self.running.len() <= slots, "more requests than slots without a fault");
        }
    }
}
