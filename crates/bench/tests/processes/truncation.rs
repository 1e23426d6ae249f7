//! Tests with targets whose answers have neither a length nor chunks and end with their
//! connection.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use crate::fixture::{ACCOUNT, APP, IDEMPOTENT_PATH, MODEL, with_fleet};
use bench::{CallEnd, HttpCaller, RunningFleet};
use serde_json::json;
use socket2::SockRef;

/// Where a proxy breaks off the answers to callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cut {
    Nowhere,
    /// Closes the connection inside the third event of a stream.
    InEvent,
    /// Resets the connection in the middle.
    Reset,
    /// Closes the connection in the middle of a load report.
    InLoadReport,
}

/// Forwards requests to a target and passes its answers on without length and chunks.
fn start_proxy(target: SocketAddr, cut: Cut) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // Fails if either side closes its connection first.
            std::thread::spawn(move || forward(stream, target, cut));
        }
    });
    Ok(address)
}

fn forward(mut stream: TcpStream, target: SocketAddr, cut: Cut) -> std::io::Result<()> {
    let (head, body) = read_request(&mut stream)?;
    let mut upstream = TcpStream::connect(target)?;
    write!(upstream, "{}\r\nconnection: close\r\n\r\n", without_framing(&head, &["connection"]))?;
    upstream.write_all(&body)?;
    let mut answer = Vec::new();
    upstream.read_to_end(&mut answer)?;
    let (head, mut body) = split_head(&answer);
    if head.to_lowercase().contains("transfer-encoding: chunked") {
        body = decode_chunks(&body);
    }
    let names = ["connection", "content-length", "transfer-encoding"];
    write!(stream, "{}\r\n\r\n", without_framing(&head, &names))?;
    let is_event_stream = head.to_lowercase().contains("text/event-stream");
    let is_load = body.windows(8).any(|eight| eight == b"\"active\"");
    let len = match cut {
        Cut::InEvent if is_event_stream => event_start(&body, 3) + 4,
        Cut::Reset if !is_load => body.len() / 2,
        Cut::InLoadReport if is_load => body.len() / 2,
        _ => body.len(),
    };
    stream.write_all(&body[..len.min(body.len())])?;
    if cut == Cut::Reset && !is_load {
        std::thread::sleep(Duration::from_millis(20));
        return SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
    stream.shutdown(Shutdown::Write)
}

pub(crate) fn read_request(stream: &mut TcpStream) -> std::io::Result<(String, Vec<u8>)> {
    let mut request = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let (head, body) = split_head(&request);
        let length = head
            .to_lowercase()
            .lines()
            .find_map(|line| line.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
        if !head.is_empty() && body.len() >= length.unwrap_or(0) {
            return Ok((head, body));
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        request.extend_from_slice(&buffer[..count]);
    }
}

/// Returns the head without its empty line, and the bytes after it. The head is empty if
/// it is incomplete.
pub(crate) fn split_head(bytes: &[u8]) -> (String, Vec<u8>) {
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
        return (String::new(), Vec::new());
    };
    (String::from_utf8_lossy(&bytes[..end]).into_owned(), bytes[end + 4..].to_vec())
}

/// Returns the head without the headers `names`.
pub(crate) fn without_framing(head: &str, names: &[&str]) -> String {
    let lines = head.lines().filter(|line| {
        let name = line.split(':').next().unwrap_or_default().to_lowercase();
        !names.contains(&name.as_str())
    });
    lines.collect::<Vec<_>>().join("\r\n")
}

fn decode_chunks(mut rest: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    while let Some(end) = rest.windows(2).position(|two| two == b"\r\n") {
        let size = String::from_utf8_lossy(&rest[..end]);
        let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
        let Some(chunk) = rest.get(end + 2..end + 2 + size).filter(|_| size > 0) else { break };
        body.extend_from_slice(chunk);
        rest = rest.get(end + 4 + size..).unwrap_or_default();
    }
    body
}

/// Returns where event `number` starts, counted from 1.
fn event_start(body: &[u8], number: usize) -> usize {
    let ends = body.windows(2).enumerate().filter(|(_, two)| *two == b"\n\n");
    ends.map(|(at, _)| at + 2).nth(number - 2).unwrap_or(body.len())
}

/// Puts a proxy before each target and waits until the routers use them.
async fn start_proxies(
    fleet: &mut RunningFleet,
    caller: &HttpCaller,
    cut: Cut,
) -> anyhow::Result<()> {
    for target in &mut fleet.targets {
        target.address = start_proxy(target.address, cut)?;
    }
    let instances = fleet.instances(&[]);
    fleet.set_platform(caller, &json!({ "instances": instances })).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    Ok(())
}

/// Guards against an answer without length and chunks that is taken for an empty one.
#[test]
fn answers_without_length_arrive_whole() {
    with_fleet(1, |mut fleet, caller| async move {
        start_proxies(&mut fleet, &caller, Cut::Nowhere).await?;
        let router = fleet.routers[0].address;
        let result = caller.stream(router, ACCOUNT, MODEL, "whole", 5, || ()).await;
        assert_eq!((result.end, result.tokens), (CallEnd::Answered, 5));
        let end = caller.call_plain(router, ACCOUNT, APP, IDEMPOTENT_PATH, "whole", None).await;
        assert_eq!(end, CallEnd::Answered);
        Ok(())
    });
}

/// Guards against targets that count as failing since their load reports without length
/// and chunks are taken for empty ones.
#[test]
fn load_reports_without_length_are_read() {
    with_fleet(1, |mut fleet, caller| async move {
        start_proxies(&mut fleet, &caller, Cut::Nowhere).await?;
        // Load reports are read every two seconds.
        tokio::time::sleep(Duration::from_secs(3)).await;
        let failed = fleet.routers[0].log_lines(&["unit=\"load\"", "event=\"read_failed\""]);
        assert!(failed.is_empty(), "{failed:?}");
        Ok(())
    });
}

/// Guards against a stream without length and chunks that ends inside an event and counts
/// as complete.
#[test]
fn streams_without_length_that_end_inside_an_event_are_broken() {
    with_fleet(1, |mut fleet, caller| async move {
        start_proxies(&mut fleet, &caller, Cut::InEvent).await?;
        let router = fleet.routers[0].address;
        // Each attempt yields two tokens.
        let result = caller.stream(router, ACCOUNT, MODEL, "broken", 40, || ()).await;
        let code = "stream_broken".to_owned();
        assert_eq!((result.end, result.tokens), (CallEnd::Unknown { code }, 6));
        Ok(())
    });
}

/// Guards against an answer without length and chunks that is reset and counts as
/// complete.
#[test]
fn answers_without_length_that_are_reset_are_lost() {
    with_fleet(1, |mut fleet, caller| async move {
        start_proxies(&mut fleet, &caller, Cut::Reset).await?;
        let router = fleet.routers[0].address;
        let end = caller.call_plain(router, ACCOUNT, APP, IDEMPOTENT_PATH, "reset", None).await;
        assert!(matches!(end, CallEnd::Unknown { .. }), "{end:?}");
        Ok(())
    });
}

/// Guards against half a load report that counts as a whole one.
#[test]
fn load_reports_without_length_that_end_in_the_middle_are_not_read() {
    with_fleet(1, |mut fleet, caller| async move {
        start_proxies(&mut fleet, &caller, Cut::InLoadReport).await?;
        // Load reports are read every two seconds.
        tokio::time::sleep(Duration::from_secs(3)).await;
        let failed = fleet.routers[0].log_lines(&["unit=\"load\"", "event=\"read_failed\""]);
        for target in &fleet.targets {
            let name = format!("target={} ", target.name);
            assert!(failed.iter().any(|line| line.contains(&name)), "{name}: {failed:?}");
        }
        Ok(())
    });
}
