//! The processor of one router, and the connections whose requests it has not read.

use std::collections::VecDeque;

use admit::ThreadLateness;
use base::Millis;

/// Processor time of one router, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorCosts {
    /// Reading a request and forwarding it.
    pub forward_us: u64,
    /// Reading a request and refusing it.
    pub refuse_us: u64,
    /// Closing a connection whose request was not read.
    pub turn_away_us: u64,
}

/// Limits of one router.
#[derive(Clone, Copy, Debug)]
pub struct RouterLimits {
    pub costs: ProcessorCosts,
    /// Unread connections from which on no new one is established.
    pub max_unread: usize,
}

/// What the thread of a router does next.
#[derive(Clone, Copy, Debug)]
enum Work {
    Tick,
    /// Accepts the connection of an attempt.
    Accept(usize),
}

/// Queue of one router's thread.
#[derive(Debug)]
pub struct RouterFront {
    limits: RouterLimits,
    lateness: ThreadLateness,
    queue: VecDeque<Work>,
    unread: usize,
    next_tick_at: Option<Millis>,
    /// Processor time in microseconds that is left; negative if it was exceeded.
    budget_us: i64,
}

impl RouterFront {
    pub fn new(limits: RouterLimits) -> Self {
        Self {
            limits,
            lateness: ThreadLateness::default(),
            queue: VecDeque::new(),
            unread: 0,
            next_tick_at: Some(0),
            budget_us: 0,
        }
    }

    /// Establishes a connection; returns false if there is no room for it.
    pub fn connect(&mut self, attempt: usize) -> bool {
        if self.unread >= self.limits.max_unread {
            return false;
        }
        self.unread += 1;
        self.queue.push_back(Work::Accept(attempt));
        true
    }

    /// Adds the processor time of one step and queues the tick if it is due.
    pub fn start_step(&mut self, now: Millis, step_ms: Millis) {
        // Time that was not used is lost.
        self.budget_us = self.budget_us.min(0) + step_ms as i64 * 1_000;
        if self.next_tick_at.is_some_and(|at| at <= now) {
            self.next_tick_at = None;
            self.queue.push_back(Work::Tick);
        }
    }

    /// Returns the next attempt whose connection is accepted, while there is time.
    pub fn next_attempt(&mut self, now: Millis) -> Option<usize> {
        while self.budget_us > 0 {
            match self.queue.pop_front()? {
                Work::Tick => self.next_tick_at = Some(now + self.lateness.tick(now)),
                Work::Accept(attempt) => {
                    self.unread -= 1;
                    return Some(attempt);
                }
            }
        }
        None
    }

    /// Returns whether the request of a new connection is read, not turned away.
    /// The gateway reads all of them.
    pub fn reads_request(&self, _now: Millis) -> bool {
        true
    }

    /// Returns how late the router is if it refuses what it reads for this reason.
    pub fn overload_lateness(&self, now: Millis) -> Option<Millis> {
        self.lateness.overload_lateness(now)
    }

    pub fn charge(&mut self, cost_us: u64) {
        self.budget_us -= cost_us as i64;
    }

    pub fn costs(&self) -> ProcessorCosts {
        self.limits.costs
    }
}
