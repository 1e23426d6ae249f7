//! Prompt tokens that an engine has still to read.
//!
//! Load pattern: prompts of very different length arrive from many routers, and
//! an engine reads them in order of arrival at a steady rate. What was sent
//! counts less with every millisecond, so a long prompt that was sent half a
//! second ago no longer keeps others away. Answers tell how far the engine is:
//! the first byte of one says that all that was sent before it was read, and a
//! request without an answer that all that was sent after it was not.

use std::collections::VecDeque;

use base::Millis;

/// Age beyond which what was sent no longer counts, in milliseconds: longer
/// than callers wait for a first byte.
const LONGEST_MS: Millis = 4_000;

/// Tokens that are read one after the other at the engine's rate.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadBacklog {
    /// Tokens left at `at`.
    tokens: f64,
    at: Millis,
    /// Tokens by the time of sending, in order, that were not seen to be read.
    sent: VecDeque<(Millis, u64)>,
}

impl ReadBacklog {
    /// Tokens left now, with `read_ms` milliseconds for each; nothing that was
    /// sent after `unanswered` was read yet.
    pub(crate) fn left(&self, read_ms: f64, unanswered: Option<Millis>, now: Millis) -> f64 {
        let read = now.saturating_sub(self.at) as f64 / read_ms;
        let left = (self.tokens - read).max(0.0);
        unanswered.map_or(left, |since| left.max(self.sent_after(since) as f64))
    }

    fn sent_after(&self, since: Millis) -> u64 {
        let newest_first = self.sent.iter().rev();
        newest_first.take_while(|(at, _)| *at > since).map(|(_, tokens)| tokens).sum()
    }

    /// Tokens were sent at `sent_at`.
    pub(crate) fn add(&mut self, tokens: u64, sent_at: Millis, read_ms: f64, now: Millis) {
        self.tokens = self.left(read_ms, None, now) + tokens as f64;
        self.at = now;
        let before = self.sent.partition_point(|(at, _)| *at <= sent_at);
        self.sent.insert(before, (sent_at, tokens));
        while self.sent.front().is_some_and(|(at, _)| now.saturating_sub(*at) > LONGEST_MS) {
            self.sent.pop_front();
        }
    }

    /// All that was sent up to `sent_at` was read.
    pub(crate) fn read_until(&mut self, sent_at: Millis, now: Millis) {
        if self.sent.front().is_none_or(|(at, _)| *at > sent_at) {
            return;
        }
        while self.sent.front().is_some_and(|(at, _)| *at <= sent_at) {
            self.sent.pop_front();
        }
        self.tokens = self.sent.iter().map(|(_, tokens)| *tokens as f64).sum();
        self.at = now;
    }
}
