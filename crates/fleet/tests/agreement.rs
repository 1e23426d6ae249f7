//! State machine tests of document revisions, leaving targets and membership.
//!
//! After any sequence of faults, routers that reach each other again must agree
//! on the highest revision in force at any of them, on every target that was
//! reported to any of them as leaving, and on the routers that are alive.

use std::collections::BTreeSet;

use base::{Millis, Name, Origin};
use fleet::{
    AddressSettings, InstanceEntry, InstanceKind, InstanceList, InstanceState, LeavingSet,
    MemberSettings, MemberTable, PeerStatus, RevisionGate, RevisionVerdict, select_routers,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ROUTERS: usize = 4;
const TARGETS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// A router reads a document from the configuration service. It may be
    /// stale, rolled back, invalid or a different one under the same number.
    Read {
        router: usize,
        revision: u64,
        content: u8,
    },
    /// A router reads the instance list; `leaving` holds the state of each
    /// target in that read.
    List {
        router: usize,
        leaving: [bool; TARGETS],
    },
    Gossip {
        from: usize,
        to: usize,
    },
    Tick {
        ms: Millis,
    },
    Restart {
        router: usize,
    },
    Pause {
        router: usize,
    },
    Resume {
        router: usize,
    },
    /// Splits the routers into two groups by the bits of `mask`.
    Partition {
        mask: u8,
    },
    Drain {
        router: usize,
    },
}

#[derive(Clone, Debug)]
struct FaultHistory;

impl ReferenceStateMachine for FaultHistory {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let router = 0..ROUTERS;
        prop_oneof![
            5 => (router.clone(), 1..8_u64, 0..3_u8)
                .prop_map(|(router, revision, content)| Step::Read { router, revision, content }),
            3 => (router.clone(), any::<[bool; TARGETS]>())
                .prop_map(|(router, leaving)| Step::List { router, leaving }),
            10 => (router.clone(), router.clone()).prop_map(|(from, to)| Step::Gossip { from, to }),
            4 => (1..4_000_u64).prop_map(|ms| Step::Tick { ms }),
            1 => router.clone().prop_map(|router| Step::Restart { router }),
            1 => router.clone().prop_map(|router| Step::Pause { router }),
            1 => router.clone().prop_map(|router| Step::Resume { router }),
            1 => (0..16_u8).prop_map(|mask| Step::Partition { mask }),
            1 => router.prop_map(|router| Step::Drain { router }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Node {
    members: MemberTable,
    gate: RevisionGate,
    content: u8,
    leaving: LeavingSet,
    paused: bool,
    draining: bool,
    /// Only routers of the same group reach each other.
    group: u8,
}

impl Node {
    fn new(index: usize, number: u64) -> Self {
        let origin = Origin { instance: name(index), incarnation: number };
        let mut members = MemberTable::new(origin, MemberSettings::default());
        members.apply_list(&list([false; TARGETS]));
        Self {
            members,
            gate: RevisionGate::default(),
            content: 0,
            leaving: LeavingSet::default(),
            paused: false,
            draining: false,
            group: 0,
        }
    }

    /// Offers a document; the acceptance check refuses content 0.
    fn offer(&mut self, revision: u64, content: u8) {
        let before = (self.gate.revision(), self.content);
        let check = || if content == 0 { Err("invalid".into()) } else { Ok(()) };
        let verdict = self.gate.offer(revision, &content.to_string().into(), check);
        match verdict {
            RevisionVerdict::Accepted => {
                assert!(revision > before.0, "revision fell from {} to {revision}", before.0);
                assert!(content != 0, "an invalid document was accepted");
                self.content = content;
            }
            _ => assert_eq!(self.gate.revision(), before.0, "{verdict:?} changed the revision"),
        }
    }
}

struct Fleet {
    nodes: Vec<Node>,
    now: Millis,
    last_incarnation: u64,
    /// Targets that were reported as leaving to the current incarnation of each
    /// router, directly or through gossip.
    reported_leaving: Vec<BTreeSet<Name>>,
}

fn name(index: usize) -> Name {
    format!("r{index}").into()
}

fn target(index: usize) -> Name {
    format!("t{index}").into()
}

fn list(leaving: [bool; TARGETS]) -> InstanceList {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let entry = |id: Name, kind, state| InstanceEntry {
        id,
        kind,
        service: "svc".into(),
        address,
        peer_address: Some(address),
        domain: "d".into(),
        region: "r".into(),
        state,
    };
    let routers =
        (0..ROUTERS).map(|index| entry(name(index), InstanceKind::Router, InstanceState::Live));
    let targets = leaving.iter().enumerate().map(|(index, leaving)| {
        let state = if *leaving { InstanceState::Leaving } else { InstanceState::Live };
        entry(target(index), InstanceKind::Target, state)
    });
    InstanceList { instances: routers.chain(targets).collect() }
}

impl Fleet {
    fn gossip(&mut self, from: usize, to: usize) {
        let is_running = |node: &Node| !node.paused;
        if from == to || !is_running(&self.nodes[from]) {
            return;
        }
        if self.nodes[from].group != self.nodes[to].group || !is_running(&self.nodes[to]) {
            self.nodes[from].members.record_failure(&name(to), self.now);
            return;
        }
        let sender = &self.nodes[from];
        let known_count = self.nodes[to].members.known_count();
        let updates = sender.members.updates_for(&name(to), Some(known_count), self.now);
        let (revision, content) = (sender.gate.revision(), sender.content);
        let leaving: Vec<Name> = sender.leaving.names().cloned().collect();
        let reported = self.reported_leaving[from].clone();
        let receiver = &mut self.nodes[to];
        receiver.members.apply_updates(&updates, self.now);
        receiver.leaving.add_names(&leaving);
        if revision > receiver.gate.revision() {
            receiver.offer(revision, content);
        }
        self.reported_leaving[to].extend(reported);
    }

    /// Ends every fault except drains, then lets every router send to every
    /// other one in three rounds.
    fn heal_and_gossip(&mut self) {
        for node in &mut self.nodes {
            node.paused = false;
            node.group = 0;
        }
        for _ in 0..3 {
            self.now += 1_000;
            for from in 0..ROUTERS {
                (0..ROUTERS).for_each(|to| self.gossip(from, to));
            }
        }
    }
}

struct Agreement;

impl StateMachineTest for Agreement {
    type SystemUnderTest = Fleet;
    type Reference = FaultHistory;

    fn init_test((): &()) -> Fleet {
        Fleet {
            nodes: (0..ROUTERS).map(|index| Node::new(index, index as u64)).collect(),
            now: 1_000,
            last_incarnation: 100,
            reported_leaving: vec![BTreeSet::new(); ROUTERS],
        }
    }

    fn apply(mut fleet: Fleet, (): &(), step: Step) -> Fleet {
        match step {
            Step::Read { router, revision, content } => {
                if !fleet.nodes[router].paused {
                    fleet.nodes[router].offer(revision, content);
                }
            }
            Step::List { router, leaving } => {
                let list = list(leaving);
                fleet.nodes[router].members.apply_list(&list);
                fleet.nodes[router].leaving.apply_list(&list);
                let reported = (0..TARGETS).filter(|index| leaving[*index]).map(target);
                fleet.reported_leaving[router].extend(reported);
            }
            Step::Gossip { from, to } => fleet.gossip(from, to),
            Step::Tick { ms } => fleet.now += ms,
            Step::Restart { router } => {
                fleet.last_incarnation += 1;
                let group = fleet.nodes[router].group;
                fleet.nodes[router] = Node { group, ..Node::new(router, fleet.last_incarnation) };
                fleet.reported_leaving[router].clear();
            }
            Step::Pause { router } => fleet.nodes[router].paused = true,
            Step::Resume { router } => fleet.nodes[router].paused = false,
            Step::Partition { mask } => {
                for (index, node) in fleet.nodes.iter_mut().enumerate() {
                    node.group = (mask >> index) & 1;
                }
            }
            Step::Drain { router } => {
                fleet.nodes[router].draining = true;
                fleet.nodes[router].members.start_draining();
            }
        }
        for (node, reported) in fleet.nodes.iter().zip(&fleet.reported_leaving) {
            for name in reported {
                assert!(node.leaving.contains(name), "{name} stopped leaving");
            }
        }
        fleet
    }

    fn teardown(mut fleet: Fleet, (): ()) {
        fleet.heal_and_gossip();
        let now = fleet.now;
        let highest = fleet.nodes.iter().map(|node| node.gate.revision()).max().unwrap_or(0);
        let reported: BTreeSet<Name> = fleet.reported_leaving.iter().flatten().cloned().collect();
        let accepting: Vec<Name> =
            (0..ROUTERS).filter(|index| !fleet.nodes[*index].draining).map(name).collect();
        for (index, node) in fleet.nodes.iter().enumerate() {
            assert_eq!(node.gate.revision(), highest, "r{index} lacks the highest revision");
            assert!(
                reported.iter().all(|name| node.leaving.contains(name)),
                "r{index} lacks a leaving target"
            );
            assert_eq!(node.members.alive(now), accepting, "r{index} sees other routers as alive");
            let answer = select_routers(&node.members, &AddressSettings::default(), "a", 0, now);
            assert!(
                answer.iter().all(|name| accepting.contains(name)),
                "answer contains a draining router: {answer:?}"
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(20_263),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn routers_agree_once_they_reach_each_other(sequential 1..80 => Agreement);
}

#[test]
fn relayed_suspicion_takes_effect_after_the_refute_timeout_and_is_refuted() {
    let settings = MemberSettings::default();
    let mut fleet = Agreement::init_test(&());
    fleet.heal_and_gossip();
    fleet.nodes[0].members.record_failure(&name(1), fleet.now);
    fleet.gossip(0, 2);
    let status = |fleet: &Fleet, router: usize| fleet.nodes[router].members.status("r1", fleet.now);
    assert_eq!(status(&fleet, 0), PeerStatus::Suspect);
    assert_eq!(status(&fleet, 2), PeerStatus::Alive, "a relayed suspicion leaves time to refute");
    fleet.now += settings.refute_timeout + 1;
    assert_eq!(status(&fleet, 2), PeerStatus::Suspect);
    fleet.now += settings.gone_after;
    assert_eq!(status(&fleet, 2), PeerStatus::Gone);
    // The suspected router learns of the suspicion and raises its version.
    fleet.gossip(2, 1);
    fleet.gossip(1, 3);
    fleet.gossip(3, 2);
    assert_eq!(status(&fleet, 2), PeerStatus::Alive);
}

#[test]
fn updates_of_a_replaced_incarnation_are_ignored() {
    let mut fleet = Agreement::init_test(&());
    fleet.heal_and_gossip();
    let old_updates = fleet.nodes[1].members.updates_for("r0", None, fleet.now);
    fleet.nodes[1] = Node::new(1, 77);
    fleet.heal_and_gossip();
    fleet.nodes[0].members.apply_updates(&old_updates, fleet.now);
    let (_, origin) = fleet.nodes[0].members.peer("r1").expect("r1 is listed");
    assert_eq!(origin.map(|origin| origin.incarnation), Some(77));
}

#[test]
fn peers_stay_alive_after_a_long_pause_without_heartbeats() {
    let mut fleet = Agreement::init_test(&());
    fleet.heal_and_gossip();
    fleet.now += 60_000;
    assert_eq!(fleet.nodes[0].members.alive(fleet.now).len(), ROUTERS);
}

#[test]
fn heartbeats_reach_every_peer_in_a_round() {
    let mut fleet = Agreement::init_test(&());
    let ticks = (ROUTERS - 1).div_ceil(MemberSettings::default().fanout);
    let reached: BTreeSet<Name> =
        (0..ticks).flat_map(|_| fleet.nodes[0].members.next_peers()).collect();
    assert_eq!(reached.len(), ROUTERS - 1);
}
