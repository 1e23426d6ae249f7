//! A simulated fleet before a plain service: routers with a quarantine each, targets that
//! crash, callers that repeat their requests, and notices that are late or lost. Time advances
//! in steps of 5 ms.

use std::collections::{BTreeMap, BTreeSet};

use quarantine::{
    PartQuarantine, QuarantineNotice, QuarantineSettings, RequestVerdict, TargetRun, VersionHash,
    request_identity,
};

use crate::random::Random;

pub const STEP_MS: u64 = 5;
/// Time that the rules leave after the third crash, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Time for which a target is down after it ended, in milliseconds.
const DOWN_MS: u64 = 3_000;
/// Time in milliseconds for which a served request proves that it is sound.
const SOUND_MS: u64 = 30_000;
/// Targets to which one request of a caller is sent at most.
const MAX_ATTEMPTS: u32 = 2;

/// What happens in one run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub routers: usize,
    pub targets: usize,
    pub requests_per_s: u64,
    /// Number of sound requests that come again and again.
    pub identities: u64,
    /// Sound requests that come once, in percent.
    pub unique: u64,
    /// Mean time between two arrivals of the request that crashes targets.
    pub bad_every_ms: u64,
    /// Whether routers send a request to another target after the first has ended.
    pub is_idempotent: bool,
    /// Whether its caller sends the bad request once more after a failure.
    pub is_bad_returned: bool,
    pub heartbeat_ms: u64,
    /// Notices that are lost, in percent.
    pub loss: u64,
    /// Targets that end per minute for other reasons.
    pub deaths_per_min: u64,
    /// Longest run of a request; the bad one crashes its target at the end of its own.
    pub max_run_ms: u64,
    pub until_ms: u64,
}

/// What was seen in one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Times of the crashes under the bad request.
    pub crashes: Vec<u64>,
    /// Times at which the bad request was sent.
    bad_sent: Vec<u64>,
    /// Sound requests that were withheld though they had been served lately.
    pub sound_withheld: Vec<u64>,
    /// Sound requests that were withheld and had not been served lately.
    pub unserved_withheld: BTreeSet<u64>,
    /// Number of sound requests that came.
    pub new_identities: usize,
}

impl Outcome {
    /// Returns how often the bad request was sent later than the rules allow after the third
    /// crash.
    pub fn late_sends(&self) -> usize {
        let Some(third) = self.crashes.get(2) else { return 0 };
        self.bad_sent.iter().filter(|at| **at > third + CONTACT_MS).count()
    }
}

#[derive(Clone, Copy)]
struct Call {
    identity: u64,
    is_bad: bool,
    /// Whether its caller has sent it before.
    is_returned: bool,
}

struct Flight {
    call: Call,
    router: usize,
    target: usize,
    attempts: u32,
    ends_at: u64,
}

pub struct Simulation {
    plan: Plan,
    random: Random,
    now: u64,
    routers: Vec<PartQuarantine>,
    /// Until when each target is down.
    targets: Vec<u64>,
    flights: Vec<Flight>,
    /// Requests that callers send again, by time.
    returns: BTreeMap<u64, Vec<Call>>,
    notices: BTreeMap<u64, Vec<(usize, QuarantineNotice)>>,
    /// When each sound request was served last.
    served_at: BTreeMap<u64, u64>,
    seen: BTreeSet<u64>,
    next_unique: u64,
    outcome: Outcome,
}

fn version() -> VersionHash {
    VersionHash::new("v1")
}

fn identity(number: u64) -> u64 {
    request_identity("GET", "a.example", "/ping/1", Some("north"), &number.to_le_bytes())
}

impl Simulation {
    pub fn new(plan: Plan) -> Self {
        let router = |index| PartQuarantine::new(index as u64, QuarantineSettings::default());
        Self {
            random: Random(plan.seed),
            now: 0,
            routers: (0..plan.routers).map(router).collect(),
            targets: vec![0; plan.targets],
            flights: Vec::new(),
            returns: BTreeMap::new(),
            notices: BTreeMap::new(),
            served_at: BTreeMap::new(),
            seen: BTreeSet::new(),
            next_unique: 1_000_000,
            outcome: Outcome::default(),
            plan,
        }
    }

    pub fn run(mut self) -> Outcome {
        while self.now < self.plan.until_ms {
            self.receive_notices();
            self.end_flights();
            self.end_targets();
            self.send_calls();
            for index in 0..self.routers.len() {
                let offset = index as u64 * STEP_MS;
                if (self.now + offset).is_multiple_of(self.plan.heartbeat_ms / STEP_MS * STEP_MS) {
                    self.send_notice(index);
                }
            }
            self.now += STEP_MS;
        }
        self.outcome.new_identities = self.seen.len();
        self.outcome
    }

    fn send_notice(&mut self, index: usize) {
        let notice = self.routers[index].notice(self.now);
        if notice.is_empty() {
            return;
        }
        for peer in (0..self.routers.len()).filter(|peer| *peer != index) {
            if self.random.below(100) >= self.plan.loss {
                let at = self.now + STEP_MS + self.random.below(50);
                self.notices.entry(at).or_default().push((peer, notice.clone()));
            }
        }
    }

    fn receive_notices(&mut self) {
        let later = self.notices.split_off(&(self.now + 1));
        let due = std::mem::replace(&mut self.notices, later);
        for (receiver, notice) in due.into_values().flatten() {
            self.routers[receiver].merge(notice, self.now);
        }
    }

    fn send_calls(&mut self) {
        let mut calls = Vec::new();
        let per_mille = self.plan.requests_per_s * STEP_MS;
        let count = per_mille / 1_000 + u64::from(self.random.below(1_000) < per_mille % 1_000);
        for _ in 0..count {
            let number = if self.random.below(100) < self.plan.unique {
                self.next_unique += 1;
                self.next_unique
            } else {
                1 + self.random.below(self.plan.identities)
            };
            calls.push(Call { identity: identity(number), is_bad: false, is_returned: false });
        }
        // The bad request comes once the fleet serves.
        if self.now > 3_000 && self.random.below(self.plan.bad_every_ms) < STEP_MS {
            calls.push(Call { identity: identity(0), is_bad: true, is_returned: false });
        }
        let later = self.returns.split_off(&(self.now + 1));
        let due = std::mem::replace(&mut self.returns, later);
        calls.extend(due.into_values().flatten());
        for call in calls {
            let router = self.random.below(self.plan.routers as u64) as usize;
            self.receive_call(router, call);
        }
    }

    fn receive_call(&mut self, router: usize, call: Call) {
        let now = self.now;
        if !call.is_bad {
            self.seen.insert(call.identity);
        }
        let is_elected = router == 0 && self.targets.iter().filter(|at| **at <= now).count() > 1;
        let verdict = self.routers[router].decide(&[call.identity], is_elected, now);
        if matches!(verdict, RequestVerdict::Withheld { .. }) {
            if call.is_bad {
                return;
            }
            let served_at = self.served_at.get(&call.identity);
            if served_at.is_some_and(|at| now - at < SOUND_MS) {
                self.outcome.sound_withheld.push(now);
            } else {
                self.outcome.unserved_withheld.insert(call.identity);
            }
            return;
        }
        self.send(router, call, 1, None);
    }

    fn send(&mut self, router: usize, call: Call, attempts: u32, tried: Option<usize>) {
        let now = self.now;
        let up = (0..self.targets.len()).filter(|target| self.targets[*target] <= now);
        let up: Vec<usize> = up.filter(|target| Some(*target) != tried).collect();
        if up.is_empty() {
            return self.fail(call);
        }
        let target = up[self.random.below(up.len() as u64) as usize];
        if call.is_bad {
            self.outcome.bad_sent.push(now);
        }
        let ends_at = now + 20 + self.random.below(self.plan.max_run_ms);
        self.flights.push(Flight { call, router, target, attempts, ends_at });
    }

    fn fail(&mut self, call: Call) {
        if call.is_returned || (call.is_bad && !self.plan.is_bad_returned) {
            return;
        }
        let at = self.now + 10 + self.random.below(300);
        self.returns.entry(at).or_default().push(Call { is_returned: true, ..call });
    }

    fn end_flights(&mut self) {
        let now = self.now;
        while let Some(index) = self.flights.iter().position(|flight| flight.ends_at <= now) {
            let flight = self.flights.swap_remove(index);
            if flight.call.is_bad {
                self.outcome.crashes.push(now);
                let target = flight.target;
                self.flights.push(Flight { ends_at: u64::MAX, ..flight });
                self.end_target(target);
                continue;
            }
            self.served_at.insert(flight.call.identity, now);
            self.routers[flight.router].record_complete(&[flight.call.identity], version(), now);
        }
    }

    fn end_targets(&mut self) {
        if self.random.below(60_000 / STEP_MS) < self.plan.deaths_per_min {
            let target = self.random.below(self.plan.targets as u64) as usize;
            self.end_target(target);
        }
    }

    /// Ends a target with all requests that are there.
    fn end_target(&mut self, target: usize) {
        if self.targets[target] > self.now {
            return;
        }
        // It starts again as another incarnation.
        let run = TargetRun::new(&format!("target-{target}"), self.targets[target], version());
        self.targets[target] = self.now + DOWN_MS + self.random.below(500);
        let (lost, flights) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|f: &Flight| f.target == target);
        self.flights = flights;
        for flight in lost {
            let Flight { call, router, attempts, .. } = flight;
            let is_news = self.routers[router].record_crash(&[call.identity], run, self.now);
            if is_news {
                self.send_notice(router);
            }
            let is_withheld = self.routers[router].is_withheld(&[call.identity], self.now);
            if self.plan.is_idempotent && attempts < MAX_ATTEMPTS && !is_withheld {
                self.send(router, call, attempts + 1, Some(target));
            } else if self.plan.is_idempotent {
                self.fail(call);
            }
        }
    }
}
