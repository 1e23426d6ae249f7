//! Drives the callers of a scenario.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::caller::{CallEnd, HttpCaller};
use crate::oracle::{CallKind, CallRecord};
use crate::random::SeededDraw;
use crate::scenario::{AccountLoad, CallerSpread};
use crate::tracker::RunTracker;

/// Pause of a caller after a refusal or a broken connection, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;

/// What every caller task of a run shares.
#[derive(Clone)]
pub(crate) struct DriverState {
    pub(crate) caller: HttpCaller,
    pub(crate) routers: Rc<Vec<SocketAddr>>,
    pub(crate) tracker: Rc<RefCell<RunTracker>>,
    pub(crate) records: Rc<RefCell<Vec<CallRecord>>>,
    pub(crate) stopped: Rc<Cell<bool>>,
    pub(crate) seed: u64,
}

/// One caller's place in the scenario.
#[derive(Clone, Debug)]
pub(crate) struct CallerPlace {
    pub(crate) account: usize,
    pub(crate) name: String,
    pub(crate) number: usize,
}

impl CallerPlace {
    /// The router of the caller's `turn`-th request.
    fn router(&self, spread: CallerSpread, routers: &[SocketAddr], turn: usize) -> SocketAddr {
        /// Accounts that use every router even when the spread is uneven.
        const EVERYWHERE: usize = 3;
        let index = match spread {
            CallerSpread::Even => self.number + turn,
            CallerSpread::Uneven if self.account < EVERYWHERE => self.number + turn,
            CallerSpread::Uneven if self.account.is_multiple_of(2) => 0,
            CallerSpread::Uneven => self.account,
        };
        routers[index % routers.len()]
    }
}

/// Streams one answer after another until the run stops.
pub(crate) async fn drive_streams(
    state: DriverState,
    place: CallerPlace,
    load: AccountLoad,
    spread: CallerSpread,
    service: &'static str,
) {
    let mut draw = SeededDraw::new(state.seed, &format!("{}/{}", place.name, place.number));
    let pause_ms = load.pause_ms as f64;
    tokio::time::sleep(Duration::from_millis((draw.unit() * pause_ms) as u64)).await;
    let mut turn = 0;
    // After a failure the caller goes on at another router.
    let mut moved = 0;
    while !state.stopped.get() {
        let tokens = draw.length(load.mean_tokens, load.most_tokens);
        let nonce = format!("{}-{}-{turn}", place.name, place.number);
        let router = place.router(spread, &state.routers, turn + moved);
        let router =
            if moved == 0 { router } else { state.routers[(turn + moved) % state.routers.len()] };
        let end = stream_once(&state, &place, service, router, &nonce, tokens).await;
        let failed = end != CallEnd::Answered;
        state.records.borrow_mut().push(CallRecord { kind: CallKind::Stream, nonce, end });
        turn += 1;
        let pause_ms = load.pause_ms + if failed { RETRY_PAUSE_MS } else { 0 };
        moved = if failed { moved + 1 } else { 0 };
        if pause_ms > 0 {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}

async fn stream_once(
    state: &DriverState,
    place: &CallerPlace,
    service: &str,
    router: SocketAddr,
    nonce: &str,
    tokens: u64,
) -> CallEnd {
    let start = Instant::now();
    let account = place.account;
    state.tracker.borrow_mut().accounts[account].waiting += 1;
    let mut began = false;
    let result = state
        .caller
        .stream(router, &place.name, service, nonce, tokens, || {
            let mut tracker = state.tracker.borrow_mut();
            if !std::mem::replace(&mut began, true) {
                tracker.count_first(account, start.elapsed());
            }
            tracker.accounts[account].tokens += 1;
        })
        .await;
    let mut tracker = state.tracker.borrow_mut();
    if !began {
        tracker.accounts[account].waiting -= 1;
    }
    if !state.stopped.get() {
        tracker.count_end(&result.end);
    }
    result.end
}

/// Makes plain calls of which a third must run at most once. After an
/// unknown or broken end the same key is tried once more at another router.
pub(crate) async fn drive_plain(
    state: DriverState,
    place: CallerPlace,
    service: &'static str,
    paths: (&'static str, &'static str),
) {
    let mut turn = 0;
    while !state.stopped.get() {
        let nonce = format!("plain-{}-{}-{turn}", place.name, place.number);
        let router = state.routers[(place.number + turn) % state.routers.len()];
        let other = state.routers[(place.number + turn + 1) % state.routers.len()];
        let once = turn % 3 == 0;
        let (path, kind) =
            if once { (paths.0, CallKind::Once) } else { (paths.1, CallKind::Repeatable) };
        turn += 1;
        let key = match once {
            true => match state.caller.issue_key(router, &place.name).await {
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
            |router| state.caller.call_plain(router, &place.name, service, path, &nonce, key);
        let mut end = call(router).await;
        let is_open = matches!(end, CallEnd::Broken(_) | CallEnd::Unknown { .. });
        if is_open && once {
            end = call(other).await;
        }
        if !state.stopped.get() {
            state.tracker.borrow_mut().count_end(&end);
        }
        let failed = end != CallEnd::Answered;
        state.records.borrow_mut().push(CallRecord { kind, nonce, end });
        if failed {
            tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
    }
}
