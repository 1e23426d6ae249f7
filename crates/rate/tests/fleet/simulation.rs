//! A simulated fleet: routers with a limiter each, targets that name limits, callers, and
//! messages that are late or lost. Time advances in steps of 5 ms.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rate::{
    FleetView, LimitNotice, LivePeer, PermitDecision, PermitRequest, PermitResponse, RateKey,
    RateLimiter, RateSettings, RequestClass,
};

use crate::random::Random;

pub const STEP_MS: u64 = 5;
/// Time in milliseconds after which a target's limit binds, and a router that was disturbed
/// is bound again.
pub const CONTACT_MS: u64 = 3_000;
/// Time in milliseconds after which a router that passed on a limit is bound by it.
const TOLD_MS: u64 = 500;
/// Window in which arrivals are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Arrivals in a window beyond one and a half times the limit.
const EXTRA: f64 = 5.0;
/// Time in milliseconds for which a request waits for a permit, and the targets that it tries.
const PERMIT_WAIT_MS: u64 = 40;
const MAX_TRIES: usize = 3;
/// Heartbeats without which a peer is taken for lost, and the time in milliseconds after which
/// it is forgotten.
const MISSED_HEARTBEATS: u64 = 5;
const FORGET_MS: u64 = 30_000;

/// A fault of some routers, the first `count` from `first` on.
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
    /// The routers reach each other and no others.
    Cut,
    /// The routers do nothing, and messages to them wait.
    Freeze,
    /// The routers are down, then start empty.
    Restart,
    /// The control threads of the routers are late by up to 200 ms.
    Late,
}

/// Limits of one target: from when on it names which, in requests per second.
pub type LimitSchedule = Vec<(u64, Option<f32>)>;

/// What happens in one run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub routers: usize,
    pub limits: Vec<LimitSchedule>,
    pub requests_per_s: u64,
    /// Weight of the first router's callers against those of the others.
    pub first_weight: u64,
    /// Requests beyond their account's share, in percent.
    pub spare: u64,
    pub heartbeat_ms: u64,
    /// Messages that are lost, in percent.
    pub loss: u64,
    pub faults: Vec<Fault>,
    pub until_ms: u64,
}

#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: u64,
    pub is_bound: bool,
    pub is_spare: bool,
}

/// What was seen in one run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub arrivals: Vec<Vec<Arrival>>,
    /// Messages about permits.
    pub messages: usize,
    /// Time at which the last router had forgotten all limits.
    pub limits_known_until: u64,
}

enum Message {
    /// Sender, when its process started, and its notice.
    Heartbeat(usize, u64, LimitNotice),
    Ask(usize, PermitRequest),
    Permit(PermitResponse),
    /// The response of a target: target, time of sending, limit.
    Response(usize, u64, Option<f32>),
}

/// A request that waits for a permit.
struct WaitingCall {
    number: u64,
    targets: Vec<usize>,
    class: RequestClass,
    waits_until: u64,
}

struct Router {
    limiter: RateLimiter,
    /// When its process started; its clock counts from then on.
    started_at: u64,
    heard_at: BTreeMap<usize, u64>,
    peers_started_at: BTreeMap<usize, u64>,
    next_heartbeat: u64,
    /// When it passed on the first limit of each target.
    told_at: BTreeMap<usize, u64>,
    disturbed_at: Option<u64>,
    waiting: Vec<WaitingCall>,
}

pub struct Simulation {
    plan: Plan,
    random: Random,
    now: u64,
    routers: Vec<Router>,
    /// Messages on their way by arrival, with the receiver.
    messages: BTreeMap<u64, Vec<(usize, Message)>>,
    outcome: Outcome,
}

fn address(router: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + router as u16))
}

fn name(router: usize) -> String {
    format!("router-{router}")
}

fn key(target: usize) -> RateKey {
    RateKey::new(&format!("target-{target}"), 1)
}

impl Router {
    fn new(index: usize, plan: &Plan, now: u64) -> Self {
        // A router that has not heard any peer knows only its seeds.
        let fleet = FleetView::new(&name(index), true, Vec::new(), plan.routers.min(4));
        Self {
            limiter: RateLimiter::new(fleet, RateSettings::default()),
            started_at: now,
            heard_at: BTreeMap::new(),
            peers_started_at: BTreeMap::new(),
            next_heartbeat: now,
            told_at: BTreeMap::new(),
            disturbed_at: None,
            waiting: Vec::new(),
        }
    }

    fn update_fleet(&mut self, index: usize, plan: &Plan, now: u64) {
        self.heard_at.retain(|_, at| now - *at < FORGET_MS);
        let is_live = |at: u64| now - at <= plan.heartbeat_ms * MISSED_HEARTBEATS;
        let live = self.heard_at.iter().filter(|(_, at)| is_live(**at));
        let live = live.map(|(peer, _)| LivePeer::new(&name(*peer), address(*peer))).collect();
        let known = self.heard_at.len() + 1;
        let known = if known == 1 { plan.routers.min(4) } else { known };
        let fleet = FleetView::new(&name(index), true, live, known);
        self.limiter.set_fleet(fleet, now - self.started_at);
    }
}

impl Simulation {
    pub fn new(plan: Plan) -> Self {
        Self {
            random: Random(plan.seed),
            now: 0,
            routers: (0..plan.routers).map(|index| Router::new(index, &plan, 0)).collect(),
            messages: BTreeMap::new(),
            outcome: Outcome {
                arrivals: vec![Vec::new(); plan.limits.len()],
                ..Outcome::default()
            },
            plan,
        }
    }

    pub fn run(mut self) -> Outcome {
        while self.now < self.plan.until_ms {
            self.apply_faults();
            self.deliver();
            self.send_heartbeats();
            self.expire_waiting();
            self.send_requests();
            let is_known = |router: &Router| router.limiter.limited_targets() > 0;
            if self.routers.iter().any(is_known) {
                self.outcome.limits_known_until = self.now;
            }
            self.now += STEP_MS;
        }
        self.outcome
    }

    fn has_fault(&self, router: usize, kinds: &[FaultKind]) -> bool {
        self.plan.faults.iter().any(|fault| {
            kinds.contains(&fault.kind)
                && (fault.first..fault.first + fault.count).contains(&router)
                && (fault.from_ms..fault.until_ms).contains(&self.now)
        })
    }

    fn is_stopped(&self, router: usize) -> bool {
        self.has_fault(router, &[FaultKind::Freeze, FaultKind::Restart])
    }

    fn apply_faults(&mut self) {
        for index in 0..self.routers.len() {
            let kinds = [FaultKind::Cut, FaultKind::Freeze, FaultKind::Restart, FaultKind::Late];
            if self.has_fault(index, &kinds) {
                self.routers[index].disturbed_at = Some(self.now);
            }
            if self.has_fault(index, &[FaultKind::Restart]) {
                let disturbed_at = self.routers[index].disturbed_at;
                self.routers[index] = Router::new(index, &self.plan, self.now);
                self.routers[index].disturbed_at = disturbed_at;
            }
        }
    }

    /// Whether two routers are on the same side of each cut.
    fn reaches(&self, from: usize, to: usize) -> bool {
        self.plan.faults.iter().all(|fault| {
            let is_active =
                fault.kind == FaultKind::Cut && (fault.from_ms..fault.until_ms).contains(&self.now);
            let cut = fault.first..fault.first + fault.count;
            !is_active || cut.contains(&from) == cut.contains(&to)
        })
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        if !self.reaches(from, to) || self.random.below(100) < self.plan.loss {
            return;
        }
        let late_ms = if self.has_fault(to, &[FaultKind::Late]) { 200 } else { 3 };
        let at = self.now + STEP_MS + self.random.below(late_ms);
        self.messages.entry(at).or_default().push((to, message));
    }

    fn deliver(&mut self) {
        let later = self.messages.split_off(&(self.now + 1));
        let due = std::mem::replace(&mut self.messages, later);
        for (receiver, message) in due.into_values().flatten() {
            if self.has_fault(receiver, &[FaultKind::Restart]) {
                continue;
            }
            if self.has_fault(receiver, &[FaultKind::Freeze]) {
                let next = self.now + STEP_MS;
                self.messages.entry(next).or_default().push((receiver, message));
                continue;
            }
            self.receive(receiver, message);
        }
    }

    fn receive(&mut self, index: usize, message: Message) {
        let now = self.now;
        let router = &mut self.routers[index];
        match message {
            Message::Heartbeat(peer, started_at, notice) => {
                let is_known = router.heard_at.insert(peer, now).is_some();
                let has_started = router.peers_started_at.insert(peer, started_at);
                router.limiter.merge(&notice, now - router.started_at);
                if !is_known || has_started != Some(started_at) {
                    router.update_fleet(index, &self.plan, now);
                }
            }
            Message::Ask(peer, request) => {
                let response = router.limiter.respond(request, now - router.started_at);
                self.outcome.messages += 1;
                self.post(index, peer, Message::Permit(response));
            }
            Message::Permit(response) => {
                let number = response.number;
                let is_granted = router.limiter.record_permit(response, now - router.started_at);
                let position = router.waiting.iter().position(|call| call.number == number);
                let (Some(position), Some(is_granted)) = (position, is_granted) else { return };
                let mut call = router.waiting.swap_remove(position);
                let target = call.targets.remove(0);
                if is_granted {
                    self.send(index, target, call.class);
                } else {
                    self.try_targets(index, call.targets, call.class);
                }
            }
            // Responses to an earlier process end with its connections.
            Message::Response(_, sent_at, _) if sent_at < router.started_at => {}
            Message::Response(target, sent_at, per_second) => {
                let (sent_at, now) = (sent_at - router.started_at, now - router.started_at);
                router.limiter.record_response(key(target), per_second, sent_at, now);
                if per_second.is_some() {
                    router.told_at.entry(target).or_insert(self.now);
                }
            }
        }
    }

    fn send_heartbeats(&mut self) {
        for index in 0..self.routers.len() {
            if self.is_stopped(index) || self.now < self.routers[index].next_heartbeat {
                continue;
            }
            let jitter = self.random.below(20);
            let router = &mut self.routers[index];
            router.next_heartbeat = self.now + self.plan.heartbeat_ms + jitter;
            router.update_fleet(index, &self.plan, self.now);
            let started_at = router.started_at;
            let notice = router.limiter.notice(self.now - started_at);
            for peer in (0..self.routers.len()).filter(|peer| *peer != index) {
                self.post(index, peer, Message::Heartbeat(index, started_at, notice.clone()));
            }
        }
    }

    fn expire_waiting(&mut self) {
        for index in 0..self.routers.len() {
            if self.is_stopped(index) {
                continue;
            }
            let now = self.now;
            let waiting = std::mem::take(&mut self.routers[index].waiting);
            let (expired, waiting) =
                waiting.into_iter().partition(|call: &WaitingCall| call.waits_until <= now);
            self.routers[index].waiting = waiting;
            for call in expired {
                self.routers[index].limiter.abandon(call.number);
                self.try_targets(index, call.targets[1..].to_vec(), call.class);
            }
        }
    }

    fn send_requests(&mut self) {
        let weight = self.plan.first_weight + self.plan.routers as u64 - 1;
        let per_mille = self.plan.requests_per_s * STEP_MS;
        let count = per_mille / 1_000 + u64::from(self.random.below(1_000) < per_mille % 1_000);
        for _ in 0..count {
            let pick = self.random.below(weight);
            let router = pick.saturating_sub(self.plan.first_weight - 1) as usize;
            let is_spare = self.random.below(100) < self.plan.spare;
            let class = if is_spare { RequestClass::Spare } else { RequestClass::Regular };
            let first = self.random.below(self.plan.limits.len() as u64) as usize;
            let targets = (0..MAX_TRIES.min(self.plan.limits.len()))
                .map(|offset| (first + offset) % self.plan.limits.len());
            if !self.is_stopped(router) {
                self.try_targets(router, targets.collect(), class);
            }
        }
    }

    /// Sends a request to the first of the targets that may get it.
    fn try_targets(&mut self, index: usize, targets: Vec<usize>, class: RequestClass) {
        for (position, target) in targets.iter().enumerate() {
            let now = self.now;
            let router = &mut self.routers[index];
            match router.limiter.acquire(key(*target), class, now - router.started_at) {
                PermitDecision::Unlimited | PermitDecision::Granted => {
                    return self.send(index, *target, class);
                }
                PermitDecision::Unavailable { .. } => {}
                PermitDecision::Ask(ask) => {
                    let issuer = usize::from(ask.issuer.port()) - 1_000;
                    self.routers[index].waiting.push(WaitingCall {
                        number: ask.request.number,
                        targets: targets[position..].to_vec(),
                        class,
                        waits_until: now + PERMIT_WAIT_MS,
                    });
                    self.outcome.messages += 1;
                    return self.post(index, issuer, Message::Ask(index, ask.request));
                }
            }
        }
    }

    fn send(&mut self, index: usize, target: usize, class: RequestClass) {
        let now = self.now;
        let router = &self.routers[index];
        let was_told = router.told_at.get(&target).is_some_and(|at| now >= at + TOLD_MS);
        let is_calm = router.disturbed_at.is_none_or(|at| now >= at + CONTACT_MS);
        let is_spare = class == RequestClass::Spare;
        let arrival = Arrival { at: now, is_bound: was_told && is_calm, is_spare };
        self.outcome.arrivals[target].push(arrival);
        let per_second = limit_at(&self.plan.limits[target], now + 20);
        let at = now + 30 + self.random.below(500);
        let response = Message::Response(target, now, per_second);
        self.messages.entry(at).or_default().push((index, response));
    }
}

/// Returns the limit that a target names at a time.
pub fn limit_at(schedule: &LimitSchedule, at: u64) -> Option<f32> {
    schedule.iter().rev().find(|(from, _)| *from <= at).and_then(|(_, limit)| *limit)
}

impl Outcome {
    /// Returns the largest number of arrivals in a window beyond what the limit allows, over
    /// all targets, with the target and the end of the window; not positive if the limits hold.
    pub fn excess(&self, plan: &Plan) -> (f64, usize, u64) {
        let mut worst = (f64::MIN, 0, 0);
        for (target, schedule) in plan.limits.iter().enumerate() {
            let named_at = schedule.iter().find(|(_, limit)| limit.is_some());
            let Some(bound_at) = named_at.map(|(from, _)| from + CONTACT_MS) else { continue };
            let counted: Vec<u64> = self.arrivals[target]
                .iter()
                .filter(|arrival| arrival.is_bound && arrival.at >= bound_at)
                .map(|arrival| arrival.at)
                .collect();
            for (last, end) in counted.iter().enumerate() {
                let start = end.saturating_sub(WINDOW_MS);
                // The largest limit of the window and of the time that an answer takes.
                let times = (start.saturating_sub(CONTACT_MS)..=*end).step_by(50);
                let limits: Vec<Option<f32>> = times.map(|at| limit_at(schedule, at)).collect();
                if limits.contains(&None) {
                    continue;
                }
                let limit = limits.into_iter().flatten().fold(0.0, f32::max);
                let allowed = 1.5 * f64::from(limit) * WINDOW_MS as f64 / 1_000.0 + EXTRA;
                let count = counted[..=last].iter().rev().take_while(|at| **at > start).count();
                let excess = count as f64 - allowed;
                if excess > worst.0 {
                    worst = (excess, target, *end);
                }
            }
        }
        worst
    }

    /// Returns the part of the limits that was used between two times, over all targets.
    pub fn use_of_limits(&self, plan: &Plan, from: u64, until: u64) -> f64 {
        let mut allowed = 0.0;
        let mut used = 0;
        for (target, schedule) in plan.limits.iter().enumerate() {
            let times = (from..until).step_by(10);
            allowed += times
                .filter_map(|at| limit_at(schedule, at))
                .map(|limit| f64::from(limit) / 100.0)
                .sum::<f64>();
            used += self.arrivals[target].iter().filter(|a| (from..until).contains(&a.at)).count();
        }
        used as f64 / allowed
    }
}
