//! Stand-ins for the platform's store, for replicas and for clients, and the processes under
//! test. Uses the standard library only.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

pub const HOST: &str = "crew.example";
pub const KEY: &str = "key-of-north";
/// Time that the store takes for an answer.
const STORE_DELAY: Duration = Duration::from_millis(4);
/// `drainMs` of the site.
pub const DRAIN_MS: u64 = 2_000;
const ZONES: [&str; 3] = ["bell-bay", "george-town", "launceston-dc"];

// ---- record ----

struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
    children: Mutex<Vec<u32>>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

fn record() -> &'static Record {
    RECORD.get_or_init(|| Record {
        start: Instant::now(),
        lines: Mutex::default(),
        children: Mutex::default(),
    })
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Adds a line to the record, with the time since the start of the script.
pub fn note(text: &str) {
    let record = record();
    let ms = record.start.elapsed().as_secs_f64() * 1_000.0;
    lock(&record.lines).push(format!("{ms:10.1} ms  {text}"));
}

/// Writes the record, ends the processes that are left, and exits.
pub fn finish(file: &Path, status: i32) -> ! {
    for child in lock(&record().children).drain(..) {
        signal(child, "KILL");
    }
    let mut text = lock(&record().lines).join("\n");
    text.push('\n');
    if let Err(cause) = std::fs::write(file, text) {
        eprintln!("{}: {cause}", file.display());
    }
    std::process::exit(status)
}

/// Exits with 2 if the script takes longer than allowed.
pub fn watch(file: PathBuf) {
    record();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(110));
        note("the script took too long");
        finish(&file, 2)
    });
}

/// Sends a signal to a process that this script started.
pub fn signal(process: u32, name: &str) {
    let command = format!("kill -{name} {process} 2>/dev/null");
    let _ = Command::new("sh").arg("-c").arg(command).status();
}

/// Whether the disruption is to be played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until a condition holds, for 20 s at most.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds() {
        if Instant::now() > end {
            return Err(format!("timed out: {what}"));
        }
        pause(20);
    }
    Ok(())
}

// ---- HTTP ----

/// A request, or a response whose body has a length.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn id(&self) -> &str {
        self.header("poplarspring-request-id").unwrap_or("-")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

pub fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    match reader.read_until(b'\n', &mut line) {
        Ok(0) | Err(_) => None,
        Ok(_) => Some(String::from_utf8_lossy(&line).trim_end().to_owned()),
    }
}

/// Reads a start line and headers; the body stays unread.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message { first: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(message);
        }
        let (name, value) = line.split_once(':')?;
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// Reads a message with its body: with a length, in chunks, or none.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding") == Some("chunked") {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else if let Some(length) = message.header("content-length") {
        message.body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

/// Reads a chunk; `Some(None)` is the last one, `None` a broken off body.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Option<Vec<u8>>> {
    let length = usize::from_str_radix(&read_line(reader)?, 16).ok()?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk).ok()?;
    read_line(reader)?;
    Some((length > 0).then_some(chunk))
}

// ---- store ----

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    history: Vec<(String, u64, Option<String>)>,
}

/// The platform's store: what the operator and the replicas write there can be listed and
/// watched.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Result<Self, String> {
        let listener = bind(&format!("{ip}:8781"))?;
        let address = listener.local_addr().map_err(|cause| cause.to_string())?;
        let store = Self { address, state: Arc::default() };
        lock(&store.state.0).revision = 100;
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item, or removes it.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        let revision = state.revision;
        match value {
            Some(value) => state.items.insert(key.to_owned(), (value.to_owned(), revision)),
            None => state.items.remove(key),
        };
        state.history.push((key.to_owned(), revision, value.map(str::to_owned)));
        self.state.1.notify_all();
        drop(state);
        note(&format!("store     {key} is {}", value.unwrap_or("removed")));
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
            let query: HashMap<&str, &str> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let prefix = query.get("pathPrefix").copied().unwrap_or_default();
            std::thread::sleep(STORE_DELAY);
            let body = match path {
                "/kv-range" => self.list(prefix, query.get("after").copied().unwrap_or_default()),
                "/kv-watch" => {
                    let number = |name| query.get(name).and_then(|text| text.parse().ok());
                    self.changes(
                        prefix,
                        number("after").unwrap_or(0),
                        number("waitMs").unwrap_or(0),
                    )
                }
                _ => "{}".to_owned(),
            };
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 0";
            let answer = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn list(&self, prefix: &str, after: &str) -> String {
        let state = lock(&self.state.0);
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let entries: Vec<String> =
            items.map(|(key, (value, revision))| item(key, *revision, Some(value))).collect();
        let entries = entries.join(",");
        format!(r#"{{"entries":[{entries}],"morePages":false,"asOf":{}}}"#, state.revision)
    }

    fn changes(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = lock(&self.state.0);
        loop {
            let changes = state.history.iter();
            let changes = changes.filter(|(key, at, _)| *at > after && key.starts_with(prefix));
            let events: Vec<String> =
                changes.map(|(key, at, value)| item(key, *at, value.as_deref())).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return format!(r#"{{"events":[{events}],"asOf":{}}}"#, state.revision);
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn item(key: &str, revision: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => {
            let value = base64(value.as_bytes());
            format!(
                r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
            )
        }
        None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte));
        let number = number << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = number >> (18 - 6 * index) & 63;
            text.push(if index > chunk.len() { '=' } else { DIGITS[digit as usize] as char });
        }
    }
    text
}

/// The configuration of a small deployment: routes as (name, kind, attempts, resumable,
/// timeout in ms, service).
pub fn configuration(routes: &[(&str, &str, u32, bool, u64, &str)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, kind, attempts, resumable, timeout, service)| {
            let is_stream = *kind == "streaming";
            format!(
                r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"/{name}/","routeKind":"{kind}","timeoutMs":{timeout},"targetLatencyMs":600,"priority":1,"service":"{service}","maxAttempts":{attempts},"public":false,"sticky":{is_stream},"resumable":{resumable},"interTokenMs":300}}"#
            )
        })
        .collect();
    let engine = r#"{"slots":48,"kvCapacityTokens":444000,"kvTokenBytes":131072,"linkMbps":1100000.0,"moves":true,"backups":true,"stride":8,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{"name":"m"}]}"#;
    let services = format!(
        r#"[{{"name":"briefing-models","healthPath":"/healthz","maxConnections":310,"protocol":"h1","tls":false,"engine":{engine}}},{{"name":"crewlink-app","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}}]"#
    );
    let limits = r#"{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":450000}"#;
    let tenants = format!(r#"[{{"name":"north","apiKeys":["{KEY}"],"priority":1}}]"#);
    let routes = routes.join(",");
    format!(
        r#"{{"version":7,"routeList":[{routes}],"services":{services},"limits":{limits},"tenants":{tenants}}}"#
    )
}

// ---- replicas ----

/// One request at a replica.
pub struct Arrival<'a> {
    pub replica: &'a Replica,
    pub request: &'a Message,
    /// Request before on the same connection, which has been answered.
    pub previous: Option<&'a str>,
    pub writer: &'a mut TcpStream,
}

type Behaviour = dyn Fn(&mut Arrival<'_>) -> std::io::Result<()> + Send + Sync;

/// A replica. It runs what arrives, unless the request is for another replica.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    service: &'static str,
    pub version: &'static str,
    address: SocketAddr,
    born: u64,
    /// Ids of the requests that ran.
    pub runs: Arc<Mutex<Vec<String>>>,
    behaviour: Arc<Behaviour>,
}

impl Replica {
    pub fn start(
        id: &str,
        ip: &str,
        service: &'static str,
        version: &'static str,
        behaviour: impl Fn(&mut Arrival<'_>) -> std::io::Result<()> + Send + Sync + 'static,
    ) -> Result<Self, String> {
        let listener = bind(&format!("{ip}:8080"))?;
        let address = listener.local_addr().map_err(|cause| cause.to_string())?;
        let since_epoch = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let replica = Self {
            id: id.to_owned(),
            service,
            version,
            address,
            born: since_epoch.as_millis() as u64,
            runs: Arc::default(),
            behaviour: Arc::new(behaviour),
        };
        let served = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = served.clone();
                std::thread::spawn(move || replica.serve(stream));
            }
        });
        Ok(replica)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut previous: Option<String> = None;
        while let Some(request) = read_message(&mut reader) {
            let expected = request.header("poplarspring-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                note(&format!("replica   {} gets {} for another one: 421", self.id, request.id()));
                let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0";
                let id = request.id();
                let answer = format!(
                    "{head}\r\nPoplarspring-Request-Id: {id}\r\nPoplarspring-Instance-Id: {}\r\n\r\n",
                    self.id
                );
                let _ = writer.write_all(answer.as_bytes());
                continue;
            }
            let id = request.id().to_owned();
            lock(&self.runs).push(id.clone());
            note(&format!("replica   {} ({}) runs {id}", self.id, self.version));
            let mut arrival = Arrival {
                replica: self,
                request: &request,
                previous: previous.as_deref(),
                writer: &mut writer,
            };
            if (self.behaviour)(&mut arrival).is_err() {
                return;
            }
            previous = Some(id);
        }
    }

    /// The entry that the replica writes in the store.
    pub fn entry(&self, state: &str) -> String {
        let (old, born) = (self.entry_of_old_writer(), self.born);
        let old = old.replace("\"ready\"", &format!("\"{state}\""));
        format!(r#"{},"coldLeftMs":0,"sequence":4,"born":{born}}}"#, old.trim_end_matches('}'))
    }

    /// An entry without `coldLeftMs`, `sequence` and `born`, as another writer may write it.
    pub fn entry_of_old_writer(&self) -> String {
        let Self { service, version, address, .. } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"bell-bay","version":"{version}","slots":48,"state":"ready"}}"#
        )
    }

    /// The key of the entry.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    pub fn run_count(&self, id: &str) -> usize {
        lock(&self.runs).iter().filter(|run| *run == id).count()
    }
}

impl Arrival<'_> {
    /// Headers of an answer of the replica.
    pub fn head(&self, status: &str, rest: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\nPoplarspring-Request-Id: {}\r\nPoplarspring-Response-Signature: \
             3e1b.07.5a2\r\n{rest}\r\n",
            self.request.id()
        )
    }

    /// Answers with a short body.
    pub fn answer(&mut self) -> std::io::Result<()> {
        let answer = self.head("200 OK", "Content-Length: 5\r\n") + "whole";
        self.writer.write_all(answer.as_bytes())
    }

    /// Answers with the events up to `last`, beginning after `Last-Event-Id`. The data of an
    /// event names the software version that wrote it.
    pub fn stream(&mut self, last: u64, gap_ms: u64) -> std::io::Result<()> {
        let rest = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        let head = self.head("200 OK", rest);
        self.writer.write_all(head.as_bytes())?;
        let after = self.request.header("last-event-id").and_then(|id| id.parse().ok());
        for event in after.unwrap_or(0) + 1..=last {
            let event = format!("id: {event}\ndata: {}\n\n", self.replica.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            self.writer.write_all(chunk.as_bytes())?;
            pause(gap_ms);
        }
        self.writer.write_all(b"0\r\n\r\n")
    }
}

// ---- machines ----

/// A process of the deploy file on a machine of its own loopback address.
pub struct Machine {
    pub name: String,
    pub ip: String,
    folder: PathBuf,
    child: Child,
}

/// Addresses of a deployment: 127.A.B.0/24.
pub struct Network {
    prefix: String,
}

impl Network {
    /// Finds a network in which the ports of `machines` machines are free.
    pub fn find(machines: usize) -> Result<Self, String> {
        let seed = std::process::id();
        for attempt in 0..200 {
            let number = seed.wrapping_mul(31).wrapping_add(attempt * 257);
            let prefix = format!("127.{}.{}", 16 + number % 200, number / 200 % 250);
            let network = Self { prefix };
            let is_free = (1..=machines).all(|index| {
                let ip = network.machine(index);
                let tcp = [8783, 8780, 8785, 8789, 9464];
                tcp.iter().all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok())
                    && UdpSocket::bind((ip.as_str(), 7400)).is_ok()
            });
            if is_free {
                return Ok(network);
            }
        }
        Err("no free ports".into())
    }

    pub fn machine(&self, index: usize) -> String {
        format!("{}.{index}", self.prefix)
    }

    pub fn store(&self) -> String {
        format!("{}.200", self.prefix)
    }

    pub fn replica(&self, index: usize) -> String {
        format!("{}.{}", self.prefix, 100 + index)
    }
}

fn bind(address: &str) -> Result<TcpListener, String> {
    TcpListener::bind(address).map_err(|cause| format!("{address}: {cause}"))
}

/// Fills in the template of the deploy file as the platform does, for the fields it has.
fn render(
    template: &str,
    name: &str,
    ip: &str,
    zone: &str,
    seeds: &[String],
    store: SocketAddr,
) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:8785\"")).collect();
    let fields = [
        ("{{nodeName|json}}", format!("\"{name}\"")),
        ("{{zone|json}}", format!("\"{zone}\"")),
        ("{{listen.frontend|json}}", format!("\"{ip}:8783\"")),
        ("{{listen.ready|json}}", format!("\"{ip}:8780\"")),
        ("{{listen.directoryAddr|json}}", format!("\"{ip}:8789\"")),
        ("{{listen.controlAddr|json}}", format!("\"{ip}:8785\"")),
        ("{{ip}}", ip.to_owned()),
        ("{{portRange.0}}", "7400".into()),
        ("{{#seeds}}{{.|json}}{{,}}{{/seeds}}", seeds.join(",")),
        ("{{platform.address|json}}", format!("\"{store}\"")),
        ("{{limits.fileDescriptors}}", "4100".into()),
        ("{{limits.memoryMb}}", "260".into()),
        ("{{bounds.graceS}}", "8".into()),
        ("{{bounds.retryBudgetRatio}}", "0.2".into()),
        ("{{bounds.retryBudgetExtra}}", "58".into()),
        ("{{bounds.retryWindowS}}", "10".into()),
        ("{{bounds.quotaWindowS}}", "4".into()),
        ("{{bounds.ttl_max_s}}", "5".into()),
    ];
    let fill = |text: String, (field, value): &(&str, String)| text.replace(field, value);
    fields.iter().fold(template.to_owned(), fill)
}

impl Machine {
    /// Starts the machines of a deployment, three of them seeds, and waits until they are ready.
    pub fn start_all(network: &Network, count: usize, store: &Store) -> Result<Vec<Self>, String> {
        let template = std::fs::read_to_string("deploy/gateway.jsonc");
        let template = template.map_err(|cause| format!("deploy/gateway.jsonc: {cause}"))?;
        let seeds: Vec<String> = (1..=count.min(3)).map(|index| network.machine(index)).collect();
        let mut machines = Vec::new();
        for index in 1..=count {
            let zone = ZONES[(index - 1) % 3];
            let (name, ip) = (format!("edge-{zone}-{index}"), network.machine(index));
            let settings = render(&template, &name, &ip, zone, &seeds, store.address);
            if settings.contains("{{") {
                return Err(format!(
                    "deploy/gateway.jsonc has a field without a value: {settings}"
                ));
            }
            let folder = format!("poplar-review-{}-{index}", std::process::id());
            let folder = std::env::temp_dir().join(folder);
            let failed = |cause: std::io::Error| format!("{}: {cause}", folder.display());
            std::fs::create_dir_all(&folder).map_err(failed)?;
            std::fs::write(folder.join("node.conf"), settings).map_err(failed)?;
            let child = spawn(&folder)?;
            machines.push(Self { name, ip, folder, child });
        }
        for machine in &machines {
            machine.wait_until_ready()?;
        }
        note(&format!("machines  {count} are ready"));
        Ok(machines)
    }

    pub fn wait_until_ready(&self) -> Result<(), String> {
        wait_until("a machine is ready", || self.is_ready())
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = TcpStream::connect((self.ip.as_str(), 8780)).ok().and_then(|mut stream| {
            stream.write_all(request.as_bytes()).ok()?;
            read_message(&mut BufReader::new(stream))
        });
        answer.is_some_and(|answer| answer.status() == 200)
    }

    pub fn connect(&self) -> std::io::Result<TcpStream> {
        let address = SocketAddr::new(self.ip.parse().unwrap_or([127, 0, 0, 1].into()), 8783);
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        Ok(stream)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        note(&format!("machine   {} gets SIG{name}", self.name));
        signal(self.child.id(), name);
    }

    /// Starts the process again after its end.
    pub fn restart(&mut self) -> Result<(), String> {
        self.child.wait().map_err(|cause| cause.to_string())?;
        self.child = spawn(&self.folder)?;
        note(&format!("machine   {} starts again", self.name));
        Ok(())
    }
}

fn spawn(folder: &Path) -> Result<Child, String> {
    let log = std::fs::File::options().create(true).append(true).open(folder.join("log"));
    let log = log.map_err(|cause| cause.to_string())?;
    let program = "target/release/poplar-gateway";
    let child = Command::new(program)
        .arg("--settings")
        .arg(folder.join("node.conf"))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .map_err(|cause| format!("{program}: {cause}"))?;
    lock(&record().children).push(child.id());
    Ok(child)
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        lock(&record().children).retain(|child| *child != id);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

// ---- clients ----

/// Encodes a client's request. `rest` are further header lines, each with its line end.
pub fn request(method: &str, path: &str, id: &str, rest: &str, body: &str) -> String {
    let length =
        if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nPoplarspring-Request-Id: {id}\r\n\
         Authorization: Bearer {KEY}\r\n{length}{rest}\r\n{body}"
    )
}

/// Header lines of a request for a stream.
pub fn prompt(part: u64) -> String {
    format!(
        "Poplarspring-Model: m\r\nPoplarspring-Token-Usage: 260,40\r\nPoplarspring-Prefix-Hash: \
         5c1e07a2:200,{part:x}:60\r\nPoplarspring-Deadline-Ms: 10000\r\n"
    )
}
