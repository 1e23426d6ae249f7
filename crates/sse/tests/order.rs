//! What the run of a target is to the stream that its caller has.

use sse::{OrderError, OrderedEvents, RunEnd};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: event {id}\n\n")
}

fn events(ids: &[u64]) -> String {
    ids.iter().copied().map(event).collect()
}

/// Pushes events with these ids; returns what is passed on.
fn push(stream: &mut OrderedEvents, ids: &[u64]) -> Result<String, OrderError> {
    let pushed = stream.push(events(ids).as_bytes());
    let passed = String::from_utf8_lossy(&pushed.passed).into_owned();
    pushed.result.map(|()| passed)
}

/// Returns a stream whose first run had events with these ids and broke off.
fn broken_after(ids: &[u64]) -> OrderedEvents {
    let mut stream = OrderedEvents::resumable(None);
    assert_eq!(push(&mut stream, ids), Ok(events(ids)));
    stream.begin_run();
    stream
}

#[test]
fn a_run_goes_on_with_the_next_event() {
    for ids in [vec![1, 2, 3], vec![8, 16, 24], vec![1, 4, 9]] {
        let mut stream = broken_after(&ids);
        let next = ids[2] + ids[2] - ids[1];
        assert_eq!(push(&mut stream, &[next]), Ok(events(&[next])), "{ids:?}");
        assert_eq!(stream.check_end(RunEnd::Marked), Ok(()));
    }
}

/// Guards against events that come twice: a run begins again from the first event.
#[test]
fn events_that_the_caller_has_are_left_out_if_their_bytes_are_the_same() {
    let mut stream = broken_after(&[1, 2, 3]);
    assert_eq!(push(&mut stream, &[1, 2, 3, 4]), Ok(events(&[4])));
    stream.begin_run();
    assert_eq!(push(&mut stream, &[3, 4, 5]), Ok(events(&[5])));
    stream.begin_run();
    let other = stream.push(b"id: 5\ndata: other\n\n");
    assert_eq!((other.passed, other.result), (vec![], Err(OrderError::Different { id: 5 })));
}

/// Guards against a stream with missing events: a run goes on too late.
#[test]
fn a_run_that_leaves_events_out_is_rejected() {
    let mut stream = broken_after(&[1, 2, 3]);
    assert_eq!(push(&mut stream, &[5]), Err(OrderError::Gap { id: 5, last: 3 }));
    let mut stream = broken_after(&[8, 16, 24]);
    assert_eq!(push(&mut stream, &[40]), Err(OrderError::Gap { id: 40, last: 24 }));
    // The run has no event 3, so its events are not those of the first run.
    let mut stream = broken_after(&[1, 2, 3]);
    assert_eq!(push(&mut stream, &[1, 2, 5]), Err(OrderError::Gap { id: 5, last: 3 }));
    stream.begin_run();
    assert_eq!(push(&mut stream, &[4]), Ok(events(&[4])));
}

/// Guards against a stream with missing events: the step of its ids is known only from the second
/// event of a run on.
#[test]
fn the_first_event_of_a_run_waits_for_the_second_if_no_step_is_known() {
    let mut stream = OrderedEvents::resumable(Some(11));
    assert_eq!(push(&mut stream, &[14]), Ok(String::new()));
    assert_eq!(push(&mut stream, &[15]), Err(OrderError::Gap { id: 14, last: 11 }));
    let mut stream = OrderedEvents::resumable(Some(24));
    assert_eq!(push(&mut stream, &[32]), Ok(String::new()));
    assert_eq!(push(&mut stream, &[40, 48]), Ok(events(&[32, 40, 48])));
    assert_eq!(stream.check_end(RunEnd::Marked), Ok(()));
    let mut stream = OrderedEvents::resumable(Some(24));
    assert_eq!(push(&mut stream, &[32]), Ok(String::new()));
    assert_eq!(stream.check_end(RunEnd::Marked), Err(OrderError::Unplaced { last: 24 }));
}

/// Guards against events that a caller gets again when it takes a stream up: nothing is known of
/// the events that it has.
#[test]
fn a_stream_that_is_taken_up_goes_on_after_the_event_that_its_caller_names() {
    let mut stream = OrderedEvents::resumable(Some(3));
    assert_eq!(push(&mut stream, &[4, 5]), Ok(events(&[4, 5])));
    for id in [1, 3] {
        let mut stream = OrderedEvents::resumable(Some(3));
        assert_eq!(push(&mut stream, &[id]), Err(OrderError::Different { id }));
    }
}

#[test]
fn ids_increase_within_a_run() {
    for (ids, last) in [([1, 2, 2], 2), ([1, 3, 2], 3)] {
        let mut stream = OrderedEvents::resumable(None);
        let pushed = stream.push(events(&ids).as_bytes());
        assert_eq!(pushed.passed, events(&ids[..2]).as_bytes());
        assert_eq!(pushed.result, Err(OrderError::Backward { id: 2, last }));
        stream.begin_run();
        assert_eq!(push(&mut stream, &[last + 1]), Ok(events(&[last + 1])));
    }
}

/// Guards against a stream that goes on after an event whose place nobody knows.
#[test]
fn a_stream_is_not_resumed_after_an_event_without_a_number() {
    for text in ["data: a\n\n", "id: a\ndata: a\n\n", "id\ndata: a\n\n"] {
        let mut stream = OrderedEvents::resumable(None);
        assert_eq!(stream.push(text.as_bytes()).passed, text.as_bytes());
        assert!(!stream.can_resume(), "{text:?}");
        assert_eq!(push(&mut stream, &[7]), Ok(events(&[7])));
        assert!(stream.can_resume(), "{text:?}");
        stream.begin_run();
        let result = stream.push(text.as_bytes()).result;
        assert_eq!(result, Err(OrderError::Unplaced { last: 7 }), "{text:?}");
    }
}

#[test]
fn comments_are_no_events() {
    let mut stream = broken_after(&[1, 2]);
    let text = ": ping\n\nretry: 100\n\nid: 3\ndata: event 3\n\n: ping\n";
    assert_eq!(stream.push(text.as_bytes()).passed, text.as_bytes());
    assert_eq!(stream.last_id(), Some(3));
}

/// Guards against a truncated stream that counts as complete: a target that is to go on with it
/// claims that nothing follows.
#[test]
fn a_run_without_events_does_not_complete_a_stream_that_broke_off() {
    for end in [RunEnd::Marked, RunEnd::Unmarked] {
        let mut stream = broken_after(&[1, 2]);
        assert_eq!(stream.check_end(end), Err(OrderError::Empty { last: 2 }));
        let mut stream = OrderedEvents::resumable(Some(2));
        assert_eq!(stream.check_end(end), Err(OrderError::Empty { last: 2 }));
    }
}

/// Returns a stream whose run had events with these ids and ended without a mark.
fn unmarked_after(ids: &[u64]) -> OrderedEvents {
    let mut stream = OrderedEvents::resumable(None);
    assert_eq!(push(&mut stream, ids), Ok(events(ids)));
    assert_eq!(stream.check_end(RunEnd::Unmarked), Err(OrderError::UnmarkedEnd));
    stream.begin_run();
    stream
}

/// Guards against a truncated stream that counts as complete: a target that fails between two
/// events closes its connection in order.
#[test]
fn an_end_that_is_not_marked_is_confirmed_by_another_run_with_the_last_event() {
    assert_eq!(unmarked_after(&[1]).resume_id(), None);
    assert_eq!(unmarked_after(&[1, 2]).resume_id(), Some(1));
    let mut stream = unmarked_after(&[1, 2]);
    assert_eq!(push(&mut stream, &[2]), Ok(String::new()));
    assert_eq!(stream.check_end(RunEnd::Unmarked), Err(OrderError::Empty { last: 2 }));
    assert_eq!(stream.check_end(RunEnd::Marked), Ok(()));
    let mut stream = unmarked_after(&[1, 2]);
    assert_eq!(push(&mut stream, &[2, 3]), Ok(events(&[3])));
    stream.begin_run();
    assert_eq!(stream.resume_id(), Some(3));
    assert_eq!(stream.check_end(RunEnd::Marked), Err(OrderError::Empty { last: 3 }));
}

/// Guards against a truncated stream that counts as complete: its target failed between two events,
/// and the next one has no event but marks its end.
#[test]
fn a_run_without_events_does_not_confirm_an_end() {
    for end in [RunEnd::Marked, RunEnd::Unmarked] {
        let mut stream = unmarked_after(&[1, 2]);
        assert_eq!(stream.check_end(end), Err(OrderError::Empty { last: 2 }));
    }
    let mut stream = unmarked_after(&[1, 2, 3]);
    assert_eq!(push(&mut stream, &[1, 2]), Ok(String::new()));
    assert_eq!(stream.check_end(RunEnd::Marked), Err(OrderError::Empty { last: 3 }));
}

#[test]
fn the_end_of_a_stream_that_is_taken_up_is_confirmed_after_the_event_that_its_caller_names() {
    let mut stream = OrderedEvents::resumable(Some(7));
    assert_eq!(push(&mut stream, &[8]), Ok(events(&[8])));
    assert_eq!(stream.check_end(RunEnd::Unmarked), Err(OrderError::UnmarkedEnd));
    stream.begin_run();
    assert_eq!(stream.resume_id(), Some(7));
    assert_eq!(push(&mut stream, &[8]), Ok(String::new()));
    assert_eq!(stream.check_end(RunEnd::Marked), Ok(()));
}

#[test]
fn a_stream_with_as_many_events_as_it_can_have_is_whole() {
    let stream = |max_events: u64| {
        let mut stream = OrderedEvents::resumable(None).with_max_events(Some(max_events));
        assert_eq!(push(&mut stream, &[1, 2]), Ok(events(&[1, 2])));
        stream
    };
    assert_eq!(stream(2).check_end(RunEnd::Unmarked), Ok(()));
    assert_eq!(stream(3).check_end(RunEnd::Unmarked), Err(OrderError::UnmarkedEnd));
    // How many events the caller has already is not known.
    let mut taken_up = OrderedEvents::resumable(Some(3)).with_max_events(Some(1));
    assert_eq!(push(&mut taken_up, &[4]), Ok(events(&[4])));
    assert_eq!(taken_up.check_end(RunEnd::Unmarked), Err(OrderError::UnmarkedEnd));
}
