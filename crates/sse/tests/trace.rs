//! What the log says of the ids of a stream.

use sse::EventTrace;

#[test]
fn ids_are_recorded_wherever_the_bytes_are_split() {
    let stream =
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: ping\nid: 5\ndata: id: 9\n\nid:4\ndata\n\n";
    for cut in 0..stream.len() {
        let mut trace = EventTrace::default();
        trace.push(&stream.as_bytes()[..cut]);
        trace.push(&stream.as_bytes()[cut..]);
        assert_eq!((trace.events, trace.first_id, trace.last_id), (4, Some(1), Some(4)), "{cut}");
        assert_eq!((trace.largest_step, trace.backward_steps), (3, 1), "{cut}");
    }
}

#[test]
fn ids_that_are_no_numbers_are_left_out() {
    let mut trace = EventTrace::default();
    trace.push(format!("id: a1\ndata: x\n\nid: {}\ndata: x\n\n", "7".repeat(100)).as_bytes());
    assert_eq!(trace, EventTrace::default());
}
