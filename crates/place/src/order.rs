//! Orders that bring engines to their wanted state.

use std::collections::BTreeMap;

use base::{Millis, Name};

/// Revision in the upper bits: an order by an older document loses wherever
/// engines check the number.
pub fn fencing_token(revision: u64, attempt: u64) -> u64 {
    const ATTEMPT_BITS: u32 = 20;
    (revision << ATTEMPT_BITS) | (attempt & ((1 << ATTEMPT_BITS) - 1))
}

/// Settings of the ordering.
#[derive(Clone, Debug)]
pub struct OrderSettings {
    /// Loads in flight in one failure domain.
    pub loads_per_domain: usize,
    /// Time between two orders to the same engine, in milliseconds.
    pub retry_after: Millis,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self { loads_per_domain: 1, retry_after: 5_000 }
    }
}

/// What an engine says of itself, and when it was last ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    pub engine: Name,
    pub domain: Name,
    /// Version that it serves; none while it loads or holds nothing.
    pub serving: Option<Name>,
    /// Version that it loads.
    pub loading: Option<Name>,
    pub ordered_at: Option<Millis>,
}

/// Why an order is given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReason {
    /// It holds nothing.
    Empty,
    /// It holds another version than the document wants.
    OtherVersion,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOrder {
    pub engine: Name,
    pub model: Name,
    pub reason: OrderReason,
}

/// Orders to give now to the engines that `owns` names.
///
/// Empty engines come first. An engine that serves is ordered away from its
/// version only while more than `floor` engines serve.
pub fn plan_orders(
    settings: &OrderSettings,
    wanted: &BTreeMap<Name, Name>,
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
        let Some(model) = wanted.get(&report.engine) else { continue };
        let is_right = report.serving.as_ref() == Some(model) && report.loading.is_none();
        let is_coming = report.loading.as_ref() == Some(model);
        let is_recent =
            report.ordered_at.is_some_and(|at| now.saturating_sub(at) < settings.retry_after);
        if is_right || is_coming || is_recent || !owns(&report.engine) {
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
