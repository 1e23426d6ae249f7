//! Simulates many routers that share engines, with the real shares, load tracking
//! and selection, heartbeats at their real interval, and no network.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use admit::{AccountShares, ShareSettings};
use base::{Millis, Name, stable_hash};
use gateway::AdmissionSettings;
use target::{
    LoadTracker, OutstandingKey, PromptPart, RequestOutcome, RequestProfile, SelectionQuery,
    SelectionSettings, TargetEntry, TargetKey, TargetState, mean_fullness, select_target,
};

use crate::callers::{CallerEvent, CallerPool, account_order};
use crate::engine::{Engine, EngineEvent, EngineRequest};
use crate::front::{RouterFront, RouterLimits, TakenAttempt};

/// Duration of one step in milliseconds.
const STEP_MS: Millis = 10;
/// Time between two readiness checks of a router in milliseconds.
const READINESS_CHECK_MS: Millis = 1_000;
/// Heartbeat intervals after which a router that was not heard of is forgotten.
const PEER_MAX_AGE_BEATS: Millis = 5;
/// Memory of one engine in tokens.
const ENGINE_MEMORY: u64 = 444_000;
/// Subjects whose prompt parts are shared.
const SUBJECTS: u64 = 1_000;
const SHARED_TOKENS: u32 = 300;
const OWN_TOKENS: u32 = 1_600;
const OUTPUT_TOKENS: u32 = 200;
/// Cost of one request to its account, in tokens.
pub const REQUEST_COST: f64 = OWN_TOKENS as f64 + 2.0 * OUTPUT_TOKENS as f64;

/// Where the callers of an account connect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Callers {
    /// Evenly to all routers.
    Spread,
    /// All to one router, if it is ready.
    At(usize),
}

/// Demand of one account.
#[derive(Clone, Copy, Debug)]
pub struct AccountLoad {
    pub callers: Callers,
    /// Requests per second before [`FleetLoad::rises_at`].
    pub usual_per_s: f64,
    /// Requests per second from then on.
    pub per_s: f64,
}

/// Size and demand of a simulated fleet.
#[derive(Clone, Debug)]
pub struct FleetLoad {
    pub routers: usize,
    pub engines: usize,
    pub slots: usize,
    pub max_waiting: usize,
    /// Time in milliseconds that a request occupies a slot.
    pub hold_ms: Millis,
    pub heartbeat_ms: Millis,
    /// Targets that fit into a heartbeat; those with the most unread tokens are
    /// kept.
    pub listed_targets: usize,
    /// Requests that a router forwards in a second; it refuses further ones unread.
    pub forwarded_per_s: u32,
    /// Limits of each router, whose callers then retry and move; none to leave them out.
    pub limits: Option<RouterLimits>,
    pub accounts: Vec<AccountLoad>,
    /// When demand rises, in milliseconds.
    pub rises_at: Millis,
}

/// What one account got in one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondService {
    pub asked: u32,
    /// Requests that engines began to run.
    pub begun: u32,
    /// Refused within the account's share.
    pub refused_within: u32,
    /// Refused over the account's share.
    pub refused_over: u32,
    /// Refused unread, as the router is overloaded.
    pub refused_late: u32,
    /// Attempts whose connection was closed before the request was read.
    pub closed_unread: u32,
    /// Turned away by an engine whose queue was full.
    pub turned_away: u32,
    /// Sum over the requests begun of their time in the engine's queue, in
    /// milliseconds.
    pub queued_ms: Millis,
}

struct SimRouter {
    front: Option<RouterFront>,
    shares: AccountShares,
    loads: LoadTracker,
    /// A second, and the requests that were read in it.
    read: (u64, u32),
}

impl SimRouter {
    /// Reads a request, unless `max_per_s` were read in this second.
    fn read_request(&mut self, now: Millis, max_per_s: u32) -> bool {
        let second = now / 1_000;
        if self.read.0 != second {
            self.read = (second, 0);
        }
        self.read.1 += 1;
        self.read.1 <= max_per_s
    }
}

#[derive(Clone, Copy)]
struct SentRequest {
    account: usize,
    router: usize,
    target: TargetKey,
    outstanding: Option<OutstandingKey>,
    sent_at: Millis,
}

/// A simulated fleet.
pub struct Fleet {
    load: FleetLoad,
    routers: Vec<SimRouter>,
    entries: Vec<Arc<TargetEntry>>,
    engines: Vec<Engine>,
    sent: Vec<SentRequest>,
    arrivals: Vec<f64>,
    requests: u64,
    callers: CallerPool,
    /// Order of the routers by account.
    orders: Vec<Vec<usize>>,
    /// Whether each router passed its last readiness check.
    is_ready: Vec<bool>,
    /// The router that is suspended, from when and until when.
    freeze: Option<(usize, Millis, Millis)>,
    /// Routers that were not ready at the readiness checks, by second.
    pub not_ready: Vec<Vec<usize>>,
    /// Routers that were saturated at the end of a second, by second.
    pub saturated: Vec<Vec<usize>>,
    /// Service by account and second.
    pub service: Vec<Vec<SecondService>>,
}

impl Fleet {
    pub fn new(load: FleetLoad) -> Self {
        let capacity_per_s =
            (load.engines * load.slots) as f64 * 1_000.0 / load.hold_ms as f64 * REQUEST_COST;
        let routers = (0..load.routers).map(|_| {
            let mut shares = AccountShares::new(ShareSettings::default());
            shares.set_capacity(capacity_per_s);
            shares.set_peer_max_age(load.heartbeat_ms * PEER_MAX_AGE_BEATS);
            let front = load.limits.map(RouterFront::new);
            SimRouter { front, shares, loads: LoadTracker::default(), read: (0, 0) }
        });
        let entries = (0..load.engines).map(|index| Arc::new(engine_entry(index, load.slots)));
        let orders = load.accounts.iter().enumerate().map(|(account, load_of_account)| {
            let home = match load_of_account.callers {
                Callers::At(router) => router,
                Callers::Spread => 0,
            };
            account_order(account, home, load.routers)
        });
        let engines = (0..load.engines).map(|_| Engine::new(load.slots, load.max_waiting));
        Self {
            routers: routers.collect(),
            entries: entries.collect(),
            engines: engines.collect(),
            sent: Vec::new(),
            arrivals: vec![0.0; load.accounts.len()],
            requests: 0,
            callers: CallerPool::default(),
            orders: orders.collect(),
            is_ready: vec![true; load.routers],
            freeze: None,
            not_ready: Vec::new(),
            saturated: Vec::new(),
            service: vec![Vec::new(); load.accounts.len()],
            load,
        }
    }

    /// Suspends a router from `from` until `until`.
    pub fn freeze(&mut self, router: usize, from: Millis, until: Millis) {
        self.freeze = Some((router, from, until));
    }

    /// Runs the fleet for `seconds`.
    pub fn run(&mut self, seconds: u64) {
        for account in &mut self.service {
            account.resize(seconds as usize, SecondService::default());
        }
        self.not_ready.resize(seconds as usize, Vec::new());
        self.saturated.resize(seconds as usize, Vec::new());
        for now in (0..seconds * 1_000).step_by(STEP_MS as usize) {
            self.advance_engines(now);
            self.send_heartbeats(now);
            self.check_readiness(now);
            self.take_arrivals(now);
            self.handle_caller_events(now);
            self.run_fronts(now);
        }
    }

    /// Returns the requests of an account that engines began to run in the seconds
    /// `range`.
    pub fn begun(&self, account: usize, range: std::ops::Range<usize>) -> u32 {
        self.service[account][range].iter().map(|second| second.begun).sum()
    }

    /// Returns the requests of an account in the seconds `range`.
    pub fn asked(&self, account: usize, range: std::ops::Range<usize>) -> u32 {
        self.service[account][range].iter().map(|second| second.asked).sum()
    }

    /// Returns the routers that forwarded requests of an account.
    pub fn routers_used(&self, account: usize) -> BTreeSet<usize> {
        let sent = self.sent.iter().filter(|request| request.account == account);
        sent.map(|request| request.router).collect()
    }

    fn advance_engines(&mut self, now: Millis) {
        for engine in &mut self.engines {
            for event in engine.advance(now) {
                match event {
                    EngineEvent::Started { id, report } => {
                        let request = self.sent[id];
                        let service = &mut self.service[request.account][(now / 1_000) as usize];
                        service.begun += 1;
                        service.queued_ms += now - request.sent_at;
                        let loads = &mut self.routers[request.router].loads;
                        loads.record_report(request.target, report, now);
                        if let Some(outstanding) = request.outstanding {
                            loads.record_first_byte(request.target, outstanding, now);
                        }
                    }
                    EngineEvent::Ended { id } => {
                        let request = self.sent[id];
                        let loads = &mut self.routers[request.router].loads;
                        if let Some(outstanding) = request.outstanding {
                            let outcome = Some(RequestOutcome::Answered);
                            loads.finish_request(request.target, outstanding, outcome, now);
                        }
                        if let Some(front) = &mut self.routers[request.router].front {
                            front.receive_response();
                        }
                    }
                }
            }
        }
    }

    /// Sends the heartbeats of the routers that are due, each router at its own
    /// phase.
    fn send_heartbeats(&mut self, now: Millis) {
        let heartbeat_ms = self.load.heartbeat_ms;
        for sender in 0..self.load.routers {
            let phase = sender as Millis * heartbeat_ms / self.load.routers as Millis;
            if (now + phase) % heartbeat_ms < STEP_MS && !self.is_frozen(sender, now) {
                self.send_heartbeat(sender, now);
            }
        }
    }

    fn send_heartbeat(&mut self, sender: usize, now: Millis) {
        let router = &mut self.routers[sender];
        let demands: BTreeMap<_, _> = router.shares.own_demands(now).into_iter().collect();
        let mut loads = router.loads.own_loads();
        loads.sort_by_key(|(_, load)| std::cmp::Reverse(load.unread_tokens));
        loads.truncate(self.load.listed_targets);
        let totals = router.loads.own_totals();
        let max_age = self.load.heartbeat_ms * PEER_MAX_AGE_BEATS;
        let is_saturated = router.front.as_mut().is_some_and(|front| {
            front.policy.expire_others(max_age, now);
            front.policy.is_saturated()
        });
        let peer: Name = format!("router-{sender}").into();
        for (index, receiver) in self.routers.iter_mut().enumerate() {
            if index != sender {
                receiver.shares.update_peer(Name::clone(&peer), demands.clone(), now);
                receiver.loads.update_peer(&peer, &loads, now);
                receiver.loads.update_peer_totals(&peer, totals);
                if let Some(front) = &mut receiver.front {
                    front.policy.record_other(Name::clone(&peer), is_saturated, now);
                }
            }
        }
    }

    fn is_frozen(&self, router: usize, now: Millis) -> bool {
        self.freeze
            .is_some_and(|(frozen, from, until)| router == frozen && (from..until).contains(&now))
    }

    /// Checks the readiness of the routers that are due, each router at its own
    /// phase.
    fn check_readiness(&mut self, now: Millis) {
        let second = (now / 1_000) as usize;
        for (index, router) in self.routers.iter_mut().enumerate() {
            let Some(front) = &mut router.front else { continue };
            if let Some((frozen, from, until)) = self.freeze
                && index == frozen
                && from == now
            {
                front.freeze(until);
            }
            if now % 1_000 == 1_000 - STEP_MS && front.policy.is_saturated() {
                self.saturated[second].push(index);
            }
            let phase = index as Millis * READINESS_CHECK_MS / self.load.routers as Millis;
            if (now + phase) % READINESS_CHECK_MS >= STEP_MS {
                continue;
            }
            self.is_ready[index] = front.is_ready(now);
            if !self.is_ready[index] {
                self.not_ready[second].push(index);
            }
        }
    }

    fn take_arrivals(&mut self, now: Millis) {
        for account in 0..self.load.accounts.len() {
            let load = self.load.accounts[account];
            let per_s = if now < self.load.rises_at { load.usual_per_s } else { load.per_s };
            self.arrivals[account] += per_s * STEP_MS as f64 / 1_000.0;
            while self.arrivals[account] >= 1.0 {
                self.arrivals[account] -= 1.0;
                self.handle_request(account, now);
            }
        }
    }

    fn handle_request(&mut self, account: usize, now: Millis) {
        self.requests += 1;
        let request_hash = stable_hash(&["request", &self.requests.to_string()]);
        self.service[account][(now / 1_000) as usize].asked += 1;
        if self.load.limits.is_some() {
            self.callers.start(account, request_hash, now);
            return;
        }
        let router_index = match self.load.accounts[account].callers {
            Callers::At(router) => router,
            Callers::Spread => (request_hash % self.load.routers as u64) as usize,
        };
        self.forward_request(account, request_hash, router_index, now);
    }

    /// Returns the order of routers for a request: that of the account or, for spread
    /// callers, any.
    fn router_order(&self, account: usize, request_hash: u64) -> Vec<usize> {
        let routers = self.load.routers;
        match self.load.accounts[account].callers {
            Callers::At(_) => self.orders[account].clone(),
            Callers::Spread => {
                let first = (request_hash % routers as u64) as usize;
                (0..routers).map(|step| (first + step) % routers).collect()
            }
        }
    }

    /// Connects the callers whose attempts are due, and ends those that were not
    /// read in time.
    fn handle_caller_events(&mut self, now: Millis) {
        for event in self.callers.take_due(now) {
            match event {
                CallerEvent::Connect(id) => self.connect_caller(id, now),
                CallerEvent::GiveUp(id) => {
                    if self.callers.stop_waiting(id) {
                        self.callers.refused(id, now);
                    }
                }
            }
        }
    }

    fn connect_caller(&mut self, id: usize, now: Millis) {
        let attempt = self.callers.attempt(id);
        let order = self.router_order(attempt.account, attempt.request_hash);
        let router_index = self.callers.choose_router(id, &order, &self.is_ready, now);
        let front = self.routers[router_index].front.as_mut().expect("routers have limits");
        if front.connect(id) {
            self.callers.connected(id, now);
        } else {
            self.callers.not_connected(id, now);
        }
    }

    /// Accepts connections and reads requests, as far as the processors allow.
    fn run_fronts(&mut self, now: Millis) {
        for index in 0..self.load.routers {
            if let Some(front) = &mut self.routers[index].front {
                front.start_step(now, STEP_MS);
            }
            while let Some(attempt) = self.next_attempt(index, now) {
                let cost_us = self.handle_attempt(index, attempt, now);
                self.front(index).charge(cost_us);
            }
        }
    }

    fn front(&mut self, router: usize) -> &mut RouterFront {
        self.routers[router].front.as_mut().expect("routers have limits")
    }

    fn next_attempt(&mut self, router: usize, now: Millis) -> Option<TakenAttempt> {
        let (attempt, has_changed) = self.routers[router].front.as_mut()?.next_attempt(now);
        if has_changed {
            self.send_heartbeat(router, now);
        }
        attempt
    }

    /// Handles an accepted connection; returns its processor time in microseconds.
    fn handle_attempt(&mut self, router_index: usize, taken: TakenAttempt, now: Millis) -> u64 {
        let TakenAttempt { id, is_read } = taken;
        let front = self.front(router_index);
        let costs = front.costs();
        let is_late = front.overload_lateness(now).is_some();
        let was_waiting = self.callers.stop_waiting(id);
        if !is_read {
            self.front(router_index).close();
            if was_waiting {
                let account = self.callers.attempt(id).account;
                self.service[account][(now / 1_000) as usize].closed_unread += 1;
                self.callers.turned_away(id, now);
            }
            return costs.turn_away_us;
        }
        if !was_waiting {
            self.front(router_index).close();
            return costs.refuse_us;
        }
        let attempt = self.callers.attempt(id);
        if is_late {
            self.service[attempt.account][(now / 1_000) as usize].refused_late += 1;
        } else if self.forward_request(attempt.account, attempt.request_hash, router_index, now) {
            return costs.forward_us;
        }
        self.front(router_index).close();
        self.callers.refused(id, now);
        costs.refuse_us
    }

    /// Forwards a request that was read; returns false if it is refused.
    fn forward_request(
        &mut self,
        account: usize,
        request_hash: u64,
        router_index: usize,
        now: Millis,
    ) -> bool {
        let router = &mut self.routers[router_index];
        let service = &mut self.service[account][(now / 1_000) as usize];
        if !router.read_request(now, self.load.forwarded_per_s) {
            service.refused_late += 1;
            return false;
        }
        let name: Name = format!("account-{account}").into();
        let settings = SelectionSettings::default();
        if router.shares.is_level_due(now) {
            let entries = self.entries.iter();
            let memory = Some(ENGINE_MEMORY);
            let fullness = mean_fullness(&mut router.loads, entries, memory, &settings);
            router.shares.set_fullness(fullness);
        }
        let verdict = router.shares.admit_request(&name, REQUEST_COST, now);
        let profile = request_profile(request_hash);
        let query = SelectionQuery {
            profile: &profile,
            target_latency_ms: 400,
            engine_memory: Some(ENGINE_MEMORY),
            request_hash,
            tried: &[],
            failure_domain: "a",
        };
        let selection =
            select_target(&mut router.loads, self.entries.iter(), &query, &settings, now);
        let admission = AdmissionSettings::default();
        let Ok(selection) = selection else {
            if verdict.is_within {
                router.shares.refund(&name, REQUEST_COST);
                service.refused_within += 1;
            } else {
                service.refused_over += 1;
            }
            return false;
        };
        if !verdict.is_within && !admission.has_spare_capacity(&selection, 400) {
            service.refused_over += 1;
            return false;
        }
        let outstanding = router.loads.start_request(
            selection.key,
            &profile,
            selection.unread_tokens,
            selection.overhead_ms,
            now,
        );
        let id = self.sent.len();
        let request = SentRequest {
            account,
            router: router_index,
            target: selection.key,
            outstanding,
            sent_at: now,
        };
        self.sent.push(request);
        let index = self.entries.iter().position(|entry| entry.id == selection.entry.id);
        let engine = &mut self.engines[index.expect("the target is listed")];
        if !engine.accept(EngineRequest { id, hold_ms: self.load.hold_ms }) {
            service.turned_away += 1;
            router.loads.record_report(selection.key, engine.report(), now);
            if let Some(outstanding) = outstanding {
                router.loads.finish_request(selection.key, outstanding, None, now);
            }
            if verdict.is_within {
                router.shares.refund(&name, REQUEST_COST);
            }
            return false;
        }
        true
    }
}

fn engine_entry(index: usize, slots: usize) -> TargetEntry {
    TargetEntry {
        id: format!("engine-{index}").into(),
        incarnation: 1,
        service: "model".into(),
        address: std::net::SocketAddr::from(([10, 0, 0, 1], 8_000 + index as u16)),
        failure_domain: "a".into(),
        slots: slots as u32,
        state: TargetState::Serving,
        warm_up_ms: 0,
        software_version: "v1".into(),
    }
}

fn request_profile(request_hash: u64) -> RequestProfile {
    let subject = base::mix_hashes(request_hash, 1) % SUBJECTS;
    RequestProfile {
        prompt_tokens: SHARED_TOKENS + OWN_TOKENS,
        output_tokens: OUTPUT_TOKENS,
        parts: vec![
            PromptPart { id: subject, tokens: SHARED_TOKENS },
            PromptPart { id: request_hash, tokens: OWN_TOKENS },
        ],
    }
}
