//! The demo: a fleet of three routers with stand-ins, and one request of each
//! kind through it.

use std::time::Duration;

use crate::caller::{CallEnd, HttpCaller};
use crate::launch::RunningFleet;
use crate::plan::{FleetPlan, UserSite};

/// Routers of the demo.
const ROUTERS: usize = 3;
/// Tokens of the streamed answer.
const TOKENS: u64 = 12;

/// Runs the demo for both users; with `keep` leaves the first fleet running.
///
/// # Errors
/// A process does not start, or a request is not answered as it should be.
pub fn run_demo(keep: bool) -> anyhow::Result<()> {
    ntex::rt::System::new("demo", ntex::rt::DefaultRuntime).block_on(async move {
        show_site(UserSite::Alliance, keep).await?;
        if !keep {
            show_site(UserSite::Agency, false).await?;
        }
        Ok(())
    })
}

async fn show_site(site: UserSite, keep: bool) -> anyhow::Result<()> {
    let caller = HttpCaller::start().await?;
    let (engines, plains) = site.replicas();
    println!(
        "== {}: {ROUTERS} routers, {engines} engines of {}, {plains} replicas of {}",
        site.region(),
        site.model_service(),
        site.plain_service()
    );
    let mut fleet = RunningFleet::start(FleetPlan::new(site, ROUTERS), &caller).await?;
    let accounts = fleet.plan.account_weights()?;
    for (index, (account, _)) in accounts.iter().take(2).enumerate() {
        show_requests(&caller, &fleet, index, account).await?;
    }
    show_decisions(&fleet);
    if keep {
        keep_running(&fleet, &accounts[0].0).await;
    }
    let failed = fleet.drain()?;
    anyhow::ensure!(failed.is_empty(), "step=drain: {}", failed.join(", "));
    println!("all routers drained and exited with 0\n");
    Ok(())
}

async fn show_requests(
    caller: &HttpCaller,
    fleet: &RunningFleet,
    index: usize,
    account: &str,
) -> anyhow::Result<()> {
    let site = fleet.plan.site;
    let any = fleet.routers[index % fleet.routers.len()].address;
    let addresses = caller.addresses(any, account).await?;
    println!("{account} asks {any} for its routers: {addresses:?}");
    let router = addresses[0];
    let nonce = format!("demo-{account}");
    let mut seen = 0;
    let stream =
        caller.stream(router, account, site.model_service(), &nonce, TOKENS, || seen += 1).await;
    anyhow::ensure!(stream.end == CallEnd::Answered, "step=stream: {:?}", stream.end);
    println!(
        "  stream of {}: {seen} tokens, the first after {:.1?}",
        site.model_service(),
        stream.first_token.unwrap_or_default()
    );
    let (once, repeatable) = site.plain_paths();
    let service = site.plain_service();
    let end = caller.call_plain(router, account, service, repeatable, &nonce, None).await;
    anyhow::ensure!(end == CallEnd::Answered, "step=plain: {end:?}");
    println!("  {service}{repeatable}: answered");
    let key = caller.issue_key(router, account).await?;
    let nonce = format!("{nonce}-once");
    for copy in ["first copy", "repeat"] {
        let end = caller.call_plain(router, account, service, once, &nonce, Some(&key)).await;
        anyhow::ensure!(end == CallEnd::Answered, "step=once: {end:?}");
        println!("  {service}{once} under a key, {copy}: answered");
    }
    let mut runs = 0;
    for target in fleet.targets.iter().filter(|target| target.service == service) {
        let stats = caller.get_json(&format!("http://{}/test/stats", target.address)).await?;
        runs += stats["runs"][&nonce].as_u64().unwrap_or(0);
    }
    println!("  the service ran it {runs} time(s)");
    anyhow::ensure!(runs == 1, "step=once: ran {runs} times");
    Ok(())
}

fn show_decisions(fleet: &RunningFleet) {
    println!("decisions:");
    for router in &fleet.routers {
        for line in router.log_lines(&["unit=\"route\"", "request="]) {
            println!("  {line}");
        }
    }
}

async fn keep_running(fleet: &RunningFleet, account: &str) {
    println!("running; end with Ctrl-C. Routers:");
    for router in &fleet.routers {
        println!("  {} callers {} peers {}", router.name, router.address, router.peer_address);
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
