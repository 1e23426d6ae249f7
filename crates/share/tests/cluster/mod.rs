//! In-memory simulation of a few routers and their messages. Each fault is a
//! method that a test can call at any time.

use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Origin, rank_candidates};
use share::{
    AllocatorSettings, DemandReport, DemandSettings, DemandTracker, EnqueueOutcome, Grant, GrantId,
    GrantPush, ReportUrgency, SlotAllocator, TargetInfo, WaitTicket,
};

pub const SERVICE: &str = "svc";
pub const ROUTERS: usize = 4;
pub const ACCOUNTS: [(&str, f64); 4] = [("a", 1.0), ("b", 1.0), ("c", 2.0), ("d", 4.0)];
pub const TARGETS: u32 = 3;
pub const SLOTS: u32 = 2;
pub const MAX_COST: f64 = 100.0;
/// Maximum amount by which an allocator lets a virtual cost exceed the lowest one.
pub const MAX_LEAD: f64 = 2.0 * (TARGETS * SLOTS) as f64 * MAX_COST;
/// Time after which no effect of an earlier fault is left: lost grants, router
/// leases and snapshots.
const SETTLE_MS: Millis = 8_000;

/// Maximum age of a message that is not late. A grant delivered by then is
/// confirmed before it counts as lost: the grant lease is 1 s, and a confirmation
/// may be delayed by 300 ms. The slot of an older grant may be granted again
/// before it arrives, which overloads the target temporarily.
const TIMELY_MS: Millis = 600;

#[derive(Clone, Debug)]
enum Message {
    Report(DemandReport),
    Push(GrantPush),
}

/// A message in flight between two routers.
#[derive(Clone, Debug)]
struct Envelope {
    from: usize,
    to: usize,
    message: Message,
    sent_at: Millis,
}

/// A request in progress at a target.
#[derive(Clone, Debug)]
pub struct RunningRequest {
    pub id: GrantId,
    pub account: Name,
    pub router: usize,
}

/// One router with both sides of the service.
#[derive(Clone, Debug)]
struct Node {
    origin: Origin,
    tracker: DemandTracker,
    allocator: SlotAllocator,
    paused: bool,
    /// Side of a partition; routers reach only those of the same group.
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
        let mut allocator = SlotAllocator::new(origin.clone(), SERVICE.into(), settings);
        allocator
            .set_weights(ACCOUNTS.iter().map(|(name, weight)| ((*name).into(), *weight)).collect());
        let target = |index| TargetInfo {
            name: format!("t{index}").into(),
            domain: "d".into(),
            slots: SLOTS,
            leaving: false,
        };
        allocator.set_targets((0..TARGETS).map(target).collect());
        let settings = DemandSettings { max_queue: 10_000, ..DemandSettings::default() };
        let tracker = DemandTracker::new(origin.clone(), SERVICE.into(), settings);
        Self { origin, tracker, allocator, paused: false, group: 0, reported_at: 0 }
    }
}

/// Routers, messages in flight and the requests as an outside observer sees them.
#[derive(Clone, Debug)]
pub struct Cluster {
    nodes: Vec<Node>,
    in_flight: Vec<Envelope>,
    pub now: Millis,
    pub running: Vec<RunningRequest>,
    waiting: BTreeMap<WaitTicket, (usize, Name)>,
    dispatched: BTreeSet<WaitTicket>,
    next_ticket: u64,
    next_incarnation: u64,
    /// Cost of the requests that ended, by account.
    pub served: BTreeMap<Name, f64>,
    /// Whether a fault occurred that may cause more running requests than slots.
    pub faulted: bool,
}

impl Cluster {
    pub fn new() -> Self {
        let name = |index| Name::from(format!("r{index}"));
        let nodes = (0..ROUTERS).map(|index| Node::new(&name(index), index as u64)).collect();
        Self {
            nodes,
            in_flight: Vec::new(),
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

    /// Adds a request at a router, unless the router is paused.
    pub fn arrive(&mut self, router: usize, account: usize) {
        if self.nodes[router].paused {
            return;
        }
        let account: Name = ACCOUNTS[account].0.into();
        let ticket = WaitTicket(self.next_ticket);
        self.next_ticket += 1;
        match self.nodes[router].tracker.enqueue(&account, ticket, self.now) {
            EnqueueOutcome::Waiting => {
                self.waiting.insert(ticket, (router, account));
            }
            EnqueueOutcome::Dispatch(grant) => self.dispatch(router, ticket, &account, &grant),
            EnqueueOutcome::Full => panic!("queue of 10000 is full"),
        }
    }

    /// Ends the `nth` running request among those of routers that are not paused.
    pub fn finish(&mut self, nth: usize, cost: f64) {
        let candidates: Vec<usize> = (0..self.running.len())
            .filter(|index| !self.nodes[self.running[*index].router].paused)
            .collect();
        if candidates.is_empty() {
            return;
        }
        let request = self.running.remove(candidates[nth % candidates.len()]);
        self.nodes[request.router].tracker.finish(request.id, cost);
        *self.served.entry(request.account).or_default() += cost;
    }

    /// Lets a router report, issue grants and send them, as its granting task does.
    pub fn run_router(&mut self, index: usize) {
        if self.nodes[index].paused {
            return;
        }
        let now = self.now;
        let grantor = self.grantor_of(index);
        let origin = self.nodes[grantor].origin.clone();
        let node = &mut self.nodes[index];
        let is_due = now.saturating_sub(node.reported_at) >= 300;
        if node.tracker.urgency() == ReportUrgency::Now || is_due {
            node.reported_at = now;
            let report = node.tracker.build_report(&origin, now);
            if grantor == index {
                self.handle_report(index, report);
            } else {
                let message = Message::Report(report);
                let sent_at = now;
                self.in_flight.push(Envelope { from: index, to: grantor, message, sent_at });
            }
        }
        self.nodes[index].allocator.issue_grants(now);
        self.send_pushes(index);
    }

    /// Delivers the `nth` message in flight.
    pub fn deliver(&mut self, nth: usize) {
        let Some(index) = self.pick_message(nth) else { return };
        let envelope = self.in_flight.remove(index);
        self.deliver_envelope(envelope);
    }

    /// Delivers the `nth` message and keeps it in flight.
    pub fn duplicate(&mut self, nth: usize) {
        let Some(index) = self.pick_message(nth) else { return };
        let envelope = self.in_flight[index].clone();
        self.deliver_envelope(envelope);
    }

    /// Loses the `nth` message. Its sender sees the send fail.
    pub fn lose(&mut self, nth: usize) {
        let Some(index) = self.pick_message(nth) else { return };
        let envelope = self.in_flight.remove(index);
        self.fail_send(&envelope);
    }

    pub fn tick(&mut self, ms: Millis) {
        self.now += ms;
    }

    /// Splits the routers into two groups by the bits of `mask`.
    pub fn partition(&mut self, mask: u8) {
        self.faulted = true;
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.group = (mask >> index) & 1;
        }
    }

    /// Ends a partition.
    pub fn heal(&mut self) {
        for node in &mut self.nodes {
            node.group = 0;
        }
    }

    /// Restarts a router with empty memory. Its requests are lost.
    pub fn restart(&mut self, index: usize) {
        self.faulted = true;
        self.next_incarnation += 1;
        let name = Name::clone(&self.nodes[index].origin.instance);
        let group = self.nodes[index].group;
        self.nodes[index] = Node { group, ..Node::new(&name, self.next_incarnation) };
        self.running.retain(|request| request.router != index);
        self.waiting.retain(|_, (router, _)| *router != index);
    }

    pub fn pause(&mut self, index: usize) {
        self.faulted = true;
        self.nodes[index].paused = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
    }

    /// Ends every fault and runs until all effects of it are over.
    pub fn settle(&mut self) {
        self.heal();
        (0..ROUTERS).for_each(|index| self.resume(index));
        let until = self.now + SETTLE_MS;
        while self.now < until {
            self.run_round();
            self.tick(100);
        }
    }

    /// Twice runs every router and delivers every message in order.
    pub fn run_round(&mut self) {
        (0..ROUTERS).for_each(|index| self.run_router(index));
        while !self.in_flight.is_empty() {
            self.deliver(0);
        }
        (0..ROUTERS).for_each(|index| self.run_router(index));
        while !self.in_flight.is_empty() {
            self.deliver(0);
        }
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether every account has a waiting request at some router.
    pub fn all_backlogged(&self) -> bool {
        ACCOUNTS
            .iter()
            .all(|(name, _)| self.waiting.values().any(|(_, account)| **account == **name))
    }

    /// Returns the virtual costs at the grantor of router 0.
    pub fn virtual_costs(&mut self) -> BTreeMap<Name, f64> {
        let grantor = self.grantor_of(0);
        self.nodes[grantor].allocator.virtual_costs().into_iter().collect()
    }

    /// Returns the number of spare grants that routers hold.
    pub fn spare_grants(&self) -> usize {
        self.nodes.iter().map(|node| node.tracker.spare_grants()).sum()
    }

    /// Returns the grantor as the router `index` determines it.
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

    /// Returns the index of the `nth` message whose receiver is not paused.
    fn pick_message(&self, nth: usize) -> Option<usize> {
        let candidates: Vec<usize> = (0..self.in_flight.len())
            .filter(|index| !self.nodes[self.in_flight[*index].to].paused)
            .collect();
        (!candidates.is_empty()).then(|| candidates[nth % candidates.len()])
    }

    /// Delivers a message, or fails it if a partition separates the routers.
    fn deliver_envelope(&mut self, envelope: Envelope) {
        let (from, to) = (envelope.from, envelope.to);
        if self.now - envelope.sent_at > TIMELY_MS {
            self.faulted = true;
        }
        if self.nodes[from].group != self.nodes[to].group {
            self.fail_send(&envelope);
            return;
        }
        match envelope.message {
            Message::Report(report) => self.handle_report(to, report),
            Message::Push(push) => self.handle_push(to, push),
        }
    }

    /// Tells the sender of a message that it was not delivered.
    fn fail_send(&mut self, envelope: &Envelope) {
        match &envelope.message {
            Message::Report(_) => self.nodes[envelope.from].tracker.record_report_failure(),
            Message::Push(_) => {
                let name = Name::clone(&self.nodes[envelope.to].origin.instance);
                self.nodes[envelope.from].allocator.mark_unreachable(&name);
            }
        }
    }

    /// Lets a router process a report and send the reply and further grants.
    fn handle_report(&mut self, index: usize, report: DemandReport) {
        let now = self.now;
        let router = Name::clone(&report.from.instance);
        let seq = report.seq;
        let node = &mut self.nodes[index];
        node.allocator.apply_report(report, now);
        node.allocator.issue_grants_preferring(Some(&router), now);
        let reply = node.allocator.build_reply(&router, seq, now);
        self.send(index, &router, reply);
        self.send_pushes(index);
    }

    fn send_pushes(&mut self, index: usize) {
        for router in self.nodes[index].allocator.routers_to_push() {
            if let Some(push) = self.nodes[index].allocator.take_push(&router) {
                self.send(index, &router, push);
            }
        }
    }

    fn send(&mut self, from: usize, router: &Name, push: GrantPush) {
        let found = self.nodes.iter().position(|node| node.origin.instance == *router);
        let to = found.expect("push is for a known router");
        if to == from {
            self.handle_push(to, push);
            return;
        }
        let (message, sent_at) = (Message::Push(push), self.now);
        self.in_flight.push(Envelope { from, to, message, sent_at });
    }

    fn handle_push(&mut self, index: usize, push: GrantPush) {
        let now = self.now;
        for (ticket, grant) in self.nodes[index].tracker.apply_push(push, now) {
            let (router, account) = self.waiting.remove(&ticket).expect("ticket is not waiting");
            assert_eq!(router, index, "ticket is waiting at another router");
            self.dispatch(index, ticket, &account, &grant);
        }
    }

    /// Starts a request and checks that its grant allows it.
    fn dispatch(&mut self, router: usize, ticket: WaitTicket, account: &Name, grant: &Grant) {
        assert!(self.dispatched.insert(ticket), "request was dispatched twice");
        if let Some(granted) = &grant.account {
            assert_eq!(granted, account, "grant was used for another account");
        }
        let is_used = self.running.iter().any(|request| request.id == grant.id);
        assert!(!is_used, "grant was used for two requests");
        let account = Name::clone(account);
        self.running.push(RunningRequest { id: grant.id, account, router });
        if !self.faulted {
            let slots = (TARGETS * SLOTS) as usize;
            assert!(self.running.len() <= slots, "more requests than slots without a fault");
        }
    }
}
