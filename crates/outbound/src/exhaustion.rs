//! Tells a lack of this machine's own resources from a fault of a peer.

use std::error::Error;
use std::io;

use nix::errno::Errno;

/// Whether an operation on a socket failed as this process or machine has no descriptor,
/// buffer, memory or local port left. Such an error says nothing about the peer.
pub fn is_local_exhaustion(cause: &io::Error) -> bool {
    match cause.raw_os_error().map(Errno::from_raw) {
        Some(errno) => matches!(
            errno,
            Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM | Errno::EADDRNOTAVAIL
        ),
        None => {
            matches!(cause.kind(), io::ErrorKind::AddrNotAvailable | io::ErrorKind::OutOfMemory)
        }
    }
}

/// Whether the error or one of its sources is a local exhaustion.
pub(crate) fn is_caused_by_exhaustion(error: &(dyn Error + 'static)) -> bool {
    let mut next = Some(error);
    while let Some(cause) = next {
        if cause.downcast_ref::<io::Error>().is_some_and(is_local_exhaustion) {
            return true;
        }
        next = cause.source();
    }
    false
}
