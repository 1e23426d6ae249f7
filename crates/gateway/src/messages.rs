//! Messages between routers, except for those of the membership protocol.

use std::net::SocketAddr;

use admit::AccountDemand;
use base::{Millis, Name};
use mesh::{DomainMembers, Heartbeat, ReportRequest, SourceNotice};
use quarantine::QuarantineNotice;
use rate::{ColdRequest, ColdResponse, LimitNotice, PermitRequest, PermitResponse};
use resume::{HolderAnswer, MoveNotice, StreamKey, StreamRecord, VersionNotice};
use route::{ColdSpec, RouteTable};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use target::{
    DomainListing, DowntimeNotice, InFlightLoad, InFlightTotals, LeavingTarget, LeftTarget,
    TargetIdHash, TargetRecord,
};
use work::{OfferRequest, OfferResponse, PlacementNotice, WorkReport};

/// Largest heartbeat datagram, in bytes. It stays below the usual packet size.
pub(crate) const MAX_HEARTBEAT_BYTES: usize = 1_400;
/// Largest accepted response to a request for changes, in bytes.
pub(crate) const MAX_CHANGES_BYTES: usize = 16 << 20;
/// Path at which a router serves changes to its peers.
pub(crate) const CHANGES_PATH: &str = "/peer/v1/changes";

/// Demand and load that a router announces in each heartbeat.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct HeartbeatPayload {
    pub(crate) accounts: Vec<(Name, AccountDemand)>,
    pub(crate) targets: Vec<(TargetIdHash, InFlightLoad)>,
}

/// What a router announces beside a heartbeat. It follows the heartbeat in the same
/// datagram, where routers of earlier versions do not read it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct HeartbeatNotice {
    /// Load at all targets. The heartbeat may list only some of them.
    pub(crate) totals: InFlightTotals,
}

/// State of the router itself. It follows the notice in the same datagram, where
/// routers of earlier versions do not read it.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct RouterCondition {
    /// Whether the router serves its callers late and should get no more of them.
    pub(crate) is_saturated: bool,
}

/// The configuration of the router. It follows its condition in the same datagram.
///
/// A router that starts beside a restored source may read an older configuration there than
/// its peers have, at a higher revision than theirs.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct ConfigurationNotice {
    pub(crate) version: Option<u64>,
}

/// A decoded datagram of another router.
#[derive(Debug)]
pub(crate) struct PeerDatagram {
    pub(crate) heartbeat: Heartbeat<HeartbeatPayload>,
    pub(crate) notice: Option<HeartbeatNotice>,
    pub(crate) condition: RouterCondition,
    pub(crate) configuration: ConfigurationNotice,
    pub(crate) quarantine: QuarantineNotice,
    pub(crate) limits: LimitNotice,
    pub(crate) leaving: LeavingNotice,
    pub(crate) downtimes: DowntimeList,
}

/// Targets that said in responses to the sender that they leave. It follows the limits in the
/// same datagram, where routers of earlier versions do not read it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct LeavingNotice {
    pub(crate) targets: Vec<LeavingTarget>,
}

/// Targets that were seen not to listen, and may have started again under their names. It follows
/// the targets that leave in the same datagram, where routers of earlier versions do not read it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct DowntimeList {
    pub(crate) targets: Vec<DowntimeNotice>,
}

/// First byte of a short message. MessagePack does not use it, so no heartbeat
/// begins with it.
const MESSAGE_MARKER: u8 = 0xc1;

/// A short message that does not wait for a heartbeat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum PeerMessage {
    #[serde(rename = "Request")]
    PermitRequest(PermitRequest),
    #[serde(rename = "Response")]
    PermitResponse(PermitResponse),
    /// The sender has read the configuration source.
    SourceRead(SourceNotice),
    /// The sender wants reports of the receiver's failure domain.
    ReportRequest(ReportRequest),
    DomainMembers(DomainMembers),
    DomainDemand(DomainDemand),
    DomainLoad(DomainLoad),
    /// Streams that began, of which the receiver is a holder.
    StreamsBegan(Vec<StreamRecord>),
    OriginRequest(OriginRequest),
    OriginResponse(OriginResponse),
    ColdRequest(ColdRequest),
    ColdResponse(ColdResponse),
    // Names on the wire are short from here on, as these messages are sent for each request.
    #[serde(rename = "ask")]
    OfferRequest(OfferRequest),
    #[serde(rename = "bid")]
    OfferResponse(OfferResponse),
    #[serde(rename = "put")]
    PlacementNotice(PlacementNotice),
    #[serde(rename = "saw")]
    WorkReport(WorkReport),
}

/// Asks a holder which software version began a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct OriginRequest {
    /// Repeated in the response.
    pub(crate) number: u64,
    pub(crate) key: StreamKey,
    pub(crate) service: Name,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct OriginResponse {
    pub(crate) number: u64,
    pub(crate) answer: HolderAnswer,
}

/// Demand of the client accounts at all routers of a failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct DomainDemand {
    pub(crate) domain: Name,
    pub(crate) accounts: Vec<(Name, AccountDemand)>,
}

/// Load that all routers of a failure domain put on a part of the targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct DomainLoad {
    pub(crate) domain: Name,
    /// Index of the part.
    pub(crate) part: u32,
    pub(crate) targets: Vec<(TargetIdHash, InFlightLoad)>,
    /// Load at all targets of the part. `targets` may list only some of them.
    pub(crate) totals: InFlightTotals,
}

/// Whether a datagram is a short message. All others are heartbeats.
pub(crate) fn is_peer_message(datagram: &[u8]) -> bool {
    datagram.first() == Some(&MESSAGE_MARKER)
}

pub(crate) fn encode_peer_message(message: &PeerMessage) -> Vec<u8> {
    let mut datagram = vec![MESSAGE_MARKER];
    append_part(&mut datagram, message);
    datagram
}

/// Decodes a short message.
///
/// # Errors
/// Returns an error if the datagram is not understood.
pub(crate) fn decode_peer_message(
    datagram: &[u8],
) -> Result<PeerMessage, rmp_serde::decode::Error> {
    rmp_serde::from_slice(datagram.get(1..).unwrap_or_default())
}

/// Appends a part that follows an encoded message.
pub(crate) fn append_part(datagram: &mut Vec<u8>, part: &impl Serialize) {
    if let Err(cause) = rmp_serde::encode::write(datagram, part) {
        tracing::error!(unit = "beats", event = "not_encoded", %cause);
    }
}

/// Decodes a heartbeat and what follows it.
///
/// # Errors
/// Returns an error if the datagram does not start with a heartbeat.
pub(crate) fn decode_heartbeat(datagram: &[u8]) -> Result<PeerDatagram, rmp_serde::decode::Error> {
    let mut rest = datagram;
    let heartbeat = rmp_serde::from_read(&mut rest)?;
    let notice = decode_part(&mut rest);
    let condition = decode_part(&mut rest).unwrap_or_default();
    let configuration = decode_part(&mut rest).unwrap_or_default();
    let quarantine = decode_part(&mut rest).unwrap_or_default();
    let limits = decode_part(&mut rest).unwrap_or_default();
    let leaving = decode_part(&mut rest).unwrap_or_default();
    let downtimes = decode_part(&mut rest).unwrap_or_default();
    Ok(PeerDatagram {
        heartbeat,
        notice,
        condition,
        configuration,
        quarantine,
        limits,
        leaving,
        downtimes,
    })
}

/// Decodes the next part of a datagram; `None` if it ends or is not understood.
fn decode_part<T: DeserializeOwned>(rest: &mut &[u8]) -> Option<T> {
    if rest.is_empty() {
        return None;
    }
    let part = rmp_serde::from_read(rest).inspect_err(|cause| {
        tracing::debug!(unit = "beats", event = "notice_not_understood", %cause);
    });
    part.ok()
}

/// Revision after which there are no records, in requests for what else a peer knows.
pub(crate) const NO_RECORDS: u64 = u64::MAX - 1;

/// Asks a peer for the changes after a revision.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ChangesRequest {
    pub(crate) after: u64,
    /// The response has the configuration if it is newer than this version.
    pub(crate) version: Option<u64>,
}

impl ChangesRequest {
    /// Asks for changes of targets alone.
    pub(crate) fn of_targets(after: u64) -> Self {
        Self { after, version: Some(u64::MAX) }
    }

    /// Asks for the configuration alone.
    pub(crate) fn of_configuration(version: Option<u64>) -> Self {
        Self { after: u64::MAX, version }
    }

    pub(crate) fn is_for_configuration(&self) -> bool {
        self.after == u64::MAX
    }
}

/// Where the sender of a request for the configuration will serve it. It follows the request in
/// the same body.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ReceiverNotice {
    pub(crate) address: SocketAddr,
}

/// The peers to ask for the configuration instead of the sender, which serves enough of them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ConfigurationReferral {
    pub(crate) version: u64,
    pub(crate) holders: Vec<SocketAddr>,
}

/// Decodes a request for changes, and what follows it.
///
/// # Errors
/// Returns an error if the body does not start with a request.
pub(crate) fn decode_changes_request(
    mut body: &[u8],
) -> Result<(ChangesRequest, Option<ReceiverNotice>), rmp_serde::decode::Error> {
    let request = rmp_serde::from_read(&mut body)?;
    Ok((request, decode_part(&mut body)))
}

/// The changes that a router knows after a revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ChangesResponse {
    /// Revision up to which the response is complete.
    pub(crate) revision: u64,
    /// The configuration, if it is newer than the version in the request.
    pub(crate) table: Option<RouteTable>,
    pub(crate) records: Vec<TargetRecord>,
    /// Milliseconds since the source became reachable again after an outage.
    #[serde(rename = "source_back_age")]
    pub(crate) source_recovery_age: Option<Millis>,
}

impl ChangesResponse {
    /// Creates a response with the configuration alone.
    pub(crate) fn of_configuration(table: Option<RouteTable>) -> Self {
        Self { revision: 0, table, records: Vec::new(), source_recovery_age: None }
    }
}

/// What a router knows beside the changes. It follows them in the same response, where
/// routers of earlier versions do not read it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct ChangesNotice {
    /// Targets that left lately; a source that is restored from a copy may still have them.
    pub(crate) left: Vec<LeftTarget>,
}

/// Software versions of the targets in the changes. It follows the configuration notice in the
/// same response, where routers of earlier versions do not read it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct SoftwareNotice {
    /// In the order of the records that have an entry.
    versions: Vec<Name>,
}

impl SoftwareNotice {
    pub(crate) fn of(records: &[TargetRecord]) -> Self {
        let entries = records.iter().filter_map(|record| record.entry.as_ref());
        Self { versions: entries.map(|entry| Name::clone(&entry.software_version)).collect() }
    }

    fn apply(self, records: &mut [TargetRecord]) {
        let entries = records.iter_mut().filter_map(|record| record.entry.as_mut());
        for (entry, version) in entries.zip(self.versions) {
            entry.software_version = version;
        }
    }
}

/// Which services of the configuration have targets that may be cold. It follows the versions of
/// streams in the same response, where routers of earlier versions do not read it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct ColdNotice {
    /// Version of the configuration.
    pub(crate) version: Option<u64>,
    pub(crate) services: Vec<(Name, ColdSpec)>,
}

impl ColdNotice {
    pub(crate) fn of(table: Option<&RouteTable>) -> Self {
        let services = table.map(RouteTable::cold_specs).unwrap_or_default();
        Self { version: table.map(|table| table.version), services }
    }
}

/// Encodes a configuration, and what follows it.
///
/// # Errors
/// Returns an error if the configuration can't be encoded.
pub(crate) fn encode_configuration(
    table: &RouteTable,
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let response = ChangesResponse::of_configuration(Some(table.clone()));
    let mut bytes = rmp_serde::to_vec(&response)?;
    // Parts are told apart by their order.
    append_part(&mut bytes, &ChangesNotice::default());
    append_part(&mut bytes, &ConfigurationNotice { version: Some(table.version) });
    append_part(&mut bytes, &SoftwareNotice::of(&[]));
    append_part(&mut bytes, &VersionNotice::default());
    append_part(&mut bytes, &DomainListing::default());
    append_part(&mut bytes, &ColdNotice::of(Some(table)));
    Ok(bytes)
}

/// A decoded response to a request for changes.
#[derive(Debug)]
pub(crate) struct PeerChanges {
    pub(crate) response: ChangesResponse,
    pub(crate) notice: ChangesNotice,
    /// Of the configuration that the peer had at the revision of the response.
    pub(crate) configuration: ConfigurationNotice,
    /// What the peer has seen of software versions.
    pub(crate) versions: VersionNotice,
    /// Evacuated failure domains; `None` from routers of earlier versions.
    pub(crate) domains: Option<DomainListing>,
    pub(crate) cold: ColdNotice,
    /// What the peer knows of moved streams. Routers of earlier versions do not send it.
    pub(crate) moves: MoveNotice,
}

/// Decodes the response of a peer to a request for changes, and what follows it.
///
/// # Errors
/// Returns an error if the body does not start with a response.
pub(crate) fn decode_changes(mut body: &[u8]) -> Result<PeerChanges, rmp_serde::decode::Error> {
    let mut response: ChangesResponse = rmp_serde::from_read(&mut body)?;
    let notice = decode_part(&mut body).unwrap_or_default();
    let configuration = decode_part(&mut body).unwrap_or_default();
    let software: SoftwareNotice = decode_part(&mut body).unwrap_or_default();
    software.apply(&mut response.records);
    let versions = decode_part(&mut body).unwrap_or_default();
    let before_domains = body;
    let domains = decode_part(&mut body);
    if domains.is_none() {
        // Routers of earlier versions leave the domains out beside a configuration.
        body = before_domains;
    }
    let cold: ColdNotice = decode_part(&mut body).unwrap_or_default();
    if let Some(table) = &mut response.table
        && Some(table.version) == cold.version
    {
        table.set_cold_specs(cold.services.clone());
    }
    let moves = decode_part(&mut body).unwrap_or_default();
    Ok(PeerChanges { response, notice, configuration, versions, domains, cold, moves })
}
