//! Parts that follow a message in the same datagram or body. Routers of earlier versions do not read
//! them. They are told apart by their order.

use serde::Serialize;
use serde::de::{DeserializeOwned, IgnoredAny};

/// Appends a part that follows an encoded message.
pub fn append_part(datagram: &mut Vec<u8>, part: &impl Serialize) {
    if let Err(cause) = rmp_serde::encode::write(datagram, part) {
        tracing::error!(unit = "beats", event = "not_encoded", %cause);
    }
}

/// Decodes the next part of a message; `None` if it ends or is not understood. A part that is not
/// understood is skipped as a whole, so that those after it are read.
pub fn decode_part<T: DeserializeOwned>(rest: &mut &[u8]) -> Option<T> {
    if rest.is_empty() {
        return None;
    }
    let before = *rest;
    let part = rmp_serde::from_read(&mut *rest).inspect_err(|cause| {
        tracing::debug!(unit = "beats", event = "notice_not_understood", %cause);
    });
    if part.is_err() {
        let mut after = before;
        let skipped = rmp_serde::from_read::<_, IgnoredAny>(&mut after);
        *rest = if skipped.is_ok() { after } else { &[] };
    }
    part.ok()
}
