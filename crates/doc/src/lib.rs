//! The team's document: its services, its client accounts and how requests are
//! handled. Acceptance is a pure function of the text, so that every router
//! reaches the same result.

mod accept;
mod diff;
mod spec;

pub use accept::{AcceptedDocument, DocumentError, accept, digest_of};
pub use diff::diff;
pub use spec::{AccountSpec, CallSpec, ServiceKind, ServiceSpec, TeamDocument, VersionSpec};
