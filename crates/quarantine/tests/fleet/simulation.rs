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
    /// When the first target is replaced by one of a new software version, under which alone the
    /// bad part is harmful, and the time between two replacements.
    pub release: Option<(u64, u64)>,
    /// Whether targets crash at once under the bad part and are down for the same time.
    pub is_in_step: bool,
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
    /// Times of the sound requests, and whether each was withheld.
    pub sound: Vec<(u64, bool)>,
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

    /// Returns how many sound requests came from the first crash to the last one, how many of
    /// them were withheld, and how many were withheld later.
    pub fn sound_withheld(&self) -> [usize; 3] {
        let (Some(first), Some(last)) = (self.crashes.first(), self.crashes.last()) else {
            return [0; 3];
        };
        let during = self.sound.iter().filter(|(at, _)| (first..=last).contains(&at));
        let withheld = during.clone().filter(|(_, is_withheld)| *is_withheld).count();
        let later = self.sound.iter().filter(|(at, is_withheld)| at > last && *is_withheld);
        [during.count(), withheld, later.count()]
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

#[derive(Default)]
struct Target {
    down_until: u64,
    is_draining: bool,
    is_new: bool,
}

impl Target {
    fn version(&self) -> VersionHash {
        VersionHash::new(if self.is_new { "v2" } else { "v1" })
    }
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
    /// When each router sends its next notice.
    next_notices: Vec<u64>,
    outcome: Outcome,
}

impl Simulation {
    pub fn new(plan: Plan) -> Self {
        let router = |index| PartQuarantine::new(index as u64, QuarantineSettings::default());
        Self {
            random: Random(plan.seed),
            now: 0,
            routers: (0..plan.routers).map(router).collect(),
            targets: (0..plan.targets).map(|_| Target::default()).collect(),
            flights: Vec::new(),
            heartbeats: BTreeMap::new(),
            next_unique: FIRST_UNIQUE,
            next_notices: (0..plan.routers as u64)
                .map(|router| router * plan.heartbeat_ms / plan.routers as u64)
                .collect(),
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
        self.release();
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
        if !is_bad {
            let is_withheld = matches!(verdict, RequestVerdict::Withheld { .. });
            self.outcome.sound.push((self.now, is_withheld));
        }
        if let RequestVerdict::Withheld { part, .. } = verdict {
            if part == COMMON_PART {
                self.outcome.common_withheld.push(self.now);
            } else if !is_bad {
                self.outcome.subjects_withheld.insert(part);
            }
            return;
        }
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|target| {
                let target = &self.targets[*target];
                target.down_until <= self.now && !target.is_draining
            })
            .collect();
        if up.is_empty() {
            return;
        }
        let target = up[self.random.below(up.len() as u64) as usize];
        if is_bad {
            self.outcome.bad_sent.push(self.now);
        }
        self.next_unique += 1;
        let max_wait_ms = if self.plan.is_in_step { 0 } else { MAX_WAIT_MS };
        let begins_at = self.now + 20 + self.random.below(max_wait_ms);
        let ends_at = begins_at + 100 + self.random.below(1_500);
        let is_broken = self.random.below(1_000) < self.plan.broken_per_mille;
        let breaks_at = (is_broken && !is_bad).then_some(begins_at);
        self.flights.push(Flight { router, target, parts, begins_at, ends_at, breaks_at });
    }

    /// Targets keep their ids and incarnations when they start again, the worst case.
    fn target_run(&self, target: usize) -> TargetRun {
        TargetRun::new(&format!("target-{target}"), 1, self.targets[target].version())
    }

    fn is_harmful(&self, flight: &Flight) -> bool {
        let is_harmful = self.plan.release.is_none() || self.targets[flight.target].is_new;
        is_harmful && flight.parts.contains(&BAD_PART)
    }

    /// Replaces the targets one after the other; each ends what it has begun.
    fn release(&mut self) {
        let Some((from, gap)) = self.plan.release else { return };
        let replaced = self.now.checked_sub(from).map_or(0, |ms| 1 + ms / gap) as usize;
        for target in 0..replaced.min(self.targets.len()) {
            let is_busy = self.flights.iter().any(|flight| flight.target == target);
            self.targets[target].is_draining = !self.targets[target].is_new;
            if self.targets[target].is_draining && !is_busy {
                self.targets[target] = Target { is_new: true, ..Target::default() };
            }
        }
    }

    fn end_flights(&mut self) {
        let now = self.now;
        let crashed: Vec<usize> = self
            .flights
            .iter()
            .filter(|flight| flight.begins_at <= now && self.is_harmful(flight))
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
            let run = self.target_run(flight.target);
            let version = self.targets[flight.target].version();
            if flight.breaks_at.is_some() {
                self.record_crash(&flight, run);
            } else {
                self.routers[flight.router].record_complete(&flight.parts, version, now);
            }
        }
    }

    /// Ends a target and all responses that it writes or has not begun.
    fn crash(&mut self, target: usize) {
        let now = self.now;
        let max_down_ms = if self.plan.is_in_step { 0 } else { 3_000 };
        self.targets[target].down_until = now + 2_000 + self.random.below(max_down_ms);
        let (broken, running): (Vec<Flight>, Vec<Flight>) =
            self.flights.drain(..).partition(|flight| flight.target == target);
        self.flights = running;
        if self.targets[target].is_draining {
            return;
        }
        let run = self.target_run(target);
        for flight in broken.iter().filter(|flight| now < flight.begins_at + BEGIN_MS) {
            self.record_crash(flight, run);
        }
    }

    /// Tells peers at once, but not more often than a gateway sends heartbeats.
    fn record_crash(&mut self, flight: &Flight, run: TargetRun) {
        let Flight { router, parts, .. } = flight;
        if self.routers[*router].record_crash(parts, run, self.now) {
            let last_at = self.next_notices[*router].saturating_sub(self.plan.heartbeat_ms);
            self.next_notices[*router] = self.now.max(last_at + self.plan.heartbeat_ms / 10);
        }
    }

    fn send_heartbeats(&mut self) {
        let interval = self.plan.heartbeat_ms;
        for router in 0..self.routers.len() {
            if self.now < self.next_notices[router] {
                continue;
            }
            let notice = self.routers[router].notice(self.now);
            let pause = if self.routers[router].has_reports() { interval / 10 } else { interval };
            self.next_notices[router] = self.now + pause;
            let bytes = notice.reports.len() * 60 + notice.sound.len() * 13;
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
