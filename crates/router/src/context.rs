//! The context that all parts of the router share: settings, clock and state.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use admit::{AcceptPolicy, AcceptSettings, MemoryBudget, MemorySettings, ThreadLateness};
use base::{Millis, MonoClock, Name, Origin};
use cadence::StatsdClient;
use inbound::OpenCounter;
use share::ReportUrgency;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::core::RouterCore;
use crate::settings::RouterSettings;
use crate::threads::ThreadId;

/// Shared by every handler and task of the process.
#[derive(Debug)]
pub(crate) struct RouterContext {
    pub(crate) settings: RouterSettings,
    pub(crate) clock: MonoClock,
    pub(crate) origin: Origin,
    pub(crate) metrics: StatsdClient,
    /// Wakes the granting task when demand or grants have changed.
    pub(crate) demand_changed: Notify,
    /// Wakes the heartbeat task when there is news to propagate.
    pub(crate) heartbeat_due: Notify,
    /// Cancelled when the process shuts down.
    pub(crate) stop: CancellationToken,
    core: Mutex<RouterCore>,
    memory: Mutex<MemoryBudget>,
    accept_policy: Mutex<AcceptPolicy>,
    /// Lateness of the thread that serves callers.
    lateness: Mutex<ThreadLateness>,
    /// Connections of callers that are accepted and not closed.
    open_connections: AtomicUsize,
    pub(crate) open_counter: OpenCounter,
    next_request: AtomicU64,
    /// Bytes of control messages sent and received.
    pub(crate) control_bytes: AtomicU64,
    pub(crate) control_messages: AtomicU64,
    /// Threads that handle only control traffic.
    pub(crate) control_threads: Mutex<BTreeSet<ThreadId>>,
}

impl RouterContext {
    pub(crate) fn new(settings: RouterSettings, metrics: StatsdClient) -> Arc<Self> {
        let origin = Origin::generate(Name::clone(&settings.instance));
        let core = Mutex::new(RouterCore::new(origin.clone(), settings.share));
        let accept_settings = AcceptSettings {
            max_connections: settings.resources.max_caller_connections(),
            ..AcceptSettings::default()
        };
        let memory_settings = MemorySettings {
            limit_bytes: settings.resources.held_bytes(),
            ..MemorySettings::default()
        };
        Arc::new(Self {
            memory: Mutex::new(MemoryBudget::new(memory_settings)),
            accept_policy: Mutex::new(AcceptPolicy::new(accept_settings)),
            lateness: Mutex::default(),
            open_connections: AtomicUsize::new(0),
            open_counter: OpenCounter::default(),
            settings,
            clock: MonoClock::start(),
            origin,
            metrics,
            demand_changed: Notify::new(),
            heartbeat_due: Notify::new(),
            stop: CancellationToken::new(),
            core,
            next_request: AtomicU64::new(1),
            control_bytes: AtomicU64::new(0),
            control_messages: AtomicU64::new(0),
            control_threads: Mutex::default(),
        })
    }

    /// Locks the state. The guard must not be held across an await.
    pub(crate) fn core(&self) -> MutexGuard<'_, RouterCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn memory(&self) -> MutexGuard<'_, MemoryBudget> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn accept_policy(&self) -> MutexGuard<'_, AcceptPolicy> {
        self.accept_policy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn lateness(&self) -> MutexGuard<'_, ThreadLateness> {
        self.lateness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns a new request id that is unique in the whole fleet.
    pub(crate) fn next_request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number}", self.origin.instance, self.origin.incarnation)
    }

    /// Wakes the granting task if the grantor of the service must learn of a
    /// change at once. Other changes wait for the task's next pass.
    pub(crate) fn wake_granting(&self, service: &str) {
        let core = self.core();
        let state = core.services.get(service);
        let is_urgent = state.is_some_and(|state| state.demand.urgency() == ReportUrgency::Now);
        drop(core);
        if is_urgent {
            self.demand_changed.notify_one();
        }
    }

    /// Returns a number that differs between routers and changes over time.
    pub(crate) fn jitter_seed(&self) -> u64 {
        let now = self.now().to_string();
        base::stable_hash(&[&self.origin.instance, &now])
    }

    /// Marks the calling thread as one that handles only control traffic.
    pub(crate) fn mark_control_thread(&self) {
        let Some(id) = ThreadId::current() else { return };
        let mut threads = self.control_threads.lock().unwrap_or_else(PoisonError::into_inner);
        threads.insert(id);
    }

    /// Returns the CPU time of the control threads, in milliseconds; 0 on
    /// systems that do not report it.
    pub(crate) fn control_cpu_ms(&self) -> u64 {
        let threads = self.control_threads.lock().unwrap_or_else(PoisonError::into_inner);
        threads.iter().filter_map(ThreadId::cpu_ms).sum()
    }

    /// Counts a control message of `bytes` bytes, sent or received.
    pub(crate) fn count_control_message(&self, bytes: usize) {
        self.control_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.control_messages.fetch_add(1, Ordering::Relaxed);
    }
}

/// Counts a caller's connection as open until the guard is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection(Arc<RouterContext>);

impl OpenConnection {
    pub(crate) fn new(context: &Arc<RouterContext>) -> Self {
        context.open_connections.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(context))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
