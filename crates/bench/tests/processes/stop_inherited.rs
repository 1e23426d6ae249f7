//! Signals to processes whose starter blocked or ignored them.

use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use bench::{HttpCaller, RunningFleet, binary_path, set_inherited_signals, with_blocked_signals};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::fixture::with_fleet;

/// Time in which a process without requests must exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a process must run on after a signal that its starter ignores: longer than the
/// notice of a stop.
const IGNORED_TIME: Duration = Duration::from_secs(3);
const POLL_PERIOD: Duration = Duration::from_millis(20);

fn check_exit(fleet: &mut RunningFleet, signal: Signal) -> anyhow::Result<()> {
    let process = fleet.routers[0].process.as_mut();
    let process = process.ok_or_else(|| anyhow::anyhow!("router 0 has no process"))?;
    assert_eq!(process.wait(EXIT_TIMEOUT)?, Some(0), "exit code after {signal}");
    Ok(())
}

/// Waits until a child exits; returns none if it still runs after `timeout`.
fn wait_for_exit(child: &mut Child, timeout: Duration) -> anyhow::Result<Option<ExitStatus>> {
    let started_at = Instant::now();
    while started_at.elapsed() < timeout {
        if let Some(status) = child.try_wait()? {
            return Ok(Some(status));
        }
        std::thread::sleep(POLL_PERIOD);
    }
    Ok(None)
}

fn send(child: &Child, signal: Signal) -> anyhow::Result<()> {
    Ok(kill(Pid::from_raw(child.id().try_into()?), signal)?)
}

/// Guards against a router that serves until it is killed (LOST), as its starter blocked the signal
/// to stop.
#[test]
fn router_whose_starter_blocks_signals_stops_in_order() {
    for signal in [Signal::SIGTERM, Signal::SIGINT] {
        with_fleet(1, move |mut fleet, _caller| async move {
            fleet.kill(0);
            with_blocked_signals(&[signal], || fleet.restart(0))??;
            fleet.signal(0, signal)?;
            check_exit(&mut fleet, signal)?;
            let words = ["inherited", &format!("blocked={signal} ")];
            assert_eq!(fleet.routers[0].log_lines(&words).len(), 1, "{words:?}");
            Ok(())
        });
    }
}

/// Starts router 0 again with `ignored` signals ignored, and sends it a hangup. Returns whether it
/// exits by itself, and how it exits at last.
async fn hang_up(
    fleet: &mut RunningFleet,
    caller: &HttpCaller,
    ignored: &'static [Signal],
) -> anyhow::Result<(bool, Option<ExitStatus>)> {
    fleet.kill(0);
    let mut program = Command::new(binary_path("poplar-router")?);
    program.arg("--settings").arg(&fleet.routers[0].settings_file).stderr(Stdio::null());
    set_inherited_signals(&mut program, &[], ignored);
    let mut child = program.spawn()?;
    let ready = fleet.wait_for_routers(caller).await;
    send(&child, Signal::SIGHUP)?;
    let timeout = if ignored.is_empty() { EXIT_TIMEOUT } else { IGNORED_TIME };
    let mut status = wait_for_exit(&mut child, timeout)?;
    let ends_itself = status.is_some();
    if !ends_itself {
        send(&child, Signal::SIGTERM)?;
        status = wait_for_exit(&mut child, EXIT_TIMEOUT)?;
    }
    // Fails if the process has exited.
    let _ = child.kill();
    ready?;
    Ok((ends_itself, status))
}

/// Guards against requests that a hangup cuts (LOST), as its default action ends the process.
#[test]
fn router_that_gets_a_hangup_stops_in_order() {
    with_fleet(1, |mut fleet, caller| async move {
        let (ends_itself, status) = hang_up(&mut fleet, &caller, &[]).await?;
        assert!(ends_itself, "runs on after the hangup");
        assert_eq!(status.and_then(|status| status.code()), Some(0), "exit code");
        Ok(())
    });
}

/// Guards against a router that a hangup ends although its starter ignores it, as `nohup` does.
#[test]
fn router_whose_starter_ignores_hangups_runs_on() {
    with_fleet(1, |mut fleet, caller| async move {
        let (ends_itself, status) = hang_up(&mut fleet, &caller, &[Signal::SIGHUP]).await?;
        assert!(!ends_itself, "ends after the hangup: {status:?}");
        assert_eq!(status.and_then(|status| status.code()), Some(0), "exit code");
        Ok(())
    });
}

/// Guards against a stand-in that outlives its test, as its starter blocked the signal to stop.
#[test]
fn standin_whose_starter_blocks_signals_ends() -> anyhow::Result<()> {
    for signal in [Signal::SIGTERM, Signal::SIGINT] {
        let mut program = Command::new(binary_path("poplar-standin")?);
        program.args(["platform", "--listen", "127.0.0.1:0"]);
        let mut child = with_blocked_signals(&[signal], || program.spawn())??;
        send(&child, signal)?;
        let status = wait_for_exit(&mut child, EXIT_TIMEOUT)?;
        // Fails if the process has exited.
        let _ = child.kill();
        assert!(status.is_some(), "runs on after {signal}");
    }
    Ok(())
}
