//! Three of five replicas send a second answer, late: for 1 in 40 requests on a kept connection,
//! in the place of the next answer there.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use crate::support::{
    Arrival, Machine, Network, Replica, Store, configuration, has_trouble, lock, note, prompt,
    read_message, request,
};

const MACHINES: usize = 3;
const REPLICAS: usize = 5;
/// Replicas that send second answers.
const FAULTY: usize = 3;
const CLIENTS: usize = 6;
const REQUESTS: usize = 250;
/// One request in so many on a kept connection meets a second answer.
const EXTRA_EVERY: usize = 40;

/// Writes a second answer to the request before, which says that it did not run.
fn write_extra(arrival: &mut Arrival<'_>, kept: &AtomicUsize) -> std::io::Result<()> {
    let Some(previous) = arrival.previous.filter(|_| has_trouble()) else { return Ok(()) };
    if kept.fetch_add(1, Ordering::Relaxed) % EXTRA_EVERY != EXTRA_EVERY - 1 {
        return Ok(());
    }
    note(&format!(
        "replica   {} sends a second answer to {previous}, where that to {} is due",
        arrival.replica.id,
        arrival.request.id()
    ));
    let extra = format!(
        "HTTP/1.1 503 Service Unavailable\r\nPoplarspring-Request-Id: {previous}\r\n\
         Poplarspring-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    );
    arrival.writer.write_all(extra.as_bytes())
}

pub fn play() -> Result<usize, String> {
    let network = Network::find(MACHINES)?;
    let store = Store::start(&network.store())?;
    let config = configuration(&[
        ("transfer-briefing", "streaming", 1, false, 10_000, "briefing-models"),
        ("manifest-check", "streaming", 2, false, 2_500, "briefing-models"),
    ]);
    store.write("op/config", Some(&config));
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        let kept = AtomicUsize::new(0);
        let ip = network.replica(index);
        let id = format!("i-{index}");
        let replica = Replica::start(&id, &ip, "briefing-models", "v1", move |arrival| {
            if index < FAULTY {
                write_extra(arrival, &kept)?;
            }
            arrival.stream(3, 5)
        })?;
        store.write(&replica.key(), Some(&replica.entry("ready")));
        replicas.push(replica);
    }
    let machines = Arc::new(Machine::start_all(&network, MACHINES, &store)?);
    let answers: Arc<Mutex<BTreeMap<String, u16>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (machines, answers) = (Arc::clone(&machines), Arc::clone(&answers));
            std::thread::spawn(move || run_client(client, &machines, &answers))
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    judge(&replicas, &lock(&answers))
}

fn run_client(client: usize, machines: &[Machine], answers: &Mutex<BTreeMap<String, u16>>) {
    for number in 0..REQUESTS {
        let route = if number % 2 == 0 { "transfer-briefing" } else { "manifest-check" };
        let id = format!("{route}-{client}-{number}");
        let machine = &machines[(client + number / 10) % machines.len()];
        let part = (client * REQUESTS + number) as u64;
        let text = request("POST", &format!("/{route}/2f"), &id, &prompt(part), "{}");
        note(&format!("client    sends {id} to {}", machine.name));
        let answer = machine.connect().ok().and_then(|mut stream| {
            stream.write_all(text.as_bytes()).ok()?;
            read_message(&mut BufReader::new(stream))
        });
        let status = answer.map_or(0, |answer| answer.status());
        note(&format!("client    {id} is answered {status}"));
        lock(answers).insert(id, status);
    }
}

/// A request on these routes may not be repeated, as they are streams that may not be resumed.
fn judge(replicas: &[Replica], answers: &BTreeMap<String, u16>) -> Result<usize, String> {
    let (mut refused, mut twice, mut served) = (0, 0, 0);
    for (id, status) in answers {
        let runs: usize = replicas.iter().map(|replica| replica.run_count(id)).sum();
        served += usize::from(*status == 200);
        if matches!(status, 408 | 421 | 429 | 503) && runs > 0 {
            refused += 1;
            note(&format!("REFUSED   {id} was answered {status} and has run {runs} times"));
        }
        if runs > 1 {
            twice += 1;
            note(&format!("TWICE     {id} ran {runs} times"));
        }
    }
    note(&format!(
        "figures   {} requests, {served} served, {refused} answered as not run that ran, {twice} \
         run twice",
        answers.len()
    ));
    if served * 2 < answers.len() {
        return Err("under half of the requests were served".into());
    }
    Ok(refused + twice)
}
