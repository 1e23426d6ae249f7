//! Exchanges with peers whose bytes never end: what is read of them is bounded, and the
//! connection is closed.

#![expect(clippy::unwrap_used, reason = "a stand-in that fails ends its test")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::{Method, Request};
use http_body_util::Full;
use hyper::body::Bytes;
use outbound::{ExchangeError, FetchClient, FetchError, connect};

/// Largest body that the fetches accept.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Bytes that a peer may have written before its connection is closed: those that are read
/// and those in the buffers of both sockets.
const MAX_WRITTEN_BYTES: u64 = 32 << 20;
/// Bytes after which a peer gives up; then nothing bounds what is read.
const WRITE_LIMIT_BYTES: u64 = 256 << 20;
/// Time limit of a fetch that must fail before it.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit of a fetch that nothing but its time ends.
const SHORT_TIMEOUT: Duration = Duration::from_millis(500);
const HEAD: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";

/// A peer that answers each connection with bytes without end.
struct EndlessPeer {
    address: SocketAddr,
    state: Arc<PeerState>,
}

#[derive(Default)]
struct PeerState {
    written: AtomicU64,
    is_closed: AtomicBool,
}

impl EndlessPeer {
    /// Starts a peer that sends `first` once and then `repeated` again and again, with
    /// `pause` before each.
    fn start(first: &str, repeated: &str, pause: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(PeerState::default());
        let served = Arc::clone(&state);
        let (first, repeated) = (first.to_owned(), repeated.to_owned());
        std::thread::spawn(move || {
            let (stream, _) = listener.accept().unwrap();
            write_without_end(stream, &first, &repeated, pause, &served);
        });
        Self { address, state }
    }

    fn wait_until_closed(&self) {
        let end = Instant::now() + LONG_TIMEOUT;
        while !self.state.is_closed.load(Ordering::Relaxed) {
            assert!(Instant::now() < end, "the connection is still open");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

fn write_without_end(
    mut stream: TcpStream,
    first: &str,
    repeated: &str,
    pause: Duration,
    state: &PeerState,
) {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request);
    let block = match pause {
        Duration::ZERO => repeated.repeat((64 << 10) / repeated.len()),
        _ => repeated.to_owned(),
    };
    let mut bytes = first.to_owned();
    loop {
        let is_closed = stream.write_all(bytes.as_bytes()).is_err();
        let written = state.written.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if is_closed || written > WRITE_LIMIT_BYTES {
            state.is_closed.store(true, Ordering::Relaxed);
            return;
        }
        bytes.clone_from(&block);
        std::thread::sleep(pause);
    }
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.unwrap();
    let tasks = tokio::task::LocalSet::new();
    let result = tasks.block_on(&runtime, future);
    // The tasks that drive connections end by themselves, without the runtime's end.
    runtime.block_on(async { tokio::time::timeout(LONG_TIMEOUT, tasks).await.unwrap() });
    result
}

fn fetch(peer: &EndlessPeer, timeout: Duration) -> Result<Bytes, FetchError> {
    run(async {
        let mut client = FetchClient::new(peer.address, MAX_BODY_BYTES);
        let response = client.fetch(Method::GET, "/", Bytes::new(), timeout).await?;
        Ok(response.into_body())
    })
}

/// Fetches from a peer that never pauses; its bytes end the fetch, not its time.
fn assert_refused(first: &str, repeated: &str) -> FetchError {
    let peer = EndlessPeer::start(first, repeated, Duration::ZERO);
    let cause = fetch(&peer, LONG_TIMEOUT).unwrap_err();
    assert!(!matches!(cause, FetchError::Timeout { .. }), "{first:?} {repeated:?}: {cause}");
    let text = cause.to_string();
    let address = peer.address.to_string();
    assert!(text.starts_with("step=") && text.contains(&address), "{text}");
    peer.wait_until_closed();
    let written = peer.state.written.load(Ordering::Relaxed);
    assert!(written < MAX_WRITTEN_BYTES, "{first:?} {repeated:?}: {written} bytes");
    cause
}

#[test]
fn a_head_without_end_is_refused() {
    for (first, repeated) in [
        ("HTTP/1.1 200 ", "a"),
        ("", "a"),
        ("", "\r\n"),
        (HEAD, "a: b\r\n"),
        ("HTTP/1.1 200 OK\r\na: ", "b"),
        ("HTTP/1.1 200 OK\r\n", "a"),
    ] {
        let cause = assert_refused(first, repeated);
        assert!(matches!(cause, FetchError::Exchange(ExchangeError::Sent { .. })), "{cause}");
    }
}

#[test]
fn a_body_without_end_is_refused() {
    for (first, repeated) in [
        ("HTTP/1.1 200 OK\r\n\r\n", "a"),
        (CHUNKED, "4\r\naaaa\r\n"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "a"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\na: ", "b"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 9999999999\r\n\r\n", "a"),
    ] {
        let cause = assert_refused(first, repeated);
        assert!(matches!(cause, FetchError::Body { .. }), "{cause}");
    }
}

/// Guards against a peer that keeps a request until its time is over, by interim responses
/// that never come to a final one.
#[test]
fn interim_responses_without_end_are_refused() {
    let cause = assert_refused(INTERIM, INTERIM);
    assert!(matches!(cause, FetchError::Exchange(ExchangeError::Sent { .. })), "{cause}");
    assert!(cause.to_string().contains("interim"), "{cause}");
}

/// Guards against a limit on interim responses that refuses what peers send in earnest.
#[test]
fn a_few_interim_responses_are_skipped() {
    let response = format!("{}{HEAD}content-length: 1\r\n\r\na", INTERIM.repeat(4));
    let peer = EndlessPeer::start(&response, "a", Duration::from_millis(500));
    assert_eq!(fetch(&peer, LONG_TIMEOUT).unwrap(), "a");
}

#[test]
fn bytes_that_trickle_without_end_are_refused_in_time() {
    for (first, repeated) in [
        ("HTTP/1.1 200 ", "a"),
        ("HTTP/1.1 200 OK\r\na: ", "b"),
        ("HTTP/1.1 200 OK\r\n\r\n", "a"),
        (CHUNKED, "1\r\na\r\n"),
        (INTERIM, "HTTP/1.1 102 Processing\r\n"),
    ] {
        let peer = EndlessPeer::start(first, repeated, Duration::from_millis(5));
        let cause = fetch(&peer, SHORT_TIMEOUT).unwrap_err();
        assert!(matches!(cause, FetchError::Timeout { .. }), "{first:?}: {cause}");
        peer.wait_until_closed();
    }
}

/// A complete response is taken, and what follows it closes the connection.
#[test]
fn bytes_after_a_response_close_the_connection() {
    let response = format!("{HEAD}content-length: 1\r\n\r\na");
    let peer = EndlessPeer::start(&response, "HTTP/1.1 200 OK\r\n", Duration::ZERO);
    run(async {
        let mut connection = connect(peer.address, LONG_TIMEOUT).await.unwrap();
        let request = Request::new(Full::new(Bytes::new()));
        let response = connection.exchange(request).await.unwrap();
        let body = http_body_util::BodyExt::collect(response.into_body()).await.unwrap();
        assert_eq!(body.to_bytes(), "a");
        // The connection is kept, as in a pool, and is closed all the same.
        let end = Instant::now() + LONG_TIMEOUT;
        while !peer.state.is_closed.load(Ordering::Relaxed) {
            assert!(Instant::now() < end, "the connection is still open");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(!connection.is_idle());
    });
    let written = peer.state.written.load(Ordering::Relaxed);
    assert!(written < MAX_WRITTEN_BYTES, "{written} bytes");
}
