//! Rules that look at one configuration.

use std::collections::{HashMap, HashSet};

use base::Name;
use route::CallKind;

use crate::draft::{ConfigDraft, DraftLimits, DraftRoute, PlacedValue};
use crate::finding::{LintFinding, QuotedName};
use crate::rule::LintRule;

/// Longest prefix in bytes that requests are expected to have. It also bounds the look-ups of the
/// shorter prefixes of a prefix, whose cost is the square of its length.
pub(crate) const MAX_PREFIX_BYTES: usize = 8_192;

/// Returns what the rules find in a configuration, in no particular order.
pub fn lint(draft: &ConfigDraft) -> Vec<LintFinding> {
    let mut findings = Findings::default();
    findings.check_names(draft);
    findings.check_paths(&draft.routes.value);
    let services: HashSet<&Name> =
        draft.services.value.iter().map(|service| &service.name.value).collect();
    for route in &draft.routes.value {
        findings.check_host(route);
        findings.check_prefix(route);
        findings.check_split(route, &services);
        findings.check_times(route);
    }
    findings.check_unused(draft);
    findings.check_accounts(draft);
    findings.check_limits(&draft.limits.value);
    findings.0
}

/// A time as the gateway reads it: whole milliseconds, not negative.
fn as_read(ms: f64) -> u64 {
    ms as u64
}

#[derive(Debug, Default)]
struct Findings(Vec<LintFinding>);

impl Findings {
    fn add(&mut self, rule: LintRule, offset: usize, message: String) {
        self.0.push(LintFinding::new(rule, offset, message));
    }

    /// Reports each name that was there before.
    fn check_unique<'a>(
        &mut self,
        rule: LintRule,
        names: impl Iterator<Item = &'a PlacedValue<Name>>,
        consequence: &str,
    ) {
        let mut seen = HashSet::new();
        for name in names {
            if !seen.insert(&name.value) {
                let message =
                    format!("the name {} is used twice: {consequence}", QuotedName(&name.value));
                self.add(rule, name.offset, message);
            }
        }
    }

    fn check_names(&mut self, draft: &ConfigDraft) {
        self.check_unique(
            LintRule::DuplicateRouteName,
            draft.routes.value.iter().map(|route| &route.name),
            "logs and figures of the two routes can't be told apart when a caller reports a fault",
        );
        self.check_unique(
            LintRule::DuplicateServiceName,
            draft.services.value.iter().map(|service| &service.name),
            "only the last one is in force, and requests are sent by its limits",
        );
        self.check_unique(
            LintRule::DuplicateAccount,
            draft.accounts.value.iter().map(|account| &account.name),
            "callers with the keys of either share one client account and its share",
        );
    }

    /// Finds routes that never match, as another one has their host and prefix.
    fn check_paths(&mut self, routes: &[DraftRoute]) {
        let mut seen: HashMap<(&str, &str), &DraftRoute> = HashMap::new();
        let mut seen_folded: HashMap<(String, &str), &DraftRoute> = HashMap::new();
        for route in routes {
            let (host, prefix) = (&*route.host.value, &*route.path_prefix.value);
            let (name, offset) = (QuotedName(&route.name.value), route.path_prefix.offset);
            if let Some(first) = seen.get(&(host, prefix)) {
                let message = format!(
                    "route {name} has the host and prefix of route {}, which gets all requests: \
                     callers never reach this one",
                    QuotedName(&first.name.value)
                );
                self.add(LintRule::DuplicateRoutePath, offset, message);
                continue;
            }
            seen.insert((host, prefix), route);
            let folded = (host.to_ascii_lowercase(), prefix);
            if let Some(first) = seen_folded.get(&folded) {
                let message = format!(
                    "route {name} differs from route {} only in the case of its host, which is compared \
                     exactly: callers reach the one whose host they write in the same way",
                    QuotedName(&first.name.value)
                );
                self.add(LintRule::ShadowedRoute, route.host.offset, message);
                continue;
            }
            seen_folded.insert(folded, route);
        }
    }

    fn check_host(&mut self, route: &DraftRoute) {
        let PlacedValue { value: host, offset } = &route.host;
        let shown = QuotedName(host);
        if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            let message = format!(
                "the host {shown} has capital letters and is compared exactly: most callers send hosts in lower \
                 case and get 404"
            );
            self.add(LintRule::HostCase, *offset, message);
        }
        if host.contains(':') {
            let message = format!(
                "the host {shown} has a port, and ports of requests are not compared: callers never reach this route"
            );
            self.add(LintRule::HostPort, *offset, message);
        }
    }

    fn check_prefix(&mut self, route: &DraftRoute) {
        let PlacedValue { value: prefix, offset } = &route.path_prefix;
        if prefix.len() > MAX_PREFIX_BYTES {
            let length = prefix.len();
            let message = format!(
                "the prefix has {length} bytes, more than the head of a request: callers never reach this route"
            );
            self.add(LintRule::BadPrefix, *offset, message);
            return;
        }
        let consequence = if !prefix.starts_with('/') {
            "does not begin with a slash: callers never reach this route"
        } else if !prefix.ends_with('/') {
            "does not end with a slash: callers reach this route with longer names that begin alike, too"
        } else {
            return;
        };
        self.add(
            LintRule::BadPrefix,
            *offset,
            format!("the prefix {} {consequence}", QuotedName(prefix)),
        );
    }

    fn check_split(&mut self, route: &DraftRoute, services: &HashSet<&Name>) {
        let name = QuotedName(&route.name.value);
        let mut reported = HashSet::new();
        for part in &route.split {
            let service = &part.service.value;
            if !services.contains(service) && reported.insert(service) {
                let message = format!(
                    "route {name} sends to the unknown service {}: its callers get 503 unless \
                     targets publish that name, and then no limit of a service applies",
                    QuotedName(service)
                );
                self.add(LintRule::UnknownService, part.service.offset, message);
            }
        }
        let is_any_used = route.split.iter().any(|part| part.weight.value > 0);
        if !is_any_used {
            let message = format!("route {name} has no service with a weight: its callers get 503");
            self.add(LintRule::NoService, route.name.offset, message);
            return;
        }
        for part in route.split.iter().filter(|part| part.weight.value == 0) {
            let message = format!(
                "service {} has weight 0 in route {name}: no request of the route begins there",
                QuotedName(&part.service.value)
            );
            self.add(LintRule::ZeroWeight, part.weight.offset, message);
        }
    }

    fn check_times(&mut self, route: &DraftRoute) {
        let name = QuotedName(&route.name.value);
        let timeout_ms = as_read(route.timeout_ms.value);
        let latency_ms = as_read(route.target_latency_ms.value);
        let attempts = u64::from(route.max_attempts.value);
        if timeout_ms == 0 {
            let message = format!("route {name} gives requests no time: every caller is refused");
            self.add(LintRule::ZeroTimeout, route.timeout_ms.offset, message);
        } else if timeout_ms < latency_ms {
            let message = format!(
                "route {name} ends requests after {timeout_ms} ms and wants them within {latency_ms} ms: callers are \
                 cut off before their response counts as late"
            );
            self.add(LintRule::LatencyOverTimeout, route.timeout_ms.offset, message);
        } else if is_repeated(route) && attempts.saturating_mul(latency_ms) > timeout_ms {
            let message = format!(
                "route {name} allows {attempts} attempts, {latency_ms} ms each, and {timeout_ms} ms for all: callers \
                 time out before the last attempt responds"
            );
            self.add(LintRule::AttemptsOverTimeout, route.max_attempts.offset, message);
        }
    }

    fn check_unused(&mut self, draft: &ConfigDraft) {
        let parts = draft.routes.value.iter().flat_map(|route| &route.split);
        let used: HashSet<&Name> = parts.map(|part| &part.service.value).collect();
        let services = draft.services.value.iter().map(|service| &service.name);
        for name in services.filter(|name| !used.contains(&name.value)) {
            let message = format!(
                "no route sends to service {}: callers never reach it",
                QuotedName(&name.value)
            );
            self.add(LintRule::UnusedService, name.offset, message);
        }
    }

    fn check_accounts(&mut self, draft: &ConfigDraft) {
        let mut owners: HashMap<&Name, &Name> = HashMap::new();
        for account in &draft.accounts.value {
            let name = &account.name.value;
            let shown = QuotedName(name);
            if account.credentials.is_empty() {
                let message = format!("account {shown} has no key: its callers get 401");
                self.add(LintRule::AccountWithoutKey, account.name.offset, message);
            }
            for credential in &account.credentials {
                let owner = owners.insert(&credential.value, name);
                if let Some(owner) = owner.filter(|owner| *owner != name) {
                    let message = format!(
                        "accounts {} and {shown} have the same key: its callers count as {shown}",
                        QuotedName(owner)
                    );
                    self.add(LintRule::SharedKey, credential.offset, message);
                }
            }
        }
    }

    fn check_limits(&mut self, limits: &DraftLimits) {
        let head_ms = as_read(limits.head_timeout_ms.value);
        let idle_ms = as_read(limits.idle_timeout_ms.value);
        if idle_ms < head_ms {
            let message = format!(
                "idle connections are closed after {idle_ms} ms, and the head of a request may take {head_ms} ms: callers \
                 that send slowly may lose their connection first"
            );
            self.add(LintRule::IdleUnderHeader, limits.idle_timeout_ms.offset, message);
        }
        if limits.body_bytes.value == 0 {
            let message = "bodies may have 0 bytes: callers that send one get 413";
            self.add(LintRule::ZeroBody, limits.body_bytes.offset, message.to_owned());
        }
    }
}

/// Whether a request may run at several targets one after the other.
fn is_repeated(route: &DraftRoute) -> bool {
    let is_retryable = match route.kind {
        CallKind::Idempotent | CallKind::Stream { .. } => true,
        CallKind::NonIdempotent => false,
    };
    is_retryable && route.max_attempts.value > 1
}
