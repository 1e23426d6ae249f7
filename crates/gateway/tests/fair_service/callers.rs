//! Callers that prefer the first ready router of their account's order.

use std::collections::{BTreeMap, HashMap};

use base::{Millis, stable_hash};

/// Callers of each account.
const CALLERS: u64 = 80;
/// Connections that a caller opens for one request.
const MAX_ATTEMPTS: u32 = 3;
/// Time that a caller allows for a connection to be established, and for its
/// request to be read, in milliseconds.
const PATIENCE_MS: Millis = 1_000;
/// Time that a caller avoids an address after a connection that was not established:
/// three leases of the address response, in milliseconds.
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
    /// The caller keeps the router, as it was closed unread there.
    keeps_router: bool,
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
    /// Starts a request.
    pub fn start(&mut self, account: usize, request_hash: u64, now: Millis) {
        let attempt = Attempt {
            account,
            request_hash,
            router: 0,
            number: 1,
            is_waiting: true,
            keeps_router: false,
        };
        self.push(attempt, now);
    }

    /// Takes the events that are due.
    pub fn take_due(&mut self, now: Millis) -> Vec<CallerEvent> {
        let later = self.due.split_off(&(now + 1));
        std::mem::replace(&mut self.due, later).into_values().flatten().collect()
    }

    /// Chooses the router of an attempt: the first one of `order` that is ready and
    /// has not failed this caller.
    pub fn choose_router(
        &mut self,
        id: usize,
        order: &[usize],
        is_ready: &[bool],
        now: Millis,
    ) -> usize {
        let Attempt { account, request_hash, router, keeps_router, .. } = self.attempts[id];
        if keeps_router {
            return router;
        }
        let caller = request_hash % CALLERS;
        let is_usable = |router: &&usize| {
            let avoided = self.avoided.get(&(account, caller, **router));
            is_ready[**router] && avoided.is_none_or(|until| *until <= now)
        };
        let router = *order.iter().find(is_usable).unwrap_or(&order[0]);
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
        let Attempt { account, request_hash, router, .. } = self.attempts[id];
        let failed_at = now + PATIENCE_MS;
        self.avoided.insert((account, request_hash % CALLERS, router), failed_at + AVOID_MS);
        self.retry(id, false, failed_at);
    }

    /// Records that the connection was closed before the request was read. The
    /// caller opens another one to the same router at once.
    pub fn turned_away(&mut self, id: usize, now: Millis) {
        self.retry(id, true, now);
    }

    /// Records a refusal, which does not make its caller avoid the router.
    pub fn refused(&mut self, id: usize, now: Millis) {
        self.retry(id, false, now + RETRY_MS);
    }

    /// Ends the wait for an attempt to be read; returns false if it was over.
    pub fn stop_waiting(&mut self, id: usize) -> bool {
        std::mem::replace(&mut self.attempts[id].is_waiting, false)
    }

    fn retry(&mut self, id: usize, keeps_router: bool, at: Millis) {
        let last = self.attempts[id];
        if last.number < MAX_ATTEMPTS {
            let number = last.number + 1;
            self.push(Attempt { number, is_waiting: true, keeps_router, ..last }, at);
        }
    }

    fn push(&mut self, attempt: Attempt, at: Millis) {
        self.due.entry(at).or_default().push(CallerEvent::Connect(self.attempts.len()));
        self.attempts.push(attempt);
    }
}

/// Returns the order in which the callers of an account prefer the routers, which
/// is the same for all of them.
pub fn account_order(account: usize, home: usize, routers: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..routers).collect();
    let rank = |router: usize| stable_hash(&["order", &account.to_string(), &router.to_string()]);
    order.sort_by_key(|router| (*router != home, rank(*router)));
    order
}
