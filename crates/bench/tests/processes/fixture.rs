//! Runs a test against the processes of a fleet.

use std::future::Future;
use std::sync::{Mutex, PoisonError};

use bench::{ExampleSite, FleetPlan, HttpCaller, RunningFleet};

/// Held while a fleet runs, so that tests do not slow each other down.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Model service of the example document.
pub const MODEL: &str = "briefing-models";
/// Plain service of the example document.
pub const APP: &str = "crewlink-app";
/// Path of the plain service whose calls must run at most once.
pub const AT_MOST_ONCE_PATH: &str = "/seats/confirm";
/// Path of the plain service whose calls are idempotent.
pub const IDEMPOTENT_PATH: &str = "/manifests/check";
/// Client account of the example document.
pub const ACCOUNT: &str = "bass-line";

/// Starts a fleet of the Alliance site and runs `test` against it.
pub fn with_fleet<F>(routers: usize, test: impl FnOnce(RunningFleet, HttpCaller) -> F + 'static)
where
    F: Future<Output = anyhow::Result<()>> + 'static,
{
    with_plan(FleetPlan::new(ExampleSite::Alliance, routers), test);
}

/// Starts the fleet of `plan` and runs `test` against it.
pub fn with_plan<F>(plan: FleetPlan, test: impl FnOnce(RunningFleet, HttpCaller) -> F + 'static)
where
    F: Future<Output = anyhow::Result<()>> + 'static,
{
    let _guard = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
    let result: anyhow::Result<()> = system.block_on(async move {
        let caller = HttpCaller::start().await?;
        let fleet = RunningFleet::start(plan, &caller).await?;
        test(fleet, caller).await
    });
    if let Err(cause) = result {
        panic!("{cause:#}");
    }
}
