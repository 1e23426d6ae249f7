//! Connections of callers on the thread that serves them. Idle ones are closed, the
//! longest idle first, before the router would have to accept no more. An answer ends when its
//! bytes have been written to the socket.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::os::fd::RawFd;
use std::rc::Rc;
use std::time::Duration;

use base::{Millis, MonoClock, unacknowledged_bytes};
use ntex::io::IoRef;
use ntex::time::Seconds;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::answers::{AnswerEnd, HandedAnswer, unwritten_bytes};

/// Fractions of the largest number of connections: from the first one on, idle ones are
/// closed until the second one is left.
const CLOSE_FROM: f64 = 0.875;
const CLOSE_DOWN_TO: f64 = 0.75;

/// Fraction of the room for heads that are not complete which is left once some were terminated.
const HEADS_DOWN_TO: f64 = 0.75;

/// Time in milliseconds for which a connection must be idle to be closed. The request of
/// a new one is on its way, or waits to be read.
const MIN_IDLE_MS: Millis = 250;
/// Time that a caller has to take what has no deadline of its own, such as a refusal.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for which a connection that is being closed may write. What it writes has a
/// deadline, at which [`CallerConnections::terminate_overdue`] ends it.
pub const DISCONNECT_TIMEOUT: Seconds = Seconds(u16::MAX);
/// Time that a caller may take to send the head of its request; far below the time after which an
/// idle connection is closed.
pub const HEAD_TIMEOUT: Seconds = Seconds(5);

/// Lateness of the thread in milliseconds from which on no idle connection is closed, as
/// requests on them may have arrived and wait to be read.
const MAX_LATENESS_MS: Millis = 50;

/// Identifies a request on this thread.
type RequestNumber = u64;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionState {
    /// No request is in progress.
    Idle {
        since: Millis,
    },
    Busy(RequestNumber),
    /// The answer was handed over, and may not be written yet.
    Writing(RequestNumber),
    /// Closed by this router. A request that arrives nevertheless is not passed on.
    Closing,
}

/// A connection that is being served.
#[derive(Debug)]
struct ConnectionEntry {
    state: ConnectionState,
    /// Descriptor of its socket, if it has one. Invariant: valid until the connection is closed.
    descriptor: Option<RawFd>,
    /// Until when the caller has to take the answer to a request.
    deadline: Option<(RequestNumber, Instant)>,
    /// Until when the caller has to take bytes that have no deadline of a request.
    unread_deadline: Option<Instant>,
    /// Answers that may not be written yet, the oldest first.
    handed_over: Vec<HandedOver>,
}

/// An answer, with its connection until it ends.
#[derive(Debug)]
struct HandedOver {
    answer: Box<dyn HandedAnswer>,
    connection: BusyConnection,
}

impl HandedOver {
    /// To be called while no entry is borrowed.
    fn end(self, end: AnswerEnd) {
        self.answer.end(end);
        drop(self.connection);
    }
}

/// The connections that are being served, with the deadlines of their answers.
#[derive(Debug, Default)]
pub struct CallerConnections {
    entries: RefCell<HashMap<IoRef, ConnectionEntry>>,
    /// Connections with answers that were handed over since the last check. Invariant: each
    /// connection with an answer is in one of both lists, once.
    handed_over: RefCell<Vec<IoRef>>,
    /// Connections with answers that were not written at the last check.
    unwritten: RefCell<Vec<IoRef>>,
    answer_handed_over: Notify,
    last_request: Cell<RequestNumber>,
}

/// A connection with a request in progress. It is idle again, without a deadline, once this is
/// dropped. Invariant: no timer of its head runs meanwhile.
#[derive(Debug)]
pub struct BusyConnection {
    connections: Rc<CallerConnections>,
    io: IoRef,
    clock: MonoClock,
    request: RequestNumber,
}

impl CallerConnections {
    /// Records a connection as idle since `now`.
    pub fn insert(&self, io: IoRef, descriptor: Option<RawFd>, now: Millis) {
        let state = ConnectionState::Idle { since: now };
        let entry = ConnectionEntry {
            state,
            descriptor,
            deadline: None,
            unread_deadline: None,
            handed_over: Vec::new(),
        };
        self.entries.borrow_mut().insert(io, entry);
    }

    /// Forgets a connection that has ended, by a failure or not. What it has not written is lost.
    pub fn remove(&self, io: &IoRef, is_failed: bool) {
        let entry = self.entries.borrow_mut().remove(io);
        let is_written = !is_failed && unwritten_bytes(io) == 0;
        let end = if is_written { AnswerEnd::Written } else { AnswerEnd::Lost };
        for answer in entry.into_iter().flat_map(|entry| entry.handed_over) {
            answer.end(end);
        }
    }

    /// Closes the connections that have been idle longest if `open` connections are
    /// close to `max`, while the thread is late by `late_ms`. Returns how many.
    pub fn close_longest_idle(
        &self,
        open: usize,
        max: usize,
        late_ms: Millis,
        now: Millis,
    ) -> usize {
        if late_ms >= MAX_LATENESS_MS {
            return 0;
        }
        let mut entries = self.entries.borrow_mut();
        let closing =
            entries.values().filter(|entry| entry.state == ConnectionState::Closing).count();
        let open = open.saturating_sub(closing);
        let close_from = (max as f64 * CLOSE_FROM) as usize;
        let close_down_to = (max as f64 * CLOSE_DOWN_TO) as usize;
        if open < close_from {
            return 0;
        }
        let mut oldest: Vec<(Millis, IoRef)> = Vec::new();
        for (io, entry) in entries.iter() {
            // Bytes that were read may be a request, which has to be answered.
            if let ConnectionState::Idle { since } = entry.state
                && now >= since + MIN_IDLE_MS
                && io.with_read_buf(|bytes| bytes.is_empty())
            {
                oldest.push((since, io.clone()));
            }
        }
        oldest.sort_by_key(|(since, _)| *since);
        oldest.truncate(open.saturating_sub(close_down_to));
        for (_, io) in &oldest {
            io.close();
            if let Some(entry) = entries.get_mut(io) {
                entry.state = ConnectionState::Closing;
            }
        }
        oldest.len()
    }

    /// Terminates the connections with the largest heads that are not complete, if all such heads
    /// take more than `room` bytes. Returns how many.
    pub fn terminate_largest_heads(&self, room: usize) -> usize {
        let mut entries = self.entries.borrow_mut();
        let mut heads: Vec<(usize, IoRef)> = Vec::new();
        let mut bytes = 0;
        for (io, entry) in entries.iter() {
            if matches!(entry.state, ConnectionState::Busy(_) | ConnectionState::Closing) {
                continue;
            }
            let head_bytes = io.with_read_buf(|buffer| buffer.len());
            if head_bytes > 0 {
                bytes += head_bytes;
                heads.push((head_bytes, io.clone()));
            }
        }
        if bytes <= room {
            return 0;
        }
        heads.sort_by_key(|(head_bytes, _)| Reverse(*head_bytes));
        let leave = (room as f64 * HEADS_DOWN_TO) as usize;
        let mut terminated = 0;
        for (head_bytes, io) in heads {
            if bytes <= leave {
                break;
            }
            bytes -= head_bytes;
            terminated += 1;
            io.terminate();
            if let Some(entry) = entries.get_mut(&io) {
                entry.state = ConnectionState::Closing;
            }
        }
        terminated
    }

    /// Terminates the connections whose callers have not taken their answer by its
    /// deadline. Returns how many.
    pub fn terminate_overdue(&self, now: Instant) -> usize {
        self.terminate(|io, entry| {
            let has_deadline = entry.deadline.is_some() || entry.unread_deadline.is_some();
            let is_busy = matches!(entry.state, ConnectionState::Busy(_));
            if unwritten_bytes(io) == 0 || is_busy {
                entry.unread_deadline = None;
            } else if !has_deadline {
                entry.unread_deadline = Some(now + UNREAD_TIMEOUT);
            }
            let is_unread = entry.unread_deadline.is_some_and(|deadline| deadline < now);
            let deadline = entry.deadline.take_if(|(_, deadline)| *deadline < now);
            deadline.is_some() || is_unread
        })
    }

    /// Terminates the connections with a request in progress or an answer that is not written.
    /// Returns how many.
    pub fn terminate_unfinished(&self) -> usize {
        self.terminate(|_, entry| {
            // A refused request that follows an answer leaves its connection idle.
            let is_waiting =
                matches!(entry.state, ConnectionState::Idle { .. } | ConnectionState::Closing);
            !is_waiting || !entry.handed_over.is_empty()
        })
    }

    fn terminate(&self, mut is_due: impl FnMut(&IoRef, &mut ConnectionEntry) -> bool) -> usize {
        let mut entries = self.entries.borrow_mut();
        let due =
            entries.iter_mut().filter_map(|(io, entry)| is_due(io, entry).then(|| io.clone()));
        let due: Vec<IoRef> = due.collect();
        drop(entries);
        for io in &due {
            io.terminate();
        }
        due.len()
    }

    /// Returns the number of connections with bytes that are not written, or with a request that
    /// is being read or answered, be it that only a part of its head has come.
    pub fn unfinished_connections(&self) -> usize {
        let entries = self.entries.borrow();
        let is_unfinished = |(io, entry): &(&IoRef, &ConnectionEntry)| {
            let has_request = match entry.state {
                ConnectionState::Busy(_) => true,
                ConnectionState::Idle { .. } | ConnectionState::Writing(_) => awaits_head(io),
                ConnectionState::Closing => false,
            };
            !io.is_closed() && (has_request || unwritten_bytes(io) > 0)
        };
        entries.iter().filter(is_unfinished).count()
    }

    /// Returns the bytes that were sent to a caller and that its system has not acknowledged; without
    /// those that only this system holds where it does not tell.
    pub fn untaken_bytes(&self, io: &IoRef) -> usize {
        let descriptor = self.entries.borrow().get(io).and_then(|entry| entry.descriptor);
        let descriptor = descriptor.filter(|_| !io.is_closed());
        unwritten_bytes(io) + descriptor.and_then(unacknowledged_bytes).unwrap_or_default()
    }

    /// Returns the number of connections that are being served.
    pub(crate) fn served_connections(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Returns the number of connections with bytes that are not written.
    pub fn unwritten_connections(&self) -> usize {
        let entries = self.entries.borrow();
        entries.keys().filter(|io| !io.is_closed() && unwritten_bytes(io) > 0).count()
    }

    /// Ends the answers that were handed over since the last call and have been written.
    pub(crate) fn settle_handed_over(&self) {
        let rest = self.settle(self.handed_over.take());
        self.unwritten.borrow_mut().extend(rest);
    }

    /// Ends the answers that were not written at an earlier check and have been written.
    pub(crate) fn settle_unwritten(&self) {
        let rest = self.settle(self.unwritten.take());
        self.unwritten.borrow_mut().extend(rest);
    }

    /// Ends the answers of connections that have written all. Returns the other connections.
    fn settle(&self, mut connections: Vec<IoRef>) -> Vec<IoRef> {
        let mut written = Vec::new();
        let mut entries = self.entries.borrow_mut();
        connections.retain(|io| {
            let Some(entry) = entries.get_mut(io) else { return false };
            // A write that fails takes its bytes from the buffer.
            if io.is_closed() || unwritten_bytes(io) > 0 {
                return true;
            }
            written.append(&mut entry.handed_over);
            false
        });
        drop(entries);
        for handed_over in written {
            handed_over.end(AnswerEnd::Written);
        }
        connections
    }

    /// Whether an answer was not written at the last check.
    pub(crate) fn has_unwritten(&self) -> bool {
        !self.unwritten.borrow().is_empty()
    }

    /// Waits until an answer is handed over.
    pub(crate) async fn answer_handed_over(&self) {
        self.answer_handed_over.notified().await;
    }

    fn with_entry<T>(
        &self,
        io: &IoRef,
        change: impl FnOnce(&mut ConnectionEntry) -> T,
    ) -> Option<T> {
        self.entries.borrow_mut().get_mut(io).map(change)
    }
}

/// Whether a connection without a request in progress has a part of a head, or has just been
/// opened. Lines of a head leave the buffer one by one, and the timer of the head tells that some
/// came. The timer of an idle connection is taken for it in its last seconds.
fn awaits_head(io: &IoRef) -> bool {
    let timer = io.timer_handle();
    let is_in_time = timer.is_set() && timer.remains() <= HEAD_TIMEOUT;
    is_in_time || io.with_read_buf(|bytes| !bytes.is_empty())
}

impl BusyConnection {
    /// Begins a request; `None` if this router has closed the connection.
    pub fn begin(
        connections: &Rc<CallerConnections>,
        io: &IoRef,
        clock: &MonoClock,
    ) -> Option<Self> {
        let request = connections.last_request.get() + 1;
        connections.last_request.set(request);
        let is_open = connections.with_entry(io, |entry| {
            let is_open = entry.state != ConnectionState::Closing;
            if is_open {
                entry.state = ConnectionState::Busy(request);
            }
            for handed_over in &mut entry.handed_over {
                handed_over.answer.release();
            }
            is_open
        });
        if !is_open.unwrap_or(true) {
            return None;
        }
        // The HTTP library leaves the timer of a head running, unless that came in one piece and was
        // not the first, and closes the connection after a response during which it runs out.
        io.stop_timer();
        Some(Self {
            connections: Rc::clone(connections),
            io: io.clone(),
            clock: clock.clone(),
            request,
        })
    }

    pub fn io(&self) -> &IoRef {
        &self.io
    }

    /// Bounds the time that the caller has to take what is sent to it.
    pub fn set_deadline(&self, deadline: Instant) {
        let deadline = Some((self.request, deadline));
        self.connections.with_entry(&self.io, |entry| entry.deadline = deadline);
    }

    /// Removes the bound, as the caller has taken what was sent to it.
    pub fn clear_deadline(&self) {
        self.connections.with_entry(&self.io, |entry| {
            entry.deadline.take_if(|(request, _)| *request == self.request);
        });
    }

    /// Ends the request, whose last part is being handed over to the connection, when its bytes
    /// have been written or the connection is gone, with `answer`.
    pub fn hand_over(self, answer: Box<dyn HandedAnswer>) {
        let (connections, io) = (Rc::clone(&self.connections), self.io.clone());
        let request = self.request;
        let mut handed_over = Some(HandedOver { answer, connection: self });
        let is_first = connections.with_entry(&io, |entry| {
            if entry.state == ConnectionState::Busy(request) {
                entry.state = ConnectionState::Writing(request);
            }
            entry.handed_over.extend(handed_over.take());
            entry.handed_over.len() == 1
        });
        if let Some(handed_over) = handed_over {
            handed_over.end(AnswerEnd::Lost);
        }
        if is_first == Some(true) {
            connections.handed_over.borrow_mut().push(io);
        }
        connections.answer_handed_over.notify_one();
    }
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        self.clear_deadline();
        let since = self.clock.now();
        self.connections.with_entry(&self.io, |entry| {
            let request = self.request;
            if [ConnectionState::Busy(request), ConnectionState::Writing(request)]
                .contains(&entry.state)
            {
                entry.state = ConnectionState::Idle { since };
            }
        });
    }
}
