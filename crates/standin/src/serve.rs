//! Helpers that the HTTP servers of the stand-ins share.

use std::net::SocketAddr;

use ntex::web::HttpResponse;
use serde::Serialize;

/// Returns a JSON response with status 200.
pub(crate) fn json_response<T: Serialize>(value: &T) -> HttpResponse {
    HttpResponse::Ok().json(value)
}

/// Returns the address of the replica with this index, counted from 0: the IP
/// address of `first`, and its port plus `index`.
pub(crate) fn replica_address(first: SocketAddr, index: u64) -> SocketAddr {
    SocketAddr::new(first.ip(), first.port() + u16::try_from(index).unwrap_or(0))
}
