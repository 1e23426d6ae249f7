//! Assignment of model versions to the engines of a service.

use std::collections::BTreeMap;

use base::{Name, rank_candidates};
use doc::VersionSpec;

/// Returns the model version that each engine should load.
///
/// Versions select engines by rendezvous hashing, in the order of the document,
/// so a change of one replica count affects few engines. Engines beyond the sum
/// of all replicas get the last version with at least one replica, so that none
/// is idle.
pub fn assign_versions(versions: &[VersionSpec], engines: &[Name]) -> BTreeMap<Name, Name> {
    let mut assigned = BTreeMap::new();
    for version in versions {
        let order = rank_candidates(&version.model, engines);
        let free = order.into_iter().filter(|engine| !assigned.contains_key(*engine));
        let chosen: Vec<&Name> = free.take(version.replicas as usize).collect();
        for engine in chosen {
            assigned.insert(Name::clone(engine), Name::clone(&version.model));
        }
    }
    let Some(last) = versions.iter().rev().find(|version| version.replicas > 0) else {
        return assigned;
    };
    for engine in engines {
        assigned.entry(Name::clone(engine)).or_insert_with(|| Name::clone(&last.model));
    }
    assigned
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn adding_one_replica_moves_one_engine() {
        let engines: Vec<Name> = (0..12).map(|index| format!("e{index}").into()).collect();
        let versions = |trial| {
            let spec = |model: &str, replicas| VersionSpec { model: model.into(), replicas };
            [spec("trial", trial), spec("main", 12 - trial)]
        };
        let before = assign_versions(&versions(2), &engines);
        let after = assign_versions(&versions(3), &engines);
        let moved = engines.iter().filter(|engine| before[*engine] != after[*engine]).count();
        assert_eq!(moved, 1);
        assert_eq!(after.values().filter(|model| &***model == "trial").count(), 3);
    }
}
