//! Gateways that get SIGTERM some milliseconds after their start.

#[path = "../fleet-2.rs"]
mod fleet;

use std::collections::BTreeSet;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use fleet::*;

/// Milliseconds between the start of each gateway and its SIGTERM.
const TERM_AFTER_MS: [u64; 6] = [4, 8, 12, 16, 20, 24];
/// The same without the disruption: the gateway has started by then.
const STARTED_MS: u64 = 500;
/// Time between two gateways.
const GAP: Duration = Duration::from_secs(1);
/// When a client sends its request, after the SIGTERM, and the time that the replica takes.
const SENT_AFTER: Duration = Duration::from_millis(6_500);
const WORK: Duration = Duration::from_millis(2_500);
const ZONES: [&str; 3] = ["bell-bay", "george-town", "launceston-dc"];

/// Sends a request to a gateway some time after its SIGTERM.
fn ask(gateway: &Gateway, signalled: Instant) -> thread::JoinHandle<(String, Answer)> {
    let (callers, id) = (gateway.callers, format!("r-{}", gateway.name));
    thread::spawn(move || {
        thread::sleep((signalled + SENT_AFTER).saturating_duration_since(Instant::now()));
        note(&format!("client {id}: sends"));
        let answer = call(callers, &request_bytes("POST", "/once/x", &id, 8_000, "", b"{}"));
        note(&format!("client {id}: status {} complete {}", answer.status(), answer.complete));
        (id, answer)
    })
}

fn run() -> bool {
    let folder = Folder::new();
    let ran: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let running = Arc::clone(&ran);
    let replica = start_replica(move |request, stream| {
        let id = request.head.id().to_owned();
        note(&format!("replica runs {id}"));
        running.lock().unwrap_or_else(PoisonError::into_inner).insert(id);
        thread::sleep(WORK);
        let head = replica_head(request, 200) + "Content-Length: 2\r\n\r\nok";
        stream.write_all(head.as_bytes()).is_ok()
    });
    let store = Store::start();
    let once = Route {
        name: "once",
        kind: "non_idempotent",
        attempts: 1,
        resumable: false,
        timeout_ms: 8_000,
    };
    store.put("op/config", &config(1, &[once]));
    store.put("servers/i-0", &entry(replica, "ready", 1));
    let beats_port = free_port("127.0.0.1".parse().unwrap());
    let mut stops = Vec::new();
    for (index, after_ms) in TERM_AFTER_MS.into_iter().enumerate() {
        let plan = GatewayPlan {
            index,
            zone: ZONES[index % 3],
            beats_port,
            memory_mb: 260,
            store: store.address,
        };
        let mut gateway = Gateway::start(&folder, plan);
        thread::sleep(Duration::from_millis(if has_trouble() { after_ms } else { STARTED_MS }));
        gateway.signal(SIGTERM);
        let signalled = Instant::now();
        note(&format!("SIGTERM to {}", gateway.name));
        // A signal before the program runs ends the process at once.
        let has_ended = gateway.wait_exit(Duration::from_millis(100));
        note(&format!("{} has ended: {has_ended}", gateway.name));
        let client = ask(&gateway, signalled);
        stops.push((gateway, signalled, client));
        thread::sleep(GAP.saturating_sub(signalled.elapsed()));
    }
    let (mut ignored, mut lost) = (0, 0);
    for (mut gateway, signalled, client) in stops {
        let kill_at = signalled + Duration::from_secs(GRACE_S);
        if !gateway.wait_exit(kill_at.saturating_duration_since(Instant::now())) {
            ignored += 1;
            let (name, is_ready) = (&gateway.name, gateway.is_ready());
            note(&format!("{name} runs {GRACE_S} s after SIGTERM, ready {is_ready}: SIGKILL"));
            gateway.signal(SIGKILL);
        }
        let Ok((id, answer)) = client.join() else { cannot_run("a client ended") };
        let has_run = ran.lock().unwrap_or_else(PoisonError::into_inner).contains(&id);
        lost += u32::from(has_run && !answer.complete);
    }
    verdict(
        lost > 0,
        &format!(
            "{ignored} of {} gateways ignored SIGTERM, {lost} requests that ran were not answered",
            TERM_AFTER_MS.len()
        ),
    )
}

fn main() {
    run_case(run, |_, _| {});
}
