//! Asks the work owners of targets for offers, answers peers that ask, and reports what this
//! router sees of the targets.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base::{Millis, Name, mix_hashes};
use cadence::prelude::*;
use rate::{FleetView, RateKey};
use target::{
    CandidateSpread, LoadReport, PlacementMode, SelectionQuery, TargetCandidate, TargetEntry,
    TargetSelection, offer_candidates,
};
use tokio::sync::{Notify, mpsc};
use work::{
    InFlightWork, OfferChoice, OfferOutcome, OfferRequest, OfferResponse, PartDemand, PlacementId,
    PlacementNotice, ReceivedOffer, ReportBatches, ReportedLoad, RequestCost, TargetSize,
    WorkEvent, WorkOwner, WorkReport, WorkSettings,
};

use crate::context::GatewayContext;
use crate::messages::PeerMessage;
use crate::permits::rate_key;

/// Time that a request waits for the owners that it asked. A round trip takes 1 to 6 ms; waiting
/// longer costs more than a better target gains.
const OFFER_TIMEOUT: Duration = Duration::from_millis(10);
/// Time for which reports are collected into one datagram per owner.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// Requests for offers without a response after which an owner is not asked for a time.
const MAX_MISSES: u32 = 3;
/// That time in milliseconds: an instance that died is found out about by then.
const SILENT_MS: Millis = 1_000;
/// Time in milliseconds after the last fourth load figure for which a service counts as reporting
/// it.
const REPORTING_MS: Millis = 60_000;

/// State of the exchange, behind one lock.
#[derive(Debug)]
struct OfferState {
    owner: WorkOwner,
    fleet: FleetView,
    batches: ReportBatches<SocketAddr>,
    demand: PartDemand,
    waiters: HashMap<PlacementId, mpsc::Sender<OfferResponse>>,
    /// Owners that did not respond: how often in a row, and until when they are not asked.
    silent: HashMap<SocketAddr, (u32, Millis)>,
    /// When targets of a service last reported the fourth load figure.
    reporting: HashMap<Name, Millis>,
    number: u32,
}

/// Exchange of offers with other routers.
#[derive(Debug)]
pub(crate) struct OfferExchange {
    state: Mutex<OfferState>,
    origin_hash: u64,
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

    fn state(&self) -> MutexGuard<'_, OfferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates which routers may own targets.
    pub(crate) fn set_fleet(&self, fleet: FleetView) {
        self.state().fleet = fleet;
    }

    /// Adds an event for the owner of a target; `None` if that is this router.
    fn report(&self, owner: Option<SocketAddr>, key: RateKey, event: WorkEvent, now: Millis) {
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

/// A target that was chosen by the offers of owners.
#[derive(Debug)]
pub(crate) struct PlacedSelection {
    pub(crate) selection: TargetSelection,
    pub(crate) placement: Placement,
    /// Age in milliseconds of the owner's newest report on the target.
    pub(crate) age_ms: Option<u64>,
}

/// What came of asking owners.
#[derive(Debug)]
pub(crate) struct OfferResult {
    pub(crate) placed: Option<Box<PlacedSelection>>,
    /// Number of owners that were asked.
    pub(crate) asked: usize,
    /// Targets that are full by their owners.
    pub(crate) full: Vec<Name>,
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

fn request_cost(query: &SelectionQuery<'_>, cache_probability: f64) -> RequestCost {
    let profile = query.profile;
    // 0 stands for no part, and half of the bits tell the parts of one target apart.
    let part = profile.home_part().map_or(0, |part| (mix_hashes(part, 0) as u32).max(1));
    RequestCost {
        prompt_tokens: profile.prompt_tokens,
        shared_tokens: profile.shared_tokens(),
        part,
        held_percent: (cache_probability * 100.0) as u8,
        output_tokens: profile.output_tokens,
    }
}

fn target_size(
    context: &GatewayContext,
    entry: &TargetEntry,
    query: &SelectionQuery<'_>,
) -> TargetSize {
    let share = context.settings.choice.memory_share;
    let memory_tokens = query.engine_memory.map_or(0, |tokens| (tokens as f64 * share) as u32);
    TargetSize { slots: entry.slots, memory_tokens }
}

/// A candidate with what its owner is asked.
struct AskedCandidate {
    candidate: TargetCandidate,
    key: RateKey,
    owner: Option<SocketAddr>,
    crossing_ms: f64,
    offer: Option<OfferResponse>,
}

/// The owners that one request asks.
struct OfferRound<'a> {
    context: &'a Arc<GatewayContext>,
    query: &'a SelectionQuery<'a>,
    id: PlacementId,
    receiver: mpsc::Receiver<OfferResponse>,
    candidates: Vec<AskedCandidate>,
    asked: usize,
}

impl Drop for OfferRound<'_> {
    fn drop(&mut self) {
        self.context.offers.state().waiters.remove(&self.id);
    }
}

impl<'a> OfferRound<'a> {
    fn new(
        context: &'a Arc<GatewayContext>,
        query: &'a SelectionQuery<'a>,
        entries: &[Arc<TargetEntry>],
    ) -> Self {
        let now = context.now();
        let choice = &context.settings.choice;
        let part = query.profile.home_part();
        let (sender, receiver) = mpsc::channel(4);
        let (id, spread) = {
            let mut state = context.offers.state();
            state.number = state.number.wrapping_add(1);
            let id = PlacementId::new(context.offers.origin_hash, state.number);
            state.waiters.insert(id, sender);
            state.demand.record(part);
            let count = state.owner.settings().asked[1];
            let min_homes = part.map_or(0, |part| state.demand.home_count(part, entries.len()));
            (id, CandidateSpread { count, min_homes })
        };
        let candidates =
            offer_candidates(&mut context.loads(), entries.iter(), query, choice, spread, now);
        let state = context.offers.state();
        let is_silent = |owner: &Option<SocketAddr>| {
            let silent = owner.and_then(|owner| state.silent.get(&owner));
            silent.is_some_and(|(_, until)| *until > now)
        };
        let candidates = candidates
            .into_iter()
            .map(|candidate| {
                let key = rate_key(&candidate.entry);
                let is_same_domain = &*candidate.entry.failure_domain == query.failure_domain;
                let crossing_ms = if is_same_domain { 0.0 } else { choice.crossing_ms };
                let owner = state.fleet.issuer(key);
                AskedCandidate { candidate, key, owner, crossing_ms, offer: None }
            })
            .filter(|asked| !is_silent(&asked.owner))
            .collect();
        drop(state);
        Self { context, query, id, receiver, candidates, asked: 0 }
    }

    /// Asks owners until `count` candidates are asked, and waits for what they offer.
    async fn ask(&mut self, count: usize) {
        let count = count.min(self.candidates.len());
        let mut waiting = 0;
        for index in self.asked..count {
            let request = self.request(index);
            match self.candidates[index].owner {
                None => {
                    let response = {
                        let now = self.context.now();
                        self.context.offers.state().owner.offer(&request, now)
                    };
                    self.candidates[index].offer = Some(response);
                }
                Some(owner) => {
                    waiting += 1;
                    self.context.permits.send(owner, &PeerMessage::OfferRequest(request));
                }
            }
        }
        self.asked = count;
        let wait = async {
            while waiting > 0 && !self.is_placed() {
                let Some(response) = self.receiver.recv().await else { return };
                let asked = self.candidates.iter_mut().find(|asked| asked.key == response.key);
                if let Some(asked) = asked {
                    waiting -= usize::from(asked.offer.is_none());
                    asked.offer = Some(response);
                }
            }
        };
        let _ = tokio::time::timeout(OFFER_TIMEOUT, wait).await;
    }

    fn request(&self, index: usize) -> OfferRequest {
        let AskedCandidate { candidate, key, crossing_ms, .. } = &self.candidates[index];
        let own = self.context.loads().get(candidate.key).map(|load| load.own());
        let own = own.unwrap_or_default();
        let in_flight = InFlightWork {
            requests: own.requests,
            unread_tokens: u32::try_from(own.unread_tokens).unwrap_or(u32::MAX),
        };
        let latency_ms = self.query.target_latency_ms;
        let settings = WorkSettings::default();
        let place_until_ms = if index == 0 {
            OfferChoice::place_until_ms(latency_ms, *crossing_ms, &settings)
        } else {
            0
        };
        OfferRequest {
            id: self.id,
            key: *key,
            cost: request_cost(self.query, candidate.cache_probability),
            size: target_size(self.context, &candidate.entry, self.query),
            place_until_ms,
            in_flight,
        }
    }

    fn is_placed(&self) -> bool {
        let offers = self.candidates.iter().filter_map(|asked| asked.offer);
        offers.into_iter().any(|offer| offer.outcome == OfferOutcome::Placed)
    }

    /// Counts owners that did not respond, which are not asked for a time.
    fn record_silence(&self) {
        let now = self.context.now();
        let mut unanswered = 0;
        let mut state = self.context.offers.state();
        let is_placed = self.is_placed();
        for asked in &self.candidates[..self.asked] {
            let Some(owner) = asked.owner else { continue };
            if asked.offer.is_some() {
                state.silent.remove(&owner);
            } else if !is_placed {
                unanswered += 1;
                let (misses, until) = state.silent.entry(owner).or_insert((0, 0));
                *misses += 1;
                if *misses >= MAX_MISSES {
                    (*misses, *until) = (0, now + SILENT_MS);
                }
            }
        }
        drop(state);
        if unanswered > 0 {
            self.context.metrics.count("offers.unanswered", unanswered).ok();
        }
    }

    /// Takes an offer; returns the chosen target.
    fn take(&mut self) -> Option<Box<PlacedSelection>> {
        let asked = self.candidates.iter().enumerate();
        let (indexes, offers): (Vec<usize>, Vec<ReceivedOffer>) = asked
            .filter_map(|(index, asked)| {
                let (response, crossing_ms) = (asked.offer?, asked.crossing_ms);
                Some((index, ReceivedOffer { response, crossing_ms }))
            })
            .unzip();
        let choice = OfferChoice::of(&offers, &WorkSettings::default());
        let (OfferChoice::Placed(chosen) | OfferChoice::Take(chosen)) = choice else {
            return None;
        };
        let index = indexes[chosen];
        let offer = offers[chosen].response;
        let AskedCandidate { candidate, key, owner, crossing_ms, .. } = &self.candidates[index];
        let context = self.context;
        let now = context.now();
        if matches!(choice, OfferChoice::Take(_)) {
            let OfferRequest { id, key, cost, size, .. } = self.request(index);
            notify_owner(context, *owner, &PlacementNotice { id, key, cost, size }, now);
        }
        let expected_ms = f64::from(offer.expected_ms) + crossing_ms;
        let (occupancy, report_age) = {
            let loads = context.loads();
            let load = loads.get(candidate.key);
            let requests = load.map_or(0, |load| load.requests(now));
            let slots = candidate.entry.slots.max(1);
            let report_age = load.and_then(|load| load.report_age(now));
            (f64::from(requests) / f64::from(slots), report_age)
        };
        let selection = TargetSelection {
            key: candidate.key,
            entry: Arc::clone(&candidate.entry),
            unread_tokens: offer.unread_tokens,
            expected_ms,
            overhead_ms: expected_ms - f64::from(offer.wait_ms) - f64::from(offer.read_ms),
            home_rank: candidate.home_rank,
            waiting_ms: f64::from(offer.wait_ms),
            occupancy,
            report_age,
        };
        let placement = Placement {
            context: Arc::clone(context),
            id: self.id,
            key: *key,
            owner: *owner,
            expected_ms,
            written_at: Cell::new(None),
        };
        let age_ms = offer.age_ms.map(u64::from);
        Some(Box::new(PlacedSelection { selection, placement, age_ms }))
    }
}

/// Counts a request at the owner of its target.
fn notify_owner(
    context: &GatewayContext,
    owner: Option<SocketAddr>,
    notice: &PlacementNotice,
    now: Millis,
) {
    match owner {
        None => context.offers.state().owner.place(notice, now),
        Some(owner) => context.permits.send(owner, &PeerMessage::PlacementNotice(*notice)),
    }
}

/// Asks the owners of the first candidates among `entries` for offers and takes one.
pub(crate) async fn place(
    context: &Arc<GatewayContext>,
    query: &SelectionQuery<'_>,
    entries: &[Arc<TargetEntry>],
) -> OfferResult {
    let asked = WorkSettings::default().asked;
    let mut round = OfferRound::new(context, query, entries);
    round.ask(asked[0]).await;
    // The others are asked if the first owner wants to compare; one that does not respond would
    // make the request late.
    if !round.is_placed() && round.candidates.iter().any(|asked| asked.offer.is_some()) {
        round.ask(asked[1]).await;
    }
    round.record_silence();
    let placed = round.take();
    let name = if placed.is_some() { "offers.placed" } else { "offers.declined" };
    context.metrics.incr(name).ok();
    let is_full = |asked: &&AskedCandidate| {
        asked.offer.is_some_and(|offer| offer.outcome == OfferOutcome::Full)
    };
    let full = round.candidates.iter().filter(is_full);
    let full = full.map(|asked| Name::clone(&asked.candidate.entry.id)).collect();
    OfferResult { placed, asked: round.asked, full }
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
    let expected_ms = selection.expected_ms;
    let written_at = Cell::new(None);
    Placement { context: Arc::clone(context), id, key, owner, expected_ms, written_at }
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
pub(crate) fn retain_models(context: &GatewayContext, known: &[RateKey]) {
    let now = context.now();
    let mut state = context.offers.state();
    state.owner.retain(|key| known.contains(&key), now);
    state.silent.retain(|_, (_, until)| *until > now);
}
