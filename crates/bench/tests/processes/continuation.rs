//! Tests with engines that go on with a stream elsewhere than asked, or end it at once.

use crate::fixture::{ACCOUNT, MODEL, with_fleet};
use bench::{CallEnd, HttpCaller, RunningFleet, StreamResult};
use serde_json::json;

/// Streams `tokens` tokens. Engines break off after 6 tokens and do what `resume_fault` says with a
/// stream that they are to resume.
async fn stream_with(
    fleet: &RunningFleet,
    caller: &HttpCaller,
    resume_fault: &str,
    tokens: u64,
) -> anyhow::Result<StreamResult> {
    let fault = json!({ "break_after": 6, "resume": resume_fault });
    fleet.post_to_targets(caller, MODEL, "/test/fault", &fault).await?;
    let router = fleet.routers[0].address;
    Ok(caller.stream(router, ACCOUNT, MODEL, resume_fault, tokens, || ()).await)
}

fn broken() -> CallEnd {
    CallEnd::Unknown { code: "stream_broken".into() }
}

/// Guards against pieces of two generations in one response: an engine that is to resume a stream
/// begins another one.
#[test]
fn another_generation_is_not_joined() {
    with_fleet(1, |fleet, caller| async move {
        let result = stream_with(&fleet, &caller, "regenerate", 15).await?;
        assert_eq!((result.end, result.tokens), (broken(), 6));
        Ok(())
    });
}

/// Guards against a stream that goes on with a token after the next one.
#[test]
fn skipped_tokens_are_not_left_out() {
    with_fleet(1, |fleet, caller| async move {
        let result = stream_with(&fleet, &caller, "skip", 15).await?;
        assert_eq!((result.end, result.tokens), (broken(), 6));
        Ok(())
    });
}

/// Guards against a stream that is broken though its engine began it again with the same tokens.
#[test]
fn the_same_generation_from_its_start_is_joined() {
    with_fleet(1, |fleet, caller| async move {
        let result = stream_with(&fleet, &caller, "repeat", 15).await?;
        assert_eq!((result.end, result.tokens), (CallEnd::Answered, 15));
        Ok(())
    });
}

/// Guards against a stream that broke off and is reported as done, since the engine that is to
/// resume it sends no token.
#[test]
fn an_empty_run_does_not_complete_a_stream() {
    with_fleet(1, |fleet, caller| async move {
        let result = stream_with(&fleet, &caller, "end", 15).await?;
        assert_eq!((result.end, result.tokens), (broken(), 6));
        Ok(())
    });
}

/// Guards against a whole stream that is broken, since it broke off between its last token and its
/// end.
#[test]
fn a_stream_that_broke_off_after_its_last_token_is_completed() {
    with_fleet(1, |fleet, caller| async move {
        let result = stream_with(&fleet, &caller, "none", 6).await?;
        assert_eq!((result.end, result.tokens), (CallEnd::Answered, 6));
        Ok(())
    });
}
