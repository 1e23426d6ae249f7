//! A router that is told to stop while it starts.

use std::io::Write;
use std::process::Command;
use std::time::Duration;

use bench::RunningFleet;
use nix::sys::signal::Signal;

use crate::fixture::with_fleet;

/// Time in which a router that stops must exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Checks that the first router exits in order.
fn check_exit(fleet: &mut RunningFleet) -> anyhow::Result<()> {
    let process = fleet.routers[0].process.as_mut();
    let process = process.ok_or_else(|| anyhow::anyhow!("router 0 has no process"))?;
    assert_eq!(process.wait(EXIT_TIMEOUT)?, Some(0), "exit code");
    Ok(())
}

/// Guards against a signal that ends the process while it starts, and cuts what it has accepted
/// (LOST).
#[test]
fn signals_while_the_settings_are_read_end_the_router_in_order() {
    for signal in [Signal::SIGTERM, Signal::SIGINT] {
        with_fleet(1, move |mut fleet, _caller| async move {
            fleet.kill(0);
            let file = fleet.routers[0].settings_file.clone();
            let settings = std::fs::read(&file)?;
            // The process waits for its settings.
            std::fs::remove_file(&file)?;
            anyhow::ensure!(Command::new("mkfifo").arg(&file).status()?.success(), "step=mkfifo");
            fleet.restart(0)?;
            // Opened once the process reads the file.
            let mut writer = std::fs::File::options().write(true).open(&file)?;
            fleet.signal(0, signal)?;
            // Fails if the process has ended.
            let _ = writer.write_all(&settings);
            drop(writer);
            check_exit(&mut fleet)
        });
    }
}
