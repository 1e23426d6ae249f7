//! Property test of targets that start again under their names, beside an oracle that knows when
//! each process started and ended: refused connections, answers that are on their way, entries,
//! removals, messages that are late or lost, and domains that are taken back.

mod common;

use std::collections::BTreeSet;

use common::entry;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use target::{ColdTargets, DowntimeNotice, TargetEntry, TargetRecord, TargetState};

const ID: &str = "t";
const START_MS: u64 = 3_000;
/// Longest cold time in milliseconds that a target is given at a time.
const MAX_COLD_MS: u64 = START_MS;
const INSTANCES: usize = 3;
/// Difference between the clocks of two instances, in milliseconds.
const CLOCK_STEP_MS: u64 = 7_777;
/// Longest time in milliseconds that a message takes.
const DELAY_MS: u64 = 50;
/// Shortest time between two ends of processes: refused connections within it count as one.
const MIN_UP_MS: u64 = 1_500;

#[derive(Clone, Debug)]
enum Step {
    End,
    Start,
    /// The target writes its entry.
    Publish,
    Connect(usize),
    Answer(usize),
    Read(usize),
    Remove(usize),
    TakeBack(usize),
    Post(usize, usize),
    Deliver(usize),
    Lose(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let instance = || 0..INSTANCES;
    let step = prop_oneof![
        3 => Just(Step::End),
        2 => Just(Step::Start),
        1 => Just(Step::Publish),
        6 => instance().prop_map(Step::Connect),
        6 => instance().prop_map(Step::Answer),
        1 => instance().prop_map(Step::Read),
        1 => instance().prop_map(Step::Remove),
        1 => instance().prop_map(Step::TakeBack),
        4 => (instance(), instance()).prop_map(|(from, to)| Step::Post(from, to)),
        5 => (0usize..4).prop_map(Step::Deliver),
        1 => (0usize..4).prop_map(Step::Lose),
        4 => (1u64..30).prop_map(Step::Wait),
        6 => (1u64..900).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..160)
}

/// One process of the target; `started_at` is true time.
#[derive(Clone, Copy, Debug)]
struct Process {
    started_at: u64,
    ended_at: Option<u64>,
}

#[derive(Debug, Default)]
struct Instance {
    targets: ColdTargets,
    entry: Option<TargetEntry>,
    revision: u64,
    /// Requests on their way, by the time at which they were written on its clock.
    sent: Vec<u64>,
    /// When it was refused last, on its clock, if it got no answer since.
    refused_at: Option<u64>,
    /// The last process that it knows to have ended.
    knows_ended: Option<usize>,
}

struct World {
    now: u64,
    processes: Vec<Process>,
    /// Incarnation and revision of the entry in the source.
    published: (u64, u64),
    instances: Vec<Instance>,
    /// Receiver, true time of sending, and content.
    messages: Vec<(usize, u64, Vec<DowntimeNotice>)>,
    /// For each piece of evidence, the process that ended, the earliest one if there are several.
    evidence: Vec<((u64, u32), usize)>,
}

fn clock(instance: usize, now: u64) -> u64 {
    now + CLOCK_STEP_MS * (instance as u64 + 1)
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: 1_000,
            processes: vec![Process { started_at: 0, ended_at: None }],
            published: (1, 1),
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            messages: Vec::new(),
            evidence: Vec::new(),
        };
        (0..INSTANCES).for_each(|instance| world.read(instance, true));
        world
    }

    fn is_up(&self) -> bool {
        self.processes.last().is_some_and(|process| process.ended_at.is_none())
    }

    fn read(&mut self, index: usize, is_first: bool) {
        let (incarnation, revision) = self.published;
        let now = clock(index, self.now);
        let instance = &mut self.instances[index];
        let entry = entry(ID, incarnation, TargetState::Serving);
        instance.revision = instance.revision.max(revision);
        let record = TargetRecord { id: ID.into(), entry: Some(entry.clone()), revision };
        let is_later = instance.entry.as_ref().is_some_and(|known| known.incarnation < incarnation);
        if instance.targets.record(&record, is_first, now) {
            instance.entry = Some(entry);
            if is_later {
                // What was known of earlier incarnations says nothing of this one.
                instance.knows_ended = None;
            }
        }
    }

    /// Records which process is known to have ended by the evidence that `index` now has.
    fn learn(&mut self, index: usize, notice: &DowntimeNotice) {
        let key = (notice.incarnation, notice.epoch);
        let ended = self.evidence.iter().find(|(known, _)| *known == key);
        let Some((_, ended)) = ended.copied() else { return };
        let instance = &mut self.instances[index];
        let current = instance.entry.as_ref().map_or(0, |entry| entry.incarnation);
        if notice.incarnation >= current && instance.knows_ended.is_none_or(|known| known < ended) {
            instance.knows_ended = Some(ended);
        }
    }

    fn newest(&mut self, index: usize) -> Option<DowntimeNotice> {
        let now = clock(index, self.now);
        self.instances[index].targets.downtime_notices(now).pop()
    }

    fn connect(&mut self, index: usize) {
        let now = clock(index, self.now);
        let Some(entry) = self.instances[index].entry.clone() else { return };
        if self.is_up() {
            self.instances[index].sent.push(now);
            return;
        }
        let before = self.newest(index);
        let refused_at = self.instances[index].refused_at.replace(now);
        let is_answered = before.as_ref().is_none_or(|known| known.answered_age.is_some());
        let is_new = is_answered && refused_at.is_none();
        let before = before.map(|notice| (notice.incarnation, notice.epoch));
        self.instances[index].targets.record_refused(&entry, now, now);
        let is_current = before.is_none_or(|(incarnation, _)| incarnation <= entry.incarnation);
        if is_new && is_current {
            self.instances[index].knows_ended = Some(self.processes.len() - 1);
        }
        let Some(notice) = self.newest(index) else { return };
        let key = (notice.incarnation, notice.epoch);
        if before != Some(key) {
            let ended = self.processes.len() - 1;
            match self.evidence.iter_mut().find(|(known, _)| *known == key) {
                Some((_, known)) => *known = ended.min(*known),
                None => self.evidence.push((key, ended)),
            }
            self.learn(index, &notice);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::End => {
                let now = self.now;
                if let Some(process) = self.processes.last_mut()
                    && now >= process.started_at + MIN_UP_MS
                {
                    process.ended_at.get_or_insert(now);
                }
            }
            Step::Start if !self.is_up() => {
                self.processes.push(Process { started_at: self.now, ended_at: None });
            }
            Step::Start => {}
            Step::Publish if self.is_up() => {
                self.published = (self.processes.len() as u64, self.published.1 + 1);
            }
            Step::Publish => {}
            Step::Connect(index) => self.connect(index),
            Step::Answer(index) => {
                let now = clock(index, self.now);
                let instance = &mut self.instances[index];
                let (Some(entry), false) = (&instance.entry, instance.sent.is_empty()) else {
                    return;
                };
                let sent_at = instance.sent.remove(0);
                instance.refused_at =
                    instance.refused_at.filter(|refused_at| sent_at <= *refused_at);
                instance.targets.record_answered(entry, sent_at, now);
            }
            Step::Read(index) => self.read(index, false),
            Step::Remove(index) => {
                let now = clock(index, self.now);
                self.published.1 += 1;
                let record =
                    TargetRecord { id: ID.into(), entry: None, revision: self.published.1 };
                self.instances[index].targets.record(&record, false, now);
                self.published.1 += 1;
            }
            Step::TakeBack(index) => {
                let now = clock(index, self.now);
                self.published.1 += 1;
                let revision = self.published.1;
                self.instances[index].targets.record_taken_back(&"a".into(), revision, now);
            }
            Step::Post(from, to) => {
                let now = clock(from, self.now);
                let notices = self.instances[from].targets.downtime_notices(now);
                self.messages.push((to, self.now, notices));
            }
            Step::Deliver(position) if position < self.messages.len() => {
                let (to, _, notices) = self.messages.remove(position);
                let now = clock(to, self.now);
                for notice in &notices {
                    self.instances[to].targets.merge_downtime(notice, now);
                    let known = self.newest(to);
                    if known.as_ref().is_some_and(|known| {
                        (known.incarnation, known.epoch) == (notice.incarnation, notice.epoch)
                    }) {
                        self.learn(to, notice);
                    }
                }
            }
            Step::Lose(position) if position < self.messages.len() => {
                self.messages.remove(position);
            }
            Step::Deliver(_) | Step::Lose(_) => {}
            Step::Wait(ms) => {
                self.now += ms;
                let now = self.now;
                self.messages.retain(|(_, sent_at, _)| now <= sent_at + DELAY_MS);
            }
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (index, instance) in self.instances.iter().enumerate() {
            let now = clock(index, self.now);
            let down_until = instance.targets.down_until(ID, START_MS, now);
            let until = instance.targets.cold_until(ID, START_MS).max(down_until);
            if let Some(ended) = instance.knows_ended {
                // It may start at once if it has not started yet.
                let next = self.processes.get(ended + 1);
                let end = next.map_or(self.now + 1, |next| next.started_at + START_MS);
                prop_assert!(
                    self.now >= end || until >= clock(index, end),
                    "instance {} at {} takes process {} for warm: {:?}",
                    index,
                    self.now,
                    ended + 1,
                    self.processes
                );
            }
            prop_assert!(down_until <= now + MAX_COLD_MS, "{} at {}", down_until, now);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 1_024,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(63_001),
        ..Config::default()
    })]

    /// Guards against a target that is taken for warm before its cold time after a restart has
    /// passed, though a connection to the process before was refused (FAILBACK).
    #[test]
    fn restarted_targets_are_cold_wherever_the_end_of_the_process_is_known(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            world.check()?;
        }
    }
}

fn notice(incarnation: u64, epoch: u32, answered_age: Option<u64>) -> DowntimeNotice {
    DowntimeNotice { id: ID.into(), incarnation, permit_incarnation: None, epoch, answered_age }
}

fn known_target(incarnation: u64) -> (ColdTargets, TargetEntry) {
    let mut targets = ColdTargets::default();
    let entry = entry(ID, incarnation, TargetState::Serving);
    let record = TargetRecord { id: ID.into(), entry: Some(entry.clone()), revision: 1 };
    targets.record(&record, true, 10);
    (targets, entry)
}

/// Guards against sound capacity that is lost for longer than a cold time, as a process refused
/// one connection and is in fact the same.
#[test]
fn a_process_that_answers_again_is_cold_for_its_cold_time_only() {
    let (mut targets, entry) = known_target(7);
    assert!(targets.record_refused(&entry, 1_000, 1_000));
    assert!(!targets.record_refused(&entry, 1_400, 1_400), "peers know it");
    assert_eq!(targets.down_until(ID, START_MS, 1_500), 1_500 + START_MS);
    assert!(!targets.record_answered(&entry, 900, 1_500), "written before");
    assert!(targets.record_answered(&entry, 1_450, 1_500));
    assert_eq!(targets.down_until(ID, START_MS, 9_000), 1_500 + START_MS);
    assert!(!targets.record_refused(&entry, 1_450, 1_600), "begun before the answer");
    assert_eq!(targets.down_until(ID, START_MS, 9_000), 1_500 + START_MS);
}

/// Guards against sound capacity that is cold for as long as one instance is refused by the link to it,
/// while it answers the others.
#[test]
fn refused_connections_count_once_until_the_instance_is_answered() {
    let (mut targets, entry) = known_target(7);
    assert!(targets.record_refused(&entry, 1_000, 1_000));
    assert!(targets.merge_downtime(&notice(7, 1, Some(10)), 1_200));
    for now in [1_300, 2_500, 9_000] {
        assert!(!targets.record_refused(&entry, now, now));
        assert_eq!(targets.down_until(ID, START_MS, now), 1_190 + START_MS);
    }
    assert!(!targets.record_answered(&entry, 9_500, 9_600), "peers know that it answers");
    assert!(targets.record_refused(&entry, 9_700, 9_700));
}

/// Guards against a cold time that each instance counts from its own first answer, so that it
/// goes on for as long as one of them sends nothing.
#[test]
fn the_first_answer_to_any_instance_counts() {
    let (mut targets, _) = known_target(7);
    assert!(targets.merge_downtime(&notice(7, 1, None), 1_000));
    assert!(targets.merge_downtime(&notice(7, 1, Some(100)), 2_000));
    assert!(!targets.merge_downtime(&notice(7, 1, Some(300)), 2_000));
    assert!(!targets.merge_downtime(&notice(7, 1, None), 2_500));
    assert_eq!(targets.down_until(ID, START_MS, 2_500), 1_700 + START_MS);
    assert!(targets.merge_downtime(&notice(7, 2, None), 2_600));
    assert_eq!(targets.down_until(ID, START_MS, 2_600), 2_600 + START_MS);
    targets.expire(2_600 + 60_000);
    assert_eq!(targets.down_until(ID, START_MS, 62_600), 0, "forgotten");
}

/// Guards against two issuers of the whole rate for one target, one for the entry before the
/// restart and one for the new one.
#[test]
fn permits_are_issued_under_the_incarnation_that_ended() {
    let (mut targets, entry) = known_target(7);
    assert_eq!(targets.permit_incarnation(ID), Some(7));
    targets.record_refused(&entry, 1_000, 1_000);
    let next = common::entry(ID, 8, TargetState::Serving);
    let record = TargetRecord { id: ID.into(), entry: Some(next.clone()), revision: 2 };
    targets.record(&record, false, 2_000);
    assert_eq!(targets.permit_incarnation(ID), Some(7));
    // The next process ends too, and an instance learns of both at once.
    targets.record_refused(&next, 3_000, 3_000);
    let told = targets.downtime_notices(3_000);
    let (mut other, _) = known_target(8);
    told.iter().for_each(|notice| assert!(other.merge_downtime(notice, 9_000)));
    assert_eq!(other.permit_incarnation(ID), Some(7));
    assert_eq!(other.down_until(ID, START_MS, 9_000), 9_000 + START_MS);
}

/// Guards against targets that are missing in each round of heartbeats, as messages to single peers
/// have taken their turns (FAILBACK).
#[test]
fn messages_to_single_peers_take_no_turns_of_the_rounds() {
    let mut targets = ColdTargets::default();
    let ids: Vec<String> = (0..24).map(|index| format!("t-{index:02}")).collect();
    for id in &ids {
        let notice = DowntimeNotice { id: id.as_str().into(), ..notice(1, 1, None) };
        assert!(targets.merge_downtime(&notice, 1_000));
    }
    let mut told = BTreeSet::new();
    for _ in 0..4 {
        let round = targets.downtime_notices(1_100);
        told.extend(round.iter().map(|notice| notice.id.to_string()));
        assert!(!targets.downtime_notices_for_one(1_100).is_empty());
    }
    assert_eq!(told, ids.into_iter().collect());
}
