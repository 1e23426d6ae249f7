//! Differences of a configuration from the one in force. Entries are compared by what callers
//! use: host and prefix, service name, key. Order and route names change nothing.

use std::collections::{BTreeMap, HashMap, HashSet};

use base::Name;

use crate::compare_routes::compare_routes;
use crate::draft::{ConfigDraft, DraftService, PlacedValue};
use crate::finding::{LintFinding, QuotedName};
use crate::rule::LintRule;

/// Returns in what `draft` differs from the configuration in force, in no particular order; nothing
/// if it is the same one.
/// What is gone has the place of its list in `draft`.
pub fn compare(in_force: &ConfigDraft, draft: &ConfigDraft) -> Vec<LintFinding> {
    let mut findings = Vec::new();
    compare_routes(in_force, draft, &mut findings);
    compare_services(in_force, draft, &mut findings);
    compare_keys(in_force, draft, &mut findings);
    compare_limits(in_force, draft, &mut findings);
    let (old, new) = (in_force.version.value, draft.version);
    let is_same = new.value == old && findings.is_empty();
    if new.value <= old && !is_same {
        let message = format!(
            "version {} is not higher than version {old}, which is in force: instances ignore this configuration, and \
             nothing changes for callers",
            new.value
        );
        findings.push(LintFinding::new(LintRule::VersionNotHigher, new.offset, message));
    }
    findings
}

fn compare_services(in_force: &ConfigDraft, draft: &ConfigDraft, findings: &mut Vec<LintFinding>) {
    // Of two services with one name, the last is in force.
    let index = |draft: &'_ ConfigDraft| -> BTreeMap<Name, DraftService> {
        let services = draft.services.value.iter();
        services.map(|service| (Name::clone(&service.name.value), service.clone())).collect()
    };
    let (old, new) = (index(in_force), index(draft));
    for (name, service) in &new {
        let offset = service.name.offset;
        let shown = QuotedName(name);
        match old.get(name) {
            None => {
                let message =
                    format!("service {shown} is new: callers reach it once targets publish it");
                findings.push(LintFinding::new(LintRule::ServiceAdded, offset, message));
            }
            Some(former) if !is_same_service(former, service) => {
                let message = format!(
                    "limits of service {shown} change: requests under way go on, and new ones are placed by the new \
                     limits"
                );
                findings.push(LintFinding::new(LintRule::ServiceChanged, offset, message));
            }
            Some(_) => {}
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        let name = QuotedName(name);
        let message = format!(
            "service {name} is removed: requests and streams under way end there, and callers reach it no more \
             unless a route still names it"
        );
        let offset = draft.services.offset;
        findings.push(LintFinding::new(LintRule::ServiceRemoved, offset, message));
    }
}

fn is_same_service(one: &DraftService, other: &DraftService) -> bool {
    (one.max_connections, one.engine) == (other.max_connections, other.engine)
}

/// Keys of a configuration with their accounts. Of two accounts with one key, the last has it.
fn keys_of(draft: &ConfigDraft) -> HashMap<&Name, (&Name, usize)> {
    let accounts = draft.accounts.value.iter();
    let keys = accounts.flat_map(|account| {
        let keys = account.credentials.iter();
        keys.map(|PlacedValue { value, offset }| (value, (&account.name.value, *offset)))
    });
    keys.collect()
}

fn compare_keys(in_force: &ConfigDraft, draft: &ConfigDraft, findings: &mut Vec<LintFinding>) {
    let (old, new) = (keys_of(in_force), keys_of(draft));
    let known: HashSet<&Name> = old.values().map(|(name, _)| *name).collect();
    let mut added: BTreeMap<&Name, (usize, usize)> = BTreeMap::new();
    for (key, (account, offset)) in &new {
        match old.get(key) {
            None => {
                let (count, first) = added.entry(account).or_insert((0, *offset));
                *count += 1;
                *first = (*first).min(*offset);
            }
            Some((former, _)) if former != account => {
                let (former, account) = (QuotedName(former), QuotedName(account));
                let message = format!(
                    "a key of account {former} moves to account {account}: its requests under way stay with \
                     {former}, new ones count as {account}, and streams under way can't be taken up with it"
                );
                findings.push(LintFinding::new(LintRule::KeyMoved, *offset, message));
            }
            Some(_) => {}
        }
    }
    for (account, (count, offset)) in added {
        let (rule, what) = if known.contains(account) {
            (LintRule::KeyAdded, "gets more keys")
        } else {
            (LintRule::AccountAdded, "is new")
        };
        let account = QuotedName(account);
        let message = format!(
            "account {account} {what}: callers with {count} new keys are accepted once all instances have this \
             configuration, and may get 401 until then"
        );
        findings.push(LintFinding::new(rule, offset, message));
    }
    let mut removed: BTreeMap<&Name, usize> = BTreeMap::new();
    for (_, (account, _)) in old.iter().filter(|(key, _)| !new.contains_key(**key)) {
        *removed.entry(account).or_default() += 1;
    }
    for (account, count) in removed {
        let account = QuotedName(account);
        let message = format!(
            "account {account} loses {count} keys: requests and streams under way go on, and callers with these keys \
             get 401 from now on, also when they take a stream up"
        );
        let offset = draft.accounts.offset;
        findings.push(LintFinding::new(LintRule::KeyRemoved, offset, message));
    }
}

fn compare_limits(in_force: &ConfigDraft, draft: &ConfigDraft, findings: &mut Vec<LintFinding>) {
    let (old, new) = (&in_force.limits.value, &draft.limits.value);
    let mut changes = Vec::new();
    for (what, old, new) in [
        ("bytes of a head", old.head_bytes.value as f64, new.head_bytes.value as f64),
        ("bytes of a body", old.body_bytes.value as f64, new.body_bytes.value as f64),
        ("time for a head in ms", old.head_timeout_ms.value, new.head_timeout_ms.value),
        ("idle time in ms", old.idle_timeout_ms.value, new.idle_timeout_ms.value),
        ("capacity in tokens/s", old.capacity_tokens_per_s, new.capacity_tokens_per_s),
    ] {
        if old.total_cmp(&new).is_ne() {
            changes.push(format!("{what} {old} to {new}"));
        }
    }
    if !changes.is_empty() {
        let message = format!(
            "limits change: {}; requests under way go on, and new ones are handled by the new limits",
            changes.join(", ")
        );
        findings.push(LintFinding::new(LintRule::LimitsChanged, draft.limits.offset, message));
    }
}
