//! HTTP clients: towards the other routers, the platform and the targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use base::Name;
use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse, Connector};
use ntex::time::Seconds;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::context::RouterContext;

/// Time for one message between routers, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 600;
/// Bytes of the HTTP headers of a message and its answer, for the count of
/// control traffic.
pub(crate) const HTTP_OVERHEAD_BYTES: usize = 260;
/// Connections of one client. With the library's "no limit" a second connection
/// to the same address would wait until an unrelated one ends.
const MAX_CONNECTIONS: usize = 100_000;
/// Largest answer of the platform, in bytes.
const MAX_PLATFORM_BYTES: usize = 4 << 20;

/// Why a message to a peer brought no answer.
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
    /// A client for the calling thread.
    ///
    /// # Errors
    /// The library's connector does not start.
    pub(crate) async fn start(context: &Arc<RouterContext>) -> anyhow::Result<Self> {
        let connector = Connector::new().limit(MAX_CONNECTIONS).keep_alive(Seconds(10));
        let client = build_client(connector).await?;
        Ok(Self { client, context: Arc::clone(context) })
    }

    /// Sends `message` and decodes the answer.
    ///
    /// # Errors
    /// The peer is unlisted, cut off, silent, or answers something else.
    pub(crate) async fn ask<T: Serialize, A: DeserializeOwned>(
        &self,
        peer: &Name,
        step: &'static str,
        message: &T,
        timeout_ms: u64,
    ) -> Result<A, PeerError> {
        let address = self.address_of(peer)?;
        let answer = self.exchange(address, step, message);
        let timeout = Duration::from_millis(timeout_ms);
        let failed = |cause: String| PeerError::Failed { step, peer: Name::clone(peer), cause };
        match tokio::time::timeout(timeout, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(cause)) => Err(failed(format!("{cause:#}"))),
            Err(_) => Err(failed(format!("no answer in {timeout_ms} ms"))),
        }
    }

    /// As [`PeerClient::ask`], within the usual time.
    pub(crate) async fn tell<T: Serialize, A: DeserializeOwned>(
        &self,
        peer: &Name,
        step: &'static str,
        message: &T,
    ) -> Result<A, PeerError> {
        self.ask(peer, step, message, PEER_TIMEOUT_MS).await
    }

    fn address_of(&self, peer: &Name) -> Result<SocketAddr, PeerError> {
        let core = self.context.core();
        if core.cut.contains(peer) {
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
        let sent = body.len();
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
        self.context.count_control(sent + bytes.len() + HTTP_OVERHEAD_BYTES);
        let status = response.status();
        anyhow::ensure!(status.is_success(), "answered with status {}", status.as_u16());
        Ok(wire::decode(&bytes)?)
    }
}

/// Client for the configuration service, the instance list, load reports and
/// engines' orders.
#[derive(Clone, Debug)]
pub(crate) struct PlatformClient {
    client: Client,
}

impl PlatformClient {
    /// A client for the calling thread.
    ///
    /// # Errors
    /// The library's connector does not start.
    pub(crate) async fn start() -> anyhow::Result<Self> {
        let connector = Connector::new().limit(MAX_CONNECTIONS).keep_alive(Seconds(10));
        Ok(Self { client: build_client(connector).await? })
    }

    /// Reads JSON; none when the answer has no content.
    ///
    /// # Errors
    /// No answer in time, another status, or no such JSON.
    pub(crate) async fn read<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout_ms: u64,
    ) -> anyhow::Result<Option<A>> {
        let request = self.client.get(format!("http://{address}{path}"));
        within(timeout_ms, read_json(request.send()))
            .await
            .with_context(|| format!("step=read peer={address} path={path}"))
    }

    /// Sends JSON and reads the answer.
    ///
    /// # Errors
    /// As [`PlatformClient::read`].
    pub(crate) async fn send<T: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &T,
        timeout_ms: u64,
    ) -> anyhow::Result<Option<A>> {
        let request = self.client.post(format!("http://{address}{path}"));
        within(timeout_ms, read_json(request.send_json(message)))
            .await
            .with_context(|| format!("step=send peer={address} path={path}"))
    }
}

async fn within<A>(
    timeout_ms: u64,
    exchange: impl Future<Output = anyhow::Result<A>>,
) -> anyhow::Result<A> {
    tokio::time::timeout(Duration::from_millis(timeout_ms), exchange)
        .await
        .map_err(|_| anyhow::anyhow!("no answer in {timeout_ms} ms"))?
}

async fn read_json<A: DeserializeOwned>(
    sending: impl Future<Output = Result<ClientResponse, ClientError>>,
) -> anyhow::Result<Option<A>> {
    let response = sending.await.map_err(|cause| anyhow::anyhow!("{cause}"))?;
    let status = response.status();
    if status.as_u16() == 204 {
        return Ok(None);
    }
    anyhow::ensure!(status.is_success(), "answered with status {}", status.as_u16());
    let bytes = response.body().limit(MAX_PLATFORM_BYTES).await;
    let bytes = bytes.map_err(|cause| anyhow::anyhow!("{cause}"))?;
    Ok(Some(serde_json::from_slice(&bytes)?))
}

/// Client for requests to targets. Connections are never used twice, so that
/// a late or doubled answer has no later request to be taken for.
///
/// # Errors
/// The library's connector does not start.
pub(crate) async fn target_client() -> anyhow::Result<Client> {
    build_client(Connector::new().limit(MAX_CONNECTIONS).keep_alive(Seconds(0))).await
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

/// Whether bytes may have reached the target before the error. Only errors
/// that arise before a connection stands say that none did.
pub(crate) fn may_have_sent(error: &ClientError) -> bool {
    let ClientError::Connect(cause) = error else { return true };
    match cause {
        ConnectError::Timeout
        | ConnectError::Unresolved
        | ConnectError::NoRecords
        | ConnectError::SslIsNotSupported => false,
        ConnectError::Resolver(io) | ConnectError::Disconnected(Some(io)) => {
            io.kind() != std::io::ErrorKind::ConnectionRefused
        }
        _ => true,
    }
}
