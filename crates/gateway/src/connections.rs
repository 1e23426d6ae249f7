//! Connections of callers on the thread that serves them. Idle ones are closed, the
//! longest idle first, before the router would have to accept no more.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use base::{Millis, MonoClock};
use ntex::io::IoRef;

/// Part of the largest number of connections, in eighths, from which on idle ones are
/// closed, and down to which.
const CLOSE_IDLE_EIGHTHS: (usize, usize) = (7, 6);

/// Connections without a request in progress.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections(RefCell<HashMap<IoRef, Millis>>);

/// A connection with a request in progress. It is idle again once this is dropped.
pub(crate) struct BusyConnection {
    connections: Rc<IdleConnections>,
    io: IoRef,
    clock: MonoClock,
}

impl IdleConnections {
    /// Records a connection as idle since `now`.
    pub(crate) fn insert(&self, io: IoRef, now: Millis) {
        self.0.borrow_mut().insert(io, now);
    }

    /// Forgets a connection that was closed.
    pub(crate) fn remove(&self, io: &IoRef) {
        self.0.borrow_mut().remove(io);
    }

    /// Closes the connections that have been idle longest if `open` connections are
    /// close to `max`. Returns how many.
    pub(crate) fn close_longest_idle(&self, open: usize, max: usize) -> usize {
        let (from, down_to) = CLOSE_IDLE_EIGHTHS;
        if open < max * from / 8 {
            return 0;
        }
        let mut idle = self.0.borrow_mut();
        let mut oldest: Vec<(Millis, IoRef)> =
            idle.iter().map(|(io, since)| (*since, io.clone())).collect();
        oldest.sort_by_key(|(since, _)| *since);
        oldest.truncate(open - max * down_to / 8);
        for (_, io) in &oldest {
            io.close();
            idle.remove(io);
        }
        oldest.len()
    }
}

impl BusyConnection {
    pub(crate) fn new(connections: &Rc<IdleConnections>, io: &IoRef, clock: &MonoClock) -> Self {
        connections.remove(io);
        Self { connections: Rc::clone(connections), io: io.clone(), clock: clock.clone() }
    }

    pub(crate) fn io(&self) -> &IoRef {
        &self.io
    }
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        if !self.io.is_closed() {
            self.connections.insert(self.io.clone(), self.clock.now());
        }
    }
}
