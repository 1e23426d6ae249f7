//! Which routers read the configuration source.
//!
//! Calls on the source are dear and limited, so one router of each failure
//! domain reads and all others hear of changes from it. A reader that hears
//! nothing from the source, or is not heard itself, is replaced within the
//! freshness bound; routers that are alone with the source read for themselves.

use base::{Millis, Name, stable_hash};

use crate::members::MemberView;

/// Bounds of the policy.
#[derive(Clone, Copy, Debug)]
pub struct ReaderSettings {
    /// Age up to which a reader's last answer from the source is fresh, in
    /// milliseconds: the longest wait of a read and the time between beats.
    pub fresh_ms: Millis,
    /// Time over which routers that start together begin to read, so that most
    /// hear of a reader first, in milliseconds.
    pub start_spread_ms: Millis,
    /// Time between the take-overs of two routers of a failure domain, so that
    /// not all begin to read at once, in milliseconds.
    pub stagger_ms: Millis,
}

impl Default for ReaderSettings {
    fn default() -> Self {
        Self { fresh_ms: 1_300, start_spread_ms: 250, stagger_ms: 60 }
    }
}

/// Whether this router reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReaderVerdict {
    Read,
    /// A peer reads for the failure domain.
    Follow,
}

/// Decides for one router; remembers since when nobody read.
#[derive(Debug)]
pub struct ReaderPolicy {
    settings: ReaderSettings,
    me: Name,
    domain: Name,
    is_reading: bool,
    unread_since: Option<Millis>,
}

impl ReaderPolicy {
    /// A router that starts now, at 0 of its clock.
    pub fn new(me: Name, domain: Name, settings: ReaderSettings) -> Self {
        Self { settings, me, domain, is_reading: false, unread_since: None }
    }

    /// The verdict for now; `my_age` is the time since the source last answered
    /// this router.
    pub fn decide(
        &mut self,
        peers: &[MemberView],
        my_age: Option<Millis>,
        is_draining: bool,
        now: Millis,
    ) -> ReaderVerdict {
        let fresh_ms = self.settings.fresh_ms;
        let is_fresh = |view: &&MemberView| {
            view.source.read_age.is_some_and(|read_age| read_age + view.age <= fresh_ms)
        };
        let near = peers.iter().filter(|view| view.domain == self.domain && !view.is_draining);
        let fresh_readers: Vec<&MemberView> = near.clone().filter(is_fresh).collect();
        let i_am_fresh = my_age.is_some_and(|age| age <= fresh_ms);
        let my_rank = self.rank(&self.me);
        let is_replaced = if self.is_reading && i_am_fresh && !is_draining {
            fresh_readers.iter().any(|view| self.rank(&view.origin.instance) < my_rank)
        } else {
            !fresh_readers.is_empty()
        };
        if is_replaced {
            self.is_reading = false;
            self.unread_since = None;
            return ReaderVerdict::Follow;
        }
        if self.is_reading {
            return ReaderVerdict::Read;
        }
        if now < my_rank % self.settings.start_spread_ms.max(1) {
            return ReaderVerdict::Follow;
        }
        let since = *self.unread_since.get_or_insert(now);
        let ahead = near.filter(|view| self.rank(&view.origin.instance) < my_rank).count() as u64;
        if now.saturating_sub(since) >= ahead * self.settings.stagger_ms {
            self.is_reading = true;
            self.unread_since = None;
            return ReaderVerdict::Read;
        }
        ReaderVerdict::Follow
    }

    fn rank(&self, instance: &str) -> u64 {
        stable_hash(&[&self.domain, instance])
    }
}
