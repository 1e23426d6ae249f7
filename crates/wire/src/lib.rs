//! Encoding of the messages between routers, and those messages that no other
//! crate defines.

mod codec;
mod message;

pub use codec::{CodecError, MAX_MESSAGE_BYTES, VERSION, decode, encode};
pub use message::{DocumentCopy, KeyQuery, KeyResponse, SECRET_HEADER, constant_time_eq};
