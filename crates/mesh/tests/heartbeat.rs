//! Tests of the encoding of heartbeats.

use std::net::SocketAddr;

use base::Origin;
use mesh::{Heartbeat, HeartbeatHeader, PeerAddresses, SourceView};

fn heartbeat() -> Heartbeat<Vec<u32>> {
    let address = SocketAddr::from(([10, 0, 0, 1], 7_400));
    let header = HeartbeatHeader {
        origin: Origin { instance: "router-1".into(), incarnation: 1 },
        sequence: 7,
        domain: "zone-1".into(),
        addresses: PeerAddresses { beats: address, peers: address, callers: address },
        is_draining: false,
        source: SourceView::default(),
        known_peers: vec![address],
    };
    Heartbeat { header, payload: vec![1, 2, 3] }
}

/// Guards against routers of different versions that do not understand each other:
/// later versions append data to a heartbeat.
#[test]
fn data_after_a_heartbeat_is_ignored() {
    let expected = heartbeat();
    let mut datagram = rmp_serde::to_vec(&expected).expect("a heartbeat can be encoded");
    rmp_serde::encode::write(&mut datagram, &(5_u32, "later")).expect("a tuple can be encoded");
    let decoded: Heartbeat<Vec<u32>> =
        rmp_serde::from_slice(&datagram).expect("the heartbeat comes first");
    assert_eq!(decoded, expected);
}

/// Guards against appended data that a router of the same version does not find.
#[test]
fn data_after_a_heartbeat_can_be_read() {
    let expected = heartbeat();
    let mut datagram = rmp_serde::to_vec(&expected).expect("a heartbeat can be encoded");
    rmp_serde::encode::write(&mut datagram, &(5_u32, "later")).expect("a tuple can be encoded");
    let mut rest = datagram.as_slice();
    let decoded: Heartbeat<Vec<u32>> =
        rmp_serde::from_read(&mut rest).expect("the heartbeat comes first");
    assert_eq!(decoded, expected);
    let later: (u32, String) = rmp_serde::from_slice(rest).expect("the tuple follows");
    assert_eq!(later, (5, "later".to_owned()));
}
