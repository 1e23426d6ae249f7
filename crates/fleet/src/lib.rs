//! Membership of the routers, the document revision in force, the published
//! instance list and address responses.
//!
//! The router daemon uses this crate. The gateway has its own membership, in the
//! crate `mesh`.

mod address;
mod digest;
mod list;
mod members;
mod revision;

pub use address::{AddressSettings, select_routers};
pub use digest::{Digest, MemberUpdate};
pub use list::{InstanceEntry, InstanceKind, InstanceList, InstanceState, LeavingSet};
pub use members::{MemberSettings, MemberTable, MemberView, PeerStatus};
pub use revision::{RevisionGate, RevisionVerdict};
