//! Compares the incremental sums per target with sums recomputed from all requests
//! and messages.

mod common;

use std::collections::{BTreeMap, HashMap};

use base::{Millis, Name};
use common::entry;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use target::{
    InFlightLoad, LoadTracker, OutstandingKey, RequestProfile, TargetEntry, TargetIdHash,
    TargetKey, TargetState,
};

const TARGETS: usize = 3;
const PEERS: usize = 3;
/// Age in milliseconds after which the message of a peer no longer counts.
const PEER_MAX_AGE: Millis = 1_000;

#[derive(Clone, Debug)]
enum Step {
    Begin { target: usize, unread: u32, memory: u32 },
    FirstByte { request: usize },
    End { request: usize },
    PeerMessage { peer: usize, loads: Vec<(usize, u32, u64)> },
    Restart { target: usize },
    Wait { ms: Millis },
}

fn step() -> impl Strategy<Value = Step> {
    let loads = prop::collection::vec((0..TARGETS, 1u32..5, 0u64..9_000), 0..TARGETS);
    prop_oneof![
        4 => (0..TARGETS, 0u32..9_000, 0u32..9_000)
            .prop_map(|(target, unread, memory)| Step::Begin { target, unread, memory }),
        2 => (0usize..64).prop_map(|request| Step::FirstByte { request }),
        3 => (0usize..64).prop_map(|request| Step::End { request }),
        3 => (0..PEERS, loads).prop_map(|(peer, loads)| Step::PeerMessage { peer, loads }),
        1 => (0..TARGETS).prop_map(|target| Step::Restart { target }),
        1 => (1u64..600).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// A request in flight, as the test knows it.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    target: usize,
    target_key: TargetKey,
    request_key: OutstandingKey,
    unread: u64,
    memory: u64,
    has_first_byte: bool,
}

/// Last message of a peer: load by key of the target at the time, and receive time.
type PeerState = (Vec<(TargetKey, InFlightLoad)>, Millis);

#[derive(Debug, Default)]
struct Oracle {
    sent: Vec<SentRequest>,
    /// Tokens sent to each incarnation of a target.
    sent_tokens: HashMap<TargetKey, u64>,
    peers: BTreeMap<usize, PeerState>,
}

impl Oracle {
    fn total(&self, key: TargetKey) -> InFlightLoad {
        let sent_tokens = self.sent_tokens.get(&key).copied().unwrap_or(0);
        let mut sum = InFlightLoad { sent_tokens, ..InFlightLoad::default() };
        for sent in self.sent.iter().filter(|sent| sent.target_key == key) {
            sum.requests += 1;
            sum.memory_tokens += sent.memory;
            sum.unread_tokens += if sent.has_first_byte { 0 } else { sent.unread };
        }
        for (loads, _) in self.peers.values() {
            for (_, load) in loads.iter().filter(|(target_key, _)| *target_key == key) {
                sum.requests += load.requests;
                sum.memory_tokens += load.memory_tokens;
                sum.unread_tokens += load.unread_tokens;
            }
        }
        sum
    }
}

fn serving(index: usize, incarnation: u64) -> TargetEntry {
    entry(&target_name(index), incarnation, TargetState::Serving)
}

fn target_name(index: usize) -> Name {
    format!("target-{index}").into()
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_267),
        ..Config::default()
    })]

    #[test]
    fn incremental_sums_equal_recomputed_sums(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut tracker = LoadTracker::default();
        let mut oracle = Oracle::default();
        let mut incarnations = [1u64; TARGETS];
        let mut now = 0;
        for step in steps {
            let keys: Vec<TargetKey> = (0..TARGETS)
                .map(|index| tracker.key_for(&serving(index, incarnations[index])))
                .collect();
            match step {
                Step::Begin { target, unread, memory } => {
                    let profile = RequestProfile { prompt_tokens: memory, ..RequestProfile::default() };
                    let request_key =
                        tracker.start_request(keys[target], &profile, unread, 0.0, now);
                    *oracle.sent_tokens.entry(keys[target]).or_default() += u64::from(unread);
                    oracle.sent.push(SentRequest {
                        target,
                        target_key: keys[target],
                        request_key: request_key.expect("the target is known"),
                        unread: u64::from(unread),
                        memory: u64::from(memory),
                        has_first_byte: false,
                    });
                }
                Step::FirstByte { request } if !oracle.sent.is_empty() => {
                    let at = request % oracle.sent.len();
                    let sent = &mut oracle.sent[at];
                    tracker.record_first_byte(sent.target_key, sent.request_key, now);
                    sent.has_first_byte = true;
                }
                Step::End { request } if !oracle.sent.is_empty() => {
                    let sent = oracle.sent.swap_remove(request % oracle.sent.len());
                    tracker.finish_request(sent.target_key, sent.request_key, None, now);
                }
                Step::FirstByte { .. } | Step::End { .. } => {}
                Step::PeerMessage { peer, loads } => {
                    let loads_by_target: BTreeMap<usize, InFlightLoad> = loads
                        .into_iter()
                        .map(|(target, requests, unread_tokens)| {
                            let memory_tokens = unread_tokens * 2;
                            (target, InFlightLoad { requests, unread_tokens, memory_tokens, sent_tokens: 0 })
                        })
                        .collect();
                    let announced: Vec<(TargetIdHash, InFlightLoad)> = loads_by_target
                        .iter()
                        .map(|(target, load)| (TargetIdHash::new(&target_name(*target)), *load))
                        .collect();
                    tracker.update_peer(&format!("peer-{peer}").into(), &announced, now);
                    let received = loads_by_target
                        .iter()
                        .map(|(target, load)| (keys[*target], *load))
                        .collect();
                    oracle.peers.insert(peer, (received, now));
                }
                Step::Restart { target } => {
                    incarnations[target] += 1;
                    oracle.sent.retain(|sent| sent.target != target);
                }
                Step::Wait { ms } => {
                    now += ms;
                    tracker.expire_peers(PEER_MAX_AGE, now);
                    oracle.peers.retain(|_, (_, received_at)| now - *received_at <= PEER_MAX_AGE);
                }
            }
            for (index, incarnation) in incarnations.iter().enumerate() {
                let key = tracker.key_for(&serving(index, *incarnation));
                let total = tracker.get(key).expect("the target is known").total();
                prop_assert_eq!(total, oracle.total(key));
            }
        }
    }
}

/// Guards against sums that stay wrong after a datagram of an unknown sender that
/// decodes but holds extreme values.
#[test]
fn overflowing_loads_of_a_peer_are_subtracted_again() {
    let mut tracker = LoadTracker::default();
    let key = tracker.key_for(&serving(0, 1));
    let profile = RequestProfile { prompt_tokens: 700, ..RequestProfile::default() };
    tracker.start_request(key, &profile, 500, 0.0, 0).expect("the target is known");
    let before = tracker.get(key).expect("the target is known").total();
    let extreme = InFlightLoad {
        requests: u32::MAX,
        unread_tokens: u64::MAX,
        memory_tokens: u64::MAX,
        sent_tokens: u64::MAX,
    };
    let id_hash = TargetIdHash::new(&target_name(0));
    tracker.update_peer(&"stranger".into(), &[(id_hash, extreme)], 0);
    tracker.expire_peers(PEER_MAX_AGE, PEER_MAX_AGE + 1);
    assert_eq!(tracker.get(key).expect("the target is known").total(), before);
}
