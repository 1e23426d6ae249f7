//! Messages between routers, except for those of the membership protocol.

use admit::AccountDemand;
use base::Name;
use changes::{ConfigurationNotice, append_part, decode_part};
use mesh::{DomainMembers, Heartbeat, ReportRequest, SourceNotice};
use quarantine::QuarantineNotice;
use rate::{ColdRequest, ColdResponse, LimitNotice, PermitRequest, PermitResponse};
use resume::{HolderAnswer, StreamKey, StreamRecord};
use serde::{Deserialize, Serialize};
use target::{DowntimeNotice, InFlightLoad, InFlightTotals, LeavingTarget, TargetIdHash};
use work::{OfferRequest, OfferResponse, PlacementNotice, WorkReport};

/// Largest heartbeat datagram, in bytes. It stays below the usual packet size.
pub(crate) const MAX_HEARTBEAT_BYTES: usize = 1_400;
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
