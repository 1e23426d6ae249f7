//! A machine is stopped as planned. Clients go on using their open connections, also just after
//! the time after which the machine takes no new requests.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::support::{
    Machine, Network, Replica, Store, configuration, has_trouble, lock, note, pause, prompt,
    read_chunk, read_head, read_message, request,
};

const MACHINES: usize = 3;
const REPLICAS: usize = 3;
/// Streams of 5.5 s, with the pauses that the sheet allows.
const EVENTS: u64 = 22;
const EVENT_GAP_MS: u64 = 250;
/// Connections of clients to the machine that is stopped, and the time between their requests.
const CLIENTS: u64 = 160;
const REQUEST_GAP: Duration = Duration::from_millis(1);
/// When the first of the requests is sent after the SIGTERM.
const FIRST_AT: Duration = Duration::from_millis(2_940);
/// A request that was sent later than this after the SIGTERM must not be cut.
const EXCUSED_UNTIL: Duration = Duration::from_secs(3);

/// How the request of a client ended.
struct Ending {
    id: String,
    sent_after: Duration,
    status: u16,
    is_complete: bool,
}

pub fn play() -> Result<usize, String> {
    let network = Network::find(MACHINES)?;
    let store = Store::start(&network.store())?;
    let config = configuration(&[
        ("transfer-briefing", "streaming", 1, false, 10_000, "briefing-models"),
        ("muster-ping", "idempotent", 2, false, 600, "crewlink-app"),
    ]);
    store.write("op/config", Some(&config));
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        let ip = network.replica(index);
        let replica =
            Replica::start(&format!("i-{index}"), &ip, "briefing-models", "v1", |arrival| {
                arrival.stream(EVENTS, EVENT_GAP_MS)
            })?;
        store.write(&replica.key(), Some(&replica.entry("ready")));
        replicas.push(replica);
    }
    let ip = network.replica(REPLICAS);
    let app = Replica::start("i-app", &ip, "crewlink-app", "v1", |arrival| arrival.answer())?;
    store.write(&app.key(), Some(&app.entry("ready")));
    let mut machines = Machine::start_all(&network, MACHINES, &store)?;
    let stopped = machines.pop().ok_or("no machine")?;
    // The clients have used their connections before.
    let mut connections = Vec::new();
    for client in 0..CLIENTS {
        let mut stream = stopped.connect().map_err(|cause| cause.to_string())?;
        let text = request("GET", "/muster-ping/2f", &format!("w-{client}"), "", "");
        stream.write_all(text.as_bytes()).map_err(|cause| cause.to_string())?;
        let copy = stream.try_clone().map_err(|cause| cause.to_string())?;
        read_message(&mut BufReader::new(copy)).ok_or("a client got no answer")?;
        connections.push(stream);
    }
    if has_trouble() {
        stopped.signal("TERM");
    }
    let signalled = Instant::now();
    let endings: Arc<Mutex<Vec<Ending>>> = Arc::default();
    let clients: Vec<_> = (0..)
        .zip(connections)
        .map(|(client, stream)| {
            let endings = Arc::clone(&endings);
            std::thread::spawn(move || {
                let at = signalled + FIRST_AT + REQUEST_GAP * client;
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                let ending = run_client(client, stream, signalled);
                lock(&endings).push(ending);
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    pause(200);
    judge(&replicas, &lock(&endings))
}

fn run_client(client: u32, mut stream: TcpStream, signalled: Instant) -> Ending {
    let id = format!("s-{client}");
    let text = request("POST", "/transfer-briefing/2f", &id, &prompt(u64::from(client)), "{}");
    let sent_after = signalled.elapsed();
    let mut ending = Ending { id, sent_after, status: 0, is_complete: false };
    note(&format!("client    sends {} {} us after the SIGTERM", ending.id, sent_after.as_micros()));
    // A connection that the machine has closed already carries no request.
    if stream.write_all(text.as_bytes()).is_ok() {
        let mut reader = BufReader::new(stream);
        if let Some(head) = read_head(&mut reader) {
            ending.status = head.status();
            while let Some(chunk) = read_chunk(&mut reader) {
                ending.is_complete |= chunk.is_none();
                if chunk.is_none() {
                    break;
                }
            }
        }
    }
    note(&format!(
        "client    {} is answered {}, complete: {}, {} ms after the SIGTERM",
        ending.id,
        ending.status,
        ending.is_complete,
        signalled.elapsed().as_millis()
    ));
    ending
}

/// Counts the requests that were passed on and whose connections ended without a complete
/// answer, although they were sent later than 3 s after the SIGTERM.
fn judge(replicas: &[Replica], endings: &[Ending]) -> Result<usize, String> {
    let (mut cut, mut excused, mut refused, mut served) = (0, 0, 0, 0);
    for ending in endings {
        let Ending { id, sent_after, status, is_complete } = ending;
        let runs: usize = replicas.iter().map(|replica| replica.run_count(id)).sum();
        served += usize::from(*is_complete);
        refused += usize::from(*status == 503);
        if runs == 0 || *status != 200 || *is_complete {
            continue;
        }
        if *sent_after > EXCUSED_UNTIL {
            cut += 1;
            let after = sent_after.as_micros();
            note(&format!("LOST      {id}, sent {after} us after the SIGTERM, ran and was cut"));
        } else {
            excused += 1;
        }
    }
    note(&format!(
        "figures   {} requests, {served} served, {refused} refused, {excused} cut that were sent \
         in the first 3 s, {cut} cut that were sent later",
        endings.len()
    ));
    if served + refused + excused + cut == 0 {
        return Err("no request was read".into());
    }
    Ok(cut)
}
