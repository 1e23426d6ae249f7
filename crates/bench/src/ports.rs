//! Ports for the processes of fleets on loopback.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Mutex, PoisonError};

/// First and last port that is handed out. All are below the usual ephemeral range,
/// from which an outgoing connection could take a port before a process binds it or
/// while it restarts.
pub const PORT_RANGE: (u16, u16) = (12_000, 29_999);
/// Address on which this process reserves its ports. No fleet listens on it.
const RESERVATION_HOST: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 255, 255, 1));

/// Ports of this process.
#[derive(Debug)]
struct PortReservations {
    next: u16,
    /// Listeners on [`RESERVATION_HOST`], kept until the process ends. Another process
    /// that reserves the same port fails to bind it.
    listeners: Vec<TcpListener>,
}

static RESERVATIONS: Mutex<PortReservations> =
    Mutex::new(PortReservations { next: PORT_RANGE.0, listeners: Vec::new() });

/// Returns an address whose port is the first of `count` consecutive ports that no
/// other call gets, in this process or in another one that uses this function.
///
/// # Errors
/// Returns an error if too few ports are left.
pub fn free_address(host: IpAddr, count: u16) -> anyhow::Result<SocketAddr> {
    let mut reservations = RESERVATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    while let Some(last) = reservations.next.checked_add(count - 1)
        && last <= PORT_RANGE.1
    {
        let first = reservations.next;
        reservations.next = last + 1;
        let bind = |host: IpAddr| -> Result<Vec<TcpListener>, _> {
            (first..=last).map(|port| TcpListener::bind((host, port))).collect()
        };
        let Ok(listeners) = bind(RESERVATION_HOST) else { continue };
        if bind(host).is_ok() {
            reservations.listeners.extend(listeners);
            return Ok(SocketAddr::new(host, first));
        }
    }
    anyhow::bail!("step=find_port peer={host}: no {count} consecutive free ports")
}
