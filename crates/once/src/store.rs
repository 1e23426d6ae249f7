//! The memory of one router's keys.

use std::collections::HashMap;

use base::{Millis, Name, Origin};
use tokio::sync::oneshot;

/// Time for which a key can be used, in milliseconds.
pub const KEY_LIFETIME: Millis = 600_000;
/// Keys that are remembered at once.
const MAX_KEYS: usize = 100_000;
/// Bytes of answers that are kept for repeats; a repeat of a call whose answer
/// was not kept hears that the outcome is unknown.
const MAX_KEPT_BYTES: usize = 32 << 20;
/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// How a call under a key ended.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyOutcome {
    /// The target answered.
    Answered { status: u16, body: Vec<u8> },
    /// The call may have run.
    Unknown,
    /// The call was refused before it was sent.
    NotRun,
}

impl KeyOutcome {
    fn kept_bytes(&self) -> usize {
        match self {
            Self::Answered { body, .. } => body.len(),
            Self::Unknown | Self::NotRun => 0,
        }
    }
}

#[derive(Debug)]
enum KeyState {
    Running(Vec<oneshot::Sender<KeyOutcome>>),
    Ended(KeyOutcome),
    Sealed,
}

#[derive(Debug)]
struct KeyRecord {
    account: Name,
    /// Digest of method, path and body; none for a sealed key.
    call: Option<u64>,
    issued_at: Millis,
    state: KeyState,
}

/// What to do with a call under a key.
#[derive(Debug)]
pub enum KeyDecision {
    /// Run it, then say how it ended.
    Run,
    /// It runs already; the receiver gets its outcome.
    Join(oneshot::Receiver<KeyOutcome>),
    /// It ran before.
    Ended(KeyOutcome),
    /// Another router told its caller that it will never run.
    Sealed,
    /// Issued too long ago; what became of it is forgotten.
    Expired,
    /// Another router, or another life of this one, issued it.
    Foreign(Origin),
    /// No router issued it.
    NotIssued,
    /// It was used for another call or by another account.
    Reused,
    /// No memory is left for another key.
    Full,
}

/// Keys issued by this life of this router.
#[derive(Debug)]
pub struct KeyStore {
    me: Origin,
    issued: u64,
    /// Bytes of the answers in `records`.
    kept_bytes: usize,
    records: HashMap<Name, KeyRecord>,
}

struct ParsedKey {
    origin: Origin,
    issued_at: Millis,
}

impl KeyStore {
    pub fn new(me: Origin) -> Self {
        Self { me, issued: 0, kept_bytes: 0, records: HashMap::new() }
    }

    /// Issues a key for one call.
    pub fn issue(&mut self, now: Millis) -> Name {
        self.issued += 1;
        let Origin { instance, incarnation } = &self.me;
        format!("{instance}~{incarnation:x}~{now}~{}", self.issued).into()
    }

    /// A caller wants a call to run under the key.
    pub fn begin(&mut self, key: &Name, account: &Name, call: u64, now: Millis) -> KeyDecision {
        let issued_at = match self.issued_at(key, now) {
            Ok(issued_at) => issued_at,
            Err(refused) => return refused,
        };
        if let Some(record) = self.records.get_mut(key) {
            return record.repeat(account, call);
        }
        self.forget_expired(now);
        if self.records.len() >= MAX_KEYS {
            return KeyDecision::Full;
        }
        let state = KeyState::Running(Vec::new());
        self.insert(key, account, Some(call), issued_at, state);
        KeyDecision::Run
    }

    /// Says how a call that [`KeyDecision::Run`] allowed ended. One that was not
    /// run frees its key for a repeat.
    pub fn end(&mut self, key: &Name, outcome: KeyOutcome) {
        let Some(record) = self.records.get_mut(key) else { return };
        let bytes = outcome.kept_bytes();
        let kept = if self.kept_bytes + bytes > MAX_KEPT_BYTES {
            KeyOutcome::Unknown
        } else {
            self.kept_bytes += bytes;
            outcome.clone()
        };
        let ended = KeyState::Ended(kept);
        if let KeyState::Running(waiters) = std::mem::replace(&mut record.state, ended) {
            for waiter in waiters {
                // A waiter that is gone needs no outcome.
                let _ = waiter.send(outcome.clone());
            }
        }
        if outcome == KeyOutcome::NotRun {
            self.records.remove(key);
        }
    }

    /// Another router asks what became of a key. A key that was not used yet
    /// never will be, so that "not run" stays true.
    pub fn query_or_seal(&mut self, key: &Name, account: &Name, now: Millis) -> KeyDecision {
        let issued_at = match self.issued_at(key, now) {
            Ok(issued_at) => issued_at,
            Err(refused) => return refused,
        };
        if let Some(record) = self.records.get_mut(key) {
            let call = record.call.unwrap_or(0);
            return record.repeat(account, call);
        }
        if self.records.len() >= MAX_KEYS {
            return KeyDecision::Full;
        }
        self.insert(key, account, None, issued_at, KeyState::Sealed);
        KeyDecision::Sealed
    }

    /// When this life issued the key, or why it is not served here.
    fn issued_at(&self, key: &str, now: Millis) -> Result<Millis, KeyDecision> {
        let parsed = parse(key).ok_or(KeyDecision::NotIssued)?;
        if parsed.origin != self.me {
            return Err(KeyDecision::Foreign(parsed.origin));
        }
        if now.saturating_sub(parsed.issued_at) >= KEY_LIFETIME {
            return Err(KeyDecision::Expired);
        }
        Ok(parsed.issued_at)
    }

    fn insert(
        &mut self,
        key: &Name,
        account: &Name,
        call: Option<u64>,
        issued_at: Millis,
        state: KeyState,
    ) {
        let record = KeyRecord { account: Name::clone(account), call, issued_at, state };
        self.records.insert(Name::clone(key), record);
    }

    /// Drops records whose keys are refused as expired anyway. A running call
    /// stays until it ends.
    fn forget_expired(&mut self, now: Millis) {
        if self.records.len() < MAX_KEYS && self.kept_bytes < MAX_KEPT_BYTES {
            return;
        }
        let mut freed = 0;
        self.records.retain(|_, record| {
            let running = matches!(record.state, KeyState::Running(_));
            let keep = running || now.saturating_sub(record.issued_at) < KEY_LIFETIME;
            if let (false, KeyState::Ended(outcome)) = (keep, &record.state) {
                freed += outcome.kept_bytes();
            }
            keep
        });
        self.kept_bytes -= freed;
    }
}

impl KeyRecord {
    fn repeat(&mut self, account: &Name, call: u64) -> KeyDecision {
        if self.account != *account {
            return KeyDecision::Reused;
        }
        if let KeyState::Sealed = self.state {
            return KeyDecision::Sealed;
        }
        if self.call != Some(call) {
            return KeyDecision::Reused;
        }
        match &mut self.state {
            KeyState::Running(waiters) => {
                let (sender, receiver) = oneshot::channel();
                waiters.push(sender);
                KeyDecision::Join(receiver)
            }
            KeyState::Ended(outcome) => KeyDecision::Ended(outcome.clone()),
            KeyState::Sealed => KeyDecision::Sealed,
        }
    }
}

fn parse(key: &str) -> Option<ParsedKey> {
    if key.len() > MAX_KEY_BYTES {
        return None;
    }
    let mut parts = key.split('~');
    let instance = parts.next().filter(|part| !part.is_empty())?;
    let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
    let issued_at = parts.next()?.parse().ok()?;
    parts.next()?.parse::<u64>().ok()?;
    let origin = Origin { instance: instance.into(), incarnation };
    parts.next().is_none().then_some(ParsedKey { origin, issued_at })
}
