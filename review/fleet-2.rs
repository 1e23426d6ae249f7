//! Stand-ins and processes for the scripts of this review: the platform's store, replicas,
//! clients, and gateways that run with the command of the deploy file. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::panic::{UnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// `graceS` of the deployments under sites/.
pub const GRACE_S: u64 = 8;
pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";

// ---- record ----

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Opens `record.txt` in the folder of the case.
fn open_record(folder: &Path) {
    let file = File::create(folder.join("record.txt"));
    let file = file.unwrap_or_else(|cause| cannot_run(&format!("record.txt: {cause}")));
    let _ = RECORD.set(Mutex::new(file));
    START.get_or_init(Instant::now);
}

pub fn at_ms() -> u128 {
    START.get_or_init(Instant::now).elapsed().as_millis()
}

pub fn note(text: &str) {
    let line = format!("{:>7} ms  {text}\n", at_ms());
    if let Some(record) = RECORD.get() {
        let _ = record.lock().unwrap_or_else(PoisonError::into_inner).write_all(line.as_bytes());
    }
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Gives the case up as one that could not run: `run_case` ends all processes and exits with 2.
pub fn cannot_run(cause: &str) -> ! {
    panic!("the case could not run: {cause}");
}

/// Runs a case: `program FOLDER`, where FOLDER gets `record.txt`. With `replica` as the first
/// argument, the program is a replica instead, which `replica` serves. Exits with 1 if the rule
/// was broken, 0 if it held, and 2 if the case could not run.
pub fn run_case(run: impl FnOnce() -> bool + UnwindSafe, replica: impl FnOnce(u16, &str)) -> ! {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|word| word == "replica") {
        let port = arguments.get(2).and_then(|port| port.parse().ok()).unwrap_or(0);
        // The replica ends with the process that started it.
        thread::spawn(|| {
            let _ = std::io::stdin().read(&mut [0; 1]);
            std::process::exit(0);
        });
        replica(port, arguments.get(3).map_or("", String::as_str));
        std::process::exit(0);
    }
    let Some(folder) = arguments.get(1) else { std::process::exit(2) };
    open_record(Path::new(folder));
    let code = match catch_unwind(run) {
        Ok(broken) => i32::from(broken),
        Err(_) => 2,
    };
    std::process::exit(code);
}

// ---- HTTP ----

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
    pub fn id(&self) -> &str {
        self.get("poplarspring-request-id").unwrap_or("-")
    }
}

/// Reads bytes up to and with the empty line after a head. Bytes after it stay in `buffer`.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Head> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let first = lines.next()?.to_owned();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers = headers
                .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                .collect();
            return Some(Head { first, headers });
        }
        let mut part = [0; 16384];
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&part[..count]),
        }
    }
}

/// Reads `length` bytes; fewer if the connection ends.
pub fn read_bytes(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> Vec<u8> {
    let mut part = [0; 16384];
    while buffer.len() < length {
        match stream.read(&mut part) {
            Ok(0) | Err(_) => break,
            Ok(count) => buffer.extend_from_slice(&part[..count]),
        }
    }
    let rest = buffer.split_off(length.min(buffer.len()));
    std::mem::replace(buffer, rest)
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let head = read_head(stream, buffer)?;
    let mut body = Vec::new();
    if let Some(length) = head.get("content-length").and_then(|text| text.parse::<usize>().ok()) {
        body = read_bytes(stream, buffer, length);
        if body.len() < length {
            return None;
        }
    }
    Some(Request { head, body })
}

/// What a client saw of an answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    /// The body ended as its head announced.
    pub complete: bool,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.status()
    }
}

/// Reads an answer whose body has a length or chunks, or ends with its connection.
pub fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut buffer = Vec::new();
    let Some(head) = read_head(stream, &mut buffer) else { return Answer::default() };
    let chunked = head.get("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    let length = head.get("content-length").and_then(|text| text.parse::<usize>().ok());
    let mut raw = buffer;
    let mut part = [0; 4096];
    loop {
        if let Some(length) = length {
            if raw.len() >= length {
                raw.truncate(length);
                return Answer { head, body: raw, complete: true };
            }
        } else if chunked {
            if let (body, true) = unchunk(&raw) {
                return Answer { head, body, complete: true };
            }
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => {
                let complete = length.is_none() && !chunked;
                let body = if chunked { unchunk(&raw).0 } else { raw };
                return Answer { head, body, complete };
            }
            Ok(count) => raw.extend_from_slice(&part[..count]),
        }
    }
}

/// Decodes chunks; the flag tells whether the last one has come.
pub fn unchunk(mut raw: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = raw.windows(2).position(|window| window == b"\r\n") else {
            return (body, false);
        };
        let text = String::from_utf8_lossy(&raw[..end]);
        let Ok(size) = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16)
        else {
            return (body, false);
        };
        raw = &raw[end + 2..];
        if size == 0 {
            return (body, raw.len() >= 2);
        }
        let take = size.min(raw.len());
        body.extend_from_slice(&raw[..take]);
        if raw.len() < size + 2 {
            return (body, false);
        }
        raw = &raw[size + 2..];
    }
}

/// Returns the bytes of a request as a client sends them.
pub fn request_bytes(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nPoplarspring-Request-Id: {id}\r\nPoplarspring-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{more}"
    );
    if method != "GET" {
        bytes += &format!("Content-Length: {}\r\n", body.len());
    }
    bytes += "\r\n";
    [bytes.as_bytes(), body].concat()
}

pub fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    TcpStream::connect_timeout(&address, Duration::from_secs(1))
}

pub fn call(address: SocketAddr, bytes: &[u8]) -> Answer {
    let Ok(mut stream) = connect(address) else { return Answer::default() };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
    if stream.write_all(bytes).is_err() {
        return Answer::default();
    }
    read_answer(&mut stream)
}

// ---- the platform's store ----

#[derive(Clone)]
struct Item {
    value: Option<String>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<String>)>,
}

/// Stand-in for the platform's store, as PROTOCOL.md tells it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let bits = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for index in 0..4 {
            let letter = ALPHABET[(bits >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= part.len() { letter } else { '=' });
        }
    }
    text
}

impl Store {
    pub fn start() -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|cause| cannot_run(&cause.to_string()));
        let address = listener.local_addr().unwrap_or_else(|cause| cannot_run(&cause.to_string()));
        let state = StoreState { revision: 10, ..StoreState::default() };
        let store = Self { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(base64(value.as_bytes())));
    }

    pub fn delete(&self, key: &str) {
        self.write(key, None);
    }

    fn write(&self, key: &str, value: Option<String>) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        match &value {
            Some(_) => drop(
                state
                    .items
                    .insert(key.to_owned(), Item { value: value.clone(), revision, created }),
            ),
            None => drop(state.items.remove(key)),
        }
        state.events.push((revision, key.to_owned(), value));
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            let (status, body) = self.answer(request.head.path());
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: 0\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> (u16, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let value = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(&format!("{name}=")))
                .unwrap_or("")
                .to_owned()
        };
        let prefix = value("pathPrefix").replace("%2F", "/");
        let (mutex, changed) = &*self.state;
        let mut state = mutex.lock().unwrap_or_else(PoisonError::into_inner);
        match path {
            "/kv-range" => {
                let after = value("after").replace("%2F", "/");
                let items =
                    state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
                    item.value.as_deref().unwrap_or(""), item.revision, item.created
                )).collect();
                (
                    200,
                    format!(
                        "{{\"entries\":[{}],\"morePages\":false,\"asOf\":{}}}",
                        items.join(","),
                        state.revision
                    ),
                )
            }
            "/kv-watch" => {
                let after: u64 = value("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(value("waitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let events = state
                        .events
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
                    let events: Vec<String> = events.map(|(revision, key, value)| match value {
                        Some(value) => format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}"),
                        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                    }).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return (
                            200,
                            format!(
                                "{{\"events\":[{}],\"asOf\":{}}}",
                                events.join(","),
                                state.revision
                            ),
                        );
                    }
                    state =
                        changed.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

// ---- configuration and entries ----

pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub attempts: u32,
    pub resumable: bool,
    pub timeout_ms: u64,
}

/// Returns a configuration with `routes` to one service, `app`.
pub fn config(version: u64, routes: &[Route]) -> String {
    let routes: Vec<String> = routes.iter().map(|route| format!(
        "{{\"name\":\"{0}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{0}/\",\"routeKind\":\"{1}\",\"timeoutMs\":{2},\"targetLatencyMs\":300,\"interTokenMs\":300,\"priority\":1,\"service\":\"app\",\"maxAttempts\":{3},\"public\":false,\"sticky\":false,\"resumable\":{4}}}",
        route.name, route.kind, route.timeout_ms, route.attempts, route.resumable
    )).collect();
    format!(
        "{{\"version\":{version},\"routeList\":[{}],\"services\":[{{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConnections\":310}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":60000,\"tokensPerS\":1000000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"]}}]}}",
        routes.join(",")
    )
}

/// The same with a service of model engines, whose requests tell the parts of their prompts.
pub fn engine_config(version: u64, routes: &[Route]) -> String {
    let engine =
        "\"maxConnections\":310,\"engine\":{\"slots\":48,\"kvCapacityTokens\":444000,\"stride\":8}";
    let text = config(version, routes).replace("\"maxConnections\":310", engine);
    text.replace("\"sticky\":false", "\"sticky\":true")
}

/// Returns the entry of a replica of version `v1`.
pub fn entry(address: SocketAddr, state: &str, born: u64) -> String {
    entry_of_version(address, state, born, "v1")
}

pub fn entry_of_version(address: SocketAddr, state: &str, born: u64, version: &str) -> String {
    format!(
        "{{\"service\":\"app\",\"address\":\"{address}\",\"zone\":\"bell-bay\",\"version\":\"{version}\",\"slots\":48,\"state\":\"{state}\",\"coldLeftMs\":0,\"sequence\":1,\"born\":{born}}}"
    )
}

// ---- replicas ----

/// Serves requests of gateways in this process; `serve` answers one request and returns whether
/// the connection is kept.
pub fn start_replica(
    serve: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let listener =
        TcpListener::bind("127.0.0.1:0").unwrap_or_else(|cause| cannot_run(&cause.to_string()));
    let address = listener.local_addr().unwrap_or_else(|cause| cannot_run(&cause.to_string()));
    thread::spawn(move || serve_connections(listener, serve));
    address
}

fn serve_connections(
    listener: TcpListener,
    serve: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let serve = Arc::new(serve);
    for mut stream in listener.incoming().flatten() {
        let serve = Arc::clone(&serve);
        thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let mut buffer = Vec::new();
            while let Some(request) = read_request(&mut stream, &mut buffer) {
                if !serve(&request, &mut stream) {
                    return;
                }
            }
        });
    }
}

/// Returns the head of a replica's answer, without what frames its body.
pub fn replica_head(request: &Request, status: u16) -> String {
    format!(
        "HTTP/1.1 {status} -\r\nPoplarspring-Request-Id: {}\r\nPoplarspring-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nPoplarspring-Instance-Load: 1,0,48\r\n",
        request.head.id()
    )
}

// ---- gateways ----

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns a port that is free at `ip` for TCP and UDP, below the ephemeral range.
pub fn free_port(ip: IpAddr) -> u16 {
    let first = std::process::id().wrapping_mul(97);
    for _ in 0..20_000 {
        let number = first.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let port = (10_000 + number % 20_000) as u16;
        if TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
    cannot_run("no free port")
}

pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("poplar-review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|cause| cannot_run(&cause.to_string()));
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub beats: SocketAddr,
    pub settings: PathBuf,
    pub log: PathBuf,
    pub child: Child,
}

#[derive(Clone, Copy)]
pub struct GatewayPlan<'a> {
    pub index: usize,
    pub zone: &'a str,
    pub beats_port: u16,
    pub memory_mb: usize,
    pub store: SocketAddr,
}

impl Gateway {
    /// Starts a gateway at 127.0.0.(index + 1) with settings like those of the deploy file.
    pub fn start(folder: &Folder, plan: GatewayPlan<'_>) -> Self {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, plan.index as u8 + 1));
        let [callers, ready, addresses, peers, metrics] =
            std::array::from_fn(|_| SocketAddr::new(ip, free_port(ip)));
        let beats = SocketAddr::new(ip, plan.beats_port);
        let name = format!("edge-{}-{}", plan.zone, plan.index + 1);
        let text = format!(
            "{{\"instance\":\"{name}\",\"failure_domain\":\"{}\",\"listen\":{{\"callers\":\"{callers}\",\"ready\":\"{ready}\",\"addresses\":\"{addresses}\",\"peers\":\"{peers}\",\"beats\":\"{beats}\",\"metrics\":\"{metrics}\"}},\"seeds\":[\"127.0.0.1:1\"],\"source\":\"{}\",\"resources\":{{\"descriptors\":4100,\"memory_mb\":{}}},\"bounds\":{{\"stop_s\":{GRACE_S},\"repeat_ratio\":0.2,\"repeat_allowance\":58,\"repeat_window_s\":10,\"share_window_s\":4,\"longest_lease_s\":5}}}}",
            plan.zone, plan.store, plan.memory_mb
        );
        let settings = folder.0.join(format!("{name}.jsonc"));
        std::fs::write(&settings, text).unwrap_or_else(|cause| cannot_run(&cause.to_string()));
        let log = folder.0.join(format!("{name}.log"));
        let child = Self::spawn(&settings, &log);
        note(&format!("gateway {name} started as process {}, callers {callers}", child.id()));
        Self { name, callers, ready, peers, beats, settings, log, child }
    }

    fn spawn(settings: &Path, log: &Path) -> Child {
        let output = File::options()
            .append(true)
            .create(true)
            .open(log)
            .unwrap_or_else(|cause| cannot_run(&cause.to_string()));
        let errors = output.try_clone().unwrap_or_else(|cause| cannot_run(&cause.to_string()));
        let program = "target/release/poplar-gateway";
        let mut command = Command::new(program);
        command.arg("--settings").arg(settings).stdin(Stdio::null()).stdout(output).stderr(errors);
        // PR_SET_PDEATHSIG: the gateway ends with the thread that started it.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64);
                Ok(())
            });
        }
        command.spawn().unwrap_or_else(|cause| cannot_run(&format!("{program}: {cause}")))
    }

    pub fn signal(&self, signal: i32) {
        send_signal(self.child.id(), signal);
    }

    pub fn wait_exit(&mut self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while self.is_running() {
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        true
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_none()
    }

    pub fn is_ready(&self) -> bool {
        call(self.ready, b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.is_ready() {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        cannot_run(&format!("{} is not ready", self.name));
    }

    /// Waits until a request is answered with 200.
    pub fn wait_served(&self, path: &str) {
        self.wait_ready();
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if call(self.callers, &request_bytes("GET", path, "warm-up", 1_000, "", b"")).status()
                == 200
            {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        cannot_run(&format!("{} serves no request", self.name));
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        send_signal(self.child.id(), SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn send_signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

/// Records and prints whether the rule was broken.
pub fn verdict(broken: bool, text: &str) -> bool {
    let text = format!("{}: {text}", if broken { "broken" } else { "held" });
    note(&text);
    println!("{text}");
    broken
}

// ---- replicas in processes of their own ----

/// A replica in a process of its own, which writes what it does to its standard output.
pub struct ReplicaProcess {
    pub address: SocketAddr,
    child: Child,
}

impl ReplicaProcess {
    /// Starts this program again as the replica `id` at `port`; `hear` gets each line that it
    /// writes, from another thread, and `None` at its end.
    pub fn start(id: &str, port: u16, hear: impl Fn(Option<&str>) + Send + 'static) -> Self {
        let program =
            std::env::current_exe().unwrap_or_else(|cause| cannot_run(&cause.to_string()));
        let mut command = Command::new(program);
        command.args(["replica", &port.to_string(), id]);
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().unwrap_or_else(|cause| cannot_run(&cause.to_string()));
        let Some(output) = child.stdout.take() else { cannot_run("no output of a replica") };
        let mut lines = BufReader::new(output).lines();
        let first = lines.next().and_then(Result::ok).unwrap_or_default();
        let address = first.strip_prefix("listens at ").and_then(|text| text.parse().ok());
        let Some(address) = address else { cannot_run(&format!("replica {id}: {first}")) };
        note(&format!("replica {id} listens at {address}, process {}", child.id()));
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                hear(Some(&line));
            }
            hear(None);
        });
        Self { address, child }
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ReplicaProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Listens as a replica process and serves each connection on a thread of its own.
pub fn serve_as_replica(
    port: u16,
    serve: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) else { return println!("no port") };
    let Ok(address) = listener.local_addr() else { return };
    println!("listens at {address}");
    serve_connections(listener, serve);
}

/// Returns the time now in Unix milliseconds, for the start of a replica.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Writes one event of a stream as a chunk; returns whether the connection took it.
pub fn write_event(stream: &mut TcpStream, id: u64) -> bool {
    let event = format!("id: {id}\ndata: piece {id}\n\n");
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    stream.write_all(chunk.as_bytes()).is_ok()
}

// ---- replicas that start again after a crash ----

/// What a replica process did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaEvent<'a> {
    /// It wrote this line.
    Line(&'a str),
    Crashed,
}

/// A replica that starts again some time after each crash, under its id and at its address. Its
/// entry in the store then has a new time of its start.
pub struct CrashingReplica {
    current: Arc<Mutex<Option<ReplicaProcess>>>,
    /// When its process started last, in Unix milliseconds.
    born: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
}

impl CrashingReplica {
    /// Starts a replica of a software version, which is down for `down` after each crash.
    pub fn start(
        id: String,
        version: &'static str,
        store: Store,
        down: Duration,
        hear: impl Fn(ReplicaEvent<'_>) + Send + Sync + 'static,
    ) -> Self {
        let current: Arc<Mutex<Option<ReplicaProcess>>> = Arc::default();
        let is_over: Arc<AtomicBool> = Arc::default();
        let port = free_port(IpAddr::V4(Ipv4Addr::LOCALHOST));
        let hear = Arc::new(hear);
        let born: Arc<AtomicU64> = Arc::default();
        let (holder, start, over) = (Arc::clone(&current), Arc::clone(&born), Arc::clone(&is_over));
        thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let (ended, end) = std::sync::mpsc::channel();
                let listener = Arc::clone(&hear);
                let process = ReplicaProcess::start(&id, port, move |line| match line {
                    Some(line) => listener(ReplicaEvent::Line(line)),
                    None => drop(ended.send(())),
                });
                start.store(unix_ms(), Ordering::SeqCst);
                let born = start.load(Ordering::SeqCst);
                let text = entry_of_version(process.address, "ready", born, version);
                store.put(&format!("servers/{id}"), &text);
                *holder.lock().unwrap_or_else(PoisonError::into_inner) = Some(process);
                let _ = end.recv();
                let ended = holder.lock().unwrap_or_else(PoisonError::into_inner).take();
                drop(ended);
                if !over.load(Ordering::SeqCst) {
                    hear(ReplicaEvent::Crashed);
                    thread::sleep(down);
                }
            }
        });
        Self { current, born, is_over }
    }

    /// Returns its address; `None` while it is down.
    pub fn address(&self) -> Option<SocketAddr> {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        current.as_ref().map(|process| process.address)
    }

    pub fn born(&self) -> u64 {
        self.born.load(Ordering::SeqCst)
    }
}

impl Drop for CrashingReplica {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        drop(self.current.lock().unwrap_or_else(PoisonError::into_inner).take());
    }
}
