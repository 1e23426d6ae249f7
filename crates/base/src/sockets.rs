//! What the system tells of a socket.

use std::os::fd::RawFd;

/// Returns the bytes of a socket that its peer has not acknowledged, or `None` if the system does not
/// tell.
pub fn unacknowledged_bytes(descriptor: RawFd) -> Option<usize> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the request writes one `c_int`, and fails for a descriptor that is not open.
    let result = unsafe { libc::ioctl(descriptor, libc::TIOCOUTQ, &raw mut bytes) };
    usize::try_from(bytes).ok().filter(|_| result == 0)
}
