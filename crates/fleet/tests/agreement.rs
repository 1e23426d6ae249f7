//! Stateful fuzzing of revisions, leaving targets and membership against the
//! highest facts that anyone reachable was told.

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
    /// A router reads a document from the service, which may be stale, rolled
    /// back, invalid or another one under the same number.
    Read {
        router: usize,
        revision: u64,
        content: u8,
    },
    /// A router reads the list; `leaving` is what that read says.
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
    Wake {
        router: usize,
    },
    Cut {
        mask: u8,
    },
    Drain {
        router: usize,
    },
}

#[derive(Clone, Debug)]
struct AnyHistory;

impl ReferenceStateMachine for AnyHistory {
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
            1 => router.clone().prop_map(|router| Step::Wake { router }),
            1 => (0..16_u8).prop_map(|mask| Step::Cut { mask }),
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
    group: u8,
}

impl Node {
    fn new(index: usize, life: u64) -> Self {
        let origin = Origin { instance: name(index), incarnation: life };
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

    /// Content 0 is refused by the acceptance check.
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
    lives: u64,
    /// Targets that any router of a life that still runs was told of.
    told: Vec<BTreeSet<Name>>,
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
        let can = |node: &Node| !node.paused;
        if from == to || !can(&self.nodes[from]) {
            return;
        }
        if self.nodes[from].group != self.nodes[to].group || !can(&self.nodes[to]) {
            self.nodes[from].members.record_failure(&name(to), self.now);
            return;
        }
        let sender = &self.nodes[from];
        let knows = self.nodes[to].members.known_count();
        let beats = sender.members.updates_for(&name(to), Some(knows), self.now);
        let (revision, content) = (sender.gate.revision(), sender.content);
        let leaving: Vec<Name> = sender.leaving.names().cloned().collect();
        let known = self.told[from].clone();
        let receiver = &mut self.nodes[to];
        receiver.members.apply_updates(&beats, self.now);
        receiver.leaving.add_names(&leaving);
        if revision > receiver.gate.revision() {
            receiver.offer(revision, content);
        }
        self.told[to].extend(known);
    }

    /// Everyone hears from everyone, twice, with the faults over.
    fn agree(&mut self) {
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
    type Reference = AnyHistory;

    fn init_test((): &()) -> Fleet {
        Fleet {
            nodes: (0..ROUTERS).map(|index| Node::new(index, index as u64)).collect(),
            now: 1_000,
            lives: 100,
            told: vec![BTreeSet::new(); ROUTERS],
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
                let told = (0..TARGETS).filter(|index| leaving[*index]).map(target);
                fleet.told[router].extend(told);
            }
            Step::Gossip { from, to } => fleet.gossip(from, to),
            Step::Tick { ms } => fleet.now += ms,
            Step::Restart { router } => {
                fleet.lives += 1;
                let group = fleet.nodes[router].group;
                fleet.nodes[router] = Node { group, ..Node::new(router, fleet.lives) };
                fleet.told[router].clear();
            }
            Step::Pause { router } => fleet.nodes[router].paused = true,
            Step::Wake { router } => fleet.nodes[router].paused = false,
            Step::Cut { mask } => {
                for (index, node) in fleet.nodes.iter_mut().enumerate() {
                    node.group = (mask >> index) & 1;
                }
            }
            Step::Drain { router } => {
                fleet.nodes[router].draining = true;
                fleet.nodes[router].members.drain();
            }
        }
        for (node, told) in fleet.nodes.iter().zip(&fleet.told) {
            for name in told {
                assert!(node.leaving.contains(name), "{name} stopped leaving");
            }
        }
        fleet
    }

    fn teardown(mut fleet: Fleet, (): ()) {
        fleet.agree();
        let now = fleet.now;
        let highest = fleet.nodes.iter().map(|node| node.gate.revision()).max().unwrap_or(0);
        let told: BTreeSet<Name> = fleet.told.iter().flatten().cloned().collect();
        let taking: Vec<Name> =
            (0..ROUTERS).filter(|index| !fleet.nodes[*index].draining).map(name).collect();
        for (index, node) in fleet.nodes.iter().enumerate() {
            assert_eq!(node.gate.revision(), highest, "r{index} lacks the highest revision");
            assert!(told.iter().all(|name| node.leaving.contains(name)), "r{index} lacks leaving");
            assert_eq!(node.members.alive(now), taking, "r{index} sees others");
            let answer = select_routers(&node.members, &AddressSettings::default(), "a", 0, now);
            assert!(answer.iter().all(|name| taking.contains(name)), "answer names {answer:?}");
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
fn a_failed_peer_is_suspected_by_hearsay_and_refutes_it() {
    let settings = MemberSettings::default();
    let mut fleet = Agreement::init_test(&());
    fleet.agree();
    fleet.nodes[0].members.record_failure(&name(1), fleet.now);
    fleet.gossip(0, 2);
    let status = |fleet: &Fleet, router: usize| fleet.nodes[router].members.status("r1", fleet.now);
    assert_eq!(status(&fleet, 0), PeerStatus::Suspect);
    assert_eq!(status(&fleet, 2), PeerStatus::Alive, "hearsay leaves time to refute");
    fleet.now += settings.refute_timeout + 1;
    assert_eq!(status(&fleet, 2), PeerStatus::Suspect);
    fleet.now += settings.gone_after;
    assert_eq!(status(&fleet, 2), PeerStatus::Gone);
    // It hears of the suspicion and outbids it.
    fleet.gossip(2, 1);
    fleet.gossip(1, 3);
    fleet.gossip(3, 2);
    assert_eq!(status(&fleet, 2), PeerStatus::Alive);
}

#[test]
fn an_old_life_never_returns() {
    let mut fleet = Agreement::init_test(&());
    fleet.agree();
    let old = fleet.nodes[1].members.updates_for("r0", None, fleet.now);
    fleet.nodes[1] = Node::new(1, 77);
    fleet.agree();
    fleet.nodes[0].members.apply_updates(&old, fleet.now);
    let (_, origin) = fleet.nodes[0].members.peer("r1").expect("r1 is listed");
    assert_eq!(origin.map(|origin| origin.incarnation), Some(77));
}

#[test]
fn a_router_that_wakes_late_does_not_take_itself_for_the_only_one() {
    let mut fleet = Agreement::init_test(&());
    fleet.agree();
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
