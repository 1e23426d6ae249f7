//! Decides which routers read the configuration source.
//!
//! Calls to the source are expensive and limited, so one router of each failure
//! domain reads it and the others get the changes from that router. A reader that
//! gets no response from the source, or whose heartbeats do not arrive, is replaced
//! within the freshness limit. A router that reaches the source but none of its
//! peers reads the source itself.

use base::{Millis, Name, stable_hash};

use crate::members::MemberView;

/// Time limits of the policy.
#[derive(Clone, Copy, Debug)]
pub struct ReaderSettings {
    /// Age in milliseconds up to which the last response of the source to a reader
    /// is fresh: the longest wait of a read plus the heartbeat interval.
    pub fresh_ms: Millis,
    /// Time in milliseconds after its start for which a router leaves the first read to the
    /// seeds, from which all hear first.
    pub seed_lead_ms: Millis,
    /// Time in milliseconds over which routers that start together spread their
    /// first reads, so that most of them learn of a reader first.
    pub start_spread_ms: Millis,
    /// The same once a reader of another failure domain is known, which passes on what it reads.
    pub led_spread_ms: Millis,
    /// Delay in milliseconds between the takeover attempts of two routers of a
    /// failure domain, so that not all start to read at once.
    pub stagger_ms: Millis,
    /// Longest time in milliseconds over which the takeover attempts of a failure domain are
    /// spread.
    pub max_takeover_ms: Millis,
}

impl Default for ReaderSettings {
    fn default() -> Self {
        Self {
            fresh_ms: 1_300,
            seed_lead_ms: 100,
            start_spread_ms: 600,
            led_spread_ms: 3_000,
            stagger_ms: 60,
            max_takeover_ms: 1_500,
        }
    }
}

/// Whether this router reads the source.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReaderVerdict {
    Read,
    /// A peer reads the source for the failure domain, or is expected to.
    Follow,
}

/// Reader policy of one router.
#[derive(Debug)]
pub struct ReaderPolicy {
    settings: ReaderSettings,
    instance: Name,
    domain: Name,
    /// The others know the address of this router from their start.
    is_seed: bool,
    /// Time in milliseconds between two heartbeats of a peer.
    heartbeat_interval: Millis,
    is_reading: bool,
    /// Since when the failure domain has had no reader.
    no_reader_since: Option<Millis>,
}

impl ReaderPolicy {
    /// Creates the policy of a router that starts now, with its clock at 0.
    pub fn new(instance: Name, domain: Name, settings: ReaderSettings) -> Self {
        Self {
            settings,
            instance,
            domain,
            is_seed: false,
            heartbeat_interval: 0,
            is_reading: false,
            no_reader_since: None,
        }
    }

    /// Sets whether the others know the address of this router from their start.
    pub fn with_seed_role(self, is_seed: bool) -> Self {
        Self { is_seed, ..self }
    }

    /// Sets the time in milliseconds between two heartbeats of a peer.
    pub fn set_heartbeat_interval(&mut self, interval: Millis) {
        self.heartbeat_interval = interval;
    }

    /// Returns the verdict for `now`; `own_read_age` is the time in milliseconds since
    /// the source last responded to this router.
    pub fn decide(
        &mut self,
        peers: &[MemberView],
        own_read_age: Option<Millis>,
        is_draining: bool,
        now: Millis,
    ) -> ReaderVerdict {
        let fresh_ms = self.settings.fresh_ms;
        let is_fresh = |view: &&MemberView| {
            view.source
                .read_age
                .is_some_and(|read_age| read_age.saturating_add(view.age) <= fresh_ms)
        };
        let domain_peers =
            peers.iter().filter(|view| view.domain == self.domain && !view.is_draining);
        let fresh_readers: Vec<&MemberView> = domain_peers.clone().filter(is_fresh).collect();
        let own_is_fresh = own_read_age.is_some_and(|age| age <= fresh_ms);
        let own_rank = self.rank(&self.instance);
        let is_replaced = if self.is_reading && own_is_fresh && !is_draining {
            fresh_readers.iter().any(|view| self.rank(&view.origin.instance) < own_rank)
        } else {
            !fresh_readers.is_empty()
        };
        if is_replaced {
            self.is_reading = false;
            self.no_reader_since = None;
            return ReaderVerdict::Follow;
        }
        if self.is_reading {
            return ReaderVerdict::Read;
        }
        if now < self.start_delay_ms(peers.iter().any(|view| is_fresh(&view))) {
            return ReaderVerdict::Follow;
        }
        let no_reader_since = *self.no_reader_since.get_or_insert(now);
        // Peers that are silent for longer may be out of reach, and are not waited for.
        let max_silence_ms = fresh_ms.max(self.heartbeat_interval * 3 / 2);
        let in_reach = domain_peers.filter(|view| view.age <= max_silence_ms);
        let (mut in_reach_count, mut lower_ranked) = (0, 0);
        for view in in_reach {
            in_reach_count += 1;
            lower_ranked += u64::from(self.rank(&view.origin.instance) < own_rank);
        }
        let stagger_ms = self.settings.stagger_ms;
        let stagger_ms = stagger_ms.min(self.settings.max_takeover_ms / (in_reach_count + 1));
        if now.saturating_sub(no_reader_since) >= lower_ranked * stagger_ms {
            self.is_reading = true;
            self.no_reader_since = None;
            return ReaderVerdict::Read;
        }
        ReaderVerdict::Follow
    }

    /// Returns the time in milliseconds after its start at which this router may read first.
    fn start_delay_ms(&self, is_led: bool) -> Millis {
        if self.is_seed {
            return 0;
        }
        let settings = &self.settings;
        let spread_ms = if is_led { settings.led_spread_ms } else { settings.start_spread_ms };
        settings.seed_lead_ms + self.rank(&self.instance) % spread_ms.max(1)
    }

    /// Returns a hash that orders the routers of the failure domain: the one with the
    /// lowest rank takes over first, and remains if there are several readers.
    fn rank(&self, instance: &str) -> u64 {
        stable_hash(&[&self.domain, instance])
    }
}
