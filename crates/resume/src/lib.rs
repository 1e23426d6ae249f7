//! Keeps streams that are resumed at the software version of the targets that began them.
//!
//! Load pattern: targets of two versions serve side by side during a release, and what two
//! versions write does not fit together. An instance dies or is cut off with dozens of open
//! streams, and milliseconds later their callers take them up at any other instance.
//!
//! While all targets of a service have had the same version for longer than a stream lasts,
//! nothing is exchanged: every stream began at that version. Otherwise the instance that passes
//! the first event of a stream on tells a few holders, found by rendezvous hashing of the
//! stream's id and spread over the failure domains, which version began it. An instance at which
//! a stream is taken up asks them. What nobody knows is refused.
//!
//! Three rules make "the same version" a fact, although instances learn of targets at different
//! times, and start again:
//!
//! - streams begin at a new version only once it has been known for `settle_ms`;
//! - an instance relies on having seen one version only if its view of the targets is at most
//!   `fresh_ms` old, which is less;
//! - the absence of a record counts only at an instance that has observed the targets for as long
//!   as a stream may be taken up.
//!
//! A configuration may send a route to another service while both services have one version. The
//! services between which streams move, and those whose earlier routes a router can't know, are
//! told and asked for as long as streams from before may be taken up, and the absence of a record
//! proves nothing there.
//!
//! Does no I/O.

mod history;
mod holders;
mod lookup;
mod moves;
mod policy;
mod records;
mod settings;
mod signed;

pub use history::{VersionHistory, VersionNotice};
pub use holders::{HolderPeer, StreamHolder, ToldHolders, choose_holders};
pub use lookup::{HolderAnswer, LookupVerdict, StreamLookup};
pub use moves::MoveNotice;
pub use policy::{ResumeDecision, ResumePolicy};
pub use records::{StreamKey, StreamOrigin, StreamRecord, StreamRecords};
pub use settings::ResumeSettings;
