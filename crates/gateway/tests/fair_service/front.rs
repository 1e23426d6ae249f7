//! The processor of one router, the connections that it has not accepted, and those
//! whose requests it has not read.

use std::collections::VecDeque;

use admit::{AcceptPolicy, AcceptSettings, ThreadLateness};
use base::Millis;

/// Processor time of one router, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorCosts {
    /// Reading a request and forwarding it.
    pub forward_us: u64,
    /// Relaying the response to a request that was forwarded.
    pub relay_us: u64,
    /// Reading a request and refusing it.
    pub refuse_us: u64,
    /// Closing a connection whose request was not read.
    pub turn_away_us: u64,
}

/// What a router does with new connections while its [`AcceptPolicy`] takes none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WhenFull {
    /// They wait unaccepted, as at the gateway.
    Wait,
    /// They are closed before their request is read.
    TurnAway,
}

/// Limits of one router.
#[derive(Clone, Copy, Debug)]
pub struct RouterLimits {
    pub costs: ProcessorCosts,
    pub accept: AcceptSettings,
    pub when_full: WhenFull,
    /// Connections that wait unaccepted, from which on no new one is established.
    pub accept_queue: usize,
    /// Connections that were accepted and that the thread has not come to, from which
    /// on no further one is accepted.
    pub max_handed_over: usize,
}

/// What the thread of a router does next.
#[derive(Clone, Copy, Debug)]
enum Work {
    Tick,
    /// Takes the connections that were accepted.
    Take,
    /// Relays a response and closes the connection.
    Relay,
    /// Reads the request of an attempt.
    Read(usize),
    /// Closes the connection of an attempt.
    TurnAway(usize),
}

/// A connection that the thread has come to.
#[derive(Clone, Copy, Debug)]
pub struct TakenAttempt {
    pub id: usize,
    /// The request is read, not turned away.
    pub is_read: bool,
}

/// Queues of one router.
#[derive(Debug)]
pub struct RouterFront {
    limits: RouterLimits,
    lateness: ThreadLateness,
    pub policy: AcceptPolicy,
    /// Connections that are established and not accepted.
    waiting: VecDeque<usize>,
    /// Connections that were accepted and that the thread has not come to.
    handed_over: Vec<Work>,
    queue: VecDeque<Work>,
    /// Connections that were accepted and not closed.
    connections: usize,
    next_tick_at: Option<Millis>,
    frozen_until: Millis,
    /// Processor time in microseconds that is left; negative if it was exceeded.
    budget_us: i64,
}

impl RouterFront {
    pub fn new(limits: RouterLimits) -> Self {
        Self {
            limits,
            lateness: ThreadLateness::default(),
            policy: AcceptPolicy::new(limits.accept),
            waiting: VecDeque::new(),
            handed_over: Vec::new(),
            queue: VecDeque::new(),
            connections: 0,
            next_tick_at: Some(0),
            frozen_until: 0,
            budget_us: 0,
        }
    }

    /// Suspends the router until some time.
    pub fn freeze(&mut self, until: Millis) {
        self.frozen_until = until;
    }

    /// Returns whether a readiness check passes.
    pub fn is_ready(&self, now: Millis) -> bool {
        now >= self.frozen_until && !self.policy.sends_callers_away()
    }

    /// Establishes a connection; returns false if there is no room for it.
    pub fn connect(&mut self, attempt: usize) -> bool {
        if self.waiting.len() >= self.limits.accept_queue {
            return false;
        }
        self.waiting.push_back(attempt);
        true
    }

    /// Adds the processor time of one step and queues what is due.
    pub fn start_step(&mut self, now: Millis, step_ms: Millis) {
        if now < self.frozen_until {
            return;
        }
        // Time that was not used is lost.
        self.budget_us = self.budget_us.min(0) + step_ms as i64 * 1_000;
        if self.next_tick_at.is_some_and(|at| at <= now) {
            self.next_tick_at = None;
            self.queue.push_back(Work::Tick);
        }
        self.accept_waiting(now);
    }

    /// Accepts connections, as another thread does.
    fn accept_waiting(&mut self, now: Millis) {
        while self.handed_over.len() < self.limits.max_handed_over {
            let may_accept =
                self.policy.may_accept(self.connections, self.lateness.late_ms(now), 0);
            if !may_accept && self.limits.when_full == WhenFull::Wait {
                return;
            }
            let Some(attempt) = self.waiting.pop_front() else { return };
            self.connections += 1;
            if self.handed_over.is_empty() {
                self.queue.push_back(Work::Take);
            }
            self.handed_over.push(match may_accept {
                true => Work::Read(attempt),
                false => Work::TurnAway(attempt),
            });
        }
    }

    /// Returns the next attempt that the thread comes to, while there is time, and
    /// whether the router became saturated or recovered before.
    pub fn next_attempt(&mut self, now: Millis) -> (Option<TakenAttempt>, bool) {
        let mut has_changed = false;
        while self.budget_us > 0
            && let Some(work) = self.queue.pop_front()
        {
            match work {
                Work::Tick => {
                    self.next_tick_at = Some(now + self.lateness.tick(now));
                    let late_ms = self.lateness.late_ms(now);
                    has_changed |= self.policy.record(self.connections, late_ms, now);
                }
                Work::Take => {
                    self.queue.extend(self.handed_over.drain(..));
                    self.accept_waiting(now);
                }
                Work::Relay => {
                    self.charge(self.limits.costs.relay_us);
                    self.close();
                }
                Work::Read(id) => return (Some(TakenAttempt { id, is_read: true }), has_changed),
                Work::TurnAway(id) => {
                    return (Some(TakenAttempt { id, is_read: false }), has_changed);
                }
            }
        }
        (None, has_changed)
    }

    /// Records that the response to a request has come.
    pub fn receive_response(&mut self) {
        self.queue.push_back(Work::Relay);
    }

    /// Closes an accepted connection.
    pub fn close(&mut self) {
        self.connections -= 1;
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
