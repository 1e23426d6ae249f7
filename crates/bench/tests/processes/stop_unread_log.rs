//! A router whose log nobody reads.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::Duration;

use nix::sys::signal::Signal;

use crate::fixture::{ACCOUNT, IDEMPOTENT_PATH, with_fleet};
use crate::slow_readers::plain_request;

/// Requests whose log lines take more than a pipe holds, 64 KiB.
const REQUESTS: usize = 600;
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a router without requests must exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the status line of the answer to a request.
fn call(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.write_all(&plain_request(ACCOUNT, IDEMPOTENT_PATH, "1.0"))?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.lines().next().unwrap_or_default().to_owned())
}

/// Guards against requests without an answer and a stop that is never handled (LOST): both wait for
/// a reader of the log.
#[test]
fn router_whose_log_is_not_read_serves_and_stops_in_order() {
    with_fleet(1, |mut fleet, caller| async move {
        fleet.kill(0);
        let log = fleet.routers[0].settings_file.with_extension("log");
        std::fs::remove_file(&log)?;
        anyhow::ensure!(Command::new("mkfifo").arg(&log).status()?.success(), "step=mkfifo");
        // The pipe stays open, and nothing is read.
        let _unread = File::options().read(true).write(true).open(&log)?;
        fleet.restart(0)?;
        fleet.wait_for_routers(&caller).await?;
        let address = fleet.routers[0].address;
        for number in 0..REQUESTS {
            let status = call(address)?;
            assert!(status.contains(" 200 "), "request {number}: {status:?}");
        }
        fleet.signal(0, Signal::SIGTERM)?;
        let process = fleet.routers[0].process.as_mut();
        let process = process.ok_or_else(|| anyhow::anyhow!("router 0 has no process"))?;
        assert_eq!(process.wait(EXIT_TIMEOUT)?, Some(0), "exit code");
        Ok(())
    });
}
