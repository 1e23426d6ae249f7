//! Decides which suspect is to blame for the crashes.

use std::collections::{BTreeMap, VecDeque};

use base::Millis;

use crate::evidence::SuspectPart;
use crate::identity::PartKey;
use crate::notice::{CrashReport, TargetRun};
use crate::settings::QuarantineSettings;

/// Number of other parts with nearly as much evidence, up to which the evidence is clear.
const MAX_RIVALS: usize = 2;
/// Maximum ends of targets that are remembered.
const MAX_ENDS: usize = 256;

/// The end of a run of a target, as one request saw it.
#[derive(Debug)]
struct RunEnd {
    run: TargetRun,
    at: Millis,
    parts: Vec<u64>,
}

/// Ends of targets shortly before a crash that is still to be judged, and since then.
#[derive(Debug, Default)]
pub(crate) struct RunEnds(VecDeque<RunEnd>);

impl RunEnds {
    /// Records a report of an end at `at`. Returns the time of the first report of the same end
    /// within `group_ms`: all its parts are judged at once.
    pub(crate) fn record(&mut self, report: &CrashReport, at: Millis, group_ms: Millis) -> Millis {
        let is_same = |end: &&RunEnd| end.run == report.target && end.at.abs_diff(at) < group_ms;
        let at = self.0.iter().find(is_same).map_or(at, |end| end.at);
        if self.0.len() >= MAX_ENDS {
            self.0.pop_front();
        }
        self.0.push_back(RunEnd { run: report.target, at, parts: report.parts.clone() });
        at
    }

    pub(crate) fn forget_before(&mut self, at: Millis) {
        self.0.retain(|end| end.at >= at);
    }

    /// Whether another target ended within `group_ms` of a crash at `at`, and no request with
    /// `part` was seen there: the targets have a common cause.
    pub(crate) fn has_other_cause(
        &self,
        part: u64,
        run: TargetRun,
        at: Millis,
        group_ms: Millis,
    ) -> bool {
        let near = || self.0.iter().filter(|end| end.at.abs_diff(at) < group_ms);
        let has_part = |other| near().any(|end| end.run == other && end.parts.contains(&part));
        near().any(|end| end.run != run && !has_part(end.run))
    }
}

/// A suspect to be held, with its crashes that nothing in quarantine explains.
pub(crate) struct Verdict {
    pub(crate) key: PartKey,
    pub(crate) crashes: usize,
}

/// Returns the suspect with the most evidence among those for which `is_candidate` holds, if the
/// evidence suffices. `is_explained` tells the crashes under what is in quarantine.
pub(crate) fn find_harmful(
    suspects: &BTreeMap<PartKey, SuspectPart>,
    settings: &QuarantineSettings,
    is_candidate: impl Fn(&PartKey) -> bool,
    is_explained: impl Fn(TargetRun) -> bool,
) -> Option<Verdict> {
    // A suspect with less is neither harmful nor a rival.
    let strong = suspects.iter().filter(|(_, s)| s.crashes() + 1 >= settings.min_crashes);
    let evidence: Vec<_> =
        strong.map(|(key, suspect)| (*key, suspect, suspect.unexplained(&is_explained))).collect();
    let mut found: Option<Verdict> = None;
    for (key, suspect, crashes) in &evidence {
        let is_weaker = found.as_ref().is_some_and(|found| found.crashes >= *crashes);
        if is_weaker || *crashes < settings.min_crashes || !is_candidate(key) {
            continue;
        }
        // A request that crashes targets leaves one suspect; targets that die for other reasons
        // leave the parts of whatever was begun there.
        let rivals = || {
            evidence.iter().filter(|(other, rival, _)| {
                other.part != key.part
                    && rival.is_request == suspect.is_request
                    && !suspect.companions.contains(&other.part)
            })
        };
        let has_equal = rivals().any(|(.., others)| others >= crashes);
        let near = rivals().filter(|(.., others)| others + 1 >= *crashes).count();
        let has_rivals = has_equal || (!suspect.is_request && near > MAX_RIVALS);
        // One target that ends again and again may have a fault of its own.
        let is_ambiguous = has_rivals || !suspect.has_several_targets();
        if !is_ambiguous || *crashes >= settings.min_ambiguous {
            found = Some(Verdict { key: *key, crashes: *crashes });
        }
    }
    found
}
