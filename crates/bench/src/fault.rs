//! Faults that are injected during a run. Each begins after one third of the run
//! and ends after two thirds.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;

use crate::caller::HttpCaller;
use crate::launch::RunningFleet;

/// Kind of a fault and the router that it affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FaultPlan {
    /// Kills the router, then starts it again without its state.
    Kill { router: usize },
    /// Stops the process of the router by SIGSTOP, then lets it continue.
    Freeze { router: usize },
    /// Cuts the links between the first third of the routers and the others.
    Partition,
}

/// Injects a fault into a run that takes `seconds`.
pub(crate) async fn run_fault(
    fault: FaultPlan,
    fleet: Rc<RefCell<RunningFleet>>,
    caller: HttpCaller,
    seconds: u64,
) -> anyhow::Result<()> {
    let third = Duration::from_secs(seconds) / 3;
    tokio::time::sleep(third).await;
    begin_fault(fault, &fleet, &caller).await?;
    tokio::time::sleep(third).await;
    end_fault(fault, &fleet, &caller).await
}

async fn begin_fault(
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
        FaultPlan::Partition => set_partition(fleet, caller, true).await,
    }
}

async fn end_fault(
    fault: FaultPlan,
    fleet: &Rc<RefCell<RunningFleet>>,
    caller: &HttpCaller,
) -> anyhow::Result<()> {
    match fault {
        FaultPlan::Kill { router } => fleet.borrow_mut().restart(router),
        FaultPlan::Freeze { router } => fleet.borrow().signal(router, Signal::SIGCONT),
        FaultPlan::Partition => set_partition(fleet, caller, false).await,
    }
}

/// Cuts the links between the two sides of the partition, or restores them.
async fn set_partition(
    fleet: &Rc<RefCell<RunningFleet>>,
    caller: &HttpCaller,
    is_cut: bool,
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
        let names = if is_cut { names.as_slice() } else { &[] };
        for (_, address) in side {
            // Fails for a router that another fault has killed. It has no links to
            // cut, and no link is cut when it starts again.
            if let Err(cause) = caller.set_cut_peers(*address, names).await {
                eprintln!("step=cut peer={address}: {cause:#}");
            }
        }
    }
    Ok(())
}
