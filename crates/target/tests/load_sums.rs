//! The sums that are kept per target, against sums worked out anew from every
//! request and every message.

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
/// Age at which a peer's words no longer count, in milliseconds.
const PEER_AGE: Millis = 1_000;

#[derive(Clone, Debug)]
enum Step {
    Begin { target: usize, unread: u32, memory: u32 },
    FirstByte { request: usize },
    End { request: usize },
    PeerSaid { peer: usize, loads: Vec<(usize, u32, u64)> },
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
        3 => (0..PEERS, loads).prop_map(|(peer, loads)| Step::PeerSaid { peer, loads }),
        1 => (0..TARGETS).prop_map(|target| Step::Restart { target }),
        1 => (1u64..600).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// A request as the test remembers it.
#[derive(Clone, Copy, Debug)]
struct Sent {
    target: usize,
    book_key: TargetKey,
    key: OutstandingKey,
    unread: u64,
    memory: u64,
    is_answering: bool,
}

/// What a peer said last, by target and with the key that it was heard for.
type Word = (Vec<(TargetKey, InFlightLoad)>, Millis);

#[derive(Debug, Default)]
struct Oracle {
    sent: Vec<Sent>,
    /// Tokens sent to each target since the router met it.
    sent_tokens: HashMap<TargetKey, u64>,
    words: BTreeMap<usize, Word>,
}

impl Oracle {
    fn total(&self, key: TargetKey) -> InFlightLoad {
        let sent_tokens = self.sent_tokens.get(&key).copied().unwrap_or(0);
        let mut sum = InFlightLoad { sent_tokens, ..InFlightLoad::default() };
        for sent in self.sent.iter().filter(|sent| sent.book_key == key) {
            sum.requests += 1;
            sum.memory_tokens += sent.memory;
            sum.unread_tokens += if sent.is_answering { 0 } else { sent.unread };
        }
        for (loads, _) in self.words.values() {
            for (_, load) in loads.iter().filter(|(heard_for, _)| *heard_for == key) {
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
    fn kept_sums_are_the_sums_of_what_is_there(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut book = LoadTracker::default();
        let mut oracle = Oracle::default();
        let mut incarnations = [1u64; TARGETS];
        let mut now = 0;
        for step in steps {
            let keys: Vec<TargetKey> = (0..TARGETS)
                .map(|index| book.key_for(&serving(index, incarnations[index])))
                .collect();
            match step {
                Step::Begin { target, unread, memory } => {
                    let profile = RequestProfile { prompt_tokens: memory, ..RequestProfile::default() };
                    let key = book.start_request(keys[target], &profile, unread, 0.0, now);
                    *oracle.sent_tokens.entry(keys[target]).or_default() += u64::from(unread);
                    oracle.sent.push(Sent {
                        target,
                        book_key: keys[target],
                        key: key.expect("the target is known"),
                        unread: u64::from(unread),
                        memory: u64::from(memory),
                        is_answering: false,
                    });
                }
                Step::FirstByte { request } if !oracle.sent.is_empty() => {
                    let at = request % oracle.sent.len();
                    let sent = &mut oracle.sent[at];
                    book.record_first_byte(sent.book_key, sent.key, now);
                    sent.is_answering = true;
                }
                Step::End { request } if !oracle.sent.is_empty() => {
                    let sent = oracle.sent.swap_remove(request % oracle.sent.len());
                    book.finish_request(sent.book_key, sent.key, None, now);
                }
                Step::FirstByte { .. } | Step::End { .. } => {}
                Step::PeerSaid { peer, loads } => {
                    let said: BTreeMap<usize, InFlightLoad> = loads
                        .into_iter()
                        .map(|(target, requests, unread_tokens)| {
                            let memory_tokens = unread_tokens * 2;
                            (target, InFlightLoad { requests, unread_tokens, memory_tokens, sent_tokens: 0 })
                        })
                        .collect();
                    let named: Vec<(TargetIdHash, InFlightLoad)> = said
                        .iter()
                        .map(|(target, load)| (TargetIdHash::new(&target_name(*target)), *load))
                        .collect();
                    book.update_peer(&format!("peer-{peer}").into(), &named, now);
                    let heard = said.iter().map(|(target, load)| (keys[*target], *load)).collect();
                    oracle.words.insert(peer, (heard, now));
                }
                Step::Restart { target } => {
                    incarnations[target] += 1;
                    oracle.sent.retain(|sent| sent.target != target);
                }
                Step::Wait { ms } => {
                    now += ms;
                    book.expire_peers(PEER_AGE, now);
                    oracle.words.retain(|_, (_, heard_at)| now - *heard_at <= PEER_AGE);
                }
            }
            for (index, incarnation) in incarnations.iter().enumerate() {
                let key = book.key_for(&serving(index, *incarnation));
                let total = book.get(key).expect("the target is known").total();
                prop_assert_eq!(total, oracle.total(key));
            }
        }
    }
}

/// Load pattern: a stranger's datagram that decodes.
#[test]
fn absurd_loads_are_taken_off_again() {
    let mut book = LoadTracker::default();
    let key = book.key_for(&serving(0, 1));
    let profile = RequestProfile { prompt_tokens: 700, ..RequestProfile::default() };
    book.start_request(key, &profile, 500, 0.0, 0).expect("the target is known");
    let before = book.get(key).expect("the target is known").total();
    let absurd = InFlightLoad {
        requests: u32::MAX,
        unread_tokens: u64::MAX,
        memory_tokens: u64::MAX,
        sent_tokens: u64::MAX,
    };
    let code = TargetIdHash::new(&target_name(0));
    book.update_peer(&"stranger".into(), &[(code, absurd)], 0);
    book.expire_peers(PEER_AGE, PEER_AGE + 1);
    assert_eq!(book.get(key).expect("the target is known").total(), before);
}
