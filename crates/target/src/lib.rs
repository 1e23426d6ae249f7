//! Which targets there are, how loaded and how healthy they are, and which one
//! a request goes to. Pure; no network.

mod backlog;
mod choice;
mod entry;
mod health;
mod load;
mod registry;

pub use choice::{
    PromptPart, RequestProfile, SelectionError, SelectionQuery, SelectionSettings, TargetSelection,
    select_target,
};
pub use entry::{TargetEntry, TargetState};
pub use health::{HealthSettings, Outcome, TargetHealth};
pub use load::{
    InFlightLoad, LoadReport, LoadTracker, OutstandingKey, TargetIdHash, TargetKey, TargetLoad,
};
pub use registry::{RecordChange, RegistrySettings, TargetRecord, TargetRegistry};
