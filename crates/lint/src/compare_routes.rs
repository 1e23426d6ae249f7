//! Routes that a configuration adds, removes, moves or changes.

use std::collections::{HashMap, HashSet};

use base::Name;

use crate::draft::{ConfigDraft, DraftRoute};
use crate::finding::{LintFinding, QuotedName};
use crate::rule::LintRule;
use crate::rules::MAX_PREFIX_BYTES;

/// Largest number of services of a split in a message.
const MAX_DESCRIBED: usize = 5;

/// A route with what it is compared by. A short prefix may be compared with all longer ones, so its
/// split is not read again each time.
struct IndexedRoute<'a> {
    route: &'a DraftRoute,
    /// Services with positive weights, as requests select among them; the weight of the only
    /// service is 1, as it makes no difference.
    parts: Vec<(&'a Name, u32)>,
    /// Of all parts, also those with weight 0: streams of them may go on.
    services: HashSet<&'a Name>,
}

impl<'a> IndexedRoute<'a> {
    fn new(route: &'a DraftRoute) -> Self {
        let used = route.split.iter().filter(|part| part.weight.value > 0);
        let mut parts: Vec<(&Name, u32)> =
            used.map(|part| (&part.service.value, part.weight.value)).collect();
        if let [(_, weight)] = &mut parts[..] {
            *weight = 1;
        }
        let services = route.split.iter().map(|part| &part.service.value).collect();
        Self { route, parts, services }
    }

    fn name(&self) -> QuotedName<'a> {
        QuotedName(&self.route.name.value)
    }

    fn describe_parts(&self) -> String {
        let is_only = self.parts.len() == 1;
        let describe = |(service, weight): &(&Name, u32)| {
            let service = QuotedName(service);
            if is_only { service.to_string() } else { format!("{service} ({weight})") }
        };
        let mut described: Vec<String> =
            self.parts.iter().take(MAX_DESCRIBED).map(describe).collect();
        if self.parts.len() > MAX_DESCRIBED {
            described.push(format!("{} more", self.parts.len() - MAX_DESCRIBED));
        }
        if described.is_empty() { "no service".to_owned() } else { described.join(" and ") }
    }

    /// Returns what happens to requests and streams of a path that `new` serves from now on.
    fn describe_move(&self, new: &Self) -> String {
        let (from, to) = (self.describe_parts(), new.describe_parts());
        let mut text = format!(
            "new requests go to {to} and not to {from}; requests under way end where they are"
        );
        if self.route.kind.is_resumable() {
            let (few, many) = if self.services.len() < new.services.len() {
                (&self.services, &new.services)
            } else {
                (&new.services, &self.services)
            };
            text.push_str(if few.iter().any(|service| many.contains(service)) {
                "; a stream under way goes on at the service that began it if the route still has it, and is refused \
                 with 503 otherwise"
            } else {
                "; a stream under way that breaks off is refused with 503 when its caller takes it up"
            });
        }
        text
    }
}

/// Routes by host and prefix. Of two with the same, the first gets the requests.
struct RouteIndex<'a>(HashMap<(&'a str, &'a str), IndexedRoute<'a>>);

impl<'a> RouteIndex<'a> {
    fn new(draft: &'a ConfigDraft) -> Self {
        let mut index = HashMap::new();
        for route in &draft.routes.value {
            index.entry(key_of(route)).or_insert_with(|| IndexedRoute::new(route));
        }
        Self(index)
    }

    /// Returns the route of the longest shorter prefix, in as many steps as a prefix has segments.
    fn next_shorter<'b>(&'b self, route: &'b DraftRoute) -> Option<&'b IndexedRoute<'a>> {
        let (host, prefix) = key_of(route);
        if prefix.len() > MAX_PREFIX_BYTES {
            return None;
        }
        let mut ends = prefix.rmatch_indices('/').map(|(index, _)| &prefix[..=index]);
        ends.find_map(move |end| self.0.get(&(host, end)).filter(|_| end != prefix))
    }
}

fn key_of(route: &DraftRoute) -> (&str, &str) {
    (&route.host.value, &route.path_prefix.value)
}

pub(crate) fn compare_routes(
    in_force: &ConfigDraft,
    draft: &ConfigDraft,
    findings: &mut Vec<LintFinding>,
) {
    let (old, new) = (RouteIndex::new(in_force), RouteIndex::new(draft));
    for (key, indexed) in &new.0 {
        let name = indexed.name();
        let mut add = |rule: LintRule, message: String| {
            findings.push(LintFinding::new(rule, indexed.route.name.offset, message));
        };
        let Some(former) = old.0.get(key) else {
            let (rule, message) = describe_added(indexed, old.next_shorter(indexed.route));
            add(rule, message);
            continue;
        };
        if former.parts != indexed.parts {
            let consequence = former.describe_move(indexed);
            add(LintRule::RouteMoved, format!("route {name} moves: {consequence}"));
        }
        let changes = changes_of(former.route, indexed.route);
        if !changes.is_empty() {
            let changes = changes.join(", ");
            let message = format!(
                "route {name} changes: {changes}; requests under way keep what they began with"
            );
            add(LintRule::RouteChanged, message);
        }
    }
    for (_, indexed) in old.0.iter().filter(|(key, _)| !new.0.contains_key(*key)) {
        let consequence = match new.next_shorter(indexed.route) {
            Some(shorter) => format!(
                "and its path belongs to route {}: {}",
                shorter.name(),
                indexed.describe_move(shorter)
            ),
            None => "requests under way end where they are, and new requests get 404, also those that take a stream \
                     up"
            .to_owned(),
        };
        let message = format!("route {} is removed, {consequence}", indexed.name());
        findings.push(LintFinding::new(LintRule::RouteRemoved, draft.routes.offset, message));
    }
}

fn describe_added(
    indexed: &IndexedRoute<'_>,
    shorter: Option<&IndexedRoute<'_>>,
) -> (LintRule, String) {
    let name = indexed.name();
    match shorter.filter(|shorter| shorter.parts != indexed.parts) {
        Some(shorter) => {
            let consequence = shorter.describe_move(indexed);
            let former = shorter.name();
            let message = format!(
                "route {name} is new and takes its requests from route {former}: {consequence}"
            );
            (LintRule::RouteTakesOver, message)
        }
        None => {
            let services = indexed.describe_parts();
            let message = format!("route {name} is new: callers reach {services} there");
            (LintRule::RouteAdded, message)
        }
    }
}

fn changes_of(old: &DraftRoute, new: &DraftRoute) -> Vec<String> {
    let mut changes = Vec::new();
    if old.kind != new.kind {
        changes.push(format!("requests are {:?} and were {:?}", new.kind, old.kind));
    }
    for (what, old, new) in [
        ("time limit in ms", old.timeout_ms.value, new.timeout_ms.value),
        ("wanted latency in ms", old.target_latency_ms.value, new.target_latency_ms.value),
        ("attempts", old.max_attempts.value.into(), new.max_attempts.value.into()),
    ] {
        if old.total_cmp(&new).is_ne() {
            changes.push(format!("{what} {old} to {new}"));
        }
    }
    if old.public != new.public {
        let text =
            if new.public { "no key is needed any more" } else { "callers need a key, or get 401" };
        changes.push(text.to_owned());
    }
    if old.has_prompt != new.has_prompt {
        let text = if new.has_prompt { "are read now" } else { "are read no more" };
        changes.push(format!("parts of prompts {text}"));
    }
    changes
}
