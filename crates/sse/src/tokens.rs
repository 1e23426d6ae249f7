//! Decides what each token of an engine's run is to the stream that its caller has.
//!
//! Engines number their tokens from 0. An engine that is to resume a stream may begin elsewhere,
//! or with another generation; what it was asked for proves nothing.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

use thiserror::Error;

/// Largest number of tokens that are remembered to recognise them in a later run.
const MAX_REMEMBERED_TOKENS: usize = 1_024;

/// What a token is to the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenPlace {
    /// The caller has it.
    Known,
    /// It follows the last token that the caller has.
    Next,
}

/// Why a run is not, or no longer, part of the stream.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum TokenError {
    #[error("token {index} came where {expected} was due")]
    Misplaced { index: u64, expected: u64 },
    /// The run has a token that the caller has with other data, or it is not known with which.
    #[error("token {index} is not known to be the one that the caller has")]
    Different { index: u64 },
    #[error("run ended after {tokens} tokens, of which the caller has {passed}")]
    Short { tokens: u64, passed: u64 },
    /// The run had no token and may have been another generation.
    #[error("run that goes on after {passed} tokens has none")]
    Empty { passed: u64 },
}

impl TokenError {
    /// Whether the engine is at fault. An empty run may be the end of a whole stream.
    pub fn is_fault(self) -> bool {
        !matches!(self, Self::Empty { .. })
    }
}

/// The order of a stream's tokens, across all runs that contribute to it.
#[derive(Clone, Debug, Default)]
pub struct TokenOrder {
    /// Number of tokens that the caller has.
    next_token: u64,
    /// Hashes of the last tokens that the caller has, in order.
    passed: VecDeque<u64>,
    /// Index that follows the last token of the current run, `None` before its first one.
    run_next: Option<u64>,
    /// Whether a run had no token. The next one is to begin with the last token that the caller
    /// has, which shows that its end is that of the same generation.
    is_end_suspected: bool,
}

impl TokenOrder {
    /// Returns the number of tokens that the caller has.
    pub fn next_token(&self) -> u64 {
        self.next_token
    }

    /// Returns the token with which the run of another engine is to begin.
    pub fn resume_from(&self) -> u64 {
        self.next_token.saturating_sub(u64::from(self.is_end_suspected))
    }

    /// Begins the run of another engine.
    pub fn begin_run(&mut self) {
        self.run_next = None;
    }

    /// Decides whether the token `index` of the current run is to be passed on, and counts it as
    /// passed on if it is.
    ///
    /// # Errors
    /// Returns an error if the run is not part of the stream from here on.
    pub fn place(&mut self, index: u64, data: &str) -> Result<TokenPlace, TokenError> {
        let expected = self.run_next.unwrap_or(index.min(self.next_token));
        if index != expected {
            return Err(TokenError::Misplaced { index, expected });
        }
        let digest = hash_data(data);
        if index < self.next_token && self.passed_digest(index) != Some(digest) {
            return Err(TokenError::Different { index });
        }
        self.run_next = Some(index + 1);
        if index < self.next_token {
            return Ok(TokenPlace::Known);
        }
        self.next_token += 1;
        self.is_end_suspected = false;
        if self.passed.len() == MAX_REMEMBERED_TOKENS {
            self.passed.pop_front();
        }
        self.passed.push_back(digest);
        Ok(TokenPlace::Next)
    }

    /// Checks whether the stream may end with the current run, which its engine ended.
    ///
    /// # Errors
    /// Returns an error if nothing proves that the stream is whole.
    pub fn check_end(&mut self) -> Result<(), TokenError> {
        let passed = self.next_token;
        match self.run_next {
            None if passed > 0 => {
                self.is_end_suspected = true;
                Err(TokenError::Empty { passed })
            }
            Some(tokens) if tokens < passed => Err(TokenError::Short { tokens, passed }),
            None | Some(_) => Ok(()),
        }
    }

    /// Returns the hash of a token that the caller has, if it is remembered.
    fn passed_digest(&self, index: u64) -> Option<u64> {
        let age = usize::try_from(self.next_token.checked_sub(index)?).ok()?;
        let position = self.passed.len().checked_sub(age)?;
        self.passed.get(position).copied()
    }
}

fn hash_data(data: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    data.hash(&mut hasher);
    hasher.finish()
}
