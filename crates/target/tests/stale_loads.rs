//! Simulated fleet before a few plain targets, while routers hear of each other's requests every
//! three seconds: a target that all believe to be idle is not flooded.

mod common;

use std::sync::Arc;

use base::Name;
use common::{SERVICE, entry};
use target::{
    LoadReport, LoadTracker, OutstandingKey, RequestOutcome, RequestProfile, SelectionQuery,
    SelectionSettings, TargetEntry, TargetKey, TargetState, select_target,
};

const TARGETS: usize = 6;
const SLOTS: u32 = 6;
/// Requests that wait at a target before it rejects others.
const MAX_WAITING: usize = 24;
/// Requests a second of the fleet: five sixths of what the targets serve.
const REQUESTS_PER_S: u64 = 1_000;
const SERVICE_MS: u64 = 30;
const END_MS: u64 = 15_000;

#[derive(Default)]
struct Target {
    /// When each request in a slot ends, and those that wait, with their arrival.
    running: Vec<(u64, Sent)>,
    waiting: std::collections::VecDeque<Sent>,
}

#[derive(Clone, Copy)]
struct Sent {
    router: usize,
    key: TargetKey,
    request: Option<OutstandingKey>,
    at: u64,
}

/// Returns the fraction of the requests that were rejected, and of those that waited for longer
/// than they take.
fn simulate(router_count: usize, interval_ms: u64) -> (f64, f64) {
    let entries: Vec<Arc<TargetEntry>> = (0..TARGETS)
        .map(|target| {
            let entry = entry(&format!("t{target}"), 1, TargetState::Serving);
            Arc::new(TargetEntry { slots: SLOTS, ..entry })
        })
        .collect();
    let mut routers: Vec<LoadTracker> = (0..router_count)
        .map(|_| {
            let mut tracker = LoadTracker::default();
            entries.iter().for_each(|entry| {
                tracker.key_for(entry);
            });
            tracker.set_announcement_interval(interval_ms);
            tracker
        })
        .collect();
    let mut targets: Vec<Target> = (0..TARGETS).map(|_| Target::default()).collect();
    let (profile, settings) = (RequestProfile::default(), SelectionSettings::default());
    let (mut number, mut due, mut rejected, mut late) = (0u64, 0u64, 0u64, 0u64);
    for now in 0..END_MS {
        for target in &mut targets {
            let (ended, running) = target.running.iter().partition(|(ends_at, _)| *ends_at <= now);
            target.running = running;
            let ended: Vec<(u64, Sent)> = ended;
            for (_, sent) in ended {
                if let Some(next) = target.waiting.pop_front() {
                    late += u64::from(now - next.at > SERVICE_MS);
                    target.running.push((now + SERVICE_MS, next));
                }
                let tracker = &mut routers[sent.router];
                let report = LoadReport {
                    running: target.running.len() as u32,
                    waiting: target.waiting.len() as u32,
                    slots: SLOTS,
                    slow_percent: None,
                };
                tracker.record_report(sent.key, report, now);
                if let Some(request) = sent.request {
                    let outcome = Some(RequestOutcome::Answered);
                    tracker.finish_request(sent.key, request, outcome, now);
                }
            }
        }
        for index in 0..router_count {
            if (now + index as u64 * interval_ms / router_count as u64).is_multiple_of(interval_ms)
            {
                let loads = routers[index].own_loads();
                let peer: Name = format!("router-{index}").into();
                let others = routers.iter_mut().enumerate().filter(|(other, _)| *other != index);
                others.for_each(|(_, tracker)| tracker.update_peer(&peer, &loads, now));
            }
        }
        due += REQUESTS_PER_S;
        while due >= 1_000 {
            due -= 1_000;
            number += 1;
            let hash = base::stable_hash(&[&number.to_string()]);
            let router = (hash >> 8) as usize % router_count;
            let query = SelectionQuery {
                profile: &profile,
                target_latency_ms: 150,
                engine_memory: None,
                request_hash: hash,
                tried: &[],
                failure_domain: "a",
            };
            let tracker = &mut routers[router];
            let Ok(selection) = select_target(tracker, entries.iter(), &query, &settings, now)
            else {
                rejected += 1;
                continue;
            };
            let key = selection.key;
            let request = tracker.start_request(key, &profile, 0, 0.0, now);
            let sent = Sent { router, key, request, at: now };
            let target = entries.iter().position(|entry| entry.id == selection.entry.id);
            let target = &mut targets[target.unwrap_or_default()];
            if target.running.len() < SLOTS as usize {
                target.running.push((now + SERVICE_MS, sent));
            } else if target.waiting.len() < MAX_WAITING {
                target.waiting.push_back(sent);
            } else {
                rejected += 1;
                if let Some(request) = request {
                    tracker.finish_request(key, request, None, now);
                }
            }
        }
    }
    assert!(SERVICE == "model" && number > 0);
    (rejected as f64 / number as f64, late as f64 / number as f64)
}

/// Guards against routers that all send to the target that seemed idle seconds ago.
#[test]
fn plain_targets_are_used_evenly_while_announcements_are_rare() {
    for (routers, interval_ms) in [(90, 900), (100, 3_000)] {
        let (rejected, late) = simulate(routers, interval_ms);
        assert!(rejected < 0.005 && late < 0.1, "rejected {rejected:.3}, late {late:.3}");
    }
}

#[test]
fn plain_targets_are_used_evenly_while_announcements_are_frequent() {
    let (rejected, late) = simulate(9, 200);
    assert!(rejected < 0.005 && late < 0.02, "rejected {rejected:.3}, late {late:.3}");
}
