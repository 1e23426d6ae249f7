//! Ports of the processes of fleets.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, TcpListener, TcpStream};

use bench::{PORT_RANGE, free_address};

const HOST: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));

/// Guards against a port that an outgoing connection or another test takes before the
/// process that it is meant for binds it ("Address already in use").
#[test]
fn ports_are_not_shared_with_outgoing_connections_or_other_tests() {
    let threads: Vec<_> = (0..4)
        .map(|_| {
            std::thread::spawn(|| -> Vec<u16> {
                (0..50).map(|_| free_address(HOST, 2).expect("ports are left").port()).collect()
            })
        })
        .collect();
    let mut ports = BTreeSet::new();
    for thread in threads {
        for first in thread.join().expect("the thread ends") {
            for port in [first, first + 1] {
                assert!(ports.insert(port), "port {port} was handed out twice");
                assert!((PORT_RANGE.0..=PORT_RANGE.1).contains(&port));
            }
        }
    }
    // Outgoing connections use none of them.
    let listener = TcpListener::bind((HOST, 0)).expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let connections: Vec<TcpStream> =
        (0..50).map(|_| TcpStream::connect(address).expect("it accepts")).collect();
    for connection in &connections {
        let port = connection.local_addr().expect("it is connected").port();
        assert!(!(PORT_RANGE.0..=PORT_RANGE.1).contains(&port), "port {port}");
    }
    for port in ports {
        TcpListener::bind((HOST, port)).expect("the port is still free");
    }
}
