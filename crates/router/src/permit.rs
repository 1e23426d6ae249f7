//! A slot held for one request, given back when it is dropped.

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

/// Permission to send one request to one target.
///
/// Invariant: the slot is settled exactly once, by [`SlotPermit::settle`] or on
/// drop. A permit that is dropped before anything was offered charges nothing.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    context: Arc<RouterContext>,
    service: Name,
    pub(crate) target: Name,
    id: GrantId,
    cost: f64,
    dispatched: bool,
    failed: bool,
    settled: bool,
}

impl SlotPermit {
    /// From here on the target may run the request.
    pub(crate) fn mark_dispatched(&mut self) {
        self.dispatched = true;
    }

    /// Counts cost while the request is in progress, in cost units.
    pub(crate) fn progress(&mut self, cost: f64) {
        self.cost = cost;
        let mut core = self.context.core();
        if let Some(desk) = core.desks.get_mut(&self.service) {
            desk.book.record_progress(self.id, cost);
        }
    }

    /// Ends the request at its cost so far.
    pub(crate) fn settle(mut self, cost: f64) {
        self.cost = cost;
        self.release();
    }

    /// Ends the request after a failed send to the target.
    pub(crate) fn fail(mut self) {
        self.failed = true;
        self.release();
    }

    fn release(&mut self) {
        if std::mem::replace(&mut self.settled, true) {
            return;
        }
        let mut core = self.context.core();
        if let Some(desk) = core.desks.get_mut(&self.service) {
            match (self.failed, self.dispatched) {
                (true, _) => desk.book.fail(self.id, self.cost),
                (false, true) => desk.book.finish(self.id, self.cost),
                (false, false) => desk.book.release_unused(self.id),
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

/// A place in the queue, left when it is dropped.
struct QueuePlace {
    context: Arc<RouterContext>,
    service: Name,
    account: Name,
    key: WaitKey,
    receiver: oneshot::Receiver<Grant>,
}

impl QueuePlace {
    fn permit(&self, grant: &Grant) -> SlotPermit {
        SlotPermit {
            context: Arc::clone(&self.context),
            service: Name::clone(&self.service),
            target: Name::clone(&grant.target),
            id: grant.id,
            cost: 0.0,
            dispatched: false,
            failed: false,
            settled: false,
        }
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.context.core().cancel(&self.service, &self.account, self.key);
        // A grant may have arrived just before; its permit gives it back.
        if let Ok(grant) = self.receiver.try_recv() {
            drop(self.permit(&grant));
        }
        self.context.wake_granting(&self.service);
    }
}

/// Waits for a slot in the fair order.
///
/// # Errors
/// The queue is full or the wait exceeded the service's bound; the request did
/// not run.
pub(crate) async fn acquire(
    context: &Arc<RouterContext>,
    request: &Request<Queued>,
    attempt: u32,
) -> Result<SlotPermit, Refusal> {
    let start = context.now();
    let (place, max_wait_ms) = {
        let mut core = context.core();
        let max_wait_ms = core.service(&request.service).map_or(0, |spec| spec.max_wait_ms);
        let queued = core.enqueue(&request.service, &request.account, start);
        let (key, receiver) = queued.ok_or_else(|| request.refuse(RefusalCode::QueueFull))?;
        let place = QueuePlace {
            context: Arc::clone(context),
            service: Name::clone(&request.service),
            account: Name::clone(&request.account),
            key,
            receiver,
        };
        (place, max_wait_ms)
    };
    context.wake_granting(&request.service);
    let mut place = place;
    let wait = tokio::time::timeout(Duration::from_millis(max_wait_ms), &mut place.receiver);
    let grant = match wait.await {
        Ok(Ok(grant)) => grant,
        Ok(Err(_)) | Err(_) => return Err(request.refuse(RefusalCode::WaitExceeded)),
    };
    let permit = place.permit(&grant);
    let mut core = context.core();
    let waited_ms = context.now().saturating_sub(start);
    // Metrics are lost silently, as UDP is.
    context.metrics.time("wait", waited_ms).ok();
    if let Some(desk) = core.desks.get_mut(&request.service) {
        desk.waits_ms.saturating_record(waited_ms);
    }
    let desk = core.desks.get(&request.service);
    let grantor = desk.map(|desk| Name::clone(&desk.grantor)).unwrap_or_default();
    let still_waiting = desk.map_or(0, |desk| desk.book.waiting());
    let is_float = grant.account.is_none();
    core.decisions.record(RouteDecision {
        request: request.id.clone(),
        account: Name::clone(&request.account),
        service: Name::clone(&request.service),
        target: Name::clone(&grant.target),
        grantor,
        reason: if is_float { "float" } else { "least_served" },
        waited_ms,
        still_waiting,
        estimate: grant.estimate,
        attempt,
    });
    Ok(permit)
}
