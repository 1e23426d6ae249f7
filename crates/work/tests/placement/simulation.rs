//! A simulated fleet: instances, owners with delayed messages, engines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use base::{Name, mix_hashes};
use rate::RateKey;
use target::{
    LoadReport, LoadTracker, OutstandingKey, PromptPart, RequestOutcome, RequestProfile,
    TargetEntry, TargetKey, TargetState,
};
use work::{
    OfferResponse, PartDemand, PlacementId, PlacementNotice, ReceivedOffer, ReportedLoad,
    RequestCost, TargetSize, WorkEvent, WorkOwner, WorkReport,
};

use crate::engine::{Engine, EngineEvent, Job};
use crate::load::{Kind, Load, Outcome, Policy};

/// Interval of load announcements between instances, in microseconds.
const ANNOUNCE_US: u64 = 800_000;
/// Requests of the first seconds are not counted, as nothing is learned yet.
pub(crate) const WARM_UP_MS: u64 = 2_000;

#[derive(Clone, Debug)]
pub(crate) enum Event {
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

pub(crate) struct Request {
    pub(crate) instance: usize,
    pub(crate) kind: usize,
    pub(crate) arrived_us: u64,
    pub(crate) sent_us: u64,
    pub(crate) hash: u64,
    pub(crate) profile: RequestProfile,
    pub(crate) job: Job,
    /// Engines that are asked, with the probability that they hold the prompt.
    pub(crate) asked: Vec<(usize, f64)>,
    pub(crate) offers: Vec<ReceivedOffer>,
    /// Number of candidates that were asked.
    pub(crate) open: usize,
    pub(crate) engine: Option<usize>,
    pub(crate) expected_ms: f64,
    pub(crate) local: Option<(TargetKey, OutstandingKey)>,
}

pub struct Simulation {
    pub(crate) load: Load,
    pub(crate) now_us: u64,
    pub(crate) sequence: u64,
    pub(crate) random: u64,
    pub(crate) queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub(crate) events: std::collections::HashMap<u64, Event>,
    pub(crate) entries: Vec<Arc<TargetEntry>>,
    pub(crate) is_gone: Vec<bool>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) trackers: Vec<LoadTracker>,
    pub(crate) owners: Vec<WorkOwner>,
    pub(crate) demands: Vec<PartDemand>,
    pub(crate) requests: Vec<Request>,
    pub(crate) outcome: Outcome,
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

    pub(crate) fn now(&self) -> u64 {
        self.now_us / 1_000
    }

    pub(crate) fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        self.queue.push(Reverse((at, self.sequence)));
    }

    pub(crate) fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(1);
        mix_hashes(self.random, self.load.seed)
    }

    pub(crate) fn uniform(&mut self) -> f64 {
        (self.next_random() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Sends a datagram between two instances, which may be lost.
    pub(crate) fn send(&mut self, later_us: u64, event: Event) {
        self.outcome.datagrams += 1;
        let delay_us = 1_000 + (self.uniform() * 2_000.0) as u64;
        if self.next_random() % 100 >= self.load.lost_percent {
            self.push(self.now_us + later_us + delay_us, event);
        }
    }

    pub(crate) fn key(&self, engine: usize) -> RateKey {
        RateKey::new(&self.entries[engine].id, 1)
    }

    pub(crate) fn owner(&self, engine: usize) -> usize {
        (mix_hashes(engine as u64, 77) % self.load.instances as u64) as usize
    }

    pub(crate) fn size(&self) -> TargetSize {
        TargetSize { slots: 24, memory_tokens: (self.load.memory_tokens * 0.8) as u32 }
    }

    pub(crate) fn id(&self, request: usize) -> PlacementId {
        PlacementId::new(self.requests[request].instance as u64, request as u32)
    }

    pub(crate) fn cost(&self, request: usize, held: f64) -> RequestCost {
        let request = &self.requests[request];
        RequestCost {
            prompt_tokens: request.profile.prompt_tokens,
            shared_tokens: request.profile.shared_tokens(),
            part: request.profile.home_part().unwrap_or(0) as u32,
            held_percent: (held * 100.0) as u8,
            output_tokens: request.profile.output_tokens,
        }
    }

    pub(crate) fn handle(&mut self, event: Event) {
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

    pub(crate) fn arrive(&mut self) {
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

    pub(crate) fn live(&self) -> Vec<usize> {
        (0..self.load.engines).filter(|engine| !self.is_gone[*engine]).collect()
    }

    pub(crate) fn dispatch(
        &mut self,
        request: usize,
        engine: usize,
        expected_ms: f64,
        unread_tokens: u32,
    ) {
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

    pub(crate) fn cycle(&mut self, engine: usize) {
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

    pub(crate) fn observe(&mut self, engine: usize, event: EngineEvent) {
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

    pub(crate) fn announce(&mut self) {
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
