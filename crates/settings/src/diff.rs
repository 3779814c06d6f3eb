//! Difference between two settings, value by value.

use std::collections::BTreeMap;

use crate::tree::{Content, Node, join};

/// One value that differs.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Change {
    /// Key; elements with a name are shown by it, such as `routes[/orders].open`.
    pub key: String,
    /// Old value as JSON, none if it is new.
    pub before: Option<String>,
    /// New value as JSON, none if it is removed.
    pub after: Option<String>,
}

/// Lists all values in which `after` differs from `before`.
pub fn diff(before: &Node, after: &Node) -> Vec<Change> {
    let (old, new) = (named_values(before), named_values(after));
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

fn named_values(node: &Node) -> BTreeMap<String, String> {
    let mut out = BTreeMap::new();
    collect(node, "", &mut out);
    out
}

fn collect(node: &Node, key: &str, out: &mut BTreeMap<String, String>) {
    match &node.content {
        Content::Scalar(value) => {
            out.insert(key.to_owned(), value.to_string());
        }
        Content::Array(nodes) => {
            for (i, child) in nodes.iter().enumerate() {
                let label = child.name().map_or_else(|| i.to_string(), str::to_owned);
                collect(child, &format!("{key}[{label}]"), out);
            }
        }
        Content::Object(fields) => {
            for (name, child) in fields {
                collect(child, &join(key, name), out);
            }
        }
    }
}
