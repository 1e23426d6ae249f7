//! A simulated fleet: instances, owners with delayed messages, engines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use base::{Name, mix_hashes};
use rate::RateKey;
use target::{
    CandidateSpread, LoadReport, LoadTracker, OutstandingKey, PromptPart, RequestOutcome,
    RequestProfile, SelectionQuery, SelectionSettings, TargetEntry, TargetKey, TargetState,
    offer_candidates, select_target,
};
use work::{
    InFlightWork, OfferChoice, OfferRequest, OfferResponse, PartDemand, PlacementId,
    PlacementNotice, ReceivedOffer, ReportedLoad, RequestCost, TargetSize, WorkEvent, WorkOwner,
    WorkReport, WorkSettings,
};

use crate::engine::{Engine, EngineEvent, Job};

/// Time that a request waits for offers, in microseconds.
const OFFER_TIMEOUT_US: u64 = 10_000;
/// Interval of load announcements between instances, in microseconds.
const ANNOUNCE_US: u64 = 800_000;
/// Requests of the first seconds are not counted, as nothing is learned yet.
const WARM_UP_MS: u64 = 2_000;

/// How targets are chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The local estimate with late announcements.
    Local,
    /// The fewest requests of all targets, known without delay.
    LeastOutstanding,
    /// The fewer requests of two random targets, known without delay.
    TwoChoices,
    Ledger,
}

/// Length of prompts: tokens, shared tokens, generated tokens, target in milliseconds, and
/// frequency in percent.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub prompt: f64,
    pub shared: f64,
    pub parts: u64,
    pub output: f64,
    pub target_ms: u64,
    pub percent: u64,
}

pub const KINDS: [Kind; 3] = [
    Kind {
        prompt: 12_000.0,
        shared: 5_400.0,
        parts: 585,
        output: 60.0,
        target_ms: 400,
        percent: 15,
    },
    Kind { prompt: 830.0, shared: 0.0, parts: 0, output: 50.0, target_ms: 250, percent: 60 },
    Kind { prompt: 2_400.0, shared: 0.0, parts: 0, output: 60.0, target_ms: 400, percent: 25 },
];

#[derive(Clone, Debug)]
pub struct Load {
    pub policy: Policy,
    pub settings: WorkSettings,
    pub instances: usize,
    pub engines: usize,
    pub speeds: [f64; 4],
    pub memory_tokens: f64,
    pub kinds: [Kind; 3],
    pub per_second: f64,
    /// Part of the mean by which the demand of an instance swings, and whether the two failure
    /// domains are in opposite phase.
    pub swing: (f64, bool),
    /// Messages lost, in percent.
    pub lost_percent: u64,
    /// Part of the targets that leaves after half of the time.
    pub gone: f64,
    pub run_ms: u64,
    /// Whether the reported slow-down and the learned speed reach the owners.
    pub reports: bool,
    pub seed: u64,
}

impl Load {
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            settings: WorkSettings::default(),
            instances: 80,
            engines: 60,
            speeds: [0.55, 1.2, 1.2, 1.2],
            memory_tokens: 400_000.0,
            kinds: KINDS,
            per_second: 1_300.0,
            swing: (0.3, false),
            lost_percent: 0,
            gone: 0.0,
            run_ms: 8_000,
            reports: true,
            seed: 1,
        }
    }
}

/// What the callers of one kind saw.
#[derive(Clone, Debug, Default)]
pub struct KindOutcome {
    pub requests: u32,
    pub within: u32,
    pub refused: u32,
    /// Expected and true time to the first event in milliseconds.
    pub times: Vec<(f64, f64)>,
}

impl KindOutcome {
    pub fn mean_error_ms(&self) -> f64 {
        let errors = self.times.iter().map(|(expected, actual)| (expected - actual).abs());
        errors.sum::<f64>() / self.times.len().max(1) as f64
    }

    fn quantile(&self, q: f64, of: fn(&(f64, f64)) -> f64) -> f64 {
        let mut values: Vec<f64> = self.times.iter().map(of).collect();
        values.sort_by(f64::total_cmp);
        values.get((values.len() as f64 * q) as usize).copied().unwrap_or(0.0)
    }
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub kinds: [KindOutcome; 3],
    pub datagrams: u64,
    pub preempted: u32,
    pub unanswered: u32,
}

impl Outcome {
    /// Returns the part of requests whose first event came within the target.
    pub fn within(&self) -> f64 {
        let within: u32 = self.kinds.iter().map(|kind| kind.within).sum();
        let requests: u32 = self.kinds.iter().map(|kind| kind.requests).sum();
        f64::from(within) / f64::from(requests.max(1))
    }

    pub fn print(&self, name: &str) {
        println!(
            "{name}: within {:.4}, datagrams {}, preempted {}, unanswered {}",
            self.within(),
            self.datagrams,
            self.preempted,
            self.unanswered
        );
        for kind in &self.kinds {
            println!(
                "  {} requests, within {:.4}, refused {}, error {:.0}, expected {:.0}/{:.0}, true {:.0}/{:.0}/{:.0}",
                kind.requests,
                f64::from(kind.within) / f64::from(kind.requests.max(1)),
                kind.refused,
                kind.mean_error_ms(),
                kind.quantile(0.5, |t| t.0),
                kind.quantile(0.9, |t| t.0),
                kind.quantile(0.5, |t| t.1),
                kind.quantile(0.9, |t| t.1),
                kind.quantile(0.98, |t| t.1),
            );
        }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Arrive,
    Ask { request: usize, candidate: usize },
    Answer { request: usize, offer: OfferResponse },
    Decide { request: usize, open: usize },
    Notice(usize, PlacementNotice),
    Report(usize, RateKey, WorkEvent, u64),
    Reach { request: usize },
    Cycle { engine: usize, events: Vec<EngineEvent> },
    Wake { engine: usize },
    Announce,
    Leave,
}

struct Request {
    instance: usize,
    kind: usize,
    arrived_us: u64,
    sent_us: u64,
    hash: u64,
    profile: RequestProfile,
    job: Job,
    /// Engines that are asked, with the probability that they hold the prompt.
    asked: Vec<(usize, f64)>,
    offers: Vec<ReceivedOffer>,
    /// Number of candidates that were asked.
    open: usize,
    engine: Option<usize>,
    expected_ms: f64,
    local: Option<(TargetKey, OutstandingKey)>,
}

pub struct Simulation {
    load: Load,
    now_us: u64,
    sequence: u64,
    random: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    entries: Vec<Arc<TargetEntry>>,
    is_gone: Vec<bool>,
    engines: Vec<Engine>,
    trackers: Vec<LoadTracker>,
    owners: Vec<WorkOwner>,
    demands: Vec<PartDemand>,
    requests: Vec<Request>,
    outcome: Outcome,
}

impl Simulation {
    pub fn run(load: Load) -> Outcome {
        let entries: Vec<Arc<TargetEntry>> = (0..load.engines)
            .map(|n| {
                Arc::new(TargetEntry {
                    id: format!("e{n}").into(),
                    incarnation: 1,
                    service: "model".into(),
                    address: ([10, 0, 0, 1], 80).into(),
                    failure_domain: format!("d{}", n % 2).into(),
                    slots: 24,
                    state: TargetState::Serving,
                    warm_up_ms: 0,
                    software_version: Name::default(),
                })
            })
            .collect();
        let engine =
            |n: usize| Engine::new(n as u64 + 7, load.speeds[n / 2 % 4], 24, load.memory_tokens);
        let mut trackers: Vec<LoadTracker> =
            (0..load.instances).map(|_| LoadTracker::default()).collect();
        for tracker in &mut trackers {
            tracker.set_announcement_interval(ANNOUNCE_US / 1_000);
            entries.iter().for_each(|entry| {
                tracker.key_for(entry);
            });
        }
        let mut simulation = Self {
            now_us: 0,
            sequence: 0,
            random: load.seed,
            queue: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            is_gone: vec![false; load.engines],
            engines: (0..load.engines).map(engine).collect(),
            trackers,
            owners: (0..load.instances).map(|_| WorkOwner::new(load.settings)).collect(),
            demands: vec![PartDemand::default(); load.instances],
            requests: Vec::new(),
            outcome: Outcome::default(),
            entries,
            load,
        };
        simulation.push(0, Event::Arrive);
        simulation.push(ANNOUNCE_US, Event::Announce);
        simulation.push(simulation.load.run_ms * 500, Event::Leave);
        while let Some(Reverse((at, sequence))) = simulation.queue.pop() {
            simulation.now_us = at;
            if let Some(event) = simulation.events.remove(&sequence) {
                simulation.handle(event);
            }
            // Requests that are late at the end are counted as late.
            if at > simulation.load.run_ms * 1_000 + 1_500_000 {
                break;
            }
        }
        simulation.outcome.preempted = simulation.engines.iter().map(|e| e.preempted).sum();
        simulation.outcome
    }

    fn now(&self) -> u64 {
        self.now_us / 1_000
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        self.queue.push(Reverse((at, self.sequence)));
    }

    fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(1);
        mix_hashes(self.random, self.load.seed)
    }

    fn uniform(&mut self) -> f64 {
        (self.next_random() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Sends a datagram between two instances, which may be lost.
    fn send(&mut self, later_us: u64, event: Event) {
        self.outcome.datagrams += 1;
        let delay_us = 1_000 + (self.uniform() * 2_000.0) as u64;
        if self.next_random() % 100 >= self.load.lost_percent {
            self.push(self.now_us + later_us + delay_us, event);
        }
    }

    fn key(&self, engine: usize) -> RateKey {
        RateKey::new(&self.entries[engine].id, 1)
    }

    fn owner(&self, engine: usize) -> usize {
        (mix_hashes(engine as u64, 77) % self.load.instances as u64) as usize
    }

    fn size(&self) -> TargetSize {
        TargetSize { slots: 24, memory_tokens: (self.load.memory_tokens * 0.8) as u32 }
    }

    fn id(&self, request: usize) -> PlacementId {
        PlacementId::new(self.requests[request].instance as u64, request as u32)
    }

    fn cost(&self, request: usize, held: f64) -> RequestCost {
        let request = &self.requests[request];
        RequestCost {
            prompt_tokens: request.profile.prompt_tokens,
            shared_tokens: request.profile.shared_tokens(),
            part: request.profile.home_part().unwrap_or(0) as u32,
            held_percent: (held * 100.0) as u8,
            output_tokens: request.profile.output_tokens,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Ask { request, candidate } => {
                let offer = self.offer(request, candidate);
                self.send(0, Event::Answer { request, offer });
            }
            Event::Answer { request, offer } => self.record_offer(request, offer),
            Event::Decide { request, open } => self.decide(request, open),
            Event::Notice(owner, notice) => {
                let now = self.now();
                self.owners[owner].place(&notice, now);
            }
            Event::Report(owner, key, event, seen_ms) => {
                let now = self.now();
                let age_ms = (now - seen_ms) as u32;
                let event = match event {
                    WorkEvent::FirstByte { id, waited_ms, .. } => {
                        WorkEvent::FirstByte { id, waited_ms, age_ms }
                    }
                    WorkEvent::Load(load) => WorkEvent::Load(ReportedLoad { age_ms, ..load }),
                    event => event,
                };
                self.owners[owner].record(&WorkReport { events: vec![(key, event)] }, now);
            }
            Event::Reach { request } => {
                let Some(engine) = self.requests[request].engine else { return };
                let job = self.requests[request].job;
                self.engines[engine].push(job);
                if !self.engines[engine].is_busy {
                    self.cycle(engine);
                }
            }
            Event::Cycle { engine, events } => {
                events.into_iter().for_each(|event| self.observe(engine, event));
                self.cycle(engine);
            }
            Event::Wake { engine } => self.cycle(engine),
            Event::Announce => self.announce(),
            Event::Leave => {
                let gone = (self.load.gone * self.load.engines as f64) as usize;
                // A third leaves all over the fleet; what they run is finished.
                for n in 0..gone {
                    self.is_gone[(n * 3) % self.load.engines] = true;
                }
            }
        }
    }

    fn arrive(&mut self) {
        let time_s = self.now_us as f64 / 1e6;
        let (swing, is_opposite) = self.load.swing;
        let wave = (time_s * std::f64::consts::TAU / 4.0).sin() * swing;
        let second_domain = 0.5 * (1.0 + if is_opposite { -wave } else { wave });
        let first_domain = 0.5 * (1.0 + wave);
        let rate = self.load.per_second * (first_domain + second_domain);
        let gap_us = -(1.0 - self.uniform()).ln() / rate * 1e6;
        if self.now() < self.load.run_ms {
            self.push(self.now_us + gap_us as u64 + 1, Event::Arrive);
        }
        let domain = usize::from(self.uniform() * (first_domain + second_domain) > first_domain);
        let instance = self.next_random() as usize % (self.load.instances / 2) * 2 + domain;
        let pick = self.next_random() % 100;
        let kinds = self.load.kinds;
        let kind = if pick < kinds[0].percent {
            0
        } else {
            1 + usize::from(pick >= kinds[0].percent + kinds[1].percent)
        };
        let Kind { prompt, shared, parts, output, .. } = kinds[kind];
        // The part of a prompt that is not shared has a heavy tail (Pareto, exponent 2.5).
        let tail = (1.0 - self.uniform()).powf(-0.4) * 0.6;
        let own =
            (prompt - shared) * if kind == 0 { tail.min(4.0) } else { 0.9 + 0.2 * tail.min(1.0) };
        let part = if parts > 0 { 1 + self.next_random() % parts } else { 0 };
        let part_id = if part > 0 { mix_hashes(part, 5 + kind as u64) } else { 0 };
        let prompt_tokens = shared + own;
        let hint = output * (0.6 + 0.8 * self.uniform());
        let output_tokens = (hint * (0.5 + self.uniform())).max(2.0);
        let number = self.requests.len();
        let hash = self.next_random();
        let mut prompt_parts = Vec::new();
        if part > 0 {
            prompt_parts.push(PromptPart { id: part_id, tokens: shared as u32 });
        }
        prompt_parts.push(PromptPart { id: hash, tokens: own as u32 });
        self.requests.push(Request {
            instance,
            kind,
            arrived_us: self.now_us,
            sent_us: 0,
            hash,
            profile: RequestProfile {
                prompt_tokens: prompt_tokens as u32,
                output_tokens: hint as u32,
                parts: prompt_parts,
            },
            job: Job {
                request: number,
                prompt_tokens,
                shared_tokens: shared,
                part: part_id,
                output_tokens,
            },
            asked: Vec::new(),
            offers: Vec::new(),
            open: 0,
            engine: None,
            expected_ms: 0.0,
            local: None,
        });
        if self.now() >= WARM_UP_MS {
            self.outcome.kinds[kind].requests += 1;
        }
        self.choose(number);
    }

    fn live(&self) -> Vec<usize> {
        (0..self.load.engines).filter(|engine| !self.is_gone[*engine]).collect()
    }

    fn choose(&mut self, request: usize) {
        match self.load.policy {
            Policy::Local => self.choose_locally(request),
            Policy::LeastOutstanding => {
                let engine = self.live().into_iter().min_by_key(|e| self.engines[*e].requests());
                self.dispatch(request, engine.unwrap_or(0), 0.0, 0);
            }
            Policy::TwoChoices => {
                let live = self.live();
                let first = live[self.next_random() as usize % live.len()];
                let second = live[self.next_random() as usize % live.len()];
                let is_second = self.engines[second].requests() < self.engines[first].requests();
                self.dispatch(request, if is_second { second } else { first }, 0.0, 0);
            }
            Policy::Ledger => self.ask(request),
        }
    }

    fn query<'a>(&self, request: &'a Request) -> SelectionQuery<'a> {
        SelectionQuery {
            profile: &request.profile,
            target_latency_ms: self.load.kinds[request.kind].target_ms,
            engine_memory: Some(self.load.memory_tokens as u64),
            request_hash: request.hash,
            tried: &[],
            failure_domain: if request.instance.is_multiple_of(2) { "d0" } else { "d1" },
        }
    }

    fn live_entries(&self) -> Vec<Arc<TargetEntry>> {
        self.live().into_iter().map(|engine| Arc::clone(&self.entries[engine])).collect()
    }

    fn engine_of(&self, entry: &TargetEntry) -> usize {
        entry.id[1..].parse().expect("ids have a number")
    }

    fn choose_locally(&mut self, request: usize) {
        let now = self.now();
        let entries = self.live_entries();
        let mut tracker = std::mem::take(&mut self.trackers[self.requests[request].instance]);
        let query = self.query(&self.requests[request]);
        let settings = SelectionSettings::default();
        let selection = select_target(&mut tracker, entries.iter(), &query, &settings, now);
        let instance = self.requests[request].instance;
        self.trackers[instance] = tracker;
        match selection {
            Ok(selection) => {
                let engine = self.engine_of(&selection.entry);
                self.dispatch(request, engine, selection.expected_ms, selection.unread_tokens);
            }
            Err(_) if now >= WARM_UP_MS => {
                self.outcome.kinds[self.requests[request].kind].refused += 1;
            }
            Err(_) => {}
        }
    }

    fn ask(&mut self, request: usize) {
        let now = self.now();
        let entries = self.live_entries();
        let instance = self.requests[request].instance;
        let mut tracker = std::mem::take(&mut self.trackers[instance]);
        let settings = SelectionSettings::default();
        let part = self.requests[request].profile.home_part();
        let demand = &mut self.demands[instance];
        demand.record(part);
        let min_homes = part.map_or(0, |part| demand.home_count(part, entries.len()));
        let spread = CandidateSpread { count: self.load.settings.asked[1], min_homes };
        let query = self.query(&self.requests[request]);
        let first = offer_candidates(&mut tracker, entries.iter(), &query, &settings, spread, now);
        self.trackers[instance] = tracker;
        let asked: Vec<(usize, f64)> = first
            .iter()
            .map(|candidate| (self.engine_of(&candidate.entry), candidate.cache_probability))
            .collect();
        self.requests[request].asked = asked;
        self.ask_round(request, 0..self.load.settings.asked[0]);
    }

    /// Asks the owners of some of the candidates.
    fn ask_round(&mut self, request: usize, round: std::ops::Range<usize>) {
        let instance = self.requests[request].instance;
        let round = round.start..round.end.min(self.requests[request].asked.len());
        self.requests[request].open = round.end;
        self.push(self.now_us + OFFER_TIMEOUT_US, Event::Decide { request, open: round.end });
        for candidate in round {
            let engine = self.requests[request].asked[candidate].0;
            if self.owner(engine) == instance {
                let offer = self.offer(request, candidate);
                self.record_offer(request, offer);
            } else {
                self.send(0, Event::Ask { request, candidate });
            }
        }
    }

    fn offer(&mut self, request: usize, candidate: usize) -> OfferResponse {
        let (engine, held) = self.requests[request].asked[candidate];
        let target_ms = self.load.kinds[self.requests[request].kind].target_ms;
        let settings = self.load.settings;
        let place_until_ms =
            if candidate == 0 { OfferChoice::place_until_ms(target_ms, 0.0, &settings) } else { 0 };
        let offer = OfferRequest {
            id: self.id(request),
            key: self.key(engine),
            cost: self.cost(request, held),
            size: self.size(),
            place_until_ms,
            in_flight: InFlightWork::default(),
        };
        let (owner, now) = (self.owner(engine), self.now());
        self.owners[owner].offer(&offer, now)
    }

    fn record_offer(&mut self, request: usize, response: OfferResponse) {
        self.requests[request].offers.push(ReceivedOffer { response, crossing_ms: 0.0 });
        let Request { offers, open, engine, .. } = &self.requests[request];
        if engine.is_some() {
            return;
        }
        let is_placed =
            matches!(OfferChoice::of(offers, &self.load.settings), OfferChoice::Placed(_));
        if is_placed || offers.len() == *open {
            self.decide(request, *open);
        }
    }

    fn decide(&mut self, request: usize, open: usize) {
        let Request { engine, open: last_open, asked, offers, .. } = &self.requests[request];
        if engine.is_some() || open != *last_open {
            return;
        }
        let choice = OfferChoice::of(offers, &self.load.settings);
        if !matches!(choice, OfferChoice::Placed(_)) && !offers.is_empty() && open < asked.len() {
            return self.ask_round(request, open..asked.len());
        }
        let index = match choice {
            OfferChoice::Placed(index) | OfferChoice::Take(index) => index,
            OfferChoice::AllFull | OfferChoice::Unanswered => {
                self.outcome.unanswered += 1;
                return self.choose_locally(request);
            }
        };
        let response = self.requests[request].offers[index].response;
        let asked = self.requests[request].asked.clone();
        let taken = asked.iter().find(|(engine, _)| self.key(*engine) == response.key);
        let Some((engine, held)) = taken.copied() else { return };
        if matches!(choice, OfferChoice::Take(_)) {
            let notice = PlacementNotice {
                id: self.id(request),
                key: response.key,
                cost: self.cost(request, held),
                size: self.size(),
            };
            self.send(0, Event::Notice(self.owner(engine), notice));
        }
        self.dispatch(request, engine, f64::from(response.expected_ms), response.unread_tokens);
    }

    fn dispatch(&mut self, request: usize, engine: usize, expected_ms: f64, unread_tokens: u32) {
        let now = self.now();
        let sent = &mut self.requests[request];
        sent.engine = Some(engine);
        sent.expected_ms = expected_ms;
        sent.sent_us = self.now_us;
        let tracker = &mut self.trackers[sent.instance];
        let key = tracker.key_for(&self.entries[engine]);
        let outstanding = tracker.start_request(key, &sent.profile, unread_tokens, 60.0, now);
        sent.local = outstanding.map(|outstanding| (key, outstanding));
        let delay_us = 1_000 + (self.uniform() * 3_000.0) as u64;
        self.push(self.now_us + delay_us, Event::Reach { request });
    }

    fn cycle(&mut self, engine: usize) {
        let cycle = self.engines[engine].cycle(self.now_us as f64 / 1e3);
        self.engines[engine].is_busy = cycle.is_some();
        if let Some((cycle_ms, events)) = cycle {
            let event = if events.is_empty() {
                Event::Wake { engine }
            } else {
                Event::Cycle { engine, events }
            };
            self.push(self.now_us + (cycle_ms * 1e3) as u64, event);
        }
    }

    fn observe(&mut self, engine: usize, event: EngineEvent) {
        let now = self.now();
        let slow = (self.engines[engine].slow_factor(self.now_us as f64 / 1e3) * 100.0) as u32;
        let (running, waiting) =
            (self.engines[engine].running() as u32, self.engines[engine].requests() as u32);
        let waiting = waiting - running;
        let (EngineEvent::FirstByte(number) | EngineEvent::Ended(number)) = event;
        let id = self.id(number);
        let request = &self.requests[number];
        let Some((key, outstanding)) = request.local else { return };
        let tracker = &mut self.trackers[request.instance];
        let work_event = if matches!(event, EngineEvent::Ended(_)) {
            tracker.finish_request(key, outstanding, Some(RequestOutcome::Answered), now);
            WorkEvent::Ended { id }
        } else {
            tracker.record_first_byte(key, outstanding, now);
            let load = LoadReport { running, waiting, slots: 24, slow_percent: Some(slow) };
            tracker.record_report(key, load, now);
            let waited_ms = ((self.now_us - request.sent_us) / 1_000) as u32;
            let true_ms = (self.now_us - request.arrived_us) as f64 / 1e3;
            if request.arrived_us >= WARM_UP_MS * 1_000 {
                let outcome = &mut self.outcome.kinds[request.kind];
                let is_within = true_ms <= self.load.kinds[request.kind].target_ms as f64;
                outcome.within += u32::from(is_within);
                outcome.times.push((request.expected_ms, true_ms));
            }
            WorkEvent::FirstByte { id, waited_ms, age_ms: 0 }
        };
        if self.load.policy != Policy::Ledger {
            return;
        }
        let (owner, work_key) = (self.owner(engine), self.key(engine));
        let later_us = (self.uniform() * 50_000.0) as u64;
        if self.load.reports && matches!(event, EngineEvent::FirstByte(_)) {
            let load = ReportedLoad { running, waiting, slow_percent: Some(slow), age_ms: 0 };
            // The same datagram as the first byte.
            self.outcome.datagrams -= 1;
            self.send(later_us, Event::Report(owner, work_key, WorkEvent::Load(load), now));
        }
        if self.load.reports || matches!(event, EngineEvent::Ended(_)) {
            self.send(later_us, Event::Report(owner, work_key, work_event, now));
        }
    }

    fn announce(&mut self) {
        let now = self.now();
        for sender in 0..self.load.instances {
            let loads = self.trackers[sender].own_loads();
            let name: Name = format!("i{sender}").into();
            for (receiver, tracker) in self.trackers.iter_mut().enumerate() {
                if receiver != sender {
                    tracker.update_peer(&name, &loads, now);
                }
            }
        }
        if now < self.load.run_ms {
            self.push(self.now_us + ANNOUNCE_US, Event::Announce);
        }
    }
}
