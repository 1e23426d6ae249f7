//! Memory that a fetch takes. The test has a process of its own, whose memory is measured.

#![expect(clippy::unwrap_used, reason = "a stand-in that fails ends its test")]

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use http::Method;
use hyper::body::Bytes;
use outbound::{FetchClient, FetchError};

/// Largest body that the fetch accepts.
const MAX_BODY_BYTES: usize = 1 << 20;
const TIMEOUT: Duration = Duration::from_secs(120);

/// Returns the most memory that this process has used, in bytes.
fn peak_memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    let kilobytes: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kilobytes << 10
}

/// Guards against memory many times as large as the limit of a body: each chunk of one
/// byte was kept by itself until the end of the body.
#[test]
fn a_body_of_many_chunks_takes_no_more_memory_than_its_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]);
        stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").unwrap();
        let block = b"1\r\na\r\n".repeat(8_192);
        while stream.write_all(&block).is_ok() {}
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let before = peak_memory();
    let mut client = FetchClient::new(peer, MAX_BODY_BYTES);
    let fetching = client.fetch(Method::GET, "/", Bytes::new(), TIMEOUT);
    let cause = tokio::task::LocalSet::new().block_on(&runtime, fetching).unwrap_err();
    assert!(matches!(cause, FetchError::Body { .. }), "{cause}");
    let grown = peak_memory() - before;
    assert!(grown < 16 * MAX_BODY_BYTES, "{grown} bytes");
}
