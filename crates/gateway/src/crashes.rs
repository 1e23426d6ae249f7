//! Withholds requests that crash targets, by themselves or by a part of their prompt, and
//! collects the evidence.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use outbound::{ListenerState, probe_after_end};
use quarantine::{QuarantineEvent, RequestVerdict, TargetRun, VersionHash, part_identity};
use target::TargetEntry;

use crate::call::{AdmittedCall, RoutedCall};
use crate::context::GatewayContext;
use crate::downtime::record_refused;
use crate::parts::PartList;
use crate::refusal::{Refusal, RefusalCause};
use crate::worker::Worker;

/// Time to find out whether a target still listens: a round trip between failure domains, with
/// one lost packet.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of targets of a service that must be serving for a trial, which may cost one.
const MIN_TRIAL_TARGETS: usize = 2;

/// What the quarantine says of a request that may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum QuarantineCheck {
    Sound,
    /// The request is a trial of what is in quarantine.
    Trial,
}

/// Returns the parts of a request's prompt that others may share.
fn prompt_parts(call: &RoutedCall) -> Vec<u64> {
    call.profile().shared_parts().into_iter().map(part_identity).collect()
}

/// Returns what a crash under a request may be due to: the request itself, or a part of its
/// prompt.
pub(crate) fn crash_suspects(call: &AdmittedCall) -> Vec<u64> {
    suspects(&call.routed, call.identity)
}

fn suspects(call: &RoutedCall, identity: u64) -> Vec<u64> {
    std::iter::once(identity).chain(prompt_parts(call)).collect()
}

/// Refuses a request whose prompt has a part in quarantine, unless it is the part's trial.
///
/// # Errors
/// Returns the refusal.
pub(crate) fn check_parts(
    context: &GatewayContext,
    call: &RoutedCall,
) -> Result<QuarantineCheck, Refusal> {
    check_suspects(context, call, &prompt_parts(call))
}

/// Refuses a request that is in quarantine itself, or whose part was put there while its body
/// arrived.
///
/// # Errors
/// Returns the refusal.
pub(crate) fn check_request(
    context: &GatewayContext,
    call: &RoutedCall,
    identity: u64,
    check: QuarantineCheck,
) -> Result<(), Refusal> {
    match check {
        QuarantineCheck::Sound => {
            check_suspects(context, call, &suspects(call, identity)).map(drop)
        }
        QuarantineCheck::Trial => Ok(()),
    }
}

fn check_suspects(
    context: &GatewayContext,
    call: &RoutedCall,
    suspects: &[u64],
) -> Result<QuarantineCheck, Refusal> {
    let now = context.now();
    if suspects.is_empty() || !context.quarantine().is_withheld(suspects, now) {
        return Ok(QuarantineCheck::Sound);
    }
    let versions: Vec<VersionHash> =
        context.targets().serving(&call.service, now).map(|entry| version(entry)).collect();
    let may_try =
        versions.len() >= MIN_TRIAL_TARGETS && context.members().elects_self("quarantine", now);
    if may_try {
        context.quarantine().lift_unused(|version| versions.contains(&version), now);
    }
    let verdict = context.quarantine().decide(suspects, may_try, now);
    log_events(context);
    match verdict {
        RequestVerdict::Allowed => Ok(QuarantineCheck::Sound),
        RequestVerdict::Trial { part } => {
            let parts = PartList(&[part]);
            tracing::info!(unit = "crashes", event = "trial", request = call.id(), ?parts);
            context.heartbeat_now.notify_one();
            Ok(QuarantineCheck::Trial)
        }
        RequestVerdict::Withheld { part, retry_ms } => {
            let is_part = prompt_parts(call).contains(&part);
            let cause =
                if is_part { RefusalCause::HarmfulPart } else { RefusalCause::HarmfulRequest };
            Err(Refusal::retry_after(cause, retry_ms))
        }
    }
}

/// Whether a request may be sent once more, as neither it nor a part of it is in quarantine.
pub(crate) fn may_retry(context: &GatewayContext, call: &AdmittedCall) -> bool {
    !context.quarantine().is_withheld(&crash_suspects(call), context.now())
}

/// Records that a target broke off a response, if the target no longer listens: one that does has
/// lost the response for another reason.
pub(crate) fn record_crash(worker: &Rc<Worker>, entry: &Arc<TargetEntry>, suspects: Vec<u64>) {
    let (worker, entry) = (Rc::clone(worker), Arc::clone(entry));
    ntex::rt::spawn(async move {
        let probed_at = worker.context.now();
        if probe_after_end(entry.address, PROBE_TIMEOUT).await == ListenerState::Refused {
            record_refused(&worker.context, &entry, probed_at);
            record_confirmed_crash(&worker.context, &entry, &suspects);
        }
    });
}

fn record_confirmed_crash(context: &GatewayContext, entry: &TargetEntry, suspects: &[u64]) {
    let now = context.now();
    // A target that leaves ends what it has not finished.
    if !context.targets().is_present(entry, now) {
        return;
    }
    let run = TargetRun::new(&entry.id, entry.incarnation, version(entry));
    let is_news = context.quarantine().record_crash(suspects, run, now);
    let suspects = PartList(suspects);
    let (target, version) = (&entry.id, &entry.software_version);
    tracing::info!(unit = "crashes", event = "crash", %target, %version, parts = ?suspects, is_news);
    log_events(context);
    if is_news {
        context.heartbeat_now.notify_one();
    }
}

fn version(entry: &TargetEntry) -> VersionHash {
    VersionHash::new(&entry.software_version)
}

/// Records that a target has served a request.
pub(crate) fn record_complete(context: &GatewayContext, entry: &TargetEntry, suspects: &[u64]) {
    context.quarantine().record_complete(suspects, version(entry), context.now());
    log_events(context);
}

/// Logs what was put in quarantine or lifted from it.
pub(crate) fn log_events(context: &GatewayContext) {
    let events = context.quarantine().take_events();
    for event in events {
        match event {
            QuarantineEvent::Held { key, crashes, companions, hold_ms } => tracing::warn!(
                unit = "crashes",
                event = "part_held",
                parts = ?PartList(&[key.part]),
                companions = ?PartList(&companions),
                crashes,
                hold_ms,
            ),
            QuarantineEvent::Lifted { key } => {
                tracing::info!(unit = "crashes", event = "part_lifted", parts = ?PartList(&[key.part]));
            }
        }
    }
}
