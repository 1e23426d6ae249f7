//! Evidence against one part.

use std::collections::VecDeque;

use base::Millis;

use crate::identity::is_request;
use crate::notice::TargetRun;

/// A crash of a target under a prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crash<'a> {
    /// The run of a target that ended.
    pub(crate) target: TargetRun,
    pub(crate) at: Millis,
    /// Parts of the prompt that are not known to be sound.
    pub(crate) parts: &'a [u64],
}

/// Largest number of crashes that are remembered of one part.
const MAX_CRASHES: usize = 16;

/// A crash as it counts against a suspect.
#[derive(Clone, Copy, Debug)]
struct SuspectCrash {
    run: TargetRun,
    at: Millis,
    /// Whether it counts; not known before all reports of what ended at the same time are here.
    is_counted: Option<bool>,
}

/// Crashes under prompts with one part, since its last complete response.
#[derive(Clone, Debug)]
pub(crate) struct SuspectPart {
    /// Whether it is the identity of a request.
    pub(crate) is_request: bool,
    /// The oldest first. Never holds two of one run within [`QuarantineSettings::group_ms`].
    crashes: VecDeque<SuspectCrash>,
    /// Parts that were in every prompt.
    pub(crate) companions: Vec<u64>,
}

impl SuspectPart {
    pub(crate) fn new(part: u64, crash: &Crash<'_>) -> Self {
        let companions = crash.parts.iter().copied().filter(|other| *other != part).collect();
        Self { is_request: is_request(part), crashes: VecDeque::new(), companions }
    }

    pub(crate) fn add(&mut self, crash: &Crash<'_>, group_ms: Millis) {
        self.companions.retain(|other| crash.parts.contains(other));
        let is_known = self
            .crashes
            .iter()
            .any(|known| known.run == crash.target && known.at.abs_diff(crash.at) < group_ms);
        if is_known {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        // A request that was retried crashes several targets in quick succession.
        let is_counted = self.is_request.then_some(true);
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, SuspectCrash { run: crash.target, at: crash.at, is_counted });
    }

    /// Counts the crashes up to `until`. Of targets that ended together for which `has_other_cause`
    /// holds, the first one counts.
    pub(crate) fn settle(
        &mut self,
        until: Millis,
        group_ms: Millis,
        has_other_cause: impl Fn(TargetRun, Millis) -> bool,
    ) {
        let mut last_at: Option<Millis> = None;
        for crash in self.crashes.iter_mut().take_while(|crash| crash.at <= until) {
            let is_apart = last_at.is_none_or(|last_at| crash.at >= last_at + group_ms);
            let is_counted = *crash
                .is_counted
                .get_or_insert_with(|| is_apart || !has_other_cause(crash.run, crash.at));
            if is_counted {
                last_at = Some(crash.at);
            }
        }
    }

    /// Returns the time of the first crash that is still to be counted.
    pub(crate) fn unsettled_at(&self) -> Option<Millis> {
        self.crashes.iter().find(|crash| crash.is_counted.is_none()).map(|crash| crash.at)
    }

    pub(crate) fn last_at(&self) -> Millis {
        self.crashes.back().map_or(0, |crash| crash.at)
    }

    /// Returns the number of crashes.
    pub(crate) fn crashes(&self) -> usize {
        self.counted().count()
    }

    fn counted(&self) -> impl Iterator<Item = TargetRun> {
        let counted = self.crashes.iter().filter(|crash| crash.is_counted == Some(true));
        counted.map(|crash| crash.run)
    }

    /// Returns the number of crashes that other parts do not explain.
    pub(crate) fn unexplained(&self, is_explained: impl Fn(TargetRun) -> bool) -> usize {
        self.counted().filter(|run| !is_explained(*run)).count()
    }

    /// Whether different targets crashed.
    pub(crate) fn has_several_targets(&self) -> bool {
        let first = self.counted().next();
        first.is_some_and(|first| self.counted().any(|run| !run.is_same_target(first)))
    }

    pub(crate) fn into_parts(self) -> (VecDeque<TargetRun>, Vec<u64>) {
        (self.crashes.iter().map(|crash| crash.run).collect(), self.companions)
    }
}
