//! Stateful property test of the stream that a caller receives over its tries at several
//! instances, made of runs of several targets that begin and end in any way. The oracle knows the
//! whole stream and sees only what the caller receives.

mod target;

use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use sse::{OrderError, OrderedEvents, RunEnd};

use crate::target::{MadeEvent, TargetRun, Transition, WholeStream, parse};

/// A response to the caller at one instance.
struct OpenResponse {
    events: OrderedEvents,
    /// The bytes that the caller received.
    delivered: Vec<u8>,
    /// Number of events that the caller had before.
    taken_up: usize,
    /// Largest difference between the ids of two events that came one after the other in a run.
    largest_step: u64,
    /// Whether a run broke off inside an event.
    has_begun: bool,
}

/// The caller of one stream, which begins again when it is complete or can't go on.
#[derive(Default)]
struct Caller {
    received: Vec<usize>,
    response: Option<OpenResponse>,
}

impl Caller {
    fn last_id(&self, stream: &WholeStream) -> Option<u64> {
        self.received.iter().rev().find_map(|index| stream.number(*index))
    }

    fn next(&self) -> usize {
        self.received.last().map_or(0, |index| index + 1)
    }

    /// Returns the event that a target is asked for: the first one after the id that it gets.
    fn asked(&self, stream: &WholeStream) -> usize {
        let open = self.response.as_ref();
        let after = open.map_or_else(|| self.last_id(stream), |open| open.events.resume_id());
        let Some(after) = after else { return 0 };
        let is_after = |index: &usize| stream.number(*index).is_some_and(|id| id > after);
        let last = (0..stream.ids.len())
            .rev()
            .find(|index| stream.number(*index).is_some_and(|id| id <= after));
        let first = last.map_or(0, |index| index + 1);
        if last.is_some() { first } else { (0..stream.ids.len()).find(is_after).unwrap_or(0) }
    }

    /// Returns the events that were passed on in this response.
    fn known(&self) -> &[usize] {
        let taken_up = self.response.as_ref().map_or(self.received.len(), |open| open.taken_up);
        &self.received[taken_up..]
    }

    fn request(&self, stream: &WholeStream) -> OpenResponse {
        let events = if stream.is_resumable {
            OrderedEvents::resumable(self.last_id(stream))
        } else {
            OrderedEvents::of_one_run()
        };
        OpenResponse {
            events,
            delivered: Vec::new(),
            taken_up: self.received.len(),
            largest_step: 0,
            has_begun: false,
        }
    }

    /// Ends the response. The caller takes the stream up elsewhere, unless it has no id to name.
    fn lose_response(&mut self, stream: &WholeStream) {
        self.response = None;
        if !stream.is_resumable || self.last_id(stream).is_none() {
            self.received.clear();
        }
    }

    /// Whether a run is wrong in a way that nobody can see: it jumps to an event without a number,
    /// or back to one whose number is the highest yet; or it is of another generation and has the
    /// next event at once, or only such events before it as are the same in both.
    fn is_untellable(&self, stream: &WholeStream, made: &[MadeEvent]) -> bool {
        let number = |event: &MadeEvent| stream.number(event.index);
        let jumps_unseen = |position: usize| {
            let (before, at) = (made[position - 1].index, made[position].index);
            let highest = made[..position].iter().filter_map(number).max();
            match number(&made[position]) {
                Some(number) => at <= before && Some(number) > highest,
                None => at != before + 1,
            }
        };
        if (1..made.len()).any(jumps_unseen) {
            return true;
        }
        let Some(foreign) = made.iter().position(|event| event.is_foreign) else { return false };
        let last = self.last_id(stream);
        let is_ahead = |position: &usize| {
            let before = position.checked_sub(1).map(|before| made[before].index);
            number(&made[*position]) > last
                || before.is_some() && before.as_ref() == self.received.last()
        };
        let ahead = (0..made.len()).find(is_ahead).unwrap_or(made.len());
        let known: Vec<usize> = made[..ahead].iter().map(|event| event.index).collect();
        let is_numbered = known.iter().all(|index| stream.number(*index).is_some());
        last.is_none() || ahead <= foreign && is_numbered && self.received.ends_with(&known)
    }

    /// Returns the largest step that is no gap between the last event and the first one of a run.
    /// Ids only increase, so a gap that is no larger than a step inside a run can't be seen.
    fn allowed_step(&self, stream: &WholeStream, made: &[MadeEvent]) -> u64 {
        let known = self.response.as_ref().map_or(0, |response| response.largest_step);
        let number = |position: usize| stream.number(made.get(position)?.index);
        let own =
            number(0).zip(number(1)).map_or(0, |(first, second)| second.saturating_sub(first));
        if known == 0 { own.max(1) } else { known }
    }

    /// Checks the event that the caller receives at `position` of a run.
    fn receive(&mut self, stream: &WholeStream, made: &[MadeEvent], position: usize) {
        let MadeEvent { index, is_foreign } = made[position];
        assert!(!is_foreign, "of another generation: {index} after {:?}", self.received);
        let next = self.next();
        assert!(index >= next, "again or out of order: {index} after {:?}", self.received);
        let last = self.last_id(stream);
        let number = stream.number(index);
        let is_in_run = position > 0 && Some(&made[position - 1].index) == self.received.last();
        let step = number.zip(last).map(|(number, last)| number - last);
        if index > next && !is_in_run {
            // Ids may begin anywhere and increase by uneven steps, so neither the first event nor
            // two that come one after the other in a run show a gap.
            let is_hidden = position == 0
                && step.is_none_or(|step| step <= self.allowed_step(stream, made))
                && (self.received.is_empty() || step.is_some());
            assert!(is_hidden, "events are missing: {index} after {:?}", self.received);
        }
        if let Some(response) = &mut self.response {
            let step = step.filter(|_| is_in_run).unwrap_or_default();
            response.largest_step = response.largest_step.max(step);
        }
        self.received.push(index);
    }

    /// Delivers bytes to the caller.
    fn deliver(&mut self, stream: &WholeStream, made: &[MadeEvent], bytes: &[u8]) {
        let Some(response) = &mut self.response else { return };
        response.delivered.extend_from_slice(bytes);
        let known = self.received.len() - response.taken_up;
        let (events, _) = parse(&response.delivered);
        for lines in &events[known..] {
            let event = stream.find(lines);
            let position = made.iter().position(|made| *made == event);
            self.receive(stream, made, position.expect("an event of the run"));
        }
    }

    /// Whether a run must complete the stream: it has the rest of it and a marked end, and begins
    /// with an event that is known or comes next.
    fn must_complete(&self, stream: &WholeStream, run: &TargetRun, made: &[MadeEvent]) -> bool {
        let (next, count) = (self.next(), stream.ids.len());
        let start = made.first().map_or(count, |event| event.index);
        let is_rest = made.iter().map(|event| event.index).eq(start..count);
        let is_own = made.iter().all(|event| !event.is_foreign);
        let is_marked = run.end == Some(RunEnd::Marked) && run.unsent == 0 && run.death.is_none();
        let is_known =
            |index: usize| self.known().contains(&index) && stream.number(index).is_some();
        let is_placed = if next == 0 || start < next {
            (start..next).all(is_known)
        } else {
            // An id that is further ahead than a known step may follow a gap. Where no step is
            // known, the last event alone shows none.
            let last = self.received.last().and_then(|index| stream.number(*index));
            let step = stream.number(next).zip(last);
            let allowed = self.allowed_step(stream, made);
            step.is_some_and(|(number, last)| number - last <= allowed)
        };
        is_rest && is_own && is_marked && next < count && start <= next && is_placed
    }

    fn play(&mut self, stream: &WholeStream, run: &TargetRun) {
        let bytes = run.bytes(stream, self.asked(stream));
        let (events, is_in_event) = parse(&bytes);
        let made: Vec<MadeEvent> = events.iter().map(|lines| stream.find(lines)).collect();
        if self.is_untellable(stream, &made) {
            return;
        }
        let must_complete = self.must_complete(stream, run, &made);
        if self.response.is_none() {
            self.response = Some(self.request(stream));
        }
        let had_last = made.iter().any(|event| {
            let number = stream.number(event.index);
            number.is_some() && number == self.last_id(stream)
        });
        let count = self.received.len();
        let result = self.pass(stream, run, &made, &bytes);
        let has_event = self.received.len() > count;
        let is_complete = matches!(result, Some(Ok(())));
        assert!(is_complete || !must_complete, "{result:?} for {run:?} after {:?}", self.received);
        if run.death.is_some() {
            self.lose_response(stream);
        } else if is_complete {
            self.check_complete(stream, run, has_event || had_last);
            *self = Self::default();
        } else {
            self.resume(stream, is_in_event);
        }
    }

    /// Passes a run on; returns how it ended, or `None` if its connection was lost.
    fn pass(
        &mut self,
        stream: &WholeStream,
        run: &TargetRun,
        made: &[MadeEvent],
        bytes: &[u8],
    ) -> Option<Result<(), OrderError>> {
        let mut limit = run.death.unwrap_or(usize::MAX);
        let mut deliver = |caller: &mut Self, passed: &[u8]| {
            let delivered = passed.len().min(limit);
            limit -= delivered;
            caller.deliver(stream, made, &passed[..delivered]);
        };
        for part in run.parts(bytes) {
            let pushed = self.response.as_mut()?.events.push(part);
            deliver(self, &pushed.passed);
            if pushed.result.is_err() {
                return Some(pushed.result);
            }
        }
        let events = &mut self.response.as_mut()?.events;
        let result = events.end_run(run.end?);
        if result.is_ok() {
            let rest = events.take_rest();
            deliver(self, &rest);
        }
        Some(result)
    }

    /// Checks a response that ended as complete.
    fn check_complete(&self, stream: &WholeStream, run: &TargetRun, has_event: bool) {
        let response = self.response.as_ref().expect("a response");
        assert!(!parse(&response.delivered).1, "complete inside an event");
        // Nobody can see that a marked end is false in a run that has the next or the last event,
        // or of a stream of which nobody has seen an event begin.
        let is_claimed = has_event || self.received.is_empty() && !response.has_begun;
        let is_whole = self.next() == stream.ids.len();
        let is_hidden = run.end == Some(RunEnd::Marked) && is_claimed;
        assert!(is_whole || is_hidden, "complete after {:?}", self.received);
    }

    /// Goes on at another target of the instance, if that is possible.
    fn resume(&mut self, stream: &WholeStream, was_in_event: bool) {
        let last_id = self.last_id(stream);
        let response = self.response.as_mut().expect("a response");
        if !response.events.can_resume() {
            return self.lose_response(stream);
        }
        response.events.begin_run();
        response.has_begun |= was_in_event;
        assert_eq!(response.events.last_id(), last_id, "the run begins after another event");
    }
}

impl StateMachineTest for Caller {
    type Reference = WholeStream;
    type SystemUnderTest = Self;

    fn init_test(_: &WholeStream) -> Self {
        Self::default()
    }

    fn apply(mut caller: Self, stream: &WholeStream, transition: Transition) -> Self {
        match transition {
            Transition::Run(run) => caller.play(stream, &run),
            Transition::Refuse => caller.lose_response(stream),
        }
        caller
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(52_013),
        ..Config::default()
    })]

    #[test]
    fn a_caller_receives_each_event_once_and_in_order(sequential 1..30 => Caller);
}
