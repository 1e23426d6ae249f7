//! Orders that bring engines to their assigned versions.

use std::collections::BTreeMap;

use base::{Millis, Name};

/// Returns the fencing token of an order: the document's revision in the upper
/// bits and the lowest 20 bits of `attempt` below them. An engine that checks
/// tokens rejects orders of an older document. `attempt` should grow with time,
/// so that a later order of the same document has a larger token until the 20
/// bits overflow.
pub fn fencing_token(revision: u64, attempt: u64) -> u64 {
    const ATTEMPT_BITS: u32 = 20;
    (revision << ATTEMPT_BITS) | (attempt & ((1 << ATTEMPT_BITS) - 1))
}

/// Limits on the orders to give.
#[derive(Clone, Debug)]
pub struct OrderSettings {
    /// Maximum number of engines that load at once in one failure domain.
    pub loads_per_domain: usize,
    /// Minimum time between two orders to the same engine, in milliseconds.
    pub retry_after: Millis,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self { loads_per_domain: 1, retry_after: 5_000 }
    }
}

/// State that an engine reports, and when it was last given an order.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    pub engine: Name,
    pub domain: Name,
    /// Version that it serves; `None` while it loads or is empty.
    pub serving: Option<Name>,
    /// Version that it is loading.
    pub loading: Option<Name>,
    pub ordered_at: Option<Millis>,
}

/// Why an order is given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReason {
    /// The engine serves no version.
    Empty,
    /// The engine serves a version other than the assigned one.
    OtherVersion,
}

/// An order to one engine to load a model version.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOrder {
    pub engine: Name,
    pub model: Name,
    pub reason: OrderReason,
}

/// Returns the orders to give now to the engines for which `owns` is true.
///
/// Empty engines come first. A serving engine is ordered to another version only
/// while more than `floor` engines serve.
pub fn plan_orders(
    settings: &OrderSettings,
    assigned: &BTreeMap<Name, Name>,
    reports: &[EngineReport],
    floor: usize,
    owns: impl Fn(&Name) -> bool,
    now: Millis,
) -> Vec<EngineOrder> {
    let mut serving = reports.iter().filter(|report| report.serving.is_some()).count();
    let mut loads: BTreeMap<&Name, usize> = BTreeMap::new();
    for report in reports.iter().filter(|report| report.loading.is_some()) {
        *loads.entry(&report.domain).or_default() += 1;
    }
    let mut orders = Vec::new();
    let mut candidates: Vec<&EngineReport> = reports.iter().collect();
    candidates.sort_by_key(|report| (report.serving.is_some(), &report.engine));
    for report in candidates {
        let Some(model) = assigned.get(&report.engine) else { continue };
        let is_up_to_date = report.serving.as_ref() == Some(model) && report.loading.is_none();
        let is_loading = report.loading.as_ref() == Some(model);
        let is_recently_ordered =
            report.ordered_at.is_some_and(|at| now.saturating_sub(at) < settings.retry_after);
        if is_up_to_date || is_loading || is_recently_ordered || !owns(&report.engine) {
            continue;
        }
        let in_flight = loads.entry(&report.domain).or_default();
        let replaces_load = report.loading.is_some();
        if *in_flight >= settings.loads_per_domain && !replaces_load {
            continue;
        }
        let reason = match report.serving {
            Some(_) if serving <= floor => continue,
            Some(_) => OrderReason::OtherVersion,
            None => OrderReason::Empty,
        };
        if report.serving.is_some() {
            serving -= 1;
        }
        *in_flight += usize::from(!replaces_load);
        orders.push(EngineOrder {
            engine: Name::clone(&report.engine),
            model: Name::clone(model),
            reason,
        });
    }
    orders
}
