//! Simulated fleet whose engines get more than they can serve, while routers hear of each
//! other every three seconds: what is granted follows the load of the engines.

use std::collections::{BinaryHeap, VecDeque};

use admit::{AccountShares, ShareSettings};
use base::Name;
use std::cmp::Reverse;
use target::{FullnessSamples, LoadReport};

const ROUTERS: usize = 60;
const ENGINES: usize = 33;
const SLOTS: usize = 16;
const ACCOUNTS: usize = 20;
/// Time that an engine takes for a request.
const SERVICE_MS: u64 = 600;
/// Requests a second that all engines serve.
const CAPACITY: f64 = (ENGINES * SLOTS) as f64 * 1_000.0 / SERVICE_MS as f64;
/// Cost of a request.
const COST: f64 = 1_000.0;
/// The capacity that the configuration names, and the demand, as factors of the real one.
const NAMED: f64 = 1.2;
const DEMAND: f64 = 1.5;
const TICK_MS: u64 = 5;
const WARM_UP_MS: u64 = 4_000;
const END_MS: u64 = 20_000;

#[derive(Default)]
struct Engine {
    running: usize,
    waiting: VecDeque<Sent>,
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
struct Sent {
    router: usize,
    engine: usize,
    sent_at: u64,
}

struct Router {
    shares: AccountShares,
    fullness: FullnessSamples,
    in_flight: usize,
    announced: usize,
}

/// What a fleet served after its warm-up.
struct Outcome {
    /// Requests that began in each second.
    served: Vec<f64>,
    /// Mean wait at an engine, in milliseconds.
    wait_ms: f64,
}

/// Runs a fleet whose routers announce their requests every `interval_ms` milliseconds and use
/// the reports of engines if `uses_reports`.
fn simulate(interval_ms: u64, uses_reports: bool) -> Outcome {
    let service: Name = "model".into();
    let mut routers: Vec<Router> = (0..ROUTERS)
        .map(|_| {
            let mut shares = AccountShares::new(ShareSettings::default());
            shares.set_capacity(CAPACITY * COST * NAMED);
            shares.set_peer_max_age(interval_ms * 5);
            let fullness = FullnessSamples::default();
            Router { shares, fullness, in_flight: 0, announced: 0 }
        })
        .collect();
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut ends: BinaryHeap<Reverse<(u64, Sent)>> = BinaryHeap::new();
    let mut outcome =
        Outcome { served: vec![0.0; ((END_MS - WARM_UP_MS) / 1_000) as usize], wait_ms: 0.0 };
    let mut begun = 0.0;
    let mut due = 0.0;
    let mut number = 0u64;
    let mut begin = |engine: &mut Engine, sent: Sent, now: u64, ends: &mut BinaryHeap<_>| {
        engine.running += 1;
        ends.push(Reverse((now + SERVICE_MS, sent)));
        if let Some(since) = now.checked_sub(WARM_UP_MS).filter(|_| now < END_MS) {
            outcome.served[(since / 1_000) as usize] += 1.0;
            outcome.wait_ms += (now - sent.sent_at) as f64;
            begun += 1.0;
        }
    };
    let mut now = 0;
    while now < END_MS {
        now += TICK_MS;
        while ends.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, sent))) = ends.pop() else { break };
            let engine = &mut engines[sent.engine];
            engine.running -= 1;
            if let Some(next) = engine.waiting.pop_front() {
                begin(engine, next, now, &mut ends);
            }
            let report = LoadReport {
                running: engine.running as u32,
                waiting: engine.waiting.len() as u32,
                slots: SLOTS as u32,
                slow_percent: None,
            };
            let router = &mut routers[sent.router];
            router.in_flight -= 1;
            router.fullness.record(&service, report, now);
        }
        announce(&mut routers, interval_ms, now);
        let announced: usize = routers.iter().map(|router| router.announced).sum();
        due += CAPACITY * DEMAND * TICK_MS as f64 / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            number += 1;
            let hash = base::stable_hash(&[&number.to_string()]);
            let (index, engine) = (hash as usize % ROUTERS, (hash >> 24) as usize % ENGINES);
            let account: Name = format!("account-{}", (hash >> 40) as usize % ACCOUNTS).into();
            let router = &mut routers[index];
            if router.shares.is_level_due(now) {
                let known = announced - router.announced + router.in_flight;
                let announced = known as f64 / (ENGINES * SLOTS) as f64;
                let reported = router.fullness.mean(&service, now).filter(|_| uses_reports);
                let fullness = reported.unwrap_or(announced);
                router.shares.set_fullness(fullness);
            }
            if !router.shares.admit_request(&account, COST, now).is_within {
                continue;
            }
            router.in_flight += 1;
            let sent = Sent { router: index, engine, sent_at: now };
            if engines[engine].running < SLOTS {
                begin(&mut engines[engine], sent, now, &mut ends);
            } else {
                engines[engine].waiting.push_back(sent);
            }
        }
    }
    outcome.wait_ms /= f64::max(begun, 1.0);
    outcome
}

/// Sends the announcements that are due.
fn announce(routers: &mut [Router], interval_ms: u64, now: u64) {
    for index in 0..routers.len() {
        let round = (now + index as u64 * interval_ms / ROUTERS as u64) / TICK_MS;
        if !round.is_multiple_of(interval_ms / TICK_MS) {
            continue;
        }
        let demands = routers[index].shares.own_demands(now);
        routers[index].announced = routers[index].in_flight;
        let peer: Name = format!("router-{index}").into();
        for (other, router) in routers.iter_mut().enumerate() {
            if other != index {
                let demands = demands.iter().cloned().collect();
                router.shares.update_peer(Name::clone(&peer), demands, now);
            }
        }
    }
}

/// Guards against engines that are flooded and idle by turns, as what is granted follows
/// announcements that are seconds old.
#[test]
fn overloaded_engines_stay_busy_while_announcements_are_rare() {
    let outcome = simulate(3_000, true);
    let least = outcome.served.iter().copied().fold(f64::MAX, f64::min) / CAPACITY;
    let mean = outcome.served.iter().sum::<f64>() / outcome.served.len() as f64 / CAPACITY;
    println!("least {least:.2} mean {mean:.2} wait {:.0} {:?}", outcome.wait_ms, outcome.served);
    assert!(mean > 0.85 && least > 0.7, "mean {mean:.2}, least {least:.2} of the capacity");
    assert!(outcome.wait_ms < 300.0, "requests wait for {:.0} ms", outcome.wait_ms);
}

/// The same with frequent announcements, whose sums are used.
#[test]
fn overloaded_engines_stay_busy_while_announcements_are_frequent() {
    let outcome = simulate(200, false);
    let mean = outcome.served.iter().sum::<f64>() / outcome.served.len() as f64 / CAPACITY;
    assert!(mean > 0.85, "mean {mean:.2} of the capacity");
    assert!(outcome.wait_ms < 300.0, "requests wait for {:.0} ms", outcome.wait_ms);
}
