//! Callers that prefer one router and leave it only after a failed connection.

use std::collections::{BTreeMap, HashMap};

use base::Millis;

/// Callers of each account.
const CALLERS: u64 = 80;
/// Connections that a caller opens for one request.
const MAX_ATTEMPTS: u32 = 3;
/// Time that a caller allows for a connection to be established, and for its
/// request to be read, in milliseconds.
const PATIENCE_MS: Millis = 1_000;
/// Time that a caller avoids an address after a failure: three leases of the
/// address response, in milliseconds.
const AVOID_MS: Millis = 3_000;
/// Delay of a new attempt after a refusal, in milliseconds.
const RETRY_MS: Millis = 200;

/// One connection of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub account: usize,
    pub request_hash: u64,
    pub router: usize,
    /// Attempts of the same request, this one included.
    number: u32,
    /// The request was neither read nor given up.
    is_waiting: bool,
}

/// What is due at some time.
#[derive(Clone, Copy, Debug)]
pub enum CallerEvent {
    /// The caller opens a connection.
    Connect(usize),
    /// The caller gives up a request that was not read.
    GiveUp(usize),
}

/// Attempts of all callers.
#[derive(Debug, Default)]
pub struct CallerPool {
    attempts: Vec<Attempt>,
    due: BTreeMap<Millis, Vec<CallerEvent>>,
    /// Until when a caller of an account avoids a router.
    avoided: HashMap<(usize, u64, usize), Millis>,
}

impl CallerPool {
    /// Starts a request whose caller prefers the routers from `home` on, in order.
    pub fn start(&mut self, account: usize, request_hash: u64, home: usize, now: Millis) {
        let attempt = Attempt { account, request_hash, router: home, number: 1, is_waiting: true };
        self.push(attempt, now);
    }

    /// Takes the events that are due.
    pub fn take_due(&mut self, now: Millis) -> Vec<CallerEvent> {
        let later = self.due.split_off(&(now + 1));
        std::mem::replace(&mut self.due, later).into_values().flatten().collect()
    }

    /// Chooses the router of an attempt: the first one from `home` on that has not
    /// failed this caller.
    pub fn choose_router(&mut self, id: usize, home: usize, routers: usize, now: Millis) -> usize {
        let Attempt { account, request_hash, .. } = self.attempts[id];
        let caller = request_hash % CALLERS;
        let is_avoided = |router: &usize| {
            self.avoided.get(&(account, caller, *router)).is_some_and(|until| *until > now)
        };
        let mut order = (0..routers).map(|step| (home + step) % routers);
        let router = order.find(|router| !is_avoided(router)).unwrap_or(home);
        self.attempts[id].router = router;
        router
    }

    pub fn attempt(&self, id: usize) -> Attempt {
        self.attempts[id]
    }

    pub fn connected(&mut self, id: usize, now: Millis) {
        self.due.entry(now + PATIENCE_MS).or_default().push(CallerEvent::GiveUp(id));
    }

    /// Records that the connection was not established.
    pub fn not_connected(&mut self, id: usize, now: Millis) {
        self.avoid(id, now + PATIENCE_MS);
        self.retry(id, now + PATIENCE_MS);
    }

    /// Records that the connection was closed before the request was read.
    pub fn turned_away(&mut self, id: usize, now: Millis) {
        self.avoid(id, now);
        self.retry(id, now);
    }

    /// Records a refusal, which does not make its caller avoid the router.
    pub fn refused(&mut self, id: usize, now: Millis) {
        self.retry(id, now + RETRY_MS);
    }

    /// Ends the wait for an attempt to be read; returns false if it was over.
    pub fn stop_waiting(&mut self, id: usize) -> bool {
        std::mem::replace(&mut self.attempts[id].is_waiting, false)
    }

    fn avoid(&mut self, id: usize, now: Millis) {
        let Attempt { account, request_hash, router, .. } = self.attempts[id];
        self.avoided.insert((account, request_hash % CALLERS, router), now + AVOID_MS);
    }

    fn retry(&mut self, id: usize, at: Millis) {
        let last = self.attempts[id];
        if last.number < MAX_ATTEMPTS {
            self.push(Attempt { number: last.number + 1, is_waiting: true, ..last }, at);
        }
    }

    fn push(&mut self, attempt: Attempt, at: Millis) {
        self.due.entry(at).or_default().push(CallerEvent::Connect(self.attempts.len()));
        self.attempts.push(attempt);
    }
}
