//! Which services streams may change between as one configuration replaces another.

use std::collections::{BTreeMap, BTreeSet};

use base::Name;

use crate::table::{HostRoutes, RouteSpec, RouteTable, WeightedService};

/// What a configuration changes for streams that began under the one before.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamMoves {
    /// Services of paths whose streams another service may serve now, before and after.
    pub changed: BTreeSet<Name>,
    /// Services of paths whose streams may be taken up now, and could not before.
    pub gained: BTreeSet<Name>,
    /// Whether there are paths whose streams can no longer be taken up.
    pub is_any_lost: bool,
}

/// The routes of one host by their prefixes. Looks up the route of a prefix in as many steps as
/// it has segments.
#[derive(Default)]
struct PrefixIndex<'a>(BTreeMap<&'a str, &'a RouteSpec>);

impl<'a> PrefixIndex<'a> {
    fn new(HostRoutes(routes): &'a HostRoutes) -> Self {
        let mut index = BTreeMap::new();
        for route in routes {
            // Of two routes with one prefix, the first is selected.
            index.entry(&*route.path_prefix).or_insert(route);
        }
        Self(index)
    }

    /// Returns the services of the streams at `prefix`; none if they can't be taken up.
    fn stream_split(&self, prefix: &str) -> Vec<&'a WeightedService> {
        let ends = prefix.rmatch_indices('/').map(|(index, _)| &prefix[..=index]);
        let mut covering = std::iter::once(prefix).chain(ends).filter_map(|end| self.0.get(end));
        let Some(route) = covering.next().filter(|route| route.kind.is_resumable()) else {
            return Vec::new();
        };
        route.split.iter().filter(|part| part.weight > 0).collect()
    }
}

/// Whether two splits select the same service for every request.
fn is_same_selection(one: &[&WeightedService], other: &[&WeightedService]) -> bool {
    match (one, other) {
        ([one], [other]) => one.service == other.service,
        _ => one == other,
    }
}

impl StreamMoves {
    /// Compares two configurations. A path counts by its host and prefix: a new longer prefix
    /// takes streams from a shorter one, and leaves them to it when it is removed.
    pub fn between(former: &RouteTable, table: &RouteTable) -> Self {
        let mut moves = Self::default();
        let hosts: BTreeSet<&Name> = former.hosts.keys().chain(table.hosts.keys()).collect();
        for host in hosts {
            let before = former.hosts.get(host).map(PrefixIndex::new).unwrap_or_default();
            let after = table.hosts.get(host).map(PrefixIndex::new).unwrap_or_default();
            let prefixes: BTreeSet<&str> = before.0.keys().chain(after.0.keys()).copied().collect();
            for prefix in prefixes {
                moves.compare(&before.stream_split(prefix), &after.stream_split(prefix));
            }
        }
        moves
    }

    fn compare(&mut self, before: &[&WeightedService], after: &[&WeightedService]) {
        let services = |split: &[&WeightedService]| -> Vec<Name> {
            split.iter().map(|part| Name::clone(&part.service)).collect()
        };
        match (before.is_empty(), after.is_empty()) {
            _ if is_same_selection(before, after) => {}
            (true, _) => self.gained.extend(services(after)),
            (_, true) => self.is_any_lost = true,
            (false, false) => {
                self.changed.extend(services(before));
                self.changed.extend(services(after));
            }
        }
    }
}
