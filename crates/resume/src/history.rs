//! The software versions of the targets that a router has seen lately, by service.

use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::settings::ResumeSettings;
use crate::signed::SignedMillis;

#[derive(Clone, Copy, Debug)]
struct VersionSpan {
    first_seen: Millis,
    /// When the view of the targets was last complete without it; 0 if that is not known.
    unseen_at: Millis,
    /// When its last target was removed; `None` while it has one.
    gone_at: Option<Millis>,
}

/// A version that has targets, or whose last target was removed lately.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct SeenVersion {
    service: Name,
    version: Name,
    /// Milliseconds since its last target was removed; 0 while it has one.
    age: Millis,
}

/// What a router has seen of versions, for one that has just started.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionNotice {
    /// Time in milliseconds for which the sender has seen the targets.
    observed_ms: Millis,
    /// With those that have targets: the receiver may know already that they have none.
    seen: Vec<SeenVersion>,
}

/// Versions that targets have or had lately.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<Name, BTreeMap<Name, VersionSpan>>,
    /// Since when the view of the targets has been current, of this router or of a peer before.
    /// None without a configuration.
    observed_since: Option<SignedMillis>,
    /// When the view of the targets was first current.
    known_since: Option<Millis>,
    /// Since when a peer has observed the targets, and when it said so.
    peer_observed: Option<(SignedMillis, Millis)>,
    window: StreamWindow,
}

/// For how long a stream may be taken up after its beginning: the longest time limit, and some
/// time for its caller to return.
#[derive(Debug, Default)]
struct StreamWindow {
    /// Length in milliseconds; 0 without a configuration.
    length: Millis,
    /// Length under earlier configurations, whose streams may be taken up until the time that
    /// stands beside it.
    former: Option<(Millis, Millis)>,
}

impl StreamWindow {
    fn set(&mut self, length: Millis, now: Millis) {
        if length < self.length {
            self.former = Some((self.at(now), now + self.at(now)));
        }
        self.length = length;
    }

    /// Returns the length in milliseconds that covers every stream.
    fn at(&self, now: Millis) -> Millis {
        let former = self.former.filter(|(_, until)| now < *until);
        self.length.max(former.map_or(0, |(length, _)| length))
    }
}

impl VersionHistory {
    /// Sets the longest time in milliseconds that a stream may last.
    pub(crate) fn set_longest_stream(
        &mut self,
        longest: Millis,
        settings: &ResumeSettings,
        now: Millis,
    ) {
        self.window.set(longest + settings.return_ms, now);
    }

    /// Time in milliseconds after its beginning within which a stream may be taken up.
    pub(crate) fn window(&self, now: Millis) -> Millis {
        self.window.at(now)
    }

    /// Records the service and version of all targets that are published now. What was known
    /// before was complete at `confirmed_at`.
    pub(crate) fn update(
        &mut self,
        targets: impl Iterator<Item = (Name, Name)>,
        confirmed_at: Option<Millis>,
        now: Millis,
    ) {
        let unseen_at = confirmed_at.unwrap_or(0);
        let present: BTreeSet<(Name, Name)> = targets.collect();
        for (service, version) in &present {
            let versions = self.services.entry(Name::clone(service)).or_default();
            let span = VersionSpan { first_seen: now, unseen_at, gone_at: None };
            let known = versions.entry(Name::clone(version)).or_insert(span);
            known.gone_at = None;
        }
        let window = self.window.at(now);
        for (service, versions) in &mut self.services {
            for (version, span) in versions.iter_mut() {
                if !present.contains(&(Name::clone(service), Name::clone(version))) {
                    span.gone_at.get_or_insert(now);
                }
            }
            versions.retain(|_, span| span.is_recent(window, now));
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// Records the age of the view of the targets. While it is too old, versions may come and go
    /// unseen.
    pub(crate) fn observe(
        &mut self,
        view_age: Option<Millis>,
        settings: &ResumeSettings,
        now: Millis,
    ) {
        // Without a configuration no version that is gone is remembered.
        let has_window = self.window.at(now) > 0;
        if has_window && view_age.is_some_and(|age| age <= settings.fresh_ms) {
            let since = self.peer_observed_since(settings, now);
            self.observed_since.get_or_insert(since);
            self.known_since.get_or_insert(now);
        } else {
            self.observed_since = None;
        }
    }

    /// Returns for how many milliseconds the view of the targets has been current.
    pub(crate) fn observed_ms(&self, now: Millis) -> Millis {
        self.observed_since.map_or(0, |since| since.age(now))
    }

    /// Returns what this router has seen, for a peer.
    pub(crate) fn notice(&self, now: Millis) -> VersionNotice {
        let observed_ms = self.observed_ms(now);
        let spans = self.services.iter().flat_map(|(service, versions)| {
            versions.iter().map(move |(version, span)| (service, version, span))
        });
        let seen = spans.map(|(service, version, span)| SeenVersion {
            service: Name::clone(service),
            version: Name::clone(version),
            age: span.gone_at.map_or(0, |at| now.saturating_sub(at)),
        });
        VersionNotice { observed_ms, seen: seen.collect() }
    }

    /// Takes over what a peer has seen before this router started. A version that the peer
    /// still sees, and this router does not, counts as gone from now on.
    pub(crate) fn merge(&mut self, notice: VersionNotice, now: Millis) {
        let since = SignedMillis::before(now, notice.observed_ms);
        self.peer_observed = Some((since, now));
        self.observed_since = self.observed_since.map(|own| own.min(since));
        for SeenVersion { service, version, age } in notice.seen {
            let gone_at = now.saturating_sub(age);
            let span = VersionSpan { first_seen: gone_at, unseen_at: 0, gone_at: Some(gone_at) };
            let known = self.services.entry(service).or_default().entry(version).or_insert(span);
            known.gone_at = known.gone_at.map(|own| own.max(gone_at));
        }
    }

    /// Returns since when the targets have been observed, by a peer until `fresh_ms` ago and by
    /// this router from now on. No version is used that came after the peer's notice.
    fn peer_observed_since(&self, settings: &ResumeSettings, now: Millis) -> SignedMillis {
        let noticed = self.peer_observed.filter(|(_, at)| now - at <= settings.fresh_ms);
        noticed.map_or(SignedMillis::before(now, 0), |(since, _)| since)
    }

    /// Whether streams of a service may have begun at more than one version, or this router
    /// does not know: its view of the targets is `view_age` old, or it has just started.
    pub(crate) fn is_uncertain(
        &self,
        service: &str,
        view_age: Option<Millis>,
        settings: &ResumeSettings,
        now: Millis,
    ) -> bool {
        let is_fresh = view_age.is_some_and(|age| age <= settings.fresh_ms);
        !is_fresh || !self.is_observed(now) || self.recent(service, now).count() != 1
    }

    /// Whether the view of the targets, of this router or of a peer before it, has been current
    /// for as long as a stream may last: no version is missing that a stream may have begun at.
    pub(crate) fn is_observed(&self, now: Millis) -> bool {
        let window = self.window.at(now);
        self.observed_since.is_some_and(|since| since.age(now) >= window)
    }

    /// Whether this router has run for as long as a stream may last. Its view of the targets may
    /// have been old meanwhile.
    pub(crate) fn is_settled(&self, now: Millis) -> bool {
        let window = self.window.at(now);
        self.known_since.is_some_and(|since| now - since >= window)
    }

    /// Returns the version at which all streams of a service began, as far as this router has
    /// seen. A version that nobody uses yet does not count.
    pub fn sole_version(
        &self,
        service: &str,
        settings: &ResumeSettings,
        now: Millis,
    ) -> Option<&Name> {
        let is_used = |span: &VersionSpan| now >= span.unseen_at + settings.settle_ms;
        let used = self.recent(service, now).filter(|(_, span)| is_used(span));
        let used: Vec<&Name> = used.map(|(version, _)| version).collect();
        let all = self.recent(service, now).map(|(version, _)| version);
        let counted = if used.is_empty() { all.collect() } else { used };
        if let [version] = counted[..] { Some(version) } else { None }
    }

    /// Returns the versions that were first seen lately.
    pub(crate) fn unsettled(
        &self,
        service: &str,
        settings: &ResumeSettings,
        now: Millis,
    ) -> Vec<Name> {
        let is_new = |span: &VersionSpan| now.saturating_sub(span.first_seen) < settings.settle_ms;
        let new = self.recent(service, now).filter(|(_, span)| is_new(span));
        new.map(|(version, _)| Name::clone(version)).collect()
    }

    /// Returns the services that have targets.
    pub(crate) fn services(&self) -> impl Iterator<Item = &Name> {
        self.services.keys()
    }

    fn recent(&self, service: &str, now: Millis) -> impl Iterator<Item = (&Name, &VersionSpan)> {
        let versions = self.services.get(service).into_iter().flatten();
        let window = self.window.at(now);
        versions.filter(move |(_, span)| span.is_recent(window, now))
    }
}

impl VersionSpan {
    fn is_recent(&self, window: Millis, now: Millis) -> bool {
        self.gone_at.is_none_or(|at| now.saturating_sub(at) < window)
    }
}
