//! What the gateway needs of a platform: how requests are written there, and
//! where configuration and targets are published.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use ntex::http::HeaderMap;
use route::RouteTable;
use target::{LoadReport, RequestProfile, TargetEntry, TargetRecord};
use thiserror::Error;

/// What a caller's request says beside method, path and body.
#[derive(Clone, Debug, Default)]
pub struct CallMetadata {
    /// Names one attempt of the caller; repeated in the answer.
    pub id: Option<Name>,
    /// Time that the caller will wait, in milliseconds.
    pub deadline_ms: Option<u64>,
    pub credential: Option<Name>,
    /// Empty for requests that describe no prompt.
    pub shape: RequestProfile,
    /// Id of the last event that the caller has of an earlier stream.
    pub last_event_id: Option<u64>,
}

/// What the gateway tells a target of a request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedMetadata<'a> {
    /// Time left, in milliseconds.
    pub deadline_ms: u64,
    pub account: Option<&'a str>,
    /// The target for which the request is meant.
    pub target: &'a TargetEntry,
    /// Go on after this event of a stream that broke off.
    pub last_event_id: Option<u64>,
}

/// What a target's answer says beside status and body.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Id of the request that it answers.
    pub id: Option<Name>,
    /// The target says that it did not run the request.
    pub was_not_run: bool,
    /// The answer comes from a target's work, not from something on the way.
    pub is_signed: bool,
    pub load: Option<LoadReport>,
}

/// A caller's question which addresses to use.
#[derive(Clone, Debug, Default)]
pub struct AddressQuery {
    /// Failure domain of the caller.
    pub domain: Option<Name>,
}

/// How requests and answers are written on a platform.
pub trait CallFormat: fmt::Debug + Send + Sync + 'static {
    /// Reads what a request says of itself.
    fn read_call(&self, headers: &HeaderMap) -> CallMetadata;
    /// Sets what the fleet says to a target, whatever the caller sent.
    fn write_call(&self, headers: &mut http::HeaderMap, head: &ForwardedMetadata<'_>);
    /// Reads what an answer says of itself.
    fn read_response(
        &self,
        status: http::StatusCode,
        headers: &http::HeaderMap,
    ) -> ResponseMetadata;
    /// Header that repeats the request's id in refusals.
    fn id_header(&self) -> http::HeaderName;
    /// Path at which readiness is asked.
    fn ready_path(&self) -> &str;
    /// Path at which addresses are asked.
    fn address_path(&self) -> &str;
    fn read_address_query(&self, query: &str) -> AddressQuery;
    /// Body of an address answer, as JSON; `lease_s` is how long it holds.
    fn write_address_response(&self, addresses: &[SocketAddr], lease_s: f64) -> Vec<u8>;
}

/// Changes of configuration and targets.
#[derive(Clone, Debug, Default)]
pub struct SourceUpdate {
    /// Revision up to which it is complete.
    pub revision: u64,
    /// The newest configuration, if it is among the changes.
    pub table: Option<RouteTable>,
    pub records: Vec<TargetRecord>,
    /// Items that were not understood, with the reason.
    pub unreadable: Vec<(String, String)>,
}

/// Why the source gave nothing.
#[derive(Debug, Error)]
pub enum SourceError {
    /// The changes after the revision are no longer kept.
    #[error("step=watch: changes after revision {after} are no longer kept")]
    Compacted { after: u64 },
    /// It answered, but not now: too many calls, or not available.
    #[error("step={step}: answered with status {status}")]
    Busy { step: &'static str, status: u16 },
    #[error("step={step}: {cause}")]
    Failed { step: &'static str, cause: String },
}

/// Where configuration and targets are published.
pub trait StateSource {
    /// Everything that is published.
    fn read_all(&mut self) -> impl Future<Output = Result<SourceUpdate, SourceError>>;
    /// Changes after a revision, as soon as there are any, or none after
    /// `wait`.
    fn read_changes(
        &mut self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<SourceUpdate, SourceError>>;
}
