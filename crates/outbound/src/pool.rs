//! Pool of idle connections, grouped by peer.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::connection::Connection;

/// Limits on idle connections.
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// How long a connection stays in the pool if its peer advertised no idle
    /// timeout. Such peers may close it after less than a second.
    pub default_idle_timeout: Duration,
    /// Subtracted from an advertised idle timeout, so that a request still
    /// reaches the peer before the peer closes the connection.
    pub idle_timeout_margin: Duration,
    /// Longest time that a connection stays in the pool, whatever the peer
    /// advertised.
    pub max_idle_timeout: Duration,
    /// Largest number of idle connections for one peer.
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

/// Returns how many idle connections one router may keep to a peer.
///
/// Many routers keep connections to few targets, and a target resets
/// connections beyond its `cap`, including those that carry requests. The cap
/// is therefore first reserved for the connections that all routers together
/// may have in use, at most `in_use`; the rest is divided evenly among the
/// routers.
pub fn max_idle_connections(cap: u32, in_use: u32, routers: usize) -> usize {
    let rest = cap.saturating_sub(in_use) as usize;
    rest / routers.max(1)
}

/// Identifies a peer within a pool.
pub trait PoolKey: Clone + Eq + Hash {}
impl<K: Clone + Eq + Hash> PoolKey for K {}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// A pool of idle connections that hands out the newest one first.
#[derive(Debug)]
pub struct ConnectionPool<K: PoolKey> {
    settings: PoolSettings,
    idle: HashMap<K, Vec<IdleConnection>>,
}

impl<K: PoolKey> ConnectionPool<K> {
    pub fn new(settings: PoolSettings) -> Self {
        Self { settings, idle: HashMap::new() }
    }

    /// Removes and returns the newest usable connection to a peer. Connections
    /// that have expired or can't take a request are dropped on the way.
    pub fn take(&mut self, key: &K) -> Option<Connection> {
        let idle = self.idle.get_mut(key)?;
        let now = Instant::now();
        while let Some(newest) = idle.pop() {
            if newest.expires_at > now && newest.connection.is_idle() {
                return Some(newest.connection);
            }
        }
        None
    }

    /// Adds a connection whose last response was read completely.
    ///
    /// `advertised_timeout` is the peer's idle timeout, if it sent one. The
    /// connection is dropped if the peer already has `max_idle` or
    /// [`PoolSettings::max_idle_per_peer`] idle connections.
    pub fn put(
        &mut self,
        key: K,
        connection: Connection,
        advertised_timeout: Option<Duration>,
        max_idle: usize,
    ) {
        let settings = self.settings;
        let idle_timeout = advertised_timeout.map_or(settings.default_idle_timeout, |timeout| {
            timeout.saturating_sub(settings.idle_timeout_margin)
        });
        let expires_at = Instant::now() + idle_timeout.min(settings.max_idle_timeout);
        let idle = self.idle.entry(key).or_default();
        if idle.len() < settings.max_idle_per_peer.min(max_idle) {
            idle.push(IdleConnection { connection, expires_at });
        }
    }

    /// Closes expired connections and all connections to peers for which
    /// `is_known` returns false.
    pub fn sweep(&mut self, is_known: impl Fn(&K) -> bool) {
        let now = Instant::now();
        self.idle.retain(|key, idle| {
            idle.retain(|entry| entry.expires_at > now);
            !idle.is_empty() && is_known(key)
        });
    }
}
