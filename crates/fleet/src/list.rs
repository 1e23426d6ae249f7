//! The published instance list, which may lag behind, and the set of instances
//! that are known to be leaving.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::Name;
use serde::{Deserialize, Serialize};

/// Role of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    Router,
    Target,
}

/// State of an instance as published by the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    Live,
    Leaving,
}

/// Entry of one instance in the published list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    pub id: Name,
    pub kind: InstanceKind,
    /// Service of a target; empty for a router.
    #[serde(default)]
    pub service: Name,
    /// Address at which callers reach a router, or routers reach a target.
    pub address: SocketAddr,
    /// Address at which the other routers reach a router.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    pub domain: Name,
    #[serde(default)]
    pub region: Name,
    pub state: InstanceState,
}

/// The published list of all instances.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    pub instances: Vec<InstanceEntry>,
}

impl InstanceList {
    /// Returns the targets of a service.
    pub fn targets<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a InstanceEntry> {
        self.instances
            .iter()
            .filter(move |entry| entry.kind == InstanceKind::Target && &*entry.service == service)
    }

    /// Returns the routers.
    pub fn routers(&self) -> impl Iterator<Item = &InstanceEntry> {
        self.instances.iter().filter(|entry| entry.kind == InstanceKind::Router)
    }
}

/// Instances that were reported as leaving.
///
/// Invariant: a lagging list never removes a name. An instance that returns
/// does so under a new id.
#[derive(Clone, Debug, Default)]
pub struct LeavingSet {
    names: BTreeSet<Name>,
}

impl LeavingSet {
    /// Adds the leaving instances of a list and returns the names that are new.
    pub fn apply_list(&mut self, list: &InstanceList) -> Vec<Name> {
        let leaving = list.instances.iter().filter(|entry| entry.state == InstanceState::Leaving);
        self.add_names(leaving.map(|entry| &entry.id))
    }

    /// Adds names reported by a peer and returns those that are new.
    pub fn add_names<'a>(&mut self, names: impl IntoIterator<Item = &'a Name>) -> Vec<Name> {
        let names = names.into_iter();
        names.filter(|name| self.names.insert(Name::clone(name))).cloned().collect()
    }

    /// Returns whether the instance was reported as leaving.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Returns every name in order, for a digest.
    pub fn names(&self) -> impl DoubleEndedIterator<Item = &Name> {
        self.names.iter()
    }

    /// Keeps only the names that `keep` accepts, so that instances that neither
    /// the list nor a peer names any more can be dropped and the set does not
    /// grow without bound.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.names.retain(|name| keep(name));
    }
}
