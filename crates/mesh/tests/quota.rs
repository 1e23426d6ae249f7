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
