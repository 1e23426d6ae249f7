//! The one context that is passed down: settings, clock, and the state of each
//! area behind a lock of its own.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use admit::{AccountShares, RetryBudget, RetrySettings, ShareSettings};
use base::{Millis, MonoClock, Name, Origin};
use cadence::StatsdClient;
use mesh::{MemberSettings, MemberTable};
use route::{RouteTable, VersionGate};
use target::{LoadTracker, TargetRegistry};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::port::CallFormat;
use crate::sampling::LineSampler;
use crate::settings::GatewaySettings;

/// What this router knows from the configuration source.
#[derive(Debug, Default)]
pub(crate) struct SourceProgress {
    /// Revision up to which the view is complete; 0 before the first.
    pub(crate) revision: u64,
    /// When the source last answered this router itself.
    pub(crate) read_at: Option<Millis>,
}

/// Shared by every handler and task of the process. Locks are taken one at a
/// time and never held over an await.
#[derive(Debug)]
pub(crate) struct GatewayContext {
    pub(crate) settings: GatewaySettings,
    pub(crate) origin: Origin,
    pub(crate) clock: MonoClock,
    pub(crate) metrics: StatsdClient,
    pub(crate) format: Arc<dyn CallFormat>,
    versions: Mutex<VersionGate>,
    targets: Mutex<TargetRegistry>,
    loads: Mutex<LoadTracker>,
    shares: Mutex<AccountShares>,
    repeats: Mutex<RetryBudget>,
    members: Mutex<MemberTable>,
    source: Mutex<SourceProgress>,
    refusal_lines: Mutex<LineSampler>,
    /// Wakes the beats when there is something that peers should hear at once.
    pub(crate) beat_now: Notify,
    /// Cancelled when the process ends.
    pub(crate) stop: CancellationToken,
    is_draining: AtomicBool,
    /// Callers had time to go elsewhere; new requests are refused.
    is_closed: AtomicBool,
    open_calls: AtomicUsize,
    /// Routers that are live, this one included.
    routers: AtomicUsize,
}

/// Ports are the same on all routers, so the port for beats is the own one.
fn beat_addresses(seeds: &[SocketAddr], port: u16) -> Vec<SocketAddr> {
    seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

/// Whole milliseconds of a time in seconds.
pub(crate) fn millis(seconds: f64) -> Millis {
    (seconds * 1_000.0) as Millis
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic in one handler leaves counts that are off by one at most.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl GatewayContext {
    pub(crate) fn new(
        settings: GatewaySettings,
        format: Arc<dyn CallFormat>,
        metrics: StatsdClient,
    ) -> Arc<Self> {
        let origin = Origin::generate(Name::clone(&settings.instance));
        let bounds = settings.bounds;
        let share_settings = ShareSettings {
            window_ms: millis(bounds.share_window_s) / 2,
            headroom: settings.admission.headroom,
            ..ShareSettings::default()
        };
        let repeat_settings = RetrySettings {
            ratio: bounds.repeat_ratio,
            allowance: bounds.repeat_allowance,
            window_ms: millis(bounds.repeat_window_s),
            ..RetrySettings::default()
        };
        let beats = settings.listen.beats;
        let seeds = beat_addresses(&settings.seeds, beats.port());
        let members = MemberTable::new(origin.clone(), beats, &seeds, MemberSettings::default());
        Arc::new(Self {
            settings,
            origin,
            clock: MonoClock::start(),
            metrics,
            format,
            versions: Mutex::default(),
            targets: Mutex::default(),
            loads: Mutex::default(),
            shares: Mutex::new(AccountShares::new(share_settings)),
            repeats: Mutex::new(RetryBudget::new(repeat_settings)),
            members: Mutex::new(members),
            source: Mutex::default(),
            refusal_lines: Mutex::default(),
            beat_now: Notify::new(),
            stop: CancellationToken::new(),
            is_draining: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            open_calls: AtomicUsize::new(0),
            routers: AtomicUsize::new(1),
        })
    }

    /// Where the routers with these `peers` addresses take beats.
    pub(crate) fn beat_addresses(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        beat_addresses(seeds, self.settings.listen.beats.port())
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The configuration in force.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        lock(&self.versions).current()
    }

    pub(crate) fn versions(&self) -> MutexGuard<'_, VersionGate> {
        lock(&self.versions)
    }

    pub(crate) fn targets(&self) -> MutexGuard<'_, TargetRegistry> {
        lock(&self.targets)
    }

    pub(crate) fn loads(&self) -> MutexGuard<'_, LoadTracker> {
        lock(&self.loads)
    }

    pub(crate) fn shares(&self) -> MutexGuard<'_, AccountShares> {
        lock(&self.shares)
    }

    pub(crate) fn repeats(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.repeats)
    }

    pub(crate) fn members(&self) -> MutexGuard<'_, MemberTable> {
        lock(&self.members)
    }

    pub(crate) fn source(&self) -> MutexGuard<'_, SourceProgress> {
        lock(&self.source)
    }

    pub(crate) fn refusal_lines(&self) -> MutexGuard<'_, LineSampler> {
        lock(&self.refusal_lines)
    }

    pub(crate) fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.beat_now.notify_one();
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    pub(crate) fn set_routers(&self, routers: usize) {
        self.routers.store(routers, Ordering::Relaxed);
    }

    pub(crate) fn routers(&self) -> usize {
        self.routers.load(Ordering::Relaxed)
    }

    pub(crate) fn open_calls(&self) -> usize {
        self.open_calls.load(Ordering::Relaxed)
    }
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenCall(Arc<GatewayContext>);

impl OpenCall {
    pub(crate) fn new(context: &Arc<GatewayContext>) -> Self {
        context.open_calls.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(context))
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.open_calls.fetch_sub(1, Ordering::Relaxed);
    }
}
