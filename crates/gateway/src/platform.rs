//! Interface between the gateway and a platform: the platform's headers, and the
//! source of its configuration and targets.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use base::{Millis, Name};
use ntex::http::HeaderMap;
use route::RouteTable;
use target::{DomainRecord, LoadReport, RequestProfile, TargetEntry, TargetRecord};
use thiserror::Error;

/// Metadata of a caller's request, read from its headers.
#[derive(Clone, Debug, Default)]
pub struct CallMetadata {
    /// Identifies one attempt of the caller; repeated in the response.
    pub id: Option<Name>,
    /// Time that the caller will wait, counted from the arrival of the request,
    /// in milliseconds.
    pub deadline_ms: Option<u64>,
    pub credential: Option<Name>,
    /// Empty for requests that describe no prompt.
    pub profile: RequestProfile,
    /// Largest number of tokens that the target may generate.
    pub max_output_tokens: Option<u32>,
    /// Id of the last event that the caller received of an earlier stream.
    pub last_event_id: Option<u64>,
    /// Id of the attempt whose response brought the first event of that stream.
    pub resumed_id: Option<Name>,
}

/// Metadata that the gateway sets in the headers of a request to a target.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedMetadata<'a> {
    /// Time left until the request times out, in milliseconds.
    pub deadline_ms: u64,
    pub account: Option<&'a str>,
    /// The target that the request is intended for.
    pub target: &'a TargetEntry,
    /// Id of the event after which the target resumes a stream that broke off.
    pub last_event_id: Option<u64>,
}

/// Metadata of a target's response to a request, read from its status and headers.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// The target states that it did not run the request.
    pub was_not_run: bool,
    /// The response was produced by a target, not by an intermediary.
    pub is_signed: bool,
    pub load: Option<LoadReport>,
    pub rate_limit: NamedLimit,
    /// The target states that it leaves.
    pub is_leaving: bool,
    /// For how long the target wants no request, if it turned this one away.
    pub retry_delay: RetryDelay,
}

/// The time after which a target takes a request again, by a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetryDelay {
    #[default]
    None,
    Millis(Millis),
    /// Not a time span.
    Unreadable,
}

/// The request rate that a target names in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    #[default]
    None,
    /// Requests per second that the target takes from all routers together.
    PerSecond(f32),
    /// Not a rate.
    Unreadable,
}

impl NamedLimit {
    /// Returns the limit in requests per second, if there is one that can be read.
    pub fn per_second(self) -> Option<f32> {
        match self {
            Self::PerSecond(limit) => Some(limit),
            Self::None | Self::Unreadable => None,
        }
    }
}

/// A caller's query for the router addresses to use.
#[derive(Clone, Debug, Default)]
pub struct AddressQuery {
    /// Failure domain of the caller.
    pub domain: Option<Name>,
}

/// How a platform encodes request and response headers.
pub trait CallFormat: fmt::Debug + Send + Sync + 'static {
    /// Reads the metadata of a request from its headers.
    fn read_call(&self, headers: &HeaderMap) -> CallMetadata;
    /// Sets the headers that the fleet sends to a target, replacing what the
    /// caller sent.
    fn write_call(&self, headers: &mut http::HeaderMap, metadata: &ForwardedMetadata<'_>);
    /// Reads the metadata of a response from its status and headers, once its id was checked.
    fn read_response(
        &self,
        status: http::StatusCode,
        headers: &http::HeaderMap,
    ) -> ResponseMetadata;
    /// Returns the header that repeats the request's id in responses and refusals.
    fn id_header(&self) -> http::HeaderName;
    /// Returns the path of the readiness check.
    fn ready_path(&self) -> &str;
    /// Returns the path at which callers query addresses.
    fn address_path(&self) -> &str;
    /// Parses the query string of an address query.
    fn read_address_query(&self, query: &str) -> AddressQuery;
    /// Encodes the response to an address query as JSON. The response is valid
    /// for `lease_s` seconds.
    fn write_address_response(&self, addresses: &[SocketAddr], lease_s: f64) -> Vec<u8>;
}

/// Changes of configuration and targets.
#[derive(Clone, Debug, Default)]
pub struct SourceUpdate {
    /// Revision up to which the update is complete.
    pub revision: u64,
    /// The newest configuration, if the update contains one.
    pub table: Option<RouteTable>,
    pub records: Vec<TargetRecord>,
    /// Failure domains that are evacuated or taken back.
    pub domains: Vec<DomainRecord>,
    /// Keys of items that could not be decoded, with the reason.
    pub unreadable: Vec<(String, String)>,
}

/// Why a read from the source failed.
#[derive(Debug, Error)]
pub enum SourceError {
    /// The source has discarded changes after the revision.
    #[error("step=watch: changes after revision {after} are no longer kept")]
    Compacted { after: u64 },
    /// The source was restored from a copy that may lack its last changes.
    #[error("step={step}: the source was restored from a copy")]
    Restored { step: &'static str },
    /// The source is temporarily unavailable or limits the rate of calls.
    #[error("step={step}: answered with status {status}")]
    Busy { step: &'static str, status: u16 },
    /// This machine lacks resources of its own to read, which says nothing about the source.
    #[error("step={step}: {cause}")]
    Exhausted { step: &'static str, cause: String },
    /// The source did not respond in time. Says nothing about it if the thread that waited
    /// was late itself.
    #[error("step={step}: {cause}")]
    TimedOut { step: &'static str, cause: String },
    #[error("step={step}: {cause}")]
    Failed { step: &'static str, cause: String },
}

impl SourceError {
    /// Whether the read failed for a lack of this router's own, which says nothing about
    /// the source. `was_late` tells whether the thread was late during the read.
    pub fn is_own_lack(&self, was_late: bool) -> bool {
        match self {
            Self::Exhausted { .. } => true,
            Self::TimedOut { .. } => was_late,
            Self::Compacted { .. }
            | Self::Restored { .. }
            | Self::Busy { .. }
            | Self::Failed { .. } => false,
        }
    }
}

/// Where configuration and targets are published.
pub trait StateSource {
    /// Reads everything that is published.
    fn read_all(&mut self) -> impl Future<Output = Result<SourceUpdate, SourceError>>;
    /// Reads the changes after a revision. Waits up to `wait` for changes, then
    /// returns an empty update.
    fn read_changes(
        &mut self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<SourceUpdate, SourceError>>;
}
