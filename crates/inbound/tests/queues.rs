//! What the system tells of queues.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use inbound::SocketQueues;

/// Time in which the system shows a change.
const TIMEOUT: Duration = Duration::from_secs(5);

fn wait_for(listener: &TcpListener, expected: SocketQueues) {
    let address = listener.local_addr().expect("the listener is bound");
    let begun_at = Instant::now();
    loop {
        let queues = SocketQueues::read(address).expect("the system tells");
        if queues == expected {
            return;
        }
        assert!(begun_at.elapsed() < TIMEOUT, "{queues:?} instead of {expected:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against bytes and connections that are taken for delivered (LOST), also once the router
/// has closed their connection.
#[test]
fn queues_are_seen_until_they_are_taken() {
    for address in ["127.0.0.1:0", "[::1]:0"] {
        // A machine without the protocol has no such address.
        let Ok(listener) = TcpListener::bind(address) else { continue };
        let nothing = SocketQueues::default();
        wait_for(&listener, nothing);
        let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        wait_for(&listener, SocketQueues { unaccepted: 1, ..nothing });
        let (mut served, _) = listener.accept().unwrap();
        wait_for(&listener, nothing);
        caller.write_all(b"request").unwrap();
        wait_for(&listener, SocketQueues { unread: 1, ..nothing });
        assert_eq!(served.read(&mut [0; 16]).unwrap(), 7);
        wait_for(&listener, nothing);
        // More than the buffers of both sides take.
        served.set_nonblocking(true).unwrap();
        while served.write(&[0; 64 << 10]).is_ok() {}
        drop(served);
        wait_for(&listener, SocketQueues { unacknowledged: 1, ..nothing });
        caller.read_to_end(&mut Vec::new()).unwrap();
        wait_for(&listener, nothing);
    }
}
