//! Two releases replace half of the replicas of a service each, by those of another software
//! version. While the old ones finish their streams, all processes of the system are killed and
//! start again, and clients take their streams up.

use std::io::{BufReader, Write};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use crate::support::{
    Machine, Network, Replica, Store, configuration, has_trouble, lock, note, pause, prompt,
    read_chunk, read_head, request,
};

const MACHINES: usize = 6;
/// Replicas of each version.
const REPLICAS: usize = 4;
/// Time between two replacements of a release.
const REPLACE_MS: u64 = 1_000;
/// Time for which the replica and the one that replaces it both are published.
const OVERLAP_MS: u64 = 400;
const CLIENTS: usize = 24;
const EVENTS: u64 = 70;
const EVENT_GAP_MS: u64 = 100;
/// How long a client waits for its stream.
const DEADLINE: Duration = Duration::from_secs(10);
/// A process that is killed starts again after this time.
const RESTART_MS: u64 = 500;
/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;

/// What a client got of its stream over its tries.
#[derive(Default)]
struct Taken {
    id: String,
    versions: Vec<String>,
    last: u64,
    is_complete: bool,
}

pub fn play() -> Result<usize, String> {
    let network = Network::find(MACHINES)?;
    let store = Store::start(&network.store())?;
    let config =
        configuration(&[("seastate-summary", "streaming", 2, true, 10_000, "briefing-models")]);
    store.write("op/config", Some(&config));
    let mut old = Vec::new();
    let mut new = Vec::new();
    for index in 0..REPLICAS * 2 {
        let is_old = index < REPLICAS;
        let (id, ip) = (format!("i-{index}"), network.replica(index));
        let version = if is_old { "v1" } else { "v2" };
        let replica = Replica::start(&id, &ip, "briefing-models", version, |arrival| {
            arrival.stream(EVENTS, EVENT_GAP_MS)
        })?;
        if is_old { &mut old } else { &mut new }.push(replica);
    }
    for replica in &old {
        store.write(&replica.key(), Some(&replica.entry("ready")));
    }
    let machines = Machine::start_all(&network, MACHINES, &store)?;
    let machines = Arc::new(RwLock::new(machines));
    pause(1_000);
    let taken: Arc<Mutex<Vec<Taken>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (machines, taken) = (Arc::clone(&machines), Arc::clone(&taken));
            std::thread::spawn(move || run_client(client, &machines, &taken))
        })
        .collect();
    // The releases: one replica is replaced after the other, and the new one starts first. The old
    // ones never report that they drain: their entries are removed, and they go on serving.
    for (old, new) in old.iter().zip(&new) {
        pause(REPLACE_MS - OVERLAP_MS);
        store.write(&new.key(), Some(&new.entry("ready")));
        pause(OVERLAP_MS);
        store.write(&old.key(), None);
    }
    pause(300);
    if has_trouble() {
        let mut machines = machines.write().map_err(|_| "a client failed")?;
        machines.iter().for_each(|machine| machine.signal("KILL"));
        pause(RESTART_MS);
        for machine in machines.iter_mut() {
            machine.restart()?;
        }
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    judge(&lock(&taken))
}

fn run_client(client: usize, machines: &RwLock<Vec<Machine>>, taken: &Mutex<Vec<Taken>>) {
    let mut stream = Taken { id: format!("s-{client}"), ..Taken::default() };
    let end = Instant::now() + DEADLINE;
    for attempt in 0..8 {
        let left = end.saturating_duration_since(Instant::now());
        if stream.is_complete || left.is_zero() {
            break;
        }
        read_stream(client + attempt, attempt, machines, &mut stream);
        if !stream.is_complete {
            pause(300);
        }
    }
    let Taken { id, versions, last, is_complete } = &stream;
    note(&format!(
        "client    {id} has events up to {last} of {versions:?}, complete: {is_complete}"
    ));
    lock(taken).push(stream);
}

/// One try of a client at a machine, on a new connection. A try after the first event takes the
/// stream up.
fn read_stream(
    machine: usize,
    attempt: usize,
    machines: &RwLock<Vec<Machine>>,
    taken: &mut Taken,
) -> Option<()> {
    let id = if attempt == 0 { taken.id.clone() } else { format!("{}-{attempt}", taken.id) };
    let mut rest = prompt(machine as u64);
    if taken.last > 0 {
        rest += &format!("Last-Event-Id: {}\r\nResumes: {}\r\n", taken.last, taken.id);
    } else {
        taken.id.clone_from(&id);
    }
    let text = request("POST", "/seastate-summary/2f", &id, &rest, "{}");
    let mut connection = {
        let machines = machines.read().ok()?;
        let machine = &machines[machine % machines.len()];
        note(&format!("client    sends {id} after event {} to {}", taken.last, machine.name));
        machine.connect().ok()?
    };
    connection.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(connection);
    let head = read_head(&mut reader)?;
    note(&format!("client    {id} is answered {}", head.status()));
    if head.status() != 200 {
        return None;
    }
    let mut events = String::new();
    while let Some(chunk) = read_chunk(&mut reader)? {
        events += &String::from_utf8_lossy(&chunk);
        while let Some((event, rest)) = events.split_once("\n\n") {
            for line in event.lines() {
                if let Some(id) = line.strip_prefix("id: ") {
                    taken.last = id.parse().ok()?;
                } else if let Some(version) = line.strip_prefix("data: ")
                    && !taken.versions.iter().any(|known| known == version)
                {
                    taken.versions.push(version.to_owned());
                }
            }
            events = rest.to_owned();
        }
    }
    taken.is_complete = true;
    Some(())
}

fn judge(taken: &[Taken]) -> Result<usize, String> {
    let mixed = taken.iter().filter(|stream| stream.versions.len() > 1).count();
    let begun = taken.iter().filter(|stream| stream.last > 0).count();
    let complete = taken.iter().filter(|stream| stream.is_complete).count();
    note(&format!(
        "figures   {} streams, {begun} began, {complete} complete, {mixed} with events of two \
         software versions ({ALLOWED} allowed)",
        taken.len()
    ));
    if begun * 2 < taken.len() {
        return Err("under half of the streams began".into());
    }
    Ok(if mixed > ALLOWED { mixed } else { 0 })
}
