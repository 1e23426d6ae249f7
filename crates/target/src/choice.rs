//! Which target a request goes to.
//!
//! Load pattern: requests share long prompt parts, many more parts than one
//! engine can keep, and every router chooses by late knowledge. Each part has
//! home targets in an order given by rendezvous hashing, so routers agree
//! without asking. A large part has one home, a small one several, of which the
//! request takes the one that is expected to answer first. It stays at its homes
//! as long as one is expected to answer in time: reading a part anew takes work
//! from everybody, so it is not enough that another target would be a little
//! faster.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::Arc;

use base::{Millis, Name, mix_hashes};
use serde::{Deserialize, Serialize};

use crate::entry::TargetEntry;
use crate::load::{LoadTracker, TargetKey, TargetLoad};

/// One part of a prompt, in order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u32,
}

/// What is known of a request before it is sent.
#[derive(Clone, Debug, Default)]
pub struct RequestProfile {
    pub prompt_tokens: u32,
    /// Expected number of generated tokens.
    pub output_tokens: u32,
    /// The prompt's parts; the last one is the request's own.
    pub parts: Vec<PromptPart>,
}

impl RequestProfile {
    /// Tokens of memory that it takes at its end.
    pub fn memory_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }

    /// Tokens of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        let sum: u32 = self.parts[..shared].iter().map(|part| part.tokens).sum();
        sum.min(self.prompt_tokens)
    }

    /// The longest run of parts that other requests share, named by its last.
    fn home_part(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).map(|part| part.id)
    }
}

/// Bounds of the choice.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SelectionSettings {
    /// Time to the first event beyond reading, in milliseconds: connection,
    /// scheduling and the first token.
    pub overhead_ms: f64,
    /// Share of an engine's memory that requests under way may take, so that
    /// kept prompt parts have room and nothing is preempted.
    pub memory_share: f64,
    /// Share of an engine's slots that may be taken: reports are late.
    pub slot_share: f64,
    /// Requests for each slot of a plain target up to which it gets more: it
    /// queues or sheds by itself and says that it did not run them, and what is
    /// known of its load is older than a request takes.
    pub queue_share: f64,
    /// Share of the time that callers aim for up to which a request stays at a
    /// home: expectations are off by about a half.
    pub home_until: f64,
    /// Probability that a home keeps a shared part, and that the target after
    /// the homes does.
    pub kept_at: [f64; 2],
    /// Tokens up to which a shared part is kept at several homes, all of them
    /// together: what is kept twice takes memory from others.
    pub home_tokens: u32,
    /// Most homes of one part.
    pub most_homes: usize,
    /// Cost of crossing failure domains, in milliseconds.
    pub crossing_ms: f64,
}

impl Default for SelectionSettings {
    fn default() -> Self {
        Self {
            overhead_ms: 60.0,
            memory_share: 0.8,
            slot_share: 1.0,
            queue_share: 4.0,
            home_until: 0.7,
            kept_at: [0.95, 0.4],
            home_tokens: 2_000,
            most_homes: 3,
            crossing_ms: 3.0,
        }
    }
}

impl SelectionSettings {
    /// Homes of a part of so many tokens.
    fn homes(&self, tokens: u32) -> usize {
        let homes = self.home_tokens / tokens.max(1);
        (homes as usize).clamp(1, self.most_homes)
    }

    /// Probability that a part with so many homes is kept at the home of a rank.
    fn kept(&self, rank: usize, homes: usize) -> f64 {
        if rank < homes {
            return self.kept_at[0];
        }
        if rank == homes { self.kept_at[1] } else { 0.0 }
    }
}

/// A request to place, with what its service and route say.
#[derive(Clone, Copy, Debug)]
pub struct SelectionQuery<'a> {
    pub profile: &'a RequestProfile,
    /// Time to the first event that callers aim for, in milliseconds.
    pub target_latency_ms: u64,
    /// An engine's memory in tokens; none for a plain service.
    pub engine_memory: Option<u64>,
    /// A number that is spread evenly over requests: targets without a home and
    /// with the same expectation are taken in an order drawn by it.
    pub request_hash: u64,
    /// Targets that this request was sent to before.
    pub tried: &'a [Name],
    /// Failure domain of this router.
    pub failure_domain: &'a str,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct TargetSelection {
    pub key: TargetKey,
    pub entry: Arc<TargetEntry>,
    /// Prompt tokens that the target probably has to read.
    pub unread_tokens: u32,
    /// Expected time to the first byte of the answer, in milliseconds.
    pub expected_ms: f64,
    /// The part of it that is not for reading, in milliseconds.
    pub overhead_ms: f64,
    /// Place in the order of the request's homes, from 0; none without a home.
    pub home_rank: Option<usize>,
    /// Expected time behind requests that are at the target already, in
    /// milliseconds.
    pub waiting_ms: f64,
    /// Requests at the target for each of its slots.
    pub occupancy: f64,
}

/// Why a request goes nowhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SelectionError {
    /// No target is published, or all were tried or set aside.
    NoTarget,
    /// All targets are full; a place is likely after this time.
    Full { wait_ms: Millis },
}

/// Chooses a target for a request of a service.
///
/// # Errors
/// No target can take the request now.
pub fn select_target<'a>(
    book: &mut LoadTracker,
    candidates: impl Iterator<Item = &'a Arc<TargetEntry>>,
    question: &SelectionQuery<'_>,
    settings: &SelectionSettings,
    now: Millis,
) -> Result<TargetSelection, SelectionError> {
    let home_part = question.profile.home_part();
    let mut usable = usable_targets(book, candidates, question, home_part, now);
    if usable.is_empty() {
        return Err(SelectionError::NoTarget);
    }
    let home_until_ms = question.target_latency_ms as f64 * settings.home_until;
    let homes = settings.homes(question.profile.shared_tokens());
    let mut best: Option<TargetSelection> = None;
    let mut least_wait_ms = f64::MAX;
    let mut rank = 0;
    while let Some(RankedTarget { key, entry, .. }) = usable.pop() {
        let Some(load) = book.get(key) else { continue };
        let home_rank = home_part.map(|_| rank);
        rank += 1;
        let kept = home_rank.map_or(0.0, |rank| settings.kept(rank, homes));
        let expectation = expect(load, entry, question, kept, settings, now);
        if expectation.is_full {
            least_wait_ms = least_wait_ms.min(expectation.ms);
            continue;
        }
        if best.as_ref().is_none_or(|best| expectation.ms < best.expected_ms) {
            best = Some(TargetSelection {
                key,
                entry: Arc::clone(entry),
                unread_tokens: expectation.unread_tokens as u32,
                expected_ms: expectation.ms,
                overhead_ms: expectation.overhead_ms,
                home_rank,
                waiting_ms: expectation.waiting_ms,
                occupancy: expectation.occupancy,
            });
        }
        let is_good = best.as_ref().is_some_and(|best| best.expected_ms <= home_until_ms);
        if home_part.is_some() && rank >= homes && is_good {
            break;
        }
    }
    best.ok_or(SelectionError::Full { wait_ms: least_wait_ms.min(1e6) as Millis })
}

/// A target with its weight for a request; the greatest is the first home, or
/// the first in the order that is drawn for a request without a home.
struct RankedTarget<'a> {
    weight: u64,
    key: TargetKey,
    entry: &'a Arc<TargetEntry>,
}

impl PartialEq for RankedTarget<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for RankedTarget<'_> {}

impl PartialOrd for RankedTarget<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for RankedTarget<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.weight.cmp(&other.weight).then_with(|| self.entry.id.cmp(&other.entry.id))
    }
}

/// Targets that may get the request; those that were set aside only when there
/// are no others, since then the fault is more likely elsewhere.
fn usable_targets<'a>(
    book: &mut LoadTracker,
    candidates: impl Iterator<Item = &'a Arc<TargetEntry>>,
    question: &SelectionQuery<'_>,
    home_part: Option<u64>,
    now: Millis,
) -> BinaryHeap<RankedTarget<'a>> {
    let mut usable = Vec::new();
    let mut set_aside = Vec::new();
    for entry in candidates.filter(|entry| !question.tried.contains(&entry.id)) {
        let key = book.key_for(entry);
        let Some(load) = book.get(key) else { continue };
        let weight = mix_hashes(load.hash, home_part.unwrap_or(question.request_hash));
        let target = RankedTarget { weight, key, entry };
        let admitted = load.health.admits(&book.health, now);
        if admitted { usable.push(target) } else { set_aside.push(target) }
    }
    BinaryHeap::from(if usable.is_empty() { set_aside } else { usable })
}

struct Expectation {
    ms: f64,
    overhead_ms: f64,
    unread_tokens: f64,
    waiting_ms: f64,
    occupancy: f64,
    is_full: bool,
}

fn expect(
    load: &TargetLoad,
    entry: &TargetEntry,
    question: &SelectionQuery<'_>,
    kept: f64,
    settings: &SelectionSettings,
    now: Millis,
) -> Expectation {
    let profile = question.profile;
    let total = load.total();
    let kept_tokens = kept * f64::from(profile.shared_tokens());
    let unread_tokens = (f64::from(profile.prompt_tokens) - kept_tokens).max(0.0);
    let waiting_ms = load.unread_tokens(now) * load.read_ms();
    let reading_ms = waiting_ms + unread_tokens * load.read_ms();
    let requests = load.requests(now);
    let is_near = &*entry.failure_domain == question.failure_domain;
    let crossing_ms = if is_near { 0.0 } else { settings.crossing_ms };
    let occupancy = f64::from(requests) / f64::from(entry.slots.max(1));
    let memory = total.memory_tokens + u64::from(profile.memory_tokens());
    let room = question.engine_memory.map(|tokens| tokens as f64 * settings.memory_share);
    let most_share =
        if question.engine_memory.is_some() { settings.slot_share } else { settings.queue_share };
    let is_full = f64::from(requests) >= f64::from(entry.slots) * most_share
        || room.is_some_and(|room| memory as f64 > room && total.requests > 0);
    let overhead_ms = settings.overhead_ms * (1.0 + occupancy) + crossing_ms;
    let ms = overhead_ms + reading_ms;
    Expectation { ms, overhead_ms, unread_tokens, waiting_ms, occupancy, is_full }
}
