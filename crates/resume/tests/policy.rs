//! Decisions of one router.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::Name;
use resume::{
    HolderAnswer, HolderPeer, ResumeDecision, ResumePolicy, ResumeSettings, StreamKey,
    StreamOrigin, StreamRecord, ToldHolders, choose_holders,
};

const SERVICE: &str = "model";
const LONGEST_MS: u64 = 10_000;
/// A time at which a router has seen its targets for long.
const LATER: u64 = 60_000;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: SERVICE.into(), version: version.into() }
}

/// Returns a policy that has seen v1 alone until [`LATER`].
fn settled_policy() -> ResumePolicy {
    let mut policy = ResumePolicy::new(ResumeSettings::default());
    policy.set_longest_stream(LONGEST_MS, 0);
    policy.update_versions([(SERVICE.into(), "v1".into())].into_iter(), None, 0);
    policy.refresh(Some(0), 0);
    policy.refresh(Some(0), LATER);
    policy
}

fn decide(policy: &ResumePolicy, id: &str, view_age: u64, now: u64) -> ResumeDecision {
    let key = StreamKey::new(Some("north"), id);
    policy.decide(Some(key), &Name::from(SERVICE), Some(view_age), now)
}

/// Guards against streams that go on at the version that a router saw seconds ago, while others
/// begin streams at a new one: it asks as soon as others may.
#[test]
fn version_seen_alone_is_relied_on_only_while_nobody_uses_another() {
    let settings = ResumeSettings::default();
    assert!(settings.fresh_ms < settings.settle_ms);
    let policy = settled_policy();
    assert_eq!(decide(&policy, "r-1", 0, LATER), ResumeDecision::Began(origin("v1")));
    let age = settings.fresh_ms;
    assert_eq!(decide(&policy, "r-1", age, LATER), ResumeDecision::Began(origin("v1")));
    assert_eq!(decide(&policy, "r-1", age + 1, LATER), ResumeDecision::Ask(Vec::new()));
}

/// Guards against streams that go on at a version that is new (ORDER): the router started when
/// the last target of the other one had left, and its peers had not heard of that.
#[test]
fn version_that_a_peer_still_sees_counts_at_a_router_that_starts() {
    let peer = settled_policy();
    let mut policy = ResumePolicy::new(ResumeSettings::default());
    policy.set_longest_stream(LONGEST_MS, 0);
    policy.update_versions([(SERVICE.into(), "v2".into())].into_iter(), None, 0);
    policy.refresh(Some(0), 0);
    policy.merge_versions(peer.version_notice(LATER), 10);
    assert_eq!(decide(&policy, "r-1", 0, 10), ResumeDecision::Ask(Vec::new()));
    let answer = policy.answer(None, SERVICE, Some(0), 10);
    assert_eq!(answer, HolderAnswer::Unknown);
}

/// Guards against a router that counts as a witness though it has forgotten versions that are
/// gone (ORDER): it had no configuration, so it did not know how long they matter.
#[test]
fn nothing_counts_as_observed_without_a_configuration() {
    let mut policy = ResumePolicy::new(ResumeSettings::default());
    for (version, at) in [("v1", 0), ("v2", 50_000)] {
        policy.update_versions([(SERVICE.into(), version.into())].into_iter(), Some(at), at);
        policy.refresh(Some(0), at);
    }
    policy.set_longest_stream(LONGEST_MS, 51_000);
    policy.refresh(Some(0), 51_000);
    assert_eq!(policy.observed_ms(51_000), 0);
    assert_eq!(decide(&policy, "r-1", 0, 51_000), ResumeDecision::Ask(Vec::new()));
}

/// Guards against streams that do not go on (LOST): a router that starts asks its peers before
/// the source has responded to it, and relies on what they have observed.
#[test]
fn what_peers_observed_counts_whether_the_source_or_they_respond_first() {
    let peer = settled_policy();
    let versions = || [(Name::from(SERVICE), Name::from("v1"))].into_iter();
    for is_peer_first in [true, false] {
        let mut policy = ResumePolicy::new(ResumeSettings::default());
        policy.set_longest_stream(LONGEST_MS, 0);
        if is_peer_first {
            policy.merge_versions(peer.version_notice(LATER), 0);
        }
        policy.update_versions(versions(), None, 10);
        policy.refresh(Some(0), 10);
        if !is_peer_first {
            policy.merge_versions(peer.version_notice(LATER), 20);
        }
        let decision = decide(&policy, "r-1", 0, 30);
        assert_eq!(decision, ResumeDecision::Began(origin("v1")), "peer first: {is_peer_first}");
    }
}

/// Guards against streams that go on at the wrong version (ORDER): they began under a longer time
/// limit, and the configuration shortened it.
#[test]
fn shorter_time_limit_does_not_forget_versions_of_longer_streams() {
    let mut policy = settled_policy();
    policy.update_versions([(SERVICE.into(), "v2".into())].into_iter(), Some(LATER), LATER);
    policy.set_longest_stream(1_000, LATER);
    let last_return = LATER + LONGEST_MS + ResumeSettings::default().return_ms;
    for now in (LATER..last_return).step_by(200) {
        policy.refresh(Some(0), now);
        assert_eq!(decide(&policy, "r-1", 0, now), ResumeDecision::Ask(Vec::new()), "at {now}");
    }
    let end = last_return + LONGEST_MS;
    policy.refresh(Some(0), end);
    assert_eq!(decide(&policy, "r-1", 0, end), ResumeDecision::Began(origin("v2")));
}

/// Guards against streams at a version that other routers do not know yet.
#[test]
fn streams_begin_at_a_new_version_once_all_know_it() {
    let mut policy = settled_policy();
    let both = [(SERVICE.into(), "v1".into()), (SERVICE.into(), "v2".into())];
    policy.update_versions(both.into_iter(), Some(LATER), LATER);
    let settle_ms = ResumeSettings::default().settle_ms;
    assert_eq!(policy.unsettled_versions(SERVICE, LATER + settle_ms - 1), [Name::from("v2")]);
    assert!(policy.unsettled_versions(SERVICE, LATER + settle_ms).is_empty());
    assert_eq!(policy.refresh(Some(0), LATER), [Name::from(SERVICE)]);
    assert!(policy.refresh(Some(0), LATER + 200).is_empty(), "open streams are told once");
}

/// Guards against a stream that goes on at the wrong version as its id was used twice.
#[test]
fn id_that_was_used_for_two_versions_is_ambiguous() {
    let mut policy = settled_policy();
    let key = StreamKey::new(Some("north"), "r-1");
    policy.record(&StreamRecord { key, origin: origin("v1") }, LATER);
    assert_eq!(decide(&policy, "r-1", 0, LATER), ResumeDecision::Began(origin("v1")));
    policy.record(&StreamRecord { key, origin: origin("v2") }, LATER);
    assert_eq!(decide(&policy, "r-1", 0, LATER), ResumeDecision::Ambiguous);
}

/// Guards against a caller that names the stream of another client account.
#[test]
fn streams_of_two_accounts_with_one_id_differ() {
    assert_ne!(StreamKey::new(Some("north"), "r-1"), StreamKey::new(Some("south"), "r-1"));
    assert_ne!(StreamKey::new(None, "r-1"), StreamKey::new(Some("south"), "r-1"));
}

/// Guards against memory without a bound: ids that are forged, or recorded again and again.
#[test]
fn records_are_bounded_and_expire() {
    let settings = ResumeSettings { max_records: 100, ..ResumeSettings::default() };
    let mut policy = ResumePolicy::new(settings);
    policy.set_longest_stream(LONGEST_MS, 0);
    for number in 0..1_000 {
        let key = StreamKey::new(None, &format!("r-{}", number % 300));
        policy.record(&StreamRecord { key, origin: origin("v1") }, number);
        assert!(policy.record_count() <= 100, "{} records", policy.record_count());
    }
    let window = LONGEST_MS + settings.return_ms;
    policy.refresh(Some(0), 1_000 + window + 1);
    assert_eq!(policy.record_count(), 0);
}

/// Holders are spread over the failure domains, and routers that miss one another's newest peer
/// share most of them.
#[test]
fn holders_are_spread_and_agreed_on() {
    let address = |index: u16| SocketAddr::from(([10, 0, 0, 1], 7_000 + index));
    let peer = |index: u16| {
        let domain = format!("zone-{}", index % 3);
        HolderPeer::new(&format!("router-{index}"), domain.as_str().into(), address(index), 1)
    };
    let peers: Vec<HolderPeer> = (0..9).map(peer).collect();
    for number in 0..200 {
        let key = StreamKey::new(None, &format!("r-{number}"));
        let holders = choose_holders(key, &peers, 3);
        let domains: BTreeSet<u16> =
            holders.iter().map(|holder| holder.address.port() % 3).collect();
        assert_eq!((holders.len(), domains.len()), (3, 3));
        let fewer = choose_holders(key, &peers[..8], 3);
        let shared = fewer.iter().filter(|holder| holders.contains(holder)).count();
        assert!(shared >= 2, "{holders:?} and {fewer:?}");
    }
    assert_eq!(choose_holders(StreamKey::new(None, "r"), &peers[..2], 3).len(), 2);
    assert!(choose_holders(StreamKey::new(None, "r"), &[], 3).is_empty());
}

/// Guards against a stream whose origin no holder knows (LOST, ORDER), as the message about it was not
/// sent and its holder counted as told.
#[test]
fn holder_counts_as_told_once_its_message_was_sent() {
    let peers = [1, 2].map(|port| {
        HolderPeer::new(&format!("r{port}"), "a".into(), ([127, 0, 0, 1], port).into(), 1)
    });
    let holders = choose_holders(StreamKey::new(None, "stream"), &peers, 2);
    let mut told = ToldHolders::default();
    assert_eq!(told.begin(holders.clone()), holders);
    told.record(holders[0], false);
    told.record(holders[1], true);
    assert!(told.is_pending());
    assert_eq!(told.begin(holders.clone()), [holders[0]]);
    told.record(holders[0], true);
    assert!(!told.is_pending());
    assert!(told.begin(holders).is_empty());
}
