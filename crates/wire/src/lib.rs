//! Messages between the processes of the system and their codec.

mod codec;
mod message;

pub use codec::{CodecError, MAX_MESSAGE_BYTES, VERSION, decode, encode};
pub use message::{DocumentCopy, KeyQuery, KeyResponse, SECRET_HEADER, constant_time_eq};
