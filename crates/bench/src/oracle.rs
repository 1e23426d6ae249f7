//! Test oracle: compares the outcomes that callers saw with the runs that the
//! targets counted.

use std::collections::HashMap;

use serde_json::Value;

use crate::caller::{CallEnd, HttpCaller};
use crate::launch::RunningTarget;

/// Kind of a request, which decides how often it may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallKind {
    Stream,
    /// A plain call that may run more than once.
    Idempotent,
    /// A plain call that must not run more than once.
    AtMostOnce,
}

/// One request and the last outcome that its caller saw.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) kind: CallKind,
    pub(crate) nonce: String,
    pub(crate) end: CallEnd,
}

/// Number of violated guarantees in a run, by kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GuaranteeViolations {
    /// At-most-once calls that ran more than once.
    pub(crate) doubled: u64,
    /// Requests that were answered although no target ran them.
    pub(crate) lost: u64,
    /// Requests that were reported as not run although a target ran them.
    pub(crate) false_not_run: u64,
}

/// Returns how often each nonce ran, summed over the targets.
///
/// # Errors
/// Returns an error if a target does not answer.
pub(crate) async fn count_runs(
    caller: &HttpCaller,
    targets: &[RunningTarget],
) -> anyhow::Result<HashMap<String, u64>> {
    let mut runs = HashMap::new();
    for target in targets {
        let stats = caller.get_json(&format!("http://{}/test/stats", target.address)).await?;
        for (nonce, count) in stats["runs"].as_object().into_iter().flatten() {
            *runs.entry(nonce.clone()).or_insert(0) += count.as_u64().unwrap_or(0);
        }
    }
    Ok(runs)
}

/// Counts the records that contradict the runs counted by the targets.
pub(crate) fn count_violations(
    records: &[CallRecord],
    runs: &HashMap<String, u64>,
) -> GuaranteeViolations {
    let mut violations = GuaranteeViolations::default();
    for record in records {
        let count = runs.get(&record.nonce).copied().unwrap_or(0);
        if record.kind == CallKind::AtMostOnce && count > 1 {
            violations.doubled += 1;
        }
        if record.end == CallEnd::Answered && count == 0 {
            violations.lost += 1;
        }
        if matches!(record.end, CallEnd::NotRun { .. }) && count > 0 {
            violations.false_not_run += 1;
        }
    }
    violations
}

/// Returns the busy time of the engines so far, in stream milliseconds.
///
/// # Errors
/// Returns an error if an engine does not answer.
pub(crate) async fn read_busy_ms(
    caller: &HttpCaller,
    targets: &[RunningTarget],
) -> anyhow::Result<f64> {
    let mut sum = 0.0;
    for target in targets {
        let stats: Value =
            caller.get_json(&format!("http://{}/test/stats", target.address)).await?;
        sum += stats["busy_ms"].as_f64().unwrap_or(0.0);
    }
    Ok(sum)
}
