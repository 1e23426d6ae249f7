//! Messages in which instances pass on changes of targets and the configuration. Does no I/O.

mod parts;

use std::net::SocketAddr;

use base::{Millis, Name};
use resume::{MoveNotice, VersionNotice};
use route::{ColdSpec, RouteTable};
use serde::{Deserialize, Serialize};
use target::{DomainListing, LeftTarget, RemovalNotice, TargetRecord};

pub use parts::{append_part, decode_part};

/// Largest accepted response to a request for changes, in bytes.
pub const MAX_CHANGES_BYTES: usize = 16 << 20;
/// Path at which a router serves changes to its peers.
pub const CHANGES_PATH: &str = "/peer/v1/changes";

/// The configuration of the router. It follows its condition in a heartbeat, and the notice
/// in a response.
///
/// A router that starts beside a restored source may read an older configuration there than
/// its peers have, at a higher revision than theirs.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigurationNotice {
    pub version: Option<u64>,
}

/// Revision after which there are no records, in requests for what else a peer knows.
pub const NO_RECORDS: u64 = u64::MAX - 1;

/// Asks a peer for the changes after a revision.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangesRequest {
    pub after: u64,
    /// The response has the configuration if it is newer than this version.
    pub version: Option<u64>,
}

impl ChangesRequest {
    /// Asks for changes of targets alone.
    pub fn of_targets(after: u64) -> Self {
        Self { after, version: Some(u64::MAX) }
    }

    /// Asks for the configuration alone.
    pub fn of_configuration(version: Option<u64>) -> Self {
        Self { after: u64::MAX, version }
    }

    pub fn is_for_configuration(&self) -> bool {
        self.after == u64::MAX
    }
}

/// Where the sender of a request for the configuration will serve it. It follows the request in
/// the same body.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReceiverNotice {
    pub address: SocketAddr,
}

/// The peers to ask for the configuration instead of the sender, which serves enough of them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigurationReferral {
    pub version: u64,
    pub holders: Vec<SocketAddr>,
}

/// Decodes a request for changes, and what follows it.
///
/// # Errors
/// Returns an error if the body does not start with a request.
pub fn decode_changes_request(
    mut body: &[u8],
) -> Result<(ChangesRequest, Option<ReceiverNotice>), rmp_serde::decode::Error> {
    let request = rmp_serde::from_read(&mut body)?;
    Ok((request, decode_part(&mut body)))
}

/// The changes that a router knows after a revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangesResponse {
    /// Revision up to which the response is complete.
    pub revision: u64,
    /// The configuration, if it is newer than the version in the request.
    pub table: Option<RouteTable>,
    pub records: Vec<TargetRecord>,
    /// Milliseconds since the source became reachable again after an outage.
    #[serde(rename = "source_back_age")]
    pub source_recovery_age: Option<Millis>,
}

impl ChangesResponse {
    /// Creates a response with the configuration alone.
    pub fn of_configuration(table: Option<RouteTable>) -> Self {
        Self { revision: 0, table, records: Vec::new(), source_recovery_age: None }
    }
}

/// What a router knows beside the changes. It follows them in the same response, where
/// routers of earlier versions do not read it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ChangesNotice {
    /// Targets that left lately; a source that is restored from a copy may still have them.
    pub left: Vec<LeftTarget>,
}

/// Software versions of the targets in the changes. It follows the configuration notice in the
/// same response, where routers of earlier versions do not read it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct SoftwareNotice {
    /// In the order of the records that have an entry.
    versions: Vec<Name>,
}

impl SoftwareNotice {
    fn of(records: &[TargetRecord]) -> Self {
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

/// Which services of the configuration have targets that may be cold. It follows the evacuated
/// failure domains in the same response, where routers of earlier versions do not read it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ColdNotice {
    /// Version of the configuration.
    pub version: Option<u64>,
    pub services: Vec<(Name, ColdSpec)>,
}

impl ColdNotice {
    pub fn of(table: Option<&RouteTable>) -> Self {
        let services = table.map(RouteTable::cold_specs).unwrap_or_default();
        Self { version: table.map(|table| table.version), services }
    }
}

/// A response to a request for changes, and the parts that follow it.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerChanges {
    pub response: ChangesResponse,
    pub notice: ChangesNotice,
    /// Of the configuration that the peer had at the revision of the response.
    pub configuration: ConfigurationNotice,
    /// What the peer has seen of software versions.
    pub versions: VersionNotice,
    /// Evacuated failure domains; `None` from routers of earlier versions.
    pub domains: Option<DomainListing>,
    pub cold: ColdNotice,
    /// What the peer knows of moved streams. Routers of earlier versions do not send it.
    pub moves: MoveNotice,
    /// What the peer knows of removals; `None` beside a configuration alone, and from routers of
    /// earlier versions.
    pub removals: Option<RemovalNotice>,
}

impl PeerChanges {
    /// Creates a response with the configuration alone.
    pub fn of_configuration(table: &RouteTable) -> Self {
        Self {
            response: ChangesResponse::of_configuration(Some(table.clone())),
            notice: ChangesNotice::default(),
            configuration: ConfigurationNotice { version: Some(table.version) },
            versions: VersionNotice::default(),
            domains: None,
            cold: ColdNotice::of(Some(table)),
            moves: MoveNotice::default(),
            removals: None,
        }
    }
}

/// Encodes a response and all its parts: each needs those before it, as their order tells them
/// apart.
///
/// # Errors
/// Returns an error if the response can't be encoded.
pub fn encode_changes(changes: &PeerChanges) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let PeerChanges { response, notice, configuration, versions, domains, cold, moves, removals } =
        changes;
    let mut bytes = rmp_serde::to_vec(response)?;
    append_part(&mut bytes, notice);
    append_part(&mut bytes, configuration);
    append_part(&mut bytes, &SoftwareNotice::of(&response.records));
    append_part(&mut bytes, versions);
    append_part(&mut bytes, &domains.clone().unwrap_or_default());
    append_part(&mut bytes, cold);
    append_part(&mut bytes, moves);
    if let Some(removals) = removals {
        append_part(&mut bytes, removals);
    }
    Ok(bytes)
}

/// Decodes the response of a peer to a request for changes, and what follows it.
///
/// # Errors
/// Returns an error if the body does not start with a response.
pub fn decode_changes(mut body: &[u8]) -> Result<PeerChanges, rmp_serde::decode::Error> {
    let mut response: ChangesResponse = rmp_serde::from_read(&mut body)?;
    let notice = decode_part(&mut body).unwrap_or_default();
    let configuration = decode_part(&mut body).unwrap_or_default();
    let software: SoftwareNotice = decode_part(&mut body).unwrap_or_default();
    software.apply(&mut response.records);
    let versions = decode_part(&mut body).unwrap_or_default();
    let before_domains = body;
    let domains = decode_part(&mut body);
    if domains.is_none() && rmp_serde::from_read::<_, ColdNotice>(before_domains).is_ok() {
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
    let removals = decode_part(&mut body);
    Ok(PeerChanges { response, notice, configuration, versions, domains, cold, moves, removals })
}
