//! Load of each target: this router's requests in flight, those that its peers
//! announce, and the last report of the target itself.
//!
//! There are many routers and targets and a high rate of requests. Sums are
//! therefore updated with each request and message, so that reading the load of a
//! target does not iterate over all peers.

use std::collections::HashMap;

use base::{Millis, Name, stable_hash};
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::backlog::PrefillBacklog;
use crate::entry::TargetEntry;
use crate::health::{HealthSettings, RequestOutcome, TargetHealth};
use crate::selection::RequestProfile;

/// Age in milliseconds after which a target's own report no longer counts.
const MAX_REPORT_AGE_MS: Millis = 1_000;
/// Initial estimate of the time to process one prompt token, in milliseconds: a
/// common engine processes about 100 tokens in a millisecond.
const INITIAL_TOKEN_MS: f64 = 0.01;
/// Weight of the newest sample in the moving average of the token time.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Range of the token time in milliseconds; keeps a single outlier from
/// excluding a target.
const TOKEN_MS_RANGE: (f64, f64) = (0.002, 0.1);

/// Interval of announcements in milliseconds up to which their sums tell the load of a single
/// target: about as long as a request takes.
const MAX_TARGET_INTERVAL_MS: Millis = 600;
/// Interval of announcements in milliseconds up to which their sums tell the load of a whole
/// service, which changes more slowly.
const MAX_SERVICE_INTERVAL_MS: Millis = 1_000;

new_key_type! {
    /// Identifies one incarnation of a target in a [`LoadTracker`].
    pub struct TargetKey;
    /// Identifies one request in flight at a target.
    pub struct OutstandingKey;
}

/// Low 32 bits of the hash of a target's id. Identifies the target in messages
/// between routers, which have to fit into a datagram. Among 3,200 targets, two
/// have the same hash with a probability of 0.1 %; their loads are then confused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TargetIdHash(u32);

impl TargetIdHash {
    pub fn new(id: &str) -> Self {
        Self(stable_hash(&[id]) as u32)
    }

    /// Returns the index of the part that the target belongs to, below `parts`.
    pub fn part(self, parts: u32) -> u32 {
        self.0 % parts.max(1)
    }
}

/// One request in flight.
#[derive(Clone, Copy, Debug)]
struct OutstandingRequest {
    /// Prompt tokens that the target is expected to process, as they are not cached.
    unread_tokens: u32,
    /// Memory in tokens that the request occupies when it completes.
    memory_tokens: u32,
    sent_at: Millis,
    /// Prompt tokens that the target had yet to process when the request was
    /// sent, including those of the request.
    backlog_tokens: f64,
    /// Expected time to the first byte without prompt processing, in
    /// milliseconds.
    overhead_ms: f64,
    has_first_byte: bool,
}

/// Load that a target reports with its responses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
    /// How long work takes on the target's machine, 100 as usual; `None` if it does not report it.
    pub slow_percent: Option<u32>,
}

/// Sums over requests in flight at one target, of one or more routers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InFlightLoad {
    pub requests: u32,
    /// Prompt tokens of requests without a response so far.
    pub unread_tokens: u64,
    pub memory_tokens: u64,
    /// Prompt tokens to process that were sent to this incarnation of the target so
    /// far.
    pub sent_tokens: u64,
}

impl InFlightLoad {
    // Wraps around, so that subtracting the values of a forged datagram later
    // restores the sum.
    pub(crate) fn add(&mut self, other: &Self) {
        self.requests = self.requests.wrapping_add(other.requests);
        self.unread_tokens = self.unread_tokens.wrapping_add(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.wrapping_add(other.memory_tokens);
        self.sent_tokens = self.sent_tokens.wrapping_add(other.sent_tokens);
    }

    fn subtract(&mut self, other: &Self) {
        self.requests = self.requests.wrapping_sub(other.requests);
        self.unread_tokens = self.unread_tokens.wrapping_sub(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.wrapping_sub(other.memory_tokens);
        self.sent_tokens = self.sent_tokens.wrapping_sub(other.sent_tokens);
    }

    pub fn is_empty(&self) -> bool {
        self.requests == 0
    }
}

/// Sums over requests in flight of one router at all targets.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InFlightTotals {
    pub requests: u32,
    /// Memory that the requests occupy when they complete.
    pub memory_tokens: u64,
}

impl InFlightTotals {
    /// Returns the sum of `loads`.
    pub fn of<'a>(loads: impl Iterator<Item = &'a InFlightLoad>) -> Self {
        let mut sum = InFlightLoad::default();
        loads.for_each(|load| sum.add(load));
        Self { requests: sum.requests, memory_tokens: sum.memory_tokens }
    }

    /// Returns the load that `listed` leaves out.
    fn unlisted(self, listed: &[(TargetKey, InFlightLoad)]) -> InFlightLoad {
        let mut sum = InFlightLoad::default();
        for (_, load) in listed {
            sum.add(load);
        }
        InFlightLoad {
            requests: self.requests.saturating_sub(sum.requests),
            memory_tokens: self.memory_tokens.saturating_sub(sum.memory_tokens),
            ..InFlightLoad::default()
        }
    }
}

/// Load and health of one incarnation of a target.
#[derive(Debug)]
pub struct TargetLoad {
    pub id: Name,
    pub incarnation: u64,
    pub health: TargetHealth,
    /// Hash of the target's id for rendezvous hashing, the same on all routers.
    pub(crate) hash: u64,
    id_hash: TargetIdHash,
    outstanding: SlotMap<OutstandingKey, OutstandingRequest>,
    /// Sum over `outstanding`.
    own: InFlightLoad,
    /// Sum over the newest messages of the peers.
    peers: InFlightLoad,
    report: Option<(LoadReport, Millis)>,
    backlog: PrefillBacklog,
    /// Moving average of the time to process one prompt token, in milliseconds.
    token_ms: f64,
}

impl TargetLoad {
    fn new(entry: &TargetEntry) -> Self {
        Self {
            id: Name::clone(&entry.id),
            incarnation: entry.incarnation,
            health: TargetHealth::default(),
            hash: stable_hash(&[&entry.id]),
            id_hash: TargetIdHash::new(&entry.id),
            outstanding: SlotMap::with_key(),
            own: InFlightLoad::default(),
            peers: InFlightLoad::default(),
            report: None,
            backlog: PrefillBacklog::default(),
            token_ms: INITIAL_TOKEN_MS,
        }
    }

    /// Returns the load of this router's requests.
    pub fn own(&self) -> InFlightLoad {
        self.own
    }

    /// Returns the load of the requests of this router and its live peers.
    pub fn total(&self) -> InFlightLoad {
        let mut sum = self.own;
        sum.add(&self.peers);
        sum
    }

    /// Returns the newest report of the target, unless it is too old.
    pub fn report(&self, now: Millis) -> Option<LoadReport> {
        self.report_age(now)?;
        self.report.map(|(report, _)| report)
    }

    /// Returns the age in milliseconds of the report that [`Self::report`] returns.
    pub fn report_age(&self, now: Millis) -> Option<Millis> {
        let (_, received_at) = self.report?;
        Some(now.saturating_sub(received_at)).filter(|age| *age <= MAX_REPORT_AGE_MS)
    }

    /// Returns the number of requests at the target: those that routers sent or
    /// those that it reports, whichever is greater.
    pub fn requests(&self, now: Millis) -> u32 {
        let reported =
            self.report(now).map_or(0, |report| report.running.saturating_add(report.waiting));
        self.total().requests.max(reported)
    }

    /// Returns the estimated prompt tokens that the target has yet to process, at
    /// most those of requests without a response.
    pub fn unread_tokens(&self, now: Millis) -> f64 {
        let unanswered = self.total().unread_tokens;
        let waiting = self.outstanding.values().filter(|request| !request.has_first_byte);
        let oldest_sent_at = waiting.map(|request| request.sent_at).min();
        self.backlog.remaining(self.token_ms, oldest_sent_at, now).min(unanswered as f64)
    }

    /// Returns the average time to process one prompt token, in milliseconds.
    pub fn token_ms(&self) -> f64 {
        self.token_ms
    }
}

/// Newest message of one peer.
#[derive(Debug)]
struct PeerMessage {
    loads: Vec<(TargetKey, InFlightLoad)>,
    /// Load at targets that the message left out.
    unlisted: InFlightLoad,
    received_at: Millis,
}

/// Tracks load and health of all targets.
#[derive(Debug, Default)]
pub struct LoadTracker {
    targets: SlotMap<TargetKey, TargetLoad>,
    keys_by_id: HashMap<Name, TargetKey>,
    keys_by_hash: HashMap<TargetIdHash, TargetKey>,
    peers: HashMap<Name, PeerMessage>,
    /// Sum of the unlisted loads of the peers.
    unlisted: InFlightLoad,
    /// Time in milliseconds between two messages of a peer.
    announcement_ms: Millis,
    pub health_settings: HealthSettings,
}

impl LoadTracker {
    /// Sets the time in milliseconds between two messages of a peer.
    pub fn set_announcement_interval(&mut self, interval: Millis) {
        self.announcement_ms = interval;
    }

    /// Whether peers announce their loads so seldom that those of single targets are out of
    /// date.
    pub fn has_stale_targets(&self) -> bool {
        self.announcement_ms > MAX_TARGET_INTERVAL_MS
    }

    /// Whether peers announce their loads so seldom that the load of a service is out of date.
    pub fn has_stale_services(&self) -> bool {
        self.announcement_ms > MAX_SERVICE_INTERVAL_MS
    }

    /// Drops the loads of peers whose newest message is more than `max_age`
    /// milliseconds old, a time in which a live peer sends several.
    pub fn expire_peers(&mut self, max_age: Millis, now: Millis) {
        let expired: Vec<Name> = self
            .peers
            .iter()
            .filter(|(_, message)| now.saturating_sub(message.received_at) > max_age)
            .map(|(peer, _)| Name::clone(peer))
            .collect();
        for peer in expired {
            self.remove_peer(&peer);
        }
    }

    /// Returns the key of a target and adds the target if it is not known. A new
    /// incarnation gets a new key and an empty load.
    pub fn key_for(&mut self, entry: &TargetEntry) -> TargetKey {
        if let Some(key) = self.keys_by_id.get(&entry.id).copied() {
            if self.targets.get(key).is_some_and(|load| load.incarnation == entry.incarnation) {
                return key;
            }
            self.targets.remove(key);
        }
        let key = self.targets.insert(TargetLoad::new(entry));
        self.keys_by_id.insert(Name::clone(&entry.id), key);
        self.keys_by_hash.insert(TargetIdHash::new(&entry.id), key);
        key
    }

    pub fn get(&self, key: TargetKey) -> Option<&TargetLoad> {
        self.targets.get(key)
    }

    /// Removes targets that are not known and have no requests in flight.
    pub fn retain_targets(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.targets.retain(|_, load| is_known(&load.id) || !load.outstanding.is_empty());
        let targets = &self.targets;
        self.keys_by_id.retain(|_, key| targets.contains_key(*key));
        self.keys_by_hash.retain(|_, key| targets.contains_key(*key));
    }

    /// Records that a request is sent to a target. Returns `None` if the key is no
    /// longer valid.
    pub fn start_request(
        &mut self,
        key: TargetKey,
        profile: &RequestProfile,
        unread_tokens: u32,
        overhead_ms: f64,
        now: Millis,
    ) -> Option<OutstandingKey> {
        let load = self.targets.get_mut(key)?;
        load.health.record_sent(now);
        let backlog_tokens = load.unread_tokens(now) + f64::from(unread_tokens);
        load.backlog.add(u64::from(unread_tokens), now, load.token_ms, now);
        let memory_tokens = profile.memory_tokens();
        load.own.add(&InFlightLoad {
            requests: 1,
            unread_tokens: u64::from(unread_tokens),
            memory_tokens: u64::from(memory_tokens),
            sent_tokens: u64::from(unread_tokens),
        });
        Some(load.outstanding.insert(OutstandingRequest {
            unread_tokens,
            memory_tokens,
            sent_at: now,
            backlog_tokens,
            overhead_ms,
            has_first_byte: false,
        }))
    }

    /// Records the first byte of a response.
    pub fn record_first_byte(&mut self, key: TargetKey, request: OutstandingKey, now: Millis) {
        let Some(load) = self.targets.get_mut(key) else { return };
        let Some(request) = load.outstanding.get_mut(request) else { return };
        if std::mem::replace(&mut request.has_first_byte, true) {
            return;
        }
        load.own.unread_tokens -= u64::from(request.unread_tokens);
        load.backlog.remove_until(request.sent_at, now);
        if request.backlog_tokens > 0.0 {
            let processing_ms = now.saturating_sub(request.sent_at) as f64 - request.overhead_ms;
            let sample =
                (processing_ms / request.backlog_tokens).clamp(TOKEN_MS_RANGE.0, TOKEN_MS_RANGE.1);
            // A long backlog shows the token time; a short wait is mostly overhead.
            let weight = SAMPLE_WEIGHT * (request.backlog_tokens / 10_000.0).min(1.0);
            load.token_ms += (sample - load.token_ms) * weight;
        }
    }

    /// Records the end of a request; returns whether its outcome ejects the target.
    /// A request without an outcome, such as one that its caller cancelled, does
    /// not affect the health of the target.
    pub fn finish_request(
        &mut self,
        key: TargetKey,
        request: OutstandingKey,
        outcome: Option<RequestOutcome>,
        now: Millis,
    ) -> bool {
        let health_settings = self.health_settings;
        let Some(load) = self.targets.get_mut(key) else { return false };
        if let Some(request) = load.outstanding.remove(request) {
            let unread_tokens =
                if request.has_first_byte { 0 } else { u64::from(request.unread_tokens) };
            let was_attempted = outcome != Some(RequestOutcome::NotAttempted);
            if !was_attempted {
                load.backlog.remove(unread_tokens, request.sent_at);
            }
            load.own.subtract(&InFlightLoad {
                requests: 1,
                unread_tokens,
                memory_tokens: u64::from(request.memory_tokens),
                sent_tokens: if was_attempted { 0 } else { unread_tokens },
            });
        }
        outcome.is_some_and(|outcome| load.health.record_outcome(outcome, &health_settings, now))
    }

    /// Records the load that a target reports.
    pub fn record_report(&mut self, key: TargetKey, report: LoadReport, now: Millis) {
        if let Some(load) = self.targets.get_mut(key) {
            load.report = Some((report, now));
        }
    }

    /// Replaces the loads that a peer announced before.
    pub fn update_peer(
        &mut self,
        peer: &Name,
        loads: &[(TargetIdHash, InFlightLoad)],
        now: Millis,
    ) {
        let (previous, sent_at) = match self.remove_peer(peer) {
            // New requests were sent at unknown times between the two messages;
            // the middle is assumed.
            Some(message) => (message.loads, now - now.saturating_sub(message.received_at) / 2),
            None => (Vec::new(), now),
        };
        let mut known_loads = Vec::with_capacity(loads.len());
        for (id_hash, announced) in loads {
            let Some(key) = self.keys_by_hash.get(id_hash) else { continue };
            let Some(load) = self.targets.get_mut(*key) else { continue };
            load.peers.add(announced);
            known_loads.push((*key, *announced));
            let earlier = previous.iter().find(|(other_key, _)| other_key == key);
            let newly_sent = match earlier {
                Some((_, earlier)) if earlier.sent_tokens <= announced.sent_tokens => {
                    announced.sent_tokens - earlier.sent_tokens
                }
                // The load of the peer at this target was not known before, or the
                // counter of the peer restarted.
                _ => announced.unread_tokens,
            };
            load.backlog.add(newly_sent, sent_at, load.token_ms, now);
        }
        let unlisted = InFlightLoad::default();
        let message = PeerMessage { loads: known_loads, unlisted, received_at: now };
        self.peers.insert(Name::clone(peer), message);
    }

    /// Records a peer's load at all targets, of which its last message may have
    /// listed only some.
    pub fn update_peer_totals(&mut self, peer: &Name, totals: InFlightTotals) {
        let Some(message) = self.peers.get_mut(peer) else { return };
        self.unlisted.subtract(&message.unlisted);
        message.unlisted = totals.unlisted(&message.loads);
        self.unlisted.add(&message.unlisted);
    }

    /// Drops the loads of a peer that are announced as part of its failure domain's.
    pub fn forget_peer(&mut self, peer: &Name) {
        self.remove_peer(peer);
    }

    /// Returns the load that this router and `peers` put on each target together.
    pub fn joint_loads(&self, peers: &[Name]) -> Vec<(TargetIdHash, InFlightLoad)> {
        let mut sums: HashMap<TargetIdHash, InFlightLoad> = self.own_loads().into_iter().collect();
        let messages = peers.iter().filter_map(|peer| self.peers.get(peer));
        for (key, announced) in messages.flat_map(|message| &message.loads) {
            if let Some(load) = self.targets.get(*key) {
                sums.entry(load.id_hash).or_default().add(announced);
            }
        }
        sums.into_iter().collect()
    }

    /// Subtracts the loads of a peer from the sums and returns its last message.
    fn remove_peer(&mut self, peer: &Name) -> Option<PeerMessage> {
        let message = self.peers.remove(peer)?;
        self.unlisted.subtract(&message.unlisted);
        for (key, announced) in &message.loads {
            if let Some(load) = self.targets.get_mut(*key) {
                load.peers.subtract(announced);
            }
        }
        Some(message)
    }

    /// Returns the load of the peers at targets that their messages left out.
    pub(crate) fn unlisted(&self) -> InFlightLoad {
        self.unlisted
    }

    /// Returns this router's load at all targets together.
    pub fn own_totals(&self) -> InFlightTotals {
        let mut sum = InFlightLoad::default();
        for load in self.targets.values() {
            sum.add(&load.own);
        }
        InFlightTotals { requests: sum.requests, memory_tokens: sum.memory_tokens }
    }

    /// Returns this router's load at every target where it has requests in flight.
    pub fn own_loads(&self) -> Vec<(TargetIdHash, InFlightLoad)> {
        let loads = self.targets.values().filter(|load| !load.own.is_empty());
        loads.map(|load| (load.id_hash, load.own)).collect()
    }
}
