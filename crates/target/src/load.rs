//! What is under way at each target: this router's own requests, those that
//! peers said they sent, and what the target last reported.
//!
//! Load pattern: many routers, many targets and a flood of requests to place.
//! Sums are kept as requests and messages come, so that a look at a target does
//! not walk what every router said.

use std::collections::HashMap;

use base::{Millis, Name, stable_hash};
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::backlog::ReadBacklog;
use crate::choice::RequestProfile;
use crate::entry::TargetEntry;
use crate::health::{HealthSettings, Outcome, TargetHealth};

/// Time after which a target's own report no longer counts, in milliseconds.
const REPORT_AGE_MS: Millis = 1_000;
/// Time to read a prompt token before any was measured, in milliseconds: a
/// common engine reads about 100 tokens in a millisecond.
const FIRST_READ_MS: f64 = 0.01;
/// Weight of the newest measurement of the reading time.
const NEWEST_WEIGHT: f64 = 0.05;
/// Bounds of the reading time, so that one odd answer does not shut a target
/// out, in milliseconds for each token.
const READ_MS_RANGE: (f64, f64) = (0.002, 0.1);

new_key_type! {
    /// A target that this router has met.
    pub struct TargetKey;
    /// One request under way at a target.
    pub struct OutstandingKey;
}

/// Stands for a target in messages between routers, which have to fit a
/// datagram: the low bits of the hash of its name. Of 3,200 targets two have the
/// same code with a probability of 0.1 %; their loads would be mixed up.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TargetIdHash(u32);

impl TargetIdHash {
    pub fn new(id: &str) -> Self {
        Self(stable_hash(&[id]) as u32)
    }
}

/// One request under way.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    /// Prompt tokens that the target probably has to read.
    unread_tokens: u32,
    /// Tokens of memory that it takes at its end.
    memory_tokens: u32,
    sent_at: Millis,
    /// Tokens ahead of it when it was sent, with its own.
    ahead_tokens: f64,
    /// Expected time to its first byte beyond reading, in milliseconds.
    overhead_ms: f64,
    answering: bool,
}

/// What a target says of its load in its answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
}

/// What routers have under way at one target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InFlightLoad {
    pub requests: u32,
    /// Prompt tokens of requests that are not answered yet.
    pub unread_tokens: u64,
    pub memory_tokens: u64,
    /// Prompt tokens to read that were sent to it since the router met it.
    pub sent_tokens: u64,
}

impl InFlightLoad {
    // Sums wrap around: what a stranger's datagram adds is taken off again.
    fn add(&mut self, other: &Self) {
        self.requests = self.requests.wrapping_add(other.requests);
        self.unread_tokens = self.unread_tokens.wrapping_add(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.wrapping_add(other.memory_tokens);
        self.sent_tokens = self.sent_tokens.wrapping_add(other.sent_tokens);
    }

    fn take_off(&mut self, other: &Self) {
        self.requests = self.requests.wrapping_sub(other.requests);
        self.unread_tokens = self.unread_tokens.wrapping_sub(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.wrapping_sub(other.memory_tokens);
        self.sent_tokens = self.sent_tokens.wrapping_sub(other.sent_tokens);
    }

    pub fn is_empty(&self) -> bool {
        self.requests == 0
    }
}

/// Load and health of one incarnation of a target.
#[derive(Debug)]
pub struct TargetLoad {
    pub id: Name,
    pub incarnation: u64,
    pub health: TargetHealth,
    /// Stands for the target in hashes, the same on all routers.
    pub(crate) hash: u64,
    /// Stands for the target in messages between routers.
    code: TargetIdHash,
    outstanding: SlotMap<OutstandingKey, Outstanding>,
    /// Sum over `outstanding`.
    own: InFlightLoad,
    /// Sum over what the peers said.
    peers: InFlightLoad,
    report: Option<(LoadReport, Millis)>,
    backlog: ReadBacklog,
    read_ms: f64,
}

impl TargetLoad {
    fn new(entry: &TargetEntry) -> Self {
        Self {
            id: Name::clone(&entry.id),
            incarnation: entry.incarnation,
            health: TargetHealth::default(),
            hash: stable_hash(&[&entry.id]),
            code: TargetIdHash::new(&entry.id),
            outstanding: SlotMap::with_key(),
            own: InFlightLoad::default(),
            peers: InFlightLoad::default(),
            report: None,
            backlog: ReadBacklog::default(),
            read_ms: FIRST_READ_MS,
        }
    }

    /// This router's own part.
    pub fn own(&self) -> InFlightLoad {
        self.own
    }

    /// The parts of all routers that were heard of lately.
    pub fn total(&self) -> InFlightLoad {
        let mut sum = self.own;
        sum.add(&self.peers);
        sum
    }

    /// The target's newest report, if it is not too old.
    pub fn report(&self, now: Millis) -> Option<LoadReport> {
        let (report, at) = self.report?;
        (now.saturating_sub(at) <= REPORT_AGE_MS).then_some(report)
    }

    /// Requests at the target: what is known to be sent, or what it reports.
    pub fn requests(&self, now: Millis) -> u32 {
        let reported =
            self.report(now).map_or(0, |report| report.running.saturating_add(report.waiting));
        self.total().requests.max(reported)
    }

    /// Prompt tokens that it has still to read: no more than those of requests
    /// without an answer.
    pub fn unread_tokens(&self, now: Millis) -> f64 {
        let unanswered = self.total().unread_tokens;
        let waiting = self.outstanding.values().filter(|request| !request.answering);
        let oldest = waiting.map(|request| request.sent_at).min();
        self.backlog.left(self.read_ms, oldest, now).min(unanswered as f64)
    }

    /// Measured time to read one prompt token, in milliseconds.
    pub fn read_ms(&self) -> f64 {
        self.read_ms
    }
}

/// What one peer said last.
#[derive(Debug)]
struct PeerWord {
    loads: Vec<(TargetKey, InFlightLoad)>,
    heard_at: Millis,
}

/// The loads of all targets.
#[derive(Debug, Default)]
pub struct LoadTracker {
    targets: SlotMap<TargetKey, TargetLoad>,
    keys: HashMap<Name, TargetKey>,
    codes: HashMap<TargetIdHash, TargetKey>,
    peers: HashMap<Name, PeerWord>,
    pub health: HealthSettings,
}

impl LoadTracker {
    /// Drops what peers said more than `age` milliseconds ago: a few of their
    /// messages.
    pub fn expire_peers(&mut self, age: Millis, now: Millis) {
        let silent: Vec<Name> = self
            .peers
            .iter()
            .filter(|(_, word)| now.saturating_sub(word.heard_at) > age)
            .map(|(peer, _)| Name::clone(peer))
            .collect();
        for peer in silent {
            self.forget_peer(&peer);
        }
    }

    /// The record of a target; a new incarnation begins with an empty one.
    pub fn key_for(&mut self, entry: &TargetEntry) -> TargetKey {
        if let Some(key) = self.keys.get(&entry.id).copied() {
            if self.targets.get(key).is_some_and(|load| load.incarnation == entry.incarnation) {
                return key;
            }
            self.targets.remove(key);
        }
        let key = self.targets.insert(TargetLoad::new(entry));
        self.keys.insert(Name::clone(&entry.id), key);
        self.codes.insert(TargetIdHash::new(&entry.id), key);
        key
    }

    pub fn get(&self, key: TargetKey) -> Option<&TargetLoad> {
        self.targets.get(key)
    }

    /// Forgets targets that are no longer published and have nothing under way.
    pub fn retain_targets(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.targets.retain(|_, load| is_known(&load.id) || !load.outstanding.is_empty());
        let targets = &self.targets;
        self.keys.retain(|_, key| targets.contains_key(*key));
        self.codes.retain(|_, key| targets.contains_key(*key));
    }

    /// A request is sent to a target.
    pub fn start_request(
        &mut self,
        key: TargetKey,
        profile: &RequestProfile,
        unread_tokens: u32,
        overhead_ms: f64,
        now: Millis,
    ) -> Option<OutstandingKey> {
        let load = self.targets.get_mut(key)?;
        load.health.note_sent(now);
        let ahead_tokens = load.unread_tokens(now) + f64::from(unread_tokens);
        load.backlog.add(u64::from(unread_tokens), now, load.read_ms, now);
        let memory_tokens = profile.memory_tokens();
        load.own.add(&InFlightLoad {
            requests: 1,
            unread_tokens: u64::from(unread_tokens),
            memory_tokens: u64::from(memory_tokens),
            sent_tokens: u64::from(unread_tokens),
        });
        Some(load.outstanding.insert(Outstanding {
            unread_tokens,
            memory_tokens,
            sent_at: now,
            ahead_tokens,
            overhead_ms,
            answering: false,
        }))
    }

    /// The first bytes of an answer came.
    pub fn record_first_byte(&mut self, key: TargetKey, request: OutstandingKey, now: Millis) {
        let Some(load) = self.targets.get_mut(key) else { return };
        let Some(request) = load.outstanding.get_mut(request) else { return };
        if std::mem::replace(&mut request.answering, true) {
            return;
        }
        load.own.unread_tokens -= u64::from(request.unread_tokens);
        load.backlog.read_until(request.sent_at, now);
        if request.ahead_tokens > 0.0 {
            let took = now.saturating_sub(request.sent_at) as f64 - request.overhead_ms;
            let sample = (took / request.ahead_tokens).clamp(READ_MS_RANGE.0, READ_MS_RANGE.1);
            // Long waits tell the reading time; short ones are mostly overhead.
            let weight = NEWEST_WEIGHT * (request.ahead_tokens / 10_000.0).min(1.0);
            load.read_ms += (sample - load.read_ms) * weight;
        }
    }

    /// A request ended. Without an outcome nothing is said of the target, for
    /// instance when the caller left.
    pub fn finish_request(
        &mut self,
        key: TargetKey,
        request: OutstandingKey,
        outcome: Option<Outcome>,
        now: Millis,
    ) -> bool {
        let health = self.health;
        let Some(load) = self.targets.get_mut(key) else { return false };
        if let Some(ended) = load.outstanding.remove(request) {
            let unread_tokens = if ended.answering { 0 } else { u64::from(ended.unread_tokens) };
            load.own.take_off(&InFlightLoad {
                requests: 1,
                unread_tokens,
                memory_tokens: u64::from(ended.memory_tokens),
                sent_tokens: 0,
            });
        }
        outcome.is_some_and(|outcome| load.health.note(outcome, &health, now))
    }

    /// A target reported its load.
    pub fn record_report(&mut self, key: TargetKey, report: LoadReport, now: Millis) {
        if let Some(load) = self.targets.get_mut(key) {
            load.report = Some((report, now));
        }
    }

    /// What a peer has under way, replacing what it said before.
    pub fn update_peer(
        &mut self,
        peer: &Name,
        loads: &[(TargetIdHash, InFlightLoad)],
        now: Millis,
    ) {
        let (before, sent_at) = match self.forget_peer(peer) {
            // Sent at some time between the two messages.
            Some(word) => (word.loads, now - now.saturating_sub(word.heard_at) / 2),
            None => (Vec::new(), now),
        };
        let mut heard = Vec::with_capacity(loads.len());
        for (code, said) in loads {
            let Some(key) = self.codes.get(code) else { continue };
            let Some(load) = self.targets.get_mut(*key) else { continue };
            load.peers.add(said);
            heard.push((*key, *said));
            let earlier = before.iter().find(|(other, _)| other == key);
            let newly_sent = match earlier {
                Some((_, earlier)) if earlier.sent_tokens <= said.sent_tokens => {
                    said.sent_tokens - earlier.sent_tokens
                }
                // Nothing was known of what it has under way there.
                _ => said.unread_tokens,
            };
            load.backlog.add(newly_sent, sent_at, load.read_ms, now);
        }
        self.peers.insert(Name::clone(peer), PeerWord { loads: heard, heard_at: now });
    }

    /// Takes a peer's part off the sums; returns what it was.
    fn forget_peer(&mut self, peer: &Name) -> Option<PeerWord> {
        let word = self.peers.remove(peer)?;
        for (key, said) in &word.loads {
            if let Some(load) = self.targets.get_mut(*key) {
                load.peers.take_off(said);
            }
        }
        Some(word)
    }

    /// This router's own part at every target that has any.
    pub fn own_loads(&self) -> Vec<(TargetIdHash, InFlightLoad)> {
        let loads = self.targets.values().filter(|load| !load.own.is_empty());
        loads.map(|load| (load.code, load.own)).collect()
    }
}
