//! Asks the owners of a few candidates for one request, and takes the best of their offers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{Millis, Name, mix_hashes};
use cadence::prelude::*;
use rate::RateKey;
use target::{
    CandidateSpread, SelectionQuery, TargetCandidate, TargetEntry, TargetSelection,
    offer_candidates,
};
use tokio::sync::mpsc;
use work::{
    InFlightWork, OfferChoice, OfferOutcome, OfferRequest, OfferResponse, PlacementId,
    PlacementNotice, ReceivedOffer, RequestCost, TargetSize, WorkEvent, WorkSettings,
};

use crate::context::GatewayContext;
use crate::messages::PeerMessage;
use crate::offers::{Placement, notify_owner};
use crate::permits::rate_key;

/// Time that a request waits for the owners that it asked. A round trip takes 1 to 6 ms; waiting
/// longer costs more than a better target gains.
const OFFER_TIMEOUT: Duration = Duration::from_millis(10);
/// Requests for offers without a response after which an owner is not asked for a time.
const MAX_MISSES: u32 = 3;
/// That time in milliseconds: an instance that died is found out about by then.
const SILENT_MS: Millis = 1_000;

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

/// Returns the likely cost of a request at a target that holds its shared parts with a probability.
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

pub(crate) fn target_size(
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
        // A placement that came after the time-out was not taken; later ones find no waiter.
        while let Ok(response) = self.receiver.try_recv() {
            let asked = self.candidates.iter().find(|asked| asked.key == response.key);
            let Some(asked) = asked.filter(|_| response.outcome == OfferOutcome::Placed) else {
                continue;
            };
            let event = WorkEvent::Ended { id: self.id };
            self.context.offers.report(asked.owner, asked.key, event, self.context.now());
        }
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
        let placement = Placement::new(context, self.id, *key, *owner, expected_ms);
        let age_ms = offer.age_ms.map(u64::from);
        Some(Box::new(PlacedSelection { selection, placement, age_ms }))
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
