//! What targets send: whole streams, and runs that begin and end in any way.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use sse::RunEnd;

/// Larger than an event whose end a stream of one run waits for, in bytes.
const LARGE_BYTES: usize = 17 << 10;

/// The id of an event, as its target writes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WrittenId {
    Missing,
    Number(u64),
    /// No number, or one that is too large.
    Text(&'static str),
}

impl WrittenId {
    pub fn number(&self) -> Option<u64> {
        if let Self::Number(number) = self { Some(*number) } else { None }
    }
}

/// A whole stream, and one of another generation with the same ids.
#[derive(Clone, Debug)]
pub struct WholeStream {
    pub ids: Vec<WrittenId>,
    /// Number of first events that are the same in the other generation.
    pub shared: usize,
    pub is_resumable: bool,
    /// An event that is larger than others. In a stream of one run only.
    pub large: Option<usize>,
}

impl WholeStream {
    pub fn lines(&self, index: usize, is_foreign: bool) -> Vec<String> {
        let name = if is_foreign && index >= self.shared { "other" } else { "event" };
        let padding = if self.large == Some(index) { LARGE_BYTES } else { 0 };
        let data = format!("data: {name} {index}{}", " ".repeat(padding));
        match &self.ids[index] {
            WrittenId::Missing => vec![data],
            WrittenId::Number(number) => vec![format!("id: {number}"), data],
            WrittenId::Text(text) => vec![format!("id: {text}"), data],
        }
    }

    /// Finds the event with these lines, in either generation.
    pub fn find(&self, lines: &[String]) -> MadeEvent {
        let find =
            |is_foreign| (0..self.ids.len()).find(|index| self.lines(*index, is_foreign) == lines);
        let own = find(false).map(|index| MadeEvent { index, is_foreign: false });
        let foreign = || find(true).map(|index| MadeEvent { index, is_foreign: true });
        own.or_else(foreign).unwrap_or_else(|| panic!("parts of two events: {lines:?}"))
    }

    pub fn number(&self, index: usize) -> Option<u64> {
        self.ids.get(index)?.number()
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MadeEvent {
    pub index: usize,
    pub is_foreign: bool,
}

#[derive(Clone, Copy, Debug)]
pub enum RunStart {
    First,
    /// So far after the event that the target was asked for.
    Asked(isize),
}

#[derive(Clone, Copy, Debug)]
pub enum RunJump {
    By(isize),
    /// To the event that the target was asked for.
    ToAsked,
}

/// What a target sends in answer to a request for a stream or for the rest of one.
#[derive(Clone, Debug)]
pub struct TargetRun {
    pub start: RunStart,
    pub is_foreign: bool,
    pub length: usize,
    /// After so many events, the run goes on elsewhere.
    pub jump: Option<(usize, RunJump)>,
    /// How its connection ends; `None` is a transport error.
    pub end: Option<RunEnd>,
    /// Number of bytes at the end that are not sent.
    pub unsent: usize,
    pub cuts: Vec<usize>,
    pub line_end: &'static str,
    /// Whether comments are sent between events.
    pub has_comments: bool,
    /// The instance dies when the caller has so many bytes of the run.
    pub death: Option<usize>,
}

impl TargetRun {
    pub fn indices(&self, asked: usize, count: usize) -> Vec<usize> {
        let mut index = match self.start {
            RunStart::First => 0,
            RunStart::Asked(distance) => asked.saturating_add_signed(distance),
        };
        let mut indices = Vec::new();
        for position in 0..self.length {
            index = match self.jump.filter(|jump| jump.0 == position) {
                Some((_, RunJump::By(distance))) => index.saturating_add_signed(distance),
                Some((_, RunJump::ToAsked)) => asked,
                None => index,
            };
            if index >= count {
                break;
            }
            indices.push(index);
            index += 1;
        }
        indices
    }

    pub fn bytes(&self, stream: &WholeStream, asked: usize) -> Vec<u8> {
        let mut text = String::new();
        for index in self.indices(asked, stream.ids.len()) {
            if self.has_comments {
                text.extend([": ping", self.line_end, self.line_end, ":", self.line_end]);
            }
            for line in stream.lines(index, self.is_foreign) {
                text.extend([&line, self.line_end]);
            }
            text.push_str(self.line_end);
        }
        if self.has_comments {
            text.push_str(": last");
        }
        text.truncate(text.len().saturating_sub(self.unsent));
        text.into_bytes()
    }

    /// Returns the parts in which `bytes` are received.
    pub fn parts<'a>(&self, bytes: &'a [u8]) -> Vec<&'a [u8]> {
        let mut cuts: Vec<usize> = self.cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        cuts.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect()
    }
}

/// Returns the lines of each complete event, and whether the bytes end inside another one.
pub fn parse(bytes: &[u8]) -> (Vec<Vec<String>>, bool) {
    let text = String::from_utf8_lossy(bytes).replace("\r\n", "\n").replace('\r', "\n");
    let mut events = Vec::new();
    let mut event = Vec::new();
    let (complete, rest) = text.rsplit_once('\n').unwrap_or(("", &text));
    for line in complete.split('\n') {
        if line.is_empty() && !event.is_empty() {
            events.push(std::mem::take(&mut event));
        } else if !line.is_empty() && !line.starts_with(':') {
            event.push(line.to_owned());
        }
    }
    let is_in_event = !event.is_empty() || !rest.is_empty() && !rest.starts_with(':');
    (events, is_in_event)
}

#[derive(Clone, Debug)]
pub enum Transition {
    Run(TargetRun),
    /// The instance may not ask another target.
    Refuse,
}

fn ids() -> impl Strategy<Value = Vec<WrittenId>> {
    let numbers = |ids: Vec<u64>| ids.into_iter().map(WrittenId::Number).collect::<Vec<_>>();
    let strides = (prop::sample::select(vec![1_u64, 8]), prop::bool::weighted(0.1), 1_u64..8);
    let even = strides.prop_map(move |(stride, is_huge, count)| {
        let first = if is_huge { u64::MAX - stride * (count - 1) } else { stride };
        numbers((0..count).map(|index| first + stride * index).collect())
    });
    let steps = prop::collection::vec(prop_oneof![Just(1_u64), 2..9_u64], 1..8);
    let uneven = steps.prop_map(move |steps| {
        let sum = |id: &mut u64, step: u64| {
            *id += step;
            Some(*id)
        };
        numbers(steps.into_iter().scan(0, sum).collect())
    });
    let unknown = vec![
        WrittenId::Missing,
        WrittenId::Text("a"),
        WrittenId::Text("-2"),
        WrittenId::Text("18446744073709551616"),
    ];
    let unknown = (0_usize..9, prop::sample::select(unknown));
    let with_unknown = (even.clone(), prop::collection::vec(unknown, 1..3));
    let with_unknown = with_unknown.prop_map(|(mut ids, unknown)| {
        unknown.into_iter().for_each(|(index, id)| ids.insert(index % (ids.len() + 1), id));
        ids
    });
    prop_oneof![4 => even, 2 => uneven, 1 => with_unknown]
}

fn runs() -> impl Strategy<Value = TargetRun> {
    let distance = || prop_oneof![2 => -3..0_isize, 1 => 1..4_isize];
    let start = prop_oneof![
        5 => Just(RunStart::Asked(0)),
        2 => Just(RunStart::First),
        2 => distance().prop_map(RunStart::Asked),
    ];
    let length = prop_oneof![2 => Just(usize::MAX), 3 => 0..5_usize];
    let jump = prop_oneof![distance().prop_map(RunJump::By), Just(RunJump::ToAsked)];
    let jump = prop::option::weighted(0.25, (1..4_usize, jump));
    let ends = vec![None, Some(RunEnd::Marked), Some(RunEnd::Unmarked)];
    let unsent = prop_oneof![3 => Just(0), 1 => 1..30_usize];
    let cuts = prop::collection::vec(any::<usize>(), 0..4);
    let content = (start, prop::bool::weighted(0.2), length, jump);
    let form = (prop::sample::select(ends), unsent, cuts);
    let line_end = prop::sample::select(vec!["\n", "\r\n", "\r"]);
    let rest = (line_end, prop::bool::weighted(0.3), prop::option::weighted(0.1, 0..120_usize));
    (content, form, rest).prop_map(|(content, form, rest)| {
        let (start, is_foreign, length, jump) = content;
        let (end, unsent, cuts) = form;
        let (line_end, has_comments, death) = rest;
        TargetRun {
            start,
            is_foreign,
            length,
            jump,
            end,
            unsent,
            cuts,
            line_end,
            has_comments,
            death,
        }
    })
}

impl ReferenceStateMachine for WholeStream {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        let large = prop::option::weighted(0.3, 0..8_usize);
        (ids(), 0..4_usize, prop::bool::weighted(0.8), large)
            .prop_map(|(ids, shared, is_resumable, large)| Self {
                large: large.filter(|_| !is_resumable).map(|large| large % ids.len()),
                ids,
                shared,
                is_resumable,
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        prop_oneof![12 => runs().prop_map(Transition::Run), 1 => Just(Transition::Refuse)].boxed()
    }

    fn apply(stream: Self, _: &Transition) -> Self {
        stream
    }
}
