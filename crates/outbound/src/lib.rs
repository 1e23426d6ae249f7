//! HTTP/1.1 connections to targets, peers and the platform: one connection in
//! hand, no hidden repeats, and a clear line between "not sent" and "sent".

mod connection;
mod fetch;
mod pool;

pub use connection::{Connection, ExchangeError, connect};
pub use fetch::{FetchClient, FetchError};
pub use pool::{ConnectionPool, PoolKey, PoolSettings, max_idle_connections};
