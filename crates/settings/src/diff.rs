//! Difference between two settings trees, scalar by scalar.

use std::collections::BTreeMap;

use crate::tree::{Content, Node, join_key};

/// A scalar that was added, changed or removed.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Change {
    /// Key of the scalar. Named array elements appear by name, such as `routes[/orders].open`.
    pub key: String,
    /// Old value as JSON, `None` if it was added.
    pub before: Option<String>,
    /// New value as JSON, `None` if it was removed.
    pub after: Option<String>,
}

/// Returns all scalars that differ between `before` and `after`, in the order of their keys.
pub fn diff(before: &Node, after: &Node) -> Vec<Change> {
    let (old, new) = (values_by_key(before), values_by_key(after));
    let keys: std::collections::BTreeSet<_> = old.keys().chain(new.keys()).collect();
    keys.into_iter()
        .filter(|key| old.get(*key) != new.get(*key))
        .map(|key| Change {
            key: key.clone(),
            before: old.get(key).cloned(),
            after: new.get(key).cloned(),
        })
        .collect()
}

fn values_by_key(node: &Node) -> BTreeMap<String, String> {
    let mut out = BTreeMap::new();
    collect_scalars(node, "", &mut out);
    out
}

fn collect_scalars(node: &Node, key: &str, out: &mut BTreeMap<String, String>) {
    match &node.content {
        Content::Scalar(value) => {
            out.insert(key.to_owned(), value.to_string());
        }
        Content::Array(nodes) => {
            for (i, child) in nodes.iter().enumerate() {
                let label = child.name().map_or_else(|| i.to_string(), str::to_owned);
                collect_scalars(child, &format!("{key}[{label}]"), out);
            }
        }
        Content::Object(fields) => {
            for (name, child) in fields {
                collect_scalars(child, &join_key(key, name), out);
            }
        }
    }
}
