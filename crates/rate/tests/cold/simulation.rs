//! A simulated fleet of instances that send to cold targets: heartbeats, permits, callers, and
//! faults. Time advances in steps of 5 ms.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rate::{
    ColdBounds, ColdDecision, ColdLimit, ColdRequest, ColdResponse, FleetView, LivePeer, RateKey,
    RateLimiter, RateSettings, RequestClass,
};

use crate::random::Random;

const STEP_MS: u64 = 5;
/// Time in milliseconds for which a request waits for a permit.
const PERMIT_WAIT_MS: u64 = 50;
/// Heartbeats without which a peer is taken for lost, and the time in milliseconds after which
/// the membership forgets it.
const MISSED_HEARTBEATS: u64 = 3;
const FORGET_MS: u64 = 30_000;
/// Time in milliseconds for which an instance that a peer has listed is live there. Each heartbeat
/// lists one.
const LISTED_MS: u64 = 10_000;
/// Seeds that an instance knows at its start.
const SEEDS: usize = 4;
/// Longest time in milliseconds after which an instance learns that a target is cold.
const LEARN_MS: u64 = 500;
/// Window of the bound, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// A fault of some instances, the first `count` from `first` on.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub kind: FaultKind,
    pub first: usize,
    pub count: usize,
    pub from_ms: u64,
    pub until_ms: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The instances reach each other and no others.
    Cut,
    /// The first and the last of the instances do not reach each other.
    Link,
    /// No instance reaches any other.
    Silence,
    /// The instances do nothing, and messages to them wait.
    Freeze,
    /// The instances are down, then start empty; ones that are down at 0 join.
    Down,
}

/// What happens in one run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub instances: usize,
    /// When each target enters, cold.
    pub enters_at: Vec<u64>,
    /// For how long each target is cold, in milliseconds.
    pub cold_ms: u64,
    pub per_second: f32,
    pub bounds: ColdBounds,
    /// Requests per second for each target.
    pub demand: f64,
    /// Connections are made at multiples of this time only, in milliseconds.
    pub stall_ms: u64,
    /// Messages that are lost, in percent.
    pub loss: u64,
    pub faults: Vec<Fault>,
    pub until_ms: u64,
}

impl Plan {
    /// A fleet whose callers want ten times what the targets tolerate.
    pub fn new(instances: usize, per_second: f32) -> Self {
        Self {
            seed: 1,
            instances,
            enters_at: vec![15_000; 6],
            cold_ms: 20_000,
            per_second,
            bounds: ColdBounds { overage: 1.5, slack: 5.0 },
            demand: 10.0 * f64::from(per_second),
            stall_ms: STEP_MS,
            loss: 1,
            faults: Vec::new(),
            until_ms: 35_000,
        }
    }

    pub fn allowed(&self) -> usize {
        (f64::from(self.per_second) * self.bounds.overage + self.bounds.slack) as usize
    }

    fn heartbeat_ms(&self) -> u64 {
        // As in the membership: three failure domains, with reports between them.
        if self.instances > 120 { 1_200 } else { (self.instances as u64 * 10).max(200) }
    }
}

/// Requests that arrived at each target.
#[derive(Debug, Default)]
pub struct Outcome {
    pub arrivals: Vec<Vec<u64>>,
    /// Messages about permits, requests and responses.
    pub messages: usize,
}

impl Outcome {
    /// Returns the largest number of arrivals at a cold target in a window, with the target and
    /// the end of the window.
    pub fn worst(&self, plan: &Plan) -> (usize, usize, u64) {
        let mut worst = (0, 0, 0);
        for (target, arrivals) in self.arrivals.iter().enumerate() {
            let cold_until = plan.enters_at[target] + plan.cold_ms;
            let mut counted: Vec<u64> =
                arrivals.iter().copied().filter(|at| *at < cold_until).collect();
            counted.sort_unstable();
            for (last, end) in counted.iter().enumerate() {
                let first = counted.partition_point(|at| at + WINDOW_MS <= *end);
                worst = worst.max((last + 1 - first, target, *end));
            }
        }
        worst
    }

    /// Returns the arrivals between two times in percent of what the targets tolerate.
    pub fn percent_used(&self, plan: &Plan, from: u64, until: u64) -> f64 {
        let arrivals = self.arrivals.iter().flatten();
        let count = arrivals.filter(|at| (from..until).contains(*at)).count() as f64;
        let tolerated = f64::from(plan.per_second) * (until - from) as f64 / 1_000.0;
        100.0 * count / (tolerated * plan.enters_at.len() as f64)
    }
}

#[derive(Debug)]
enum Message {
    Ask(usize, ColdRequest),
    Permit(ColdResponse),
    /// A connection was made for a request with a permit that expires at that time.
    Connected(usize, u64),
    Answer(usize),
}

struct WaitingCall {
    number: u64,
    target: usize,
    waits_until: u64,
}

struct Instance {
    limiter: RateLimiter,
    /// When its process started; its clock counts from then on.
    started_at: u64,
    heard_at: BTreeMap<usize, u64>,
    /// When peers listed each instance.
    listed_at: BTreeMap<usize, u64>,
    next_round: u64,
    /// When it learns of each target.
    learns_at: Vec<u64>,
    knows: Vec<bool>,
    waiting: Vec<WaitingCall>,
}

pub struct Simulation {
    plan: Plan,
    random: Random,
    now: u64,
    instances: Vec<Instance>,
    /// Messages on their way by arrival, with the receiver.
    messages: BTreeMap<u64, Vec<(usize, Message)>>,
    outcome: Outcome,
}

fn address(instance: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + instance as u16))
}

fn name(instance: usize) -> String {
    format!("instance-{instance}")
}

fn key(target: usize) -> RateKey {
    RateKey::new(&format!("target-{target}"), 1)
}

impl Instance {
    fn new(index: usize, plan: &Plan, now: u64, random: &mut Random) -> Self {
        let known = plan.instances.min(SEEDS);
        let fleet = FleetView::new(&name(index), true, Vec::new(), known);
        let limiter = RateLimiter::new(fleet, RateSettings::default());
        let next_round = now + random.below(plan.heartbeat_ms());
        let learns_at = plan.enters_at.iter().map(|at| at.max(&now) + random.below(LEARN_MS));
        Self {
            limiter: limiter.with_cold_bounds(Some(plan.bounds)),
            started_at: now,
            heard_at: BTreeMap::new(),
            listed_at: BTreeMap::new(),
            next_round,
            learns_at: learns_at.collect(),
            knows: vec![false; plan.enters_at.len()],
            waiting: Vec::new(),
        }
    }

    fn update_fleet(&mut self, index: usize, plan: &Plan, now: u64) {
        self.heard_at.retain(|_, at| now - *at < FORGET_MS);
        let timeout = (plan.heartbeat_ms() * MISSED_HEARTBEATS).max(1_000);
        let live = self.heard_at.iter().filter(|(_, at)| now - **at <= timeout);
        let live = live.map(|(peer, _)| LivePeer::new(&name(*peer), address(*peer))).collect();
        let known = match self.heard_at.len() {
            0 => plan.instances.min(SEEDS),
            peers => peers + 1,
        };
        let fleet = FleetView::new(&name(index), true, live, known);
        let listed = self.listed_at.iter().filter(|(_, at)| now - **at < LISTED_MS);
        let unheard = listed.filter(|(peer, _)| !self.heard_at.contains_key(peer)).count();
        self.limiter.set_fleet(fleet.with_unheard(unheard), now - self.started_at);
    }
}

impl Simulation {
    pub fn run(plan: &Plan) -> Outcome {
        let mut random = Random(plan.seed);
        let instances =
            (0..plan.instances).map(|index| Instance::new(index, plan, 0, &mut random)).collect();
        let arrivals = vec![Vec::new(); plan.enters_at.len()];
        let mut simulation = Self {
            plan: plan.clone(),
            random,
            now: 0,
            instances,
            messages: BTreeMap::new(),
            outcome: Outcome { arrivals, messages: 0 },
        };
        while simulation.now < plan.until_ms {
            simulation.step();
            simulation.now += STEP_MS;
        }
        simulation.outcome
    }

    fn step(&mut self) {
        for index in 0..self.instances.len() {
            if self.has_fault(index, FaultKind::Down) {
                self.instances[index] =
                    Instance::new(index, &self.plan, self.now, &mut self.random);
            }
        }
        self.deliver();
        for index in 0..self.instances.len() {
            if !self.is_stopped(index) {
                self.run_instance(index);
            }
        }
        self.send_requests();
    }

    fn has_fault(&self, instance: usize, kind: FaultKind) -> bool {
        self.plan.faults.iter().any(|fault| {
            kind == fault.kind
                && (fault.first..fault.first + fault.count).contains(&instance)
                && (fault.from_ms..fault.until_ms).contains(&self.now)
        })
    }

    fn is_stopped(&self, instance: usize) -> bool {
        self.has_fault(instance, FaultKind::Freeze) || self.has_fault(instance, FaultKind::Down)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.plan.faults.iter().all(|fault| {
            let is_active = (fault.from_ms..fault.until_ms).contains(&self.now);
            let cut = fault.first..fault.first + fault.count;
            match fault.kind {
                FaultKind::Cut if is_active => cut.contains(&from) == cut.contains(&to),
                FaultKind::Link if is_active => {
                    let ends = [fault.first, fault.first + fault.count - 1];
                    from == to || !ends.contains(&from) || !ends.contains(&to)
                }
                FaultKind::Silence if is_active => from == to,
                _ => true,
            }
        })
    }

    fn run_instance(&mut self, index: usize) {
        let now = self.now;
        for target in 0..self.plan.enters_at.len() {
            let instance = &mut self.instances[index];
            if !instance.knows[target] && now >= instance.learns_at[target] {
                instance.knows[target] = true;
                let own_now = now - instance.started_at;
                let until = own_now + self.plan.cold_ms;
                let limit = ColdLimit { per_second: self.plan.per_second, until };
                instance.limiter.set_cold(key(target), Some(limit), own_now);
            }
        }
        if now >= self.instances[index].next_round {
            self.instances[index].next_round = now + self.plan.heartbeat_ms();
            self.instances[index].update_fleet(index, &self.plan, now);
            for peer in 0..self.instances.len() {
                let is_lost = self.random.below(100) < self.plan.loss;
                if peer != index && !is_lost && self.reaches(index, peer) && !self.is_stopped(peer)
                {
                    let first = self.random.below(self.plan.instances as u64) as usize;
                    let live = self.instances[index]
                        .heard_at
                        .range(first..)
                        .find(|(_, at)| now - **at < 1_000);
                    if let Some(listed) = live.map(|(listed, _)| *listed).filter(|it| *it != peer) {
                        self.instances[peer].listed_at.insert(listed, now);
                    }
                    let is_new = self.instances[peer].heard_at.insert(index, now).is_none();
                    if is_new {
                        self.instances[peer].update_fleet(peer, &self.plan, now);
                    }
                }
            }
        }
        let instance = &mut self.instances[index];
        let waiting = std::mem::take(&mut instance.waiting);
        let (expired, waiting) = waiting.into_iter().partition(|call| call.waits_until <= now);
        instance.waiting = waiting;
        let expired: Vec<WaitingCall> = expired;
        expired.iter().for_each(|call| instance.limiter.abandon(call.number));
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        self.outcome.messages += 1;
        if self.reaches(from, to) && self.random.below(100) >= self.plan.loss {
            let at = self.now + STEP_MS + self.random.below(5);
            self.messages.entry(at).or_default().push((to, message));
        }
    }

    fn deliver(&mut self) {
        let later = self.messages.split_off(&(self.now + 1));
        let due = std::mem::replace(&mut self.messages, later);
        for (receiver, message) in due.into_values().flatten() {
            if self.has_fault(receiver, FaultKind::Freeze) {
                self.messages.entry(self.now + STEP_MS).or_default().push((receiver, message));
            } else if !self.is_stopped(receiver) {
                self.receive(receiver, message);
            }
        }
    }

    fn receive(&mut self, index: usize, message: Message) {
        let instance = &mut self.instances[index];
        let Some(own_now) = self.now.checked_sub(instance.started_at) else { return };
        match message {
            Message::Ask(peer, request) => {
                let response = instance.limiter.respond_cold(request, own_now);
                self.post(index, peer, Message::Permit(response));
            }
            Message::Permit(response) => {
                let grant = instance.limiter.record_cold_permit(response, own_now);
                let position =
                    instance.waiting.iter().position(|call| call.number == response.number);
                let call = position.map(|position| instance.waiting.swap_remove(position));
                if let (Some(grant), Some(call)) = (grant, call) {
                    self.connect(index, call.target, grant.expires_at);
                }
            }
            Message::Connected(target, expires_at) => {
                if own_now < expires_at {
                    let at = self.now + self.random.below(50);
                    self.outcome.arrivals[target].push(at);
                    let answered_at = at + 30 + self.random.below(100);
                    let answer = (index, Message::Answer(target));
                    self.messages.entry(answered_at).or_default().push(answer);
                }
            }
            Message::Answer(target) => instance.limiter.record_answered(key(target), own_now),
        }
    }

    /// Makes a connection, which rarely takes longer than the permit is valid.
    fn connect(&mut self, index: usize, target: usize, expires_at: u64) {
        let is_slow = self.random.below(20) == 0;
        let at = self.now + if is_slow { self.random.below(400) } else { self.random.below(5) };
        let at = at.max(self.now + STEP_MS).next_multiple_of(self.plan.stall_ms);
        self.messages.entry(at).or_default().push((index, Message::Connected(target, expires_at)));
    }

    fn send_requests(&mut self) {
        let targets = self.plan.enters_at.len() as u64;
        let expected = self.plan.demand * targets as f64 * STEP_MS as f64 / 1_000.0;
        let is_extra = (self.random.below(1_000) as f64) < expected.fract() * 1_000.0;
        for _ in 0..expected as u64 + u64::from(is_extra) {
            let index = self.random.below(self.plan.instances as u64) as usize;
            let target = self.random.below(targets) as usize;
            if self.instances[index].knows[target] && !self.is_stopped(index) {
                self.request(index, target);
            }
        }
    }

    fn request(&mut self, index: usize, target: usize) {
        let instance = &mut self.instances[index];
        let own_now = self.now - instance.started_at;
        match instance.limiter.acquire_cold(key(target), RequestClass::Regular, own_now) {
            None => self.connect(index, target, u64::MAX),
            Some(ColdDecision::Granted { grant, .. }) => {
                self.connect(index, target, grant.expires_at)
            }
            Some(ColdDecision::Unavailable { .. }) => {}
            Some(ColdDecision::Ask(ask)) => {
                let number = ask.request.number;
                let waits_until = self.now + PERMIT_WAIT_MS;
                instance.waiting.push(WaitingCall { number, target, waits_until });
                let issuer = usize::from(ask.issuer.port()) - 1_000;
                self.post(index, issuer, Message::Ask(index, ask.request));
            }
        }
    }
}
