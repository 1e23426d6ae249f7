//! HTTP clients for other routers and platform services.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use base::Name;
use http::request::Builder;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Bytes;
use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::time::Seconds;
use outbound::FetchClient;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::context::RouterContext;

/// Timeout of a message between routers including its response, in
/// milliseconds.
const PEER_TIMEOUT_MS: u64 = 600;
/// Assumed size of the HTTP headers of a message and its response, in bytes,
/// for the count of control traffic.
pub(crate) const HTTP_OVERHEAD_BYTES: usize = 260;
/// Maximum number of connections of one client. With the library's "no limit"
/// setting, a second connection to the same address would wait until an
/// unrelated one ends.
const MAX_CONNECTIONS: usize = 100_000;
/// Maximum size of a response to [`PlatformClient`] or [`TargetClient`], in bytes.
const MAX_PLATFORM_BYTES: usize = 4 << 20;

/// Maximum number of idle clients of a [`PlatformClient`]. Beyond it all are dropped, as
/// most then belong to peers that are gone.
const MAX_IDLE_CLIENTS: usize = 4_096;

/// An error while exchanging a message with a peer.
#[derive(Debug, Error)]
pub(crate) enum PeerError {
    #[error("step=resolve peer={peer}: peer is not in the instance list")]
    Unlisted { peer: Name },
    #[error("step={step} peer={peer}: {cause}")]
    Failed { step: &'static str, peer: Name, cause: String },
}

/// Client for messages to the other routers.
#[derive(Clone, Debug)]
pub(crate) struct PeerClient {
    client: Client,
    context: Arc<RouterContext>,
}

impl PeerClient {
    /// Creates a client for the calling thread.
    ///
    /// # Errors
    /// Returns an error if the connector of the HTTP library does not start.
    pub(crate) async fn start(context: &Arc<RouterContext>) -> anyhow::Result<Self> {
        let connector = Connector::new().limit(MAX_CONNECTIONS).keep_alive(Seconds(10));
        let client = build_client(connector).await?;
        Ok(Self { client, context: Arc::clone(context) })
    }

    /// Sends `message` to `/peer/v1/{step}` of a peer and decodes the response.
    ///
    /// # Errors
    /// Returns an error if the peer is not listed, its link is cut by a test,
    /// it does not respond in time, or its response is not an `A`.
    pub(crate) async fn send_with_timeout<T: Serialize, A: DeserializeOwned>(
        &self,
        peer: &Name,
        step: &'static str,
        message: &T,
        timeout_ms: u64,
    ) -> Result<A, PeerError> {
        let address = self.address_of(peer)?;
        let exchange = self.exchange(address, step, message);
        let timeout = Duration::from_millis(timeout_ms);
        let failed = |cause: String| PeerError::Failed { step, peer: Name::clone(peer), cause };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(cause)) => Err(failed(format!("{cause:#}"))),
            Err(_) => Err(failed(format!("no answer in {timeout_ms} ms"))),
        }
    }

    /// Like [`PeerClient::send_with_timeout`], with the default timeout for
    /// messages between routers.
    pub(crate) async fn send<T: Serialize, A: DeserializeOwned>(
        &self,
        peer: &Name,
        step: &'static str,
        message: &T,
    ) -> Result<A, PeerError> {
        self.send_with_timeout(peer, step, message, PEER_TIMEOUT_MS).await
    }

    fn address_of(&self, peer: &Name) -> Result<SocketAddr, PeerError> {
        let core = self.context.core();
        if core.cut_peers.contains(peer) {
            let cause = "link is cut by the test".into();
            return Err(PeerError::Failed { step: "connect", peer: Name::clone(peer), cause });
        }
        let found = core.members.peer(peer).map(|(address, _)| address);
        found.ok_or_else(|| PeerError::Unlisted { peer: Name::clone(peer) })
    }

    async fn exchange<T: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        step: &str,
        message: &T,
    ) -> anyhow::Result<A> {
        let body = wire::encode(message)?;
        let sent_bytes = body.len();
        let settings = &self.context.settings;
        let response = self
            .client
            .post(format!("http://{address}/peer/v1/{step}"))
            .header(wire::SECRET_HEADER, settings.secret.as_str())
            .header("x-poplar-from", &*settings.instance)
            .send_body(body)
            .await
            .map_err(|cause| anyhow::anyhow!("{cause}"))?;
        let bytes = response.body().limit(wire::MAX_MESSAGE_BYTES).await;
        let bytes = bytes.map_err(|cause| anyhow::anyhow!("{cause}"))?;
        self.context.count_control_message(sent_bytes + bytes.len() + HTTP_OVERHEAD_BYTES);
        let status = response.status();
        anyhow::ensure!(status.is_success(), "answered with status {}", status.as_u16());
        Ok(wire::decode(&bytes)?)
    }
}

/// Client for the configuration service and the instance list. Their responses may end with the
/// connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlatformClient {
    /// Idle clients by peer.
    idle: Rc<RefCell<HashMap<SocketAddr, FetchClient>>>,
}

impl PlatformClient {
    /// Reads JSON. Returns `None` if the response has no content (status 204).
    ///
    /// # Errors
    /// Returns an error if there is no response in time, its status is not a
    /// success, or its body is not JSON of an `A`.
    pub(crate) async fn read<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout_ms: u64,
    ) -> anyhow::Result<Option<A>> {
        let idle = self.idle.borrow_mut().remove(&address);
        let mut client = idle.unwrap_or_else(|| FetchClient::new(address, MAX_PLATFORM_BYTES));
        let request = Request::builder().method(Method::GET).uri(path);
        let read = async {
            let timeout = Duration::from_millis(timeout_ms);
            let response = client.fetch_request(request, Bytes::new(), timeout).await?;
            let mut idle = self.idle.borrow_mut();
            if idle.len() >= MAX_IDLE_CLIENTS {
                idle.clear();
            }
            idle.insert(address, client);
            decode_json(&response)
        };
        read.await.with_context(|| format!("step=read peer={address} path={path}"))
    }
}

/// Client for the load reports, states and orders of targets. These responses name no request, so
/// each gets a connection of its own: a late one can't be taken for that to a later request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetClient;

impl TargetClient {
    /// Reads JSON. Returns `None` if the response has no content (status 204).
    ///
    /// # Errors
    /// Returns the same errors as [`PlatformClient::read`].
    pub(crate) async fn read<A: DeserializeOwned>(
        self,
        address: SocketAddr,
        path: &str,
        timeout_ms: u64,
    ) -> anyhow::Result<Option<A>> {
        let request = Request::builder().method(Method::GET).uri(path);
        Self::exchange(address, request, Bytes::new(), timeout_ms)
            .await
            .with_context(|| format!("step=read peer={address} path={path}"))
    }

    /// Sends JSON and reads the response as JSON.
    ///
    /// # Errors
    /// Returns the same errors as [`PlatformClient::read`].
    pub(crate) async fn send<T: Serialize, A: DeserializeOwned>(
        self,
        address: SocketAddr,
        path: &str,
        message: &T,
        timeout_ms: u64,
    ) -> anyhow::Result<Option<A>> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(http::header::CONTENT_TYPE, "application/json");
        let body = Bytes::from(serde_json::to_vec(message)?);
        Self::exchange(address, request, body, timeout_ms)
            .await
            .with_context(|| format!("step=send peer={address} path={path}"))
    }

    async fn exchange<A: DeserializeOwned>(
        address: SocketAddr,
        request: Builder,
        body: Bytes,
        timeout_ms: u64,
    ) -> anyhow::Result<Option<A>> {
        let mut client = FetchClient::new(address, MAX_PLATFORM_BYTES);
        let request = request.header(http::header::CONNECTION, "close");
        let timeout = Duration::from_millis(timeout_ms);
        decode_json(&client.fetch_request(request, body, timeout).await?)
    }
}

fn decode_json<A: DeserializeOwned>(response: &Response<Bytes>) -> anyhow::Result<Option<A>> {
    let status = response.status();
    if status == StatusCode::NO_CONTENT {
        return Ok(None);
    }
    anyhow::ensure!(status.is_success(), "answered with status {}", status.as_u16());
    Ok(Some(serde_json::from_slice(response.body())?))
}

async fn build_client(connector: Connector) -> anyhow::Result<Client> {
    Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .build(SharedCfg::default())
        .await
        .map_err(|cause| anyhow::anyhow!("step=start_client: {cause}"))
}
