//! Which targets there are, how loaded and how healthy they are, and which one
//! a request goes to. Pure; no network.

mod backlog;
mod choice;
mod entry;
mod health;
mod load;
mod registry;

pub use choice::{
    CallShape, ChoiceQuestion, ChoiceSettings, Placement, PromptPart, RefusedChoice, choose,
};
pub use entry::{TargetEntry, TargetState};
pub use health::{HealthSettings, Outcome, TargetHealth};
pub use load::{LoadBook, LoadReport, OutstandingKey, PeerLoad, TargetCode, TargetKey, TargetLoad};
pub use registry::{RecordChange, RegistrySettings, TargetRecord, TargetRegistry};
