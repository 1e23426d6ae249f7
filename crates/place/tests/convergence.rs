//! Stateful fuzzing of placement against the wanted state of the highest
//! accepted revision, with two believers and engines that ignore fencing.

use std::collections::BTreeMap;

use base::{Millis, Name};
use doc::VersionSpec;
use place::{EngineReport, OrderSettings, assign_versions, fencing_token, plan_orders};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ENGINES: usize = 6;
const ROUTERS: usize = 2;
const FLOOR: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Publish {
        trial: u32,
    },
    /// A router learns the newest document.
    Learn {
        router: usize,
    },
    /// A router sees the engines and gives orders, as if it owned them all.
    Order {
        router: usize,
    },
    /// An order under way arrives.
    Arrive {
        nth: usize,
    },
    Lose {
        nth: usize,
    },
    Loaded {
        engine: usize,
    },
    Restart {
        engine: usize,
    },
    Tick {
        ms: Millis,
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
        prop_oneof![
            1 => (0..=ENGINES as u32).prop_map(|trial| Step::Publish { trial }),
            2 => (0..ROUTERS).prop_map(|router| Step::Learn { router }),
            6 => (0..ROUTERS).prop_map(|router| Step::Order { router }),
            6 => (0..6_usize).prop_map(|nth| Step::Arrive { nth }),
            1 => (0..6_usize).prop_map(|nth| Step::Lose { nth }),
            5 => (0..ENGINES).prop_map(|engine| Step::Loaded { engine }),
            1 => (0..ENGINES).prop_map(|engine| Step::Restart { engine }),
            3 => (1..6_000_u64).prop_map(|ms| Step::Tick { ms }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Clone, Default)]
struct Engine {
    serving: Option<Name>,
    loading: Option<Name>,
    fence: u64,
}

#[derive(Clone)]
struct SentOrder {
    engine: usize,
    model: Name,
    fence: u64,
}

struct Site {
    /// Engines with an even number check the fencing number.
    engines: Vec<Engine>,
    published: (u64, u32),
    known: [(u64, u32); ROUTERS],
    ordered_at: [BTreeMap<usize, Millis>; ROUTERS],
    wire: Vec<SentOrder>,
    now: Millis,
}

fn engine_name(index: usize) -> Name {
    format!("e{index}").into()
}

fn wanted_of(trial: u32) -> BTreeMap<Name, Name> {
    let spec = |model: &str, replicas| VersionSpec { model: model.into(), replicas };
    let engines: Vec<Name> = (0..ENGINES).map(engine_name).collect();
    assign_versions(&[spec("trial", trial), spec("main", ENGINES as u32 - trial)], &engines)
}

impl Site {
    fn serving(&self) -> usize {
        self.engines.iter().filter(|engine| engine.serving.is_some()).count()
    }

    fn order(&mut self, router: usize) -> usize {
        let (revision, trial) = self.known[router];
        let reports: Vec<EngineReport> = self
            .engines
            .iter()
            .enumerate()
            .map(|(index, engine)| EngineReport {
                engine: engine_name(index),
                domain: format!("d{}", index % 2).into(),
                serving: engine.serving.clone(),
                loading: engine.loading.clone(),
                ordered_at: self.ordered_at[router].get(&index).copied(),
            })
            .collect();
        let settings = OrderSettings::default();
        let orders = plan_orders(&settings, &wanted_of(trial), &reports, FLOOR, |_| true, self.now);
        let serving = self.serving();
        let leaving = orders.iter().filter(|order| {
            reports.iter().any(|report| report.engine == order.engine && report.serving.is_some())
        });
        let after = serving - leaving.count();
        assert!(after >= FLOOR.min(serving), "orders leave {after} of {serving} serving");
        for order in &orders {
            let engine = reports.iter().position(|report| report.engine == order.engine);
            let engine = engine.expect("order is for a reported engine");
            self.ordered_at[router].insert(engine, self.now);
            let fence = fencing_token(revision, self.now);
            self.wire.push(SentOrder { engine, model: Name::clone(&order.model), fence });
        }
        orders.len()
    }

    fn arrive(&mut self, order: &SentOrder) {
        let checks = order.engine.is_multiple_of(2);
        let engine = &mut self.engines[order.engine];
        if checks && order.fence < engine.fence {
            return;
        }
        engine.fence = order.fence;
        if engine.serving.as_ref() != Some(&order.model) {
            engine.serving = None;
            engine.loading = Some(Name::clone(&order.model));
        }
    }

    fn load(&mut self, engine: usize) {
        let engine = &mut self.engines[engine];
        if let Some(model) = engine.loading.take() {
            engine.serving = Some(model);
        }
    }
}

struct Convergence;

impl StateMachineTest for Convergence {
    type SystemUnderTest = Site;
    type Reference = AnyHistory;

    fn init_test((): &()) -> Site {
        let engine = Engine { serving: Some("main".into()), ..Engine::default() };
        Site {
            engines: vec![engine; ENGINES],
            published: (1, 0),
            known: [(1, 0); ROUTERS],
            ordered_at: Default::default(),
            wire: Vec::new(),
            now: 0,
        }
    }

    fn apply(mut site: Site, (): &(), step: Step) -> Site {
        match step {
            Step::Publish { trial } => site.published = (site.published.0 + 1, trial),
            Step::Learn { router } => site.known[router] = site.published,
            Step::Order { router } => {
                site.order(router);
            }
            Step::Arrive { nth } if !site.wire.is_empty() => {
                let order = site.wire.remove(nth % site.wire.len());
                site.arrive(&order);
            }
            Step::Lose { nth } if !site.wire.is_empty() => {
                site.wire.remove(nth % site.wire.len());
            }
            Step::Arrive { .. } | Step::Lose { .. } => {}
            Step::Loaded { engine } => site.load(engine),
            Step::Restart { engine } => site.engines[engine] = Engine::default(),
            Step::Tick { ms } => site.now += ms,
        }
        site
    }

    /// Late orders arrive, both routers learn the document; then a bounded
    /// number of rounds brings every engine to the wanted state and keeps it.
    fn teardown(mut site: Site, (): ()) {
        for order in std::mem::take(&mut site.wire) {
            site.arrive(&order);
        }
        site.known = [site.published; ROUTERS];
        for _ in 0..4 * ENGINES {
            site.now += OrderSettings::default().retry_after;
            (0..ROUTERS).for_each(|router| {
                site.order(router);
            });
            for order in std::mem::take(&mut site.wire) {
                site.arrive(&order);
            }
            (0..ENGINES).for_each(|engine| site.load(engine));
        }
        let wanted = wanted_of(site.published.1);
        for (index, engine) in site.engines.iter().enumerate() {
            let name = engine_name(index);
            assert_eq!(engine.serving.as_ref(), wanted.get(&name), "{name}");
        }
        site.now += OrderSettings::default().retry_after;
        assert_eq!(site.order(0), 0, "orders go on though every engine is right");
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(20_264),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn engines_come_to_the_wanted_state(sequential 1..80 => Convergence);
}
