//! Targets at which a request was tried, and whether it may be sent there again.

use base::Name;

/// How the last attempt of a request at a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptTrace {
    /// The target did not take the request: it was not written, or the target stated that it did
    /// not run.
    NotTaken,
    /// The request was sent, and its response failed or broke off. The next one may be whole.
    Failed,
    /// The response is not one to the request, or nothing proves that it is whole. A second one of
    /// the same target proves no more.
    Unproven,
}

impl AttemptTrace {
    /// Whether the target may get the request again if no other target can take it.
    pub fn allows_repeat(self) -> bool {
        self == Self::Failed
    }
}

/// A target at which a request was tried.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TriedTarget {
    id: Name,
    trace: AttemptTrace,
}

/// The targets at which one request was tried, in the order of their last attempts. Each target
/// is contained once.
#[derive(Clone, Debug, Default)]
pub struct TriedTargets {
    targets: Vec<TriedTarget>,
}

impl TriedTargets {
    /// Records the begin of an attempt, which counts as [`AttemptTrace::NotTaken`] until its end
    /// is recorded.
    pub fn record_begin(&mut self, id: &Name) {
        self.targets.retain(|target| target.id != *id);
        self.targets.push(TriedTarget { id: Name::clone(id), trace: AttemptTrace::NotTaken });
    }

    /// Records how the last attempt ended, as far as that is known.
    pub fn record_end(&mut self, trace: AttemptTrace) {
        if let Some(last) = self.targets.last_mut() {
            last.trace = trace;
        }
    }

    /// Returns the target of the last attempt.
    pub fn last(&self) -> Option<&Name> {
        self.targets.last().map(|target| &target.id)
    }

    pub fn as_slice(&self) -> &[TriedTarget] {
        &self.targets
    }

    pub fn contains(&self, id: &str) -> bool {
        find_trace(&self.targets, id).is_some()
    }

    /// Whether the target may get the request, at least as the last resort.
    pub fn allows(&self, id: &str) -> bool {
        find_trace(&self.targets, id).is_none_or(AttemptTrace::allows_repeat)
    }
}

/// Returns how the last attempt at a target ended; `None` if there was none.
pub(crate) fn find_trace(tried: &[TriedTarget], id: &str) -> Option<AttemptTrace> {
    tried.iter().find(|target| &*target.id == id).map(|target| target.trace)
}
