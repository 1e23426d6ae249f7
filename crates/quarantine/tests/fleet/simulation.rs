//! A simulated fleet: routers with a quarantine each, targets that crash, callers, and
//! heartbeats that are late or lost. Time advances in steps of 10 ms.

use std::collections::{BTreeMap, BTreeSet};

use quarantine::{
    PartQuarantine, QuarantineNotice, QuarantineSettings, RequestVerdict, TargetRun, VersionHash,
};

use crate::random::Random;

pub const STEP_MS: u64 = 10;
/// Time that the rules leave after the fifth crash, in milliseconds.
pub const CONTACT_MS: u64 = 3_000;
/// Part of all prompts, and the part that crashes targets.
pub const COMMON_PART: u64 = 1;
pub const BAD_PART: u64 = 666;
/// First ids of the parts that some prompts share, and of those of a single one.
const FIRST_SUBJECT: u64 = 1_000;
const FIRST_UNIQUE: u64 = 1_000_000;
/// A response that broke off later than this after its first byte did not just begin, as
/// in the gateway.
const BEGIN_MS: u64 = 300;
/// Time until a response that crashes its target is begun to be written, at most.
const MAX_WAIT_MS: u64 = 300;

/// What happens in one run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub routers: usize,
    pub targets: usize,
    pub subjects: u64,
    pub requests_per_s: u64,
    /// Requests with the bad part per second, and from when on they come.
    pub bad_per_s: u64,
    pub bad_from_ms: u64,
    pub heartbeat_ms: u64,
    /// Heartbeats that are lost, in percent.
    pub loss: u64,
    /// Targets that die per minute for other reasons, and how many die together.
    pub deaths_per_min: u64,
    pub deaths_together: usize,
    /// Responses that break off for other reasons as they begin, in thousands.
    pub broken_per_mille: u64,
    /// When a router is replaced by an empty one.
    pub restart_ms: Option<u64>,
    pub until_ms: u64,
}

/// What was seen in one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Times of the crashes under the bad part.
    pub crashes: Vec<u64>,
    /// Times at which requests with the bad part were sent.
    pub bad_sent: Vec<u64>,
    /// Other parts than the common one for which sound requests were withheld.
    pub subjects_withheld: BTreeSet<u64>,
    /// Times at which the common part alone was withheld.
    pub common_withheld: Vec<u64>,
    /// Largest sizes of a router's memory: suspects, parts in quarantine, sound parts.
    pub max_sizes: [usize; 3],
    pub max_notice_bytes: usize,
}

impl Outcome {
    /// Returns how many requests with the bad part were sent after the time that the rules
    /// leave after the fifth crash.
    pub fn late_sends(&self) -> usize {
        let Some(fifth) = self.crashes.get(4) else { return 0 };
        self.bad_sent.iter().filter(|at| **at > fifth + CONTACT_MS).count()
    }
}

/// Whether an event with this rate per minute happens in one step.
fn happens(random: &mut Random, per_min: u64) -> bool {
    random.below(60_000 / STEP_MS) < per_min
}

struct Flight {
    router: usize,
    target: usize,
    parts: Vec<u64>,
    begins_at: u64,
    ends_at: u64,
    breaks_at: Option<u64>,
}

struct Target {
    down_until: u64,
}

fn version() -> VersionHash {
    VersionHash::new("v1")
}

/// Targets keep their ids and incarnations when they start again, the worst case.
fn run(target: usize) -> TargetRun {
    TargetRun::new(&format!("target-{target}"), 1, version())
}

pub struct Simulation {
    plan: Plan,
    random: Random,
    now: u64,
    routers: Vec<PartQuarantine>,
    targets: Vec<Target>,
    flights: Vec<Flight>,
    /// Heartbeats on their way by arrival, with the receiver.
    heartbeats: BTreeMap<u64, Vec<(usize, QuarantineNotice)>>,
    next_unique: u64,
    outcome: Outcome,
}

impl Simulation {
    pub fn new(plan: Plan) -> Self {
        let router = |index| PartQuarantine::new(index as u64, QuarantineSettings::default());
        Self {
            random: Random(plan.seed),
            now: 0,
            routers: (0..plan.routers).map(router).collect(),
            targets: (0..plan.targets).map(|_| Target { down_until: 0 }).collect(),
            flights: Vec::new(),
            heartbeats: BTreeMap::new(),
            next_unique: FIRST_UNIQUE,
            outcome: Outcome::default(),
            plan,
        }
    }

    pub fn run(mut self) -> Outcome {
        while self.now < self.plan.until_ms {
            self.step();
        }
        self.outcome
    }

    fn step(&mut self) {
        if self.plan.restart_ms == Some(self.now) {
            let origin = 1_000 + self.plan.routers as u64;
            self.routers[0] = PartQuarantine::new(origin, QuarantineSettings::default());
        }
        self.deliver_heartbeats();
        for _ in 0..per_step(self.plan.requests_per_s, &mut self.random) {
            self.send_request(false);
        }
        if self.now >= self.plan.bad_from_ms {
            for _ in 0..per_step(self.plan.bad_per_s, &mut self.random) {
                self.send_request(true);
            }
        }
        self.end_flights();
        if happens(&mut self.random, self.plan.deaths_per_min) {
            for _ in 0..self.plan.deaths_together {
                let target = self.random.below(self.plan.targets as u64) as usize;
                self.crash(target);
            }
        }
        self.send_heartbeats();
        for router in &self.routers {
            for (max, size) in self.outcome.max_sizes.iter_mut().zip(router.sizes()) {
                *max = size.max(*max);
            }
        }
        self.now += STEP_MS;
    }

    fn send_request(&mut self, is_bad: bool) {
        let router = self.random.below(self.plan.routers as u64) as usize;
        let mut parts = vec![COMMON_PART, FIRST_SUBJECT + self.random.below(self.plan.subjects)];
        if is_bad {
            parts.insert(1 + self.random.below(2) as usize, BAD_PART);
        }
        let is_elected = router == 0;
        let verdict = self.routers[router].decide(&parts, is_elected, self.now);
        if let RequestVerdict::Withheld { part, .. } = verdict {
            if part == COMMON_PART {
                self.outcome.common_withheld.push(self.now);
            } else if !is_bad {
                self.outcome.subjects_withheld.insert(part);
            }
            return;
        }
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|target| self.targets[*target].down_until <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        let target = up[self.random.below(up.len() as u64) as usize];
        if is_bad {
            self.outcome.bad_sent.push(self.now);
        }
        self.next_unique += 1;
        let begins_at = self.now + 20 + self.random.below(MAX_WAIT_MS);
        let ends_at = begins_at + 100 + self.random.below(1_500);
        let is_broken = self.random.below(1_000) < self.plan.broken_per_mille;
        let breaks_at = (is_broken && !is_bad).then_some(begins_at);
        self.flights.push(Flight { router, target, parts, begins_at, ends_at, breaks_at });
    }

    fn end_flights(&mut self) {
        let now = self.now;
        let crashed: Vec<usize> = self
            .flights
            .iter()
            .filter(|flight| flight.begins_at <= now && flight.parts.contains(&BAD_PART))
            .map(|flight| flight.target)
            .collect();
        for target in crashed {
            if self.targets[target].down_until <= now {
                self.outcome.crashes.push(now);
                self.crash(target);
            }
        }
        let (ended, running): (Vec<Flight>, Vec<Flight>) =
            self.flights.drain(..).partition(|flight| {
                flight.ends_at <= now || flight.breaks_at.is_some_and(|at| at <= now)
            });
        self.flights = running;
        for flight in ended {
            let router = &mut self.routers[flight.router];
            if flight.breaks_at.is_some() {
                router.record_crash(&flight.parts, run(flight.target), now);
            } else {
                router.record_complete(&flight.parts, version(), now);
            }
        }
    }

    /// Ends a target and all responses that it writes or has not begun.
    fn crash(&mut self, target: usize) {
        let now = self.now;
        let state = &mut self.targets[target];
        state.down_until = now + 2_000 + self.random.below(3_000);
        let (broken, running): (Vec<Flight>, Vec<Flight>) =
            self.flights.drain(..).partition(|flight| flight.target == target);
        self.flights = running;
        for flight in broken.iter().filter(|flight| now < flight.begins_at + BEGIN_MS) {
            self.routers[flight.router].record_crash(&flight.parts, run(target), now);
        }
    }

    fn send_heartbeats(&mut self) {
        let interval = self.plan.heartbeat_ms;
        for router in 0..self.routers.len() {
            let offset = router as u64 * interval / self.routers.len() as u64;
            if (self.now + offset) % interval >= STEP_MS {
                continue;
            }
            let notice = self.routers[router].notice(self.now);
            let bytes = notice.reports.len() * 60 + notice.sound.len() * 9;
            let bytes = bytes + notice.verdicts.len() * 60;
            self.outcome.max_notice_bytes = self.outcome.max_notice_bytes.max(bytes);
            for receiver in (0..self.routers.len()).filter(|receiver| *receiver != router) {
                if self.random.below(100) < self.plan.loss {
                    continue;
                }
                let arrival = self.now + STEP_MS * (1 + self.random.below(4));
                self.heartbeats.entry(arrival).or_default().push((receiver, notice.clone()));
            }
        }
    }

    fn deliver_heartbeats(&mut self) {
        let later = self.heartbeats.split_off(&(self.now + 1));
        let arrived = std::mem::replace(&mut self.heartbeats, later);
        for (receiver, notice) in arrived.into_values().flatten() {
            self.routers[receiver].merge(notice, self.now);
        }
    }
}

fn per_step(per_s: u64, random: &mut Random) -> u64 {
    let per_step = per_s * STEP_MS;
    per_step / 1_000 + u64::from(random.below(1_000) < per_step % 1_000)
}
