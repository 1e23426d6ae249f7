//! Parts of the responses to requests for changes, which are told apart by their order.

use base::Name;
use changes::{
    ChangesNotice, ChangesResponse, ColdNotice, ConfigurationNotice, PeerChanges, append_part,
    decode_changes, encode_changes,
};
use resume::{MoveNotice, VersionNotice};
use route::{CallerLimits, ColdSpec, RouteTable, RouteTableBuilder, ServiceSpec};
use serde::Serialize;
use serde::de::DeserializeOwned;
use target::{
    DomainListing, DomainRecord, LeftTarget, RemovalNotice, TargetEntry, TargetRecord, TargetState,
};

const VERSION: u64 = 3;
/// Parts with an index, the response included.
const PARTS: usize = 8;
/// Index of the software versions, which are a part of the records once they are decoded.
const SOFTWARE: usize = PARTS;

fn encoded(value: impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(&value).expect("it can be encoded")
}

/// Returns a type with private fields as it is decoded.
fn decoded<T: DeserializeOwned>(fields: impl Serialize) -> T {
    rmp_serde::from_slice(&encoded(fields)).expect("the fields are those of the type")
}

fn table(cold: Option<ColdSpec>) -> RouteTable {
    let limits = CallerLimits {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        head_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    let service = ServiceSpec { name: "one".into(), max_connections: 1, engine: None, cold };
    RouteTableBuilder::new(VERSION, limits).service(service).build()
}

fn cold_spec() -> ColdSpec {
    ColdSpec { start_ms: 3_000, per_second: 8.9 }
}

fn record() -> TargetRecord {
    let entry = TargetEntry {
        id: "t".into(),
        incarnation: 7,
        service: "one".into(),
        address: ([127, 0, 0, 1], 8_000).into(),
        failure_domain: "a".into(),
        slots: 4,
        state: TargetState::Serving,
        warm_up_ms: 0,
        software_version: "v2".into(),
    };
    TargetRecord { id: "t".into(), entry: Some(entry), revision: 5 }
}

/// Returns a response in which only the parts that `has` selects are not empty.
fn response(has: impl Fn(usize) -> bool) -> PeerChanges {
    let records = if has(0) { vec![record()] } else { Vec::new() };
    let left = LeftTarget { id: "l".into(), incarnation: 1, revision: 4, age: 20 };
    let domain = DomainRecord { domain: "a".into(), is_evacuated: true, revision: 6 };
    let domains = DomainListing { revision: 6, records: vec![domain], ages: vec![30] };
    let cold = ColdNotice { version: Some(VERSION), services: vec![("one".into(), cold_spec())] };
    let versions: VersionNotice = decoded((9u64, vec![("one", "v2", 40u64)]));
    let moves: MoveNotice = decoded((Some(VERSION), 50u64, vec![("one", 60u64)], 70u64, 80u64));
    PeerChanges {
        response: ChangesResponse { records, ..ChangesResponse::of_configuration(None) },
        notice: ChangesNotice { left: if has(1) { vec![left] } else { Vec::new() } },
        configuration: ConfigurationNotice { version: has(2).then_some(VERSION) },
        versions: if has(3) { versions } else { VersionNotice::default() },
        domains: Some(if has(4) { domains } else { DomainListing::default() }),
        cold: if has(5) { cold } else { ColdNotice::default() },
        moves: if has(6) { moves } else { MoveNotice::default() },
        removals: has(7).then(|| RemovalNotice { since: 4, present: Some(vec!["t".into()]) }),
    }
}

/// Guards against a part that is taken for another one, such as cold rates for evacuated failure
/// domains (FAILBACK).
#[test]
fn each_part_is_decoded_as_it_was_encoded() {
    let all = response(|_| true);
    assert_eq!(decode_changes(&encode_changes(&all).unwrap()).unwrap(), all);
    for only in 0..PARTS {
        let one = response(|part| part == only);
        assert_eq!(decode_changes(&encode_changes(&one).unwrap()).unwrap(), one, "part {only}");
    }
    let configuration = PeerChanges::of_configuration(&table(Some(cold_spec())));
    let read = decode_changes(&encode_changes(&configuration).unwrap()).unwrap();
    let domains = Some(DomainListing::default());
    assert_eq!(read, PeerChanges { domains, ..configuration });
}

/// Encodes a response of a router that knows one more element of the part `longer`.
fn encode_longer(longer: usize) -> Vec<u8> {
    let PeerChanges { response, notice, configuration, versions, domains, cold, moves, removals } =
        response(|_| true);
    let mut bytes = encoded(&response);
    let append = |bytes: &mut Vec<u8>, index: usize, part: Vec<u8>| {
        // The first byte of a short array is its length.
        let is_longer = index == longer;
        bytes.push(part[0] + u8::from(is_longer));
        bytes.extend_from_slice(&part[1..]);
        if is_longer {
            append_part(bytes, &vec![("later", 1u64)]);
        }
    };
    append(&mut bytes, 1, encoded(&notice));
    append(&mut bytes, 2, encoded(configuration));
    append(&mut bytes, SOFTWARE, encoded(&(vec!["v2"],)));
    append(&mut bytes, 3, encoded(&versions));
    append(&mut bytes, 4, encoded(&domains));
    append(&mut bytes, 5, encoded(&cold));
    append(&mut bytes, 6, encoded(&moves));
    append(&mut bytes, 7, encoded(removals));
    bytes
}

/// Guards against parts that are lost or taken for others, as a router of a later version sends one
/// more element in a part before them (FAILBACK).
#[test]
fn parts_after_one_that_is_not_understood_are_decoded() {
    for longer in 1..=PARTS {
        let mut expected = response(|part| part != longer);
        if longer == 4 {
            expected.domains = None;
        }
        if longer == SOFTWARE {
            let entry = expected.response.records[0].entry.as_mut().unwrap();
            entry.software_version = Name::default();
        }
        assert_eq!(decode_changes(&encode_longer(longer)).unwrap(), expected, "part {longer}");
    }
}

/// Guards against targets that are taken for warm (FAILBACK), as a router of the version before
/// sends no evacuated failure domains beside a configuration.
#[test]
fn cold_rates_of_the_version_before_are_decoded() {
    let table = table(None);
    let mut bytes =
        rmp_serde::to_vec(&ChangesResponse::of_configuration(Some(table.clone()))).unwrap();
    append_part(&mut bytes, &ChangesNotice::default());
    append_part(&mut bytes, &ConfigurationNotice { version: Some(VERSION) });
    append_part(&mut bytes, &(Vec::<&str>::new(),));
    append_part(&mut bytes, &VersionNotice::default());
    let services = vec![("one".into(), cold_spec())];
    let cold = ColdNotice { version: Some(VERSION), services: services.clone() };
    append_part(&mut bytes, &cold);
    let read = decode_changes(&bytes).unwrap();
    assert_eq!(read.cold, cold);
    assert_eq!(read.response.table.unwrap().cold_specs(), services);
}
