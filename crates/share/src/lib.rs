//! Fair queueing and slot granting between client accounts.
//!
//! [`DemandTracker`] is a router's side: its queues, the grants that it holds and
//! what its accounts were charged. [`SlotAllocator`] is the grantor's side: it
//! hands out the slots of one service, least-served account first. Both take
//! messages plus the time and return messages; sockets stay outside.

mod allocator;
mod demand;
mod message;
mod slots;
mod virtual_cost;

pub use allocator::{AllocationMode, AllocatorSettings, SlotAllocator};
pub use demand::{DemandSettings, DemandTracker, EnqueueOutcome, ReportUrgency, WaitTicket};
pub use message::{
    AccountTotal, Baseline, ForeignSlot, Grant, GrantId, Push, QueueState, Report, Snapshot,
    SnapshotEntry,
};
pub use slots::TargetInfo;
