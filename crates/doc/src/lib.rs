//! The team's document: what serves, who shares it and how requests are
//! treated. Acceptance is a pure function of the text, so that every router
//! reaches the same verdict.

mod accept;
mod diff;
mod spec;

pub use accept::{AcceptedDocument, DocumentError, accept, digest_of};
pub use diff::diff;
pub use spec::{AccountSpec, CallSpec, ServiceKind, ServiceSpec, TeamDocument, VersionSpec};
