//! What of the retry budget is left for requests that have failed.

use admit::{RetryBudget, RetrySettings};
use base::Name;

/// Guards against streams that broke off and are not resumed, as the ends of others, which only
/// lacked a mark, were confirmed with the whole budget.
#[test]
fn confirmations_leave_half_of_the_budget() {
    let settings = RetrySettings { ratio: 0.2, usable_fraction: 1.0, ..RetrySettings::default() };
    let mut budget = RetryBudget::new(settings);
    let service = Name::from("app");
    for _ in 0..100 {
        budget.record_request(&service, 1_000);
    }
    let spare = (0..100).filter(|_| budget.try_take_spare(&service, 1_000)).count();
    assert_eq!(spare, 10);
    let repeats = (0..100).filter(|_| budget.try_take(&service, 1_000)).count();
    assert_eq!(repeats, 10);
    assert!(!budget.try_take_spare(&service, 1_000));
}
