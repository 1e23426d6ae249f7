//! Which requests a router that stops still accepts.
//!
//! Load pattern: callers learn late that a router stops, from address responses that they may use
//! for a while, and keep using open connections. The thread that serves them, the timers and the
//! signal may all be late, while the time until the process is killed is fixed. What sends the signal
//! counts that time from before the process gets it.

use base::Millis;

/// Time for the last answers to pass the links to their callers, in milliseconds: more than a round
/// trip and a packet that is sent again.
pub const LINGER_MS: Millis = 500;

/// Times of a stop, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct StopSettings {
    /// Time after the signal for which callers may still use the address of the router.
    pub notice_ms: Millis,
    /// Time between the signal and the kill of the process.
    pub kill_ms: Millis,
    /// The process exits this long before it would be killed.
    pub exit_margin_ms: Millis,
    /// Requests without a response are answered this long before the exit at the latest.
    pub answer_margin_ms: Millis,
    /// No request is given up earlier than this after the signal, if the exit leaves the time: its target
    /// may still answer.
    pub give_up_ms: Millis,
    /// Longest time for which the signal may be on its way to the process: what is accepted times out
    /// as much earlier.
    pub signal_delay_ms: Millis,
    /// The process refuses all for at least this long before it exits ahead of its time, so that the
    /// last answers pass the links to their callers.
    pub linger_ms: Millis,
}

/// Times of one stop. All are counted from a time before the signal was sent, so that nothing that
/// is late makes them later than the sender of the signal allows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    unsignalled_at: Millis,
    /// Until then callers may come that have not learned of the stop.
    notice_until: Millis,
    /// What is accepted times out by then. Invariant: not after `ends_at`.
    accepts_by: Millis,
    /// When requests without a response are answered. Invariant: not after `exits_at`.
    ends_at: Millis,
    exits_at: Millis,
    linger_ms: Millis,
}

impl StopPlan {
    /// Creates the plan of a stop whose signal had not been sent at `unsignalled_at`.
    pub fn new(unsignalled_at: Millis, settings: &StopSettings) -> Self {
        let exits_at = unsignalled_at + settings.kill_ms.saturating_sub(settings.exit_margin_ms);
        let answered_by = exits_at.saturating_sub(settings.answer_margin_ms);
        let accepts_by = answered_by.saturating_sub(settings.signal_delay_ms);
        Self {
            unsignalled_at,
            notice_until: unsignalled_at + settings.notice_ms,
            accepts_by,
            ends_at: answered_by.min(unsignalled_at + settings.give_up_ms).max(accepts_by),
            exits_at,
            linger_ms: settings.linger_ms,
        }
    }

    /// Returns the time that all others are counted from.
    pub fn unsignalled_at(&self) -> Millis {
        self.unsignalled_at
    }

    /// Whether a request is accepted that times out at `expires_at`. One that may be cut is better off
    /// at another router. How long others took bounds nothing: targets slow down, and of the requests
    /// that began lately only the short ones have ended.
    pub fn accepts(&self, expires_at: Millis) -> bool {
        expires_at <= self.accepts_by
    }

    /// Whether callers have had time to move to other routers.
    pub fn is_notice_over(&self, now: Millis) -> bool {
        now > self.notice_until
    }

    /// Whether requests without a response have to be answered.
    pub fn is_ended(&self, now: Millis) -> bool {
        now >= self.ends_at
    }

    /// Whether the last answers have had time to pass the links, if all has been refused since
    /// `closed_at`.
    pub fn has_lingered(&self, closed_at: Millis, now: Millis) -> bool {
        now.saturating_sub(closed_at) >= self.linger_ms
    }

    /// Returns the milliseconds that are left until the exit.
    pub fn exit_in_ms(&self, now: Millis) -> Millis {
        self.exits_at.saturating_sub(now)
    }
}
