//! The published instance list, which lags, and the targets known as leaving.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::Name;
use serde::{Deserialize, Serialize};

/// What an instance is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    Router,
    Target,
}

/// State that the platform publishes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    Live,
    Leaving,
}

/// One published instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    pub id: Name,
    pub kind: InstanceKind,
    /// Service of a target; empty for a router.
    #[serde(default)]
    pub service: Name,
    /// Where callers reach a router, or where a target serves.
    pub address: SocketAddr,
    /// Where the other routers reach a router.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    pub domain: Name,
    #[serde(default)]
    pub region: Name,
    pub state: InstanceState,
}

/// The whole list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    pub instances: Vec<InstanceEntry>,
}

impl InstanceList {
    /// Targets of a service.
    pub fn targets<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a InstanceEntry> {
        self.instances
            .iter()
            .filter(move |entry| entry.kind == InstanceKind::Target && &*entry.service == service)
    }

    /// Routers.
    pub fn routers(&self) -> impl Iterator<Item = &InstanceEntry> {
        self.instances.iter().filter(|entry| entry.kind == InstanceKind::Router)
    }
}

/// Targets that were heard to leave.
///
/// Invariant: a name once in stays in, whatever a lagging list says later; an
/// instance that comes back does so under a new id.
#[derive(Clone, Debug, Default)]
pub struct LeavingSet {
    names: BTreeSet<Name>,
}

impl LeavingSet {
    /// Adds what a list says; returns the names that are new.
    pub fn apply_list(&mut self, list: &InstanceList) -> Vec<Name> {
        let leaving = list.instances.iter().filter(|entry| entry.state == InstanceState::Leaving);
        self.add_names(leaving.map(|entry| &entry.id))
    }

    /// Adds what a peer says; returns the names that are new.
    pub fn add_names<'a>(&mut self, names: impl IntoIterator<Item = &'a Name>) -> Vec<Name> {
        let names = names.into_iter();
        names.filter(|name| self.names.insert(Name::clone(name))).cloned().collect()
    }

    /// Whether the instance was heard to leave.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Every name, for a digest.
    pub fn names(&self) -> impl DoubleEndedIterator<Item = &Name> {
        self.names.iter()
    }

    /// Forgets instances that neither list nor peers name any more, so that
    /// the set does not grow for ever.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.names.retain(|name| keep(name));
    }
}
