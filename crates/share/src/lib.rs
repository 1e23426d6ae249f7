//! Fair queueing of requests and granting of slots among client accounts.
//!
//! [`DemandTracker`] is a router's side: it holds the queues, the grants received
//! and the charges of its accounts. [`SlotAllocator`] is the grantor's side: it
//! allocates the slots of one service, to the least-served account first. Both
//! receive messages and the current time as arguments and return messages; the
//! caller does the network I/O.
//!
//! A cost unit is a token for a model service and a millisecond for a plain one.

mod allocator;
mod demand;
mod message;
mod slots;
mod virtual_cost;

pub use allocator::{AllocationMode, AllocatorSettings, SlotAllocator};
pub use demand::{DemandSettings, DemandTracker, EnqueueOutcome, ReportUrgency, WaitTicket};
pub use message::{
    AccountTotal, Baseline, DemandReport, ForeignSlot, Grant, GrantId, GrantPush, QueueState,
    Snapshot, SnapshotEntry,
};
pub use slots::TargetInfo;
