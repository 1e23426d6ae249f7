//! Which peers are asked for what an instance lacks.

use mesh::FetchQuota;

/// Guards against an instance that never asks again for evacuations and cold times (FAILBACK), as the
/// peers that it asked at its start did not answer.
#[test]
fn peers_that_do_not_answer_do_not_count() {
    for is_found in [true, false] {
        let mut quota = if is_found { FetchQuota::of_found(3) } else { FetchQuota::of_heard(3) };
        for _ in 0..3 {
            assert!(quota.allows(is_found, 1_000));
            quota.begin();
        }
        assert!(!quota.allows(true, 1_000), "enough are asked");
        (0..3).for_each(|_| quota.record_failure(1_400));
        assert!(!quota.allows(false, 1_400), "without a pause");
        for _ in 0..3 {
            assert!(quota.allows(false, 2_400));
            quota.begin();
        }
        assert!(!quota.allows(true, 9_000), "all have answered");
    }
}

/// Guards against an instance that asks fewer peers than it should after its start (FAILBACK, DRAIN), as
/// they were found while other requests waited.
#[test]
fn peers_that_could_not_be_asked_are_asked_later() {
    let mut quota = FetchQuota::of_found(2);
    quota.begin();
    quota.postpone(1_000);
    quota.postpone(1_000);
    assert!(!quota.allows(false, 1_200), "without a pause");
    assert!(quota.allows(false, 1_500), "a peer that is heard later");
    quota.begin();
    assert!(!quota.allows(false, 9_000), "all are asked");
}
