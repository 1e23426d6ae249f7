//! Finds the prompt parts and the requests that crash targets, and withholds them.
//!
//! Load pattern: a target crashes as it begins to answer a prompt with a certain part,
//! whatever else the prompt holds. Requests with the part come at any router, no two
//! alike, and sound requests share their client account and their other parts. Ejecting
//! the crashed target only chooses the next one.
//!
//! Or one request crashes each target that runs it, and comes again and again, at any router.
//! Retries take it to a second target at once, so all targets of a small service may be gone
//! within a second. Sound requests that were at the same targets end with them, and many of
//! these come again, too. The identity of a request counts as one more part of its prompt.
//!
//! What is learned: a response that breaks off as it begins is evidence against each part
//! that its prompt shares with others. A complete response proves all parts of its prompt
//! sound at the software version of its target, as a harmful one has none. A release may make a
//! sound part harmful, so nothing is carried over from one version to another, but a part in
//! quarantine is withheld whatever version a request would reach. Several crashes of several targets without a proof
//! of the contrary put a part in quarantine. Routers exchange the evidence and the
//! proofs in their heartbeats, so all of them come to the same verdict.
//!
//! What is not believed for long: a quarantine ends with a trial of one request in the
//! whole fleet. A complete response lifts it, and each further trial takes twice as long
//! to come.
//!
//! Does no I/O.

mod evidence;
mod identity;
mod judge;
mod notice;
mod quarantine;
mod settings;
mod sound;

pub use identity::{PartKey, VersionHash, crash_evidence, part_identity, request_identity};
pub use notice::{CrashReport, PartVerdict, QuarantineNotice, TargetRun};
pub use quarantine::{PartQuarantine, QuarantineEvent, RequestVerdict};
pub use settings::QuarantineSettings;
