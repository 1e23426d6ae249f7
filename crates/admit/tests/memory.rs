//! The bytes that a router holds for callers stay within its budget, and no account
//! can keep the others from holding any.

use admit::{MemoryBudget, MemoryRefusal, MemorySettings};
use base::Name;

const LIMIT_BYTES: usize = 1_000_000;
/// Bytes of one body.
const BODY_BYTES: usize = 1_000;
/// Most accounts that hold as much as they can beside one that holds nothing.
const GREEDY_ACCOUNTS: usize = 16;
/// Part of the limit that an account that holds nothing can hold beside them.
const GUARANTEED_PART: usize = 25;

fn budget() -> MemoryBudget {
    MemoryBudget::new(MemorySettings { limit_bytes: LIMIT_BYTES, ..MemorySettings::default() })
}

fn account(number: usize) -> Name {
    format!("account-{number}").into()
}

/// Holds bodies of `account` until one is refused; returns how many bytes were held.
fn hold_all(budget: &mut MemoryBudget, account: Option<&Name>, body_bytes: usize) -> usize {
    let mut held = 0;
    while budget.hold(account, body_bytes).is_ok() {
        held += body_bytes;
    }
    held
}

#[test]
fn one_account_gets_half_of_the_budget() {
    let mut budget = budget();
    assert_eq!(hold_all(&mut budget, Some(&account(0)), BODY_BYTES), LIMIT_BYTES / 2);
    let refusal = budget.hold(Some(&account(0)), BODY_BYTES).unwrap_err();
    assert_eq!(refusal, MemoryRefusal::AccountLimit);
}

#[test]
fn requests_without_an_account_share_one_part() {
    let mut budget = budget();
    assert_eq!(hold_all(&mut budget, None, BODY_BYTES), LIMIT_BYTES / 2);
    budget.hold(Some(&account(0)), BODY_BYTES).unwrap();
}

/// Guards against few accounts with many bodies that fill the budget, so that no request
/// of any other is taken.
#[test]
fn account_that_holds_nothing_can_hold_a_body_beside_greedy_ones() {
    for greedy in 1..=GREEDY_ACCOUNTS {
        let mut budget = budget();
        // Repeated, as the part of each account follows what the others hold.
        for _ in 0..3 {
            for number in 0..greedy {
                hold_all(&mut budget, Some(&account(number)), BODY_BYTES);
            }
        }
        let result = budget.hold(Some(&account(greedy)), LIMIT_BYTES / GUARANTEED_PART);
        assert!(result.is_ok(), "{greedy} others hold {}: {result:?}", budget.used());
    }
}

#[test]
fn returned_bytes_can_be_held_again() {
    let mut budget = budget();
    let keys: Vec<_> = (0..100)
        .map(|number| budget.hold(Some(&account(number % 3)), BODY_BYTES).unwrap())
        .collect();
    assert_eq!(budget.used(), 100 * BODY_BYTES);
    for key in keys {
        budget.release(key);
    }
    assert_eq!(budget.used(), 0);
    assert_eq!(hold_all(&mut budget, Some(&account(0)), BODY_BYTES), LIMIT_BYTES / 2);
}

#[test]
fn bytes_are_returned_once() {
    let mut budget = budget();
    let first = budget.hold(Some(&account(0)), BODY_BYTES).unwrap();
    budget.hold(Some(&account(0)), BODY_BYTES).unwrap();
    budget.release(first);
    budget.release(first);
    assert_eq!(budget.used(), BODY_BYTES);
}

#[test]
fn bytes_that_were_returned_cannot_grow() {
    let mut budget = budget();
    let key = budget.hold(Some(&account(0)), BODY_BYTES).unwrap();
    budget.release(key);
    assert!(budget.grow(key, BODY_BYTES).is_err());
    assert_eq!(budget.used(), 0);
}

#[test]
fn refused_growth_keeps_what_was_held() {
    let mut budget = budget();
    let key = budget.hold(Some(&account(0)), BODY_BYTES).unwrap();
    assert_eq!(budget.grow(key, LIMIT_BYTES), Err(MemoryRefusal::Full));
    assert_eq!(budget.grow(key, LIMIT_BYTES / 2), Err(MemoryRefusal::AccountLimit));
    assert_eq!(budget.grow(key, usize::MAX), Err(MemoryRefusal::Full));
    assert_eq!(budget.used(), BODY_BYTES);
    budget.release(key);
    assert_eq!(budget.used(), 0);
}

#[test]
fn full_budget_takes_no_further_request_of_an_account_until_enough_is_returned() {
    // Without thresholds of accounts, so that one can fill the budget.
    let settings = MemorySettings {
        limit_bytes: LIMIT_BYTES,
        account_factor: f64::INFINITY,
        ..MemorySettings::default()
    };
    let mut budget = MemoryBudget::new(settings);
    let tenth = LIMIT_BYTES / 10;
    let mut keys: Vec<_> = (0..9).map(|_| budget.hold(None, tenth).unwrap()).collect();
    assert!(budget.is_full());
    assert_eq!(budget.hold(None, 1), Err(MemoryRefusal::Full));
    assert!(budget.hold(None, 0).is_ok(), "a request without a body");
    // A request that was taken can still grow.
    let last = keys.pop().unwrap();
    budget.grow(last, 1).unwrap();
    budget.release(last);
    assert!(!budget.is_full());
    let key = budget.hold(None, tenth - 1).unwrap();
    assert!(!budget.is_full());
    budget.grow(key, 1).unwrap();
    assert!(budget.is_full());
    let small = budget.grow(key, 1);
    assert_eq!(small, Ok(()));
    budget.release(keys.pop().unwrap());
    assert!(budget.is_full(), "{} bytes are over what is resumed at", budget.used());
    budget.release(keys.pop().unwrap());
    assert!(!budget.is_full());
}

/// Guards against a request that was taken and loses its response, as other accounts
/// hold bytes since.
#[test]
fn request_that_was_taken_keeps_the_memory_for_its_response() {
    let settings = MemorySettings { limit_bytes: 100_000, ..MemorySettings::default() };
    let mut budget = MemoryBudget::new(settings);
    let (first, second) = ("first".into(), "second".into());
    let key = budget.hold(Some(&first), 45_000).unwrap();
    assert!(budget.grow(key, 800).is_ok());
    budget.hold(Some(&second), 15_000).unwrap();
    assert_eq!(
        budget.hold_response(key, 800),
        Ok(()),
        "of 100,000 bytes, {} are held",
        budget.used()
    );
}

/// Guards against requests without a body that are refused for memory they don't need.
#[test]
fn account_over_its_part_sends_requests_without_a_body() {
    let settings = MemorySettings { limit_bytes: 100_000, ..MemorySettings::default() };
    let mut budget = MemoryBudget::new(settings);
    let (first, second) = ("first".into(), "second".into());
    budget.hold(Some(&first), 45_000).unwrap();
    budget.hold(Some(&second), 15_000).unwrap();
    assert!(budget.hold(Some(&first), 0).is_ok(), "refused with {} bytes held", budget.used());
}

/// Guards against responses that nobody takes and that leave nothing for an account that holds
/// nothing.
#[test]
fn responses_leave_room_for_an_account_that_holds_nothing() {
    let mut budget = budget();
    let greedy = account(0);
    let key = budget.hold(Some(&greedy), BODY_BYTES).unwrap();
    while budget.hold_response(key, BODY_BYTES).is_ok() {}
    assert!(budget.used() <= LIMIT_BYTES * 9 / 10, "{} bytes", budget.used());
    let key = budget.hold(Some(&account(1)), BODY_BYTES).unwrap();
    assert_eq!(budget.hold_response(key, LIMIT_BYTES / 25), Ok(()));
}

/// Guards against heads that are not complete and that exceed the budget beside what is held.
#[test]
fn heads_have_room_for_half_of_what_is_left() {
    let mut budget = budget();
    assert_eq!(budget.head_room(), LIMIT_BYTES / 2);
    budget.hold(Some(&account(0)), LIMIT_BYTES / 5).unwrap();
    assert_eq!(budget.head_room(), LIMIT_BYTES * 2 / 5);
}
