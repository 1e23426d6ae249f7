//! The cases of the third review: a store, servers and clients as the users' pages describe them, in
//! front of real gateway processes on loopback addresses. Standard library only.
//!
//! Usage: `cases-3 CASE RECORD`, with `TROUBLE=0` in the environment for a run without the disruption.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// `bounds.contactMs` of the small deployments.
const CONTACT_MS: u64 = 3_000;
const HOST: &str = "ficu95.example";
const KEY: &str = "asnmgkcuyj8pjbvk9m68";
const TENANT: &str = "hule930";

// ---------------------------------------------------------------- clock and record

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<String> = Mutex::new(String::new());

fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |age| age.as_millis() as u64)
}

fn record(line: &str) {
    let mut text = RECORD.lock().unwrap();
    writeln!(text, "{:>7} ms  {line}", now_ms()).unwrap();
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
struct Headers(Vec<(String, String)>);

impl Headers {
    fn get(&self, name: &str) -> Option<&str> {
        let found = self.0.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

#[derive(Clone, Debug, Default)]
struct Request {
    method: String,
    target: String,
    headers: Headers,
    body: Vec<u8>,
}

impl Request {
    fn id(&self) -> &str {
        self.headers.get("poplarspring-request-id").unwrap_or("-")
    }

    fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads a head up to the empty line: its first line and its headers.
fn read_head(reader: &mut impl BufRead) -> Option<(String, Headers)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Headers::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.0.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_chunked(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (line, headers) = read_head(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some() {
        read_chunked(reader, &mut body)?;
    } else if let Some(length) = headers.get("content-length") {
        body.resize(length.parse().ok()?, 0);
        reader.read_exact(&mut body).ok()?;
    }
    Some(Request { method, target, headers, body })
}

/// What becomes of a connection after a request, and of the process that serves it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum After {
    Keep,
    Close,
    /// The process ends, with all its connections.
    Crash,
}

type Handler = dyn Fn(&Request, &mut TcpStream) -> After + Send + Sync;

/// A server process: it listens until it is stopped, which ends all its connections.
#[derive(Clone)]
struct Server {
    stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    fn start(address: SocketAddr, handler: Arc<Handler>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let server = Self { stopped: Arc::default(), streams: Arc::default() };
        let own = server.clone();
        thread::spawn(move || {
            while !own.stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (own, handler) = (own.clone(), Arc::clone(&handler));
                        thread::spawn(move || own.serve(stream, &*handler));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
        Ok(server)
    }

    fn serve(&self, mut stream: TcpStream, handler: &Handler) {
        let (Ok(_), Ok(own), Ok(input)) =
            (stream.set_nonblocking(false), stream.try_clone(), stream.try_clone())
        else {
            return;
        };
        let _ = stream.set_nodelay(true);
        self.streams.lock().unwrap().push(own);
        if self.stopped.load(Ordering::SeqCst) {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
        let mut reader = BufReader::new(input);
        while let Some(request) = read_request(&mut reader) {
            match handler(&request, &mut stream) {
                After::Keep => {}
                After::Close => break,
                After::Crash => {
                    self.stop();
                    break;
                }
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        let address = stream.peer_addr().ok();
        self.streams.lock().unwrap().retain(|known| known.peer_addr().ok() != address);
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// What a client received.
#[derive(Clone, Debug, Default)]
struct Answer {
    /// 0 if the connection ended before a head.
    status: u16,
    headers: Headers,
    body: Vec<u8>,
    /// Whether the body came whole, by its length, its last chunk or the end of its connection.
    complete: bool,
}

fn read_answer(reader: &mut impl BufRead) -> Answer {
    let mut answer = Answer::default();
    let Some((line, headers)) = read_head(reader) else { return answer };
    answer.status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    answer.headers = headers;
    if answer.headers.get("transfer-encoding").is_some() {
        answer.complete = read_chunked(reader, &mut answer.body).is_some();
    } else if let Some(length) = answer.headers.get("content-length") {
        answer.body.resize(length.parse().unwrap_or(0), 0);
        answer.complete = reader.read_exact(&mut answer.body).is_ok();
    } else {
        answer.complete = reader.read_to_end(&mut answer.body).is_ok();
    }
    answer
}

/// A request of a client, on a connection of its own.
#[derive(Clone, Debug)]
struct Call {
    method: &'static str,
    path: String,
    body: Vec<u8>,
    deadline_ms: u64,
    headers: Vec<(&'static str, String)>,
}

fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", 0x9c41_0000_0000 + NEXT.fetch_add(1, Ordering::SeqCst))
}

impl Call {
    fn new(method: &'static str, path: &str, body: &[u8], deadline_ms: u64) -> Self {
        Self { method, path: path.into(), body: body.into(), deadline_ms, headers: Vec::new() }
    }

    fn head(&self, id: &str) -> String {
        let Self { method, path, deadline_ms, .. } = self;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nPoplarspring-Request-Id: {id}\r\n\
             Poplarspring-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
        );
        for (name, value) in &self.headers {
            write!(head, "{name}: {value}\r\n").unwrap();
        }
        if !self.body.is_empty() {
            write!(head, "Content-Length: {}\r\n", self.body.len()).unwrap();
        }
        head + "\r\n"
    }

    /// Sends the request and records it with its answer.
    fn send(&self, address: SocketAddr, id: &str) -> Answer {
        let sent_at = now_ms();
        let answer = self.exchange(address, id);
        let Self { method, path, .. } = self;
        let Answer { status, complete, .. } = answer;
        record(&format!(
            "sent at {sent_at} to {address}: {method} {path} ({id}); answered {status}, whole: {complete}"
        ));
        answer
    }

    fn exchange(&self, address: SocketAddr, id: &str) -> Answer {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            return Answer::default();
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(self.deadline_ms + 500)));
        let bytes = [self.head(id).as_bytes(), &self.body[..]].concat();
        if stream.write_all(&bytes).is_err() {
            return Answer::default();
        }
        read_answer(&mut BufReader::new(stream))
    }
}

// ---------------------------------------------------------------- the platform's store

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let [a, b, c] = [0, 1, 2].map(|index| *group.get(index).unwrap_or(&0) as usize);
        let digits = [a >> 2, (a & 3) << 4 | b >> 4, (b & 15) << 2 | c >> 6, c & 63];
        for (index, digit) in digits.into_iter().enumerate() {
            text.push(if index <= group.len() { DIGITS[digit] as char } else { '=' });
        }
    }
    text
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Value, revision and revision of the creation of each item.
    items: BTreeMap<String, (String, u64, u64)>,
    /// All changes: revision, key and the item as it was written.
    changes: Vec<(u64, String, String)>,
}

/// The store, with the two calls that gateways use.
#[derive(Default)]
struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    fn start(address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let store = Arc::new(Self::default());
        let own = Arc::clone(&store);
        Server::start(address, Arc::new(move |request, stream| own.answer(request, stream)))?;
        Ok(store)
    }

    fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.2);
        let value = base64(value.as_bytes());
        let item = format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#
        );
        state.items.insert(key.into(), (item.clone(), revision, created));
        state.changes.push((revision, key.into(), item));
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> After {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let body = if request.target.starts_with("/kv-range") {
            let state = self.state.lock().unwrap();
            let items = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
            let items: Vec<&str> = items.map(|(_, item)| item.0.as_str()).collect();
            let (items, as_of) = (items.join(","), state.revision);
            format!(r#"{{"entries":[{items}],"morePages":false,"asOf":{as_of}}}"#)
        } else {
            let number = |name| request.query(name).and_then(|value| value.parse::<u64>().ok());
            let after = number("after").unwrap_or(0);
            let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
            let state = self.state.lock().unwrap();
            let is_quiet = |state: &mut StoreState| state.revision <= after;
            let (state, _) = self.changed.wait_timeout_while(state, wait, is_quiet).unwrap();
            let changes = state.changes.iter();
            let changes = changes.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let changes: Vec<&str> = changes.map(|(.., item)| item.as_str()).collect();
            let (changes, as_of) = (changes.join(","), state.revision);
            format!(r#"{{"events":[{changes}],"asOf":{as_of}}}"#)
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        match stream.write_all((head + &body).as_bytes()) {
            Ok(()) => After::Keep,
            Err(_) => After::Close,
        }
    }
}

// ---------------------------------------------------------------- servers behind the gateways

/// A replica, which may start again under its id.
struct Replica {
    id: String,
    service: &'static str,
    zone: &'static str,
    slots: u32,
    address: SocketAddr,
    store: Arc<Store>,
    version: Mutex<String>,
    /// Unix time of its start, in milliseconds.
    born: AtomicU64,
    /// Time of its start on the clock of the record.
    started_at: AtomicU64,
    process: Mutex<Option<Server>>,
}

impl Replica {
    fn publish(&self) {
        let Self { id, service, zone, slots, address, .. } = self;
        let (version, born) = (self.version.lock().unwrap(), self.born.load(Ordering::SeqCst));
        record(&format!("{id} writes its entry: version {version}, born {born}"));
        self.store.put(
            &format!("servers/{id}"),
            &format!(
                r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"ready","coldLeftMs":0,"sequence":1,"born":{born}}}"#
            ),
        );
    }

    fn is_up(&self) -> bool {
        let process = self.process.lock().unwrap();
        process.as_ref().is_some_and(|process| !process.stopped.load(Ordering::SeqCst))
    }

    fn start(self: &Arc<Self>, handler: &Arc<ReplicaHandler>) {
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.started_at.store(now_ms(), Ordering::SeqCst);
        let (own, handler) = (Arc::clone(self), Arc::clone(handler));
        let answer = move |request: &Request, stream: &mut TcpStream| {
            // Another replica's request is not run.
            match request.headers.get("poplarspring-expect-instance") {
                Some(expected) if expected != own.id => {
                    let head = format!(
                        "HTTP/1.1 421 Misdirected Request\r\nPoplarspring-Request-Id: {}\r\n\
                         Poplarspring-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                        request.id(),
                        own.id
                    );
                    let _ = stream.write_all(head.as_bytes());
                    After::Keep
                }
                _ => {
                    let Request { method, target, .. } = request;
                    record(&format!("{} gets {method} {target} ({})", own.id, request.id()));
                    handler(&own, request, stream)
                }
            }
        };
        let answer: Arc<Handler> = Arc::new(answer);
        let mut tries = 0;
        let process = loop {
            match Server::start(self.address, Arc::clone(&answer)) {
                Ok(process) => break process,
                Err(cause) if tries > 200 => could_not_run(&format!("{}: {cause}", self.id)),
                Err(_) => sleep_ms(5),
            }
            tries += 1;
        };
        record(&format!("{} starts", self.id));
        *self.process.lock().unwrap() = Some(process);
    }

    fn kill(&self) {
        record(&format!("{} is killed", self.id));
        if let Some(process) = self.process.lock().unwrap().as_ref() {
            process.stop();
        }
    }
}

type ReplicaHandler = dyn Fn(&Arc<Replica>, &Request, &mut TcpStream) -> After + Send + Sync;

/// Returns the headers that each answer of a replica to `request` has.
fn replica_headers(request: &Request) -> String {
    let id = request.id();
    format!(
        "Poplarspring-Request-Id: {id}\r\nPoplarspring-Response-Signature: 3e1b.{id}\r\n\
         Poplarspring-Instance-Load: 1,0,48\r\n"
    )
}

/// Writes a whole answer with a length.
fn write_answer(request: &Request, stream: &mut TcpStream, body: &str) -> After {
    let headers = replica_headers(request);
    let length = body.len();
    let text = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    if stream.write_all(text.as_bytes()).is_ok() { After::Keep } else { After::Close }
}

// ---------------------------------------------------------------- gateways

/// Processes that were started. Invariant: killed before this process ends.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Kills them; returns whether all of them were still running.
fn kill_processes() -> bool {
    let mut children = CHILDREN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let mut were_running = true;
    for mut child in children.drain(..) {
        were_running &= matches!(child.try_wait(), Ok(None));
        let _ = child.kill();
        let _ = child.wait();
    }
    were_running
}

fn could_not_run(cause: &str) -> ! {
    eprintln!("the case could not run: {cause}");
    kill_processes();
    std::process::exit(2);
}

/// A deployment: a store, replicas and gateways.
struct Fleet {
    store: Arc<Store>,
    /// Addresses of the gateways for clients.
    gateways: Vec<SocketAddr>,
    folder: PathBuf,
    port: u16,
}

const ZONES: [&str; 3] = ["bell-bay", "george-town", "launceston-dc"];

/// Address of the machine with a number.
fn machine(number: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 83, number as u8, 1], port))
}

/// Returns a port from which on ten are free on each of the machines.
fn free_ports(machines: usize) -> u16 {
    let first = std::process::id() % 800;
    let is_free = |port: u16| {
        (0..machines).all(|number| {
            (port..port + 10).all(|port| {
                let address = machine(number, port);
                TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
            })
        })
    };
    let ports = (0..800).map(|index| 12_000 + ((first + index) % 800) as u16 * 20);
    let mut ports = ports.filter(|port| is_free(*port));
    ports.next().unwrap_or_else(|| could_not_run("no free ports"))
}

impl Fleet {
    /// Starts a store with a configuration, in front of `gateways` gateways and `replicas` replicas.
    fn new(gateways: usize, replicas: usize, config: &str) -> Self {
        now_ms();
        let port = free_ports(1 + gateways + replicas);
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        if let Err(cause) = fs::create_dir_all(&folder) {
            could_not_run(&cause.to_string());
        }
        let store = Store::start(machine(0, port));
        let store = store.unwrap_or_else(|cause| could_not_run(&cause.to_string()));
        store.put("op/config", config);
        Self { store, gateways: Vec::new(), folder, port }
    }

    fn replica(
        &self,
        number: usize,
        service: &'static str,
        slots: u32,
        version: &str,
    ) -> Arc<Replica> {
        Arc::new(Replica {
            id: format!("i-{service}-{number}"),
            service,
            zone: ZONES[number % 3],
            slots,
            address: machine(100 + number, self.port),
            store: Arc::clone(&self.store),
            version: Mutex::new(version.into()),
            born: AtomicU64::new(0),
            started_at: AtomicU64::new(0),
            process: Mutex::new(None),
        })
    }

    /// Starts the gateways with the command of the deploy file, and waits until they are in touch.
    fn start_gateways(&mut self, count: usize) {
        let port = self.port;
        let seeds: Vec<String> =
            (1..=count.min(3)).map(|seed| format!("\"{}\"", machine(seed, port + 3))).collect();
        for number in 1..=count {
            let address = |offset| machine(number, port + offset);
            let settings = format!(
                r#"{{"instance":"edge-{number}","failure_domain":"{}",
"listen":{{"callers":"{}","ready":"{}","addresses":"{}","peers":"{}","beats":"{}","metrics":"{}"}},
"seeds":[{}],"source":"{}","resources":{{"descriptors":4100,"memory_mb":260}},
"bounds":{{"stop_s":8,"repeat_ratio":0.2,"repeat_allowance":58,"repeat_window_s":10,
"share_window_s":4,"longest_lease_s":5}}}}"#,
                ZONES[(number - 1) % 3],
                address(0),
                address(1),
                address(2),
                address(3),
                address(4),
                address(5),
                seeds.join(","),
                machine(0, port),
            );
            let file = self.folder.join(format!("edge-{number}.jsonc"));
            let log = fs::File::create(self.folder.join(format!("edge-{number}.log")));
            let written = fs::write(&file, settings);
            let (Ok(()), Ok(log)) = (written, log) else { could_not_run("settings not written") };
            let program =
                std::env::var("GATEWAY").unwrap_or("target/release/poplar-gateway".into());
            let child = Command::new(program)
                .arg("--settings")
                .arg(file)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(Stdio::null())
                .spawn();
            let child = child.unwrap_or_else(|cause| could_not_run(&cause.to_string()));
            CHILDREN.lock().unwrap().push(child);
            self.gateways.push(address(0));
        }
        for number in 1..=count {
            let is_ready = || {
                let answer =
                    Call::new("GET", "/readyz", b"", 500).exchange(machine(number, port + 1), "-");
                answer.status == 200
            };
            if !(0..200).any(|_| {
                is_ready() || {
                    sleep_ms(50);
                    false
                }
            }) {
                could_not_run("a gateway is not ready");
            }
        }
        record(&format!("{count} gateways are ready"));
        sleep_ms(CONTACT_MS + 500);
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.gateways.clone()
    }

    /// Stops all and ends with the verdict.
    fn finish(self, is_broken: bool, verdict: &str) -> ! {
        let alive = kill_processes();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        let verdict = match is_broken {
            true => format!("BROKEN: {verdict}"),
            false => format!("held: {verdict}"),
        };
        record(&verdict);
        println!("{verdict}");
        let path = std::env::args().nth(2).unwrap_or("record.txt".into());
        let text = RECORD.lock().unwrap().clone();
        if !alive || fs::write(path, text).is_err() {
            could_not_run("a process has ended by itself, or the record was not written");
        }
        std::process::exit(i32::from(is_broken));
    }
}

fn route(name: &str, kind: &str, service: &str, attempts: u32, timeout_ms: u64) -> String {
    let (kind, resumable) = match kind {
        "resumable" => ("streaming", true),
        kind => (kind, false),
    };
    let sticky = kind == "streaming";
    format!(
        r#"{{"name":"r-{name}","host":"{HOST}","pathPrefix":"/{name}/","routeKind":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":300,"priority":1,"service":"{service}","maxAttempts":{attempts},"public":false,"sticky":{sticky},"resumable":{resumable},"interTokenMs":300}}"#
    )
}

fn config(routes: &[String]) -> String {
    let routes = routes.join(",");
    format!(
        r#"{{"version":7,"routeList":[{routes}],"services":[{{"name":"app","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}},{{"name":"llm","healthPath":"/healthz","maxConnections":310,"protocol":"h1","tls":false,"engine":{{"slots":48,"kvCapacityTokens":444000,"kvTokenBytes":131072,"linkMbps":1100000.0,"stride":8,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":450000}},"tenants":[{{"name":"{TENANT}","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// Runs `work` every `period_ms` on threads of their own until `stop` is set.
fn repeat(
    period_ms: u64,
    stop: &Arc<AtomicBool>,
    work: impl Fn(u64) + Send + Sync + 'static,
) -> thread::JoinHandle<()> {
    let (stop, work) = (Arc::clone(stop), Arc::new(work));
    thread::spawn(move || {
        let begin = Instant::now();
        let mut threads: Vec<thread::JoinHandle<()>> = Vec::new();
        for number in 0.. {
            let due = Duration::from_millis(period_ms * number);
            thread::sleep(due.saturating_sub(begin.elapsed()));
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let work = Arc::clone(&work);
            threads.push(thread::spawn(move || work(number)));
            threads.retain(|thread| !thread.is_finished());
        }
        for thread in threads {
            let _ = thread.join();
        }
    })
}

// ---------------------------------------------------------------- case: answers without a length

/// Writes a stream of events and closes the connection. Its end is marked by a last chunk if
/// `is_framed`, and by the end of the connection alone otherwise.
fn write_events(request: &Request, stream: &mut TcpStream, events: u32, is_framed: bool) -> After {
    let headers = replica_headers(request);
    let framing = if is_framed { "Transfer-Encoding: chunked\r\n" } else { "" };
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n{framing}Connection: close\r\n\r\n"
    );
    let mut is_written = stream.write_all(head.as_bytes()).is_ok();
    for event in 1..=events {
        sleep_ms(10);
        let event = format!("id: {event}\ndata: sea state {event}\n\n");
        let event = if is_framed { format!("{:x}\r\n{event}\r\n", event.len()) } else { event };
        is_written &= stream.write_all(event.as_bytes()).is_ok();
    }
    if is_framed {
        is_written &= stream.write_all(b"0\r\n\r\n").is_ok();
    }
    let _ = is_written;
    After::Close
}

/// With `FRAMED=1`, the replicas of the case below mark the ends of their answers, for comparison.
fn is_framed() -> bool {
    std::env::var("FRAMED").is_ok_and(|value| value == "1")
}

/// A prompt part crashes each replica that begins to write an answer on it. The answers of the service
/// have neither a length nor chunks.
fn crashes_without_marked_answers() -> ! {
    const PART: &str = "bad0bad0";
    let routes = [route("sea", "streaming", "llm", 1, 10_000)];
    let mut fleet = Fleet::new(3, 4, &config(&routes));
    let arrivals: Arc<Mutex<Vec<u64>>> = Arc::default();
    let handler: Arc<OnceLock<Arc<ReplicaHandler>>> = Arc::default();
    let (own_handler, own_arrivals) = (Arc::clone(&handler), Arc::clone(&arrivals));
    let answer: Arc<ReplicaHandler> = Arc::new(move |replica, request, stream| {
        let parts = request.headers.get("poplarspring-prefix-hash").unwrap_or_default();
        if !parts.contains(PART) {
            sleep_ms(30);
            return write_events(request, stream, 4, is_framed());
        }
        own_arrivals.lock().unwrap().push(now_ms());
        record(&format!("{} crashes as it begins to write ({})", replica.id, request.id()));
        let (replica, handler) = (Arc::clone(replica), Arc::clone(&own_handler));
        thread::spawn(move || {
            sleep_ms(1_500);
            replica.start(handler.get().unwrap());
            replica.publish();
        });
        After::Crash
    });
    let answer = handler.get_or_init(|| answer);
    for number in 0..4 {
        let replica = fleet.replica(number, "llm", 48, "v1");
        replica.start(answer);
        replica.publish();
    }
    fleet.start_gateways(3);
    let addresses = fleet.addresses();
    // Requests with and without the part share their account and the first part.
    let prompt = |part: &str, number: u64| {
        let own = 0x5000_0000 + number;
        let mut call = Call::new("POST", &format!("/sea/{number}"), b"{\"area\":\"Bass\"}", 10_000);
        call.headers = vec![
            ("Poplarspring-Model", "m".into()),
            ("Poplarspring-Token-Usage", "450,32".into()),
            ("Poplarspring-Prefix-Hash", format!("5c1e07a2:120,{part}:80,{own:x}:250")),
        ];
        call
    };
    let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let (callers, counter) = (addresses.clone(), Arc::clone(&served));
    let sound = repeat(30, &stop, move |number| {
        let address = callers[number as usize % callers.len()];
        let part = format!("91bd{:04x}", number % 40);
        let answer = prompt(&part, number).send(address, &next_id());
        counter.fetch_add(usize::from(answer.status == 200 && answer.complete), Ordering::SeqCst);
    });
    sleep_ms(3_000);
    for number in 0..16 {
        let address = addresses[number % addresses.len()];
        let part = if has_trouble() { PART } else { "600d600d" };
        let id = next_id();
        let answer = prompt(part, 1_000_000 + number as u64).send(address, &id);
        record(&format!("request {number} with the part ({id}): {}", answer.status));
        sleep_ms(2_000);
    }
    stop.store(true, Ordering::SeqCst);
    let _ = sound.join();
    let arrivals = arrivals.lock().unwrap().clone();
    let fifth = arrivals.get(4).copied().unwrap_or(u64::MAX);
    let late = arrivals.iter().filter(|at| **at > fifth.saturating_add(CONTACT_MS)).count();
    record(&format!("{} sound requests were served", served.load(Ordering::SeqCst)));
    fleet.finish(
        late > 3,
        &format!(
            "{late} requests with the part reached replicas later than {CONTACT_MS} ms after the fifth crash; 3 are allowed"
        ),
    );
}

// ---------------------------------------------------------------- case: another version under the same id

/// A replica crashes and starts again under its id with another software version. It writes its entry
/// with its first heartbeat, and crashes once more.
fn other_version_under_the_same_id() -> ! {
    const HEARTBEAT_MS: u64 = 1_200;
    const DOWN_MS: u64 = 300;
    /// Time from the entry to the second crash.
    const SECOND_CRASH_MS: u64 = 200;
    let routes = [route("sea", "resumable", "llm", 2, 10_000)];
    let mut fleet = Fleet::new(9, 6, &config(&routes));
    let answer: Arc<ReplicaHandler> = Arc::new(|replica, request, stream| {
        let version = replica.version.lock().unwrap().clone();
        let born = replica.born.load(Ordering::SeqCst);
        let headers = replica_headers(request);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let last = request.headers.get("last-event-id").and_then(|id| id.parse().ok());
        let events: u32 = if request.target.contains("short") { 3 } else { 24 };
        let mut text = head;
        for event in last.unwrap_or(0) + 1..=events {
            sleep_ms(if events == 3 { 15 } else { 60 });
            // The process that began the answer has ended.
            if !replica.is_up() || replica.born.load(Ordering::SeqCst) != born {
                return After::Close;
            }
            let event = format!("id: {event}\ndata: {version} {} {event}\n\n", replica.id);
            write!(text, "{:x}\r\n{event}\r\n", event.len()).unwrap();
            if stream.write_all(text.as_bytes()).is_err() {
                return After::Close;
            }
            text.clear();
        }
        let is_written = stream.write_all(b"0\r\n\r\n").is_ok();
        if is_written { After::Keep } else { After::Close }
    });
    let replicas: Vec<Arc<Replica>> =
        (0..6).map(|number| fleet.replica(number, "llm", 48, "v1")).collect();
    for replica in &replicas {
        replica.start(&answer);
        replica.publish();
    }
    fleet.start_gateways(9);
    let addresses = fleet.addresses();
    let stop = Arc::new(AtomicBool::new(false));
    let mixed: Arc<Mutex<Vec<String>>> = Arc::default();
    let whole = Arc::new(AtomicUsize::new(0));
    let (own_mixed, own_whole) = (Arc::clone(&mixed), Arc::clone(&whole));
    let clients = repeat(6, &stop, move |number| {
        let address = addresses[number as usize % addresses.len()];
        let kind = if number % 5 < 3 { "long" } else { "short" };
        let mut call = Call::new("POST", &format!("/sea/{kind}/{number}"), b"{}", 10_000);
        call.headers = vec![
            ("Poplarspring-Model", "m".into()),
            ("Poplarspring-Token-Usage", "450,192".into()),
            ("Poplarspring-Prefix-Hash", format!("{:x}:250", 0x5000_0000 + number)),
        ];
        let id = next_id();
        let answer = call.send(address, &id);
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let mut writers: Vec<(String, usize)> = Vec::new();
        for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
            let writer = line.rsplit_once(' ').map_or(line, |(writer, _)| writer).to_owned();
            match writers.last_mut() {
                Some((last, count)) if *last == writer => *count += 1,
                _ => writers.push((writer, 1)),
            }
        }
        own_whole.fetch_add(usize::from(answer.status == 200 && answer.complete), Ordering::SeqCst);
        let version = |writer: &str| writer.split(' ').next().unwrap_or_default().to_owned();
        let first = writers.first().map(|(writer, _)| version(writer));
        if writers.iter().any(|(writer, _)| Some(version(writer)) != first) {
            let line = format!("stream {id}: events of {writers:?}, complete {}", answer.complete);
            record(&line);
            own_mixed.lock().unwrap().push(line);
        }
    });
    sleep_ms(3_000);
    if has_trouble() {
        let replica = &replicas[0];
        replica.kill();
        sleep_ms(DOWN_MS);
        *replica.version.lock().unwrap() = "v2".into();
        replica.start(&answer);
        sleep_ms(HEARTBEAT_MS);
        replica.publish();
        sleep_ms(SECOND_CRASH_MS);
        replica.kill();
    }
    sleep_ms(3_000);
    stop.store(true, Ordering::SeqCst);
    let _ = clients.join();
    let count = mixed.lock().unwrap().len();
    record(&format!("{} streams were whole", whole.load(Ordering::SeqCst)));
    fleet.finish(
        count > 2,
        &format!("{count} streams hold events of two software versions; 2 are allowed"),
    );
}

// ---------------------------------------------------------------- case: lifted by another service

/// A part crashes the engines of one service, and a request the replicas of another one. Both are put
/// in quarantine, and come on.
fn lifted_by_another_service() -> ! {
    const PART: &str = "bad0bad0";
    const PART_PERIOD_MS: u64 = 1_400;
    const BODY: &[u8] = b"{\"seat\":\"14C\",\"crew\":\"unusual\"}";
    const REQUEST_PERIOD_MS: u64 = 1_700;
    const LENGTH_MS: u64 = 98_000;
    let has_request = std::env::var("PART_ONLY").map_or(true, |value| value != "1");
    let mut fleet = Fleet::new(
        3,
        7,
        &config(&[
            route("sea", "streaming", "llm", 1, 10_000),
            route("ping", "idempotent", "app", 2, 600),
            route("book", "non_idempotent", "app", 1, 600),
        ]),
    );
    let (by_part, by_request): (Arc<Mutex<Vec<u64>>>, Arc<Mutex<Vec<u64>>>) = Default::default();
    let handler: Arc<OnceLock<Arc<ReplicaHandler>>> = Arc::default();
    let (own_handler, own_part, own_request) =
        (Arc::clone(&handler), Arc::clone(&by_part), Arc::clone(&by_request));
    let answer: Arc<ReplicaHandler> = Arc::new(move |replica, request, stream| {
        let parts = request.headers.get("poplarspring-prefix-hash").unwrap_or_default();
        let crashes = if parts.contains(PART) {
            &own_part
        } else if request.body == BODY {
            &own_request
        } else if replica.service == "llm" {
            sleep_ms(30);
            return write_events(request, stream, 4, true);
        } else {
            sleep_ms(15);
            return write_answer(request, stream, &"s".repeat(800));
        };
        crashes.lock().unwrap().push(now_ms());
        record(&format!("{} crashes ({})", replica.id, request.id()));
        let (replica, handler) = (Arc::clone(replica), Arc::clone(&own_handler));
        thread::spawn(move || {
            sleep_ms(1_000);
            replica.start(handler.get().unwrap());
            replica.publish();
        });
        After::Crash
    });
    let answer = handler.get_or_init(|| answer);
    for number in 0..7 {
        let replica = match number {
            0..4 => fleet.replica(number, "llm", 48, "engine-7"),
            _ => fleet.replica(number, "app", 6, "app-3"),
        };
        replica.start(answer);
        replica.publish();
    }
    fleet.start_gateways(3);
    let addresses = fleet.addresses();
    let prompt = |part: &str, number: u64| {
        let own = 0x5000_0000 + number;
        let mut call = Call::new("POST", &format!("/sea/{number}"), b"{\"area\":\"Bass\"}", 10_000);
        call.headers = vec![
            ("Poplarspring-Model", "m".into()),
            ("Poplarspring-Token-Usage", "450,32".into()),
            ("Poplarspring-Prefix-Hash", format!("5c1e07a2:120,{part}:80,{own:x}:250")),
        ];
        call
    };
    let stop = Arc::new(AtomicBool::new(false));
    let callers = addresses.clone();
    let sound = repeat(40, &stop, move |number| {
        let address = callers[number as usize % callers.len()];
        prompt(&format!("91bd{:04x}", number % 40), number).send(address, &next_id());
    });
    let callers = addresses.clone();
    let pings = repeat(60, &stop, move |number| {
        let address = callers[number as usize % callers.len()];
        Call::new("GET", &format!("/ping/{number}"), b"", 600).send(address, &next_id());
    });
    sleep_ms(2_000);
    let mut harmful = Vec::new();
    if has_trouble() {
        let callers = addresses.clone();
        harmful.push(repeat(PART_PERIOD_MS, &stop, move |number| {
            let address = callers[number as usize % callers.len()];
            let answer = prompt(PART, 1_000_000 + number).send(address, &next_id());
            record(&format!("request {number} with the part: {}", answer.status));
        }));
    }
    if has_trouble() && has_request {
        harmful.push(repeat(REQUEST_PERIOD_MS, &stop, move |number| {
            let address = addresses[number as usize % addresses.len()];
            let answer = Call::new("POST", "/book/confirm", BODY, 600).send(address, &next_id());
            record(&format!("retry {number} of the request: {}", answer.status));
        }));
    }
    sleep_ms(LENGTH_MS.saturating_sub(now_ms()));
    stop.store(true, Ordering::SeqCst);
    for thread in [sound, pings].into_iter().chain(harmful) {
        let _ = thread.join();
    }
    let late = |arrivals: &Mutex<Vec<u64>>, crash: usize| {
        let arrivals = arrivals.lock().unwrap();
        let since = arrivals.get(crash - 1).map_or(u64::MAX, |at| at.saturating_add(CONTACT_MS));
        arrivals.iter().filter(|at| **at > since).count()
    };
    let (parts, requests) = (late(&by_part, 5), late(&by_request, 3));
    fleet.finish(
        parts > 3 || requests > 3,
        &format!(
            "{parts} requests with the part reached replicas later than {CONTACT_MS} ms after the fifth crash, and {requests} retries of the request later than {CONTACT_MS} ms after its third; 3 of each are allowed"
        ),
    );
}

// ---------------------------------------------------------------- case: an end that is read late

/// Events of each stream of the case below, each of which has some bytes.
const LONG_EVENTS: u32 = 200;
const LONG_EVENT_BYTES: usize = 8_000;
const LONG_EVENT_MS: u64 = 8;

/// A replica as a process of its own, which serves long streams without a length or chunks.
fn serve_long_streams() -> ! {
    let arguments: Vec<String> = std::env::args().skip(2).collect();
    let [address, id] = &arguments[..] else { std::process::exit(2) };
    let (Ok(address), id) = (address.parse(), id.clone()) else { std::process::exit(2) };
    let answer = move |request: &Request, stream: &mut TcpStream| {
        if request.headers.get("poplarspring-expect-instance").is_some_and(|known| known != id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nPoplarspring-Request-Id: {}\r\nContent-Length: 0\r\n\r\n",
                request.id()
            );
            let _ = stream.write_all(head.as_bytes());
            return After::Close;
        }
        let headers = replica_headers(request);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}Written-By: {id}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        );
        let mut is_written = stream.write_all(head.as_bytes()).is_ok();
        let text = "x".repeat(LONG_EVENT_BYTES);
        for event in 1..=LONG_EVENTS {
            sleep_ms(LONG_EVENT_MS);
            let event = format!("id: {event}\ndata: {event} of {LONG_EVENTS} {text}\n\n");
            is_written = is_written && stream.write_all(event.as_bytes()).is_ok();
        }
        After::Close
    };
    match Server::start(address, Arc::new(answer)) {
        Ok(_) => loop {
            sleep_ms(1_000);
        },
        Err(_) => std::process::exit(2),
    }
}

/// Takes at most [`SLOW_READ_BYTES`] of a stream each [`SLOW_READ_MS`].
struct SlowReader {
    stream: TcpStream,
    pause: Duration,
}

const SLOW_READ_BYTES: usize = 8 << 10;
const SLOW_READ_MS: u64 = 50;

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        thread::sleep(self.pause);
        let length = buffer.len().min(SLOW_READ_BYTES);
        self.stream.read(&mut buffer[..length])
    }
}

/// A replica's process is killed while clients take its long streams slowly, and starts again before
/// the gateway has read all that the killed process had sent.
fn end_read_late() -> ! {
    const REPLICAS: usize = 6;
    const STREAMS: u64 = 12;
    const KILL_AFTER_MS: u64 = 800;
    const DOWN_MS: u64 = 1_500;
    let is_slow = std::env::var("FAST").map_or(true, |value| value != "1");
    let routes = [route("sea", "streaming", "llm", 1, 20_000)];
    let mut fleet = Fleet::new(1, REPLICAS, &config(&routes));
    let start = |replica: &Replica| {
        let program = std::env::current_exe().unwrap_or_else(|_| could_not_run("no program"));
        let child = Command::new(program)
            .args(["replica", &replica.address.to_string(), &replica.id])
            .stdin(Stdio::null())
            .spawn();
        let child = child.unwrap_or_else(|cause| could_not_run(&cause.to_string()));
        let id = child.id();
        CHILDREN.lock().unwrap().push(child);
        replica.born.store(unix_ms(), Ordering::SeqCst);
        record(&format!("{} starts, process {id}", replica.id));
        let is_listening = || TcpStream::connect(replica.address).is_ok();
        if !(0..200).any(|_| {
            is_listening() || {
                sleep_ms(5);
                false
            }
        }) {
            could_not_run("a replica does not listen");
        }
        replica.publish();
        id
    };
    let replicas: Vec<Arc<Replica>> =
        (0..REPLICAS).map(|number| fleet.replica(number, "llm", 48, "v1")).collect();
    let processes: Vec<u32> = replicas.iter().map(|replica| start(replica)).collect();
    fleet.start_gateways(1);
    let address = fleet.addresses()[0];
    // The replica that serves the first stream.
    let serving: Arc<Mutex<Option<String>>> = Arc::default();
    let clients = (0..STREAMS).map(|number| {
        let serving = Arc::clone(&serving);
        thread::spawn(move || {
            let mut call = Call::new("POST", &format!("/sea/{number}"), b"{}", 20_000);
            call.headers = vec![
                ("Poplarspring-Model", "m".into()),
                ("Poplarspring-Token-Usage", "450,1600".into()),
                ("Poplarspring-Prefix-Hash", format!("{:x}:250", 0x5000_0000 + number)),
            ];
            let id = next_id();
            let stream = TcpStream::connect(address);
            let mut stream = stream.unwrap_or_else(|cause| could_not_run(&cause.to_string()));
            let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
            let bytes = [call.head(&id).as_bytes(), &call.body[..]].concat();
            let _ = stream.write_all(&bytes);
            record(&format!("sent to {address}: {} ({id})", call.path));
            let pause = Duration::from_millis(if is_slow { SLOW_READ_MS } else { 0 });
            let mut reader = BufReader::new(SlowReader { stream, pause });
            if number == 0 {
                let begin = String::from_utf8_lossy(reader.fill_buf().unwrap_or_default()).to_lowercase();
                let writer = begin.split("written-by: ").nth(1).and_then(|text| text.lines().next());
                *serving.lock().unwrap() = writer.map(str::to_owned);
            }
            let answer = read_answer(&mut reader);
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let events = text.lines().filter(|line| line.starts_with("data: ")).count();
            let writer = answer.headers.get("written-by").unwrap_or("-");
            let Answer { status, complete, .. } = answer;
            record(&format!(
                "{id}: answered {status} by {writer}, {events} of {LONG_EVENTS} events, ends as complete: {complete}"
            ));
            status == 200 && complete && events < LONG_EVENTS as usize
        })
    });
    let clients: Vec<thread::JoinHandle<bool>> = clients.collect();
    sleep_ms(KILL_AFTER_MS);
    if has_trouble() {
        let serving = serving.lock().unwrap().clone();
        let number = replicas.iter().position(|replica| Some(&replica.id) == serving.as_ref());
        let number = number.unwrap_or_else(|| could_not_run("the first stream has not begun"));
        let (replica, process) = (&replicas[number], processes[number]);
        record(&format!("{} is killed, process {process}", replica.id));
        let mut children = CHILDREN.lock().unwrap();
        let position = children.iter().position(|child| child.id() == process);
        if let Some(mut child) = position.map(|position| children.remove(position)) {
            let _ = child.kill();
            let _ = child.wait();
        }
        drop(children);
        sleep_ms(DOWN_MS);
        start(replica);
    }
    let truncated = clients.into_iter().filter_map(|client| client.join().ok());
    let truncated = truncated.filter(|is_truncated| *is_truncated).count();
    fleet.finish(
        truncated > 0,
        &format!(
            "{truncated} of {STREAMS} streams ended as complete before their last event; none may"
        ),
    );
}

// ---------------------------------------------------------------- case: an end behind a cut

/// The answer of the replicas of the case below: its begin, and its rest.
const RECEIPT: [&str; 2] =
    ["{\"receipt\":\"1001\",\"case\":\"opened\",", "\"agency\":\"dk-oest\"}"];
/// Time between the two parts, in milliseconds.
const RECEIPT_MS: u64 = 250;

/// A replica as a process of its own, whose answers end with their connections.
fn serve_receipts() -> ! {
    let arguments: Vec<String> = std::env::args().skip(2).collect();
    let [address, id] = &arguments[..] else { std::process::exit(2) };
    let (Ok(address), id) = (address.parse(), id.clone()) else { std::process::exit(2) };
    let answer = move |request: &Request, stream: &mut TcpStream| {
        if request.headers.get("poplarspring-expect-instance").is_some_and(|known| known != id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nPoplarspring-Request-Id: {}\r\nContent-Length: 0\r\n\r\n",
                request.id()
            );
            let _ = stream.write_all(head.as_bytes());
            return After::Close;
        }
        let headers = replica_headers(request);
        let [begin, rest] = RECEIPT;
        let head = format!("HTTP/1.1 200 OK\r\n{headers}Connection: close\r\n\r\n{begin}");
        let _ = stream.write_all(head.as_bytes());
        sleep_ms(RECEIPT_MS);
        let _ = stream.write_all(rest.as_bytes());
        After::Close
    };
    match Server::start(address, Arc::new(answer)) {
        Ok(_) => loop {
            sleep_ms(1_000);
        },
        Err(_) => std::process::exit(2),
    }
}

/// The link to one replica. While it is cut, it holds all bytes and ends, and opens no connection.
#[derive(Default)]
struct Link {
    is_cut: AtomicBool,
    /// When the replica last got bytes; 0 if it got none.
    used_at: AtomicU64,
}

impl Link {
    fn start(self: &Arc<Self>, address: SocketAddr, replica: SocketAddr) {
        let listener = TcpListener::bind(address);
        let listener = listener.unwrap_or_else(|cause| could_not_run(&cause.to_string()));
        let own = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                own.wait();
                let Ok(server) = TcpStream::connect(replica) else { continue };
                let copies = (stream.try_clone(), server.try_clone());
                let (Ok(to_client), Ok(to_server)) = copies else { continue };
                let (there, back) = (Arc::clone(&own), Arc::clone(&own));
                thread::spawn(move || there.pass(stream, to_server, true));
                thread::spawn(move || back.pass(server, to_client, false));
            }
        });
    }

    fn wait(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            sleep_ms(1);
        }
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream, is_request: bool) {
        let mut buffer = [0; 16 << 10];
        loop {
            let read = from.read(&mut buffer);
            self.wait();
            match read {
                Ok(length @ 1..) => {
                    if is_request {
                        self.used_at.store(now_ms(), Ordering::SeqCst);
                    }
                    if to.write_all(&buffer[..length]).is_err() {
                        break;
                    }
                }
                _ => break,
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}

/// A replica is cut off, crashes behind the cut and starts again. Its system passes on what the
/// killed process had sent, with an end in order, once the cut heals.
fn end_behind_a_cut() -> ! {
    const REPLICAS: usize = 6;
    const ROUNDS: u64 = 6;
    const CUT_MS: u64 = 800;
    let routes = [route("register", "non_idempotent", "app", 1, 1_500)];
    let mut fleet = Fleet::new(1, 2 * REPLICAS, &config(&routes));
    let spawn = |replica: &Replica| {
        let program = std::env::current_exe().unwrap_or_else(|_| could_not_run("no program"));
        let child = Command::new(program)
            .args(["receipts", &replica.address.to_string(), &replica.id])
            .stdin(Stdio::null())
            .spawn();
        let child = child.unwrap_or_else(|cause| could_not_run(&cause.to_string()));
        let id = child.id();
        CHILDREN.lock().unwrap().push(child);
        record(&format!("{} starts, process {id}", replica.id));
        let is_listening = || TcpStream::connect(replica.address).is_ok();
        if !(0..200).any(|_| {
            is_listening() || {
                sleep_ms(5);
                false
            }
        }) {
            could_not_run("a replica does not listen");
        }
        id
    };
    let replicas: Vec<Arc<Replica>> =
        (0..REPLICAS).map(|number| fleet.replica(number, "app", 6, "v1")).collect();
    let mut processes: Vec<u32> = replicas.iter().map(|replica| spawn(replica)).collect();
    let links: Vec<Arc<Link>> = replicas.iter().map(|_| Arc::default()).collect();
    let (store, port) = (Arc::clone(&fleet.store), fleet.port);
    // The entry names the address of the link.
    let publish = |number: usize| {
        let (address, born) = (machine(200 + number, port), unix_ms());
        let Replica { id, zone, .. } = &*replicas[number];
        record(&format!("{id} writes its entry: born {born}"));
        store.put(
            &format!("servers/{id}"),
            &format!(
                r#"{{"service":"app","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"sequence":1,"born":{born}}}"#
            ),
        );
    };
    for (number, link) in links.iter().enumerate() {
        link.start(machine(200 + number, fleet.port), replicas[number].address);
        publish(number);
    }
    fleet.start_gateways(1);
    let address = fleet.addresses()[0];
    let whole = RECEIPT.concat();
    let mut truncated = 0;
    for round in 0..ROUNDS {
        let sent_at = now_ms();
        let expected = whole.clone();
        let client = thread::spawn(move || {
            let id = next_id();
            let call =
                Call::new("POST", &format!("/register/{round}"), b"{\"title\":\"Havn\"}", 1_500);
            let answer = call.send(address, &id);
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            record(&format!(
                "{id}: answered {} with {body:?}, whole: {}",
                answer.status, answer.complete
            ));
            answer.status == 200 && answer.complete && body != expected
        });
        sleep_ms(100);
        if has_trouble() {
            let number =
                links.iter().position(|link| link.used_at.load(Ordering::SeqCst) >= sent_at);
            let number = number.unwrap_or_else(|| could_not_run("no replica got the request"));
            let (replica, link) = (&replicas[number], &links[number]);
            link.is_cut.store(true, Ordering::SeqCst);
            record(&format!("{} is cut off", replica.id));
            let mut children = CHILDREN.lock().unwrap();
            let position = children.iter().position(|child| child.id() == processes[number]);
            if let Some(mut child) = position.map(|position| children.remove(position)) {
                let _ = child.kill();
                let _ = child.wait();
            }
            drop(children);
            record(&format!("{} is killed, process {}", replica.id, processes[number]));
            sleep_ms(CUT_MS / 2);
            processes[number] = spawn(replica);
            sleep_ms(CUT_MS / 2);
            link.is_cut.store(false, Ordering::SeqCst);
            record(&format!("{} is reached again", replica.id));
            publish(number);
        }
        truncated += usize::from(client.join().unwrap_or(false));
        sleep_ms(4_000);
    }
    fleet.finish(
        truncated > 0,
        &format!(
            "{truncated} of {ROUNDS} answers were passed on as whole and are not; none may be"
        ),
    );
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("replica") => serve_long_streams(),
        Some("receipts") => serve_receipts(),
        _ => {}
    }
    // A case takes at most 120 seconds.
    thread::spawn(|| {
        sleep_ms(112_000);
        could_not_run("it took too long");
    });
    std::panic::set_hook(Box::new(|panic| could_not_run(&panic.to_string())));
    match std::env::args().nth(1).as_deref() {
        Some("other-version") => other_version_under_the_same_id(),
        Some("crashes-unmarked") => crashes_without_marked_answers(),
        Some("lifted") => lifted_by_another_service(),
        Some("end-behind-cut") => end_behind_a_cut(),
        Some("late-end") => end_read_late(),
        _ => could_not_run("no such case"),
    }
}
