//! Tests that malformed, oversized and unauthorized input is refused and does not
//! affect other callers.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::fixture::{ACCOUNT, APP, IDEMPOTENT_PATH, MODEL, with_fleet};
use bench::{CallEnd, HttpCaller, RunningFleet, SECRET, credential};
use serde_json::json;

/// Sends raw bytes and returns the answer, up to the end of its headers or of the
/// connection.
fn exchange(address: SocketAddr, bytes: &[u8], half_close: bool) -> anyhow::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    // The router may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    if half_close {
        stream.shutdown(Shutdown::Write)?;
    }
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(count) = stream.read(&mut buffer) {
        answer.extend_from_slice(&buffer[..count]);
        let has_headers = answer.windows(4).any(|four| four == b"\r\n\r\n");
        if count == 0 || has_headers {
            break;
        }
    }
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

fn request(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: x\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

fn authorization() -> String {
    format!("authorization: Bearer {}\r\n", credential(ACCOUNT))
}

/// Checks that the first router still answers a streaming request.
async fn assert_serves(fleet: &RunningFleet, caller: &HttpCaller, nonce: &str) {
    let router = fleet.routers[0].address;
    let result = caller.stream(router, ACCOUNT, MODEL, nonce, 5, || ()).await;
    assert_eq!(result.end, CallEnd::Answered);
}

#[test]
fn a_refusal_arrives_although_the_body_comes_late() {
    with_fleet(1, |fleet, _caller| async move {
        let path = format!("/v1/call/{MODEL}/generate");
        for number in 0..20 {
            let bytes = request(&path, "authorization: Bearer no\r\n", &"a".repeat(40_000));
            let head = bytes.find("\r\n\r\n").unwrap_or(0) + 4;
            let mut stream = TcpStream::connect(fleet.routers[0].address)?;
            stream.set_read_timeout(Some(Duration::from_secs(20)))?;
            stream.write_all(&bytes.as_bytes()[..head])?;
            std::thread::sleep(Duration::from_millis(10));
            // If the router resets the connection, this write or the read below fails.
            let sent = stream.write_all(&bytes.as_bytes()[head..]);
            std::thread::sleep(Duration::from_millis(10));
            let mut answer = [0; 4_096];
            let read = stream.read(&mut answer);
            let answer = String::from_utf8_lossy(&answer[..*read.as_ref().unwrap_or(&0)]);
            assert!(answer.contains(" 401 "), "attempt {number}: {sent:?} {read:?} {answer}");
        }
        Ok(())
    });
}

#[test]
fn invalid_caller_input_is_refused_with_stable_codes() {
    with_fleet(1, |fleet, caller| async move {
        let router = fleet.routers[0].address;
        let auth_header = authorization();
        let model = format!("/v1/call/{MODEL}/generate");
        let long_header = format!("{auth_header}x-long: {}\r\n", "a".repeat(10 << 20));
        let large_body = "a".repeat(10 << 20);
        for (name, bytes, expected) in [
            ("wrong credential", request(&model, "authorization: Bearer no\r\n", "{}"), " 401 "),
            ("no credential", request(&model, "", "{}"), " 401 "),
            ("unknown service", request("/v1/call/none/x", &auth_header, "{}"), "unknown_service"),
            (
                "unknown path",
                request(&format!("/v1/call/{MODEL}/x"), &auth_header, "{}"),
                "unknown_path",
            ),
            ("not an object", request(&model, &auth_header, "[1]"), "bad_request"),
            ("not JSON", request(&model, &auth_header, "\u{1}{{"), "bad_request"),
            ("large body", request(&model, &auth_header, &large_body), " 413 "),
            ("long header", request(&model, &long_header, "{}"), " 4"),
            ("not HTTP", "\u{1}\u{2}garbage\r\n\r\n".to_owned(), " 400 "),
        ] {
            let answer = exchange(router, bytes.as_bytes(), false)?;
            // The connection may be closed without an answer if the headers are too
            // long.
            let is_closed = name == "long header" && answer.is_empty();
            assert!(is_closed || answer.contains(expected), "{name}: {answer}");
            assert!(!answer.contains("\"ran\":\"unknown\""), "{name}: {answer}");
        }
        let incomplete =
            request(&model, &auth_header, "{}").replace("content-length: 2", "content-length: 9");
        let answer = exchange(router, incomplete.as_bytes(), true)?;
        assert!(!answer.contains(" 200 "), "half-closed: {answer}");
        assert_serves(&fleet, &caller, "after-bad-callers").await;
        Ok(())
    });
}

#[test]
fn slow_caller_does_not_hold_up_others() {
    with_fleet(1, |fleet, caller| async move {
        let router = fleet.routers[0].address;
        let mut slow: Vec<TcpStream> = Vec::new();
        for _ in 0..50 {
            let mut stream = TcpStream::connect(router)?;
            stream.write_all(b"POST /v1/call/")?;
            slow.push(stream);
        }
        assert_serves(&fleet, &caller, "beside-slow-callers").await;
        drop(slow);
        Ok(())
    });
}

#[test]
fn peer_requests_without_secret_or_with_garbage_are_refused() {
    with_fleet(2, |fleet, caller| async move {
        let peer = fleet.routers[0].peer_address;
        for path in ["digest", "report", "push", "document", "key"] {
            let path = format!("/peer/v1/{path}");
            let answer = exchange(peer, request(&path, "", "x").as_bytes(), false)?;
            assert!(answer.contains(" 401 "), "{path} without the secret: {answer}");
            let secret = format!("x-poplar-secret: {SECRET}\r\n");
            let answer = exchange(peer, request(&path, &secret, "garbage").as_bytes(), false)?;
            assert!(answer.contains(" 400 "), "{path} with garbage: {answer}");
        }
        exchange(peer, &[0xff; 2_000], true)?;
        assert_serves(&fleet, &caller, "after-garbage").await;
        Ok(())
    });
}

#[test]
fn garbage_from_a_target_is_an_error_and_not_a_clean_end() {
    with_fleet(1, |fleet, caller| async move {
        let fault = json!({ "garbage": true });
        fleet.post_to_targets(&caller, MODEL, "/test/fault", &fault).await?;
        let router = fleet.routers[0].address;
        let result = caller.stream(router, ACCOUNT, MODEL, "garbage", 5, || ()).await;
        assert!(matches!(result.end, CallEnd::Unknown { .. }), "{:?}", result.end);
        let end =
            caller.call_plain(router, ACCOUNT, APP, IDEMPOTENT_PATH, "other-service", None).await;
        assert_eq!(end, CallEnd::Answered);
        Ok(())
    });
}

#[test]
fn broken_streams_resume_without_duplicate_or_missing_tokens() {
    with_fleet(2, |fleet, caller| async move {
        // Every engine breaks its stream after 6 tokens. Three engines together yield
        // 18, which is enough for 15 tokens but not for 40.
        let fault = json!({ "break_after": 6 });
        fleet.post_to_targets(&caller, MODEL, "/test/fault", &fault).await?;
        let router = fleet.routers[0].address;
        let result = caller.stream(router, ACCOUNT, MODEL, "resumed", 15, || ()).await;
        assert_eq!((result.end, result.tokens), (CallEnd::Answered, 15));
        let result = caller.stream(router, ACCOUNT, MODEL, "too-long", 40, || ()).await;
        let code = "stream_broken".to_owned();
        assert_eq!((result.end, result.tokens), (CallEnd::Unknown { code }, 18));
        Ok(())
    });
}

/// Answers a request twice. The second answer belongs to another request.
fn answer_twice(mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = Vec::new();
    let mut buffer = [0; 4_096];
    let text = loop {
        let count = stream.read(&mut buffer)?;
        request.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&request).into_owned();
        let is_complete = text.starts_with("GET") || text.trim_end().ends_with('}');
        if count == 0 || is_complete {
            break text;
        }
    };
    let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
    let body = if body.is_empty() { "{\"active\":0,\"waiting\":0}" } else { body };
    for body in [body, "{\"nonce\":\"somebody-else\"}"] {
        let length = body.len();
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")?;
    }
    Ok(())
}

#[test]
fn second_answer_of_a_target_reaches_no_caller() {
    with_fleet(1, |mut fleet, caller| async move {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // Fails if the router closes the connection first.
                let _ = answer_twice(stream);
            }
        });
        for target in fleet.targets.iter_mut().filter(|target| target.service == APP) {
            target.address = address;
        }
        let instances = fleet.instances(&[]);
        fleet.set_platform(&caller, &json!({ "instances": instances })).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let router = fleet.routers[0].address;
        for number in 0..30 {
            let nonce = format!("twice-{number}");
            let end = caller.call_plain(router, ACCOUNT, APP, IDEMPOTENT_PATH, &nonce, None).await;
            assert_eq!(end, CallEnd::Answered, "{nonce}");
        }
        Ok(())
    });
}

/// Guards against a late second load report that is taken for the response to a later request: a
/// report read as an engine's state says that it holds no model.
#[test]
fn reports_of_targets_get_connections_of_their_own() {
    with_fleet(1, |mut fleet, caller| async move {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let counts: Arc<[AtomicUsize; 2]> = Arc::default();
        let counted = Arc::clone(&counts);
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let counts = Arc::clone(&counted);
                std::thread::spawn(move || -> std::io::Result<()> {
                    // The first request of a connection, then those on a used one.
                    let mut index = 0;
                    while stream.read(&mut [0; 4_096])? > 0 {
                        counts[index].fetch_add(1, Ordering::Relaxed);
                        index = 1;
                        let body = "{\"active\":0,\"waiting\":0}";
                        let length = body.len();
                        write!(
                            stream,
                            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"
                        )?;
                    }
                    Ok(())
                });
            }
        });
        for target in fleet.targets.iter_mut().filter(|target| target.service == APP) {
            target.address = address;
        }
        let instances = fleet.instances(&[]);
        fleet.set_platform(&caller, &json!({ "instances": instances })).await?;
        let [first, later] = &*counts;
        // Several reads of each target.
        let reads = async {
            while first.load(Ordering::Relaxed) + later.load(Ordering::Relaxed) < 9 {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(30), reads).await?;
        assert_eq!(later.load(Ordering::Relaxed), 0, "requests on a used connection");
        Ok(())
    });
}
