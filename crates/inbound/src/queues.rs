//! What only the system holds of a router's connections, also of those that the router has closed.
//! Linux tells by `NETLINK_SOCK_DIAG`, which passes over the many closed sockets of a busy machine.

use std::io::{self, ErrorKind, Read};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

/// Longest time to wait for a part of the listing.
const PART_TIMEOUT: Duration = Duration::from_millis(50);
/// Largest part of the listing, in bytes.
const PART_BYTES: usize = 32 << 10;
/// Types of messages, and the flags of a request for a listing.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLMSG_ERROR: u16 = 2;
const NLMSG_DONE: u16 = 3;
const DUMP_FLAGS: u16 = 0x301;
/// States of a socket. Those that have ended hold nothing.
const ESTABLISHED: u8 = 1;
const TIME_WAIT: u8 = 6;
const CLOSED: u8 = 7;
const LISTENING: u8 = 10;
/// Lengths of the head of a message, of a request and of an entry, in bytes.
const HEAD_BYTES: usize = 16;
const REQUEST_BYTES: usize = HEAD_BYTES + 56;
const ENTRY_BYTES: usize = 72;

/// Sockets with bytes or connections that only the system holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SocketQueues {
    /// Connections that the peer has opened and the router has not accepted.
    pub unaccepted: usize,
    /// Open connections with bytes that the router has not read.
    pub unread: usize,
    /// Connections with bytes, or an end, that the peer has not acknowledged.
    pub unacknowledged: usize,
}

/// A connection with bytes that only the system holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedSocket {
    pub peer: SocketAddr,
    /// Bytes that the router has not read. With any of them, a close resets the connection.
    pub unread: usize,
    /// Bytes, and one for an end, that the peer has not acknowledged.
    pub unacknowledged: usize,
}

/// An entry of the listing.
#[derive(Clone, Copy, Debug)]
struct SocketEntry {
    local: SocketAddr,
    peer: SocketAddr,
    state: u8,
    /// Bytes that wait to be read, or connections that wait to be accepted.
    received: usize,
    /// Bytes that wait to be acknowledged.
    sent: usize,
}

impl SocketQueues {
    /// Reads the queues of the sockets whose own address is `listen`.
    ///
    /// # Errors
    /// Returns an error if the system does not tell.
    pub fn read(listen: SocketAddr) -> io::Result<Self> {
        let mut queues = Self::default();
        read_entries(listen, |entry| {
            match entry.state {
                LISTENING => queues.unaccepted += entry.received,
                ESTABLISHED => queues.unread += usize::from(entry.received > 0),
                _ => {}
            }
            let is_connection = entry.state != LISTENING;
            queues.unacknowledged += usize::from(is_connection && entry.sent > 0);
        })?;
        Ok(queues)
    }

    pub(crate) fn count(self) -> usize {
        self.unaccepted + self.unread + self.unacknowledged
    }
}

impl QueuedSocket {
    /// Lists the connections to `listen` with bytes that only the system holds.
    ///
    /// # Errors
    /// Returns an error if the system does not tell.
    pub fn list(listen: SocketAddr) -> io::Result<Vec<Self>> {
        let mut sockets = Vec::new();
        read_entries(listen, |entry| {
            let SocketEntry { peer, received: unread, sent: unacknowledged, .. } = entry;
            if entry.state != LISTENING && unread + unacknowledged > 0 {
                sockets.push(Self { peer, unread, unacknowledged });
            }
        })?;
        Ok(sockets)
    }
}

/// Passes the sockets whose own address is `listen` to `add`.
fn read_entries(listen: SocketAddr, mut add: impl FnMut(SocketEntry)) -> io::Result<()> {
    let protocol = Protocol::from(libc::NETLINK_SOCK_DIAG);
    let mut socket = Socket::new(Domain::from(libc::AF_NETLINK), Type::RAW, Some(protocol))?;
    socket.set_read_timeout(Some(PART_TIMEOUT))?;
    socket.send(&request(listen))?;
    let mut part = vec![0; PART_BYTES];
    loop {
        let length = socket.read(&mut part)?;
        if parse_part(&part[..length], listen, &mut add)? {
            return Ok(());
        }
    }
}

/// Parses a part of the listing. Returns whether it is the last one.
fn parse_part(
    mut part: &[u8],
    listen: SocketAddr,
    add: &mut impl FnMut(SocketEntry),
) -> io::Result<bool> {
    let malformed = || io::Error::from(ErrorKind::InvalidData);
    while !part.is_empty() {
        let length = word(part, 0).ok_or_else(malformed)? as usize;
        let message = part.get(HEAD_BYTES..length).ok_or_else(malformed)?;
        match u16::from_ne_bytes([part[4], part[5]]) {
            NLMSG_DONE => return Ok(true),
            NLMSG_ERROR => {
                let code = word(message, 0).ok_or_else(malformed)?;
                return Err(io::Error::from_raw_os_error((code as i32).saturating_neg()));
            }
            SOCK_DIAG_BY_FAMILY => {
                let entry = SocketEntry::parse(message, listen.is_ipv4()).ok_or_else(malformed)?;
                let is_own = listen.ip().is_unspecified() || entry.local.ip() == listen.ip();
                if is_own && entry.local.port() == listen.port() {
                    add(entry);
                }
            }
            _ => {}
        }
        part = part.get(length.next_multiple_of(4)..).unwrap_or_default();
    }
    Ok(false)
}

impl SocketEntry {
    /// Parses an entry: family, state, two bytes, ports, addresses, 16 bytes, and from 56 on the bytes
    /// that wait to be read, or connections that wait to be accepted, and those that wait to be
    /// acknowledged.
    fn parse(entry: &[u8], is_ipv4: bool) -> Option<Self> {
        let entry: &[u8; ENTRY_BYTES] = entry.first_chunk()?;
        let address = |port: usize, ip: usize| {
            let port = u16::from_be_bytes([entry[port], entry[port + 1]]);
            let ip = match is_ipv4 {
                true => IpAddr::from(Ipv4Addr::from(*entry[ip..].first_chunk::<4>()?)),
                false => IpAddr::from(Ipv6Addr::from(*entry[ip..].first_chunk::<16>()?)),
            };
            Some(SocketAddr::new(ip, port))
        };
        Some(Self {
            local: address(4, 8)?,
            peer: address(6, 24)?,
            state: entry[1],
            received: word(entry, 56)? as usize,
            sent: word(entry, 60)? as usize,
        })
    }
}

/// Builds a request for the sockets with the port of `listen` that may hold something.
fn request(listen: SocketAddr) -> [u8; REQUEST_BYTES] {
    let mut request = [0; REQUEST_BYTES];
    request[..4].copy_from_slice(&(REQUEST_BYTES as u32).to_ne_bytes());
    request[4..6].copy_from_slice(&SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request[6..8].copy_from_slice(&DUMP_FLAGS.to_ne_bytes());
    request[16] = if listen.is_ipv4() { libc::AF_INET as u8 } else { libc::AF_INET6 as u8 };
    request[17] = libc::IPPROTO_TCP as u8;
    let states = !(1_u32 << TIME_WAIT | 1 << CLOSED);
    request[20..24].copy_from_slice(&states.to_ne_bytes());
    request[24..26].copy_from_slice(&listen.port().to_be_bytes());
    request
}

fn word(bytes: &[u8], index: usize) -> Option<u32> {
    Some(u32::from_ne_bytes(*bytes.get(index..)?.first_chunk()?))
}
