//! What a router holds for callers that read slowly stays within its memory and its
//! descriptors, and it still answers an ordinary caller.
//!
//! Each test guards against a router that ends over its memory, as it reads responses faster
//! than their callers take them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use bench::{ExampleSite, FleetPlan, HttpCaller, ReadPace, RunningFleet, SlowCrowd, UseSampler};
use serde_json::json;

use crate::fixture::{ACCOUNT, APP, IDEMPOTENT_PATH, MODEL, with_plan};
use crate::truncation::{read_request, split_head, without_framing};

/// Resident memory and socket queues that a router may have, in kilobytes: the memory of the
/// smallest instance.
const MEMORY_LIMIT_KB: u64 = 88 << 10;
/// Descriptors that a router may have.
const DESCRIPTORS: u64 = 400;
/// Callers: as many as both services have slots.
const CALLERS: usize = 24;
/// Connections without a request.
const IDLE_CALLERS: usize = 600;
/// Requests on one connection.
const PIPELINED: usize = 8;
/// Length of a long plain response, below the largest that a router accepts, in kilobytes.
const LONG_KB: usize = 6 << 10;
/// Length of a response to a pipelined request, in kilobytes.
const PIPELINED_KB: usize = 1 << 10;
/// Length of a long stream, below the largest that a router accepts, and of the data of each
/// token, in bytes.
const STREAM_BYTES: usize = 8 << 20;
const TOKEN_BYTES: usize = 16 << 10;
/// Tokens of a short stream.
const SHORT_TOKENS: usize = 6;
/// Receive buffer of a caller with a small window, in bytes.
const SMALL_WINDOW: usize = 4 << 10;
/// Bytes after which a caller stops in the middle.
const STOP_BYTES: usize = 300 << 10;
/// Accounts of the example document whose callers read slowly, and one whose caller does not.
const SLOW_ACCOUNTS: [&str; 6] =
    [ACCOUNT, "furneaux-marine", "king-island-crews", "tech-01", "tech-02", "tech-03"];
const ORDINARY_ACCOUNT: &str = "tech-13";
/// Time for which an ordinary caller repeats a request that is refused.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(30);
const ORDINARY_PAUSE: Duration = Duration::from_millis(100);

/// A long stream with its head. It is written at once, as many small writes would be delayed.
static LONG_STREAM: LazyLock<String> = LazyLock::new(|| stream_answer(STREAM_BYTES / TOKEN_BYTES));

fn stream_answer(tokens: usize) -> String {
    let text = "a".repeat(TOKEN_BYTES);
    let tokens = (0..tokens).map(|index| format!("data: {{\"i\":{index},\"t\":\"{text}\"}}\n\n"));
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    format!("{head}{}data: [DONE]\n\n", tokens.collect::<String>())
}

/// Starts a proxy before a target that answers the requests for long responses itself.
fn start_proxy(target: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // Fails if either side closes its connection first.
            std::thread::spawn(move || forward(stream, target));
        }
    });
    Ok(address)
}

fn forward(mut stream: TcpStream, target: SocketAddr) -> std::io::Result<()> {
    let (head, body) = read_request(&mut stream)?;
    let path = head.split_whitespace().nth(1).unwrap_or_default();
    if let Some(kilobytes) = path.strip_prefix("/length-") {
        let bytes = kilobytes.parse().unwrap_or(0) << 10;
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n")?;
        return stream.write_all(&vec![b'a'; bytes]);
    }
    if let Some(kilobytes) = path.strip_prefix("/chunks-") {
        let chunk = format!("400\r\n{}\r\n", "a".repeat(1 << 10));
        let chunks = chunk.repeat(kilobytes.parse().unwrap_or(0));
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        return stream.write_all(format!("{head}{chunks}0\r\n\r\n").as_bytes());
    }
    if path == "/v1/generate" && body.windows(4).any(|four| four == b"long") {
        return stream.write_all(LONG_STREAM.as_bytes());
    }
    if path == "/v1/generate" && body.windows(5).any(|five| five == b"short") {
        return stream.write_all(stream_answer(SHORT_TOKENS).as_bytes());
    }
    let mut upstream = TcpStream::connect(target)?;
    write!(upstream, "{}\r\nconnection: close\r\n\r\n", without_framing(&head, &["connection"]))?;
    upstream.write_all(&body)?;
    let mut answer = Vec::new();
    upstream.read_to_end(&mut answer)?;
    stream.write_all(&answer)
}

fn plan() -> FleetPlan {
    FleetPlan {
        replicas: Some((6, 3)),
        resources: json!({ "descriptors": DESCRIPTORS, "memory_mb": MEMORY_LIMIT_KB >> 10 }),
        ..FleetPlan::new(ExampleSite::Alliance, 1)
    }
}

pub fn plain_request(account: &str, path: &str, version: &str) -> Vec<u8> {
    format!(
        "GET /v1/call/{APP}{path} HTTP/{version}\r\nhost: x\r\n\
         authorization: Bearer demo-{account}\r\n\r\n"
    )
    .into_bytes()
}

fn stream_request(account: &str, version: &str) -> Vec<u8> {
    stream_request_of("long", account, version)
}

pub fn stream_request_of(nonce: &str, account: &str, version: &str) -> Vec<u8> {
    let body = json!({ "nonce": nonce, "tokens": 1 }).to_string();
    format!(
        "POST /v1/call/{MODEL}/generate HTTP/{version}\r\nhost: x\r\n\
         authorization: Bearer demo-{account}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Returns the status of one ordinary request, 0 if none arrived.
fn ordinary_status(address: SocketAddr) -> u16 {
    let exchange = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(ORDINARY_TIMEOUT))?;
        stream.write_all(&plain_request(ORDINARY_ACCOUNT, IDEMPOTENT_PATH, "1.0"))?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        Ok(split_head(&answer).0)
    };
    let head = exchange().unwrap_or_default();
    head.split_whitespace().nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// Puts a proxy before each target and waits until the router uses them.
pub async fn start_proxies(fleet: &mut RunningFleet, caller: &HttpCaller) -> anyhow::Result<()> {
    for target in &mut fleet.targets {
        target.address = start_proxy(target.address)?;
    }
    let instances = fleet.instances(&[]);
    fleet.set_platform(caller, &json!({ "instances": instances })).await?;
    let address = fleet.routers[0].address;
    let probe = plain_request(ORDINARY_ACCOUNT, "/length-1", "1.0");
    let start = Instant::now();
    while start.elapsed() < ORDINARY_TIMEOUT {
        // A target behind its proxy answers with kilobytes instead of its own echo.
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(&probe)?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        if answer.len() > 1 << 10 {
            // The list is read once a second; the other targets came with the same one.
            return Ok(());
        }
        tokio::time::sleep(ORDINARY_PAUSE).await;
    }
    anyhow::bail!("step=start_proxies: the router does not use them")
}

/// Connects `crowd` to a router and checks that the router lives, stays within its memory and its
/// descriptors, and answers an ordinary request.
fn check_crowd(crowd: SlowCrowd, requests: impl Fn(usize) -> Vec<u8> + 'static) {
    with_plan(plan(), move |mut fleet, caller| async move {
        start_proxies(&mut fleet, &caller).await?;
        let router = &fleet.routers[0];
        let pid = router.process.as_ref().map(bench::ChildProcess::pid).unwrap_or_default();
        let sampler = UseSampler::start(pid);
        let connected = crowd.connect(router.address, requests)?;
        let peak = sampler.settle();
        println!("{} callers: {peak:?}, {} kB together", connected.len(), peak.total_kb());
        assert!(sampler.is_alive(), "the router has ended");
        let start = Instant::now();
        let mut status = ordinary_status(router.address);
        while status != 200 && start.elapsed() < ORDINARY_TIMEOUT {
            std::thread::sleep(ORDINARY_PAUSE);
            status = ordinary_status(router.address);
        }
        assert_eq!(status, 200, "the ordinary request");
        let peak = sampler.peak();
        let total_kb = peak.total_kb();
        assert!(total_kb <= MEMORY_LIMIT_KB, "{total_kb} kB of {MEMORY_LIMIT_KB} kB: {peak:?}");
        assert!(peak.descriptors <= DESCRIPTORS, "{peak:?}, at most {DESCRIPTORS} descriptors");
        Ok(())
    });
}

fn unread() -> SlowCrowd {
    SlowCrowd { callers: CALLERS, pace: ReadPace::Nothing, receive_buffer: None }
}

#[test]
fn unread_responses_with_a_length_stay_within_the_memory() {
    let path = format!("/length-{LONG_KB}");
    check_crowd(unread(), move |_| plain_request(ACCOUNT, &path, "1.1"));
}

#[test]
fn unread_responses_of_many_accounts_stay_within_the_memory() {
    let path = format!("/length-{LONG_KB}");
    check_crowd(unread(), move |index| {
        plain_request(SLOW_ACCOUNTS[index % SLOW_ACCOUNTS.len()], &path, "1.1")
    });
}

#[test]
fn unread_responses_with_chunks_stay_within_the_memory() {
    let path = format!("/chunks-{LONG_KB}");
    check_crowd(unread(), move |_| plain_request(ACCOUNT, &path, "1.1"));
}

#[test]
fn unread_streams_stay_within_the_memory() {
    check_crowd(unread(), |_| stream_request(ACCOUNT, "1.1"));
}

#[test]
fn unread_streams_of_http_1_0_stay_within_the_memory() {
    check_crowd(unread(), |_| stream_request(ACCOUNT, "1.0"));
}

#[test]
fn unread_responses_to_pipelined_requests_stay_within_the_memory() {
    let path = format!("/length-{PIPELINED_KB}");
    check_crowd(unread(), move |_| plain_request(ACCOUNT, &path, "1.1").repeat(PIPELINED));
}

#[test]
fn responses_read_by_the_byte_with_a_small_window_stay_within_the_memory() {
    let crowd =
        SlowCrowd { pace: ReadPace::BytePerSecond, receive_buffer: Some(SMALL_WINDOW), ..unread() };
    let path = format!("/length-{LONG_KB}");
    check_crowd(crowd, move |_| plain_request(ACCOUNT, &path, "1.1"));
}

#[test]
fn streams_whose_callers_stop_in_the_middle_stay_within_the_memory() {
    let crowd = SlowCrowd { pace: ReadPace::StopsAfter(STOP_BYTES), ..unread() };
    check_crowd(crowd, |_| stream_request(ACCOUNT, "1.1"));
}

/// Guards against a router that accepts more connections than it has descriptors for.
#[test]
fn connections_stay_within_the_descriptors() {
    check_crowd(SlowCrowd { callers: IDLE_CALLERS, ..unread() }, |_| Vec::new());
}

/// Guards against targets and memory that callers hold for ever by not reading.
#[test]
fn callers_that_take_nothing_lose_their_connection() {
    let plan = FleetPlan { unread_s: 1, ..plan() };
    with_plan(plan, |mut fleet, caller| async move {
        start_proxies(&mut fleet, &caller).await?;
        let router = &fleet.routers[0];
        let connected = unread().connect(router.address, |_| stream_request(ACCOUNT, "1.1"))?;
        let start = Instant::now();
        let words = ["event=\"unread_terminated\"", "limit=\"unread_s\""];
        while router.log_lines(&words).is_empty() {
            assert!(start.elapsed() < ORDINARY_TIMEOUT, "no connection was ended");
            std::thread::sleep(ORDINARY_PAUSE);
        }
        let is_closed = |status: &serde_json::Value| status["open_requests"] == 0;
        fleet.wait_for_status(&caller, 0, is_closed).await?;
        drop(connected);
        Ok(())
    });
}

/// Guards against a refusal for memory that does not name a return time, or that is for a request
/// that has run.
#[test]
fn requests_are_refused_for_memory_with_a_return_time() {
    with_plan(plan(), |mut fleet, caller| async move {
        start_proxies(&mut fleet, &caller).await?;
        let router = &fleet.routers[0];
        let pid = router.process.as_ref().map(bench::ChildProcess::pid).unwrap_or_default();
        let sampler = UseSampler::start(pid);
        let path = format!("/length-{LONG_KB}");
        let connected =
            unread().connect(router.address, move |_| plain_request(ACCOUNT, &path, "1.1"))?;
        sampler.settle();
        let mut stream = TcpStream::connect(router.address)?;
        stream.set_read_timeout(Some(ORDINARY_TIMEOUT))?;
        stream.write_all(&plain_request(ACCOUNT, IDEMPOTENT_PATH, "1.0"))?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        let (head, body) = split_head(&answer);
        let body = String::from_utf8_lossy(&body).into_owned();
        assert!(head.starts_with("HTTP/1.0 503") || head.starts_with("HTTP/1.1 503"), "{head}");
        assert!(head.to_lowercase().contains("\nretry-after: "), "{head}");
        assert!(body.contains("memory\"") || body.contains("memory_full\""), "{body}");
        assert!(body.contains("\"ran\":\"no\""), "{body}");
        drop(connected);
        Ok(())
    });
}
