//! Signals to processes whose starter blocked them.

use std::time::Duration;

use bench::RunningFleet;
use nix::sys::signal::{SigSet, SigmaskHow, Signal};

use crate::fixture::with_fleet;

/// Time in which a router without requests must exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts router 0 again while `signals` are blocked, which a child inherits.
fn restart_blocked(fleet: &mut RunningFleet, signals: &[Signal]) -> anyhow::Result<()> {
    fleet.kill(0);
    let blocked: SigSet = signals.iter().copied().collect();
    let before = blocked.thread_swap_mask(SigmaskHow::SIG_BLOCK)?;
    let result = fleet.restart(0);
    before.thread_set_mask()?;
    result
}

/// Guards against a router that serves until it is killed (LOST), as its starter blocked the signal
/// to stop.
#[test]
fn router_whose_starter_blocks_signals_stops_in_order() {
    for signal in [Signal::SIGTERM, Signal::SIGINT] {
        with_fleet(1, move |mut fleet, _caller| async move {
            restart_blocked(&mut fleet, &[signal])?;
            fleet.signal(0, signal)?;
            let process = fleet.routers[0].process.as_mut();
            let process = process.ok_or_else(|| anyhow::anyhow!("router 0 has no process"))?;
            assert_eq!(process.wait(EXIT_TIMEOUT)?, Some(0), "exit code after {signal}");
            let words = ["inherited", &format!("blocked={signal} ")];
            assert_eq!(fleet.routers[0].log_lines(&words).len(), 1, "{words:?}");
            Ok(())
        });
    }
}
