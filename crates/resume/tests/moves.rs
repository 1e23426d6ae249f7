//! Routes that a configuration sends to another service, while every service has one version.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::Name;
use resume::{
    HolderAnswer, HolderPeer, LookupVerdict, ResumeDecision, ResumePolicy, ResumeSettings,
    StreamKey, StreamLookup, StreamOrigin, StreamRecord,
};
use route::StreamMoves;

const LONGEST_MS: u64 = 10_000;
/// A time at which a router has seen its targets and routes for long.
const LATER: u64 = 60_000;
const SERVICES: [(&str, &str); 3] = [("app", "v1"), ("other", "v2"), ("third", "v1")];

fn window() -> u64 {
    LONGEST_MS + ResumeSettings::default().return_ms
}

fn start(version: u64, now: u64) -> ResumePolicy {
    let mut policy = ResumePolicy::new(ResumeSettings::default());
    configure(&mut policy, version, &StreamMoves::default(), now);
    policy.update_versions(services(), None, now);
    policy.refresh(Some(0), now);
    policy
}

fn services() -> impl Iterator<Item = (Name, Name)> {
    SERVICES.into_iter().map(|(service, version)| (service.into(), version.into()))
}

/// Returns a policy that has known configuration 1 alone until [`LATER`].
fn settled_policy() -> ResumePolicy {
    let mut policy = start(1, 0);
    policy.set_peers(vec![HolderPeer::new("peer", "zone".into(), peer(), 1)]);
    policy.refresh(Some(0), LATER);
    policy
}

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000))
}

fn configure(policy: &mut ResumePolicy, version: u64, moves: &StreamMoves, now: u64) {
    policy.set_longest_stream(LONGEST_MS, now);
    policy.record_moves(version, moves, now);
}

/// A route moves from `app` to `other`.
fn moved() -> StreamMoves {
    let changed = BTreeSet::from(["app".into(), "other".into()]);
    StreamMoves { changed, ..StreamMoves::default() }
}

fn key(id: &str) -> StreamKey {
    StreamKey::new(Some("north"), id)
}

fn origin(service: &str, version: &str) -> StreamOrigin {
    StreamOrigin { service: service.into(), version: version.into() }
}

/// Returns where a router lets a stream go on, asking itself as the only holder.
fn take_up(policy: &ResumePolicy, service: &str, now: u64) -> LookupVerdict {
    let key = key("r-1");
    match policy.decide(Some(key), &service.into(), Some(0), now) {
        ResumeDecision::Began(origin) => LookupVerdict::Began(origin),
        ResumeDecision::Ambiguous => LookupVerdict::Unknown,
        ResumeDecision::Ask(_) => {
            let answer = || policy.answer(Some(key), service, Some(0), now);
            let mut lookup = StreamLookup::new(service.into(), 1, answer());
            lookup.record(answer()).unwrap_or_else(|| lookup.conclude())
        }
    }
}

/// Guards against a stream that goes on at the service to which its route moved (ORDER): nobody
/// has a record, as its service had one version when it began.
#[test]
fn missing_record_proves_nothing_after_a_move() {
    let mut policy = settled_policy();
    let before = take_up(&policy, "other", LATER);
    assert_eq!(before, LookupVerdict::Began(origin("other", "v2")));
    configure(&mut policy, 2, &moved(), LATER);
    for now in (LATER..=LATER + window()).step_by(200) {
        policy.refresh(Some(0), now);
        for service in ["app", "other"] {
            assert_eq!(take_up(&policy, service, now), LookupVerdict::Unknown, "{service}, {now}");
        }
        let third = policy.decide(Some(key("r-1")), &"third".into(), Some(0), now);
        assert_eq!(third, ResumeDecision::Began(origin("third", "v1")), "no route of it moved");
    }
    let end = LATER + window() + 2 * ResumeSettings::default().settle_ms;
    policy.refresh(Some(0), end);
    let decision = policy.decide(Some(key("r-1")), &"other".into(), Some(0), end);
    assert_eq!(decision, ResumeDecision::Began(origin("other", "v2")), "streams of before ended");
}

/// Guards against streams that do not go on after a move (LOST): those that are open are told in
/// one go, those that begin are told one by one, and whoever takes one up asks for its record.
#[test]
fn streams_of_moved_services_are_told() {
    let mut policy = settled_policy();
    assert!(!policy.must_tell("app", Some(0), LATER));
    configure(&mut policy, 2, &moved(), LATER);
    assert_eq!(policy.refresh(Some(0), LATER), [Name::from("app"), "other".into()]);
    assert!(policy.refresh(Some(0), LATER + 200).is_empty(), "open streams are told once");
    for service in ["app", "other"] {
        assert!(policy.must_tell(service, Some(0), LATER + 200), "{service}");
    }
    assert!(!policy.must_tell("third", Some(0), LATER + 200));
    let decision = policy.decide(Some(key("r-1")), &"other".into(), Some(0), LATER);
    assert_eq!(decision, ResumeDecision::Ask(vec![peer()]));
    let record = StreamRecord { key: key("r-1"), origin: origin("app", "v1") };
    policy.record(&record, LATER);
    assert_eq!(take_up(&policy, "other", LATER), LookupVerdict::Began(origin("app", "v1")));
}

/// Guards against streams that a router begins when it no longer tells them, while one that
/// learned of the move up to `settle_ms` later still relies on records (LOST).
#[test]
fn streams_are_told_for_longer_than_records_are_needed() {
    let settle_ms = ResumeSettings::default().settle_ms;
    let (mut early, mut late) = (settled_policy(), settled_policy());
    configure(&mut early, 2, &moved(), LATER);
    configure(&mut late, 2, &moved(), LATER + settle_ms - 200);
    for now in (LATER + settle_ms..LATER + 60_000).step_by(200) {
        early.refresh(Some(0), now);
        late.refresh(Some(0), now);
        let needs_record = take_up(&late, "other", now) == LookupVerdict::Unknown;
        assert!(!needs_record || early.must_tell("other", Some(0), now), "at {now}");
    }
}

/// Guards against messages and refusals in a fleet whose routes never change service (LOST), and
/// that change often otherwise.
#[test]
fn configurations_that_move_nothing_change_nothing() {
    let mut policy = settled_policy();
    for version in 2..50 {
        let now = LATER + version * 100;
        let gained = BTreeSet::from(["third".into()]);
        let moves = StreamMoves { gained, ..StreamMoves::default() };
        configure(&mut policy, version, &moves, now);
        assert!(policy.refresh(Some(0), now).is_empty());
        for (service, version) in SERVICES {
            assert!(!policy.must_tell(service, Some(0), now));
            let decision = policy.decide(Some(key("r-1")), &service.into(), Some(0), now);
            assert_eq!(decision, ResumeDecision::Began(origin(service, version)));
        }
    }
}

/// Guards against a stream that goes on at another service (ORDER) as its path had no route
/// between two configurations in quick succession.
#[test]
fn path_that_was_closed_meanwhile_counts_as_moved() {
    let mut policy = settled_policy();
    let lost = StreamMoves { is_any_lost: true, ..StreamMoves::default() };
    configure(&mut policy, 2, &lost, LATER);
    let gained = BTreeSet::from(["other".into()]);
    let moves = StreamMoves { gained, ..StreamMoves::default() };
    configure(&mut policy, 3, &moves, LATER + 100);
    assert_eq!(take_up(&policy, "other", LATER + 100), LookupVerdict::Unknown);
    assert!(policy.must_tell("other", Some(0), LATER + 100));
}

/// Guards against a stream that goes on at another service (ORDER): a route moved there and back,
/// and this router has seen only the last of the configurations.
#[test]
fn holders_are_asked_after_a_configuration_that_was_not_seen() {
    let (mut policy, mut holder) = (settled_policy(), settled_policy());
    configure(&mut holder, 2, &moved(), LATER);
    configure(&mut holder, 3, &moved(), LATER + 100);
    configure(&mut policy, 3, &StreamMoves::default(), LATER + 100);
    let now = LATER + 200;
    let decision = policy.decide(Some(key("r-1")), &"app".into(), Some(0), now);
    assert_eq!(decision, ResumeDecision::Ask(vec![peer()]));
    let own = policy.answer(Some(key("r-1")), "app", Some(0), now);
    let mut lookup = StreamLookup::new("app".into(), 1, own);
    let answer = holder.answer(Some(key("r-1")), "app", Some(0), now);
    assert_eq!(lookup.record(answer), Some(LookupVerdict::Unknown));
}

/// Guards against a stream that began under a newer configuration (ORDER), which this router has
/// not read yet, although it has heard of it.
#[test]
fn holders_are_asked_while_a_peer_has_a_newer_configuration() {
    let mut policy = settled_policy();
    policy.record_announced(1);
    let decide =
        |policy: &ResumePolicy| policy.decide(Some(key("r-1")), &"app".into(), Some(0), LATER);
    assert_eq!(decide(&policy), ResumeDecision::Began(origin("app", "v1")));
    policy.record_announced(2);
    assert_eq!(decide(&policy), ResumeDecision::Ask(vec![peer()]));
    configure(&mut policy, 2, &StreamMoves::default(), LATER);
    assert_eq!(decide(&policy), ResumeDecision::Began(origin("app", "v1")), "nothing moved");
}

/// Guards against a router that starts after a move, and takes the routes for what they always
/// were (ORDER).
#[test]
fn router_that_starts_learns_of_moves_from_a_peer() {
    let mut holder = settled_policy();
    configure(&mut holder, 2, &moved(), LATER);
    let now = LATER + 5_000;
    holder.refresh(Some(0), now);
    for is_peer_first in [true, false] {
        let mut policy = ResumePolicy::new(ResumeSettings::default());
        if is_peer_first {
            policy.merge_versions(holder.version_notice(now), now);
            policy.merge_moves(holder.move_notice(now), now);
        }
        configure(&mut policy, 2, &StreamMoves::default(), now);
        policy.update_versions(services(), None, now);
        policy.refresh(Some(0), now);
        if !is_peer_first {
            policy.merge_versions(holder.version_notice(now), now);
            policy.merge_moves(holder.move_notice(now), now);
        }
        let verdict = take_up(&policy, "other", now);
        assert_eq!(verdict, LookupVerdict::Unknown, "peer first: {is_peer_first}");
        let third = policy.decide(Some(key("r-1")), &"third".into(), Some(0), now);
        assert_eq!(third, ResumeDecision::Began(origin("third", "v1")), "known from the peer");
    }
}

/// Guards against a router that starts with a configuration which its peers have not read (ORDER):
/// nobody compared it with the one before.
#[test]
fn peer_with_an_older_configuration_is_no_witness() {
    let holder = settled_policy();
    let mut policy = start(2, LATER);
    policy.merge_versions(holder.version_notice(LATER), LATER);
    policy.merge_moves(holder.move_notice(LATER), LATER);
    let now = LATER + 500;
    let own = policy.answer(Some(key("r-1")), "other", Some(0), now);
    assert_eq!(own, HolderAnswer::Unknown);
    let mut lookup = StreamLookup::new("other".into(), 1, own);
    let answer = holder.answer(Some(key("r-1")), "other", Some(0), now);
    let verdict = lookup.record(answer).unwrap_or_else(|| lookup.conclude());
    assert_eq!(verdict, LookupVerdict::Unknown);
    // Once all with a current view have it, most of them know whether it moved a route.
    let now = LATER + ResumeSettings::default().settle_ms;
    let own = policy.answer(Some(key("r-1")), "other", Some(0), now);
    assert_eq!(own, HolderAnswer::Recent { version: "v2".into() });
}

/// Guards against a router that starts beside routers of an earlier build, which do not tell of
/// moves, and relies on its short history (ORDER).
#[test]
fn silent_peers_count_as_unknown_moves() {
    let holder = settled_policy();
    let mut policy = start(1, LATER);
    policy.merge_versions(holder.version_notice(LATER), LATER);
    policy.merge_moves(resume::MoveNotice::default(), LATER);
    let now = LATER + window() - 1;
    policy.refresh(Some(0), now);
    assert!(policy.must_tell("other", Some(0), now));
    let decision = policy.decide(Some(key("r-1")), &"other".into(), Some(0), now);
    assert!(matches!(decision, ResumeDecision::Ask(_)), "{decision:?}");
    policy.refresh(Some(0), now + 1);
    let decision = policy.decide(Some(key("r-1")), &"other".into(), Some(0), now + 1);
    assert_eq!(decision, ResumeDecision::Began(origin("other", "v2")));
}
