//! Reports of failure domains, which routers of a fleet of hundreds ask each other for instead
//! of sending heartbeats to all.

use std::net::SocketAddr;

use base::{Millis, Name};
use cadence::prelude::*;
use mesh::{DomainMembers, HeartbeatHeader, HeartbeatOutcome, ReportRequest, SightingTag};
use target::{InFlightLoad, InFlightTotals, TargetIdHash};
use tokio::net::UdpSocket;

use crate::beats::{encode_heartbeat, own_header};
use crate::context::GatewayContext;
use crate::downtime::downtime_notices_for_one;
use crate::messages::{
    DomainDemand, DomainLoad, DowntimeList, MAX_HEARTBEAT_BYTES, PeerMessage, encode_peer_message,
};

/// Prefix of the name under which what a failure domain announces is kept. No router has it in
/// its name.
const DOMAIN_PREFIX: &str = "domain/";
/// Datagrams in which the load of a domain is sent, each with the same targets every time.
const LOAD_PARTS: u32 = 4;

fn domain_key(domain: &str) -> Name {
    format!("{DOMAIN_PREFIX}{domain}").into()
}

fn load_key(domain: &str, part: u32) -> Name {
    format!("{DOMAIN_PREFIX}{domain}/{part}").into()
}

/// Asks one router of each other failure domain for a report, if heartbeats do not reach them.
pub(crate) fn ask_for_reports(context: &GatewayContext) {
    let now = context.now();
    let partners = context.members().report_partners(now);
    if partners.is_empty() {
        return;
    }
    let header = own_header(context, Vec::new());
    for (partner, unknown) in partners {
        let request = ReportRequest { header: header.clone(), unknown };
        let request = PeerMessage::ReportRequest(request);
        context.permits.send(partner, &request);
    }
}

/// Sends what this router knows of its failure domain, and its own notices.
pub(crate) async fn send_report(
    context: &GatewayContext,
    socket: &UdpSocket,
    peer: SocketAddr,
    wanted: &[SightingTag],
) {
    let now = context.now();
    let header = own_header(context, Vec::new());
    let (members, names) = {
        let mut members = context.members();
        (members.domain_members(header, wanted, now), members.domain_names(now))
    };
    let Some(members) = members else { return };
    let domain = Name::clone(&members.domain);
    let accounts = context.shares().joint_demands(&names, now);
    let demand = DomainDemand { domain: Name::clone(&domain), accounts };
    let loads = context.loads().joint_loads(&names);
    let mut messages = vec![encode_members(members), encode_demand(context, demand)];
    messages.extend(split_loads(&domain, loads).map(encode_load));
    for message in messages {
        if let Err(cause) = socket.send_to(&message, peer).await {
            tracing::debug!(unit = "domains", event = "not_sent", %peer, %cause);
        }
    }
    let quarantine = context.quarantine().notice_for_one(now);
    let limits = context.limits().notice(now);
    let has_leaving = !context.targets().leaving_notices(now).is_empty();
    let downtimes = DowntimeList { targets: downtime_notices_for_one(context) };
    let has_downtimes = !downtimes.targets.is_empty();
    if quarantine.is_empty() && limits.is_empty() && !has_leaving && !has_downtimes {
        return;
    }
    let heartbeat = encode_heartbeat(context, &quarantine, &limits, &downtimes);
    if let Err(cause) = socket.send_to(&heartbeat, peer).await {
        tracing::debug!(unit = "domains", event = "not_sent", %peer, %cause);
    }
}

fn encode_members(mut members: DomainMembers) -> Vec<u8> {
    loop {
        let bytes = encode_peer_message(&PeerMessage::DomainMembers(members.clone()));
        if bytes.len() <= MAX_HEARTBEAT_BYTES || members.headers.len() <= 1 {
            return bytes;
        }
        members.headers.pop();
    }
}

/// Encodes the demand of a domain. If it is too large, the accounts with the highest demand are
/// kept.
fn encode_demand(context: &GatewayContext, mut demand: DomainDemand) -> Vec<u8> {
    demand.accounts.sort_by(|a, b| b.1.cost_per_s.total_cmp(&a.1.cost_per_s));
    loop {
        let bytes = encode_peer_message(&PeerMessage::DomainDemand(demand.clone()));
        if bytes.len() <= MAX_HEARTBEAT_BYTES || demand.accounts.is_empty() {
            return bytes;
        }
        context.metrics.incr("beats_shortened").ok();
        demand.accounts.truncate(demand.accounts.len() * 3 / 4);
    }
}

/// Splits the load of a domain into parts that fit into a datagram each.
fn split_loads(
    domain: &Name,
    loads: Vec<(TargetIdHash, InFlightLoad)>,
) -> impl Iterator<Item = DomainLoad> {
    let mut parts = vec![Vec::new(); LOAD_PARTS as usize];
    for (target, load) in loads {
        parts[target.part(LOAD_PARTS) as usize].push((target, load));
    }
    (0..).zip(parts).map(|(part, targets)| {
        let totals = InFlightTotals::of(targets.iter().map(|(_, load)| load));
        DomainLoad { domain: Name::clone(domain), part, targets, totals }
    })
}

/// Encodes the load of a domain. If it is too large, the targets with the most requests are
/// kept, and the totals tell how much is left out.
fn encode_load(mut load: DomainLoad) -> Vec<u8> {
    load.targets.sort_by_key(|(_, load)| std::cmp::Reverse(load.requests));
    loop {
        let bytes = encode_peer_message(&PeerMessage::DomainLoad(load.clone()));
        if bytes.len() <= MAX_HEARTBEAT_BYTES || load.targets.is_empty() {
            return bytes;
        }
        load.targets.truncate(load.targets.len() * 7 / 8);
    }
}

/// Records the routers of another failure domain; returns the headers of those that are new and
/// may not know this router.
pub(crate) fn record_members(
    context: &GatewayContext,
    report: DomainMembers,
) -> Vec<HeartbeatHeader> {
    let now = context.now();
    if report.domain == context.settings.failure_domain {
        return Vec::new();
    }
    let mut members = context.members();
    let is_first = !members.has_report(&report.domain, now);
    for peer in members.record_sightings(&report, now) {
        tracing::info!(unit = "domains", event = "peer_found", %peer, heard = "Reported");
    }
    // Their own announcements would count twice.
    let announced = if is_first { members.names_in(&report.domain) } else { Vec::new() };
    let mut joined = Vec::new();
    for header in report.headers {
        let outcome = members.record_heartbeat(header.clone(), now);
        if matches!(outcome, HeartbeatOutcome::Joined | HeartbeatOutcome::Restarted) {
            let peer = &header.origin.instance;
            tracing::info!(unit = "domains", event = "peer_found", %peer, heard = ?outcome);
            joined.push(header);
        }
    }
    drop(members);
    for peer in announced {
        forget_announcements(context, &peer);
    }
    joined
}

/// Drops what a router announces alone, as its failure domain's reports have it.
pub(crate) fn forget_announcements(context: &GatewayContext, peer: &Name) {
    context.shares().forget_peer(peer);
    context.loads().forget_peer(peer);
}

/// Whether what a router of the failure domain `domain` announces is part of a report.
pub(crate) fn is_reported(context: &GatewayContext, domain: &str, now: Millis) -> bool {
    domain != &*context.settings.failure_domain && context.members().has_report(domain, now)
}

pub(crate) fn record_demand(context: &GatewayContext, demand: DomainDemand) {
    let now = context.now();
    if is_reported(context, &demand.domain, now) {
        let accounts = demand.accounts.into_iter().collect();
        context.shares().update_peer(domain_key(&demand.domain), accounts, now);
    }
}

pub(crate) fn record_load(context: &GatewayContext, load: &DomainLoad) {
    let now = context.now();
    if is_reported(context, &load.domain, now) {
        let key = load_key(&load.domain, load.part % LOAD_PARTS);
        let mut loads = context.loads();
        loads.update_peer(&key, &load.targets, now);
        loads.update_peer_totals(&key, load.totals);
    }
}
