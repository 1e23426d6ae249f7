//! Requests and connections of callers that are open.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

use base::{Millis, Name};
use inbound::OpenCounter;
use slotmap::{SlotMap, new_key_type};

use crate::broken::BrokenCounts;
use crate::context::{GatewayContext, lock};
use crate::report::CallEnd;

new_key_type! {
    /// Identifies a request that has not been reported.
    struct ReportKey;
}

/// What is open in the process.
#[derive(Debug, Default)]
pub(crate) struct OpenWork {
    calls: AtomicUsize,
    /// Those of them that are refused and whose bodies are being discarded. Invariant: at most as
    /// many as `calls`.
    refused_calls: AtomicUsize,
    /// Requests that have not been reported, each with its start.
    reports: Mutex<SlotMap<ReportKey, (Name, Millis)>>,
    /// Connections of callers with bytes that are not written, as of the last check of a drain.
    unwritten: AtomicUsize,
    /// Connections of callers that are accepted and not closed.
    connections: AtomicUsize,
    /// Requests that ended since the signal to stop, by their end.
    stop_ends: Mutex<BTreeMap<CallEnd, usize>>,
    /// Those of them that were broken off.
    pub(crate) stop_broken: BrokenCounts,
    /// Set once the requests that the end of a drain finds open were named.
    pub(crate) end_log: OnceLock<()>,
    pub(crate) counter: OpenCounter,
}

impl OpenWork {
    pub(crate) fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }

    /// Returns how many requests are open that were accepted or are not decided on. To be called by
    /// the thread that serves callers, on which both counts change.
    pub(crate) fn unrefused_calls(&self) -> usize {
        self.calls() - self.refused_calls.load(Ordering::SeqCst)
    }

    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns how many requests have not been reported.
    pub(crate) fn unreported_calls(&self) -> usize {
        lock(&self.reports).len()
    }

    /// Returns the oldest request that has not been reported, with its start.
    pub(crate) fn oldest_call(&self) -> Option<(Name, Millis)> {
        lock(&self.reports).values().min_by_key(|(_, started_at)| *started_at).cloned()
    }

    /// Returns the oldest `limit` requests that have not been reported, each with its start.
    pub(crate) fn oldest_calls(&self, limit: usize) -> Vec<(Name, Millis)> {
        let mut calls: Vec<_> = lock(&self.reports).values().cloned().collect();
        calls.sort_by_key(|(_, started_at)| *started_at);
        calls.truncate(limit);
        calls
    }

    /// Records how a request ended after the signal to stop.
    pub(crate) fn record_stop_end(&self, end: CallEnd) {
        *lock(&self.stop_ends).entry(end).or_default() += 1;
    }

    /// Returns how many requests ended in this way after the signal to stop.
    pub(crate) fn stop_ends(&self, end: CallEnd) -> usize {
        lock(&self.stop_ends).get(&end).copied().unwrap_or_default()
    }

    pub(crate) fn unwritten_connections(&self) -> usize {
        self.unwritten.load(Ordering::Relaxed)
    }

    pub(crate) fn set_unwritten_connections(&self, count: usize) {
        self.unwritten.store(count, Ordering::Relaxed);
    }
}

/// Counts a request as open until the guard is dropped.
#[derive(Debug)]
pub(crate) struct OpenCall(Arc<GatewayContext>);

impl OpenCall {
    pub(crate) fn new(context: &Arc<GatewayContext>) -> Self {
        context.open.calls.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(context))
    }

    /// Counts the request as refused until the guard is dropped.
    pub(crate) fn refuse(&mut self) -> RefusedCall<'_> {
        self.0.open.refused_calls.fetch_add(1, Ordering::SeqCst);
        RefusedCall(self)
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.open.calls.fetch_sub(1, Ordering::SeqCst);
    }
}

/// An open request that is refused and not answered yet. It holds up no stop that is to close; the
/// exit waits for its connection. The borrow keeps it from being counted twice, or for longer than
/// the request is open.
#[derive(Debug)]
pub(crate) struct RefusedCall<'call>(&'call mut OpenCall);

impl Drop for RefusedCall<'_> {
    fn drop(&mut self) {
        let OpenCall(context) = &*self.0;
        context.open.refused_calls.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Lists a request as not reported until the guard is dropped.
#[derive(Debug)]
pub(crate) struct ReportEntry {
    context: Arc<GatewayContext>,
    key: ReportKey,
}

impl ReportEntry {
    pub(crate) fn new(context: &Arc<GatewayContext>, request: Name, started_at: Millis) -> Self {
        let key = lock(&context.open.reports).insert((request, started_at));
        Self { context: Arc::clone(context), key }
    }
}

impl Drop for ReportEntry {
    fn drop(&mut self) {
        lock(&self.context.open.reports).remove(self.key);
    }
}

/// Counts a caller's connection as open until the guard is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection(Arc<GatewayContext>);

impl OpenConnection {
    pub(crate) fn new(context: &Arc<GatewayContext>) -> Self {
        context.open.connections.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(context))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
