//! Measures how the control cost of one router grows with the size of the fleet.

use std::time::Duration;

use serde::Serialize;

use crate::caller::HttpCaller;
use crate::launch::RunningFleet;
use crate::measure::{largest_rss_mb, read_control_costs};
use crate::plan::{ExampleSite, FleetPlan};

/// Time for a fleet to settle before it is measured, in seconds.
const WARM_UP_SECONDS: u64 = 4;

/// Costs at one point of an axis, printed as a line of JSON.
#[derive(Debug, Serialize)]
struct SlopeLine {
    /// Name of the size that varies.
    axis: &'static str,
    /// Value of that size.
    value: usize,
    routers: usize,
    /// Requests per second, summed over the fleet.
    rate: f64,
    control_bytes_per_node_s: f64,
    control_messages_per_node_s: f64,
    control_cpu_percent: f64,
    rss_mb: f64,
}

/// Measures fleets of different sizes and prints a line of JSON for each.
///
/// # Errors
/// Returns an error if a process does not start or a router does not drain.
pub fn run_slopes(seconds: u64) -> anyhow::Result<()> {
    ntex::rt::System::new("slopes", ntex::rt::DefaultRuntime).block_on(async move {
        let alliance = |routers| FleetPlan::new(ExampleSite::Alliance, routers).log("warn");
        for routers in [3, 9, 27, 54] {
            measure_point("routers", routers, alliance(routers), 0, seconds).await?;
        }
        for accounts in [16, 128, 990] {
            measure_point("accounts", accounts, alliance(3).accounts(accounts), 0, seconds).await?;
        }
        for listed in [0, 800, 3_200] {
            let plan = FleetPlan { listed_targets: listed, ..alliance(3) };
            measure_point("listed_targets", listed, plan, 0, seconds).await?;
        }
        for engines in [12, 48, 96] {
            let plan = FleetPlan { replicas: Some((engines, 3)), ..alliance(3) };
            measure_point("targets", engines.into(), plan, 0, seconds).await?;
        }
        // Backlogged accounts always have requests in progress, together as many as
        // there are slots or more. Each of them uses three of the nine routers.
        for backlogged in [16, 48, 99] {
            let plan = alliance(9).accounts(990);
            measure_point("backlogged", backlogged, plan, backlogged, seconds).await?;
        }
        Ok(())
    })
}

/// Measures one fleet while the first `backlogged` accounts send requests.
async fn measure_point(
    axis: &'static str,
    value: usize,
    plan: FleetPlan,
    backlogged: usize,
    seconds: u64,
) -> anyhow::Result<()> {
    /// Number of callers of each backlogged account.
    const CALLERS_PER_ACCOUNT: usize = 3;
    let caller = HttpCaller::start().await?;
    let routers = plan.routers;
    let accounts = plan.account_weights()?;
    let service = plan.site.model_service();
    let mut fleet = RunningFleet::start(plan, &caller).await?;
    let addresses: Vec<_> = fleet.routers.iter().map(|router| router.peer_address).collect();
    let completed = std::rc::Rc::new(std::cell::Cell::new(0_u64));
    let stopped = std::rc::Rc::new(std::cell::Cell::new(false));
    for (account, (name, _)) in accounts.into_iter().enumerate().take(backlogged) {
        for number in 0..CALLERS_PER_ACCOUNT {
            let router = fleet.routers[(account + number) % routers].address;
            let (caller, name) = (caller.clone(), name.clone());
            let (completed, stopped) = (completed.clone(), stopped.clone());
            ntex::rt::spawn(async move {
                while !stopped.get() {
                    let nonce = format!("{name}-{number}-{}", completed.get());
                    caller.stream(router, &name, service, &nonce, 40, || ()).await;
                    completed.set(completed.get() + 1);
                }
            });
        }
    }
    tokio::time::sleep(Duration::from_secs(WARM_UP_SECONDS)).await;
    let completed_before = completed.get();
    let before = read_control_costs(&addresses, &caller).await;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = read_control_costs(&addresses, &caller).await;
    let node_seconds = (routers as u64 * seconds) as f64;
    let line = SlopeLine {
        axis,
        value,
        routers,
        rate: (completed.get() - completed_before) as f64 / seconds as f64,
        control_bytes_per_node_s: (after.bytes - before.bytes) / node_seconds,
        control_messages_per_node_s: (after.messages - before.messages) / node_seconds,
        control_cpu_percent: (after.cpu_ms - before.cpu_ms) / 10.0 / node_seconds,
        rss_mb: largest_rss_mb(&fleet),
    };
    println!("{}", serde_json::to_string(&line)?);
    stopped.set(true);
    let failed = fleet.drain()?;
    anyhow::ensure!(failed.is_empty(), "step=drain: {}", failed.join(", "));
    Ok(())
}
