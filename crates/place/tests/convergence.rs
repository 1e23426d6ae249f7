//! Property test of placement against the assignment of the latest document. Two
//! routers both act as owner of all engines, and some engines ignore fencing
//! tokens.

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
    /// A router reads the engines and gives orders, as if it owned all of them.
    Order {
        router: usize,
    },
    /// An order in flight arrives.
    Arrive {
        nth: usize,
    },
    /// An order in flight is lost.
    Lose {
        nth: usize,
    },
    /// An engine finishes loading.
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
    /// Fencing token of the last accepted order.
    fencing_token: u64,
}

#[derive(Clone)]
struct SentOrder {
    engine: usize,
    model: Name,
    fencing_token: u64,
}

/// Engines, the routers' views of the document and the orders in flight.
struct Simulation {
    /// Engines with an even index check fencing tokens.
    engines: Vec<Engine>,
    /// Revision and trial replicas of the latest document.
    published: (u64, u32),
    /// Revision and trial replicas of the document that each router knows.
    known: [(u64, u32); ROUTERS],
    ordered_at: [BTreeMap<usize, Millis>; ROUTERS],
    in_flight: Vec<SentOrder>,
    now: Millis,
}

fn engine_name(index: usize) -> Name {
    format!("e{index}").into()
}

fn assigned_versions(trial: u32) -> BTreeMap<Name, Name> {
    let spec = |model: &str, replicas| VersionSpec { model: model.into(), replicas };
    let engines: Vec<Name> = (0..ENGINES).map(engine_name).collect();
    assign_versions(&[spec("trial", trial), spec("main", ENGINES as u32 - trial)], &engines)
}

impl Simulation {
    fn serving(&self) -> usize {
        self.engines.iter().filter(|engine| engine.serving.is_some()).count()
    }

    /// Lets a router give orders by its known document. Returns their number.
    fn give_orders(&mut self, router: usize) -> usize {
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
        let orders =
            plan_orders(&settings, &assigned_versions(trial), &reports, FLOOR, |_| true, self.now);
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
            let fencing_token = fencing_token(revision, self.now);
            self.in_flight.push(SentOrder {
                engine,
                model: Name::clone(&order.model),
                fencing_token,
            });
        }
        orders.len()
    }

    fn arrive(&mut self, order: &SentOrder) {
        let checks_tokens = order.engine.is_multiple_of(2);
        let engine = &mut self.engines[order.engine];
        if checks_tokens && order.fencing_token < engine.fencing_token {
            return;
        }
        engine.fencing_token = order.fencing_token;
        if engine.serving.as_ref() != Some(&order.model) {
            engine.serving = None;
            engine.loading = Some(Name::clone(&order.model));
        }
    }

    fn finish_loading(&mut self, engine: usize) {
        let engine = &mut self.engines[engine];
        if let Some(model) = engine.loading.take() {
            engine.serving = Some(model);
        }
    }
}

struct Convergence;

impl StateMachineTest for Convergence {
    type SystemUnderTest = Simulation;
    type Reference = AnyHistory;

    fn init_test((): &()) -> Simulation {
        let engine = Engine { serving: Some("main".into()), ..Engine::default() };
        Simulation {
            engines: vec![engine; ENGINES],
            published: (1, 0),
            known: [(1, 0); ROUTERS],
            ordered_at: Default::default(),
            in_flight: Vec::new(),
            now: 0,
        }
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        match step {
            Step::Publish { trial } => simulation.published = (simulation.published.0 + 1, trial),
            Step::Learn { router } => simulation.known[router] = simulation.published,
            Step::Order { router } => {
                simulation.give_orders(router);
            }
            Step::Arrive { nth } if !simulation.in_flight.is_empty() => {
                let order = simulation.in_flight.remove(nth % simulation.in_flight.len());
                simulation.arrive(&order);
            }
            Step::Lose { nth } if !simulation.in_flight.is_empty() => {
                simulation.in_flight.remove(nth % simulation.in_flight.len());
            }
            Step::Arrive { .. } | Step::Lose { .. } => {}
            Step::Loaded { engine } => simulation.finish_loading(engine),
            Step::Restart { engine } => simulation.engines[engine] = Engine::default(),
            Step::Tick { ms } => simulation.now += ms,
        }
        simulation
    }

    /// Delivers late orders and the latest document to both routers. A bounded
    /// number of rounds must then bring every engine to its assigned version,
    /// after which no more orders are given.
    fn teardown(mut simulation: Simulation, (): ()) {
        for order in std::mem::take(&mut simulation.in_flight) {
            simulation.arrive(&order);
        }
        simulation.known = [simulation.published; ROUTERS];
        for _ in 0..4 * ENGINES {
            simulation.now += OrderSettings::default().retry_after;
            (0..ROUTERS).for_each(|router| {
                simulation.give_orders(router);
            });
            for order in std::mem::take(&mut simulation.in_flight) {
                simulation.arrive(&order);
            }
            (0..ENGINES).for_each(|engine| simulation.finish_loading(engine));
        }
        let assigned = assigned_versions(simulation.published.1);
        for (index, engine) in simulation.engines.iter().enumerate() {
            let name = engine_name(index);
            assert_eq!(engine.serving.as_ref(), assigned.get(&name), "{name}");
        }
        simulation.now += OrderSettings::default().retry_after;
        assert_eq!(
            simulation.give_orders(0),
            0,
            "orders are given although every engine serves its assigned version"
        );
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
    fn engines_converge_to_the_assigned_versions(sequential 1..80 => Convergence);
}
