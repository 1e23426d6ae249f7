//! Kept connections by peer.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::connection::Connection;

/// Bounds of kept connections.
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// Time for which a connection without a stated timeout is kept; peers may
    /// close after less than a second without saying so.
    pub default_idle_timeout: Duration,
    /// Taken off a stated timeout: what a request needs to arrive.
    pub idle_timeout_margin: Duration,
    /// Longest time that a connection is kept, whatever is stated.
    pub max_idle_timeout: Duration,
    /// Connections kept for one peer.
    pub max_idle_per_peer: usize,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            default_idle_timeout: Duration::from_millis(300),
            idle_timeout_margin: Duration::from_millis(500),
            max_idle_timeout: Duration::from_secs(5),
            max_idle_per_peer: 8,
        }
    }
}

/// Connections that one router may keep for a peer.
///
/// Load pattern: many routers keep connections to few targets, and a target
/// resets what comes beyond its cap, requests included. What is in use by all
/// routers together, `in_use` at most, comes first; the rest of the cap is
/// shared evenly.
pub fn max_idle_connections(cap: u32, in_use: u32, routers: usize) -> usize {
    let rest = cap.saturating_sub(in_use) as usize;
    rest / routers.max(1)
}

/// What tells the peers of a pool apart.
pub trait PoolKey: Clone + Eq + Hash {}
impl<K: Clone + Eq + Hash> PoolKey for K {}

#[derive(Debug)]
struct KeptConnection {
    connection: Connection,
    until: Instant,
}

/// Kept connections; the newest is used first.
#[derive(Debug)]
pub struct ConnectionPool<K: PoolKey> {
    settings: PoolSettings,
    kept: HashMap<K, Vec<KeptConnection>>,
}

impl<K: PoolKey> ConnectionPool<K> {
    pub fn new(settings: PoolSettings) -> Self {
        Self { settings, kept: HashMap::new() }
    }

    /// A kept connection that is idle and not too old.
    pub fn take(&mut self, key: &K) -> Option<Connection> {
        let kept = self.kept.get_mut(key)?;
        let now = Instant::now();
        while let Some(newest) = kept.pop() {
            if newest.until > now && newest.connection.is_idle() {
                return Some(newest.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    ///
    /// `stated` is the idle timeout that the peer stated, if any; `most` the
    /// connections that may be kept for it, beside [`PoolSettings::max_idle_per_peer`].
    pub fn put(&mut self, key: K, connection: Connection, stated: Option<Duration>, most: usize) {
        let settings = self.settings;
        let usable = stated.map_or(settings.default_idle_timeout, |time| {
            time.saturating_sub(settings.idle_timeout_margin)
        });
        let until = Instant::now() + usable.min(settings.max_idle_timeout);
        let kept = self.kept.entry(key).or_default();
        if kept.len() < settings.max_idle_per_peer.min(most) {
            kept.push(KeptConnection { connection, until });
        }
    }

    /// Closes what is too old, and everything of peers that are gone.
    pub fn sweep(&mut self, is_known: impl Fn(&K) -> bool) {
        let now = Instant::now();
        self.kept.retain(|key, kept| {
            kept.retain(|kept| kept.until > now);
            !kept.is_empty() && is_known(key)
        });
    }
}
