//! Latency measurements: from the publication of a document until every router
//! uses it, from the removal of a target until its last new request, and the
//! overhead that the router adds to a request.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::caller::{CallEnd, HttpCaller};
use crate::launch::{ChildProcess, RunningFleet};
use crate::plan::{ExampleSite, FleetPlan};
use crate::ports::free_address;

/// Number of documents published in each case.
const PUBLICATIONS: u64 = 20;
/// Number of requests through the router, and as many through the pass-through
/// proxy, that are sent and timed one after another.
const SEQUENTIAL_REQUESTS: u64 = 3_000;
/// Number of requests through the router, and as many through the pass-through
/// proxy, that are sent under load.
const LOAD_REQUESTS: u64 = 20_000;
/// Number of concurrent callers under load.
const LOAD_CALLERS: u64 = 32;

/// Measures every case and prints a line of JSON for each.
///
/// # Errors
/// Returns an error if a process does not start, a request fails, or a router does
/// not use a published document within a minute.
pub fn run_latency() -> anyhow::Result<()> {
    ntex::rt::System::new("latency", ntex::rt::DefaultRuntime).block_on(async move {
        measure_propagation().await?;
        measure_leaving().await?;
        measure_overhead().await
    })
}

/// Measures how long it takes until every router uses a published document.
async fn measure_propagation() -> anyhow::Result<()> {
    const ROUTERS: usize = 9;
    let caller = HttpCaller::start().await?;
    let plan = FleetPlan::new(ExampleSite::Alliance, ROUTERS).log("warn");
    let mut fleet = RunningFleet::start(plan, &caller).await?;
    // Routers start to watch the document after their first plain read of it.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut revision = 1;
    time_publications(&fleet, &caller, "up", ROUTERS, &mut revision).await?;
    fleet.set_platform(&caller, &json!({ "slow_ms": 1_000 })).await?;
    time_publications(&fleet, &caller, "slow by 1 s", ROUTERS, &mut revision).await?;
    fleet.set_platform(&caller, &json!({ "slow_ms": 0 })).await?;
    // Routers 0 and 3 remain, which share a failure domain. The other failure
    // domains have no router left.
    (1..ROUTERS).filter(|index| *index != 3).for_each(|index| fleet.kill(index));
    let calls = fleet.platform_calls(&caller).await?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    time_publications(&fleet, &caller, "2 of 9 routers left", 4, &mut revision).await?;
    let line = json!({ "case": "calls on the service so far", "calls": calls });
    println!("{line}");
    Ok(())
}

/// Publishes documents one after another and prints how long it took until every
/// running router among the first `routers` used them.
async fn time_publications(
    fleet: &RunningFleet,
    caller: &HttpCaller,
    case: &str,
    routers: usize,
    revision: &mut u64,
) -> anyhow::Result<()> {
    let mut times = Histogram::<u64>::new_with_bounds(1, 120_000, 3)?;
    let text = fleet.plan.site.document();
    for _ in 0..PUBLICATIONS {
        *revision += 1;
        let document = format!("// {revision}\n{text}");
        fleet.set_platform(caller, &json!({ "revision": *revision, "document": document })).await?;
        let start = Instant::now();
        for index in 0..routers {
            if fleet.routers[index].process.is_none() {
                continue;
            }
            while fleet.status(caller, index).await?["revision"] != *revision {
                anyhow::ensure!(
                    start.elapsed().as_secs() < 60,
                    "router {index} does not use revision {revision} after a minute"
                );
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
        times.saturating_record(u64::try_from(start.elapsed().as_millis())?.max(1));
    }
    let line = json!({
        "case": "publish to in force everywhere", "service": case, "routers": routers,
        "publishes": PUBLICATIONS, "p50_ms": times.value_at_quantile(0.5), "max_ms": times.max(),
    });
    println!("{line}");
    Ok(())
}

/// Measures how long a target gets new requests after it is listed as leaving.
async fn measure_leaving() -> anyhow::Result<()> {
    const ROUTERS: usize = 9;
    let caller = HttpCaller::start().await?;
    let plan = FleetPlan::new(ExampleSite::Alliance, ROUTERS).log("warn");
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
    let target = target.ok_or_else(|| anyhow::anyhow!("the plain service has no replica"))?.clone();
    let instances = fleet.instances(&[&target.name]);
    fleet.set_platform(&caller, &json!({ "instances": instances })).await?;
    let start = Instant::now();
    let url = format!("http://{}/test/stats", target.address);
    let mut runs = 0;
    let mut last_run = Duration::ZERO;
    while start.elapsed() < Duration::from_secs(10) {
        let stats = caller.get_json(&url).await?;
        let run_count = stats["runs"].as_object().map_or(0, serde_json::Map::len);
        if run_count != runs {
            runs = run_count;
            last_run = start.elapsed();
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    stopped.set(true);
    let last_run_ms = u64::try_from(last_run.as_millis())?;
    println!(
        "{}",
        json!({ "case": "leaving to last new request", "ms": last_run_ms, "runs": runs })
    );
    Ok(())
}

/// Compares requests through a router with requests through the pass-through
/// proxy.
async fn measure_overhead() -> anyhow::Result<()> {
    let caller = HttpCaller::start().await?;
    let plan = FleetPlan { work_ms: 0, ..FleetPlan::new(ExampleSite::Alliance, 1).log("warn") };
    let fleet = RunningFleet::start(plan, &caller).await?;
    let service = fleet.plan.site.plain_service();
    let target = fleet.targets.iter().find(|target| target.service == service);
    let target = target.ok_or_else(|| anyhow::anyhow!("the plain service has no replica"))?.address;
    let listen = free_address([127, 0, 0, 3].into(), 1)?;
    let arguments = ["pass", "--listen", &listen.to_string(), "--to", &target.to_string()];
    let proxy = ChildProcess::start("poplar-standin", &arguments.map(str::to_owned), None)?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let router = fleet.routers[0].address;
    let router_pid = fleet.routers[0].process.as_ref().map_or(0, ChildProcess::pid);
    let path = format!("/v1/call/{service}/manifests/check");
    for (way, address, path, pid) in [
        ("pass-through", listen, path.as_str(), proxy.pid()),
        ("router", router, path.as_str(), router_pid),
    ] {
        let line = time_requests(&caller, way, address, path, pid).await?;
        println!("{line}");
    }
    Ok(())
}

/// Times requests to `address`, first one after another, then under load together
/// with the CPU time of the process `pid`. `way` tells in the result and in the
/// nonces what the requests pass: the router or the pass-through proxy.
async fn time_requests(
    caller: &HttpCaller,
    way: &str,
    address: SocketAddr,
    path: &str,
    pid: u32,
) -> anyhow::Result<Value> {
    let mut times = Histogram::<u64>::new_with_bounds(1, 10_000_000, 3)?;
    for number in 0..SEQUENTIAL_REQUESTS {
        let start = Instant::now();
        send_call(caller, address, path, &format!("{way}-{number}")).await?;
        times.saturating_record(u64::try_from(start.elapsed().as_micros())?);
    }
    let before = cpu_ms(pid)?;
    let start = Instant::now();
    let callers = (0..LOAD_CALLERS).map(|place| async move {
        for number in 0..LOAD_REQUESTS / LOAD_CALLERS {
            send_call(caller, address, path, &format!("{way}-{place}-{number}")).await?;
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

/// Makes one plain call and checks that it is answered.
async fn send_call(
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

/// Returns the user and system time of a process, in milliseconds.
fn cpu_ms(pid: u32) -> anyhow::Result<f64> {
    /// Clock tick of the proc file system, in milliseconds.
    const TICK_MS: f64 = 10.0;
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, rest) = text.rsplit_once(')').unwrap_or(("", &text));
    let times = rest.split_whitespace().skip(11).take(2);
    let ticks: f64 = times.filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    Ok(ticks * TICK_MS)
}
