//! Why streams whose response had begun were broken off.

use std::collections::BTreeMap;
use std::error::Error as StdError;
use std::fmt;
use std::io::{self, ErrorKind};
use std::sync::Mutex;

use outbound::format_with_sources;
use sse::OrderError;
use thiserror::Error;

use crate::context::lock;
use crate::reader::RunFailure;
use crate::refusal::RefusalCause;
use crate::retry::RetryDenial;

/// How the run of a target ended before its stream did.
#[derive(Clone, Copy, Debug, Eq, Error, Ord, PartialEq, PartialOrd)]
pub(crate) enum RunLoss {
    #[error("target_reset")]
    Reset,
    /// The connection ended in order before the length or the last chunk.
    #[error("target_ended_early")]
    EndedEarly,
    /// The response was broken off in another way.
    #[error("target_failed")]
    Failed,
    #[error("end_in_event")]
    InEvent,
    /// The response ended in order, and nothing proves that it is whole.
    #[error("end_unmarked")]
    Unmarked,
    /// The run has no event after the last one that the caller has.
    #[error("run_empty")]
    Empty,
    #[error("out_of_order")]
    OutOfOrder,
}

/// Why no other target went on with a stream.
#[derive(Clone, Copy, Debug, Eq, Error, Ord, PartialEq, PartialOrd)]
pub(crate) enum ResumeDenial {
    /// The route does not allow it.
    #[error("route")]
    Route,
    /// The response is no stream of events.
    #[error("no_events")]
    NoEvents,
    /// No event is known after which a run could go on.
    #[error("no_place")]
    NoPlace,
    /// The stream ends as its target ended it, and the one target that was asked to confirm that did not.
    #[error("end_stands")]
    EndStands,
    #[error("attempts")]
    Attempts,
    #[error("quarantine")]
    Quarantine,
    /// The time of the request was over before it was sent again, or before a target responded.
    #[error("time")]
    Time,
    #[error("budget")]
    Budget,
    /// The next target responded with this status, or with 200 and no stream of events.
    #[error("status_{0}")]
    Status(u16),
    /// The request was not sent again, or its response was lost.
    #[error("{0:?}")]
    NotSent(RefusalCause),
}

impl From<RetryDenial> for ResumeDenial {
    fn from(denial: RetryDenial) -> Self {
        match denial {
            RetryDenial::Attempts => Self::Attempts,
            RetryDenial::Quarantine => Self::Quarantine,
            RetryDenial::Time => Self::Time,
            RetryDenial::Budget => Self::Budget,
        }
    }
}

/// Why a stream was broken off.
#[derive(Clone, Copy, Debug, Eq, Error, Ord, PartialEq, PartialOrd)]
#[error("{denial}: {loss}")]
pub(crate) struct BrokenReason {
    pub(crate) denial: ResumeDenial,
    pub(crate) loss: RunLoss,
}

impl BrokenReason {
    /// Returns the name of the counter of streams that are broken off for this reason.
    pub(crate) fn counter(&self) -> String {
        format!("broken.{}.{}", self.denial, self.loss)
    }
}

impl RunFailure {
    pub(crate) fn loss(&self) -> RunLoss {
        match self {
            Self::Lost(cause) => cause.loss,
            Self::Order(OrderError::InEvent) => RunLoss::InEvent,
            Self::Order(OrderError::NoEvent | OrderError::UnmarkedEnd) => RunLoss::Unmarked,
            Self::Order(OrderError::Empty { .. }) => RunLoss::Empty,
            Self::Order(_) => RunLoss::OutOfOrder,
            Self::Unproved(_) => RunLoss::Unmarked,
        }
    }
}

/// The body of a response that was broken off.
#[derive(Clone, Debug, Error)]
#[error("{cause}")]
pub(crate) struct BodyError {
    loss: RunLoss,
    cause: String,
}

impl BodyError {
    /// Returns the error of a body that this router does not read on.
    pub(crate) fn failed(cause: String) -> Self {
        Self { loss: RunLoss::Failed, cause }
    }
}

impl From<hyper::Error> for BodyError {
    fn from(error: hyper::Error) -> Self {
        let first: &dyn StdError = &error;
        let mut causes = std::iter::successors(Some(first), |&cause| cause.source());
        let kind = causes.find_map(|cause| cause.downcast_ref::<io::Error>()).map(io::Error::kind);
        let loss = match kind {
            Some(ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => RunLoss::Reset,
            Some(ErrorKind::UnexpectedEof) => RunLoss::EndedEarly,
            _ if error.is_incomplete_message() => RunLoss::EndedEarly,
            _ => RunLoss::Failed,
        };
        Self { loss, cause: format_with_sources(&error) }
    }
}

/// Streams that were broken off, by the reason.
#[derive(Debug, Default)]
pub(crate) struct BrokenCounts(Mutex<BTreeMap<BrokenReason, usize>>);

impl BrokenCounts {
    pub(crate) fn record(&self, reason: BrokenReason) {
        *lock(&self.0).entry(reason).or_default() += 1;
    }
}

/// Names the reasons with their counts, the most frequent first.
impl fmt::Display for BrokenCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut counts: Vec<_> = lock(&self.0).clone().into_iter().collect();
        counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        let counts: Vec<_> =
            counts.into_iter().map(|(reason, count)| format!("{count} {reason}")).collect();
        f.write_str(&counts.join(", "))
    }
}
