//! Fetches from a peer whose responses have neither a length nor chunks.

#![expect(clippy::unwrap_used, reason = "a stand-in that fails ends its test")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use http::Method;
use hyper::body::Bytes;
use outbound::{FetchClient, FetchError};
use socket2::SockRef;

/// Starts a peer that sends `response` to its first request and ends the connection, with
/// a reset if `is_reset`.
fn start_peer(response: &'static str, is_reset: bool) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || -> std::io::Result<()> {
        let (mut stream, _) = listener.accept()?;
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request)?;
        stream.write_all(response.as_bytes())?;
        // The client has read the bytes before the connection ends.
        std::thread::sleep(Duration::from_millis(50));
        if is_reset {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        Ok(())
    });
    Ok(address)
}

fn fetch(response: &'static str, is_reset: bool) -> Result<Bytes, FetchError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let (runtime, peer) = (runtime.unwrap(), start_peer(response, is_reset).unwrap());
    let mut client = FetchClient::new(peer, 1 << 20);
    let timeout = Duration::from_secs(10);
    let fetching = client.fetch(Method::GET, "/", Bytes::new(), timeout);
    let response = tokio::task::LocalSet::new().block_on(&runtime, fetching)?;
    Ok(response.into_body())
}

#[test]
fn a_response_without_length_is_read_to_the_end_of_its_connection() {
    let body = fetch("HTTP/1.1 200 OK\r\n\r\n{\"a\": 1}", false).unwrap();
    assert_eq!(body, "{\"a\": 1}");
}

#[test]
fn a_response_that_is_broken_off_is_an_error() {
    for (response, is_reset) in [
        ("HTTP/1.1 200 OK\r\n\r\n{\"a\":", true),
        ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"a\":", false),
        ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"a\":", true),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{\"a\":\r\n", false),
        ("HTTP/1.1 200 OK\r\n", false),
    ] {
        let result = fetch(response, is_reset);
        assert!(result.is_err(), "{response:?} reset={is_reset}: {result:?}");
    }
}
