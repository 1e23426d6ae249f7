//! Tells outages of the configuration source in which entries expire from single failed
//! reads.
//!
//! Targets renew their entries several times within a lease, so a short outage expires
//! none, and an entry that is removed then belongs to a target that has left. A watch
//! that is cut or a call that is refused is such a short outage.

use base::Millis;

/// Limits for outages of the source.
#[derive(Clone, Copy, Debug)]
pub struct OutageSettings {
    /// Shortest outage in milliseconds in which entries can expire: a lease without its
    /// first renewal.
    pub min_outage_ms: Millis,
    /// Time in milliseconds within which live targets publish their entries again
    /// after the source has recovered; the platform guarantees about two seconds.
    pub republish_ms: Millis,
}

impl Default for OutageSettings {
    fn default() -> Self {
        Self { min_outage_ms: 2_000, republish_ms: 2_000 }
    }
}

/// Availability of the source as far as this router knows it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SourceOutage {
    /// When the source last responded to this router or to a peer.
    responded_at: Option<Millis>,
    /// When a read first failed since then; `None` while the source responds.
    pub(crate) lost_at: Option<Millis>,
    /// The source was restored from a copy since it last responded.
    is_restored: bool,
    /// When the source responded again after an outage in which entries may have expired.
    recovered_at: Option<Millis>,
    /// The same of an outage that a response to a peer ended: the peer may have started since, and
    /// not know of it.
    peer_recovered_at: Option<Millis>,
}

impl SourceOutage {
    pub(crate) fn record_lost(&mut self, now: Millis) {
        self.lost_at.get_or_insert(now);
    }

    pub(crate) fn record_restored(&mut self, now: Millis) {
        self.record_lost(now);
        self.is_restored = true;
    }

    /// Records a response; returns whether entries may have expired before it.
    pub(crate) fn record_response(&mut self, settings: &OutageSettings, now: Millis) -> bool {
        let may_have_expired = self.may_have_expired(settings, now);
        self.is_restored = false;
        self.lost_at = None;
        self.responded_at = Some(now);
        if may_have_expired {
            self.recovered_at = Some(now);
        }
        may_have_expired
    }

    /// Records that the source responded to a peer `age` milliseconds ago.
    pub(crate) fn record_peer_response(
        &mut self,
        settings: &OutageSettings,
        age: Millis,
        now: Millis,
    ) {
        let responded_at = now.saturating_sub(age);
        if self.may_have_expired(settings, responded_at) {
            self.peer_recovered_at = Some(responded_at);
        }
        self.responded_at = self.responded_at.max(Some(responded_at));
        self.lost_at = None;
        self.is_restored = false;
    }

    /// Whether entries may have expired in the outage that a response at `now` would end.
    fn may_have_expired(&self, settings: &OutageSettings, now: Millis) -> bool {
        let Some(lost_at) = self.lost_at else { return false };
        let outage_ms = now.saturating_sub(self.responded_at.unwrap_or(lost_at));
        self.is_restored || outage_ms >= settings.min_outage_ms
    }

    /// Records that a peer read at `now` that entries are missing. If this router could not read the
    /// source before, it has recovered, whatever the peer knows of that.
    pub(crate) fn record_missing(&mut self, settings: &OutageSettings, now: Millis) {
        let ends_now = self.may_have_expired(settings, now).then_some(now);
        self.recovered_at = self.recovered_at.max(self.peer_recovered_at).max(ends_now);
    }

    /// Records that the source recovered at a time, as a peer saw or a revision of a later era shows.
    pub(crate) fn record_recovery(&mut self, recovered_at: Millis) {
        self.recovered_at = self.recovered_at.max(Some(recovered_at));
    }

    /// Returns until when targets may publish expired entries again; `None` if they have
    /// had the time for it.
    pub(crate) fn republish_until(&self, settings: &OutageSettings, now: Millis) -> Option<Millis> {
        let until = self.recovered_at?.saturating_add(settings.republish_ms);
        (now < until).then_some(until)
    }

    /// Returns the milliseconds since the source recovered, while targets may publish
    /// expired entries again.
    pub(crate) fn recovery_age(&self, settings: &OutageSettings, now: Millis) -> Option<Millis> {
        self.republish_until(settings, now)?;
        self.recovered_at.map(|at| now.saturating_sub(at))
    }
}
