//! How the instances of a simulated fleet choose targets.

use std::sync::Arc;

use target::{
    CandidateSpread, SelectionQuery, SelectionSettings, TargetEntry, offer_candidates,
    select_target,
};
use work::{
    InFlightWork, OfferChoice, OfferRequest, OfferResponse, PlacementNotice, ReceivedOffer,
};

use crate::load::Policy;
use crate::simulation::{Event, Request, Simulation, WARM_UP_MS};

/// Time that a request waits for offers, in microseconds.
const OFFER_TIMEOUT_US: u64 = 10_000;

impl Simulation {
    pub(crate) fn choose(&mut self, request: usize) {
        match self.load.policy {
            Policy::Local => self.choose_locally(request),
            Policy::LeastOutstanding => {
                let engine = self.live().into_iter().min_by_key(|e| self.engines[*e].requests());
                self.dispatch(request, engine.unwrap_or(0), 0.0, 0);
            }
            Policy::TwoChoices => {
                let live = self.live();
                let first = live[self.next_random() as usize % live.len()];
                let second = live[self.next_random() as usize % live.len()];
                let is_second = self.engines[second].requests() < self.engines[first].requests();
                self.dispatch(request, if is_second { second } else { first }, 0.0, 0);
            }
            Policy::Ledger => self.ask(request),
        }
    }

    fn query<'a>(&self, request: &'a Request) -> SelectionQuery<'a> {
        SelectionQuery {
            profile: &request.profile,
            target_latency_ms: self.load.kinds[request.kind].target_ms,
            engine_memory: Some(self.load.memory_tokens as u64),
            request_hash: request.hash,
            tried: &[],
            failure_domain: if request.instance.is_multiple_of(2) { "d0" } else { "d1" },
        }
    }

    fn live_entries(&self) -> Vec<Arc<TargetEntry>> {
        self.live().into_iter().map(|engine| Arc::clone(&self.entries[engine])).collect()
    }

    fn engine_of(&self, entry: &TargetEntry) -> usize {
        entry.id[1..].parse().expect("ids have a number")
    }

    fn choose_locally(&mut self, request: usize) {
        let now = self.now();
        let entries = self.live_entries();
        let mut tracker = std::mem::take(&mut self.trackers[self.requests[request].instance]);
        let query = self.query(&self.requests[request]);
        let settings = SelectionSettings::default();
        let selection = select_target(&mut tracker, entries.iter(), &query, &settings, now);
        let instance = self.requests[request].instance;
        self.trackers[instance] = tracker;
        match selection {
            Ok(selection) => {
                let engine = self.engine_of(&selection.entry);
                self.dispatch(request, engine, selection.expected_ms, selection.unread_tokens);
            }
            Err(_) if now >= WARM_UP_MS => {
                self.outcome.kinds[self.requests[request].kind].refused += 1;
            }
            Err(_) => {}
        }
    }

    fn ask(&mut self, request: usize) {
        let now = self.now();
        let entries = self.live_entries();
        let instance = self.requests[request].instance;
        let mut tracker = std::mem::take(&mut self.trackers[instance]);
        let settings = SelectionSettings::default();
        let part = self.requests[request].profile.home_part();
        let demand = &mut self.demands[instance];
        demand.record(part);
        let min_homes = part.map_or(0, |part| demand.home_count(part, entries.len()));
        let spread = CandidateSpread { count: self.load.settings.asked[1], min_homes };
        let query = self.query(&self.requests[request]);
        let first = offer_candidates(&mut tracker, entries.iter(), &query, &settings, spread, now);
        self.trackers[instance] = tracker;
        let asked: Vec<(usize, f64)> = first
            .iter()
            .map(|candidate| (self.engine_of(&candidate.entry), candidate.cache_probability))
            .collect();
        self.requests[request].asked = asked;
        self.ask_round(request, 0..self.load.settings.asked[0]);
    }

    /// Asks the owners of some of the candidates.
    fn ask_round(&mut self, request: usize, round: std::ops::Range<usize>) {
        let instance = self.requests[request].instance;
        let round = round.start..round.end.min(self.requests[request].asked.len());
        self.requests[request].open = round.end;
        self.push(self.now_us + OFFER_TIMEOUT_US, Event::Decide { request, open: round.end });
        for candidate in round {
            let engine = self.requests[request].asked[candidate].0;
            if self.owner(engine) == instance {
                let offer = self.offer(request, candidate);
                self.record_offer(request, offer);
            } else {
                self.send(0, Event::Ask { request, candidate });
            }
        }
    }

    pub(crate) fn offer(&mut self, request: usize, candidate: usize) -> OfferResponse {
        let (engine, held) = self.requests[request].asked[candidate];
        let target_ms = self.load.kinds[self.requests[request].kind].target_ms;
        let settings = self.load.settings;
        let place_until_ms =
            if candidate == 0 { OfferChoice::place_until_ms(target_ms, 0.0, &settings) } else { 0 };
        let offer = OfferRequest {
            id: self.id(request),
            key: self.key(engine),
            cost: self.cost(request, held),
            size: self.size(),
            place_until_ms,
            in_flight: InFlightWork::default(),
        };
        let (owner, now) = (self.owner(engine), self.now());
        self.owners[owner].offer(&offer, now)
    }

    pub(crate) fn record_offer(&mut self, request: usize, response: OfferResponse) {
        self.requests[request].offers.push(ReceivedOffer { response, crossing_ms: 0.0 });
        let Request { offers, open, engine, .. } = &self.requests[request];
        if engine.is_some() {
            return;
        }
        let is_placed =
            matches!(OfferChoice::of(offers, &self.load.settings), OfferChoice::Placed(_));
        if is_placed || offers.len() == *open {
            self.decide(request, *open);
        }
    }

    pub(crate) fn decide(&mut self, request: usize, open: usize) {
        let Request { engine, open: last_open, asked, offers, .. } = &self.requests[request];
        if engine.is_some() || open != *last_open {
            return;
        }
        let choice = OfferChoice::of(offers, &self.load.settings);
        if !matches!(choice, OfferChoice::Placed(_)) && !offers.is_empty() && open < asked.len() {
            return self.ask_round(request, open..asked.len());
        }
        let index = match choice {
            OfferChoice::Placed(index) | OfferChoice::Take(index) => index,
            OfferChoice::AllFull | OfferChoice::Unanswered => {
                self.outcome.unanswered += 1;
                return self.choose_locally(request);
            }
        };
        let response = self.requests[request].offers[index].response;
        let asked = self.requests[request].asked.clone();
        let taken = asked.iter().find(|(engine, _)| self.key(*engine) == response.key);
        let Some((engine, held)) = taken.copied() else { return };
        if matches!(choice, OfferChoice::Take(_)) {
            let notice = PlacementNotice {
                id: self.id(request),
                key: response.key,
                cost: self.cost(request, held),
                size: self.size(),
            };
            self.send(0, Event::Notice(self.owner(engine), notice));
        }
        self.dispatch(request, engine, f64::from(response.expected_ms), response.unread_tokens);
    }
}
