//! Selection of the document revision that is in force.

use base::Name;

/// Outcome of offering a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RevisionVerdict {
    /// The revision is in force from now on.
    Accepted,
    /// The revision is already in force.
    Known,
    /// The revision is older than the one in force and is rejected.
    Stale { in_force: u64 },
    /// The number is the one in force, but the content differs; the revision is
    /// rejected. `in_force` is the digest of the content in force.
    Conflict { in_force: Name },
    /// The acceptance check refused the document.
    Invalid { cause: String },
}

/// Decides which revision is in force.
///
/// Invariant: the revision number in force never decreases, and the content of
/// one number never changes.
#[derive(Clone, Debug, Default)]
pub struct RevisionGate {
    /// Number and content digest of the revision in force.
    in_force: Option<(u64, Name)>,
    /// Number, content digest and cause of the last refusal, kept so that a document
    /// offered again is not parsed again.
    refused: Option<(u64, Name, String)>,
}

impl RevisionGate {
    /// Returns the revision number in force; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |(revision, _)| *revision)
    }

    /// Returns the last refused revision and the cause, if it is above the
    /// revision in force.
    pub fn refusal(&self) -> Option<(u64, &str)> {
        let (revision, _, cause) = self.refused.as_ref()?;
        (*revision > self.revision()).then_some((*revision, cause.as_str()))
    }

    /// Puts an offered revision in force if it is newer and passes `check`,
    /// which runs only if the revision could be accepted. `digest` is that of the
    /// content.
    pub fn offer(
        &mut self,
        revision: u64,
        digest: &Name,
        check: impl FnOnce() -> Result<(), String>,
    ) -> RevisionVerdict {
        if let Some((in_force, known)) = &self.in_force {
            if revision < *in_force {
                return RevisionVerdict::Stale { in_force: *in_force };
            }
            if revision == *in_force && digest == known {
                return RevisionVerdict::Known;
            }
            if revision == *in_force {
                return RevisionVerdict::Conflict { in_force: Name::clone(known) };
            }
        }
        if let Some((refused, known, cause)) = &self.refused
            && *refused == revision
            && known == digest
        {
            return RevisionVerdict::Invalid { cause: cause.clone() };
        }
        if let Err(cause) = check() {
            self.refused = Some((revision, Name::clone(digest), cause.clone()));
            return RevisionVerdict::Invalid { cause };
        }
        self.in_force = Some((revision, Name::clone(digest)));
        RevisionVerdict::Accepted
    }
}
