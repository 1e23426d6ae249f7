//! Differences between two documents, one line for each changed key.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::spec::TeamDocument;

/// Returns the lines `key: old -> new`, sorted by key; `-` stands for an absent
/// key.
pub fn diff(old: &TeamDocument, new: &TeamDocument) -> Vec<String> {
    let old = leaves_of(old);
    let new = leaves_of(new);
    let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
    keys.sort();
    keys.dedup();
    let format_value = |leaves: &BTreeMap<String, String>, key: &String| {
        leaves.get(key).cloned().unwrap_or_else(|| "-".into())
    };
    keys.into_iter()
        .filter(|key| old.get(*key) != new.get(*key))
        .map(|key| format!("{key}: {} -> {}", format_value(&old, key), format_value(&new, key)))
        .collect()
}

/// Returns the values of the document by their dotted path. Arrays count as one
/// value.
fn leaves_of(document: &TeamDocument) -> BTreeMap<String, String> {
    let mut leaves = BTreeMap::new();
    let value = serde_json::to_value(document).unwrap_or(Value::Null);
    collect_leaves("", &value, &mut leaves);
    leaves
}

fn collect_leaves(prefix: &str, value: &Value, leaves: &mut BTreeMap<String, String>) {
    let Value::Object(fields) = value else {
        leaves.insert(prefix.to_owned(), value.to_string());
        return;
    };
    for (key, field) in fields {
        let path = if prefix.is_empty() { key.clone() } else { format!("{prefix}.{key}") };
        collect_leaves(&path, field, leaves);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn changed_weight_gives_one_line() {
        let text = |weight| {
            let hash = "a".repeat(64);
            format!(
                r#"{{"team":"t","services":{{}},"accounts":{{"a":{{"weight":{weight},
                "credential_sha256":"{hash}"}}}}}}"#
            )
        };
        let old = crate::accept(&text(1)).unwrap().document;
        let new = crate::accept(&text(3)).unwrap().document;
        assert_eq!(diff(&old, &new), ["accounts.a.weight: 1 -> 3"]);
    }
}
