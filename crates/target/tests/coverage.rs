//! Stateful property test of what instances promise each other with a revision of the source: some
//! read it, others take changes from them, all start again at any time, and the source comes back
//! from a copy. The oracle is the history of the source.

mod common;

use base::Name;
use common::entry;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use target::{
    ERA_REVISIONS, RecordChange, RegistrySettings, TargetRecord, TargetRegistry, TargetState,
};

const TARGETS: usize = 4;
const INSTANCES: usize = 3;
const SEED: u64 = 64_003;
/// Time in milliseconds from one step to the next: a few lie in the time of a restored source.
const STEP_MS: usize = 700;

#[derive(Clone, Debug)]
enum Step {
    Write { target: usize, is_listed: bool },
    List(usize),
    Watch(usize),
    Restart(usize),
    Fetch { from: usize, by: usize, is_start: bool },
    Restore { lost: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let instance = || 0..INSTANCES;
    prop_oneof![
        6 => (0..TARGETS, any::<bool>())
            .prop_map(|(target, is_listed)| Step::Write { target, is_listed }),
        1 => instance().prop_map(Step::List),
        3 => instance().prop_map(Step::Watch),
        1 => instance().prop_map(Step::Restart),
        6 => (instance(), instance(), prop::bool::weighted(0.2))
            .prop_map(|(from, by, is_start)| Step::Fetch { from, by, is_start }),
        1 => (0u64..6).prop_map(|lost| Step::Restore { lost }),
    ]
}

fn id(target: usize) -> Name {
    format!("t{target}").into()
}

/// Every record of the source in the order of its revisions. A restored source begins with the
/// removal of all targets, and has what its copy has.
#[derive(Default)]
struct Source {
    era: u64,
    revision: u64,
    history: Vec<TargetRecord>,
}

impl Source {
    fn now(&self) -> u64 {
        self.era * ERA_REVISIONS + self.revision
    }

    fn write(&mut self, target: usize, is_listed: bool, revision: u64) {
        let entry = is_listed.then(|| entry(&id(target), 1, TargetState::Serving));
        self.history.push(TargetRecord { id: id(target), entry, revision });
    }

    /// Returns the newest record of a target up to a revision.
    fn newest(&self, target: usize, revision: u64) -> Option<&TargetRecord> {
        let id = id(target);
        self.history.iter().rfind(|record| record.id == id && record.revision <= revision)
    }

    fn listing(&self, revision: u64) -> Vec<TargetRecord> {
        let newest = (0..TARGETS).filter_map(|target| self.newest(target, revision));
        newest.filter(|record| record.entry.is_some()).cloned().collect()
    }

    fn restore(&mut self, lost: u64) {
        let copied = self.revision.saturating_sub(lost);
        let listing = self.listing(self.era * ERA_REVISIONS + copied);
        (self.era, self.revision) = (self.era + 1, copied);
        let base = self.era * ERA_REVISIONS;
        (0..TARGETS).for_each(|target| self.write(target, false, base));
        for record in listing {
            let revision = base + record.revision % ERA_REVISIONS;
            self.history.push(TargetRecord { revision, ..record });
        }
    }
}

#[derive(Default)]
struct Instance {
    registry: TargetRegistry,
    revision: u64,
}

impl Instance {
    fn new() -> Self {
        let settings = RegistrySettings { max_tombstones: 2, ..RegistrySettings::default() };
        Self { registry: TargetRegistry::new(settings), revision: 0 }
    }

    fn read(&mut self, source: &Source, is_listing: bool, now: u64) {
        let revision = source.now();
        let must_list = self.revision == 0 || self.revision / ERA_REVISIONS != source.era;
        let changes = if is_listing || must_list {
            self.registry.merge_listing(source.listing(revision), revision, now)
        } else {
            let newer = source.history.iter().filter(|record| record.revision > self.revision);
            self.registry.merge_changes(newer.cloned().collect(), revision, now)
        };
        self.advance(revision, &changes);
    }

    /// Moves on to a revision. In a later era, what a copy lacks drops no target at once.
    fn advance(&mut self, revision: u64, changes: &[(Name, RecordChange)]) {
        let is_later_era = revision / ERA_REVISIONS > self.revision / ERA_REVISIONS;
        if self.revision > 0 && is_later_era {
            let mut changes = changes.iter().map(|(_, change)| change);
            assert!(changes.all(|change| *change != RecordChange::Removed), "at {revision}");
        }
        self.revision = self.revision.max(revision);
    }

    fn check(&self, source: &Source) {
        let records = self.registry.records_since(0);
        for target in 0..TARGETS {
            let known = records.iter().find(|record| record.id == id(target));
            let newest = source.newest(target, self.revision);
            let published = newest.filter(|record| record.entry.is_some());
            if known.is_some_and(|known| known.revision > self.revision) {
                continue;
            }
            let known = known.filter(|known| known.entry.is_some());
            assert_eq!(known, published, "t{target} at revision {}", self.revision);
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against targets that left and are used on (DRAIN), as an instance that knows of no
    /// removals says that it is at a newer revision, or a peer that is behind still has them.
    #[test]
    fn instances_at_a_revision_know_what_the_source_has_there(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut source = Source::default();
        let mut instances: Vec<Instance> = (0..INSTANCES).map(|_| Instance::new()).collect();
        for (now, step) in (0..).step_by(STEP_MS).zip(steps) {
            match step {
                Step::Write { target, is_listed } => {
                    source.revision += 1;
                    source.write(target, is_listed, source.now());
                }
                Step::List(reader) => instances[reader].read(&source, true, now),
                Step::Watch(reader) => instances[reader].read(&source, false, now),
                Step::Restart(instance) => instances[instance] = Instance::new(),
                Step::Restore { lost } => source.restore(lost),
                Step::Fetch { from, by, is_start } => {
                    let (peer, own) = (instances[from].revision, instances[by].revision);
                    if peer > own || is_start {
                        let after = if is_start { 0 } else { own };
                        let registry = &instances[from].registry;
                        let (records, removals) =
                            (registry.records_since(after), registry.removals_after(after));
                        let by = &mut instances[by];
                        let changes =
                            by.registry.merge_peer_changes(records, peer, Some(removals), now);
                        by.advance(peer, &changes);
                    }
                }
            }
            instances.iter().for_each(|instance| instance.check(&source));
        }
    }
}
