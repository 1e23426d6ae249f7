//! What counts as a lack of this machine's own resources.

#![expect(clippy::unwrap_used, reason = "a stand-in that fails ends its test")]

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use nix::errno::Errno;
use outbound::{ExchangeError, connect, is_local_exhaustion};

/// Guards against a target that is taken for unreachable as this machine lacks descriptors,
/// buffers, memory or local ports.
#[test]
fn lack_of_own_resources_is_told_from_faults_of_a_peer() {
    let own = [Errno::EMFILE, Errno::ENFILE, Errno::ENOBUFS, Errno::ENOMEM, Errno::EADDRNOTAVAIL];
    for errno in own {
        assert!(is_local_exhaustion(&io::Error::from(errno)), "{errno}");
    }
    let foreign = [
        Errno::ECONNREFUSED,
        Errno::ECONNRESET,
        Errno::ECONNABORTED,
        Errno::EHOSTUNREACH,
        Errno::ENETUNREACH,
        Errno::EPIPE,
        Errno::ETIMEDOUT,
    ];
    for errno in foreign {
        assert!(!is_local_exhaustion(&io::Error::from(errno)), "{errno}");
    }
    for kind in [io::ErrorKind::AddrNotAvailable, io::ErrorKind::OutOfMemory] {
        assert!(is_local_exhaustion(&io::Error::from(kind)), "{kind}");
    }
    for kind in [io::ErrorKind::ConnectionRefused, io::ErrorKind::TimedOut] {
        assert!(!is_local_exhaustion(&io::Error::from(kind)), "{kind}");
    }
}

fn try_connect(peer: SocketAddr) -> ExchangeError {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let connecting = connect(peer, Duration::from_secs(10));
    tokio::task::LocalSet::new().block_on(&runtime, connecting).unwrap_err()
}

#[test]
fn refused_connection_is_no_lack_of_own_resources() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = listener.local_addr().unwrap();
    drop(listener);
    let error = try_connect(peer);
    assert!(matches!(error, ExchangeError::NotSent { .. }), "{error}");
    assert!(error.is_unsent());
}

#[test]
fn only_an_exhaustion_with_a_sent_request_may_have_run() {
    let peer = SocketAddr::from(([127, 0, 0, 1], 9));
    let exhausted = |is_sent| {
        let cause = String::from("Too many open files");
        ExchangeError::Exhausted { step: "connect", peer, cause, is_sent }
    };
    assert!(exhausted(false).is_unsent());
    assert!(!exhausted(true).is_unsent());
    assert!(ExchangeError::TimedOut { peer, waited_ms: 600 }.is_unsent());
    assert!(!ExchangeError::Sent { peer, cause: String::new() }.is_unsent());
}
