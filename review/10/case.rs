//! A client takes its answer slowly while the gateway is stopped by SIGTERM.

#[path = "../fleet-2.rs"]
mod fleet;

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use fleet::*;

/// Length of the answer, and the bytes a second that the client reads: it takes 5 s.
const ANSWER_BYTES: usize = 100_000;
const READ_PER_S: f64 = 20_000.0;
/// Receive buffer of the client: links have small windows.
const WINDOW_BYTES: i32 = 4_096;
/// Deadline of the request, and time limit of its route.
const DEADLINE_MS: u64 = 10_000;
/// Time between the request and SIGTERM.
const SENT_BEFORE: Duration = Duration::from_millis(300);

fn run() -> bool {
    let folder = Folder::new();
    let replica = start_replica(|request, stream| {
        let length = if request.head.path().ends_with("/whole") { ANSWER_BYTES } else { 2 };
        note(&format!("replica runs {}", request.head.id()));
        let head = replica_head(request, 200) + &format!("Content-Length: {length}\r\n\r\n");
        let is_taken = stream.write_all(&[head.as_bytes(), &vec![b'x'; length]].concat()).is_ok();
        note(&format!("replica has answered {}: {is_taken}", request.head.id()));
        is_taken
    });
    let store = Store::start();
    let route =
        |name, kind| Route { name, kind, attempts: 1, resumable: false, timeout_ms: DEADLINE_MS };
    store.put(
        "op/config",
        &config(1, &[route("safe", "idempotent"), route("once", "non_idempotent")]),
    );
    store.put("servers/i-0", &entry(replica, "ready", 1));
    let beats_port = free_port("127.0.0.1".parse().unwrap());
    let plan = GatewayPlan {
        index: 0,
        zone: "bell-bay",
        beats_port,
        memory_mb: 260,
        store: store.address,
    };
    let mut gateway = Gateway::start(&folder, plan);
    gateway.wait_served("/safe/warm");
    let Ok(mut client) = connect(gateway.callers, Some(WINDOW_BYTES)) else {
        cannot_run("no connection")
    };
    let _ = client.set_read_timeout(Some(Duration::from_secs(10)));
    let request = request_bytes("POST", "/once/whole", "r-slow", DEADLINE_MS, "", b"{}");
    if client.write_all(&request).is_err() {
        cannot_run("the request is not sent");
    }
    note("client r-slow: sent");
    let sent = Instant::now();
    let reading = thread::spawn(move || {
        let answer = read_answer(&mut client, |bytes| {
            let due = Duration::from_secs_f64(bytes as f64 / READ_PER_S);
            thread::sleep(due.saturating_sub(sent.elapsed()));
        });
        (answer, sent.elapsed())
    });
    thread::sleep(SENT_BEFORE);
    let mut exit = "not stopped".to_owned();
    if has_trouble() {
        gateway.signal(SIGTERM);
        note("SIGTERM to the gateway");
        let signalled = Instant::now();
        let has_exited = gateway.wait_exit(Duration::from_secs(GRACE_S));
        let after = signalled.elapsed().as_millis();
        exit = format!("exited {has_exited} {after} ms after SIGTERM");
        note(&format!("the gateway {exit}"));
    }
    let Ok((answer, took)) = reading.join() else { cannot_run("the client ended") };
    let (status, bytes, took) = (answer.status(), answer.body.len(), took.as_millis());
    let end = if answer.complete { "whole" } else { "cut" };
    let text = format!(
        "status {status}, {bytes} of {ANSWER_BYTES} bytes after {took} ms, {end}; gateway {exit}"
    );
    if !has_trouble() && !answer.complete {
        cannot_run(&text);
    }
    verdict(!answer.complete, &text)
}

fn main() {
    run_case(run, |_, _| {});
}
