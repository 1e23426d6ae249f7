//! Decides whether an answer that has ended in order is whole.
//!
//! Nothing else takes the end of a connection for the end of an answer. Messages that prove their
//! own end need no decision: documents that would not decode, and streams whose last event names
//! itself as such.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

use crate::framing::BodyFraming;
use crate::probe::{ListenerState, SETTLE_TIME, probe_listener};

/// Lateness in milliseconds from which on a process that listens may be a later one than the one that
/// answered: less than targets take to start again.
const MAX_LATE_MS: u64 = 500;
/// Times for the attempts to connect to a target whose answer has ended. The first one covers a
/// round trip between failure domains, the others a packet that is lost and a thread that is late.
const PROBE_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(600), Duration::from_millis(600)];

/// What an answer is to consist of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerContent {
    /// Bytes that are passed on once all of them are there, or of which nothing is known.
    Opaque,
    /// Events, all of which are whole. A target that breaks off a run does so inside an event or by
    /// a reset, unless its process ends.
    Events,
    /// Bytes of which nothing is known, on a route for streams of events: they may end inside one.
    Stream,
}

/// An answer whose body has ended in order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerEnd {
    /// What marked the end of the body.
    pub framing: BodyFraming,
    pub content: AnswerContent,
    /// Address of the target.
    pub peer: SocketAddr,
    /// Whether the target is known to leave, so that it is expected to stop listening.
    pub is_leaving: bool,
    /// Whether the target ended the connection before it had the whole request, so that a reset may
    /// follow.
    pub has_cut_request: bool,
}

/// What is known of an answer whose body has ended in order. A body that ended otherwise, by a
/// reset or before its length or last chunk, was broken off.
///
/// | framing | content | listener | the answer |
/// | --- | --- | --- | --- |
/// | length, chunks | any | not probed | whole: its target marked the end |
/// | connection | stream | not probed | not proved |
/// | connection | opaque or events, while the request was being written | not probed | not proved: a process that closes with bytes unread resets the connection |
/// | connection | opaque or events | listening | whole: the process that closed the connection runs on, unless this process was so late that a target may have started again since |
/// | connection | opaque or events | refused | not proved: the process has ended, and the connections of a killed process end in order, too |
/// | connection | opaque or events | unknown | not proved |
///
/// A target that leaves ends in order at some time, perhaps right after its last answer, and the
/// connections that it refuses don't tell this from a crash. So its answer is not proved either: a
/// whole answer that counts as lost is repeated where that is allowed, and half of one that
/// is passed on can't be taken back. A stream of events has to end outside of an event besides,
/// in its order, whatever marks its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndEvidence {
    pub end: AnswerEnd,
    /// Whether a process listened at the target's address after the end; `None` if no attempt to
    /// connect was made, as the rest decides.
    pub listener: Option<ListenerState>,
    /// How late this process may have seen the end, in milliseconds.
    pub late_ms: u64,
}

impl EndEvidence {
    /// Collects the evidence on an answer that has just ended. Tries to connect to its target only
    /// where that decides, for up to 1,420 ms. `late_ms` returns by how many milliseconds the
    /// thread that reads answers is late.
    pub async fn collect(end: AnswerEnd, late_ms: impl Fn() -> u64) -> Self {
        let evidence = Self { end, listener: None, late_ms: late_ms() };
        if evidence.check() != Err(UnprovedEnd::Unknown) {
            return evidence;
        }
        let listener = Some(probe_repeatedly(end.peer).await);
        Self { listener, late_ms: evidence.late_ms.max(late_ms()), ..evidence }
    }

    /// Checks that the answer is whole.
    ///
    /// # Errors
    /// Returns an error if nothing proves it.
    pub fn check(&self) -> Result<(), UnprovedEnd> {
        match (self.end.framing, self.end.content) {
            (BodyFraming::Length | BodyFraming::Chunked, _) => return Ok(()),
            (BodyFraming::Connection, AnswerContent::Stream) => return Err(UnprovedEnd::Stream),
            (BodyFraming::Connection, _) if self.end.has_cut_request => {
                return Err(UnprovedEnd::Early);
            }
            (BodyFraming::Connection, AnswerContent::Opaque | AnswerContent::Events) => {}
        }
        match self.listener {
            Some(ListenerState::Refused) if self.end.is_leaving => Err(UnprovedEnd::Left),
            Some(ListenerState::Refused) => Err(UnprovedEnd::Ended),
            _ if self.late_ms >= MAX_LATE_MS => Err(UnprovedEnd::Late),
            Some(ListenerState::Listening) => Ok(()),
            Some(ListenerState::Unknown) | None => Err(UnprovedEnd::Unknown),
        }
    }
}

/// Why an answer that has ended in order counts as lost.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum UnprovedEnd {
    #[error("response without events on a route for streams has neither a length nor a last chunk")]
    Stream,
    #[error("response has no length, and its target ended it before it had the whole request")]
    Early,
    #[error("response has no length, and its target no longer listens")]
    Ended,
    #[error("response has no length, and its target, which leaves, no longer listens")]
    Left,
    #[error("response has no length, and its end was seen late or not checked in time")]
    Late,
    #[error("response has no length, and its target is not known to be running")]
    Unknown,
}

/// Returns whether a process listens at `peer`, `Unknown` if no attempt shows it.
async fn probe_repeatedly(peer: SocketAddr) -> ListenerState {
    tokio::time::sleep(SETTLE_TIME).await;
    for timeout in PROBE_TIMEOUTS {
        let deadline = Instant::now() + timeout;
        match probe_listener(peer, timeout).await {
            // For a lack of this machine's own an attempt fails at once.
            ListenerState::Unknown => tokio::time::sleep_until(deadline).await,
            state => return state,
        }
    }
    ListenerState::Unknown
}
