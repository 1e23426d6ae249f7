//! Evacuated failure domains in the registry of targets.

use base::Millis;

use crate::entry::TargetEntry;
use crate::evacuation::{DomainChange, DomainListing, DomainRecord, DomainReturn};
use crate::registry::TargetRegistry;

impl TargetRegistry {
    /// Merges one record of a failure domain and returns its effect.
    pub fn merge_domain(&mut self, record: DomainRecord, now: Millis) -> DomainChange {
        self.domains.merge(record, 0, self.outage.lost_at, now)
    }

    /// Merges all failure domains that the source lists as evacuated at `revision`. Returns those
    /// whose evacuation began or ended.
    pub fn merge_domain_listing(
        &mut self,
        records: Vec<DomainRecord>,
        revision: u64,
        now: Millis,
    ) -> Vec<(DomainRecord, DomainChange)> {
        self.merge_peer_domains(DomainListing { revision, records, ages: Vec::new() }, now)
    }

    /// Merges what a peer knows of evacuations. Returns the failure domains whose evacuation
    /// began or ended.
    pub fn merge_peer_domains(
        &mut self,
        listing: DomainListing,
        now: Millis,
    ) -> Vec<(DomainRecord, DomainChange)> {
        self.domains.merge_listing(listing, self.outage.lost_at, now)
    }

    /// Records that all changes of failure domains up to `revision` are merged.
    pub fn advance_domains(&mut self, revision: u64) {
        self.domains.advance(revision);
    }

    /// Returns the revision up to which all changes of failure domains are merged; 0 before the
    /// first listing.
    pub fn domains_revision(&self) -> u64 {
        self.domains.revision()
    }

    /// Ends the evacuations that a restored source lacks although their operators have had time
    /// to write them again. Returns them.
    pub fn expire_domains(&mut self, now: Millis) -> Vec<DomainRecord> {
        self.domains.expire(self.outage.lost_at, now)
    }

    /// Returns the number of evacuated failure domains, whether or not they have targets.
    pub fn evacuated_domains(&self, now: Millis) -> usize {
        self.domains.evacuated_count(self.outage.lost_at, now)
    }

    /// Returns when a failure domain was last taken back from an evacuation; `None` if it is
    /// evacuated, never was, or that is no longer remembered.
    pub fn domain_return(&self, domain: &str, now: Millis) -> Option<DomainReturn> {
        self.domains.returned(domain, self.outage.lost_at, now)
    }

    /// Returns all that a peer has to know of evacuations.
    pub fn domain_listing(&self, now: Millis) -> DomainListing {
        self.domains.listing(self.outage.lost_at, now)
    }

    /// Returns the records of failure domains newer than a revision, to be sent to a peer.
    pub fn domain_records_since(&self, revision: u64) -> Vec<DomainRecord> {
        self.domains.records_since(revision)
    }

    /// Whether the target's failure domain is evacuated.
    pub(crate) fn is_evacuated(&self, entry: &TargetEntry, now: Millis) -> bool {
        self.domains.is_evacuated(&entry.failure_domain, self.outage.lost_at, now)
    }
}
