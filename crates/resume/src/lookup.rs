//! Collects the answers of the holders of a stream.

use base::Name;
use serde::{Deserialize, Serialize};

use crate::records::StreamOrigin;

/// What a router says of a stream that is taken up elsewhere.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HolderAnswer {
    Began(StreamOrigin),
    /// The router has no record of the stream and has seen a single version of its service.
    Sole {
        version: Name,
        /// Whether its view of the targets is current.
        is_fresh: bool,
    },
    Unknown,
    /// Like `Sole`, but the router has not seen the targets for as long as a stream may last:
    /// the stream may have begun at a version that was gone before that.
    Recent {
        version: Name,
    },
}

/// Result of a lookup.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LookupVerdict {
    Began(StreamOrigin),
    /// Nobody knows at which version the stream began.
    Unknown,
}

/// A lookup whose answers are awaited.
#[derive(Clone, Debug)]
pub struct StreamLookup {
    service: Name,
    /// Number of holders that were asked.
    asked: usize,
    own: HolderAnswer,
    answers: Vec<HolderAnswer>,
}

impl StreamLookup {
    /// Begins a lookup at `asked` holders; `own` is what this router would answer.
    pub fn new(service: Name, asked: usize, own: HolderAnswer) -> Self {
        Self { service, asked, own, answers: Vec::new() }
    }

    /// Records the answer of a holder; returns the verdict once there is one.
    pub fn record(&mut self, answer: HolderAnswer) -> Option<LookupVerdict> {
        if let HolderAnswer::Began(origin) = answer {
            return Some(LookupVerdict::Began(origin));
        }
        self.answers.push(answer);
        (self.answers.len() >= self.asked).then(|| self.conclude())
    }

    /// Returns the verdict when no further answers are awaited. If most holders have seen a
    /// single version for as long as a stream may last, and nobody has seen another one, the
    /// stream began there: had it begun at another one, it would have been recorded.
    pub fn conclude(&self) -> LookupVerdict {
        let all = || self.answers.iter().chain([&self.own]);
        let Some(version) = all().find_map(HolderAnswer::sole_version) else {
            return LookupVerdict::Unknown;
        };
        let is_fresh =
            |answer: &HolderAnswer| matches!(answer, HolderAnswer::Sole { is_fresh: true, .. });
        let witnesses = self.answers.iter().filter_map(HolderAnswer::sole_version).count();
        let is_most = self.asked == 0 || witnesses * 2 > self.asked;
        if is_most && all().all(|answer| answer.names(version)) && all().any(is_fresh) {
            let (service, version) = (Name::clone(&self.service), Name::clone(version));
            return LookupVerdict::Began(StreamOrigin { service, version });
        }
        LookupVerdict::Unknown
    }
}

impl HolderAnswer {
    /// Returns the version at which every stream of the service began.
    fn sole_version(&self) -> Option<&Name> {
        match self {
            Self::Sole { version, .. } => Some(version),
            Self::Began(_) | Self::Unknown | Self::Recent { .. } => None,
        }
    }

    /// Whether `version` is the only one that the router has seen.
    fn names(&self, version: &Name) -> bool {
        match self {
            Self::Sole { version: seen, .. } | Self::Recent { version: seen } => seen == version,
            Self::Began(_) | Self::Unknown => false,
        }
    }
}
