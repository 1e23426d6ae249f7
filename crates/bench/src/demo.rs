//! Demo: starts a fleet of three routers with stand-ins and sends a request of
//! each kind.

use std::time::Duration;

use crate::caller::{CallEnd, HttpCaller};
use crate::launch::RunningFleet;
use crate::plan::{ExampleSite, FleetPlan};

/// Number of routers in the fleet.
const ROUTERS: usize = 3;
/// Number of tokens in the streamed answer.
const TOKENS: u64 = 12;

/// Runs the demo for both example sites. With `keep`, runs it for the first site
/// only and keeps the fleet running until Ctrl-C.
///
/// # Errors
/// Returns an error if a process does not start or a request does not get the
/// expected answer.
pub fn run_demo(keep: bool) -> anyhow::Result<()> {
    ntex::rt::System::new("demo", ntex::rt::DefaultRuntime).block_on(async move {
        run_site(ExampleSite::Alliance, keep).await?;
        if !keep {
            run_site(ExampleSite::Agency, false).await?;
        }
        Ok(())
    })
}

async fn run_site(site: ExampleSite, keep: bool) -> anyhow::Result<()> {
    let caller = HttpCaller::start().await?;
    let (engine_count, plain_count) = site.replicas();
    println!(
        "== {}: {ROUTERS} routers, {engine_count} engines of {}, {plain_count} replicas of {}",
        site.region(),
        site.model_service(),
        site.plain_service()
    );
    let mut fleet = RunningFleet::start(FleetPlan::new(site, ROUTERS), &caller).await?;
    let accounts = fleet.plan.account_weights()?;
    for (index, (account, _)) in accounts.iter().take(2).enumerate() {
        send_requests(&caller, &fleet, index, account).await?;
    }
    print_decisions(&fleet);
    if keep {
        wait_for_interrupt(&fleet, &accounts[0].0).await;
    }
    let failed = fleet.drain()?;
    anyhow::ensure!(failed.is_empty(), "step=drain: {}", failed.join(", "));
    println!("all routers drained and exited with 0\n");
    Ok(())
}

/// Sends one request of each kind for an account and prints the results.
async fn send_requests(
    caller: &HttpCaller,
    fleet: &RunningFleet,
    index: usize,
    account: &str,
) -> anyhow::Result<()> {
    let site = fleet.plan.site;
    let queried = fleet.routers[index % fleet.routers.len()].address;
    let addresses = caller.addresses(queried, account).await?;
    println!("{account} asks {queried} for its routers: {addresses:?}");
    let router = addresses[0];
    let nonce = format!("demo-{account}");
    let mut received = 0;
    let stream = caller
        .stream(router, account, site.model_service(), &nonce, TOKENS, || received += 1)
        .await;
    anyhow::ensure!(stream.end == CallEnd::Answered, "step=stream: {:?}", stream.end);
    println!(
        "  stream of {}: {received} tokens, the first after {:.1?}",
        site.model_service(),
        stream.first_token.unwrap_or_default()
    );
    let (at_most_once_path, idempotent_path) = site.plain_paths();
    let service = site.plain_service();
    let end = caller.call_plain(router, account, service, idempotent_path, &nonce, None).await;
    anyhow::ensure!(end == CallEnd::Answered, "step=plain: {end:?}");
    println!("  {service}{idempotent_path}: answered");
    let key = caller.issue_key(router, account).await?;
    let nonce = format!("{nonce}-once");
    for copy in ["first copy", "repeat"] {
        let end = caller
            .call_plain(router, account, service, at_most_once_path, &nonce, Some(&key))
            .await;
        anyhow::ensure!(end == CallEnd::Answered, "step=once: {end:?}");
        println!("  {service}{at_most_once_path} with a key, {copy}: answered");
    }
    let mut runs = 0;
    for target in fleet.targets.iter().filter(|target| target.service == service) {
        let stats = caller.get_json(&format!("http://{}/test/stats", target.address)).await?;
        runs += stats["runs"][&nonce].as_u64().unwrap_or(0);
    }
    println!("  the service ran the call {runs} time(s)");
    anyhow::ensure!(runs == 1, "step=once: ran {runs} times");
    Ok(())
}

fn print_decisions(fleet: &RunningFleet) {
    println!("decisions:");
    for router in &fleet.routers {
        for line in router.log_lines(&["unit=\"route\"", "request="]) {
            println!("  {line}");
        }
    }
}

/// Prints how to reach the fleet and waits for Ctrl-C.
async fn wait_for_interrupt(fleet: &RunningFleet, account: &str) {
    println!("The fleet is running; press Ctrl-C to stop it. Routers:");
    for router in &fleet.routers {
        println!("  {} callers: {} peers: {}", router.name, router.address, router.peer_address);
    }
    let credential = crate::caller::credential(account);
    let service = fleet.plan.site.model_service();
    println!(
        "try: curl -N -H 'authorization: Bearer {credential}' -d '{{\"nonce\":\"n1\",\"tokens\":20}}' \
         http://{}/v1/call/{service}/generate",
        fleet.routers[0].address
    );
    let mut interrupt = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::interrupt());
    match &mut interrupt {
        Ok(interrupt) => {
            interrupt.recv().await;
        }
        Err(_) => tokio::time::sleep(Duration::from_secs(3_600)).await,
    }
}
