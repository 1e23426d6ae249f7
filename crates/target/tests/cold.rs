//! Cold times of targets.

mod common;

use common::entry;
use target::{ColdTargets, TargetRecord, TargetState};

const START_MS: u64 = 3_000;
const ID: &str = "t";

fn record(incarnation: u64, left_ms: u64, revision: u64) -> TargetRecord {
    let mut entry = entry(ID, incarnation, TargetState::Serving);
    entry.warm_up_ms = left_ms;
    TargetRecord { id: ID.into(), entry: Some(entry), revision }
}

fn removal(revision: u64) -> TargetRecord {
    TargetRecord { id: ID.into(), entry: None, revision }
}

/// Guards against a fleet that limits all its targets after it has started.
#[test]
fn targets_known_at_the_start_are_cold_only_if_their_entries_say_so() {
    let mut targets = ColdTargets::default();
    targets.record(&record(7, 0, 1), true, 10);
    assert_eq!(targets.cold_until(ID, START_MS), 0);
    let mut targets = ColdTargets::default();
    targets.record(&record(7, 500, 1), true, 10);
    assert_eq!(targets.cold_until(ID, START_MS), 510);
}

/// Guards against a new start that is not limited, as its entry does not say that it is cold.
#[test]
fn new_incarnations_are_cold_whatever_their_entries_say() {
    let mut targets = ColdTargets::default();
    targets.record(&record(7, 0, 1), true, 10);
    targets.record(&record(8, 0, 2), false, 1_000);
    assert_eq!(targets.cold_until(ID, START_MS), 1_000 + START_MS);
    // Its next entry does not shorten that.
    targets.record(&record(8, 0, 3), false, 1_500);
    assert_eq!(targets.cold_until(ID, START_MS), 1_000 + START_MS);
    targets.record(&record(8, 9_000, 4), false, 2_000);
    assert_eq!(targets.cold_until(ID, START_MS), 11_000);
}

/// Guards against later entries that go unnoticed, as they are equal, and against older ones that
/// arrive late and count again.
#[test]
fn each_entry_counts_once() {
    let mut targets = ColdTargets::default();
    targets.record(&record(7, 2_000, 1), true, 10);
    assert!(targets.record(&record(7, 2_000, 5), false, 8_000));
    assert_eq!(targets.cold_until(ID, START_MS), 10_000);
    assert!(!targets.record(&record(7, 2_000, 5), false, 9_000));
    assert!(!targets.record(&record(7, 60_000, 4), false, 9_000));
    assert_eq!(targets.cold_until(ID, START_MS), 10_000);
}

/// Guards against targets that are all limited after an outage in which their entries expired,
/// and against a new start that is taken for the old one as neither says when it was.
#[test]
fn entries_that_come_back_are_no_new_starts() {
    let mut targets = ColdTargets::default();
    targets.record(&record(7, 0, 1), true, 10);
    targets.record(&removal(2), false, 1_000);
    targets.expire(30_000);
    targets.record(&record(7, 0, 3), false, 30_000);
    assert_eq!(targets.cold_until(ID, START_MS), 0);
    let mut targets = ColdTargets::default();
    targets.record(&record(0, 0, 1), true, 10);
    targets.record(&removal(2), false, 1_000);
    targets.record(&record(0, 0, 3), false, 2_000);
    assert_eq!(targets.cold_until(ID, START_MS), 2_000 + START_MS);
}

/// Guards against a domain that is taken back with targets that became cold unnoticed.
#[test]
fn targets_of_a_domain_that_is_taken_back_are_cold_unless_they_say_otherwise() {
    let mut targets = ColdTargets::default();
    targets.record(&record(7, 0, 1), true, 10);
    assert!(targets.record_taken_back(&"b".into(), 4, 20_000));
    assert_eq!(targets.cold_until(ID, START_MS), 0);
    assert!(targets.record_taken_back(&"a".into(), 5, 20_000));
    assert!(!targets.record_taken_back(&"a".into(), 5, 21_000));
    assert_eq!(targets.cold_until(ID, START_MS), 20_000 + START_MS);
    // An entry from before that arrives late says nothing, one from after it does.
    targets.record(&record(7, 0, 4), false, 20_100);
    assert_eq!(targets.cold_until(ID, START_MS), 20_000 + START_MS);
    targets.record(&record(7, 0, 6), false, 20_200);
    assert_eq!(targets.cold_until(ID, START_MS), 0);
}

/// Guards against an instance that starts just after a domain was taken back and takes its targets
/// for warm, and against one that takes them for cold long after that.
#[test]
fn an_instance_that_starts_later_knows_since_when_a_domain_is_back() {
    for (age, until) in [(1_000, 100 + START_MS - 1_000), (600_000, 0)] {
        let mut targets = ColdTargets::default();
        assert!(targets.record_taken_back_before(&"a".into(), 5, age, 100));
        targets.record(&record(7, 0, 4), true, 150);
        assert_eq!(targets.cold_until(ID, START_MS), until);
        targets.record(&record(7, 0, 6), false, 160);
        assert_eq!(targets.cold_until(ID, START_MS), 0, "written since");
    }
}
