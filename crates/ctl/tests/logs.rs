//! Tests of parsing log lines, and of explaining and timing requests from them.

use ctl::logs::{LogLine, describe, read_lines, timings, trace_request};

const LOG: &str = r#"
  12.1 edge-1 2026-06-24T20:52:57.900392Z  INFO gateway::view: unit="view" event="target" target=t-1 change=Added revision=6 origin=Peer
edge-1 2026-06-24T20:52:58.000000Z  INFO gateway::send: unit="send" event="attempt_failed" request=r-1 target=t-1 address=10.0.0.1:80 cause="said \"no\" twice" sent=1 goes_on=false
edge-2 2026-06-24T20:52:58.000100Z  INFO gateway::view: unit="view" event="target" target=t-1 change=Added revision=7 origin=Peer
no log line at all
edge-1 2026-06-24T20:52:58.100000Z  INFO gateway::report: unit="call" event="ended" request=r-1 end=Refused cause="AnswerLost" status=502 route="r-a" target="t-1" sent=1 expected_ms=90 waiting_ms=30 occupancy=0.4 within_share=false share=100 asked=400 took_ms=12 version=3 revision=7
2026-06-24T20:52:58.200000Z  INFO gateway::report: unit="call" event="ended" request=r-2 end=Answered cause="complete" status=200 route="r-a" first_ms=40 took_ms=300 version=3 revision=7
2026-06-24T20:52:58.300000Z  INFO gateway::view: unit="view" event="configuration" version=4 verdict=Accepted { replaced: Some(3) } origin=Changes
"#;

#[test]
fn lines_with_quoted_values_and_a_prefix_are_parsed() {
    let lines = read_lines(LOG.as_bytes());
    assert_eq!(lines.len(), 6);
    assert_eq!(lines[0].field("target"), Some("t-1"));
    assert_eq!((lines[0].source.as_str(), lines[1].source.as_str()), ("edge-1", "edge-1"));
    assert_eq!(lines[1].field("cause"), Some("said \"no\" twice"));
    assert_eq!(lines[5].field("verdict"), Some("Accepted { replaced: Some(3) }"));
    assert_eq!(lines[5].field("origin"), Some("Changes"));
    assert_eq!(LogLine::parse("nothing"), None);
}

#[test]
fn a_trace_has_the_lines_of_the_request_and_the_state_of_its_target() {
    let lines = read_lines(LOG.as_bytes());
    let descriptions: Vec<String> =
        trace_request(&lines, "r-1").into_iter().map(describe).collect();
    assert_eq!(descriptions.len(), 3, "{descriptions:#?}");
    assert!(descriptions[0].contains("target t-1 was Added at revision 6"), "{}", descriptions[0]);
    assert!(descriptions[1].contains("said \"no\" twice; given up"), "{}", descriptions[1]);
    for part in ["ended Refused after 12 ms", "asks for 400 tokens/s and its share is 100", "90 ms"]
    {
        assert!(descriptions[2].contains(part), "{}", descriptions[2]);
    }
    assert!(trace_request(&lines, "r-9").is_empty());
}

#[test]
fn timings_are_grouped_by_route_and_end() {
    let rows = timings(&read_lines(LOG.as_bytes()));
    let answered = rows.iter().find(|row| row.end == "Answered").unwrap();
    assert_eq!((answered.requests, answered.first_ms), (1, Some((40, 40))));
    let refused = rows.iter().find(|row| row.end == "Refused").unwrap();
    assert_eq!((refused.first_ms, refused.took_ms), (None, (12, 12)));
}

#[test]
fn streams_that_are_taken_up_are_explained() {
    let log = r#"
2026-12-05T04:06:53.860230Z  INFO gateway::streams: unit="streams" event="not_known" request="r-1" resumed="r-0" service=app learned=Holders took_ms=1 view_age=314
2026-12-05T04:06:53.938391Z  INFO gateway::streams: unit="streams" event="taken_up" request="r-3" resumed="r-2" service=app version=v1 learned=Own took_ms=0
"#;
    let lines = read_lines(log.as_bytes());
    let text = |request| {
        let lines = trace_request(&lines, request).into_iter().map(describe);
        lines.collect::<Vec<_>>().concat()
    };
    assert!(text("r-1").contains("nobody knows which software version of app"), "{}", text("r-1"));
    assert!(text("r-1").contains("314 ms ago"), "{}", text("r-1"));
    assert!(text("r-3").contains("stream of request r-2"), "{}", text("r-3"));
    assert!(text("r-3").contains("software version v1 of app"), "{}", text("r-3"));
}

#[test]
fn runs_that_do_not_go_on_with_their_stream_are_explained() {
    let log = r#"
2026-12-05T13:06:53.860230Z  INFO gateway::relay: unit="relay" event="run_rejected" request="r-1" target="t-2" after=11 cause="event 14 came after event 11, which leaves events out"
2026-12-05T13:06:53.860231Z  INFO gateway::relay: unit="relay" event="resumed" request="r-1" target="t-2" after=11 cause="event 14 came after event 11, which leaves events out"
"#;
    let lines = read_lines(log.as_bytes());
    let descriptions: Vec<String> =
        trace_request(&lines, "r-1").into_iter().map(describe).collect();
    assert_eq!(descriptions.len(), 2, "{descriptions:#?}");
    assert!(descriptions[0].contains("target t-2 sent was not passed on after event 11"));
    assert!(descriptions[0].contains("which leaves events out"), "{}", descriptions[0]);
}
