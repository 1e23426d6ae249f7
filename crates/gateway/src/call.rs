//! The states of a request before it is sent: received, routed and admitted. Each
//! state is a type, and each step converts one state into the next. In names, a
//! call is one request of a caller with all attempts to send it to a target.

use std::sync::Arc;
use std::time::Duration;

use admit::ShareVerdict;
use base::{Millis, Name};
use http::{Method, Version};
use hyper::body::Bytes;
use ntex::http::{HeaderMap, Request};
use quarantine::request_identity;
use route::{RouteSpec, RouteTable};
use sse::OrderedEvents;
use target::RequestProfile;

use crate::body::BodyReader;
use crate::context::GatewayContext;
use crate::held::HeldBytes;
use crate::platform::CallMetadata;
use crate::refusal::{Refusal, RefusalCause};
use crate::streams::TakenUpStream;

/// Time that a caller may take to send a complete body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a router without a configuration is likely to have one, in
/// milliseconds.
const NO_CONFIGURATION_RETRY_MS: u64 = 300;

/// A request whose head has been read.
#[derive(Debug)]
pub(crate) struct ReceivedCall {
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) path_and_query: String,
    /// Length of the path at the start of `path_and_query`, in bytes.
    pub(crate) path_len: usize,
    pub(crate) host: String,
    pub(crate) headers: HeaderMap,
    pub(crate) metadata: CallMetadata,
    /// Whether the caller knows chunks. One that does not, of HTTP/1.0, takes the end
    /// of its connection for the end of a response without a length.
    pub(crate) accepts_chunks: bool,
    pub(crate) received_at: Millis,
}

/// A request whose route and client account are known.
#[derive(Debug)]
pub(crate) struct RoutedCall {
    pub(crate) received: ReceivedCall,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) route: RouteSpec,
    pub(crate) service: Name,
    /// None on public routes.
    pub(crate) account: Option<Name>,
    /// When the request times out, on the process's clock: by the caller's or the
    /// route's limit, whichever is shorter.
    pub(crate) expires_at: Millis,
}

/// A request with its complete body, which has been counted towards its account's
/// share. Over the share, it is sent only to a target with spare capacity.
#[derive(Debug)]
pub(crate) struct AdmittedCall {
    pub(crate) routed: RoutedCall,
    pub(crate) body: HeldBody,
    /// Identifies the request when it comes again.
    pub(crate) identity: u64,
    /// Cost charged to the account's share, in tokens; 0 where shares don't apply.
    pub(crate) cost: f64,
    /// None where shares don't apply: plain services and public routes.
    pub(crate) share: Option<ShareVerdict>,
    /// The stream that the request takes up.
    pub(crate) taken_up: Option<TakenUpStream>,
}

impl AdmittedCall {
    pub(crate) fn is_within_share(&self) -> bool {
        self.share.is_none_or(|share| share.is_within)
    }

    /// Returns the events of the stream that the request begins or takes up, none of which has
    /// been received.
    pub(crate) fn events(&self) -> OrderedEvents {
        if !self.routed.route.kind.is_resumable() {
            return OrderedEvents::of_one_run();
        }
        OrderedEvents::resumable(self.routed.received.metadata.last_event_id)
    }
}

impl ReceivedCall {
    pub(crate) fn read(context: &GatewayContext, request: &mut Request) -> Self {
        let uri = request.uri();
        let path_and_query = uri.path_and_query().map_or("/", |uri| uri.as_str()).to_owned();
        let path_len = uri.path().len();
        let headers = request.headers().clone();
        let host = headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
        let host = host.or_else(|| uri.host()).unwrap_or_default().to_owned();
        let metadata = context.format.read_call(&headers);
        let method = request.method().clone();
        Self {
            method,
            path_and_query,
            path_len,
            host,
            headers,
            metadata,
            accepts_chunks: request.version() >= Version::HTTP_11,
            received_at: context.now(),
        }
    }

    pub(crate) fn id(&self) -> &str {
        self.metadata.id.as_deref().unwrap_or("-")
    }

    /// Returns the length of the body that the caller declares, in bytes.
    fn declared_bytes(&self) -> Option<usize> {
        let length = self.headers.get(http::header::CONTENT_LENGTH)?;
        length.to_str().ok()?.trim().parse().ok()
    }

    /// Returns the minimum size of the request line and the headers on the wire,
    /// in bytes.
    fn head_bytes(&self) -> usize {
        // The request line adds two spaces, the version and CRLF; each header
        // adds a colon, a space and CRLF.
        let request_line = self.method.as_str().len() + self.path_and_query.len() + 12;
        let headers = self.headers.iter();
        request_line
            + headers.map(|(name, value)| name.as_str().len() + value.len() + 4).sum::<usize>()
    }

    /// Finds the route, the service and the client account.
    ///
    /// # Errors
    /// Refuses the request if there is no configuration, no matching route, no
    /// account with the credential or no service, or if the head is too large.
    pub(crate) fn route(self, context: &GatewayContext) -> Result<RoutedCall, Refusal> {
        let refuse = |cause| Err(Refusal::new(cause));
        let Some(table) = context.table() else {
            let cause = RefusalCause::NoConfiguration;
            return Err(Refusal::retry_after(cause, NO_CONFIGURATION_RETRY_MS));
        };
        if self.head_bytes() > table.limits.head_bytes {
            return refuse(RefusalCause::HeadTooLarge);
        }
        let path = &self.path_and_query[..self.path_len];
        let Some(route) = table.route(&self.host, path).cloned() else {
            return refuse(RefusalCause::NoRoute);
        };
        let account = match &self.metadata.credential {
            _ if route.public => None,
            Some(credential) => match table.account(credential) {
                Some(account) => Some(Name::clone(account)),
                None => return refuse(RefusalCause::BadCredential),
            },
            None => return refuse(RefusalCause::BadCredential),
        };
        // A stream goes on at the service that began it.
        let id = self.metadata.resumed_id.as_deref().filter(|_| route.kind.is_resumable());
        let hash = base::stable_hash(&[id.unwrap_or(self.id())]);
        let Some(service) = route.select_service(hash).cloned() else {
            return refuse(RefusalCause::NoTarget);
        };
        let timeout_ms = self.metadata.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        let expires_at = self.received_at.saturating_add(timeout_ms);
        Ok(RoutedCall { received: self, table, route, service, account, expires_at })
    }
}

impl RoutedCall {
    pub(crate) fn id(&self) -> &str {
        self.received.id()
    }

    pub(crate) fn profile(&self) -> &RequestProfile {
        &self.received.metadata.profile
    }

    /// Returns what identifies the request with its body when it comes again.
    pub(crate) fn identity(&self, body: &[u8]) -> u64 {
        let received = &self.received;
        let method = received.method.as_str();
        let path = &received.path_and_query;
        request_identity(method, &received.host, path, self.account.as_deref(), body)
    }

    /// Returns the memory of the service's engines in tokens; none for a plain
    /// service.
    pub(crate) fn engine_memory(&self) -> Option<u64> {
        let spec = self.table.service(&self.service)?;
        spec.engine.as_ref().map(|engine| engine.memory_tokens)
    }

    /// Returns the time left until the request times out, in milliseconds.
    pub(crate) fn remaining_ms(&self, now: Millis) -> u64 {
        self.expires_at.saturating_sub(now)
    }

    /// Reads the complete body, which counts against the memory of the process.
    ///
    /// # Errors
    /// Refuses the request if the body is too large, arrives too slowly, breaks off
    /// or does not fit into the memory.
    pub(crate) async fn read_body(
        &self,
        context: &Arc<GatewayContext>,
        reader: &mut BodyReader,
    ) -> Result<HeldBody, Refusal> {
        let max_bytes = self.table.limits.body_bytes;
        let declared = self.received.declared_bytes();
        if declared.is_some_and(|declared| declared > max_bytes) {
            return Err(Refusal::new(RefusalCause::BodyTooLarge));
        }
        let held = HeldBytes::new(context, self.account.as_ref(), declared.unwrap_or_default())?;
        let reading = async {
            let mut body = Vec::with_capacity(declared.unwrap_or_default());
            while let Some(chunk) = reader.next_chunk().await {
                let chunk = chunk.map_err(|_| Refusal::new(RefusalCause::BadRequest))?;
                if body.len() + chunk.len() > max_bytes {
                    return Err(Refusal::new(RefusalCause::BodyTooLarge));
                }
                if declared.is_none() {
                    held.grow(chunk.len())?;
                }
                body.extend_from_slice(&chunk);
            }
            Ok(Bytes::from(body))
        };
        let read = tokio::time::timeout(BODY_TIMEOUT, reading).await;
        let bytes = read.unwrap_or(Err(Refusal::new(RefusalCause::BodyTooSlow)))?;
        Ok(HeldBody { bytes, held: Some(held) })
    }
}

/// The body of a request, which counts against the memory of the process.
#[derive(Debug)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Bytes,
    /// None once the body has been dropped.
    held: Option<HeldBytes>,
}

impl HeldBody {
    /// Drops the body of a request that will not be sent again.
    pub(crate) fn drop_bytes(&mut self) {
        self.bytes = Bytes::new();
        self.held = None;
    }

    /// Frees the body of a request that has been answered. Its bytes count until the
    /// caller has taken the response, as does the response itself.
    pub(crate) fn free_bytes(&mut self) {
        self.bytes = Bytes::new();
    }

    /// Counts the bytes of a response that is buffered for the same request.
    ///
    /// # Errors
    /// Returns a refusal if they do not fit into the memory.
    pub(crate) fn hold_response(&self, bytes: usize) -> Result<(), Refusal> {
        self.held.as_ref().map_or(Ok(()), |held| held.hold_response(bytes))
    }
}
