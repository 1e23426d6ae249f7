//! HTTP client that sends requests as a caller and checks the answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::time::Seconds;
use serde_json::{Value, json};

use crate::launch::SECRET;

/// Limit of simultaneous connections.
const MAX_CONNECTIONS: usize = 100_000;

/// Outcome of a request, as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// The complete answer to this request arrived.
    Answered,
    /// The request was refused and reported as not run.
    NotRun { code: String },
    /// The request failed and may have run.
    Unknown { code: String },
    /// The answer belongs to another request, or has duplicate or missing tokens.
    Crossed(String),
    /// The connection broke without a refusal. The caller may retry at another
    /// router.
    Broken(String),
}

/// Outcome of a streaming request.
#[derive(Clone, Debug)]
pub struct StreamResult {
    pub end: CallEnd,
    /// Number of valid tokens received.
    pub tokens: u64,
    /// Time from the start of the request to its first token.
    pub first_token: Option<Duration>,
}

/// HTTP client for routers and stand-ins.
#[derive(Clone, Debug)]
pub struct HttpCaller {
    client: Client,
}

impl HttpCaller {
    pub async fn start() -> anyhow::Result<Self> {
        let connector = Connector::new().limit(MAX_CONNECTIONS).keep_alive(Seconds(5));
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .build(SharedCfg::default())
            .await
            .map_err(|cause| anyhow::anyhow!("step=start_client: {cause}"))?;
        Ok(Self { client })
    }

    pub async fn get_json(&self, url: &str) -> anyhow::Result<Value> {
        self.exchange_json(self.client.get(url), None).await
    }

    pub async fn post_json(&self, url: &str, body: &Value) -> anyhow::Result<Value> {
        self.exchange_json(self.client.post(url), Some(body)).await
    }

    /// Returns the status of the router at this peer address.
    pub async fn status(&self, peer_address: SocketAddr) -> anyhow::Result<Value> {
        let url = format!("http://{peer_address}/ops/v1/status");
        self.exchange_json(self.client.get(url).header("x-poplar-secret", SECRET), None).await
    }

    /// Replaces the set of peers to which a router's links are cut. An empty set
    /// restores all links.
    pub async fn set_cut_peers(
        &self,
        peer_address: SocketAddr,
        peers: &[&str],
    ) -> anyhow::Result<()> {
        let url = format!("http://{peer_address}/test/v1/cut");
        let request = self.client.post(url).header("x-poplar-secret", SECRET);
        self.exchange_json(request, Some(&json!({ "peers": peers }))).await.map(|_| ())
    }

    /// Asks any router for the routers that the callers of an account should use.
    pub async fn addresses(
        &self,
        any: SocketAddr,
        account: &str,
    ) -> anyhow::Result<Vec<SocketAddr>> {
        let url = format!("http://{any}/v1/address");
        let request = self.client.get(url).bearer_auth(credential(account));
        let answer = self.exchange_json(request, None).await?;
        let entries = answer["addresses"].as_array().cloned().unwrap_or_default();
        let address = |entry: &Value| entry["address"].as_str()?.parse().ok();
        Ok(entries.iter().filter_map(address).collect())
    }

    /// Requests a key for a call that must run at most once.
    pub async fn issue_key(&self, router: SocketAddr, account: &str) -> anyhow::Result<String> {
        let url = format!("http://{router}/v1/keys");
        let request = self.client.post(url).bearer_auth(credential(account));
        let answer = self.exchange_json(request, None).await?;
        Ok(answer["key"].as_str().unwrap_or_default().to_owned())
    }

    /// Streams an answer of `tokens` tokens and calls `on_token` for each of them.
    pub async fn stream(
        &self,
        router: SocketAddr,
        account: &str,
        service: &str,
        nonce: &str,
        tokens: u64,
        mut on_token: impl FnMut(),
    ) -> StreamResult {
        let start = Instant::now();
        let mut result = StreamResult { end: CallEnd::Answered, tokens: 0, first_token: None };
        let url = format!("http://{router}/v1/call/{service}/generate");
        let body = json!({ "nonce": nonce, "tokens": tokens });
        let request = self.client.post(url).bearer_auth(credential(account));
        let mut response = match request.send_json(&body).await {
            Ok(response) => response,
            Err(cause) => {
                result.end = CallEnd::Broken(cause.to_string());
                return result;
            }
        };
        if !response.status().is_success() {
            let body = response.body().await.unwrap_or_default();
            result.end = parse_refusal(&body);
            return result;
        }
        let mut text = String::new();
        loop {
            while let Some(position) = text.find("\n\n") {
                let event: String = text.drain(..position + 2).collect();
                if let Some(end) = check_event(event.trim_end(), nonce, tokens, &mut result.tokens)
                {
                    result.end = end;
                    return result;
                }
                if result.first_token.is_none() {
                    result.first_token = Some(start.elapsed());
                }
                on_token();
            }
            match response.next().await {
                Some(Ok(bytes)) => text.push_str(&String::from_utf8_lossy(&bytes)),
                Some(Err(cause)) => {
                    result.end = CallEnd::Broken(cause.to_string());
                    return result;
                }
                None => {
                    result.end = CallEnd::Broken("stream ended without an end event".into());
                    return result;
                }
            }
        }
    }

    /// Makes a plain call, with an idempotency key if one is given.
    pub async fn call_plain(
        &self,
        router: SocketAddr,
        account: &str,
        service: &str,
        path: &str,
        nonce: &str,
        key: Option<&str>,
    ) -> CallEnd {
        let url = format!("http://{router}/v1/call/{service}{path}");
        let mut request = self.client.post(url).bearer_auth(credential(account));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let response = match request.send_json(&json!({ "nonce": nonce })).await {
            Ok(response) => response,
            Err(cause) => return CallEnd::Broken(cause.to_string()),
        };
        let status = response.status();
        let body = match response.body().await {
            Ok(body) => body,
            Err(cause) => return CallEnd::Broken(cause.to_string()),
        };
        if !status.is_success() {
            return parse_refusal(&body);
        }
        let answer: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        if answer["nonce"] == nonce {
            return CallEnd::Answered;
        }
        CallEnd::Crossed(format!("asked {nonce}, got {answer}"))
    }

    /// Sends a request and returns the JSON body of the answer, null for an empty
    /// body.
    ///
    /// # Errors
    /// Returns an error if the status is not a success, the body is not JSON, or the
    /// exchange takes more than 5 seconds.
    async fn exchange_json(
        &self,
        request: ntex::client::ClientRequest,
        body: Option<&Value>,
    ) -> anyhow::Result<Value> {
        let exchange = async {
            let sent = match body {
                Some(body) => request.send_json(body).await,
                None => request.send().await,
            };
            let response = sent.map_err(|cause| anyhow::anyhow!("{cause}"))?;
            let status = response.status();
            let bytes = response.body().limit(64 << 20).await;
            let bytes = bytes.map_err(|cause| anyhow::anyhow!("{cause}"))?;
            anyhow::ensure!(status.is_success(), "status {}", status.as_u16());
            if bytes.is_empty() {
                return Ok(Value::Null);
            }
            Ok(serde_json::from_slice(&bytes)?)
        };
        tokio::time::timeout(Duration::from_secs(5), exchange).await?
    }
}

/// Returns the credential of an account in the example documents.
pub fn credential(account: &str) -> String {
    format!("demo-{account}")
}

/// Returns the hash of an account's credential, as a document contains it.
pub fn credential_hash(account: &str) -> String {
    doc::digest_of(&credential(account)).to_string()
}

/// Checks one event of a stream and counts its token in `next`. Returns the outcome
/// if the event ends the stream or is invalid.
fn check_event(event: &str, nonce: &str, tokens: u64, next: &mut u64) -> Option<CallEnd> {
    if let Some(data) = event.strip_prefix("event: error\ndata: ") {
        return Some(parse_refusal(data.as_bytes()));
    }
    if event.starts_with("event: done\n") {
        if *next == tokens {
            return Some(CallEnd::Answered);
        }
        return Some(CallEnd::Crossed(format!("clean end after {next} of {tokens} tokens")));
    }
    let data = event.strip_prefix("data: ").unwrap_or_default();
    let value: Value = serde_json::from_str(data).unwrap_or(Value::Null);
    let expected = format!("{nonce}-{next} ");
    if value["t"] != expected.as_str() {
        return Some(CallEnd::Crossed(format!("expected {expected}, got {event}")));
    }
    *next += 1;
    None
}

/// Returns the outcome that the body of a refusal describes.
fn parse_refusal(body: &[u8]) -> CallEnd {
    let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let code = value["code"].as_str().unwrap_or("no_code").to_owned();
    if value["ran"] == "no" { CallEnd::NotRun { code } } else { CallEnd::Unknown { code } }
}
