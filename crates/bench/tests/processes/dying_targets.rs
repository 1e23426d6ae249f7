//! Tests with targets that die while they answer a plain call. Their answers have neither a
//! length nor chunks, so that the connection of a dead target ends like that of a whole answer.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use crate::fixture::{ACCOUNT, APP, AT_MOST_ONCE_PATH, IDEMPOTENT_PATH, with_fleet};
use bench::{CallEnd, HttpCaller, RunningFleet};
use serde_json::json;

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";
const HALF: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{\"nonce\":\"half of";

/// Starts a target that serves its load reports until the first call, and ends after `delay` with
/// `answer` to it, with its head: it listens no more and its connection ends in order.
fn start_dying_target(delay: Duration, answer: &'static str) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || -> std::io::Result<()> {
        loop {
            let (mut stream, _) = listener.accept()?;
            let request = read_request(&mut stream)?;
            if !request.starts_with("GET /v1/load") {
                std::thread::sleep(delay);
                drop(listener);
                write!(stream, "{answer}")?;
                return stream.shutdown(Shutdown::Write);
            }
            write!(stream, "{HEAD}{{\"active\":0,\"waiting\":0}}")?;
            stream.shutdown(Shutdown::Write)?;
        }
    });
    Ok(address)
}

/// Reads the head of a request and a body that is an object, if it has one.
fn read_request(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut request = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let count = stream.read(&mut buffer)?;
        request.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&request);
        let is_whole = text.ends_with("\r\n\r\n") && text.starts_with("GET");
        if count == 0 || is_whole || text.ends_with('}') {
            return Ok(text.into_owned());
        }
    }
}

/// Replaces the first `count` targets of the plain service with ones that die in the middle of an
/// answer, and waits until the routers use them.
async fn replace_targets(
    fleet: &mut RunningFleet,
    caller: &HttpCaller,
    count: usize,
) -> anyhow::Result<()> {
    for target in fleet.targets.iter_mut().filter(|target| target.service == APP).take(count) {
        target.address = start_dying_target(Duration::ZERO, HALF)?;
    }
    let instances = fleet.instances(&[]);
    fleet.set_platform(caller, &json!({ "instances": instances })).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    Ok(())
}

/// Guards against half an answer of a target that died, which counts as the whole one, where the
/// call can be repeated at another target.
#[test]
fn half_an_answer_of_a_dead_target_is_repeated() {
    with_fleet(1, |mut fleet, caller| async move {
        replace_targets(&mut fleet, &caller, 1).await?;
        let router = fleet.routers[0].address;
        // More calls than the other targets have slots for.
        let calls =
            (0..24).map(|number| {
                let (caller, nonce) = (caller.clone(), format!("half-{number}"));
                async move {
                    caller.call_plain(router, ACCOUNT, APP, IDEMPOTENT_PATH, &nonce, None).await
                }
            });
        for end in futures_util::future::join_all(calls).await {
            assert_eq!(end, CallEnd::Answered);
        }
        let failed = fleet.routers[0].log_lines(&["unit=\"send\"", "no longer listens"]);
        assert_eq!(failed.len(), 1, "{failed:?}");
        Ok(())
    });
}

/// Guards against half an answer of a target that died, which is kept as the outcome of a call
/// that must run at most once.
#[test]
fn half_an_answer_of_a_dead_target_is_no_outcome() {
    with_fleet(1, |mut fleet, caller| async move {
        replace_targets(&mut fleet, &caller, 3).await?;
        let router = fleet.routers[0].address;
        let key = caller.issue_key(router, ACCOUNT).await?;
        for code in ["target_silent", "outcome_unknown"] {
            let path = AT_MOST_ONCE_PATH;
            let end = caller.call_plain(router, ACCOUNT, APP, path, "half", Some(&key)).await;
            assert_eq!(end, CallEnd::Unknown { code: code.into() });
        }
        Ok(())
    });
}

/// Returns the end of an at-most-once call whose target stops to listen and ends with `answer` as it
/// leaves.
async fn call_as_targets_leave(
    fleet: &mut RunningFleet,
    caller: &HttpCaller,
    answer: &'static str,
) -> anyhow::Result<CallEnd> {
    let mut leaving = Vec::new();
    for target in fleet.targets.iter_mut().filter(|target| target.service == APP) {
        target.address = start_dying_target(Duration::from_secs(4), answer)?;
        leaving.push(target.name.clone());
    }
    let instances = fleet.instances(&[]);
    fleet.set_platform(caller, &json!({ "instances": instances })).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let router = fleet.routers[0].address;
    let key = caller.issue_key(router, ACCOUNT).await?;
    let calling = caller.call_plain(router, ACCOUNT, APP, AT_MOST_ONCE_PATH, "whole", Some(&key));
    let leave = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let leaving: Vec<&str> = leaving.iter().map(String::as_str).collect();
        fleet.set_platform(caller, &json!({ "instances": fleet.instances(&leaving) })).await
    };
    let (end, left) = futures_util::future::join(calling, leave).await;
    left?;
    Ok(end)
}

/// Guards against calls whose outcome is lost although their targets mark the ends of their answers,
/// since they stop to listen as they leave.
#[test]
fn marked_answers_of_leaving_targets_that_no_longer_listen_are_whole() {
    with_fleet(1, |mut fleet, caller| async move {
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\n{\"nonce\":\"whole\"}";
        let end = call_as_targets_leave(&mut fleet, &caller, answer).await?;
        assert_eq!(end, CallEnd::Answered);
        Ok(())
    });
}

/// Guards against half an answer of a target that was killed while it left, which is kept as the
/// outcome of a call.
#[test]
fn unmarked_answers_of_leaving_targets_that_no_longer_listen_are_no_outcome() {
    with_fleet(1, |mut fleet, caller| async move {
        let answer = "HTTP/1.1 200 OK\r\n\r\n{\"nonce\":\"whole\"}";
        let end = call_as_targets_leave(&mut fleet, &caller, answer).await?;
        assert_eq!(end, CallEnd::Unknown { code: "target_silent".into() });
        let lost =
            fleet.routers[0].log_lines(&["unit=\"send\"", "which leaves, no longer listens"]);
        assert_eq!(lost.len(), 1, "{lost:?}");
        Ok(())
    });
}
