//! Which offer the router of a request takes.

use crate::message::{OfferOutcome, OfferResponse};
use crate::settings::WorkSettings;

/// An offer with what its router adds to it.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedOffer {
    pub response: OfferResponse,
    /// Time in milliseconds that the crossing between failure domains adds.
    pub crossing_ms: f64,
}

impl ReceivedOffer {
    fn score(&self, settings: &WorkSettings) -> f64 {
        let response = &self.response;
        let read_ms = f64::from(response.read_ms) * settings.read_weight;
        f64::from(response.expected_ms) + self.crossing_ms + read_ms
    }
}

/// What the router does with the offers that it received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferChoice {
    /// The owner of the offer with this index has placed the request.
    Placed(usize),
    /// The best offer; its owner is to be told.
    Take(usize),
    /// The targets of all offers are full.
    AllFull,
    /// No owner answered, so the local estimate decides.
    Unanswered,
}

impl OfferChoice {
    /// Chooses among the offers received.
    pub fn of(offers: &[ReceivedOffer], settings: &WorkSettings) -> Self {
        if offers.is_empty() {
            return Self::Unanswered;
        }
        let is = |outcome| move |offer: &ReceivedOffer| offer.response.outcome == outcome;
        if let Some(placed) = offers.iter().position(is(OfferOutcome::Placed)) {
            return Self::Placed(placed);
        }
        let offered = offers.iter().enumerate();
        let offered = offered.filter(|(_, offer)| is(OfferOutcome::Offered)(offer));
        let best = offered.min_by(|a, b| a.1.score(settings).total_cmp(&b.1.score(settings)));
        best.map_or(Self::AllFull, |(index, _)| Self::Take(index))
    }

    /// Returns the time within which an owner places a request at once, in milliseconds.
    pub fn place_until_ms(
        target_latency_ms: u64,
        crossing_ms: f64,
        settings: &WorkSettings,
    ) -> u32 {
        (target_latency_ms as f64 * settings.place_share - crossing_ms).max(0.0) as u32
    }
}
