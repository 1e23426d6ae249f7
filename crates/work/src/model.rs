//! The work that one target still has to do, as its owner knows it.
//!
//! An engine reads prompts in order of arrival and generates for the others in between. The model
//! follows that order: a first byte shows that every prompt before it was read, and a prompt
//! without one is still being read, unless its report is on the way.

use std::collections::{HashMap, VecDeque};

use base::Millis;

use crate::cost::{InFlightWork, RequestCost, TargetSize};
use crate::message::{PlacementId, ReportedLoad};
use crate::parts::HeldParts;
use crate::settings::WorkSettings;

/// Maximum number of placements of one target; the oldest is dropped then. Exceeds the slots and
/// the queue of the targets in use, and bounds the memory that forged messages take.
const MAX_PLACEMENTS: usize = 256;
/// Maximum number of routers whose requests in flight are remembered for one target.
const MAX_SENDERS: usize = 400;
/// Time in milliseconds for which requests in flight that a router named are believed.
const IN_FLIGHT_MS: Millis = 1_000;
/// Weight of the newest sample in the moving averages, for a prompt of [`FULL_SAMPLE_TOKENS`].
const SAMPLE_WEIGHT: f64 = 0.1;
/// Tokens from which on a sample shows the time per token rather than the overhead.
const FULL_SAMPLE_TOKENS: f64 = 4_000.0;
/// Range of the time per token in milliseconds, of the overhead and of the time of a plain request.
const TOKEN_MS_RANGE: (f64, f64) = (0.002, 0.1);
const OVERHEAD_MS_RANGE: (f64, f64) = (0.0, 100.0);
const PLAIN_MS_RANGE: (f64, f64) = (1.0, 5_000.0);
/// Range of the reported slow-down that is believed, in percent.
const SLOW_PERCENT_RANGE: (u32, u32) = (50, 1_000);

/// One request at the target.
#[derive(Clone, Copy, Debug)]
struct Placement {
    id: PlacementId,
    arrives_at: Millis,
    unread_tokens: f64,
    output_tokens: f64,
    memory_tokens: u64,
    /// Requests at the target when this one was placed, this one included.
    requests: usize,
    first_byte_at: Option<Millis>,
    /// Whether its first byte was reported, or that of a request that arrived later.
    is_read: bool,
}

/// What a request is expected to meet at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkEstimate {
    /// Time to the first event in milliseconds.
    pub expected_ms: f64,
    /// The part of `expected_ms` spent behind other requests, in milliseconds.
    pub wait_ms: f64,
    /// The part of `expected_ms` in which the target reads the prompt, in milliseconds.
    pub read_ms: f64,
    /// Prompt tokens that the target is expected to read.
    pub unread_tokens: f64,
    /// Whether slots or memory are used up.
    pub is_full: bool,
}

/// Model of one target.
#[derive(Clone, Debug)]
pub struct WorkModel {
    size: TargetSize,
    /// In order of arrival.
    placements: VecDeque<Placement>,
    /// Requests in flight that routers named, of which some may not be placements here.
    in_flight: HashMap<u32, (InFlightWork, Millis)>,
    /// When the newest prompt that is known to be read was read.
    read_at: Millis,
    load: Option<(ReportedLoad, Millis)>,
    slow: Option<(f64, Millis)>,
    parts: HeldParts,
    token_ms: f64,
    overhead_ms: f64,
    plain_ms: f64,
    /// When the target was last asked for or reported on.
    used_at: Millis,
}

impl WorkModel {
    pub fn new(size: TargetSize, settings: &WorkSettings, now: Millis) -> Self {
        Self {
            size: size.bounded(),
            placements: VecDeque::new(),
            in_flight: HashMap::new(),
            read_at: now,
            load: None,
            slow: None,
            parts: HeldParts::new(now),
            token_ms: settings.token_ms,
            overhead_ms: settings.overhead_ms,
            plain_ms: settings.plain_ms,
            used_at: now,
        }
    }

    pub fn set_size(&mut self, size: TargetSize) {
        self.size = size.bounded();
    }

    /// Returns the learned time to read one prompt token, in milliseconds.
    pub fn token_ms(&self) -> f64 {
        self.token_ms
    }

    /// Returns the number of requests that are placed and have not ended.
    pub fn placed(&self) -> usize {
        self.placements.len()
    }

    pub(crate) fn used_at(&self) -> Millis {
        self.used_at
    }

    /// Returns the age in milliseconds of the newest report.
    pub fn report_age(&self, now: Millis) -> Option<Millis> {
        self.load.map(|(_, at)| now.saturating_sub(at))
    }

    /// Estimates what a request that is placed now would meet.
    pub fn estimate(
        &self,
        cost: &RequestCost,
        settings: &WorkSettings,
        now: Millis,
    ) -> WorkEstimate {
        let cost = cost.bounded();
        let hidden = self.hidden_work(now);
        let requests = self.requests(hidden, settings, now);
        if self.size.memory_tokens == 0 {
            return self.estimate_plain(requests, settings, now);
        }
        let step_ms = self.step_ms(settings, now);
        let unread_tokens = self.unread_tokens(&cost, now);
        let hidden_ms = self.read_ms(f64::from(hidden.unread_tokens), step_ms, settings, now);
        // A prompt may be read since the last batch of reports, but hardly before it.
        let floor = now.saturating_sub(settings.report_delay_ms) as f64;
        let read_end = self.read_end(self.placements.len(), floor, step_ms, settings, now);
        let wait_ms = (read_end - now as f64).max(0.0) + hidden_ms;
        let wait_ms = wait_ms.max(self.slot_wait_ms(requests, step_ms, now));
        let read_ms = self.read_ms(unread_tokens, step_ms, settings, now);
        let memory: u64 = self.placements.iter().map(|placement| placement.memory_tokens).sum();
        let memory = memory + cost.memory_tokens();
        let is_memory_used =
            memory > u64::from(self.size.memory_tokens) && !self.placements.is_empty();
        let max_requests = f64::from(self.size.slots) * settings.slot_share[0];
        WorkEstimate {
            expected_ms: wait_ms + read_ms + step_ms + self.overhead_ms,
            wait_ms,
            read_ms,
            unread_tokens,
            is_full: is_memory_used || requests as f64 >= max_requests,
        }
    }

    fn estimate_plain(
        &self,
        requests: usize,
        settings: &WorkSettings,
        now: Millis,
    ) -> WorkEstimate {
        let slots = f64::from(self.size.slots);
        let read_ms = self.plain_ms * self.slow_factor(settings.max_slow_age_ms, now);
        // Requests beyond the slots wait; more than a few slow each other before that.
        let wait_ms = read_ms * ((requests as f64 + 1.0) / slots - 1.0).max(0.0);
        WorkEstimate {
            expected_ms: wait_ms + read_ms,
            wait_ms,
            read_ms,
            unread_tokens: 0.0,
            is_full: requests as f64 >= slots * settings.slot_share[1],
        }
    }

    /// Counts a request that is sent to the target now. One that is known already is not counted
    /// twice.
    pub fn place(
        &mut self,
        id: PlacementId,
        cost: &RequestCost,
        settings: &WorkSettings,
        now: Millis,
    ) {
        self.expire(settings, now);
        if self.placements.iter().any(|placement| placement.id == id) {
            return;
        }
        if self.placements.len() >= MAX_PLACEMENTS {
            self.placements.pop_front();
        }
        let cost = cost.bounded();
        let unread_tokens = self.unread_tokens(&cost, now);
        self.parts.record(cost.part, now);
        self.placements.push_back(Placement {
            id,
            arrives_at: now,
            unread_tokens,
            output_tokens: f64::from(cost.output_tokens),
            memory_tokens: cost.memory_tokens(),
            requests: self.placements.len() + 1,
            first_byte_at: None,
            is_read: false,
        });
    }

    /// Records the requests that a router has in flight at the target.
    pub fn record_in_flight(&mut self, sender: u32, in_flight: InFlightWork, now: Millis) {
        self.used_at = now;
        if in_flight.requests == 0 {
            self.in_flight.remove(&sender);
        } else if self.in_flight.len() < MAX_SENDERS || self.in_flight.contains_key(&sender) {
            self.in_flight.insert(sender, (in_flight.bounded(), now));
        }
    }

    /// Records that the first byte of a response came `age_ms` milliseconds ago, `waited_ms` after
    /// the request was written.
    pub fn record_first_byte(
        &mut self,
        id: PlacementId,
        waited_ms: Millis,
        age_ms: Millis,
        settings: &WorkSettings,
        now: Millis,
    ) {
        self.used_at = now;
        let Some(index) = self.placements.iter().position(|placement| placement.id == id) else {
            return;
        };
        if self.placements[index].first_byte_at.is_some() {
            return;
        }
        let first_byte_at = now.saturating_sub(age_ms.min(settings.max_unread_ms));
        let arrived_at = first_byte_at.saturating_sub(waited_ms.min(settings.max_unread_ms));
        let placement = &mut self.placements[index];
        // The request was written after it was placed.
        placement.arrives_at = placement.arrives_at.max(arrived_at).min(first_byte_at);
        if self.size.memory_tokens == 0 {
            self.learn_plain(index, waited_ms);
        } else {
            self.learn(index, first_byte_at, settings, now);
        }
        self.placements[index].first_byte_at = Some(first_byte_at);
        // Prompts are read in order, so those before it are read as well.
        self.placements.iter_mut().take(index + 1).for_each(|placement| placement.is_read = true);
        self.read_at = self.read_at.max(first_byte_at);
    }

    /// Records that a request ended, or was not sent.
    pub fn record_end(&mut self, id: PlacementId, now: Millis) {
        self.used_at = now;
        self.placements.retain(|placement| placement.id != id);
    }

    /// Records the load that the target reported.
    pub fn record_load(&mut self, load: ReportedLoad, now: Millis) {
        self.used_at = now;
        let reported_at = now.saturating_sub(u64::from(load.age_ms));
        if self.load.is_some_and(|(_, at)| at > reported_at) {
            return;
        }
        self.load = Some((load, reported_at));
        if let Some(percent) = load.slow_percent {
            let percent = percent.clamp(SLOW_PERCENT_RANGE.0, SLOW_PERCENT_RANGE.1);
            self.slow = Some((f64::from(percent) / 100.0, reported_at));
        }
    }

    /// Drops placements whose reports never came.
    pub fn expire(&mut self, settings: &WorkSettings, now: Millis) {
        self.placements.retain(|placement| {
            let max_ms = match placement.first_byte_at {
                None => settings.max_unread_ms,
                Some(_) => settings.max_running_ms,
            };
            now.saturating_sub(placement.arrives_at) <= max_ms
        });
        self.in_flight.retain(|_, (_, at)| now.saturating_sub(*at) <= IN_FLIGHT_MS);
    }

    /// Returns the work that routers named and that is not among the placements.
    fn hidden_work(&self, now: Millis) -> InFlightWork {
        let mut hidden = InFlightWork::default();
        for (sender, (named, at)) in &self.in_flight {
            if now.saturating_sub(*at) > IN_FLIGHT_MS {
                continue;
            }
            let own = self.placements.iter().filter(|placement| placement.id.sender() == *sender);
            let requests = named.requests.saturating_sub(own.clone().count() as u32);
            if requests == 0 {
                continue;
            }
            let unread: f64 = own
                .filter(|placement| placement.first_byte_at.is_none())
                .map(|placement| placement.unread_tokens)
                .sum();
            hidden.requests += requests;
            // What was named has been read since, at the learned speed.
            let read = now.saturating_sub(*at) as f64 / self.token_ms;
            hidden.unread_tokens += named.unread_tokens.saturating_sub((unread + read) as u32);
        }
        hidden
    }

    fn requests(&self, hidden: InFlightWork, settings: &WorkSettings, now: Millis) -> usize {
        let reported =
            self.load.filter(|(_, at)| now.saturating_sub(*at) <= settings.max_load_age_ms);
        let reported = reported.map_or(0, |(load, _)| load.running.saturating_add(load.waiting));
        (self.placements.len() + hidden.requests as usize).max(reported as usize)
    }

    fn unread_tokens(&self, cost: &RequestCost, now: Millis) -> f64 {
        let known = self.parts.probability(cost.part, now).filter(|_| cost.part != 0);
        let held = known.unwrap_or(f64::from(cost.held_percent) / 100.0);
        f64::from(cost.prompt_tokens) - held * f64::from(cost.shared_tokens)
    }

    fn slow_factor(&self, max_age_ms: Millis, now: Millis) -> f64 {
        let young = self.slow.filter(|(_, at)| now.saturating_sub(*at) <= max_age_ms);
        young.map_or(1.0, |(factor, _)| factor)
    }

    /// Returns the time between two tokens of the running requests, in milliseconds.
    fn step_ms(&self, settings: &WorkSettings, now: Millis) -> f64 {
        let running =
            self.placements.iter().filter(|placement| placement.first_byte_at.is_some()).count();
        let step_ms = settings.step_ms[0] + settings.step_ms[1] * running as f64;
        step_ms * self.slow_factor(settings.max_slow_age_ms, now)
    }

    /// Returns the time in which the target reads `tokens` prompt tokens, in milliseconds.
    fn read_ms(&self, tokens: f64, step_ms: f64, settings: &WorkSettings, now: Millis) -> f64 {
        let slow = self.slow_factor(settings.max_slow_age_ms, now);
        // The slow-down is in `step_ms` already.
        tokens * self.token_ms * slow + tokens / settings.chunk_tokens * step_ms
    }

    /// Returns when the first `count` placements are read, but not before `floor`, as those are
    /// not known to be read.
    fn read_end(
        &self,
        count: usize,
        floor: f64,
        step_ms: f64,
        settings: &WorkSettings,
        now: Millis,
    ) -> f64 {
        let mut end = self.read_at as f64;
        for placement in self.placements.iter().take(count) {
            if placement.is_read {
                continue;
            }
            end = end.max(placement.arrives_at as f64);
            end += self.read_ms(placement.unread_tokens, step_ms, settings, now);
            end = end.max(floor);
        }
        end
    }

    /// Returns the time until a slot is free for one more request, in milliseconds.
    fn slot_wait_ms(&self, requests: usize, step_ms: f64, now: Millis) -> f64 {
        let slots = self.size.slots as usize;
        if requests < slots {
            return 0.0;
        }
        let mut left_ms: Vec<f64> = self
            .placements
            .iter()
            .map(|placement| {
                let run_ms = placement.output_tokens * step_ms;
                let began_at = placement.first_byte_at.unwrap_or(now);
                (run_ms - now.saturating_sub(began_at) as f64).max(0.0)
            })
            .collect();
        left_ms.sort_by(f64::total_cmp);
        left_ms.get(requests - slots).or(left_ms.last()).copied().unwrap_or(0.0)
    }

    /// Learns the time per token and the overhead from a first byte.
    fn learn(&mut self, index: usize, first_byte_at: Millis, settings: &WorkSettings, now: Millis) {
        let step_ms = self.step_ms(settings, now);
        let waiting = self.placements.iter().take(index + 1);
        let waiting: Vec<&Placement> = waiting.filter(|placement| !placement.is_read).collect();
        let Some(first) = waiting.first() else { return };
        let began_at = (self.read_at.max(first.arrives_at)) as f64;
        let tokens: f64 = waiting.iter().map(|placement| placement.unread_tokens).sum();
        let expected_ms = self.read_end(index + 1, 0.0, step_ms, settings, now) - began_at;
        let was_idle = self.read_at <= first.arrives_at;
        let extra_ms = if was_idle { self.overhead_ms + step_ms } else { 0.0 };
        let actual_ms = first_byte_at as f64 - began_at - extra_ms;
        let share = (tokens / FULL_SAMPLE_TOKENS).min(1.0);
        if expected_ms > 1.0 {
            let ratio = (actual_ms / expected_ms).clamp(0.5, 2.0);
            let sample = self.token_ms * ratio;
            let token_ms = self.token_ms + (sample - self.token_ms) * SAMPLE_WEIGHT * share;
            self.token_ms = token_ms.clamp(TOKEN_MS_RANGE.0, TOKEN_MS_RANGE.1);
        }
        if was_idle && waiting.len() == 1 {
            let weight = SAMPLE_WEIGHT * (1.0 - share);
            let overhead_ms =
                self.overhead_ms + (actual_ms - expected_ms).clamp(-50.0, 50.0) * weight;
            self.overhead_ms = overhead_ms.clamp(OVERHEAD_MS_RANGE.0, OVERHEAD_MS_RANGE.1);
        }
    }

    fn learn_plain(&mut self, index: usize, waited_ms: Millis) {
        let placement = &self.placements[index];
        let busy = (placement.requests as f64 / f64::from(self.size.slots)).max(1.0);
        let plain_ms = self.plain_ms + (waited_ms as f64 / busy - self.plain_ms) * SAMPLE_WEIGHT;
        self.plain_ms = plain_ms.clamp(PLAIN_MS_RANGE.0, PLAIN_MS_RANGE.1);
    }
}
