//! Selects the target that a request is sent to.
//!
//! Requests share long prompt parts, there are many more parts than one engine can
//! cache, and every router decides on load data that is out of date. Rendezvous
//! hashing gives each part an ordered list of home targets, so that routers agree
//! without communicating. A large part has one home, a small part has several, and
//! a request goes to the home with the lowest expected latency. It leaves its homes
//! only if none of them is expected to respond in time: processing a part again on
//! another target takes capacity from all requests, so a slightly faster target is
//! not reason enough.

use std::collections::BinaryHeap;
use std::sync::Arc;

use base::{Millis, mix_hashes};
use serde::{Deserialize, Serialize};

use crate::entry::TargetEntry;
use crate::load::{LoadTracker, TargetKey, TargetLoad};
use crate::ranking::{RankedTarget, rank_targets};
use crate::tried::TriedTarget;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u32,
}

/// What is known about a request before it is sent.
#[derive(Clone, Debug, Default)]
pub struct RequestProfile {
    pub prompt_tokens: u32,
    /// Expected number of generated tokens.
    pub output_tokens: u32,
    /// Parts of the prompt in order; the last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
}

impl RequestProfile {
    /// Returns the memory in tokens that the request occupies when it completes.
    pub fn memory_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }

    /// Returns the tokens of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        let shared_count = self.parts.len().saturating_sub(1);
        let sum: u32 = self.parts[..shared_count].iter().map(|part| part.tokens).sum();
        sum.min(self.prompt_tokens)
    }

    /// Returns the ids of the parts that other requests may share, in order.
    pub fn shared_parts(&self) -> Vec<u64> {
        let shared_count = self.parts.len().saturating_sub(1);
        self.parts[..shared_count].iter().map(|part| part.id).collect()
    }

    /// Returns the id of the last shared part, which stands for the longest run
    /// of parts that other requests may share.
    pub fn home_part(&self) -> Option<u64> {
        let last_shared = self.parts.len().checked_sub(2)?;
        self.parts.get(last_shared).map(|part| part.id)
    }
}

/// Who decides where a request goes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PlacementMode {
    /// The work owners of targets, for services whose targets report how long work takes.
    Auto,
    /// The work owners of targets.
    Ledger,
    /// The estimate of each router.
    #[default]
    Local,
}

/// Limits and estimates for the selection of a target.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SelectionSettings {
    /// Time to the first event without prompt processing, in milliseconds:
    /// connection setup, scheduling and the first token.
    pub overhead_ms: f64,
    /// Fraction of an engine's memory that requests in flight may occupy; the
    /// rest holds cached prompt parts and avoids preemption.
    pub memory_share: f64,
    /// Requests per slot at which an engine is full. Exceeds 1, since engines have
    /// queues and each router knows another load of an engine: one that knows most
    /// of it would refuse requests that others send.
    pub slot_share: f64,
    /// Requests per slot at which a plain target is full. May exceed 1, since such
    /// a target queues or rejects requests itself and reports those that it did not
    /// run, and its load data is older than the time that a request takes.
    pub queue_share: f64,
    /// Fraction of [`SelectionQuery::target_latency_ms`] up to which a request stays
    /// at a home; latency estimates are off by about a half.
    pub home_until: f64,
    /// Probability that a shared part is cached at one of its homes, and at the
    /// next target in the order after them.
    pub kept_at: [f64; 2],
    /// Maximum tokens of a shared part over all its homes if it has more than
    /// one; each copy takes memory from other parts.
    pub home_tokens: u32,
    /// Maximum number of homes of a part.
    pub most_homes: usize,
    /// Latency added by a target in another failure domain, in milliseconds.
    pub crossing_ms: f64,
    pub placement: PlacementMode,
}

impl Default for SelectionSettings {
    fn default() -> Self {
        Self {
            overhead_ms: 60.0,
            memory_share: 0.8,
            slot_share: 1.5,
            queue_share: 4.0,
            home_until: 0.7,
            kept_at: [0.95, 0.4],
            home_tokens: 2_000,
            most_homes: 3,
            crossing_ms: 3.0,
            placement: PlacementMode::Local,
        }
    }
}

impl SelectionSettings {
    /// Returns the number of homes of a part with `tokens` tokens.
    fn home_count(&self, tokens: u32) -> usize {
        let home_count = self.home_tokens / tokens.max(1);
        (home_count as usize).clamp(1, self.most_homes)
    }

    /// Returns the probability that a part with `home_count` homes is cached at
    /// the target with rank `rank` in its order.
    fn cache_probability(&self, rank: usize, home_count: usize) -> f64 {
        if rank < home_count {
            return self.kept_at[0];
        }
        if rank == home_count { self.kept_at[1] } else { 0.0 }
    }
}

/// A request that needs a target, with the properties of its service and route.
#[derive(Clone, Copy, Debug)]
pub struct SelectionQuery<'a> {
    pub profile: &'a RequestProfile,
    /// Time in milliseconds within which callers want the response, or the first
    /// event of a stream.
    pub target_latency_ms: u64,
    /// Memory of one engine in tokens; `None` for a plain service.
    pub engine_memory: Option<u64>,
    /// Uniform hash of the request. It orders the targets of a request without
    /// homes, and thereby decides between targets with equal expected latency.
    pub request_hash: u64,
    /// Targets at which this request was already tried.
    pub tried: &'a [TriedTarget],
    /// Failure domain of this router.
    pub failure_domain: &'a str,
}

/// The target selected for a request.
#[derive(Clone, Debug)]
pub struct TargetSelection {
    pub key: TargetKey,
    pub entry: Arc<TargetEntry>,
    /// Prompt tokens that the target is expected to process, as they are not cached.
    pub unread_tokens: u32,
    /// Expected time to the first byte of the response, in milliseconds.
    pub expected_ms: f64,
    /// Part of `expected_ms` that is not prompt processing, in milliseconds.
    pub overhead_ms: f64,
    /// Rank in the request's order of homes, starting at 0; `None` if it has no
    /// homes.
    pub home_rank: Option<usize>,
    /// Expected time spent behind requests already at the target, in milliseconds.
    pub waiting_ms: f64,
    /// Requests at the target divided by its slots.
    pub occupancy: f64,
    /// Age of the target's report in milliseconds, if it is used.
    pub report_age: Option<Millis>,
}

/// Why no target was selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SelectionError {
    /// No target is published, or none at which the request was not tried in vain.
    NoTarget,
    /// All targets are full; one is likely to have spare capacity after `wait_ms`
    /// milliseconds.
    Full { wait_ms: Millis, counts: FullCounts },
}

/// Why one target is full. A target that is full for several reasons counts for the
/// first one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FullCause {
    /// The requests of this router alone.
    Own,
    /// The requests of this router and its peers.
    Announced,
    /// The target's own report.
    Reported,
    /// The memory of the requests of this router and its peers.
    Memory,
}

/// Numbers of full targets by what made them full.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FullCounts {
    /// Full with the requests of this router alone.
    pub own: u32,
    /// Full with the requests that peers announced.
    pub announced: u32,
    /// Full by their own reports.
    pub reported: u32,
    /// No memory left.
    pub memory: u32,
}

impl FullCounts {
    fn count(&mut self, cause: FullCause) {
        let count = match cause {
            FullCause::Own => &mut self.own,
            FullCause::Announced => &mut self.announced,
            FullCause::Reported => &mut self.reported,
            FullCause::Memory => &mut self.memory,
        };
        *count += 1;
    }
}

/// Selects the target for a request among the `candidates` of its service.
///
/// # Errors
/// Returns an error if no target can accept the request now.
pub fn select_target<'a>(
    tracker: &mut LoadTracker,
    candidates: impl Iterator<Item = &'a Arc<TargetEntry>>,
    query: &SelectionQuery<'_>,
    settings: &SelectionSettings,
    now: Millis,
) -> Result<TargetSelection, SelectionError> {
    let [preferred, others] = rank_targets(tracker, candidates, query, now);
    select_ranked(tracker, preferred, query, settings, now).or_else(|error| {
        let result = select_ranked(tracker, others, query, settings, now);
        result.map_err(|last| if error == SelectionError::NoTarget { last } else { error })
    })
}

/// Selects among targets of the same preference.
fn select_ranked(
    tracker: &LoadTracker,
    mut ranked_targets: BinaryHeap<RankedTarget<'_>>,
    query: &SelectionQuery<'_>,
    settings: &SelectionSettings,
    now: Millis,
) -> Result<TargetSelection, SelectionError> {
    if ranked_targets.is_empty() {
        return Err(SelectionError::NoTarget);
    }
    let home_part = query.profile.home_part();
    let home_limit_ms = query.target_latency_ms as f64 * settings.home_until;
    let home_count = settings.home_count(query.profile.shared_tokens());
    let mut best: Option<TargetSelection> = None;
    let mut min_wait_ms = f64::MAX;
    let mut counts = FullCounts::default();
    let mut rank = 0;
    let is_stale = tracker.has_stale_targets();
    while let Some(RankedTarget { key, entry, .. }) = ranked_targets.pop() {
        let Some(load) = tracker.get(key) else { continue };
        let home_rank = home_part.map(|_| rank);
        rank += 1;
        let cache_probability =
            home_rank.map_or(0.0, |rank| settings.cache_probability(rank, home_count));
        let estimate = estimate_latency(load, entry, query, cache_probability, settings, now);
        if let Some(cause) = estimate.full_cause {
            counts.count(cause);
            min_wait_ms = min_wait_ms.min(estimate.expected_ms);
            continue;
        }
        if best.as_ref().is_none_or(|best| estimate.expected_ms < best.expected_ms) {
            best = Some(TargetSelection {
                key,
                entry: Arc::clone(entry),
                unread_tokens: estimate.unread_tokens as u32,
                expected_ms: estimate.expected_ms,
                overhead_ms: estimate.overhead_ms,
                home_rank,
                waiting_ms: estimate.waiting_ms,
                occupancy: estimate.occupancy,
                report_age: load.report_age(now),
            });
        }
        let is_within_limit = best.as_ref().is_some_and(|best| best.expected_ms <= home_limit_ms);
        if home_part.is_some() && rank >= home_count && is_within_limit {
            break;
        }
        // Of all targets, every router would choose the same one until its peers' next messages.
        if home_part.is_none() && is_stale {
            break;
        }
    }
    best.ok_or(SelectionError::Full { wait_ms: min_wait_ms.min(1e6) as Millis, counts })
}

/// A target that may get a request, in the order in which targets are asked for offers.
#[derive(Clone, Debug)]
pub struct TargetCandidate {
    pub key: TargetKey,
    pub entry: Arc<TargetEntry>,
    /// Rank in the request's order of homes, starting at 0; `None` if it has no homes.
    pub home_rank: Option<usize>,
    /// Probability that the target holds the shared parts of the prompt.
    pub cache_probability: f64,
}

/// Which targets are asked for offers.
#[derive(Clone, Copy, Debug)]
pub struct CandidateSpread {
    /// Number of candidates.
    pub count: usize,
    /// Least number of homes: a part that many requests share needs more than its size tells.
    pub min_homes: usize,
}

/// Returns candidates for a request: a home, by the hash of the request if there are several,
/// the target after it in the order of homes, and others by the hash of the request. Their loads
/// are not considered, as their work owners know them better.
pub fn offer_candidates<'a>(
    tracker: &mut LoadTracker,
    candidates: impl Iterator<Item = &'a Arc<TargetEntry>>,
    query: &SelectionQuery<'_>,
    settings: &SelectionSettings,
    spread: CandidateSpread,
    now: Millis,
) -> Vec<TargetCandidate> {
    let home_part = query.profile.home_part();
    let usual_homes = settings.home_count(query.profile.shared_tokens());
    let [preferred, others] = rank_targets(tracker, candidates, query, now);
    let mut ranked_targets = if preferred.is_empty() { others } else { preferred };
    let candidate = |target: &RankedTarget<'_>, home_rank: Option<usize>| TargetCandidate {
        key: target.key,
        entry: Arc::clone(target.entry),
        home_rank,
        cache_probability: home_rank
            .map_or(0.0, |rank| settings.cache_probability(rank, usual_homes)),
    };
    let mut first = Vec::with_capacity(spread.count);
    if home_part.is_some() {
        let home_count = usual_homes.max(spread.min_homes).clamp(1, ranked_targets.len().max(1));
        // One more than the homes, as the target after the last home gets what they can't take.
        let mut homes = Vec::with_capacity(home_count + 1);
        homes.extend(std::iter::from_fn(|| ranked_targets.pop()).take(home_count + 1));
        let chosen = (query.request_hash % home_count as u64) as usize;
        let next = if home_count > 1 { (chosen + 1) % home_count } else { 1 };
        for rank in [chosen, next].into_iter().take(spread.count) {
            first.extend(homes.get(rank).map(|target| candidate(target, Some(rank))));
        }
    }
    let mut others = ranked_targets.into_vec();
    while first.len() < spread.count {
        let weight = |target: &RankedTarget<'_>| {
            tracker.get(target.key).map(|load| mix_hashes(load.hash, query.request_hash))
        };
        let best = (0..others.len()).max_by_key(|index| weight(&others[*index]));
        let Some(best) = best else { break };
        first.push(candidate(&others.swap_remove(best), None));
    }
    first
}

/// Returns the mean fullness of the engines of a service, from 0; at 1 their slots or
/// their memory are in use. By requests in flight, not by reports: the mean of many
/// engines is then nearly the same at all routers, though each knows another load of
/// a single engine.
pub fn mean_fullness<'a>(
    tracker: &mut LoadTracker,
    entries: impl Iterator<Item = &'a Arc<TargetEntry>>,
    engine_memory: Option<u64>,
    settings: &SelectionSettings,
) -> f64 {
    let mut in_flight = tracker.unlisted();
    let mut slots = 0.0;
    let mut memory_limit = 0.0;
    for entry in entries {
        let key = tracker.key_for(entry);
        let Some(load) = tracker.get(key) else { continue };
        in_flight.add(&load.total());
        slots += f64::from(entry.slots);
        memory_limit += engine_memory.unwrap_or(0) as f64 * settings.memory_share;
    }
    let by_slots = f64::from(in_flight.requests) / slots.max(1.0);
    let by_memory =
        if memory_limit > 0.0 { in_flight.memory_tokens as f64 / memory_limit } else { 0.0 };
    by_slots.max(by_memory)
}

struct LatencyEstimate {
    expected_ms: f64,
    overhead_ms: f64,
    unread_tokens: f64,
    waiting_ms: f64,
    occupancy: f64,
    full_cause: Option<FullCause>,
}

fn estimate_latency(
    load: &TargetLoad,
    entry: &TargetEntry,
    query: &SelectionQuery<'_>,
    cache_probability: f64,
    settings: &SelectionSettings,
    now: Millis,
) -> LatencyEstimate {
    let profile = query.profile;
    let total = load.total();
    let cached_tokens = cache_probability * f64::from(profile.shared_tokens());
    let unread_tokens = (f64::from(profile.prompt_tokens) - cached_tokens).max(0.0);
    let waiting_ms = load.unread_tokens(now) * load.token_ms();
    let processing_ms = waiting_ms + unread_tokens * load.token_ms();
    let requests = load.requests(now);
    let is_same_domain = &*entry.failure_domain == query.failure_domain;
    let crossing_ms = if is_same_domain { 0.0 } else { settings.crossing_ms };
    let occupancy = f64::from(requests) / f64::from(entry.slots.max(1));
    let memory_tokens = total.memory_tokens + u64::from(profile.memory_tokens());
    let memory_limit = query.engine_memory.map(|tokens| tokens as f64 * settings.memory_share);
    let max_occupancy =
        if query.engine_memory.is_some() { settings.slot_share } else { settings.queue_share };
    let max_requests = f64::from(entry.slots) * max_occupancy;
    let is_memory_used =
        memory_limit.is_some_and(|limit| memory_tokens as f64 > limit && total.requests > 0);
    let full_cause = if f64::from(load.own().requests) >= max_requests {
        Some(FullCause::Own)
    } else if f64::from(total.requests) >= max_requests {
        Some(FullCause::Announced)
    } else if f64::from(requests) >= max_requests {
        Some(FullCause::Reported)
    } else {
        is_memory_used.then_some(FullCause::Memory)
    };
    let overhead_ms = settings.overhead_ms * (1.0 + occupancy) + crossing_ms;
    let expected_ms = overhead_ms + processing_ms;
    LatencyEstimate { expected_ms, overhead_ms, unread_tokens, waiting_ms, occupancy, full_cause }
}
