//! MessagePack encoding of messages, each wrapped together with a format
//! version.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the message format. Messages with any other version are refused.
pub const VERSION: u16 = 1;

/// Largest message that is decoded, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// An error while encoding or decoding a message.
#[derive(Debug, Error)]
pub enum CodecError {
    #[error("message has {bytes} bytes, at most {MAX_MESSAGE_BYTES} are allowed")]
    TooLarge { bytes: usize },
    #[error("message has version {found}, version {VERSION} is spoken here")]
    Version { found: u16 },
    #[error("message is malformed: {0}")]
    Malformed(String),
}

#[derive(Serialize)]
struct OutgoingEnvelope<'a, T>(u16, &'a T);

#[derive(Deserialize)]
struct IncomingEnvelope<T>(u16, T);

/// Encodes a message together with [`VERSION`].
///
/// # Errors
/// Returns an error if the message contains a value that MessagePack cannot
/// represent.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec(&OutgoingEnvelope(VERSION, message))
        .map_err(|cause| CodecError::Malformed(cause.to_string()))
}

/// Decodes a message that [`encode`] produced.
///
/// # Errors
/// Returns an error if the message is larger than [`MAX_MESSAGE_BYTES`], has
/// another version or is not a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge { bytes: bytes.len() });
    }
    let envelope: IncomingEnvelope<T> =
        rmp_serde::from_slice(bytes).map_err(|cause| CodecError::Malformed(cause.to_string()))?;
    if envelope.0 != VERSION {
        return Err(CodecError::Version { found: envelope.0 });
    }
    Ok(envelope.1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn other_version_is_refused() {
        let bytes = rmp_serde::to_vec(&(2_u16, 7_u8)).unwrap();
        assert!(matches!(decode::<u8>(&bytes), Err(CodecError::Version { found: 2 })));
    }

    #[test]
    fn garbage_is_refused() {
        assert!(matches!(decode::<String>(&[0xc1; 40]), Err(CodecError::Malformed(_))));
    }
}
