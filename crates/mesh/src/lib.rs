//! Membership of the routers: discovery from a few seed addresses, heartbeats, and
//! the election of the routers that read the configuration source. Does no I/O.
//!
//! The gateway uses this crate. The router daemon has its own membership, in the
//! crate `fleet`.

mod heartbeat;
mod members;
mod quota;
mod reader;
mod report;
mod spread;

pub use heartbeat::{Heartbeat, HeartbeatHeader, PeerAddresses, SourceNotice, SourceView};
pub use members::{HeartbeatOutcome, MemberSettings, MemberTable, MemberView};
pub use quota::FetchQuota;
pub use reader::{ReaderPolicy, ReaderSettings, ReaderVerdict};
pub use report::{DomainMembers, PeerSighting, ReportRequest, SightingTag};
pub use spread::{
    AnnouncedVersions, HolderList, HolderSettings, HolderVerdict, TransferKey, TransferPolicy,
    TransferSettings, TransferVerdict,
};
