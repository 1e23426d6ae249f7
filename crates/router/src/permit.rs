//! Slots held by single requests, which are released on drop.

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use cadence::prelude::*;
use share::{Grant, GrantId};
use tokio::sync::oneshot;

use crate::context::RouterContext;
use crate::core::WaitKey;
use crate::decision::RouteDecision;
use crate::lifecycle::{Queued, Request};
use crate::refusal::{Refusal, RefusalCode};

/// The slot that one request holds by a grant.
///
/// Invariant: the slot is released exactly once, by [`SlotPermit::settle`], by
/// [`SlotPermit::fail`] or on drop. A permit that is dropped before its request
/// was dispatched charges nothing.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    context: Arc<RouterContext>,
    service: Name,
    pub(crate) target: Name,
    id: GrantId,
    cost: f64,
    dispatched: bool,
    failed: bool,
    released: bool,
}

impl SlotPermit {
    /// Records that the request is about to be sent. From now on the target may
    /// run it.
    pub(crate) fn mark_dispatched(&mut self) {
        self.dispatched = true;
    }

    /// Records the cost so far of the request in progress, in cost units.
    pub(crate) fn record_progress(&mut self, cost: f64) {
        self.cost = cost;
        let mut core = self.context.core();
        if let Some(state) = core.services.get_mut(&self.service) {
            state.demand.record_progress(self.id, cost);
        }
    }

    /// Releases the slot and charges `cost`, in cost units.
    pub(crate) fn settle(mut self, cost: f64) {
        self.cost = cost;
        self.release();
    }

    /// Releases the slot after a failed attempt, and charges the cost so far.
    pub(crate) fn fail(mut self) {
        self.failed = true;
        self.release();
    }

    fn release(&mut self) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        let mut core = self.context.core();
        if let Some(state) = core.services.get_mut(&self.service) {
            match (self.failed, self.dispatched) {
                (true, _) => state.demand.fail(self.id, self.cost),
                (false, true) => state.demand.finish(self.id, self.cost),
                (false, false) => state.demand.release_unused(self.id),
            }
        }
        drop(core);
        self.context.wake_granting(&self.service);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.release();
    }
}

/// A request's entry in the queue, removed on drop.
struct QueueEntry {
    context: Arc<RouterContext>,
    service: Name,
    account: Name,
    key: WaitKey,
    receiver: oneshot::Receiver<Grant>,
}

impl QueueEntry {
    fn permit(&self, grant: &Grant) -> SlotPermit {
        SlotPermit {
            context: Arc::clone(&self.context),
            service: Name::clone(&self.service),
            target: Name::clone(&grant.target),
            id: grant.id,
            cost: 0.0,
            dispatched: false,
            failed: false,
            released: false,
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.context.core().cancel(&self.service, &self.account, self.key);
        // A grant may have arrived just before; dropping its permit returns it.
        if let Ok(grant) = self.receiver.try_recv() {
            drop(self.permit(&grant));
        }
        self.context.wake_granting(&self.service);
    }
}

/// Queues a request and waits until it is granted a slot. Slots are granted in
/// fair order.
///
/// # Errors
/// Returns a refusal if the queue is full, the service is no longer configured
/// or the wait exceeds the service's maximum. This attempt has not run the
/// request.
pub(crate) async fn acquire_slot(
    context: &Arc<RouterContext>,
    request: &Request<Queued>,
    attempt: u32,
) -> Result<SlotPermit, Refusal> {
    let start = context.now();
    let (queue_entry, max_wait_ms) = {
        let mut core = context.core();
        let max_wait_ms = core.service_spec(&request.service).map_or(0, |spec| spec.max_wait_ms);
        let queued = core.enqueue(&request.service, &request.account, start);
        let (key, receiver) = queued.ok_or_else(|| request.refuse(RefusalCode::QueueFull))?;
        let queue_entry = QueueEntry {
            context: Arc::clone(context),
            service: Name::clone(&request.service),
            account: Name::clone(&request.account),
            key,
            receiver,
        };
        (queue_entry, max_wait_ms)
    };
    context.wake_granting(&request.service);
    let mut queue_entry = queue_entry;
    let wait = tokio::time::timeout(Duration::from_millis(max_wait_ms), &mut queue_entry.receiver);
    let grant = match wait.await {
        Ok(Ok(grant)) => grant,
        Ok(Err(_)) | Err(_) => return Err(request.refuse(RefusalCode::WaitExceeded)),
    };
    let permit = queue_entry.permit(&grant);
    let mut core = context.core();
    let waited_ms = context.now().saturating_sub(start);
    // Metrics are sent over UDP, so failures to send them are ignored.
    context.metrics.time("wait", waited_ms).ok();
    if let Some(state) = core.services.get_mut(&request.service) {
        state.waits_ms.saturating_record(waited_ms);
    }
    let state = core.services.get(&request.service);
    let grantor = state.map(|state| Name::clone(&state.grantor)).unwrap_or_default();
    let still_waiting = state.map_or(0, |state| state.demand.waiting());
    let is_spare = grant.account.is_none();
    core.decisions.record(RouteDecision {
        request: request.id.clone(),
        account: Name::clone(&request.account),
        service: Name::clone(&request.service),
        target: Name::clone(&grant.target),
        grantor,
        reason: if is_spare { "float" } else { "least_served" },
        waited_ms,
        still_waiting,
        estimate: grant.estimate,
        attempt,
    });
    Ok(permit)
}
