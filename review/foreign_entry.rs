//! A replica leaves: its entry is removed, and it goes on serving for a while. Another writer
//! writes an entry with missing fields under its key.

use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::support::{
    DRAIN_MS, Machine, Network, Replica, Store, configuration, has_trouble, lock, note, pause,
    read_message, request,
};

const MACHINES: usize = 3;
const REPLICAS: usize = 4;
const CLIENTS: usize = 3;

pub fn play() -> Result<usize, String> {
    let network = Network::find(MACHINES)?;
    let store = Store::start(&network.store())?;
    let config = configuration(&[
        ("seat-confirm", "non_idempotent", 1, false, 600, "crewlink-app"),
        ("muster-ping", "idempotent", 2, false, 600, "crewlink-app"),
    ]);
    store.write("op/config", Some(&config));
    let arrivals: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        let ip = network.replica(index);
        let arrivals = Arc::clone(&arrivals);
        let replica =
            Replica::start(&format!("i-{index}"), &ip, "crewlink-app", "v1", move |arrival| {
                if index == 0 {
                    lock(&arrivals).push((Instant::now(), arrival.request.id().to_owned()));
                }
                pause(15);
                arrival.answer()
            })?;
        store.write(&replica.key(), Some(&replica.entry("ready")));
        replicas.push(replica);
    }
    let machines = Arc::new(Machine::start_all(&network, MACHINES, &store)?);
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (machines, is_over) = (Arc::clone(&machines), Arc::clone(&is_over));
            std::thread::spawn(move || run_client(client, &machines, &is_over))
        })
        .collect();
    // All machines are in touch from here on.
    pause(4_000);
    let leaving = &replicas[0];
    store.write(&leaving.key(), None);
    let left_at = Instant::now();
    pause(DRAIN_MS + 500);
    if has_trouble() {
        // The entry as it was, from a writer that does not know the newer fields.
        let entry = leaving.entry_of_old_writer();
        store.write(&leaving.key(), Some(&entry));
    }
    pause(2_000);
    is_over.store(true, Ordering::Relaxed);
    let mut served = 0;
    for client in clients {
        served += client.join().map_err(|_| "a client failed")?;
    }
    let bound = Duration::from_millis(DRAIN_MS);
    let arrivals = lock(&arrivals);
    let before = arrivals.iter().filter(|(at, _)| *at < left_at).count();
    let late = arrivals.iter().filter(|(at, _)| at.saturating_duration_since(left_at) > bound);
    let mut count = 0;
    for (at, id) in late {
        count += 1;
        let after = at.saturating_duration_since(left_at).as_millis();
        note(&format!("DRAIN     {id} reaches {} {after} ms after it was gone", leaving.id));
    }
    note(&format!(
        "figures   {served} requests served; {before} reached the replica before it was gone, \
         {count} later than {DRAIN_MS} ms after"
    ));
    if before == 0 {
        return Err("the replica got no request before it left".into());
    }
    Ok(count)
}

/// Sends requests one after another; returns how many were served.
fn run_client(client: usize, machines: &[Machine], is_over: &AtomicBool) -> usize {
    let mut served = 0;
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let (method, route) =
            if number % 3 == 0 { ("GET", "muster-ping") } else { ("POST", "seat-confirm") };
        let id = format!("{route}-{client}-{number}");
        let body = if method == "POST" { "seat" } else { "" };
        let rest = "Poplarspring-Deadline-Ms: 600\r\n";
        let text = request(method, &format!("/{route}/2f"), &id, rest, body);
        let answer = machines[client % machines.len()].connect().ok().and_then(|mut stream| {
            stream.write_all(text.as_bytes()).ok()?;
            read_message(&mut BufReader::new(stream))
        });
        let status = answer.map_or(0, |answer| answer.status());
        served += usize::from(status == 200);
        note(&format!("client    {id} is answered {status}"));
        pause(20);
    }
    served
}
