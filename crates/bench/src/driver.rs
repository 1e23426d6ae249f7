//! Tasks that send the requests of the callers of a scenario.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::caller::{CallEnd, HttpCaller};
use crate::oracle::{CallKind, CallRecord};
use crate::random::SeededRng;
use crate::scenario::{AccountLoad, CallerSpread};
use crate::tracker::RunTracker;

/// Pause of a caller after a refusal or a broken connection, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;

/// State that all caller tasks of a run share.
#[derive(Clone)]
pub(crate) struct DriverState {
    pub(crate) caller: HttpCaller,
    pub(crate) routers: Rc<Vec<SocketAddr>>,
    pub(crate) tracker: Rc<RefCell<RunTracker>>,
    pub(crate) records: Rc<RefCell<Vec<CallRecord>>>,
    pub(crate) stopped: Rc<Cell<bool>>,
    pub(crate) seed: u64,
}

/// Identifies one caller of a scenario.
#[derive(Clone, Debug)]
pub(crate) struct CallerIdentity {
    /// Index of the account in the scenario.
    pub(crate) account: usize,
    /// Name of the account.
    pub(crate) name: String,
    /// Number of the caller within its account or service.
    pub(crate) number: usize,
}

impl CallerIdentity {
    /// Returns the router that the caller uses for its `turn`-th request.
    fn choose_router(
        &self,
        spread: CallerSpread,
        routers: &[SocketAddr],
        turn: usize,
    ) -> SocketAddr {
        /// Number of heavy accounts, which use every router even when the spread is
        /// uneven.
        const HEAVY_ACCOUNTS: usize = 3;
        let index = match spread {
            CallerSpread::Even => self.number + turn,
            CallerSpread::Uneven if self.account < HEAVY_ACCOUNTS => self.number + turn,
            CallerSpread::Uneven if self.account.is_multiple_of(2) => 0,
            CallerSpread::Uneven => self.account,
        };
        routers[index % routers.len()]
    }
}

/// Sends one streaming request after another until the run stops.
pub(crate) async fn drive_streams(
    state: DriverState,
    identity: CallerIdentity,
    load: AccountLoad,
    spread: CallerSpread,
    service: &'static str,
) {
    let mut rng = SeededRng::new(state.seed, &format!("{}/{}", identity.name, identity.number));
    let pause_ms = load.pause_ms as f64;
    tokio::time::sleep(Duration::from_millis((rng.uniform() * pause_ms) as u64)).await;
    let mut turn = 0;
    // After each failure the caller moves on to another router.
    let mut consecutive_failures = 0;
    while !state.stopped.get() {
        let tokens = rng.log_normal_length(load.mean_tokens, load.max_tokens);
        let nonce = format!("{}-{}-{turn}", identity.name, identity.number);
        let router = identity.choose_router(spread, &state.routers, turn + consecutive_failures);
        let router = if consecutive_failures == 0 {
            router
        } else {
            state.routers[(turn + consecutive_failures) % state.routers.len()]
        };
        let end = stream_once(&state, &identity, service, router, &nonce, tokens).await;
        let failed = end != CallEnd::Answered;
        state.records.borrow_mut().push(CallRecord { kind: CallKind::Stream, nonce, end });
        turn += 1;
        let pause_ms = load.pause_ms + if failed { RETRY_PAUSE_MS } else { 0 };
        consecutive_failures = if failed { consecutive_failures + 1 } else { 0 };
        if pause_ms > 0 {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}

async fn stream_once(
    state: &DriverState,
    identity: &CallerIdentity,
    service: &str,
    router: SocketAddr,
    nonce: &str,
    tokens: u64,
) -> CallEnd {
    let start = Instant::now();
    let account = identity.account;
    state.tracker.borrow_mut().accounts[account].waiting += 1;
    let mut has_started = false;
    let result = state
        .caller
        .stream(router, &identity.name, service, nonce, tokens, || {
            let mut tracker = state.tracker.borrow_mut();
            if !std::mem::replace(&mut has_started, true) {
                tracker.record_first_token(account, start.elapsed());
            }
            tracker.accounts[account].tokens += 1;
        })
        .await;
    let mut tracker = state.tracker.borrow_mut();
    if !has_started {
        tracker.accounts[account].waiting -= 1;
    }
    if !state.stopped.get() {
        tracker.record_end(&result.end);
    }
    result.end
}

/// Sends plain calls until the run stops; every third one must run at most once.
/// If the outcome of such a call is unknown or its connection broke, the call is
/// retried once at another router with the same key. `paths` holds an at-most-once
/// path and an idempotent one.
pub(crate) async fn drive_plain(
    state: DriverState,
    identity: CallerIdentity,
    service: &'static str,
    paths: (&'static str, &'static str),
) {
    let mut turn = 0;
    while !state.stopped.get() {
        let nonce = format!("plain-{}-{}-{turn}", identity.name, identity.number);
        let router = state.routers[(identity.number + turn) % state.routers.len()];
        let other_router = state.routers[(identity.number + turn + 1) % state.routers.len()];
        let is_at_most_once = turn % 3 == 0;
        let (path, kind) = if is_at_most_once {
            (paths.0, CallKind::AtMostOnce)
        } else {
            (paths.1, CallKind::Idempotent)
        };
        turn += 1;
        let key = match is_at_most_once {
            true => match state.caller.issue_key(router, &identity.name).await {
                Ok(key) => Some(key),
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                    continue;
                }
            },
            false => None,
        };
        let key = key.as_deref();
        let call =
            |router| state.caller.call_plain(router, &identity.name, service, path, &nonce, key);
        let mut end = call(router).await;
        let is_unresolved = matches!(end, CallEnd::Broken(_) | CallEnd::Unknown { .. });
        if is_unresolved && is_at_most_once {
            end = call(other_router).await;
        }
        if !state.stopped.get() {
            state.tracker.borrow_mut().record_end(&end);
        }
        let failed = end != CallEnd::Answered;
        state.records.borrow_mut().push(CallRecord { kind, nonce, end });
        if failed {
            tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
    }
}
