//! Discovery of routers, loss of routers, and selection of the router that reads the
//! configuration source.

use std::net::SocketAddr;

use base::{Name, Origin};
use mesh::{
    HeartbeatHeader, HeartbeatOutcome, MemberSettings, MemberTable, MemberView, PeerAddresses,
    ReaderPolicy, ReaderSettings, ReaderVerdict, SourceView,
};

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7_400))
}

fn origin(index: usize, incarnation: u64) -> Origin {
    Origin { instance: format!("router-{index}").into(), incarnation }
}

struct Fleet {
    tables: Vec<Option<MemberTable>>,
    now: u64,
}

impl Fleet {
    /// Starts routers whose seeds are the first two routers and one stale address.
    fn start(routers: usize) -> Self {
        let seeds = [address(0), address(1), address(200)];
        let tables = (0..routers)
            .map(|index| {
                let settings = MemberSettings::default();
                Some(MemberTable::new(origin(index, 1), address(index), &seeds, settings))
            })
            .collect();
        Self { tables, now: 0 }
    }

    fn header(
        table: &mut MemberTable,
        index: usize,
        incarnation: u64,
        now: u64,
    ) -> HeartbeatHeader {
        let at = address(index);
        HeartbeatHeader {
            origin: origin(index, incarnation),
            sequence: table.next_sequence(),
            domain: format!("zone-{}", index % 3).into(),
            addresses: PeerAddresses { beats: at, peers: at, callers: at },
            is_draining: false,
            source: SourceView::default(),
            known_peers: table.sample_live_peers(now),
        }
    }

    /// Sends one round of heartbeats; links between pairs that are `cut` are down.
    fn round(&mut self, cut: impl Fn(usize, usize) -> bool) {
        self.now += 200;
        for from in 0..self.tables.len() {
            let Some(mut table) = self.tables[from].take() else { continue };
            let header = Self::header(&mut table, from, 1, self.now);
            let receivers = table.receivers(self.now);
            self.tables[from] = Some(table);
            for to in 0..self.tables.len() {
                if to == from || cut(from, to) || !receivers.contains(&address(to)) {
                    continue;
                }
                if let Some(table) = self.tables[to].as_mut() {
                    table.record_heartbeat(header.clone(), self.now);
                }
            }
        }
    }

    fn live_at(&self, index: usize) -> usize {
        self.tables[index].as_ref().map_or(0, |table| table.live(self.now).count())
    }
}

#[test]
fn all_routers_find_each_other_from_a_few_seeds() {
    let mut fleet = Fleet::start(12);
    for _ in 0..8 {
        fleet.round(|_, _| false);
    }
    for index in 0..12 {
        assert_eq!(fleet.live_at(index), 11, "router {index}");
    }
}

#[test]
fn seed_that_starts_late_is_found() {
    let mut fleet = Fleet::start(4);
    let late = [fleet.tables[0].take(), fleet.tables[1].take()];
    for _ in 0..300 {
        fleet.round(|_, _| false);
    }
    let [first, second] = late;
    fleet.tables[0] = first;
    fleet.tables[1] = second;
    for _ in 0..10 {
        fleet.round(|_, _| false);
    }
    for index in 0..4 {
        assert_eq!(fleet.live_at(index), 3, "router {index}");
    }
}

#[test]
fn partition_is_detected_and_heals() {
    let mut fleet = Fleet::start(6);
    for _ in 0..8 {
        fleet.round(|_, _| false);
    }
    let cut = |from: usize, to: usize| (from < 2) != (to < 2);
    for _ in 0..8 {
        fleet.round(cut);
    }
    assert_eq!(fleet.live_at(0), 1);
    assert_eq!(fleet.live_at(5), 3);
    for _ in 0..8 {
        fleet.round(|_, _| false);
    }
    assert_eq!(fleet.live_at(0), 5);
    assert_eq!(fleet.live_at(5), 5);
}

#[test]
fn late_heartbeat_of_an_earlier_incarnation_is_ignored() {
    let mut table =
        MemberTable::new(origin(0, 1), address(0), &[address(1)], MemberSettings::default());
    let mut other =
        MemberTable::new(origin(1, 1), address(1), &[address(0)], MemberSettings::default());
    let old = Fleet::header(&mut other, 1, 7, 0);
    let late = Fleet::header(&mut other, 1, 7, 0);
    let new = Fleet::header(&mut other, 1, 8, 0);
    assert_eq!(table.record_heartbeat(old, 0), HeartbeatOutcome::Joined);
    assert_eq!(table.record_heartbeat(new, 10), HeartbeatOutcome::Restarted);
    assert_eq!(table.record_heartbeat(late, 20), HeartbeatOutcome::Ignored);
}

#[test]
fn earlier_incarnation_is_ignored_after_many_restarts() {
    let mut table = MemberTable::new(origin(0, 1), address(0), &[], MemberSettings::default());
    let mut other = MemberTable::new(origin(1, 1), address(1), &[], MemberSettings::default());
    let first = Fleet::header(&mut other, 1, 1, 0);
    table.record_heartbeat(first, 0);
    for incarnation in 2..=10 {
        let late = Fleet::header(&mut other, 1, incarnation - 1, 0);
        let new = Fleet::header(&mut other, 1, incarnation, 0);
        assert_eq!(table.record_heartbeat(new, incarnation * 1_000), HeartbeatOutcome::Restarted);
        assert_eq!(
            table.record_heartbeat(late, incarnation * 1_000 + 10),
            HeartbeatOutcome::Ignored,
            "incarnation {incarnation}"
        );
    }
}

#[test]
fn heartbeat_interval_grows_with_the_fleet() {
    let settings = MemberSettings { heartbeats_per_second: 30, ..MemberSettings::default() };
    let mut table = MemberTable::new(origin(0, 1), address(0), &[], settings);
    let mut other = MemberTable::new(origin(1, 1), address(1), &[], settings);
    for index in 1..=150 {
        table.record_heartbeat(Fleet::header(&mut other, index, 1, 0), 0);
    }
    assert!(150 * 1_000 / table.heartbeat_interval() <= 30);
}

fn reader(index: usize, read_age: Option<u64>) -> MemberView {
    MemberView {
        origin: origin(index, 1),
        domain: "zone".into(),
        addresses: PeerAddresses { beats: address(0), peers: address(0), callers: address(0) },
        is_draining: false,
        source: SourceView { revision: 1, read_age },
        age: 100,
    }
}

/// Time after which every router may have started to read.
const START: u64 = 1_000;

fn policy(index: usize) -> ReaderPolicy {
    let name: Name = format!("router-{index}").into();
    ReaderPolicy::new(name, "zone".into(), ReaderSettings::default())
}

#[test]
fn one_of_several_readers_in_a_failure_domain_stays() {
    let readers = (0..5).filter(|index| {
        let peers: Vec<_> =
            (0..5).filter(|at| at != index).map(|at| reader(at, Some(50))).collect();
        let mut policy = policy(*index);
        policy.decide(&[], None, false, START);
        policy.decide(&peers, Some(50), false, START + 100) == ReaderVerdict::Read
    });
    assert_eq!(readers.count(), 1);
}

#[test]
fn reader_without_responses_is_replaced_in_time() {
    let mut follower = policy(0);
    assert_eq!(follower.decide(&[reader(1, Some(50))], None, false, 0), ReaderVerdict::Follow);
    let stale = [reader(1, Some(1_400))];
    let taken_over = (0..400)
        .step_by(20)
        .find(|now| follower.decide(&stale, None, false, 1_000 + now) == ReaderVerdict::Read);
    assert!(taken_over.is_some_and(|after| after <= 100), "{taken_over:?}");
}

#[test]
fn router_without_peers_reads_the_source() {
    let mut policy = policy(0);
    assert_eq!(policy.decide(&[], None, false, START), ReaderVerdict::Read);
    assert_eq!(policy.decide(&[], Some(9_000), false, 9_000), ReaderVerdict::Read);
}

/// Guards against changes that come late to a router that is cut off from its peers and
/// reaches the source (CONFIG, DRAIN): it waited its turn behind peers of which it had heard
/// nothing for seconds, up to 3.0 s in all with 30 routers in the failure domain.
#[test]
fn router_that_hears_no_peer_reads_the_source_at_once() {
    let slowest = (0..30).map(|index| {
        let mut policy = policy(index);
        let peers = |silent_ms: u64| -> Vec<MemberView> {
            let others = (0..30).filter(|other| *other != index);
            let view = |other| MemberView {
                age: silent_ms + other as u64 * 30,
                ..reader(other, (other == 0 || other == 1).then_some(0))
            };
            others.map(view).collect()
        };
        assert_eq!(policy.decide(&peers(0), None, false, START), ReaderVerdict::Follow);
        let taken_over = (0..10_000)
            .step_by(50)
            .find(|ms| policy.decide(&peers(*ms), None, false, START + ms) == ReaderVerdict::Read);
        taken_over.unwrap_or(u64::MAX)
    });
    let slowest = slowest.max();
    // A second and a half of the two that a change may take are left for the rest.
    assert!(slowest.is_some_and(|ms| ms <= 1_500), "{slowest:?}");
}

/// All routers of a large failure domain start at the same time and learn of a reader
/// 60 ms after it started to read. Most of them must not call the source.
#[test]
fn routers_that_start_together_do_not_all_read() {
    let mut first_read: Option<u64> = None;
    let mut policies: Vec<ReaderPolicy> = (0..60).map(policy).collect();
    let mut reading = [false; 60];
    for now in (0..400).step_by(10) {
        let is_known = first_read.is_some_and(|at| now >= at + 60);
        let peers = if is_known { vec![reader(99, Some(10))] } else { Vec::new() };
        for (index, policy) in policies.iter_mut().enumerate() {
            if policy.decide(&peers, None, false, now) == ReaderVerdict::Read {
                reading[index] = true;
                first_read.get_or_insert(now);
            }
        }
    }
    let read = reading.iter().filter(|reads| **reads).count();
    assert!((1..=30).contains(&read), "{read} of 60 read at the start");
}

/// Guards against live peers that are declared lost, or removed, by a router that did not
/// run for a while itself: their heartbeats wait in its socket.
#[test]
fn own_pause_is_no_loss_of_a_peer() {
    for pause in [2_000, 60_000] {
        let settings = MemberSettings::default();
        let mut table = MemberTable::new(origin(0, 1), address(0), &[], settings);
        let mut other = MemberTable::new(origin(1, 1), address(1), &[], settings);
        for now in [0, 200, 400] {
            table.record_heartbeat(Fleet::header(&mut other, 1, 1, now), now);
            table.receivers(now);
            assert!(table.newly_lost(now).is_empty());
        }
        let waiting = Fleet::header(&mut other, 1, 1, 600);
        let resumed_at = 400 + pause;
        assert_eq!(table.live(resumed_at).count(), 1, "before the next round, pause {pause}");
        assert_eq!(table.receivers(resumed_at), [address(1)], "pause {pause}");
        assert!(table.newly_lost(resumed_at).is_empty(), "pause {pause}");
        assert_eq!(table.live(resumed_at).count(), 1, "after the next round, pause {pause}");
        let outcome = table.record_heartbeat(waiting, resumed_at + 1);
        assert_eq!(outcome, HeartbeatOutcome::Newer { changed: false }, "pause {pause}");
    }
}

/// Guards against a heartbeat that waited during a pause of this router and is taken for
/// that of a peer which had been lost, as it is read before the next round.
#[test]
fn heartbeat_read_after_an_own_pause_is_of_a_known_peer() {
    let settings = MemberSettings::default();
    let mut table = MemberTable::new(origin(0, 1), address(0), &[], settings);
    let mut other = MemberTable::new(origin(1, 1), address(1), &[], settings);
    table.record_heartbeat(Fleet::header(&mut other, 1, 1, 0), 0);
    table.receivers(0);
    let outcome = table.record_heartbeat(Fleet::header(&mut other, 1, 1, 200), 5_000);
    assert_eq!(outcome, HeartbeatOutcome::Newer { changed: false });
    table.receivers(5_001);
    assert!(table.live(5_001).all(|view| view.age <= 1));
}

/// A peer that died during a pause of this router, or after it, is lost in the usual time
/// after the pause.
#[test]
fn dead_peer_is_lost_after_an_own_pause() {
    let settings = MemberSettings::default();
    let mut table = MemberTable::new(origin(0, 1), address(0), &[], settings);
    let mut other = MemberTable::new(origin(1, 1), address(1), &[], settings);
    table.record_heartbeat(Fleet::header(&mut other, 1, 1, 0), 0);
    table.receivers(0);
    table.newly_lost(0);
    let lost_at = (60_000..63_000).step_by(200).find(|now| {
        table.receivers(*now);
        !table.newly_lost(*now).is_empty()
    });
    let limit = 60_000 + table.liveness_timeout() + table.heartbeat_interval();
    assert!(lost_at.is_some_and(|at| at <= limit), "{lost_at:?}");
}

#[test]
fn one_router_is_elected_unless_it_hears_too_few() {
    let now = 1_000;
    let tables: Vec<MemberTable> = (0..5)
        .map(|index| {
            let new_table =
                |at| MemberTable::new(origin(at, 1), address(at), &[], MemberSettings::default());
            let mut table = new_table(index);
            for other in (0..5).filter(|other| *other != index) {
                let header = Fleet::header(&mut new_table(other), other, 1, 0);
                table.record_heartbeat(header, now);
            }
            table
        })
        .collect();
    let elected = |now| tables.iter().filter(|table| table.elects_self("task", now)).count();
    assert_eq!(elected(now), 1);
    // None hears the others any more.
    assert_eq!(elected(now + 20_000), 0);
}

/// Guards against a router that takes itself for the whole fleet, as it has just started or is
/// cut off.
#[test]
fn routers_that_are_not_heard_count_as_known() {
    let seeds = [address(0), address(1), address(2)];
    let mut table = MemberTable::new(origin(0, 1), address(0), &seeds, MemberSettings::default());
    assert_eq!(table.known_count(), 3, "its seeds may be running");
    for other in 1..9 {
        let mut other_table =
            MemberTable::new(origin(other, 1), address(other), &[], MemberSettings::default());
        let mut header = Fleet::header(&mut other_table, other, 1, 0);
        header.is_draining = other == 8;
        table.record_heartbeat(header, 100);
    }
    assert_eq!(table.known_count(), 8, "one of them drains");
    table.receivers(20_000);
    assert_eq!(table.known_count(), 8, "they are not heard");
    table.receivers(40_000);
    assert_eq!(table.live(40_000).count(), 0);
}

/// Guards against a process that ends, or a reader that is believed for ever, by a message with
/// an age out of range.
#[test]
fn age_out_of_range_is_no_fresh_read() {
    let mut policy = policy(0);
    let peers = [reader(1, Some(u64::MAX))];
    let verdicts: Vec<_> =
        (0..40).map(|step| policy.decide(&peers, None, false, START * 4 + step * 50)).collect();
    assert!(verdicts.contains(&ReaderVerdict::Read));
}

/// Guards against a router that takes itself for the only one to do a task, as it does not hear the
/// one that peers hear.
#[test]
fn routers_without_a_link_know_that_there_is_another() {
    let mut fleet = Fleet::start(6);
    for _ in 0..60 {
        fleet.round(|from, to| from.min(to) == 0 && from.max(to) == 5);
    }
    let unheard =
        |index: usize| fleet.tables[index].as_ref().map(|table| table.unheard_count(fleet.now));
    assert_eq!(unheard(0), Some(1));
    assert_eq!(unheard(5), Some(1));
    // The stale seed is not listed by any peer.
    assert_eq!(unheard(2), Some(0));
}
