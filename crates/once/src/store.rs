//! Store of the keys that one router issued.

use std::collections::HashMap;

use base::{Millis, Name, Origin};
use tokio::sync::oneshot;

/// Time for which a key is valid after it was issued, in milliseconds.
pub const KEY_LIFETIME: Millis = 600_000;
/// Maximum number of key records.
const MAX_KEYS: usize = 100_000;
/// Maximum total size of stored response bodies, in bytes. A repeated call whose
/// response was not stored gets the outcome "unknown".
const MAX_KEPT_BYTES: usize = 32 << 20;
/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// How a call under a key ended.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyOutcome {
    /// The target responded.
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
    /// The call is running; the senders are for repeated calls that wait for it.
    Running(Vec<oneshot::Sender<KeyOutcome>>),
    Ended(KeyOutcome),
    /// The key must never be used.
    Sealed,
}

#[derive(Debug)]
struct KeyRecord {
    account: Name,
    /// Digest of service, method, path and body; `None` for a sealed key.
    call_digest: Option<u64>,
    issued_at: Millis,
    state: KeyState,
}

/// What to do with a call under a key.
#[derive(Debug)]
pub enum KeyDecision {
    /// Run the call, then pass its outcome to [`KeyStore::end`].
    Run,
    /// The call is already running; the receiver gets its outcome.
    Join(oneshot::Receiver<KeyOutcome>),
    /// The call has already ended.
    Ended(KeyOutcome),
    /// Another router may have told its caller that the call will never run.
    Sealed,
    /// The key's lifetime has passed; its outcome may have been discarded.
    Expired,
    /// Another router, or another incarnation of this one, issued the key.
    Foreign(Origin),
    /// The key does not have the format of an issued key.
    NotIssued,
    /// The key was used for another call or by another account.
    Reused,
    /// The store has reached its maximum number of keys.
    Full,
}

/// Stores the keys that this incarnation of the router issued, with the state of
/// their calls.
#[derive(Debug)]
pub struct KeyStore {
    own_origin: Origin,
    /// Number of issued keys, which makes each key unique.
    issued: u64,
    /// Size of the response bodies in `records`, in bytes.
    kept_bytes: usize,
    records: HashMap<Name, KeyRecord>,
}

struct ParsedKey {
    origin: Origin,
    issued_at: Millis,
}

impl KeyStore {
    pub fn new(own_origin: Origin) -> Self {
        Self { own_origin, issued: 0, kept_bytes: 0, records: HashMap::new() }
    }

    /// Issues a key for one call.
    pub fn issue(&mut self, now: Millis) -> Name {
        self.issued += 1;
        let Origin { instance, incarnation } = &self.own_origin;
        format!("{instance}~{incarnation:x}~{now}~{}", self.issued).into()
    }

    /// Decides what to do with a call that a caller sends under the key.
    /// `call_digest` covers its service, method, path and body.
    pub fn begin(
        &mut self,
        key: &Name,
        account: &Name,
        call_digest: u64,
        now: Millis,
    ) -> KeyDecision {
        let issued_at = match self.issued_at(key, now) {
            Ok(issued_at) => issued_at,
            Err(refused) => return refused,
        };
        if let Some(record) = self.records.get_mut(key) {
            return record.handle_repeat(account, call_digest);
        }
        self.remove_expired(now);
        if self.records.len() >= MAX_KEYS {
            return KeyDecision::Full;
        }
        let state = KeyState::Running(Vec::new());
        self.insert(key, account, Some(call_digest), issued_at, state);
        KeyDecision::Run
    }

    /// Records the outcome of a call for which [`Self::begin`] returned
    /// [`KeyDecision::Run`], and passes it to the repeated calls that wait for
    /// it. After [`KeyOutcome::NotRun`] the key can be used again.
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
                // Sending fails if the waiting call was dropped.
                let _ = waiter.send(outcome.clone());
            }
        }
        if outcome == KeyOutcome::NotRun {
            self.records.remove(key);
        }
    }

    /// Looks up the state of a key for another router. A key that has not been
    /// used is sealed, so that the answer "not run" stays true.
    pub fn query_or_seal(&mut self, key: &Name, account: &Name, now: Millis) -> KeyDecision {
        let issued_at = match self.issued_at(key, now) {
            Ok(issued_at) => issued_at,
            Err(refused) => return refused,
        };
        if let Some(record) = self.records.get_mut(key) {
            let call_digest = record.call_digest.unwrap_or(0);
            return record.handle_repeat(account, call_digest);
        }
        if self.records.len() >= MAX_KEYS {
            return KeyDecision::Full;
        }
        self.insert(key, account, None, issued_at, KeyState::Sealed);
        KeyDecision::Sealed
    }

    /// Returns when this incarnation issued the key.
    ///
    /// # Errors
    /// The key was issued elsewhere, has expired or has an invalid format.
    fn issued_at(&self, key: &str, now: Millis) -> Result<Millis, KeyDecision> {
        let parsed = parse_key(key).ok_or(KeyDecision::NotIssued)?;
        if parsed.origin != self.own_origin {
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
        call_digest: Option<u64>,
        issued_at: Millis,
        state: KeyState,
    ) {
        let record = KeyRecord { account: Name::clone(account), call_digest, issued_at, state };
        self.records.insert(Name::clone(key), record);
    }

    /// Removes the records of expired keys when a limit is reached. Running calls
    /// keep their records until they end.
    fn remove_expired(&mut self, now: Millis) {
        if self.records.len() < MAX_KEYS && self.kept_bytes < MAX_KEPT_BYTES {
            return;
        }
        let mut freed = 0;
        self.records.retain(|_, record| {
            let is_running = matches!(record.state, KeyState::Running(_));
            let keep = is_running || now.saturating_sub(record.issued_at) < KEY_LIFETIME;
            if let (false, KeyState::Ended(outcome)) = (keep, &record.state) {
                freed += outcome.kept_bytes();
            }
            keep
        });
        self.kept_bytes -= freed;
    }
}

impl KeyRecord {
    /// Decides what to do with another call under a key that was used or sealed.
    fn handle_repeat(&mut self, account: &Name, call_digest: u64) -> KeyDecision {
        if self.account != *account {
            return KeyDecision::Reused;
        }
        if let KeyState::Sealed = self.state {
            return KeyDecision::Sealed;
        }
        if self.call_digest != Some(call_digest) {
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

/// Parses a key in the format of [`KeyStore::issue`].
fn parse_key(key: &str) -> Option<ParsedKey> {
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
