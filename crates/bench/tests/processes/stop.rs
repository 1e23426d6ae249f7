//! A router that is told to stop while it starts, and while a caller reads its answer slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

use bench::{ExampleSite, FleetPlan, RunningFleet};
use nix::sys::signal::Signal;
use serde_json::json;
use socket2::{Domain, Socket, Type};

use crate::fixture::{ACCOUNT, APP, IDEMPOTENT_PATH, with_fleet, with_plan};
use crate::slow_readers::{plain_request, start_proxies, stream_request_of};

/// Time in which a router that stops must exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Memory of a router whose sockets have small buffers, in MiB.
const MEMORY_MB: usize = 88;
/// Receive buffer of a caller, in bytes.
const SMALL_WINDOW: usize = 4 << 10;
/// Length of the answer, in kilobytes, and how much of it is read at once and in a second, in
/// bytes.
const ANSWER_KB: usize = 97;
const READ_BYTES: usize = 1 << 10;
const READ_PACE: f64 = 20_000.0;
/// The same for an answer whose last part takes longer than a second.
const CLOSE_PACE: f64 = 10_000.0;
/// The same for a stream whose last part takes longer than the time for unread bytes without a
/// deadline, and the end of a stream on a connection that is kept.
const STREAM_PACE: f64 = 4_000.0;
const STREAM_END: &[u8] = b"0\r\n\r\n";
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between a request and the signal.
const SIGNAL_DELAY: Duration = Duration::from_millis(300);
/// Parts in which a request is sent beside a stop, and the time between two: longer than the notice
/// of a stop together.
const PARTS: usize = 12;
const PART_PAUSE: Duration = Duration::from_millis(200);

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

/// Sends a request on a connection with a small window, and reads `pace` bytes a second of the
/// answer until it is whole or its connection ends.
fn read_slowly(
    address: SocketAddr,
    request: &[u8],
    pace: f64,
    is_whole: impl Fn(&[u8]) -> bool,
) -> std::io::Result<Vec<u8>> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(SMALL_WINDOW)?;
    socket.connect(&address.into())?;
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.write_all(request)?;
    let begun_at = Instant::now();
    let mut received = Vec::new();
    let mut buffer = [0; READ_BYTES];
    while !is_whole(&received) {
        // A connection that breaks off ends the answer.
        let count = stream.read(&mut buffer).unwrap_or_default();
        if count == 0 {
            break;
        }
        received.extend_from_slice(&buffer[..count]);
        let due = Duration::from_secs_f64(received.len() as f64 / pace);
        std::thread::sleep(due.saturating_sub(begun_at.elapsed()));
    }
    Ok(received)
}

/// Reads an answer with a length slowly. Returns the length of its body.
fn read_answer_slowly(address: SocketAddr, request: &[u8], pace: f64) -> std::io::Result<usize> {
    let head_end = |received: &[u8]| {
        received.windows(4).position(|four| four == b"\r\n\r\n").map_or(0, |end| end + 4)
    };
    let is_whole = |received: &[u8]| received.len() >= head_end(received) + (ANSWER_KB << 10);
    let received = read_slowly(address, request, pace, is_whole)?;
    Ok(received.len() - head_end(&received))
}

fn plan() -> FleetPlan {
    let resources = json!({ "descriptors": 4_100, "memory_mb": MEMORY_MB });
    FleetPlan { replicas: Some((6, 3)), resources, ..FleetPlan::new(ExampleSite::Alliance, 1) }
}

/// Guards against an answer that is cut at a stop (LOST): its last part was handed to the
/// connection, and the process exits before it is written.
#[test]
fn answer_that_is_read_slowly_beside_a_stop_is_whole() {
    with_plan(plan(), |mut fleet, caller| async move {
        start_proxies(&mut fleet, &caller).await?;
        let request = plain_request(ACCOUNT, &format!("/length-{ANSWER_KB}"), "1.1");
        let address = fleet.routers[0].address;
        let reader = std::thread::spawn(move || read_answer_slowly(address, &request, READ_PACE));
        std::thread::sleep(SIGNAL_DELAY);
        fleet.signal(0, Signal::SIGTERM)?;
        check_exit(&mut fleet)?;
        let received = reader.join().map_err(|_| anyhow::anyhow!("the reader failed"))??;
        assert_eq!(received, ANSWER_KB << 10, "bytes of the answer");
        Ok(())
    });
}

/// Guards against an answer whose end is cut (LOST) as its connection closes a second after the
/// last part was handed to it.
#[test]
fn answer_that_is_read_slowly_before_a_close_is_whole() {
    with_plan(plan(), |mut fleet, caller| async move {
        start_proxies(&mut fleet, &caller).await?;
        let request = plain_request(ACCOUNT, &format!("/length-{ANSWER_KB}"), "1.0");
        let received = read_answer_slowly(fleet.routers[0].address, &request, CLOSE_PACE)?;
        assert_eq!(received, ANSWER_KB << 10, "bytes of the answer");
        Ok(())
    });
}

/// Guards against a stream whose end is cut (LOST) as its caller takes longer than a few seconds for
/// the last part, on a connection that is kept.
#[test]
fn stream_that_is_read_slowly_on_a_kept_connection_is_whole() {
    with_plan(plan(), |mut fleet, caller| async move {
        start_proxies(&mut fleet, &caller).await?;
        let request = stream_request_of("short", ACCOUNT, "1.1");
        let is_whole = |received: &[u8]| received.ends_with(STREAM_END);
        let received = read_slowly(fleet.routers[0].address, &request, STREAM_PACE, is_whole)?;
        assert!(is_whole(&received), "cut after {} bytes", received.len());
        Ok(())
    });
}

/// Sends a request in parts while the router is told to stop, and returns its answer.
fn send_in_parts(fleet: &RunningFleet, request: &str) -> anyhow::Result<String> {
    let mut stream = TcpStream::connect(fleet.routers[0].address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    for (index, part) in request.as_bytes().chunks(request.len().div_ceil(PARTS)).enumerate() {
        // Fails once the process has exited.
        let _ = stream.write_all(part);
        std::thread::sleep(PART_PAUSE);
        if index == 0 {
            fleet.signal(0, Signal::SIGTERM)?;
        }
    }
    let mut answer = Vec::new();
    // A connection that breaks off ends the answer.
    let _ = stream.read_to_end(&mut answer);
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Guards against a request without an answer (LOST): its body still arrives when the router stops,
/// and the process exits before it refuses it.
#[test]
fn request_whose_body_arrives_beside_a_stop_is_refused() {
    with_fleet(1, |mut fleet, _caller| async move {
        let body = "a".repeat(8 << 10);
        let request = format!(
            "POST /v1/call/{APP}{IDEMPOTENT_PATH} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             authorization: Bearer demo-{ACCOUNT}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = send_in_parts(&fleet, &request)?;
        assert!(answer.contains("\"code\":\"draining\",\"ran\":\"no\""), "{answer:?}");
        check_exit(&mut fleet)
    });
}

/// The same for a request whose head still arrives.
#[test]
fn request_whose_head_arrives_beside_a_stop_is_refused() {
    with_fleet(1, |mut fleet, _caller| async move {
        let request = plain_request(ACCOUNT, IDEMPOTENT_PATH, "1.0");
        let answer = send_in_parts(&fleet, &String::from_utf8(request)?)?;
        assert!(answer.contains("\"code\":\"draining\",\"ran\":\"no\""), "{answer:?}");
        check_exit(&mut fleet)
    });
}
