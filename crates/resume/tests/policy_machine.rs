//! Stateful property test of two routers against an oracle that knows at which version each
//! stream began: versions that come and go, views that grow old, streams that are recorded, told,
//! taken up and forgotten, in any order.

use std::collections::BTreeMap;

use base::Name;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use resume::{
    LookupVerdict, ResumeDecision, ResumePolicy, ResumeSettings, StreamKey, StreamLookup,
    StreamOrigin, StreamRecord,
};

const SEED: u64 = 42_002;
const SERVICE: &str = "model";
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v2"];
const LONGEST_MS: u64 = 4_000;
/// Longest time in milliseconds between two steps.
const MAX_STEP_MS: u64 = 1_500;
/// A calm span in milliseconds, longer than a stream may be taken up, and the time between reads.
const CALM_MS: u64 = 10_000;
const READ_PERIOD_MS: u64 = 500;
const MAX_RECORDS: usize = 24;
const ROUTERS: usize = 2;

#[derive(Clone, Debug)]
enum Transition {
    Advance {
        ms: u64,
    },
    /// Time passes in which all routers read again and again.
    Calm,
    /// The targets that are published change.
    Publish {
        versions: [bool; 3],
    },
    /// A router reads what is published.
    Read {
        router: usize,
    },
    /// A router starts again.
    Restart {
        router: usize,
        learns: bool,
    },
    /// A router asks the other one what it has seen.
    Learn {
        router: usize,
    },
    /// A stream begins; its id may have been used before, by the same account.
    Begin {
        router: usize,
        version: usize,
        id: u8,
        is_told: bool,
    },
    TakeUp {
        router: usize,
        id: u8,
        answers: bool,
    },
}

/// What is true, whatever routers know.
#[derive(Clone, Debug, Default)]
struct Oracle {
    now: u64,
    published: Vec<Name>,
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self { now: 10_000, ..Self::default() }).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let router = 0..ROUTERS;
        let versions = prop::array::uniform3(any::<bool>());
        prop_oneof![
            8 => (1..MAX_STEP_MS).prop_map(|ms| Transition::Advance { ms }),
            1 => Just(Transition::Calm),
            2 => versions.prop_map(|versions| Transition::Publish { versions }),
            8 => router.clone().prop_map(|router| Transition::Read { router }),
            1 => (router.clone(), any::<bool>())
                .prop_map(|(router, learns)| Transition::Restart { router, learns }),
            2 => router.clone().prop_map(|router| Transition::Learn { router }),
            8 => (router.clone(), 0..VERSIONS.len(), 0u8..12, prop::bool::weighted(0.6)).prop_map(
                |(router, version, id, is_told)| Transition::Begin { router, version, id, is_told }
            ),
            8 => (router, 0u8..12, prop::bool::weighted(0.8))
                .prop_map(|(router, id, answers)| Transition::TakeUp { router, id, answers }),
        ]
        .boxed()
    }

    fn apply(mut oracle: Self, transition: &Transition) -> Self {
        match transition {
            Transition::Advance { ms } => oracle.now += ms,
            Transition::Calm => oracle.now += CALM_MS,
            Transition::Publish { versions } => {
                let published = VERSIONS.iter().zip(versions).filter(|(_, is_in)| **is_in);
                oracle.published = published.map(|(version, _)| Name::from(*version)).collect();
            }
            Transition::Read { .. }
            | Transition::Restart { .. }
            | Transition::Learn { .. }
            | Transition::Begin { .. }
            | Transition::TakeUp { .. } => {}
        }
        oracle
    }
}

struct Router {
    policy: ResumePolicy,
    known: Vec<Name>,
    confirmed_at: Option<u64>,
}

impl Router {
    fn start(now: u64) -> Self {
        let settings = ResumeSettings { max_records: MAX_RECORDS, ..ResumeSettings::default() };
        let mut policy = ResumePolicy::new(settings);
        policy.set_longest_stream(LONGEST_MS, now);
        policy.update_versions(std::iter::empty(), None, now);
        Self { policy, known: Vec::new(), confirmed_at: None }
    }

    fn view_age(&self, now: u64) -> Option<u64> {
        self.confirmed_at.map(|at| now - at)
    }
}

struct Machine {
    routers: Vec<Router>,
    /// Streams that began under each id.
    began: BTreeMap<u8, Vec<Begun>>,
}

#[derive(Clone, Debug)]
struct Begun {
    version: Name,
    at: u64,
    router: usize,
    /// It began at a router whose view was old, perhaps at a version that was gone, and its holder
    /// was not told.
    is_unheard: bool,
    /// Whether routers may mistake it: it began at a version that some of them may not know, as
    /// there was no other; its id was used before, and its holder was not told; or it was unheard
    /// and its router has started again.
    may_be_mistaken: bool,
}

fn key(id: u8) -> StreamKey {
    StreamKey::new(Some("account"), &format!("r-{id}"))
}

impl Machine {
    fn read(&mut self, oracle: &Oracle, router: usize, now: u64) {
        let own = &mut self.routers[router];
        own.known.clone_from(&oracle.published);
        let targets = own.known.iter();
        let targets = targets.map(|version| (SERVICE.into(), Name::clone(version)));
        own.policy.update_versions(targets, own.confirmed_at, now);
        own.confirmed_at = Some(now);
        let newly = own.policy.refresh(own.view_age(now), now);
        assert!(newly.len() <= 1, "one service: {newly:?}");
    }

    fn learn(&mut self, router: usize, now: u64) {
        let notice = self.routers[1 - router].policy.version_notice(now);
        self.routers[router].policy.merge_versions(notice, now);
    }

    fn begin(&mut self, oracle: &Oracle, router: usize, version: usize, id: u8, is_told: bool) {
        let now = oracle.now;
        let own = &self.routers[router];
        let unsettled = own.policy.unsettled_versions(SERVICE, now);
        let is_usable = |version: &&Name| !unsettled.contains(version);
        let usable: Vec<&Name> = own.known.iter().filter(is_usable).collect();
        let is_new = usable.is_empty();
        let usable = if is_new { own.known.iter().collect() } else { usable };
        let Some(version) = usable.get(version % usable.len().max(1)) else { return };
        let version = Name::clone(version);
        let origin = StreamOrigin { service: SERVICE.into(), version: Name::clone(&version) };
        let record = StreamRecord { key: key(id), origin };
        let view_age = own.view_age(now);
        let must_tell = own.policy.must_tell(SERVICE, view_age, now);
        self.routers[router].policy.record(&record, now);
        if must_tell && is_told {
            self.routers[1 - router].policy.record(&record, now);
        }
        let earlier = self.began.entry(id).or_default();
        let may_be_mistaken = is_new || !is_told && !earlier.is_empty();
        let is_fresh = view_age.is_some_and(|age| age <= ResumeSettings::default().fresh_ms);
        let is_unheard = !is_fresh && !is_told;
        earlier.push(Begun { version, at: now, router, is_unheard, may_be_mistaken });
    }

    fn take_up(&mut self, oracle: &Oracle, router: usize, id: u8, answers: bool) {
        let now = oracle.now;
        let service = Name::from(SERVICE);
        let own = &self.routers[router];
        let view_age = own.view_age(now);
        let version = match own.policy.decide(Some(key(id)), &service, view_age, now) {
            ResumeDecision::Began(origin) => Some(origin.version),
            ResumeDecision::Ambiguous => None,
            ResumeDecision::Ask(_) => {
                let own_answer = own.policy.answer(Some(key(id)), SERVICE, view_age, now);
                let mut lookup = StreamLookup::new(service, 1, own_answer);
                let other = &self.routers[1 - router];
                let other_age = other.view_age(now);
                let answer = other.policy.answer(Some(key(id)), SERVICE, other_age, now);
                let verdict = answers.then(|| lookup.record(answer)).flatten();
                match verdict.unwrap_or_else(|| lookup.conclude()) {
                    LookupVerdict::Began(origin) => Some(origin.version),
                    LookupVerdict::Unknown => None,
                }
            }
        };
        let window = LONGEST_MS + ResumeSettings::default().return_ms;
        let began = self.began.get(&id).map(Vec::as_slice).unwrap_or_default();
        let mut recent = began.iter().filter(|begun| now - begun.at < window);
        let Some(version) = version else { return };
        let is_right = recent.clone().next().is_none()
            || recent.any(|begun| begun.version == version || begun.may_be_mistaken);
        assert!(is_right, "{id} goes on at {version} at {now}: {began:?}");
    }
}

impl StateMachineTest for Machine {
    type Reference = Oracle;
    type SystemUnderTest = Self;

    fn init_test(oracle: &Oracle) -> Self {
        let routers = (0..ROUTERS).map(|_| Router::start(oracle.now)).collect();
        Self { routers, began: BTreeMap::new() }
    }

    fn apply(mut machine: Self, oracle: &Oracle, transition: Transition) -> Self {
        let now = oracle.now;
        match transition {
            Transition::Advance { .. } | Transition::Publish { .. } => {
                for router in &mut machine.routers {
                    let view_age = router.view_age(now);
                    router.policy.refresh(view_age, now);
                }
            }
            Transition::Calm => {
                for at in (now - CALM_MS..=now).step_by(READ_PERIOD_MS as usize) {
                    (0..ROUTERS).for_each(|router| machine.read(oracle, router, at));
                }
            }
            Transition::Read { router } => machine.read(oracle, router, now),
            Transition::Restart { router, learns } => {
                machine.routers[router] = Router::start(now);
                if learns {
                    machine.learn(router, now);
                }
                let all = machine.began.values_mut().flatten();
                let unheard = all.filter(|begun| begun.is_unheard && begun.router == router);
                unheard.for_each(|begun| begun.may_be_mistaken = true);
            }
            Transition::Learn { router } => machine.learn(router, now),
            Transition::Begin { router, version, id, is_told } => {
                machine.begin(oracle, router, version, id, is_told);
            }
            Transition::TakeUp { router, id, answers } => {
                machine.take_up(oracle, router, id, answers);
            }
        }
        let count = machine.routers.iter().map(|router| router.policy.record_count()).max();
        assert!(count <= Some(MAX_RECORDS), "{count:?} records");
        machine
    }
}

#[test]
fn streams_go_on_where_they_began() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed_bytes());
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(config.clone(), rng);
    let strategy = Oracle::sequential_strategy(1..160);
    let result = runner.run(&strategy, |(state, transitions, seen)| {
        Machine::test_sequential(config.clone(), state, transitions, seen);
        Ok(())
    });
    if let Err(cause) = result {
        panic!("{cause}");
    }
}

fn seed_bytes() -> [u8; 32] {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&SEED.to_le_bytes());
    bytes
}
