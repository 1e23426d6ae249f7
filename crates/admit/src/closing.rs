//! When a router that stops refuses all, and when its process exits.
//!
//! Load pattern: callers go on sending on open connections and read slowly, and links hold the last
//! bytes for a while, while the router wants to leave as soon as nothing is lost by it.

use base::Millis;

use crate::stop::StopPlan;

/// What is open at a router.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OpenCounts {
    /// Requests that were accepted or are not decided on, and whose answers are not written. Refused
    /// ones are not among them: callers that come again at once would keep one open all the time.
    pub requests: usize,
    /// Connections with bytes that are not written, or with a request or a part of one that is not
    /// answered, be it refused or not.
    pub connections: usize,
    /// Connections with bytes that only the system holds, and those that it has not handed over.
    pub queued: usize,
}

impl OpenCounts {
    /// Whether nothing is open.
    pub fn is_empty(self) -> bool {
        self.requests == 0 && self.connections == 0 && self.queued == 0
    }
}

/// What a router that stops does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopStep {
    /// Counts again later.
    Wait,
    /// Refuses all requests from now on, lets nobody connect, and counts again after that.
    Close,
    /// Ends the process.
    Exit,
}

/// A stop by a plan, which begins with requests being accepted.
#[derive(Clone, Copy, Debug)]
pub struct StopCycle {
    plan: StopPlan,
    /// Since when all requests are refused. Invariant: once set, it stays as it is.
    closed_at: Option<Millis>,
}

impl StopCycle {
    pub fn new(plan: StopPlan) -> Self {
        Self { plan, closed_at: None }
    }

    /// Whether the next step depends on what is open.
    pub fn needs_counts(&self, now: Millis) -> bool {
        self.plan.is_notice_over(now)
    }

    /// Decides with what was counted after the step before was taken, by the thread that reads and
    /// writes, so that nothing comes between.
    pub fn step(&mut self, now: Millis, open: OpenCounts) -> StopStep {
        if self.plan.exit_in_ms(now) == 0 {
            return StopStep::Exit;
        }
        if !self.plan.is_notice_over(now) {
            return StopStep::Wait;
        }
        let Some(closed_at) = self.closed_at else {
            if open.requests > 0 {
                return StopStep::Wait;
            }
            self.closed_at = Some(now);
            return StopStep::Close;
        };
        // Callers that go on sending are refused all the time, which must not keep the router: the
        // last answer was written before the close.
        if open.is_empty() && self.plan.has_lingered(closed_at, now) {
            StopStep::Exit
        } else {
            StopStep::Wait
        }
    }
}
