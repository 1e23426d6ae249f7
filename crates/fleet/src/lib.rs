//! Membership, revisions in force and address answers: what a router knows
//! of the other routers and of the published facts.

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
