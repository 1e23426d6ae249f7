//! The ledger of an owner: placements, reports, and what must not be believed.

use rate::RateKey;
use work::{
    InFlightWork, OfferChoice, OfferOutcome, OfferRequest, PlacementId, PlacementNotice,
    ReceivedOffer, ReportBatches, ReportedLoad, RequestCost, TargetSize, WorkEvent, WorkOwner,
    WorkReport, WorkSettings,
};

const SIZE: TargetSize = TargetSize { slots: 4, memory_tokens: 100_000 };

fn key() -> RateKey {
    RateKey::new("e1", 1)
}

fn id(number: u32) -> PlacementId {
    PlacementId::new(7, number)
}

fn cost(prompt_tokens: u32) -> RequestCost {
    RequestCost { prompt_tokens, output_tokens: 50, ..RequestCost::default() }
}

fn request(number: u32, prompt_tokens: u32, place_until_ms: u32) -> OfferRequest {
    OfferRequest {
        id: id(number),
        key: key(),
        cost: cost(prompt_tokens),
        size: SIZE,
        place_until_ms,
        in_flight: InFlightWork::default(),
    }
}

fn owner() -> WorkOwner {
    WorkOwner::new(WorkSettings::default())
}

fn report(owner: &mut WorkOwner, event: WorkEvent, now: u64) {
    owner.record(&WorkReport { events: vec![(key(), event)] }, now);
}

/// Guards against offers that do not count what was placed before, and against placements that are
/// good enough for nobody.
#[test]
fn an_offer_counts_what_is_placed() {
    let mut owner = owner();
    let first = owner.offer(&request(1, 10_000, 200), 0);
    assert_eq!(first.outcome, OfferOutcome::Placed);
    let second = owner.offer(&request(2, 10_000, 200), 1);
    assert_eq!(second.outcome, OfferOutcome::Offered);
    assert!(second.wait_ms > 90, "{second:?}");
    assert_eq!(owner.model(key()).map(|model| model.placed()), Some(1));
}

/// Guards against a first byte that leaves its prompt, or those before it, in the queue.
#[test]
fn a_first_byte_shows_that_all_before_it_is_read() {
    let mut owner = owner();
    for number in 1..=3 {
        owner.offer(&request(number, 10_000, 1_000), 0);
    }
    report(&mut owner, WorkEvent::FirstByte { id: id(3), waited_ms: 100, age_ms: 0 }, 100);
    let offer = owner.offer(&request(4, 10, 0), 101);
    assert!(offer.wait_ms < 5, "{offer:?}");
}

/// Guards against a target that its owner believes to be busy for ever after lost reports.
#[test]
fn placements_without_reports_expire() {
    let mut owner = owner();
    for number in 1..=5 {
        owner.place(
            &PlacementNotice { id: id(number), key: key(), cost: cost(20_000), size: SIZE },
            0,
        );
    }
    assert_eq!(owner.offer(&request(6, 10, 100), 1).outcome, OfferOutcome::Full);
    assert_eq!(owner.offer(&request(7, 10, 100), 5_000).outcome, OfferOutcome::Placed);
}

/// Guards against a repeated datagram that counts a request twice.
#[test]
fn a_repeated_notice_counts_once() {
    let mut owner = owner();
    let notice = PlacementNotice { id: id(1), key: key(), cost: cost(10), size: SIZE };
    owner.place(&notice, 0);
    owner.place(&notice, 1);
    assert_eq!(owner.model(key()).map(|model| model.placed()), Some(1));
    report(&mut owner, WorkEvent::Ended { id: id(1) }, 2);
    report(&mut owner, WorkEvent::Ended { id: id(1) }, 3);
    assert_eq!(owner.model(key()).map(|model| model.placed()), Some(0));
}

/// Guards against a new owner that takes a busy target for an empty one: it begins from what
/// the routers have in flight there.
#[test]
fn a_new_owner_begins_from_requests_in_flight() {
    let mut owner = owner();
    let in_flight = InFlightWork { requests: 2, unread_tokens: 20_000 };
    let offer = owner.offer(&OfferRequest { in_flight, ..request(9, 10, 0) }, 0);
    assert!(offer.wait_ms > 150, "{offer:?}");
    let full = InFlightWork { requests: 5, unread_tokens: 0 };
    let offer = owner.offer(&OfferRequest { in_flight: full, ..request(10, 10, 0) }, 10);
    assert_eq!(offer.outcome, OfferOutcome::Full);
    let offer = owner.offer(&request(11, 10, 0), 20);
    assert_eq!(offer.outcome, OfferOutcome::Offered);
}

/// Guards against forged or wrong values that exclude a target for long or overflow.
#[test]
fn wrong_values_are_bounded() {
    let mut owner = owner();
    let most = RequestCost {
        prompt_tokens: u32::MAX,
        shared_tokens: u32::MAX,
        part: 1,
        held_percent: 255,
        output_tokens: u32::MAX,
    };
    let in_flight = InFlightWork { requests: u32::MAX, unread_tokens: u32::MAX };
    let size = TargetSize { slots: 0, memory_tokens: u32::MAX };
    let forged = OfferRequest { cost: most, size, in_flight, ..request(1, 0, u32::MAX) };
    owner.offer(&forged, 0);
    owner.place(&PlacementNotice { id: id(1), key: key(), cost: most, size }, 0);
    let load = ReportedLoad {
        running: u32::MAX,
        waiting: u32::MAX,
        slow_percent: Some(u32::MAX),
        age_ms: u32::MAX,
    };
    report(&mut owner, WorkEvent::Load(load), 1);
    let first_byte = WorkEvent::FirstByte { id: id(1), waited_ms: u32::MAX, age_ms: u32::MAX };
    report(&mut owner, first_byte, 2);
    let token_ms = owner.model(key()).map(|model| model.token_ms());
    assert!(token_ms.is_some_and(|ms| (0.002..=0.1).contains(&ms)), "{token_ms:?}");
    let offer = owner.offer(&request(2, 800, 200), 40_000);
    assert_eq!(offer.outcome, OfferOutcome::Placed, "{offer:?}");
}

/// Guards against a forged value that keeps requests away from a target while it counts.
#[test]
fn wrong_values_count_for_little() {
    let mut owner = owner();
    let no_slots = TargetSize { slots: 0, ..SIZE };
    let offer = owner.offer(&OfferRequest { size: no_slots, ..request(1, 10, 100) }, 0);
    assert_eq!(offer.outcome, OfferOutcome::Placed, "no slots");
    report(&mut owner, WorkEvent::Ended { id: id(1) }, 1);
    let usual = owner.offer(&request(2, 10_000, 0), 2).expected_ms;
    let percent = Some(u32::MAX);
    let load = ReportedLoad { running: 0, waiting: 0, slow_percent: percent, age_ms: 0 };
    report(&mut owner, WorkEvent::Load(load), 2);
    let slow = owner.offer(&request(2, 10_000, 0), 3).expected_ms;
    assert!(slow <= usual * 10, "{slow} and {usual}");
    let notice = PlacementNotice { id: id(3), key: key(), cost: cost(u32::MAX), size: SIZE };
    owner.place(&notice, 1_000);
    // A million tokens at the usual speed.
    let offer = owner.offer(&request(4, 10, 0), 1_001);
    assert!(offer.wait_ms < 20_000, "{offer:?}");
}

/// Guards against a slow-down that is used after the machine may have recovered.
#[test]
fn only_a_young_slow_down_counts() {
    let mut owner = owner();
    let usual = owner.offer(&request(1, 10_000, 0), 0).expected_ms;
    let load = ReportedLoad { running: 0, waiting: 0, slow_percent: Some(250), age_ms: 0 };
    report(&mut owner, WorkEvent::Load(load), 1);
    let slow = owner.offer(&request(1, 10_000, 0), 100).expected_ms;
    assert!(slow > usual * 2, "{slow} and {usual}");
    assert_eq!(owner.offer(&request(1, 10_000, 0), 700).expected_ms, usual);
}

/// Guards against models of targets that have left or that another router owns.
#[test]
fn unused_models_are_dropped() {
    let mut owner = owner();
    owner.offer(&request(1, 10, 0), 0);
    owner.retain(|_| true, 20_000);
    assert_eq!(owner.owned(), 1);
    owner.retain(|_| true, 40_000);
    assert_eq!(owner.owned(), 0);
    owner.offer(&request(1, 10, 0), 40_000);
    owner.retain(|_| false, 40_001);
    assert_eq!(owner.owned(), 0);
}

/// Guards against a plain target that gets requests beyond what its queue takes.
#[test]
fn plain_targets_have_one_number() {
    let mut owner = owner();
    let size = TargetSize { slots: 2, memory_tokens: 0 };
    let ask = |number| OfferRequest { size, ..request(number, 0, 1_000) };
    let first = owner.offer(&ask(1), 0);
    for number in 2..=8 {
        owner.offer(&ask(number), 0);
    }
    let last = owner.offer(&ask(9), 0);
    assert_eq!((first.outcome, last.outcome), (OfferOutcome::Placed, OfferOutcome::Full));
    assert!(last.expected_ms > first.expected_ms * 3);
}

/// Guards against a choice that ignores a placement, or reads a shared part again for nothing.
#[test]
fn a_placed_offer_is_taken_and_otherwise_the_best() {
    let mut owner = owner();
    let mut response = owner.offer(&request(1, 10, 0), 0);
    let settings = WorkSettings::default();
    let mut offer = |outcome, expected_ms, read_ms| {
        response = work::OfferResponse { outcome, expected_ms, read_ms, ..response };
        ReceivedOffer { response, crossing_ms: 0.0 }
    };
    let slow = offer(OfferOutcome::Placed, 90, 10);
    let fast = offer(OfferOutcome::Offered, 40, 35);
    let holder = offer(OfferOutcome::Offered, 45, 5);
    let full = offer(OfferOutcome::Full, 0, 0);
    assert_eq!(OfferChoice::of(&[fast, slow], &settings), OfferChoice::Placed(1));
    assert_eq!(OfferChoice::of(&[full, fast, holder], &settings), OfferChoice::Take(2));
    assert_eq!(OfferChoice::of(&[full], &settings), OfferChoice::AllFull);
    assert_eq!(OfferChoice::of(&[], &settings), OfferChoice::Unanswered);
}

/// Guards against reports whose age does not include the time in the batch.
#[test]
fn a_batch_adds_its_time_to_the_ages() {
    let mut batches = ReportBatches::<u8>::default();
    batches.add(1, key(), WorkEvent::FirstByte { id: id(1), waited_ms: 5, age_ms: 2 }, 100);
    batches.add(1, key(), WorkEvent::Ended { id: id(1) }, 110);
    let taken = batches.take(140);
    let expected = WorkEvent::FirstByte { id: id(1), waited_ms: 5, age_ms: 42 };
    assert_eq!(taken[0].1.events[0], (key(), expected));
    assert!(batches.is_empty());
}

/// Guards against messages that grow beyond the control traffic that is allowed: the figures of
/// docs/design/work-aware-placement.md follow from these sizes.
#[test]
fn messages_are_small() {
    let mut owner = owner();
    let cost = RequestCost {
        prompt_tokens: 12_000,
        shared_tokens: 5_400,
        part: u32::MAX,
        held_percent: 95,
        output_tokens: 500,
    };
    let size = TargetSize { slots: 24, memory_tokens: 320_000 };
    let in_flight = InFlightWork { requests: 2, unread_tokens: 12_000 };
    let id = PlacementId::new(u64::MAX, u32::MAX);
    let request = OfferRequest { id, cost, size, in_flight, ..request(1, 0, 100) };
    let response = owner.offer(&request, 0);
    let notice = PlacementNotice { id, key: key(), cost, size };
    let load = ReportedLoad { running: 20, waiting: 3, slow_percent: Some(250), age_ms: 40 };
    let first_byte = WorkEvent::FirstByte { id, waited_ms: 300, age_ms: 40 };
    let events = vec![(key(), WorkEvent::Load(load)), (key(), first_byte)];
    let report = WorkReport { events };
    let sizes = [
        rmp_serde::to_vec(&request).unwrap().len(),
        rmp_serde::to_vec(&response).unwrap().len(),
        rmp_serde::to_vec(&notice).unwrap().len(),
        rmp_serde::to_vec(&report).unwrap().len(),
    ];
    println!("request, response, notice, report: {sizes:?} bytes");
    assert!(sizes.iter().all(|bytes| *bytes <= 64), "{sizes:?}");
}
