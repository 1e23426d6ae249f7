//! What is under way at each target: this router's own requests, those that
//! peers said they sent, and what the target last reported.

use std::collections::BTreeMap;

use base::{Millis, Name};
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::choice::CallShape;
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

/// One request under way.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    /// Prompt tokens that the target probably has to read.
    unread_tokens: u32,
    /// Tokens of memory that it takes at its end.
    memory_tokens: u32,
    sent_at: Millis,
    /// Tokens ahead of it when it was sent, with its own.
    ahead_tokens: u64,
    answering: bool,
}

/// What a target says of its load in its answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
}

/// What one router has under way at one target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerLoad {
    pub requests: u32,
    /// Prompt tokens still to be read.
    pub unread_tokens: u64,
    pub memory_tokens: u64,
}

impl PeerLoad {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.unread_tokens += other.unread_tokens;
        self.memory_tokens += other.memory_tokens;
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
    outstanding: SlotMap<OutstandingKey, Outstanding>,
    peers: BTreeMap<Name, (PeerLoad, Millis)>,
    report: Option<(LoadReport, Millis)>,
    read_ms: f64,
    /// Time after which what a peer said no longer counts, in milliseconds.
    peer_age_ms: Millis,
}

impl TargetLoad {
    fn new(entry: &TargetEntry, peer_age_ms: Millis) -> Self {
        Self {
            id: Name::clone(&entry.id),
            incarnation: entry.incarnation,
            health: TargetHealth::default(),
            outstanding: SlotMap::with_key(),
            peers: BTreeMap::new(),
            report: None,
            read_ms: FIRST_READ_MS,
            peer_age_ms,
        }
    }

    /// This router's own part.
    pub fn own(&self) -> PeerLoad {
        let mut sum = PeerLoad::default();
        for request in self.outstanding.values() {
            sum.requests += 1;
            sum.memory_tokens += u64::from(request.memory_tokens);
            if !request.answering {
                sum.unread_tokens += u64::from(request.unread_tokens);
            }
        }
        sum
    }

    /// The parts of all routers that were heard of lately.
    pub fn total(&self, now: Millis) -> PeerLoad {
        let mut sum = self.own();
        for (load, heard_at) in self.peers.values() {
            if now.saturating_sub(*heard_at) <= self.peer_age_ms {
                sum.add(load);
            }
        }
        sum
    }

    /// The target's newest report, if it is not too old.
    pub fn report(&self, now: Millis) -> Option<LoadReport> {
        let (report, at) = self.report?;
        (now.saturating_sub(at) <= REPORT_AGE_MS).then_some(report)
    }

    /// Requests at the target: what is known to be sent, or what it reports.
    pub fn requests(&self, now: Millis) -> u32 {
        let reported = self.report(now).map_or(0, |report| report.running + report.waiting);
        self.total(now).requests.max(reported)
    }

    /// Measured time to read one prompt token, in milliseconds.
    pub fn read_ms(&self) -> f64 {
        self.read_ms
    }
}

/// The loads of all targets.
#[derive(Debug, Default)]
pub struct LoadBook {
    targets: SlotMap<TargetKey, TargetLoad>,
    keys: BTreeMap<Name, TargetKey>,
    pub health: HealthSettings,
    peer_age_ms: Millis,
}

impl LoadBook {
    /// Sets the time after which what a peer said no longer counts, in
    /// milliseconds: a few of its messages.
    pub fn set_peer_age(&mut self, age: Millis) {
        self.peer_age_ms = age;
        for load in self.targets.values_mut() {
            load.peer_age_ms = age;
        }
    }

    /// The record of a target; a new incarnation begins with an empty one.
    pub fn key(&mut self, entry: &TargetEntry) -> TargetKey {
        if let Some(key) = self.keys.get(&entry.id).copied() {
            if self.targets.get(key).is_some_and(|load| load.incarnation == entry.incarnation) {
                return key;
            }
            self.targets.remove(key);
        }
        let key = self.targets.insert(TargetLoad::new(entry, self.peer_age_ms));
        self.keys.insert(Name::clone(&entry.id), key);
        key
    }

    pub fn get(&self, key: TargetKey) -> Option<&TargetLoad> {
        self.targets.get(key)
    }

    /// Forgets targets that are no longer published and have nothing under way.
    pub fn retain(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.targets.retain(|_, load| is_known(&load.id) || !load.outstanding.is_empty());
        let targets = &self.targets;
        self.keys.retain(|_, key| targets.contains_key(*key));
    }

    /// A request is sent to a target.
    pub fn begin(
        &mut self,
        key: TargetKey,
        shape: &CallShape,
        unread_tokens: u32,
        now: Millis,
    ) -> Option<OutstandingKey> {
        let load = self.targets.get_mut(key)?;
        load.health.note_sent(now);
        let ahead_tokens = load.total(now).unread_tokens + u64::from(unread_tokens);
        Some(load.outstanding.insert(Outstanding {
            unread_tokens,
            memory_tokens: shape.memory_tokens(),
            sent_at: now,
            ahead_tokens,
            answering: false,
        }))
    }

    /// The first bytes of an answer came.
    pub fn first_byte(&mut self, key: TargetKey, request: OutstandingKey, now: Millis) {
        let Some(load) = self.targets.get_mut(key) else { return };
        let Some(request) = load.outstanding.get_mut(request) else { return };
        request.answering = true;
        if request.ahead_tokens > 0 {
            let took = now.saturating_sub(request.sent_at) as f64;
            let sample =
                (took / request.ahead_tokens as f64).clamp(READ_MS_RANGE.0, READ_MS_RANGE.1);
            // Long waits tell the reading time; short ones are mostly overhead.
            let weight = NEWEST_WEIGHT * (request.ahead_tokens as f64 / 10_000.0).min(1.0);
            load.read_ms += (sample - load.read_ms) * weight;
        }
    }

    /// A request ended. Without an outcome nothing is said of the target, for
    /// instance when the caller left.
    pub fn end(
        &mut self,
        key: TargetKey,
        request: OutstandingKey,
        outcome: Option<Outcome>,
        now: Millis,
    ) -> bool {
        let health = self.health;
        let Some(load) = self.targets.get_mut(key) else { return false };
        load.outstanding.remove(request);
        outcome.is_some_and(|outcome| load.health.note(outcome, &health, now))
    }

    /// A target reported its load.
    pub fn reported(&mut self, key: TargetKey, report: LoadReport, now: Millis) {
        if let Some(load) = self.targets.get_mut(key) {
            load.report = Some((report, now));
        }
    }

    /// What a peer has under way, replacing what it said before.
    pub fn peer_said(&mut self, peer: &Name, loads: &[(Name, PeerLoad)], now: Millis) {
        for load in self.targets.values_mut() {
            load.peers.remove(peer);
        }
        for (id, said) in loads {
            let Some(key) = self.keys.get(id) else { continue };
            if let Some(load) = self.targets.get_mut(*key) {
                load.peers.insert(Name::clone(peer), (*said, now));
            }
        }
    }

    /// This router's own part at every target that has any.
    pub fn own_parts(&self) -> Vec<(Name, PeerLoad)> {
        let loads = self.targets.values().map(|load| (Name::clone(&load.id), load.own()));
        loads.filter(|(_, load)| !load.is_empty()).collect()
    }
}
