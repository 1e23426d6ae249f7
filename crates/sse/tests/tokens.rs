//! Tests of the order of tokens, across the runs of engines.

use sse::{TokenError, TokenOrder, TokenPlace};

/// Returns an order whose caller has the tokens `a0` to `a5`.
fn order_of_six() -> TokenOrder {
    let mut order = TokenOrder::default();
    for index in 0..6 {
        assert_eq!(order.place(index, &format!("a{index}")), Ok(TokenPlace::Next));
    }
    order.begin_run();
    order
}

/// Guards against pieces of two generations in one stream.
#[test]
fn known_token_with_other_data_ends_the_run() {
    let mut order = order_of_six();
    assert_eq!(order.place(0, "a0"), Ok(TokenPlace::Known));
    assert_eq!(order.place(1, "b1"), Err(TokenError::Different { index: 1 }));
    assert_eq!(order.next_token(), 6);
}

/// Guards against a generation that begins again and is broken though it is the same one.
#[test]
fn same_tokens_are_left_out_wherever_the_run_begins() {
    for start in 0..=6 {
        let mut order = order_of_six();
        for index in start..9 {
            let place = if index < 6 { TokenPlace::Known } else { TokenPlace::Next };
            assert_eq!(order.place(index, &format!("a{index}")), Ok(place), "from {start}");
        }
    }
}

/// Guards against streams with a gap or with tokens out of order.
#[test]
fn tokens_of_a_run_follow_each_other() {
    let misplaced = |index, expected| Err(TokenError::Misplaced { index, expected });
    assert_eq!(TokenOrder::default().place(1, "a1"), misplaced(1, 0));
    assert_eq!(order_of_six().place(7, "a7"), misplaced(7, 6));
    let mut order = order_of_six();
    assert_eq!(order.place(2, "a2"), Ok(TokenPlace::Known));
    assert_eq!(order.clone().place(6, "a6"), misplaced(6, 3));
    assert_eq!(order.place(2, "a2"), misplaced(2, 3));
}

/// Guards against a token that is taken for the same one, since it is too old to be remembered.
#[test]
fn forgotten_tokens_end_the_run() {
    let mut order = TokenOrder::default();
    for index in 0..5_000 {
        assert_eq!(order.place(index, "same"), Ok(TokenPlace::Next));
    }
    order.begin_run();
    assert_eq!(order.clone().place(4_990, "same"), Ok(TokenPlace::Known));
    assert_eq!(order.place(0, "same"), Err(TokenError::Different { index: 0 }));
}

/// Guards against a stream that broke off and counts as whole after a run without a token.
#[test]
fn an_empty_run_is_no_end_until_the_last_token_confirms_it() {
    let mut order = order_of_six();
    assert_eq!(order.resume_from(), 6);
    assert_eq!(order.check_end(), Err(TokenError::Empty { passed: 6 }));
    assert_eq!(order.resume_from(), 5);
    let mut other = order.clone();
    other.begin_run();
    assert_eq!(other.place(5, "b5"), Err(TokenError::Different { index: 5 }));
    order.begin_run();
    assert_eq!(order.check_end(), Err(TokenError::Empty { passed: 6 }));
    order.begin_run();
    assert_eq!(order.place(5, "a5"), Ok(TokenPlace::Known));
    assert_eq!(order.check_end(), Ok(()));
}

/// Guards against the end of a shorter generation that counts as the end of the stream.
#[test]
fn a_run_that_ends_before_the_last_token_is_no_end() {
    let mut order = order_of_six();
    assert_eq!(order.place(0, "a0"), Ok(TokenPlace::Known));
    assert_eq!(order.check_end(), Err(TokenError::Short { tokens: 1, passed: 6 }));
}

/// Guards against whole streams that count as broken.
#[test]
fn a_run_that_reached_the_last_token_is_an_end() {
    assert_eq!(TokenOrder::default().check_end(), Ok(()));
    let mut order = order_of_six();
    assert_eq!(order.place(6, "a6"), Ok(TokenPlace::Next));
    assert_eq!((order.check_end(), order.resume_from()), (Ok(()), 7));
}
