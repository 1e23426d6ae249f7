//! Decides whether a router takes more callers: whether it accepts their connections
//! now, and whether it tells them to use other routers.
//!
//! The load pattern: the callers of one busy account all connect to one router and
//! ask for several times what its processor can serve. A refusal has to read the
//! request first, and costs over half of serving it, so refusing does not relieve the
//! router. Connections therefore wait unaccepted while the thread that serves callers
//! is late, which costs no processor time, and a router that stays late is saturated: it
//! is not ready, so that its callers use others, and serves what it has accepted.

use std::collections::BTreeMap;

use base::{Millis, Name};

/// Limits for taking callers.
#[derive(Clone, Copy, Debug)]
pub struct AcceptSettings {
    /// Largest number of callers' connections, whatever they are used for.
    pub max_connections: usize,
    /// Lateness of the thread in milliseconds from which on no connection is accepted.
    pub max_lateness_ms: Millis,
    /// Time in milliseconds without a connection after which some are accepted though
    /// the thread is late, so that the router serves a part of its callers as long as
    /// they are not sent away.
    pub max_pause_ms: Millis,
    /// Time in milliseconds for which a router must be over a limit to be saturated:
    /// longer than a processor with a CPU quota is throttled, or than it takes to
    /// catch up after the process was suspended.
    pub saturated_after_ms: Millis,
    /// Time in milliseconds for which a saturated router must be below the limits to
    /// take callers again. It doubles each time that the router is saturated again
    /// soon, as the callers of one account would otherwise go back and forth between
    /// few routers.
    pub recovery_ms: Millis,
    /// Largest such time, in milliseconds.
    pub max_recovery_ms: Millis,
    /// Time in milliseconds after a recovery within which a router is saturated again
    /// soon.
    pub relapse_ms: Millis,
    /// Largest fraction of the routers that may be saturated for callers to be sent
    /// away: beyond it they would only meet another saturated router.
    pub max_saturated: f64,
}

impl Default for AcceptSettings {
    fn default() -> Self {
        Self {
            max_connections: 10_000,
            max_lateness_ms: 100,
            max_pause_ms: 500,
            saturated_after_ms: 100,
            recovery_ms: 8_000,
            max_recovery_ms: 64_000,
            relapse_ms: 10_000,
            max_saturated: 0.5,
        }
    }
}

/// What is known of a router that callers may use instead of this one.
#[derive(Clone, Copy, Debug)]
struct OtherRouter {
    is_saturated: bool,
    heard_at: Millis,
}

/// Whether a router takes more callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Saturation {
    /// Below the limits, or over them since a moment ago.
    Free { over_since: Option<Millis>, recovered_at: Option<Millis> },
    /// Over the limits, or below them for less than the time of its recovery.
    Saturated { over_at: Millis },
}

/// Decides whether a router takes more callers, by the lateness of the thread that
/// serves them and the number of their connections.
#[derive(Clone, Debug)]
pub struct AcceptPolicy {
    settings: AcceptSettings,
    state: Saturation,
    /// Whether the connections were at their limit when last recorded, so that none is
    /// accepted.
    is_at_limit: bool,
    /// Time for which this router must be below the limits to recover, in milliseconds:
    /// from [`AcceptSettings::recovery_ms`] to [`AcceptSettings::max_recovery_ms`].
    recovery_ms: Millis,
    /// Other routers that callers of this one may use.
    others: BTreeMap<Name, OtherRouter>,
}

impl Default for AcceptPolicy {
    fn default() -> Self {
        Self::new(AcceptSettings::default())
    }
}

impl AcceptPolicy {
    pub fn new(settings: AcceptSettings) -> Self {
        Self {
            settings,
            state: Saturation::Free { over_since: None, recovered_at: None },
            is_at_limit: false,
            recovery_ms: settings.recovery_ms,
            others: BTreeMap::new(),
        }
    }

    /// Whether a connection may be accepted beside `connections` others, while the
    /// thread is late by `late_ms` and the last one was accepted `pause_ms` ago.
    pub fn may_accept(&self, connections: usize, late_ms: Millis, pause_ms: Millis) -> bool {
        let settings = &self.settings;
        connections < settings.max_connections
            && (late_ms < settings.max_lateness_ms || pause_ms >= settings.max_pause_ms)
    }

    /// Records the number of connections and the lateness of the thread; returns
    /// whether the router became saturated or recovered.
    pub fn record(&mut self, connections: usize, late_ms: Millis, now: Millis) -> bool {
        let is_over = !self.may_accept(connections, late_ms, 0);
        self.is_at_limit = connections >= self.settings.max_connections;
        let was_saturated = self.is_saturated();
        self.state = match self.state {
            Saturation::Free { over_since, recovered_at } => {
                self.record_free(is_over, over_since, recovered_at, now)
            }
            Saturation::Saturated { .. } if is_over => Saturation::Saturated { over_at: now },
            Saturation::Saturated { over_at } if now < over_at + self.recovery_ms => self.state,
            Saturation::Saturated { .. } => {
                Saturation::Free { over_since: None, recovered_at: Some(now) }
            }
        };
        self.is_saturated() != was_saturated
    }

    fn record_free(
        &mut self,
        is_over: bool,
        over_since: Option<Millis>,
        recovered_at: Option<Millis>,
        now: Millis,
    ) -> Saturation {
        if !is_over {
            return Saturation::Free { over_since: None, recovered_at };
        }
        let since = over_since.unwrap_or(now);
        if now.saturating_sub(since) < self.settings.saturated_after_ms {
            return Saturation::Free { over_since: Some(since), recovered_at };
        }
        let relapse_ms = self.settings.relapse_ms;
        let is_relapse = recovered_at.is_some_and(|at| now.saturating_sub(at) < relapse_ms);
        self.recovery_ms = match is_relapse {
            true => (self.recovery_ms * 2).min(self.settings.max_recovery_ms),
            false => self.settings.recovery_ms,
        };
        Saturation::Saturated { over_at: now }
    }

    /// Records what another router said of itself.
    pub fn record_other(&mut self, router: Name, is_saturated: bool, now: Millis) {
        self.others.insert(router, OtherRouter { is_saturated, heard_at: now });
    }

    /// Forgets routers that were last heard of over `max_age` ago.
    pub fn expire_others(&mut self, max_age: Millis, now: Millis) {
        self.others.retain(|_, other| now.saturating_sub(other.heard_at) <= max_age);
    }

    /// Whether this router is saturated. Other routers are told.
    pub fn is_saturated(&self) -> bool {
        matches!(self.state, Saturation::Saturated { .. })
    }

    /// Whether callers of this router should use others. They should also if no router
    /// is free but this one accepts no connection.
    pub fn sends_callers_away(&self) -> bool {
        self.has_free_others() || self.is_saturated() && self.is_at_limit
    }

    /// Whether this router is saturated and others are free.
    pub fn has_free_others(&self) -> bool {
        self.is_saturated() && self.enough_are_free()
    }

    /// Whether callers should not be told of another router.
    pub fn avoids(&self, router: &str) -> bool {
        self.others.get(router).is_some_and(|other| other.is_saturated) && self.enough_are_free()
    }

    /// Whether the routers that are not saturated can take the callers of the others.
    fn enough_are_free(&self) -> bool {
        let saturated = self.others.values().filter(|other| other.is_saturated).count();
        let saturated = saturated + usize::from(self.is_saturated());
        let routers = self.others.len() + 1;
        saturated as f64 <= routers as f64 * self.settings.max_saturated
    }
}
