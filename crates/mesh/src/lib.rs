//! Routers that find each other from a few seed addresses, what they say in
//! their beats, and which of them read the configuration source. Pure; no
//! network.

mod beat;
mod members;
mod reader;

pub use beat::{Heartbeat, HeartbeatHeader, PeerAddresses, SourceView};
pub use members::{HeartbeatOutcome, MemberSettings, MemberTable, MemberView};
pub use reader::{ReaderPolicy, ReaderSettings, ReaderVerdict};
