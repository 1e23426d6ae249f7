//! Idle connections: limits on them when many routers share few targets, each of which caps the
//! connections from all routers together, and which of them carry another request.

#![expect(clippy::unwrap_used, reason = "a stand-in that fails ends its test")]

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use outbound::{ConnectionPool, PoolSettings, connect, max_idle_connections};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

#[test]
fn a_large_fleet_keeps_fewer_connections_for_each_router() {
    // 90 routers; each target takes 600 connections and 24 requests.
    assert_eq!(max_idle_connections(600, 24, 90), 6);
    assert_eq!(max_idle_connections(310, 48, 9), 29);
}

#[test]
fn nothing_is_kept_where_requests_take_the_whole_cap() {
    assert_eq!(max_idle_connections(20, 24, 3), 0);
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_269),
        ..Config::default()
    })]

    /// Connections in use and idle connections of all routers together never
    /// exceed the cap.
    #[test]
    fn the_cap_holds_over_the_fleet(cap in 0u32..5_000, in_use in 0u32..500, routers in 1usize..400) {
        let idle = max_idle_connections(cap, in_use, routers) * routers;
        prop_assert!(idle + in_use.min(cap) as usize <= cap as usize);
    }
}

const TIMEOUT: Duration = Duration::from_secs(5);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Whether a connection is handed out again after a response and what its peer does then.
fn is_reused(then: fn(&mut TcpStream)) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = listener.local_addr().unwrap();
    let (is_put, put) = mpsc::channel();
    let (is_done, done) = mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(stream.read(&mut [0; 4_096]).unwrap() > 0);
        stream.write_all(RESPONSE).unwrap();
        put.recv().unwrap();
        then(&mut stream);
        is_done.send(()).unwrap();
        // Open until the test has ended.
        let _ = put.recv();
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut connection = connect(peer, TIMEOUT).await.unwrap();
        let request = Request::builder().body(Full::new(Bytes::new())).unwrap();
        let response = connection.exchange(request).await.unwrap();
        response.into_body().collect().await.unwrap();
        let mut pool = ConnectionPool::new(PoolSettings::default());
        pool.put(peer, connection, Some(TIMEOUT), 1);
        // Blocks the thread, so that it does not hear of what its peer does.
        is_put.send(()).unwrap();
        done.recv_timeout(TIMEOUT).unwrap();
        pool.take(&peer).is_some()
    })
}

/// Guards against a request that gets as its response what its target has sent before: bytes
/// that the thread, busy with others, has not been told of.
#[test]
fn connection_on_which_anything_arrived_is_not_reused() {
    assert!(is_reused(|_| ()));
    assert!(!is_reused(|stream| stream.write_all(RESPONSE).unwrap()));
    assert!(!is_reused(|stream| stream.write_all(b"\r\n").unwrap()));
    assert!(!is_reused(|stream| stream.shutdown(Shutdown::Write).unwrap()));
}
