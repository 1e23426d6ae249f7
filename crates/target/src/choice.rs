//! Which target a request goes to.
//!
//! Load pattern: requests share long prompt parts, many more parts than one
//! engine can keep, and every router chooses by late knowledge. Each part has
//! home targets by rendezvous hashing, so routers agree without asking; a
//! request leaves its home when reading the part anew elsewhere is expected to
//! take less time than waiting there.

use base::{Millis, Name, stable_hash};

use crate::entry::TargetEntry;
use crate::load::{LoadBook, TargetKey};

/// One part of a prompt, in order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u32,
}

/// What is known of a request before it is sent.
#[derive(Clone, Debug, Default)]
pub struct CallShape {
    pub prompt_tokens: u32,
    /// Expected number of generated tokens.
    pub output_tokens: u32,
    /// The prompt's parts; the last one is the request's own.
    pub parts: Vec<PromptPart>,
}

impl CallShape {
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
#[derive(Clone, Copy, Debug)]
pub struct ChoiceSettings {
    /// Time to the first event beyond reading, in milliseconds: connection,
    /// scheduling and the first token.
    pub overhead_ms: f64,
    /// Share of an engine's memory that requests under way may take, so that
    /// kept prompt parts have room and nothing is preempted.
    pub memory_share: f64,
    /// Share of an engine's slots that may be taken: reports are late.
    pub slot_share: f64,
    /// Shared tokens below which requests are placed by load alone.
    pub least_home_tokens: u32,
    /// Probability that the first, second and further homes keep a shared part.
    pub kept_at: [f64; 2],
    /// Cost of crossing failure domains, in milliseconds.
    pub crossing_ms: f64,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        Self {
            overhead_ms: 60.0,
            memory_share: 0.8,
            slot_share: 1.0,
            least_home_tokens: 1_000,
            kept_at: [0.9, 0.4],
            crossing_ms: 3.0,
        }
    }
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Placement {
    pub key: TargetKey,
    pub entry: TargetEntry,
    /// Prompt tokens that the target probably has to read.
    pub unread_tokens: u32,
    /// Expected time to the first byte of the answer, in milliseconds.
    pub expected_ms: f64,
}

/// Why a request goes nowhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusedChoice {
    /// No target is published, or all were tried or set aside.
    NoTarget,
    /// All targets are full; a place is likely after this time.
    Full { wait_ms: Millis },
}

/// Chooses a target for a request of a service.
///
/// `engine_memory` is an engine's memory in tokens; none for a plain service.
/// `tried` are targets that this request was sent to before.
///
/// # Errors
/// No target can take the request now.
pub fn choose<'a>(
    book: &mut LoadBook,
    candidates: impl Iterator<Item = &'a TargetEntry>,
    shape: &CallShape,
    engine_memory: Option<u64>,
    tried: &[Name],
    near: &str,
    settings: &ChoiceSettings,
    now: Millis,
) -> Result<Placement, RefusedChoice> {
    let mut usable: Vec<(TargetKey, &TargetEntry)> = Vec::new();
    let mut set_aside: Vec<(TargetKey, &TargetEntry)> = Vec::new();
    for entry in candidates.filter(|entry| !tried.contains(&entry.id)) {
        let key = book.key(entry);
        let Some(load) = book.get(key) else { continue };
        let admitted = load.health.admits(&book.health, now);
        if admitted { usable.push((key, entry)) } else { set_aside.push((key, entry)) }
    }
    if usable.is_empty() {
        // With every target set aside the fault is more likely elsewhere.
        usable = set_aside;
    }
    if usable.is_empty() {
        return Err(RefusedChoice::NoTarget);
    }
    rank_by_home(&mut usable, shape, settings);
    let mut best: Option<Placement> = None;
    let mut least_wait_ms = f64::MAX;
    for (rank, (key, entry)) in usable.iter().enumerate() {
        let Some(load) = book.get(*key) else { continue };
        let total = load.total(now);
        let kept = settings.kept_at.get(rank).copied().unwrap_or(0.0);
        let has_home = shape.shared_tokens() >= settings.least_home_tokens;
        let kept_tokens = if has_home { kept * f64::from(shape.shared_tokens()) } else { 0.0 };
        let unread_tokens = (f64::from(shape.prompt_tokens) - kept_tokens).max(0.0);
        let reading_ms = (total.unread_tokens as f64 + unread_tokens) * load.read_ms();
        let requests = load.requests(now);
        let crossing_ms = if &*entry.failure_domain == near { 0.0 } else { settings.crossing_ms };
        let occupancy = f64::from(requests) / f64::from(entry.slots.max(1));
        let memory = total.memory_tokens + u64::from(shape.memory_tokens());
        let room = engine_memory.map(|tokens| tokens as f64 * settings.memory_share);
        let is_full = f64::from(requests) >= f64::from(entry.slots) * settings.slot_share
            || room.is_some_and(|room| memory as f64 > room && total.requests > 0);
        if is_full {
            least_wait_ms = least_wait_ms.min(reading_ms + settings.overhead_ms);
            continue;
        }
        let expected_ms = settings.overhead_ms * (1.0 + occupancy) + reading_ms + crossing_ms;
        if best.as_ref().is_none_or(|best| expected_ms < best.expected_ms) {
            let unread_tokens = unread_tokens as u32;
            best =
                Some(Placement { key: *key, entry: (*entry).clone(), unread_tokens, expected_ms });
        }
    }
    best.ok_or(RefusedChoice::Full { wait_ms: least_wait_ms.min(1e6) as Millis })
}

/// Orders targets by rendezvous hashing of the request's longest shared part.
fn rank_by_home(
    usable: &mut [(TargetKey, &TargetEntry)],
    shape: &CallShape,
    settings: &ChoiceSettings,
) {
    if shape.shared_tokens() < settings.least_home_tokens {
        return;
    }
    let Some(part) = shape.home_part() else { return };
    let part = format!("{part:x}");
    usable.sort_by_cached_key(|(_, entry)| std::cmp::Reverse(stable_hash(&[&part, &entry.id])));
}
