//! How late the thread that serves callers is, and when it is too late to take
//! more.
//!
//! Load pattern: all callers of one busy account connect to one router and ask
//! for more than its processor can pass on. Whatever waits in the thread's queue
//! is read late, and its caller may have left by then. A late router refuses at
//! once, which costs a small part of serving, until it is on time again.

use base::Millis;

/// Bounds of the lateness.
#[derive(Clone, Copy, Debug)]
pub struct LatenessSettings {
    /// Time between two looks, in milliseconds: a few in the lateness that is
    /// too much, and few wake-ups.
    pub period_ms: Millis,
    /// Lateness from which on requests are refused, in milliseconds: a processor
    /// that is shared by quota may stand still for a tenth of a second, and
    /// callers that left have to be noticed within half a second.
    pub too_late_ms: Millis,
}

impl Default for LatenessSettings {
    fn default() -> Self {
        Self { period_ms: 50, too_late_ms: 150 }
    }
}

/// Lateness of one thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct ThreadLateness {
    settings: LatenessSettings,
    /// When the next look is due; none before the first.
    due_at: Option<Millis>,
    /// How late the last look was, in milliseconds.
    last_ms: Millis,
}

impl ThreadLateness {
    pub fn new(settings: LatenessSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// A look happens now; returns the milliseconds until the next is due.
    pub fn tick(&mut self, now: Millis) -> Millis {
        self.last_ms = self.due_at.map_or(0, |due_at| now.saturating_sub(due_at));
        self.due_at = Some(now + self.settings.period_ms);
        self.settings.period_ms
    }

    /// Milliseconds by which the thread is late: as the last look was, or as the
    /// next one is already.
    pub fn late_ms(&self, now: Millis) -> Millis {
        let next_ms = self.due_at.map_or(0, |due_at| now.saturating_sub(due_at));
        self.last_ms.max(next_ms)
    }

    /// How late the thread is, if that is too late to take more.
    pub fn too_late(&self, now: Millis) -> Option<Millis> {
        Some(self.late_ms(now)).filter(|late_ms| *late_ms >= self.settings.too_late_ms)
    }
}
