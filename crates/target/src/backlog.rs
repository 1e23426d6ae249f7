//! Estimates how many prompt tokens an engine has yet to process.
//!
//! Prompts of very different length arrive from many routers, and an engine
//! processes them in order of arrival at a steady rate. The estimate therefore
//! falls with time, so that a long prompt sent half a second ago no longer keeps
//! other requests away. Responses correct it: the first byte of a response shows
//! that every prompt sent before it was processed, and a request without a response
//! shows that no prompt sent after it was.

use std::collections::VecDeque;

use base::Millis;

/// Age in milliseconds after which a sent prompt no longer counts. Callers do
/// not wait that long for a first byte.
const MAX_PROMPT_AGE_MS: Millis = 4_000;

/// Prompt tokens that one engine has yet to process, in order of arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefillBacklog {
    /// Tokens left at `updated_at`.
    tokens: f64,
    updated_at: Millis,
    /// Send time and tokens of each prompt that is not known to be processed, in
    /// order of sending.
    sent: VecDeque<(Millis, u64)>,
}

impl PrefillBacklog {
    /// Returns the tokens left at `now` if each takes `token_ms` milliseconds.
    /// `unanswered_since` is the send time of the oldest request without a
    /// response; prompts sent after it count in full.
    pub(crate) fn remaining(
        &self,
        token_ms: f64,
        unanswered_since: Option<Millis>,
        now: Millis,
    ) -> f64 {
        let processed = now.saturating_sub(self.updated_at) as f64 / token_ms;
        let remaining = (self.tokens - processed).max(0.0);
        unanswered_since.map_or(remaining, |since| remaining.max(self.sent_after(since) as f64))
    }

    fn sent_after(&self, since: Millis) -> u64 {
        let newest_first = self.sent.iter().rev();
        newest_first.take_while(|(sent_at, _)| *sent_at > since).map(|(_, tokens)| tokens).sum()
    }

    /// Adds a prompt that was sent at `sent_at`.
    pub(crate) fn add(&mut self, tokens: u64, sent_at: Millis, token_ms: f64, now: Millis) {
        self.tokens = self.remaining(token_ms, None, now) + tokens as f64;
        self.updated_at = now;
        let position = self.sent.partition_point(|(other_sent_at, _)| *other_sent_at <= sent_at);
        self.sent.insert(position, (sent_at, tokens));
        while self
            .sent
            .front()
            .is_some_and(|(sent_at, _)| now.saturating_sub(*sent_at) > MAX_PROMPT_AGE_MS)
        {
            self.sent.pop_front();
        }
    }

    /// Removes a prompt that was added at `sent_at` and then not sent.
    pub(crate) fn remove(&mut self, tokens: u64, sent_at: Millis) {
        let position = self.sent.iter().position(|prompt| *prompt == (sent_at, tokens));
        if position.and_then(|position| self.sent.remove(position)).is_some() {
            self.tokens = (self.tokens - tokens as f64).max(0.0);
        }
    }

    /// Removes every prompt that was sent up to and including `sent_at`.
    pub(crate) fn remove_until(&mut self, sent_at: Millis, now: Millis) {
        if self.sent.front().is_none_or(|(first_sent_at, _)| *first_sent_at > sent_at) {
            return;
        }
        while self.sent.front().is_some_and(|(first_sent_at, _)| *first_sent_at <= sent_at) {
            self.sent.pop_front();
        }
        self.tokens = self.sent.iter().map(|(_, tokens)| *tokens as f64).sum();
        self.updated_at = now;
    }
}
