//! Registry, load, health and selection of targets. Does no I/O.

mod backlog;
mod backoff;
mod cold;
mod coverage;
mod domains;
mod downtime;
mod entry;
mod evacuation;
mod fullness;
mod health;
mod leaving;
mod left;
mod load;
mod outage;
mod ranking;
mod registry;
mod selection;
mod sends;
mod tried;

pub use backoff::{BackoffSettings, TargetBackoffs};
pub use cold::ColdTargets;
pub use coverage::RemovalNotice;
pub use downtime::DowntimeNotice;
pub use entry::{TargetEntry, TargetState};
pub use evacuation::{DomainChange, DomainListing, DomainRecord, DomainReturn};
pub use fullness::FullnessSamples;
pub use health::{HealthSettings, RequestOutcome, TargetHealth};
pub use leaving::{LeavingOrigin, LeavingTarget};
pub use left::{ERA_REVISIONS, LeftTarget};
pub use load::{
    InFlightLoad, InFlightTotals, LoadReport, LoadTracker, OutstandingKey, TargetIdHash, TargetKey,
    TargetLoad,
};
pub use outage::OutageSettings;
pub use registry::{RecordChange, RegistrySettings, TargetRecord, TargetRegistry};
pub use selection::{
    CandidateSpread, FullCounts, PlacementMode, PromptPart, RequestProfile, SelectionError,
    SelectionQuery, SelectionSettings, TargetCandidate, TargetSelection, mean_fullness,
    offer_candidates, select_target,
};
pub use sends::RecentSends;
pub use tried::{AttemptTrace, TriedTarget, TriedTargets};
