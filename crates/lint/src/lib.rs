//! Rules for a configuration before it is sent, and its differences from the one in force.
//!
//! Load pattern: an operator checks one file of up to tens of thousands of routes, by hand or in a
//! script, before all instances read it. Each rule looks entries up by key, so the time grows
//! with the size of the file and not with its square.
//!
//! The format of the file is decoded elsewhere, into a [`ConfigDraft`] in which every value has
//! its place. Does no I/O.

mod compare;
mod compare_routes;
mod draft;
mod finding;
mod place;
mod rule;
mod rules;

pub use compare::compare;
pub use draft::{
    ConfigDraft, DraftAccount, DraftLimits, DraftPart, DraftRoute, DraftService, PlacedValue,
};
pub use finding::{LintFinding, LintReport, ReportedFinding};
pub use place::{LineIndex, TextPlace};
pub use rule::{LintRule, LintSeverity};
pub use rules::lint;
