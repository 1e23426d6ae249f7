//! Connections of callers on the thread that serves them. Idle ones are closed, the
//! longest idle first, before the router would have to accept no more.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::rc::Rc;

use base::{Millis, MonoClock};
use ntex::io::IoRef;
use tokio::time::Instant;

/// Fractions of the largest number of connections: from the first one on, idle ones are
/// closed until the second one is left.
const CLOSE_FROM: f64 = 0.875;
const CLOSE_DOWN_TO: f64 = 0.75;

/// Fraction of the room for heads that are not complete which is left once some were terminated.
const HEADS_DOWN_TO: f64 = 0.75;

/// Time in milliseconds for which a connection must be idle to be closed. The request of
/// a new one is on its way, or waits to be read.
const MIN_IDLE_MS: Millis = 250;
/// Lateness of the thread in milliseconds from which on no idle connection is closed, as
/// requests on them may have arrived and wait to be read.
const MAX_LATENESS_MS: Millis = 50;

/// A connection without a request in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum IdleState {
    Since(Millis),
    /// Closed by this router. A request that arrives nevertheless is not passed on.
    Closing,
}

/// Connections without a request in progress, and the deadlines of streams.
#[derive(Debug, Default)]
pub struct CallerConnections {
    idle: RefCell<HashMap<IoRef, IdleState>>,
    deadlines: RefCell<HashMap<IoRef, Instant>>,
}

/// A connection with a request in progress. It is idle again once this is dropped.
#[derive(Debug)]
pub struct BusyConnection {
    connections: Rc<CallerConnections>,
    io: IoRef,
    clock: MonoClock,
}

impl CallerConnections {
    /// Records a connection as idle since `now`.
    pub fn insert(&self, io: IoRef, now: Millis) {
        self.idle.borrow_mut().insert(io, IdleState::Since(now));
    }

    /// Forgets a connection that has ended.
    pub fn remove(&self, io: &IoRef) {
        self.idle.borrow_mut().remove(io);
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
        let mut idle = self.idle.borrow_mut();
        let closing = idle.values().filter(|state| **state == IdleState::Closing).count();
        let open = open.saturating_sub(closing);
        let close_from = (max as f64 * CLOSE_FROM) as usize;
        let close_down_to = (max as f64 * CLOSE_DOWN_TO) as usize;
        if open < close_from {
            return 0;
        }
        let mut oldest: Vec<(Millis, IoRef)> = Vec::new();
        for (io, state) in idle.iter() {
            // Bytes that were read may be a request, which has to be answered.
            if let IdleState::Since(since) = state
                && now >= since + MIN_IDLE_MS
                && io.with_read_buf(|bytes| bytes.is_empty())
            {
                oldest.push((*since, io.clone()));
            }
        }
        oldest.sort_by_key(|(since, _)| *since);
        oldest.truncate(open.saturating_sub(close_down_to));
        for (_, io) in &oldest {
            io.close();
            idle.insert(io.clone(), IdleState::Closing);
        }
        oldest.len()
    }

    /// Terminates the connections with the largest heads that are not complete, if all such heads
    /// take more than `room` bytes. Returns how many.
    pub fn terminate_largest_heads(&self, room: usize) -> usize {
        let mut idle = self.idle.borrow_mut();
        let mut heads: Vec<(usize, IoRef)> = Vec::new();
        let mut bytes = 0;
        for (io, state) in idle.iter() {
            let head_bytes = io.with_read_buf(|buffer| buffer.len());
            if head_bytes > 0 && *state != IdleState::Closing {
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
            idle.insert(io, IdleState::Closing);
        }
        terminated
    }

    /// Terminates the connections whose callers have not taken their stream by its
    /// deadline. Returns how many.
    pub fn terminate_overdue(&self, now: Instant) -> usize {
        let mut deadlines = self.deadlines.borrow_mut();
        let overdue: Vec<IoRef> = deadlines
            .iter()
            .filter(|(_, deadline)| **deadline < now)
            .map(|(io, _)| io.clone())
            .collect();
        for io in &overdue {
            deadlines.remove(io);
            io.terminate();
        }
        overdue.len()
    }
}

impl BusyConnection {
    /// Begins a request; `None` if this router has closed the connection.
    pub fn begin(
        connections: &Rc<CallerConnections>,
        io: &IoRef,
        clock: &MonoClock,
    ) -> Option<Self> {
        let mut idle = connections.idle.borrow_mut();
        if idle.get(io) == Some(&IdleState::Closing) {
            return None;
        }
        idle.remove(io);
        Some(Self { connections: Rc::clone(connections), io: io.clone(), clock: clock.clone() })
    }

    pub fn io(&self) -> &IoRef {
        &self.io
    }

    /// Bounds the time that the caller has to take what is sent to it.
    pub fn set_deadline(&self, deadline: Instant) {
        self.connections.deadlines.borrow_mut().insert(self.io.clone(), deadline);
    }

    /// Removes the bound, as the caller has taken what was sent to it.
    pub fn clear_deadline(&self) {
        self.connections.deadlines.borrow_mut().remove(&self.io);
    }
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        self.connections.deadlines.borrow_mut().remove(&self.io);
        if !self.io.is_closed() {
            self.connections.insert(self.io.clone(), self.clock.now());
        }
    }
}
