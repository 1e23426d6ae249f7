//! Tests with callers of HTTP/1.0, who know neither chunks nor connections that stay open.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::fixture::{ACCOUNT, MODEL, with_fleet};
use bench::credential;
use serde_json::json;

/// Time without data after which a caller gives up, in seconds.
const READ_TIMEOUT_S: u64 = 20;

/// Streams `tokens` tokens over HTTP/1.0. Returns the head of the answer and its body, which ends
/// with the connection.
fn stream_tokens(router: SocketAddr, tokens: u64) -> anyhow::Result<(String, String)> {
    let body = json!({ "nonce": "old", "tokens": tokens }).to_string();
    let mut stream = TcpStream::connect(router)?;
    stream.set_read_timeout(Some(Duration::from_secs(READ_TIMEOUT_S)))?;
    write!(
        stream,
        "POST /v1/call/{MODEL}/generate HTTP/1.0\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n\r\n{body}",
        credential(ACCOUNT),
        body.len()
    )?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    Ok((head.to_lowercase(), body.to_owned()))
}

fn tokens_text(count: u64) -> String {
    let event = |index| format!("data: {{\"i\":{index},\"t\":\"old-{index} \"}}\n\n");
    (0..count).map(event).collect()
}

/// Guards against the sizes of chunks between the events of a caller who does not know chunks.
#[test]
fn events_reach_callers_of_http_1_0_without_chunks() {
    with_fleet(1, |fleet, _caller| async move {
        let (head, body) = stream_tokens(fleet.routers[0].address, 5)?;
        assert!(!head.contains("transfer-encoding"), "{head}");
        assert_eq!(body, format!("{}event: done\ndata: {{\"tokens\":5}}\n\n", tokens_text(5)));
        Ok(())
    });
}

/// Guards against a stream that broke off and looks complete to a caller who knows it to end with
/// its connection.
#[test]
fn a_stream_that_broke_off_ends_with_an_error_over_http_1_0() {
    with_fleet(1, |fleet, caller| async move {
        let fault = json!({ "break_after": 6 });
        fleet.post_to_targets(&caller, MODEL, "/test/fault", &fault).await?;
        let (_, body) = stream_tokens(fleet.routers[0].address, 40)?;
        let end = body.strip_prefix(&tokens_text(18)).unwrap_or_default();
        assert!(end.starts_with("event: error\n"), "{body}");
        assert!(end.contains("stream_broken") && !body.contains("event: done"), "{body}");
        Ok(())
    });
}
