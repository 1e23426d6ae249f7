//! Times of single steps: a document's way into force, the last request to a
//! leaving target, and what the router adds to a request.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::caller::{CallEnd, HttpCaller};
use crate::launch::{ChildProcess, RunningFleet, free_address};
use crate::plan::{FleetPlan, UserSite};

/// Documents published for each case.
const PUBLISHES: u64 = 20;
/// Requests of each way that is timed one by one.
const SINGLE_REQUESTS: u64 = 3_000;
/// Requests of each way under load, and callers at once.
const LOAD_REQUESTS: u64 = 20_000;
const LOAD_CALLERS: u64 = 32;

/// Measures and prints a JSON line for each case.
///
/// # Errors
/// A process does not start, or a document is not in force in a minute.
pub fn run_latency() -> anyhow::Result<()> {
    ntex::rt::System::new("latency", ntex::rt::DefaultRuntime).block_on(async move {
        measure_spread().await?;
        measure_leaving().await?;
        measure_overhead().await
    })
}

async fn measure_spread() -> anyhow::Result<()> {
    const ROUTERS: usize = 9;
    let caller = HttpCaller::start().await?;
    let plan = FleetPlan::new(UserSite::Alliance, ROUTERS).log("warn");
    let mut fleet = RunningFleet::start(plan, &caller).await?;
    // Watches begin after the first plain read.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut revision = 1;
    publish_many(&fleet, &caller, "up", ROUTERS, &mut revision).await?;
    fleet.set_platform(&caller, &json!({ "slow_ms": 1_000 })).await?;
    publish_many(&fleet, &caller, "slow by 1 s", ROUTERS, &mut revision).await?;
    fleet.set_platform(&caller, &json!({ "slow_ms": 0 })).await?;
    // The failure domain of router 0 keeps one router; the others keep none.
    (1..ROUTERS).filter(|index| *index != 3).for_each(|index| fleet.kill(index));
    let calls = fleet.platform_calls(&caller).await?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    publish_many(&fleet, &caller, "2 of 9 routers left", 4, &mut revision).await?;
    let line = json!({ "case": "calls on the service so far", "calls": calls });
    println!("{line}");
    Ok(())
}

async fn publish_many(
    fleet: &RunningFleet,
    caller: &HttpCaller,
    case: &str,
    routers: usize,
    revision: &mut u64,
) -> anyhow::Result<()> {
    let mut times = Histogram::<u64>::new_with_bounds(1, 120_000, 3)?;
    let text = fleet.plan.site.document();
    for _ in 0..PUBLISHES {
        *revision += 1;
        let document = format!("// {revision}\n{text}");
        fleet.set_platform(caller, &json!({ "revision": *revision, "document": document })).await?;
        let start = Instant::now();
        for index in 0..routers {
            if fleet.routers[index].process.is_none() {
                continue;
            }
            while fleet.status(caller, index).await?["revision"] != *revision {
                anyhow::ensure!(start.elapsed().as_secs() < 60, "not in force in a minute");
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
        times.saturating_record(u64::try_from(start.elapsed().as_millis())?.max(1));
    }
    let line = json!({
        "case": "publish to in force everywhere", "service": case, "routers": routers,
        "publishes": PUBLISHES, "p50_ms": times.value_at_quantile(0.5), "max_ms": times.max(),
    });
    println!("{line}");
    Ok(())
}

async fn measure_leaving() -> anyhow::Result<()> {
    const ROUTERS: usize = 9;
    let caller = HttpCaller::start().await?;
    let plan = FleetPlan::new(UserSite::Alliance, ROUTERS).log("warn");
    let fleet = RunningFleet::start(plan, &caller).await?;
    let stopped = Rc::new(Cell::new(false));
    let service = fleet.plan.site.plain_service();
    for number in 0..18 {
        let (caller, stopped) = (caller.clone(), stopped.clone());
        let router = fleet.routers[number % ROUTERS].address;
        ntex::rt::spawn(async move {
            let mut turn = 0;
            while !stopped.get() {
                turn += 1;
                let nonce = format!("leave-{number}-{turn}");
                caller
                    .call_plain(router, "bass-line", service, "/manifests/check", &nonce, None)
                    .await;
            }
        });
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let target = fleet.targets.iter().find(|target| target.service == service);
    let target = target.ok_or_else(|| anyhow::anyhow!("no replica"))?.clone();
    let instances = fleet.instances(&[&target.name]);
    fleet.set_platform(&caller, &json!({ "instances": instances })).await?;
    let start = Instant::now();
    let url = format!("http://{}/test/stats", target.address);
    let mut runs = 0;
    let mut last = Duration::ZERO;
    while start.elapsed() < Duration::from_secs(10) {
        let stats = caller.get_json(&url).await?;
        let now = stats["runs"].as_object().map_or(0, serde_json::Map::len);
        if now != runs {
            runs = now;
            last = start.elapsed();
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    stopped.set(true);
    let last_ms = u64::try_from(last.as_millis())?;
    println!("{}", json!({ "case": "leaving to last new request", "ms": last_ms, "runs": runs }));
    Ok(())
}

async fn measure_overhead() -> anyhow::Result<()> {
    let caller = HttpCaller::start().await?;
    let plan = FleetPlan { work_ms: 0, ..FleetPlan::new(UserSite::Alliance, 1).log("warn") };
    let fleet = RunningFleet::start(plan, &caller).await?;
    let service = fleet.plan.site.plain_service();
    let target = fleet.targets.iter().find(|target| target.service == service);
    let target = target.ok_or_else(|| anyhow::anyhow!("no replica"))?.address;
    let listen = free_address([127, 0, 0, 3].into(), 1)?;
    let arguments = ["pass", "--listen", &listen.to_string(), "--to", &target.to_string()];
    let pass = ChildProcess::start("poplar-standin", &arguments.map(str::to_owned), None)?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let router = fleet.routers[0].address;
    let router_pid = fleet.routers[0].process.as_ref().map_or(0, ChildProcess::pid);
    let path = format!("/v1/call/{service}/manifests/check");
    for (way, address, path, pid) in [
        ("pass-through", listen, path.as_str(), pass.pid()),
        ("router", router, path.as_str(), router_pid),
    ] {
        let line = time_way(&caller, way, address, path, pid).await?;
        println!("{line}");
    }
    Ok(())
}

async fn time_way(
    caller: &HttpCaller,
    way: &str,
    address: SocketAddr,
    path: &str,
    pid: u32,
) -> anyhow::Result<Value> {
    let mut times = Histogram::<u64>::new_with_bounds(1, 10_000_000, 3)?;
    for number in 0..SINGLE_REQUESTS {
        let start = Instant::now();
        one_call(caller, address, path, &format!("{way}-{number}")).await?;
        times.saturating_record(u64::try_from(start.elapsed().as_micros())?);
    }
    let before = cpu_ms(pid)?;
    let start = Instant::now();
    let callers = (0..LOAD_CALLERS).map(|place| async move {
        for number in 0..LOAD_REQUESTS / LOAD_CALLERS {
            one_call(caller, address, path, &format!("{way}-{place}-{number}")).await?;
        }
        anyhow::Ok(())
    });
    for result in futures_util::future::join_all(callers).await {
        result?;
    }
    let cpu_seconds = (cpu_ms(pid)? - before) / 1_000.0;
    Ok(json!({
        "case": "overhead", "way": way, "p50_us": times.value_at_quantile(0.5),
        "p99_us": times.value_at_quantile(0.99),
        "requests_per_s": LOAD_REQUESTS as f64 / start.elapsed().as_secs_f64(),
        "requests_per_core_s": LOAD_REQUESTS as f64 / cpu_seconds,
    }))
}

async fn one_call(
    caller: &HttpCaller,
    address: SocketAddr,
    path: &str,
    nonce: &str,
) -> anyhow::Result<()> {
    let service_path = path.strip_prefix("/v1/call/").unwrap_or(path);
    let (service, rest) = service_path.split_once('/').unwrap_or((service_path, ""));
    let end =
        caller.call_plain(address, "bass-line", service, &format!("/{rest}"), nonce, None).await;
    anyhow::ensure!(end == CallEnd::Answered, "step=call peer={address}: {end:?}");
    Ok(())
}

/// User and system time of a process, in milliseconds.
fn cpu_ms(pid: u32) -> anyhow::Result<f64> {
    /// Length of a clock tick of the proc file system, in milliseconds.
    const TICK_MS: f64 = 10.0;
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, rest) = text.rsplit_once(')').unwrap_or(("", &text));
    let times = rest.split_whitespace().skip(11).take(2);
    let ticks: f64 = times.filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    Ok(ticks * TICK_MS)
}
