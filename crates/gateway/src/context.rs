//! State shared by all parts of the process: settings, clock, and the state of
//! each area behind its own lock.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use admit::{
    AcceptPolicy, AcceptSettings, AccountShares, MemoryBudget, MemorySettings, RetryBudget,
    RetrySettings, ShareSettings, StopPlan, ThreadLateness,
};
use base::{Millis, MonoClock, Name, Origin, stable_hash};
use cadence::StatsdClient;
use mesh::{
    AnnouncedVersions, FetchQuota, HolderList, HolderSettings, MemberSettings, MemberTable,
    TransferPolicy, TransferSettings,
};
use quarantine::{PartQuarantine, QuarantineSettings};
use rate::{FleetView, RateLimiter, RateSettings};
use resume::{ResumePolicy, ResumeSettings};
use route::{EncodedTable, RouteTable, VersionGate};
use target::{
    BackoffSettings, FullnessSamples, LoadTracker, RegistrySettings, TargetBackoffs, TargetRegistry,
};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::beats::ALL_FETCHES;
use crate::call::RoutedCall;
use crate::cold::{ColdExchange, ColdState};
use crate::offers::OfferExchange;
use crate::open::OpenWork;
use crate::permits::PermitExchange;
use crate::platform::CallFormat;
use crate::sampling::LogSampler;
use crate::settings::GatewaySettings;
use crate::signals::SignalWatch;
use crate::stop;
use crate::streams::{OpenStreams, OriginExchange};

/// Progress in reading the configuration source.
#[derive(Debug, Default)]
pub(crate) struct SourceProgress {
    /// Revision up to which this router's view is complete; 0 before the first
    /// update. Peers are told it; what that promises stands at the coverage of
    /// [`target::TargetRegistry`], which is never behind it.
    pub(crate) revision: u64,
    /// When this router last read from the source itself; none while it does not
    /// read.
    pub(crate) read_at: Option<Millis>,
    /// When this router first heard of a newer revision from a peer, while it lacks it.
    pub(crate) behind_since: Option<Millis>,
    /// At this time the view of the targets was complete, as far as a response of the source to
    /// this router or to a peer shows.
    confirmed_at: Option<Millis>,
    /// A peer read the source at this time, up to this revision, which this router lacks.
    unconfirmed: Option<(u64, Millis)>,
    /// Versions of the configuration that peers have announced.
    pub(crate) announced: AnnouncedVersions,
}

impl SourceProgress {
    /// Records that a peer has the changes up to `revision`. Returns whether this router
    /// lacks some of them.
    pub(crate) fn record_peer_revision(&mut self, revision: u64, now: Millis) -> bool {
        let is_behind = revision > self.revision;
        if is_behind {
            self.behind_since.get_or_insert(now);
        }
        is_behind
    }

    /// Records that the source responded to this router, and that all changes are applied.
    pub(crate) fn record_read(&mut self, now: Millis) {
        self.read_at = Some(now);
        self.confirmed_at = Some(now);
    }

    /// Records that a peer has the changes up to `revision`, with which the source responded to
    /// it `read_age` milliseconds ago.
    pub(crate) fn record_peer_read(&mut self, revision: u64, read_age: Millis, now: Millis) {
        let read_at = now.saturating_sub(read_age);
        if revision <= self.revision {
            self.confirmed_at = self.confirmed_at.max(Some(read_at));
        } else if self.unconfirmed.is_none_or(|(known, _)| known < revision) {
            self.unconfirmed = Some((revision, read_at));
        }
    }

    /// Returns when the view of the targets was complete.
    pub(crate) fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Returns the time in milliseconds since the view of the targets was complete.
    pub(crate) fn view_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Records that every change up to `revision` is applied. Returns whether that advanced
    /// the view.
    pub(crate) fn advance(&mut self, revision: u64) -> bool {
        let has_advanced = revision > self.revision;
        if has_advanced {
            self.revision = revision;
            self.behind_since = None;
            if let Some((_, read_at)) = self.unconfirmed.take_if(|(known, _)| *known <= revision) {
                self.confirmed_at = self.confirmed_at.max(Some(read_at));
            }
        }
        has_advanced
    }
}

/// State shared by every handler and task of the process. Locks are taken one at a time and never
/// held across an await, but for those of `cold`, `versions` and `limits`: `cold` is taken first,
/// and kept while one of the others is held.
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
    fullness: Mutex<FullnessSamples>,
    shares: Mutex<AccountShares>,
    retries: Mutex<RetryBudget>,
    accept_policy: Mutex<AcceptPolicy>,
    /// Lateness of the thread that serves callers.
    lateness: Mutex<ThreadLateness>,
    memory: Mutex<MemoryBudget>,
    members: Mutex<MemberTable>,
    quarantine: Mutex<PartQuarantine>,
    limits: Mutex<RateLimiter>,
    cold: Mutex<ColdState>,
    pub(crate) cold_permits: ColdExchange,
    pub(crate) permits: PermitExchange,
    pub(crate) offers: OfferExchange,
    resumes: Mutex<ResumePolicy>,
    open_streams: Mutex<OpenStreams>,
    pub(crate) origins: OriginExchange,
    source: Mutex<SourceProgress>,
    holders: Mutex<HolderList>,
    /// Triggers a fetch when a peer has a newer configuration.
    pub(crate) holder_found: Notify,
    transfers: Mutex<TransferPolicy>,
    /// The configuration that peers asked for last.
    encoded_configuration: Mutex<EncodedTable<ntex::util::Bytes>>,
    /// Lateness of the thread that reads the source and exchanges heartbeats.
    control_lateness: Mutex<ThreadLateness>,
    refusal_log_sampler: Mutex<LogSampler>,
    /// Triggers a heartbeat when peers should be informed at once.
    pub(crate) heartbeat_now: Notify,
    /// Cancelled shortly before the process exits: requests without a response are answered.
    pub(crate) ending: CancellationToken,
    /// Cancelled when the process exits: what is open ends without an answer.
    pub(crate) exiting: CancellationToken,
    /// Cancelled when the process shuts down.
    pub(crate) shutdown: CancellationToken,
    pub(crate) signal_watch: SignalWatch,
    /// Set once the router stops.
    stop_plan: OnceLock<StopPlan>,
    /// Whether all new requests are refused, as the process exits. Set before the thread that
    /// serves callers is asked what is open: either a request is refused, or the process does not
    /// exit.
    is_closed: AtomicBool,
    pub(crate) open: OpenWork,
    /// Number of live routers, including this one.
    router_count: AtomicUsize,
    /// Peers to be asked for all they know, as this router has started.
    start_fetches: Mutex<FetchQuota>,
    /// Peers to be asked which failure domains are evacuated, as the source was restored.
    domain_fetches: Mutex<FetchQuota>,
}

/// Returns the heartbeat addresses of `seeds`. All routers use the same ports, so
/// `port` is this router's own.
fn heartbeat_addresses(seeds: &[SocketAddr], port: u16) -> Vec<SocketAddr> {
    seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

/// Converts seconds to whole milliseconds.
pub(crate) fn millis(seconds: f64) -> Millis {
    (seconds * 1_000.0) as Millis
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A handler that panics while it holds the lock leaves counts that are off
    // by one at most, so a poisoned lock is used as it is.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl GatewayContext {
    pub(crate) fn new(
        settings: GatewaySettings,
        format: Arc<dyn CallFormat>,
        metrics: StatsdClient,
        signal_watch: SignalWatch,
    ) -> Arc<Self> {
        let origin = Origin::generate(Name::clone(&settings.instance));
        let bounds = settings.bounds;
        let share_settings = ShareSettings {
            window_ms: millis(bounds.share_window_s) / 2,
            headroom: settings.admission.headroom,
            ..ShareSettings::default()
        };
        let retry_settings = RetrySettings {
            ratio: bounds.repeat_ratio,
            allowance: bounds.repeat_allowance,
            window_ms: millis(bounds.repeat_window_s),
            ..RetrySettings::default()
        };
        let accept_settings = AcceptSettings {
            max_connections: settings.resources.max_caller_connections(),
            ..AcceptSettings::default()
        };
        let memory_settings = MemorySettings {
            limit_bytes: settings.resources.held_bytes(),
            ..MemorySettings::default()
        };
        let heartbeat_address = settings.listen.beats;
        let seeds = heartbeat_addresses(&settings.seeds, heartbeat_address.port());
        let members =
            MemberTable::new(origin.clone(), heartbeat_address, &seeds, MemberSettings::default())
                .with_domain(Name::clone(&settings.failure_domain));
        let origin_hash = stable_hash(&[&origin.to_string()]);
        let quarantine = PartQuarantine::new(origin_hash, QuarantineSettings::default());
        let backoffs = TargetBackoffs::new(origin_hash, BackoffSettings::default());
        let targets = TargetRegistry::with_backoffs(RegistrySettings::default(), backoffs);
        let fleet = FleetView::new(&settings.instance, true, Vec::new(), members.known_count());
        let offers = OfferExchange::new(fleet.clone(), origin_hash);
        let limiter =
            RateLimiter::new(fleet, RateSettings::default()).with_cold_bounds(bounds.cold());
        let holders = HolderList::new(settings.listen.peers, HolderSettings::default());
        Arc::new(Self {
            settings,
            origin,
            clock: MonoClock::start(),
            metrics,
            format,
            versions: Mutex::default(),
            targets: Mutex::new(targets),
            loads: Mutex::default(),
            fullness: Mutex::default(),
            shares: Mutex::new(AccountShares::new(share_settings)),
            retries: Mutex::new(RetryBudget::new(retry_settings)),
            memory: Mutex::new(MemoryBudget::new(memory_settings)),
            lateness: Mutex::default(),
            accept_policy: Mutex::new(AcceptPolicy::new(accept_settings)),
            members: Mutex::new(members),
            quarantine: Mutex::new(quarantine),
            limits: Mutex::new(limiter),
            cold: Mutex::default(),
            cold_permits: ColdExchange::default(),
            permits: PermitExchange::default(),
            offers,
            resumes: Mutex::new(ResumePolicy::new(ResumeSettings::default())),
            open_streams: Mutex::default(),
            origins: OriginExchange::default(),
            source: Mutex::default(),
            holders: Mutex::new(holders),
            holder_found: Notify::new(),
            transfers: Mutex::new(TransferPolicy::new(TransferSettings::default())),
            encoded_configuration: Mutex::default(),
            control_lateness: Mutex::default(),
            refusal_log_sampler: Mutex::default(),
            heartbeat_now: Notify::new(),
            ending: CancellationToken::new(),
            exiting: CancellationToken::new(),
            shutdown: CancellationToken::new(),
            signal_watch,
            stop_plan: OnceLock::new(),
            is_closed: AtomicBool::new(false),
            open: OpenWork::default(),
            router_count: AtomicUsize::new(1),
            start_fetches: Mutex::new(FetchQuota::of_found(ALL_FETCHES)),
            domain_fetches: Mutex::new(FetchQuota::of_heard(0)),
        })
    }

    /// Returns the heartbeat addresses of the routers with these `peers` addresses.
    pub(crate) fn heartbeat_addresses(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        heartbeat_addresses(seeds, self.settings.listen.beats.port())
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the current configuration, if one is known.
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

    pub(crate) fn fullness(&self) -> MutexGuard<'_, FullnessSamples> {
        lock(&self.fullness)
    }

    pub(crate) fn shares(&self) -> MutexGuard<'_, AccountShares> {
        lock(&self.shares)
    }

    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retries)
    }

    pub(crate) fn accept_policy(&self) -> MutexGuard<'_, AcceptPolicy> {
        lock(&self.accept_policy)
    }

    pub(crate) fn lateness(&self) -> MutexGuard<'_, ThreadLateness> {
        lock(&self.lateness)
    }

    pub(crate) fn memory(&self) -> MutexGuard<'_, MemoryBudget> {
        lock(&self.memory)
    }

    pub(crate) fn members(&self) -> MutexGuard<'_, MemberTable> {
        lock(&self.members)
    }

    pub(crate) fn quarantine(&self) -> MutexGuard<'_, PartQuarantine> {
        lock(&self.quarantine)
    }

    pub(crate) fn limits(&self) -> MutexGuard<'_, RateLimiter> {
        lock(&self.limits)
    }

    pub(crate) fn cold(&self) -> MutexGuard<'_, ColdState> {
        lock(&self.cold)
    }

    pub(crate) fn resumes(&self) -> MutexGuard<'_, ResumePolicy> {
        lock(&self.resumes)
    }

    pub(crate) fn open_streams(&self) -> MutexGuard<'_, OpenStreams> {
        lock(&self.open_streams)
    }

    pub(crate) fn source(&self) -> MutexGuard<'_, SourceProgress> {
        lock(&self.source)
    }

    pub(crate) fn holders(&self) -> MutexGuard<'_, HolderList> {
        lock(&self.holders)
    }

    pub(crate) fn transfers(&self) -> MutexGuard<'_, TransferPolicy> {
        lock(&self.transfers)
    }

    pub(crate) fn encoded_configuration(&self) -> MutexGuard<'_, EncodedTable<ntex::util::Bytes>> {
        lock(&self.encoded_configuration)
    }

    pub(crate) fn control_lateness(&self) -> MutexGuard<'_, ThreadLateness> {
        lock(&self.control_lateness)
    }

    pub(crate) fn refusal_log_sampler(&self) -> MutexGuard<'_, LogSampler> {
        lock(&self.refusal_log_sampler)
    }

    /// Returns the plan by which this router stops, if the signal has come.
    pub(crate) fn stop_plan(&self) -> Option<StopPlan> {
        self.signal_watch.is_caught().then(|| self.start_stop())
    }

    /// Returns the plan by which this router stops. The first call makes it and informs peers at
    /// once.
    pub(crate) fn start_stop(&self) -> StopPlan {
        *self.stop_plan.get_or_init(|| {
            self.heartbeat_now.notify_one();
            stop::plan_stop(&self.settings, self.signal_watch.unsignalled_at())
        })
    }

    /// Whether the process exits, whatever is open.
    pub(crate) fn is_exiting(&self) -> bool {
        self.exiting.is_cancelled()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.stop_plan().is_some()
    }

    /// Whether a request is accepted by this router, which may be stopping.
    pub(crate) fn accepts(&self, call: &RoutedCall) -> bool {
        self.stop_plan().is_none_or(|plan| plan.accepts(call.expires_at))
    }

    /// Whether responses close their connections: the router drains, or it is saturated
    /// and its callers can use others.
    pub(crate) fn closes_connections(&self) -> bool {
        self.is_draining() || self.accept_policy().has_free_others()
    }

    /// Refuses all new requests from now on.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }

    pub(crate) fn set_router_count(&self, routers: usize) {
        self.router_count.store(routers, Ordering::Relaxed);
    }

    pub(crate) fn router_count(&self) -> usize {
        self.router_count.load(Ordering::Relaxed)
    }

    pub(crate) fn start_fetches(&self) -> MutexGuard<'_, FetchQuota> {
        lock(&self.start_fetches)
    }

    pub(crate) fn domain_fetches(&self) -> MutexGuard<'_, FetchQuota> {
        lock(&self.domain_fetches)
    }

    pub(crate) fn open_calls(&self) -> usize {
        self.open.calls()
    }

    pub(crate) fn open_connections(&self) -> usize {
        self.open.connections()
    }
}
