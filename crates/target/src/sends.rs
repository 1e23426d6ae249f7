//! Counts the requests that were written to each target lately. Does no I/O.

use std::collections::{HashMap, VecDeque};

use base::{Millis, Name};

/// Time in milliseconds for which a request counts: the window in which cold targets are limited.
const WINDOW_MS: Millis = 1_000;
/// Maximum number of requests that are counted of one target.
const MAX_SENDS: usize = 1_024;

/// When the last requests to each target were written.
#[derive(Debug, Default)]
pub struct RecentSends {
    /// In the order of their times, at most [`MAX_SENDS`] of each target.
    times: HashMap<Name, VecDeque<Millis>>,
}

impl RecentSends {
    /// Records that a request is written to a target.
    pub fn record(&mut self, id: &Name, now: Millis) {
        let times = self.times.entry(Name::clone(id)).or_default();
        times.push_back(now);
        while times.len() > MAX_SENDS || times.front().is_some_and(|at| !is_recent(*at, now)) {
            times.pop_front();
        }
    }

    /// Returns how many requests were written to a target in the last second.
    pub fn count(&self, id: &str, now: Millis) -> usize {
        let times = self.times.get(id).into_iter().flatten();
        times.filter(|at| is_recent(**at, now)).count()
    }

    /// Forgets targets that got no request lately.
    pub fn expire(&mut self, now: Millis) {
        self.times.retain(|_, times| times.back().is_some_and(|at| is_recent(*at, now)));
    }
}

fn is_recent(at: Millis, now: Millis) -> bool {
    now.saturating_sub(at) < WINDOW_MS
}
