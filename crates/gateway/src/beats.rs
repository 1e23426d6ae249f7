//! Exchanges heartbeats with other routers as UDP datagrams, and fetches newer
//! changes from peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{Millis, Name};
use cadence::prelude::*;
use changes::{ConfigurationNotice, NO_RECORDS, append_part};
use mesh::{
    Heartbeat, HeartbeatHeader, HeartbeatOutcome, PeerAddresses, ReportRequest, SourceNotice,
    SourceView,
};
use quarantine::QuarantineNotice;
use rate::LimitNotice;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::answers::merge_leaving;
use crate::cold::{answer_cold_request, handle_cold_response};
use crate::configuration::{follow_configuration, record_version};
use crate::context::GatewayContext;
use crate::crashes::log_events;
use crate::domains::{
    ask_for_reports, forget_announcements, is_reported, record_demand, record_load, record_members,
    send_report,
};
use crate::downtime::{downtime_notices, downtime_notices_for_one, merge_downtimes};
use crate::fetch::{FetchPurpose, PeerFetch, fetch_from_peers, queue_fetch};
use crate::messages::{
    DowntimeList, HeartbeatNotice, HeartbeatPayload, LeavingNotice, MAX_HEARTBEAT_BYTES,
    PeerDatagram, PeerMessage, RouterCondition, decode_heartbeat, decode_peer_message,
    is_peer_message,
};
use crate::offers::{
    answer_offer_request, handle_offer_response, record_placement, record_report, send_reports,
};
use crate::permits::{answer_permit_request, handle_permit_response, merge_limits, update_fleet};
use crate::streams::{
    answer_origin_request, handle_origin_response, record_streams, update_holders, watch_streams,
};

/// Part of the interval of heartbeats that is the least time between two rounds.
const MIN_PAUSE_PART: u32 = 10;
/// Rounds of heartbeats in which urgent news goes to all routers, as datagrams may be lost.
const URGENT_ROUNDS: u32 = 2;
/// Number of peers that a router asks for all they know after its start, or for all evacuations
/// after the source was restored. Each of them may have started just before.
pub(crate) const ALL_FETCHES: usize = 3;

/// Starts the tasks that send and receive heartbeats until the process stops.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub(crate) async fn start_heartbeats(context: &Arc<GatewayContext>) -> anyhow::Result<()> {
    let address = context.settings.listen.beats;
    let socket = UdpSocket::bind(address).await;
    let socket =
        socket.map_err(|cause| anyhow::anyhow!("step=bind_beats peer={address}: {cause}"))?;
    let socket = Arc::new(socket);
    context.permits.set_socket(Arc::clone(&socket));
    let (fetch_sender, fetch_receiver) = mpsc::channel(1);
    ntex::rt::spawn(send_heartbeats(Arc::clone(context), Arc::clone(&socket)));
    ntex::rt::spawn(receive_heartbeats(Arc::clone(context), socket, fetch_sender));
    ntex::rt::spawn(fetch_from_peers(Arc::clone(context), fetch_receiver));
    ntex::rt::spawn(follow_configuration(Arc::clone(context)));
    ntex::rt::spawn(watch_streams(Arc::clone(context)));
    ntex::rt::spawn(send_reports(Arc::clone(context)));
    Ok(())
}

async fn send_heartbeats(context: Arc<GatewayContext>, socket: Arc<UdpSocket>) {
    let mut urgent_rounds = 0;
    while !context.shutdown.is_cancelled() {
        let now = context.now();
        let own_pause_ms = context.members().own_pause(now);
        if own_pause_ms > 0 {
            tracing::warn!(unit = "beats", event = "paused", own_pause_ms);
        }
        let notice = context.quarantine().notice(now);
        if context.quarantine().has_reports() {
            context.heartbeat_now.notify_one();
        }
        let limits = context.limits().notice(now);
        let downtimes = DowntimeList { targets: downtime_notices(&context) };
        let heartbeat = encode_heartbeat(&context, &notice, &limits, &downtimes);
        let mut receivers = context.members().receivers(now);
        // Repeats of what is known of crashes are counted by rounds that reach all peers.
        let is_urgent = urgent_rounds > 0 || notice.has_news() || context.is_draining();
        if is_urgent {
            receivers.append(&mut context.members().distant_receivers());
        }
        urgent_rounds = u32::saturating_sub(urgent_rounds, 1);
        ask_for_reports(&context);
        for receiver in receivers {
            if let Err(cause) = socket.send_to(&heartbeat, receiver).await {
                tracing::debug!(unit = "beats", event = "not_sent", peer = %receiver, %cause);
            }
        }
        // The lock would be held through the loop.
        let lost = context.members().newly_lost(now);
        for peer in lost {
            let was_draining = context.members().is_known_draining(&peer);
            tracing::info!(unit = "beats", event = "peer_lost", %peer, was_draining);
        }
        update_fleet(&context);
        update_holders(&context);
        let routers = context.members().live(now).count() + 1;
        context.set_router_count(routers);
        context.retries().set_router_count(routers, now);
        let liveness_timeout = context.members().liveness_timeout();
        context.shares().set_peer_max_age(liveness_timeout);
        let interval = context.members().heartbeat_interval();
        context.loads().set_announcement_interval(interval);
        // After a pause of this router, the messages of its peers wait in its socket.
        if own_pause_ms == 0 {
            context.loads().expire_peers(liveness_timeout, now);
            context.accept_policy().expire_others(liveness_timeout, now);
        }
        let interval = Duration::from_millis(context.members().heartbeat_interval());
        // Changes in quick succession share a round, which is long in a large fleet.
        let min_pause = interval / MIN_PAUSE_PART;
        tokio::time::sleep(min_pause).await;
        tokio::select! {
            () = tokio::time::sleep(interval - min_pause) => {}
            () = context.heartbeat_now.notified() => urgent_rounds = URGENT_ROUNDS,
        }
    }
}

/// Encodes a heartbeat that fits into a datagram. If it is too large, the accounts
/// with the highest demand and the targets with the most unread tokens are kept.
pub(crate) fn encode_heartbeat(
    context: &GatewayContext,
    quarantine: &QuarantineNotice,
    limits: &LimitNotice,
    downtimes: &DowntimeList,
) -> Vec<u8> {
    let now = context.now();
    let mut accounts = context.shares().own_demands(now);
    accounts.sort_by(|a, b| b.1.cost_per_s.total_cmp(&a.1.cost_per_s));
    let mut targets = context.loads().own_loads();
    targets.sort_by_key(|(_, load)| std::cmp::Reverse(load.unread_tokens));
    let known_peers = context.members().sample_live_peers(now);
    let header = own_header(context, known_peers);
    let mut heartbeat = Heartbeat { header, payload: HeartbeatPayload { accounts, targets } };
    let notice = HeartbeatNotice { totals: context.loads().own_totals() };
    let condition = RouterCondition { is_saturated: context.accept_policy().is_saturated() };
    let configuration = ConfigurationNotice { version: context.versions().version() };
    let leaving = LeavingNotice { targets: context.targets().leaving_notices(now) };
    // Parts are told apart by their order, so each one needs those before it.
    let has_downtimes = !downtimes.targets.is_empty();
    let has_leaving = has_downtimes || !leaving.targets.is_empty();
    let has_limits = has_leaving || !limits.is_empty();
    loop {
        let mut bytes = rmp_serde::to_vec(&heartbeat).unwrap_or_else(|cause| {
            tracing::error!(unit = "beats", event = "not_encoded", %cause);
            Vec::new()
        });
        append_part(&mut bytes, &notice);
        append_part(&mut bytes, &condition);
        append_part(&mut bytes, &configuration);
        if has_limits || !quarantine.is_empty() {
            append_part(&mut bytes, quarantine);
        }
        if has_limits {
            append_part(&mut bytes, limits);
        }
        if has_leaving {
            append_part(&mut bytes, &leaving);
        }
        if has_downtimes {
            append_part(&mut bytes, downtimes);
        }
        let payload = &mut heartbeat.payload;
        if bytes.len() <= MAX_HEARTBEAT_BYTES
            || (payload.accounts.is_empty() && payload.targets.is_empty())
        {
            return bytes;
        }
        context.metrics.incr("beats_shortened").ok();
        payload.accounts.truncate(payload.accounts.len() * 3 / 4);
        payload.targets.truncate(payload.targets.len() * 3 / 4);
    }
}

/// Returns the header of this router's next heartbeat.
pub(crate) fn own_header(
    context: &GatewayContext,
    known_peers: Vec<SocketAddr>,
) -> HeartbeatHeader {
    let listen = &context.settings.listen;
    let source = source_view(context, context.now());
    let sequence = context.members().next_sequence();
    HeartbeatHeader {
        origin: context.origin.clone(),
        sequence,
        domain: Name::clone(&context.settings.failure_domain),
        addresses: PeerAddresses {
            beats: listen.beats,
            peers: listen.peers,
            callers: listen.callers,
        },
        is_draining: context.is_draining(),
        source,
        known_peers,
    }
}

async fn receive_heartbeats(
    context: Arc<GatewayContext>,
    socket: Arc<UdpSocket>,
    fetch_sender: mpsc::Sender<PeerFetch>,
) {
    let mut buffer = vec![0; 64 << 10];
    while !context.shutdown.is_cancelled() {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(cause) => {
                // An ICMP error from a closed port of a peer is reported here;
                // the socket remains usable.
                tracing::debug!(unit = "beats", event = "receive_failed", %cause);
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            }
        };
        let datagram = &buffer[..length];
        if is_peer_message(datagram) {
            handle_message(&context, &socket, datagram, sender, &fetch_sender).await;
            continue;
        }
        match decode_heartbeat(datagram) {
            Ok(datagram) => {
                let peer = datagram.heartbeat.header.addresses.beats;
                if handle_heartbeat(&context, datagram, &fetch_sender) == HeartbeatOutcome::Joined {
                    // Replies at once, so that a router that has just started
                    // need not wait for the next heartbeat to learn of its peers.
                    let reply = encode_greeting(&context);
                    if let Err(cause) = socket.send_to(&reply, peer).await {
                        tracing::debug!(unit = "beats", event = "not_sent", %peer, %cause);
                    }
                }
            }
            Err(cause) => {
                tracing::debug!(unit = "beats", event = "not_understood", peer = %sender, %cause);
            }
        }
    }
}

/// Encodes a heartbeat for a peer that may not know this router.
fn encode_greeting(context: &GatewayContext) -> Vec<u8> {
    let now = context.now();
    let notice = context.quarantine().notice_for_one(now);
    let limits = context.limits().notice(now);
    let downtimes = DowntimeList { targets: downtime_notices_for_one(context) };
    encode_heartbeat(context, &notice, &limits, &downtimes)
}

async fn handle_message(
    context: &GatewayContext,
    socket: &UdpSocket,
    datagram: &[u8],
    peer: SocketAddr,
    fetch_sender: &mpsc::Sender<PeerFetch>,
) {
    match decode_peer_message(datagram) {
        Ok(PeerMessage::PermitRequest(request)) => {
            answer_permit_request(context, socket, request, peer).await;
        }
        Ok(PeerMessage::PermitResponse(response)) => handle_permit_response(context, response),
        Ok(PeerMessage::SourceRead(notice)) => handle_source_notice(context, &notice, fetch_sender),
        Ok(PeerMessage::ReportRequest(ReportRequest { header, unknown })) => {
            let peer = header.addresses.beats;
            record_header(context, header, None, fetch_sender);
            send_report(context, socket, peer, &unknown).await;
        }
        Ok(PeerMessage::DomainMembers(report)) => {
            for header in record_members(context, report) {
                let greeting = encode_greeting(context);
                if let Err(cause) = socket.send_to(&greeting, header.addresses.beats).await {
                    tracing::debug!(unit = "beats", event = "not_sent", %peer, %cause);
                }
            }
        }
        Ok(PeerMessage::DomainDemand(demand)) => record_demand(context, demand),
        Ok(PeerMessage::DomainLoad(load)) => record_load(context, &load),
        Ok(PeerMessage::StreamsBegan(records)) => record_streams(context, &records),
        Ok(PeerMessage::OriginRequest(request)) => answer_origin_request(context, &request, peer),
        Ok(PeerMessage::OriginResponse(response)) => {
            handle_origin_response(context, response, peer)
        }
        Ok(PeerMessage::ColdRequest(request)) => answer_cold_request(context, request, peer),
        Ok(PeerMessage::ColdResponse(response)) => handle_cold_response(context, response),
        Ok(PeerMessage::OfferRequest(request)) => answer_offer_request(context, &request, peer),
        Ok(PeerMessage::OfferResponse(response)) => handle_offer_response(context, response, peer),
        Ok(PeerMessage::PlacementNotice(notice)) => record_placement(context, &notice),
        Ok(PeerMessage::WorkReport(report)) => record_report(context, &report),
        Err(cause) => {
            tracing::debug!(unit = "beats", event = "not_understood", %peer, %cause);
        }
    }
}

fn handle_source_notice(
    context: &GatewayContext,
    notice: &SourceNotice,
    fetch_sender: &mpsc::Sender<PeerFetch>,
) {
    let now = context.now();
    let addresses = {
        let mut members = context.members();
        if !members.record_source_notice(notice, now) {
            return;
        }
        members.addresses_of(&notice.origin.instance)
    };
    let Some(addresses) = addresses else { return };
    record_peer_read(context, notice.source, now);
    if context.source().record_peer_revision(notice.source.revision, now) {
        let after = context.source().revision;
        let purpose = FetchPurpose::Changes;
        queue_fetch(context, PeerFetch { peer: addresses.peers, after, purpose }, fetch_sender);
    }
}

/// Tells the peers of the failure domain that this router has read the source.
pub(crate) fn send_source_notice(context: &GatewayContext) {
    let now = context.now();
    let source = source_view(context, now);
    let (receivers, sequence) = {
        let mut members = context.members();
        let receivers = members.notice_receivers(&context.settings.failure_domain, now);
        if receivers.is_empty() {
            return;
        }
        (receivers, members.next_sequence())
    };
    let notice = SourceNotice { origin: context.origin.clone(), sequence, source };
    let message = PeerMessage::SourceRead(notice);
    for receiver in receivers {
        context.permits.send(receiver, &message);
    }
}

/// Records when the source responded to a peer.
fn record_peer_read(context: &GatewayContext, view: SourceView, now: Millis) {
    if let Some(read_age) = view.read_age {
        context.source().record_peer_read(view.revision, read_age, now);
    }
}

fn source_view(context: &GatewayContext, now: Millis) -> SourceView {
    let source = context.source();
    let read_age = source.read_at.map(|at| now.saturating_sub(at));
    SourceView { revision: source.revision, read_age }
}

fn handle_heartbeat(
    context: &GatewayContext,
    datagram: PeerDatagram,
    fetch_sender: &mpsc::Sender<PeerFetch>,
) -> HeartbeatOutcome {
    let now = context.now();
    let PeerDatagram {
        heartbeat,
        notice,
        condition,
        configuration,
        quarantine,
        limits,
        leaving,
        downtimes,
    } = datagram;
    let Heartbeat { header, payload } = heartbeat;
    let serves_same_callers = header.domain == context.settings.failure_domain;
    let is_reported = is_reported(context, &header.domain, now);
    let peer = Name::clone(&header.origin.instance);
    let is_draining = header.is_draining;
    let outcome = record_header(context, header, configuration.version, fetch_sender);
    if outcome == HeartbeatOutcome::Ignored {
        return outcome;
    }
    if is_reported {
        forget_announcements(context, &peer);
    } else {
        let demands: BTreeMap<_, _> = payload.accounts.into_iter().collect();
        context.shares().update_peer(Name::clone(&peer), demands, now);
        context.loads().update_peer(&peer, &payload.targets, now);
        if let Some(notice) = notice {
            context.loads().update_peer_totals(&peer, notice.totals);
        }
    }
    if !quarantine.is_empty() {
        context.quarantine().merge(quarantine, now);
        log_events(context);
    }
    merge_limits(context, &limits);
    merge_leaving(context, &peer, leaving.targets);
    merge_downtimes(context, &peer, &downtimes.targets);
    if serves_same_callers && !is_draining {
        context.accept_policy().record_other(peer, condition.is_saturated, now);
    }
    outcome
}

/// Records the header of a heartbeat, and fetches the changes of a peer that is ahead.
fn record_header(
    context: &GatewayContext,
    header: HeartbeatHeader,
    version: Option<u64>,
    fetch_sender: &mpsc::Sender<PeerFetch>,
) -> HeartbeatOutcome {
    let now = context.now();
    let peer = Name::clone(&header.origin.instance);
    let addresses = header.addresses;
    let source = header.source;
    let revision = source.revision;
    let is_draining = header.is_draining;
    let (was_draining, outcome) = {
        let mut members = context.members();
        (members.is_known_draining(&peer), members.record_heartbeat(header, now))
    };
    match outcome {
        HeartbeatOutcome::Ignored => return outcome,
        HeartbeatOutcome::Joined | HeartbeatOutcome::Restarted => {
            tracing::info!(
                unit = "beats",
                event = "peer_found",
                %peer,
                heard = ?outcome,
                is_draining,
                was_draining,
            );
            update_fleet(context);
            // Streams may begin before the next heartbeat, and their holders are told first.
            update_holders(context);
        }
        HeartbeatOutcome::Newer { changed: true } if is_draining => {
            tracing::info!(unit = "beats", event = "peer_draining", %peer);
        }
        HeartbeatOutcome::Newer { .. } => {}
    }
    record_peer_read(context, source, now);
    let is_behind = context.source().record_peer_revision(revision, now);
    let knows_source = revision > 0 || version.is_some();
    // What a restored source has lost is known to peers alone, whatever the revisions.
    let needs_all =
        knows_source && context.start_fetches().allows(outcome == HeartbeatOutcome::Joined, now);
    record_version(context, addresses.peers, version);
    if needs_all || is_behind {
        let after = if needs_all { 0 } else { context.source().revision };
        let purpose = if needs_all { FetchPurpose::Start } else { FetchPurpose::Changes };
        queue_fetch(context, PeerFetch { peer: addresses.peers, after, purpose }, fetch_sender);
    } else if context.domain_fetches().allows(false, now) {
        let purpose = FetchPurpose::Domains;
        let fetch = PeerFetch { peer: addresses.peers, after: NO_RECORDS, purpose };
        queue_fetch(context, fetch, fetch_sender);
    }
    outcome
}
