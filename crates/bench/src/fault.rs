//! Faults during a run. Each begins after a third of it and ends after two.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;

use crate::caller::HttpCaller;
use crate::launch::RunningFleet;

/// What fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FaultPlan {
    /// A router is killed, and started again empty.
    Kill { router: usize },
    /// A router's process stands still, and wakes late.
    Freeze { router: usize },
    /// The first third of the routers is cut off from the others.
    Partition,
}

/// Carries out a fault in a run of `seconds`.
pub(crate) async fn run_fault(
    fault: FaultPlan,
    fleet: Rc<RefCell<RunningFleet>>,
    caller: HttpCaller,
    seconds: u64,
) -> anyhow::Result<()> {
    let third = Duration::from_secs(seconds) / 3;
    tokio::time::sleep(third).await;
    begin(fault, &fleet, &caller).await?;
    tokio::time::sleep(third).await;
    end(fault, &fleet, &caller).await
}

async fn begin(
    fault: FaultPlan,
    fleet: &Rc<RefCell<RunningFleet>>,
    caller: &HttpCaller,
) -> anyhow::Result<()> {
    match fault {
        FaultPlan::Kill { router } => {
            fleet.borrow_mut().kill(router);
            Ok(())
        }
        FaultPlan::Freeze { router } => fleet.borrow().signal(router, Signal::SIGSTOP),
        FaultPlan::Partition => set_cuts(fleet, caller, true).await,
    }
}

async fn end(
    fault: FaultPlan,
    fleet: &Rc<RefCell<RunningFleet>>,
    caller: &HttpCaller,
) -> anyhow::Result<()> {
    match fault {
        FaultPlan::Kill { router } => fleet.borrow_mut().restart(router),
        FaultPlan::Freeze { router } => fleet.borrow().signal(router, Signal::SIGCONT),
        FaultPlan::Partition => set_cuts(fleet, caller, false).await,
    }
}

async fn set_cuts(
    fleet: &Rc<RefCell<RunningFleet>>,
    caller: &HttpCaller,
    cut: bool,
) -> anyhow::Result<()> {
    let routers: Vec<(String, std::net::SocketAddr)> = fleet
        .borrow()
        .routers
        .iter()
        .map(|router| (router.name.clone(), router.peer_address))
        .collect();
    let (small, large) = routers.split_at(routers.len().div_ceil(3));
    for (side, others) in [(small, large), (large, small)] {
        let names: Vec<&str> = others.iter().map(|(name, _)| name.as_str()).collect();
        let names = if cut { names.as_slice() } else { &[] };
        for (_, address) in side {
            // A router that another fault has ended has no links to cut, and
            // starts again with none cut.
            if let Err(cause) = caller.set_cut_peers(*address, names).await {
                eprintln!("step=cut peer={address}: {cause:#}");
            }
        }
    }
    Ok(())
}
