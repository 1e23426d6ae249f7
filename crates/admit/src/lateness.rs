//! Detects that a thread which serves callers is overloaded, by how late its
//! periodic timer fires.
//!
//! Overload occurs when all callers of one busy account connect to one router and
//! ask for more than its processor can forward. Requests then wait in the queue of
//! the thread, and their callers may have left before they are read. An overloaded
//! router rejects requests at once, at a small part of the cost of serving them,
//! until its timer is on time again.

use base::Millis;

/// Limits for the lateness of a thread.
#[derive(Clone, Copy, Debug)]
pub struct LatenessSettings {
    /// Time between two ticks in milliseconds: a fraction of `max_lateness_ms`,
    /// but long enough to cause few wake-ups.
    pub tick_ms: Millis,
    /// Lateness in milliseconds from which on requests are rejected. A processor
    /// with a CPU quota may be throttled for a tenth of a second, and callers that
    /// left have to be noticed within half a second.
    pub max_lateness_ms: Millis,
}

impl Default for LatenessSettings {
    fn default() -> Self {
        Self { tick_ms: 50, max_lateness_ms: 150 }
    }
}

/// Lateness of one thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct ThreadLateness {
    settings: LatenessSettings,
    /// When the next tick is due; `None` before the first tick.
    due_at: Option<Millis>,
    /// Lateness of the last tick, in milliseconds.
    last_ms: Millis,
    /// When a tick last was so late that requests are rejected.
    overloaded_at: Option<Millis>,
}

impl ThreadLateness {
    pub fn new(settings: LatenessSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records a tick; returns the milliseconds until the next one is due.
    pub fn tick(&mut self, now: Millis) -> Millis {
        self.last_ms = self.due_at.map_or(0, |due_at| now.saturating_sub(due_at));
        if self.last_ms >= self.settings.max_lateness_ms {
            self.overloaded_at = Some(now);
        }
        self.due_at = Some(now + self.settings.tick_ms);
        self.settings.tick_ms
    }

    /// Returns the lateness of the thread in milliseconds: that of the last tick
    /// or, if greater, that of the next tick so far.
    pub fn late_ms(&self, now: Millis) -> Millis {
        let next_ms = self.due_at.map_or(0, |due_at| now.saturating_sub(due_at));
        self.last_ms.max(next_ms)
    }

    /// Returns the lateness in milliseconds if it is so great that requests are
    /// rejected.
    pub fn overload_lateness(&self, now: Millis) -> Option<Millis> {
        Some(self.late_ms(now)).filter(|late_ms| *late_ms >= self.settings.max_lateness_ms)
    }

    /// Whether the thread was late at some time from `since` to `now`. A time-out measured
    /// meanwhile says nothing about whom the thread waited for.
    pub fn was_overloaded_since(&self, since: Millis, now: Millis) -> bool {
        self.overload_lateness(now).is_some() || self.overloaded_at.is_some_and(|at| at >= since)
    }
}
