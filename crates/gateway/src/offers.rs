//! Asks the work owners of targets for offers, answers peers that ask, and reports what this
//! router sees of the targets.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base::{Millis, Name};
use cadence::prelude::*;
use rate::{FleetView, RateKey};
use target::{LoadReport, PlacementMode, SelectionQuery, TargetSelection};
use tokio::sync::{Notify, mpsc};
use work::{
    OfferOutcome, OfferRequest, OfferResponse, PartDemand, PlacementId, PlacementNotice,
    ReportBatches, ReportedLoad, RequestCost, WorkEvent, WorkOwner, WorkReport, WorkSettings,
};

use crate::context::GatewayContext;
use crate::messages::PeerMessage;
use crate::permits::rate_key;
use crate::rounds::target_size;

/// Time for which reports are collected into one datagram per owner.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// Time in milliseconds after the last fourth load figure for which a service counts as reporting
/// it.
const REPORTING_MS: Millis = 60_000;

/// State of the exchange, behind one lock.
#[derive(Debug)]
pub(crate) struct OfferState {
    pub(crate) owner: WorkOwner,
    pub(crate) fleet: FleetView,
    batches: ReportBatches<SocketAddr>,
    pub(crate) demand: PartDemand,
    pub(crate) waiters: HashMap<PlacementId, mpsc::Sender<OfferResponse>>,
    /// Owners that did not respond: how often in a row, and until when they are not asked.
    pub(crate) silent: HashMap<SocketAddr, (u32, Millis)>,
    /// When targets of a service last reported the fourth load figure.
    reporting: HashMap<Name, Millis>,
    pub(crate) number: u32,
}

/// Exchange of offers with other routers.
#[derive(Debug)]
pub(crate) struct OfferExchange {
    state: Mutex<OfferState>,
    pub(crate) origin_hash: u64,
    /// Notified when events wait to be reported.
    reports: Notify,
}

impl OfferExchange {
    pub(crate) fn new(fleet: FleetView, origin_hash: u64) -> Self {
        let state = OfferState {
            owner: WorkOwner::new(WorkSettings::default()),
            fleet,
            batches: ReportBatches::default(),
            demand: PartDemand::default(),
            waiters: HashMap::new(),
            silent: HashMap::new(),
            reporting: HashMap::new(),
            number: 0,
        };
        Self { state: Mutex::new(state), origin_hash, reports: Notify::new() }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, OfferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates which routers may own targets.
    pub(crate) fn set_fleet(&self, fleet: FleetView) {
        self.state().fleet = fleet;
    }

    /// Adds an event for the owner of a target; `None` if that is this router.
    pub(crate) fn report(
        &self,
        owner: Option<SocketAddr>,
        key: RateKey,
        event: WorkEvent,
        now: Millis,
    ) {
        let mut state = self.state();
        match owner {
            None => state.owner.record(&WorkReport { events: vec![(key, event)] }, now),
            Some(owner) => {
                let is_first = state.batches.is_empty();
                state.batches.add(owner, key, event, now);
                drop(state);
                if is_first {
                    self.reports.notify_one();
                }
            }
        }
    }
}

/// A request that is counted at the owner of its target. Dropping it tells the owner that the
/// request has ended.
#[derive(Debug)]
pub(crate) struct Placement {
    context: Arc<GatewayContext>,
    id: PlacementId,
    key: RateKey,
    /// `None` if this router owns the target.
    owner: Option<SocketAddr>,
    /// Expected time to the first event in milliseconds.
    expected_ms: f64,
    written_at: Cell<Option<Millis>>,
}

impl Placement {
    pub(crate) fn new(
        context: &Arc<GatewayContext>,
        id: PlacementId,
        key: RateKey,
        owner: Option<SocketAddr>,
        expected_ms: f64,
    ) -> Self {
        let (context, written_at) = (Arc::clone(context), Cell::new(None));
        Self { context, id, key, owner, expected_ms, written_at }
    }

    /// Records that the request is being written to the target.
    pub(crate) fn record_written(&self, now: Millis) {
        self.written_at.set(Some(now));
    }

    pub(crate) fn record_first_byte(&self, now: Millis) {
        let Some(written_at) = self.written_at.take() else { return };
        let waited_ms = now.saturating_sub(written_at);
        let error_ms = (waited_ms as f64 - self.expected_ms).abs();
        self.context.metrics.histogram("offers.error_ms", error_ms as u64).ok();
        let waited_ms = u32::try_from(waited_ms).unwrap_or(u32::MAX);
        let event = WorkEvent::FirstByte { id: self.id, waited_ms, age_ms: 0 };
        self.context.offers.report(self.owner, self.key, event, now);
    }

    /// Records the load that the target reported.
    pub(crate) fn record_load(&self, load: LoadReport) {
        let LoadReport { running, waiting, slow_percent, .. } = load;
        let load = ReportedLoad { running, waiting, slow_percent, age_ms: 0 };
        let now = self.context.now();
        self.context.offers.report(self.owner, self.key, WorkEvent::Load(load), now);
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let now = self.context.now();
        self.context.offers.report(self.owner, self.key, WorkEvent::Ended { id: self.id }, now);
    }
}

/// Records whether the targets of a service report how long work takes on their machines.
pub(crate) fn record_service_load(context: &GatewayContext, service: &Name, load: LoadReport) {
    if load.slow_percent.is_none() || context.settings.choice.placement != PlacementMode::Auto {
        return;
    }
    let now = context.now();
    let mut state = context.offers.state();
    if let Some(reported_at) = state.reporting.get_mut(service) {
        *reported_at = now;
    } else {
        state.reporting.insert(Name::clone(service), now);
    }
}

/// Whether owners are asked for the targets of a service.
pub(crate) fn is_active(context: &GatewayContext, service: &Name) -> bool {
    match context.settings.choice.placement {
        PlacementMode::Local => false,
        PlacementMode::Ledger => true,
        PlacementMode::Auto => {
            let now = context.now();
            let reported_at = context.offers.state().reporting.get(service).copied();
            reported_at.is_some_and(|at| now.saturating_sub(at) <= REPORTING_MS)
        }
    }
}

/// Counts a request at the owner of its target.
pub(crate) fn notify_owner(
    context: &GatewayContext,
    owner: Option<SocketAddr>,
    notice: &PlacementNotice,
    now: Millis,
) {
    match owner {
        None => context.offers.state().owner.place(notice, now),
        Some(owner) => {
            context.permits.send(owner, &PeerMessage::PlacementNotice(*notice));
        }
    }
}

/// Counts a request that the local estimate placed.
pub(crate) fn record_local(
    context: &Arc<GatewayContext>,
    query: &SelectionQuery<'_>,
    selection: &TargetSelection,
) -> Placement {
    let now = context.now();
    let key = rate_key(&selection.entry);
    let (id, owner) = {
        let mut state = context.offers.state();
        state.number = state.number.wrapping_add(1);
        (PlacementId::new(context.offers.origin_hash, state.number), state.fleet.issuer(key))
    };
    let cost = RequestCost {
        prompt_tokens: selection.unread_tokens,
        output_tokens: query.profile.output_tokens,
        ..RequestCost::default()
    };
    let size = target_size(context, &selection.entry, query);
    notify_owner(context, owner, &PlacementNotice { id, key, cost, size }, now);
    Placement::new(context, id, key, owner, selection.expected_ms)
}

/// Answers a peer that asks for an offer.
pub(crate) fn answer_offer_request(
    context: &GatewayContext,
    request: &OfferRequest,
    peer: SocketAddr,
) {
    let response = context.offers.state().owner.offer(request, context.now());
    context.permits.send(peer, &PeerMessage::OfferResponse(response));
}

/// Passes an offer on to the request that waits for it. A placement that comes too late is taken
/// back.
pub(crate) fn handle_offer_response(
    context: &GatewayContext,
    response: OfferResponse,
    peer: SocketAddr,
) {
    let waiter = context.offers.state().waiters.get(&response.id).cloned();
    let is_passed = waiter.is_some_and(|waiter| waiter.try_send(response).is_ok());
    if !is_passed && response.outcome == OfferOutcome::Placed {
        let event = WorkEvent::Ended { id: response.id };
        context.offers.report(Some(peer), response.key, event, context.now());
    }
}

pub(crate) fn record_placement(context: &GatewayContext, notice: &PlacementNotice) {
    context.offers.state().owner.place(notice, context.now());
}

pub(crate) fn record_report(context: &GatewayContext, report: &WorkReport) {
    context.offers.state().owner.record(report, context.now());
}

/// Sends what waits to be reported until the process stops.
pub(crate) async fn send_reports(context: Arc<GatewayContext>) {
    while !context.shutdown.is_cancelled() {
        context.offers.reports.notified().await;
        tokio::time::sleep(REPORT_DELAY).await;
        let batches = context.offers.state().batches.take(context.now());
        for (owner, report) in batches {
            context.permits.send(owner, &PeerMessage::WorkReport(report));
        }
    }
}

/// Drops what is known of targets that have left.
pub(crate) fn retain_models(context: &GatewayContext, known: &HashSet<RateKey>) {
    let now = context.now();
    let mut state = context.offers.state();
    state.owner.retain(|key| known.contains(&key), now);
    state.silent.retain(|_, (_, until)| *until > now);
}
