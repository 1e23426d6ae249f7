//! Permits to send requests to targets that name a request rate: asks their issuers, responds
//! to peers, and keeps what is known of limits up to date.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use base::{Millis, Name};
use cadence::prelude::*;
use rate::{
    FleetView, LimitChange, LimitNotice, LivePeer, PermitAsk, PermitDecision, PermitRequest,
    PermitResponse, RateKey, RequestClass,
};
use target::TargetEntry;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::cold::{ColdPermit, acquire_cold};
use crate::context::GatewayContext;
use crate::messages::{PeerMessage, encode_peer_message};
use crate::offers::retain_models;
use crate::platform::NamedLimit;

/// Time that a request waits for an issuer: a round trip between failure domains, with both
/// routers somewhat late.
pub(crate) const PERMIT_TIMEOUT: Duration = Duration::from_millis(50);
/// Time in milliseconds after which an issuer that did not respond may be reached.
pub(crate) const SILENT_RETRY_MS: Millis = 300;

/// Requests of this router that wait for issuers.
#[derive(Debug, Default)]
pub(crate) struct PermitExchange {
    socket: OnceLock<Arc<UdpSocket>>,
    waiters: Mutex<HashMap<u64, (RateKey, oneshot::Sender<bool>)>>,
}

impl PermitExchange {
    /// Sets the socket, which is that of the heartbeats.
    pub(crate) fn set_socket(&self, socket: Arc<UdpSocket>) {
        // Heartbeats start once.
        let _ = self.socket.set(socket);
    }

    fn waiters(&self) -> MutexGuard<'_, HashMap<u64, (RateKey, oneshot::Sender<bool>)>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a message; returns whether it was handed to the system.
    pub(crate) fn send(&self, receiver: SocketAddr, message: &PeerMessage) -> bool {
        let Some(socket) = self.socket.get() else { return false };
        let sent = socket.try_send_to(&encode_peer_message(message), receiver);
        if let Err(cause) = &sent {
            tracing::debug!(unit = "limits", event = "not_sent", peer = %receiver, %cause);
        }
        sent.is_ok()
    }
}

/// Permit to send one request to a target. Dropping it gives it back unless the request was
/// sent.
#[derive(Debug)]
pub(crate) struct SendPermit {
    context: Arc<GatewayContext>,
    /// `None` if the target names no limit.
    key: Option<RateKey>,
    /// The permit of a target that is cold, or was so lately.
    cold: Option<ColdPermit>,
    is_used: bool,
}

impl SendPermit {
    fn new(context: &Arc<GatewayContext>, key: Option<RateKey>) -> Self {
        Self { context: Arc::clone(context), key, cold: None, is_used: false }
    }

    /// Creates a permit of a target that is cold, or was so lately.
    pub(crate) fn new_cold(
        context: &Arc<GatewayContext>,
        key: RateKey,
        permit: ColdPermit,
    ) -> Self {
        let context = Arc::clone(context);
        Self { context, key: Some(key), cold: Some(permit), is_used: false }
    }

    /// Returns the permit of a target that is cold, or was so lately.
    pub(crate) fn cold(&self) -> Option<ColdPermit> {
        self.cold
    }

    /// Whether the request may be written now: the permit has not expired, and the target has not
    /// become cold since a permit without a time was acquired.
    pub(crate) fn is_valid(&self, entry: &TargetEntry, now: Millis) -> bool {
        match self.cold {
            Some(permit) => {
                self.context.limits().is_cold_permit_valid(rate_key(entry), permit.grant, now)
            }
            None => !self.context.limits().needs_cold_permit(rate_key(entry)),
        }
    }

    /// Whether the target names a limit, or is cold.
    pub(crate) fn is_limited(&self) -> bool {
        self.key.is_some()
    }

    /// Records whether the request has reached the target, as far as is known.
    pub(crate) fn set_used(&mut self, is_used: bool) {
        self.is_used = is_used;
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if let Some(key) = self.key.filter(|_| !self.is_used) {
            let now = self.context.now();
            match self.cold {
                Some(permit) => self.context.limits().give_back_cold(key, permit.grant),
                None => self.context.limits().give_back(key, now),
            }
        }
    }
}

/// A request for a permit whose response is awaited.
struct AwaitedPermit<'a> {
    context: &'a GatewayContext,
    number: u64,
}

impl Drop for AwaitedPermit<'_> {
    fn drop(&mut self) {
        let waiter = self.context.permits.waiters().remove(&self.number);
        if waiter.is_some() {
            self.context.limits().abandon(self.number);
        }
    }
}

/// Identifies one incarnation of a target.
pub(crate) fn rate_key(entry: &TargetEntry) -> RateKey {
    RateKey::new(&entry.id, entry.incarnation)
}

/// Acquires a permit to send a request to a target.
///
/// # Errors
/// Returns the time in milliseconds after which a permit may be available.
pub(crate) async fn acquire(
    context: &Arc<GatewayContext>,
    entry: &TargetEntry,
    class: RequestClass,
) -> Result<SendPermit, Millis> {
    if !context.limits().has_limits() {
        return Ok(SendPermit::new(context, None));
    }
    let key = rate_key(entry);
    if let Some(result) = acquire_cold(context, key, class).await {
        return result;
    }
    let decision = context.limits().acquire(key, class, context.now());
    match decision {
        PermitDecision::Unlimited => Ok(SendPermit::new(context, None)),
        PermitDecision::Granted => Ok(SendPermit::new(context, Some(key))),
        PermitDecision::Unavailable { retry_ms } => Err(retry_ms),
        PermitDecision::Ask(ask) => ask_issuer(context, key, ask).await,
    }
}

async fn ask_issuer(
    context: &Arc<GatewayContext>,
    key: RateKey,
    ask: PermitAsk,
) -> Result<SendPermit, Millis> {
    let PermitAsk { issuer, request } = ask;
    let (sender, receiver) = oneshot::channel();
    context.permits.waiters().insert(request.number, (key, sender));
    let awaited = AwaitedPermit { context, number: request.number };
    context.permits.send(issuer, &PeerMessage::PermitRequest(request));
    let result = tokio::time::timeout(PERMIT_TIMEOUT, receiver).await;
    drop(awaited);
    match result {
        Ok(Ok(true)) => {
            context.metrics.incr("permits.granted").ok();
            Ok(SendPermit::new(context, Some(key)))
        }
        Ok(Ok(false)) => {
            context.metrics.incr("permits.denied").ok();
            let now = context.now();
            Err(context.limits().wait_ms(key, request.class, now).max(1))
        }
        Ok(Err(_)) | Err(_) => {
            context.metrics.incr("permits.unanswered").ok();
            tracing::info!(unit = "limits", event = "no_permit", peer = %issuer);
            Err(SILENT_RETRY_MS)
        }
    }
}

/// Answers a peer that asks for a permit.
pub(crate) async fn answer_permit_request(
    context: &GatewayContext,
    socket: &UdpSocket,
    request: PermitRequest,
    peer: SocketAddr,
) {
    let response = context.limits().respond(request, context.now());
    let response = encode_peer_message(&PeerMessage::PermitResponse(response));
    if let Err(cause) = socket.send_to(&response, peer).await {
        tracing::debug!(unit = "limits", event = "not_sent", %peer, %cause);
    }
}

/// Passes the response of an issuer on to the request that waits for it.
pub(crate) fn handle_permit_response(context: &GatewayContext, response: PermitResponse) {
    let now = context.now();
    let is_granted = context.limits().record_permit(response, now);
    let waiter = context.permits.waiters().remove(&response.number);
    let (Some(is_granted), Some((key, sender))) = (is_granted, waiter) else { return };
    if sender.send(is_granted).is_err() && is_granted {
        context.limits().give_back(key, now);
    }
}

/// Records the limit that a response of a target names. The request was sent at `sent_at`.
pub(crate) fn record_limit(
    context: &GatewayContext,
    entry: &TargetEntry,
    limit: NamedLimit,
    sent_at: Millis,
) {
    let per_second = match limit {
        NamedLimit::None if !context.limits().has_limits() => return,
        NamedLimit::None => None,
        NamedLimit::PerSecond(per_second) => Some(per_second),
        NamedLimit::Unreadable => {
            tracing::warn!(unit = "limits", event = "unreadable", target = %entry.id);
            return;
        }
    };
    let now = context.now();
    let key = rate_key(entry);
    let change = context.limits().record_response(key, per_second, sent_at, now);
    if let Some(change) = change {
        log_change(Some(&entry.id), change, "Response");
    }
}

/// Merges what a peer knows of limits.
pub(crate) fn merge_limits(context: &GatewayContext, notice: &LimitNotice) {
    if notice.is_empty() {
        return;
    }
    let changes = context.limits().merge(notice, context.now());
    for (key, change) in changes {
        let targets = context.targets();
        let entry = targets.known().find(|entry| rate_key(entry) == key);
        let target = entry.map(|entry| Name::clone(&entry.id));
        drop(targets);
        log_change(target.as_ref(), change, "Peer");
    }
}

fn log_change(target: Option<&Name>, change: LimitChange, origin: &str) {
    let target = target.map(|target| &**target);
    match change {
        LimitChange::Named { per_second } => {
            tracing::info!(unit = "limits", event = "limit_named", target, %per_second, origin);
        }
        LimitChange::Ended => {
            tracing::info!(unit = "limits", event = "limit_ended", target, origin);
        }
    }
}

/// Updates which routers may issue permits.
pub(crate) fn update_fleet(context: &GatewayContext) {
    let now = context.now();
    let members = context.members();
    let known = members.known_count();
    let unheard = members.unheard_count(now);
    let (draining, live): (Vec<_>, Vec<_>) = members.live(now).partition(|view| view.is_draining);
    drop(members);
    let live = live.iter();
    let live =
        live.map(|view| LivePeer::new(&view.origin.instance, view.addresses.beats)).collect();
    let draining = draining.iter().map(|view| &*view.origin.instance);
    let is_candidate = !context.is_draining();
    let fleet = FleetView::new(&context.settings.instance, is_candidate, live, known);
    context.offers.set_fleet(fleet.clone());
    context.limits().set_fleet(fleet.with_draining(draining).with_unheard(unheard), now);
}

/// Records which targets have an entry. What one named in its responses holds for as long as its
/// incarnation may serve.
pub(crate) fn update_targets(context: &GatewayContext) {
    let known: HashSet<RateKey> = context.targets().known().map(rate_key).collect();
    let now = context.now();
    context.limits().set_present(|key| known.contains(&key), now);
    retain_models(context, &known);
}
