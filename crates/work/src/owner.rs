//! The ledger of the targets that one router owns.

use std::collections::HashMap;

use base::Millis;
use rate::RateKey;

use crate::cost::TargetSize;
use crate::message::{
    OfferOutcome, OfferRequest, OfferResponse, PlacementNotice, WorkEvent, WorkReport,
};
use crate::model::WorkModel;
use crate::settings::WorkSettings;

/// Maximum number of models: 3,200 targets at 6 routers are some 530 for each.
const MAX_MODELS: usize = 1_024;
/// Maximum number of events of one report that are read.
const MAX_EVENTS: usize = 256;
/// Time in milliseconds after which a model that no router asked for is dropped: another router
/// owns the target then.
const IDLE_MODEL_MS: Millis = 30_000;

/// Models of the targets that this router owns. Routers whose views of the fleet differ may ask two
/// owners for a time; each answers by what it was told.
#[derive(Clone, Debug)]
pub struct WorkOwner {
    settings: WorkSettings,
    models: HashMap<RateKey, WorkModel>,
}

impl WorkOwner {
    pub fn new(settings: WorkSettings) -> Self {
        Self { settings, models: HashMap::new() }
    }

    pub fn settings(&self) -> &WorkSettings {
        &self.settings
    }

    pub fn model(&self, key: RateKey) -> Option<&WorkModel> {
        self.models.get(&key)
    }

    pub fn owned(&self) -> usize {
        self.models.len()
    }

    /// Answers a request for an offer, and places the request if the offer is good enough.
    pub fn offer(&mut self, request: &OfferRequest, now: Millis) -> OfferResponse {
        let settings = self.settings;
        let OfferRequest { id, key, cost, size, place_until_ms, in_flight } = *request;
        let mut response = OfferResponse {
            id,
            key,
            outcome: OfferOutcome::Full,
            expected_ms: 0,
            wait_ms: 0,
            read_ms: 0,
            unread_tokens: 0,
            age_ms: None,
        };
        let Some(model) = self.model_for(key, size, now) else { return response };
        model.expire(&settings, now);
        model.record_in_flight(id.sender(), in_flight, now);
        let estimate = model.estimate(&cost, &settings, now);
        response.expected_ms = estimate.expected_ms as u32;
        response.wait_ms = estimate.wait_ms as u32;
        response.read_ms = estimate.read_ms as u32;
        response.unread_tokens = estimate.unread_tokens as u32;
        response.age_ms = model.report_age(now).map(|age_ms| age_ms as u32);
        if estimate.is_full {
            return response;
        }
        response.outcome = OfferOutcome::Offered;
        if estimate.expected_ms < f64::from(place_until_ms) {
            model.place(id, &cost, &settings, now);
            response.outcome = OfferOutcome::Placed;
        }
        response
    }

    /// Counts a request that a router sends to an owned target.
    pub fn place(&mut self, notice: &PlacementNotice, now: Millis) {
        let settings = self.settings;
        if let Some(model) = self.model_for(notice.key, notice.size, now) {
            model.place(notice.id, &notice.cost, &settings, now);
        }
    }

    /// Records what a router saw. Events of targets that no router asked for are ignored.
    pub fn record(&mut self, report: &WorkReport, now: Millis) {
        for (key, event) in report.events.iter().take(MAX_EVENTS) {
            let Some(model) = self.models.get_mut(key) else { continue };
            match *event {
                WorkEvent::FirstByte { id, waited_ms, age_ms } => {
                    let (waited_ms, age_ms) = (u64::from(waited_ms), u64::from(age_ms));
                    model.record_first_byte(id, waited_ms, age_ms, &self.settings, now);
                }
                WorkEvent::Ended { id } => model.record_end(id, now),
                WorkEvent::Load(load) => model.record_load(load, now),
            }
        }
    }

    /// Drops the models of unknown targets, and of those that other routers own by now.
    pub fn retain(&mut self, is_known: impl Fn(RateKey) -> bool, now: Millis) {
        self.models.retain(|key, model| {
            is_known(*key) && now.saturating_sub(model.used_at()) <= IDLE_MODEL_MS
        });
    }

    fn model_for(&mut self, key: RateKey, size: TargetSize, now: Millis) -> Option<&mut WorkModel> {
        if !self.models.contains_key(&key) && self.models.len() >= MAX_MODELS {
            return None;
        }
        let settings = &self.settings;
        let model = self.models.entry(key).or_insert_with(|| WorkModel::new(size, settings, now));
        model.set_size(size);
        Some(model)
    }
}
