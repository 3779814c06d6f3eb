//! Merging of base and overlay. Guards against lost values, wrong source locations and example
//! files that do not load.

use nutmegbay_settings::{Site, Source, diff};

const BASE: &str = include_str!("../../../examples/base.jsonc");
const ANTHOKARTES: &str = include_str!("../../../examples/anthokartes.jsonc");
const RASTRILLO: &str = include_str!("../../../examples/rastrillo.jsonc");

fn load(overlay: &str) -> Site {
    let base = Source {
        name: "base.jsonc",
        text: BASE,
    };
    Site::load(
        base,
        Some(Source {
            name: "overlay.jsonc",
            text: overlay,
        }),
    )
    .unwrap_or_else(|e| panic!("{e}"))
}

#[test]
fn example_sites() {
    for (text, engines, services) in [(ANTHOKARTES, 14, 3), (RASTRILLO, 12, 3)] {
        let site = load(text);
        let count = |kind| {
            site.settings
                .upstreams
                .iter()
                .filter(|u| u.kind.to_string() == kind)
                .count()
        };
        assert_eq!((count("engine"), count("service")), (engines, services));
        assert_eq!(site.settings.accounts.len(), 8);
    }
}

#[test]
fn merge_by_name() {
    let site = load(r#"{ "models": [{ "name": "verse", "version": "4" }] }"#);
    let verse = site
        .settings
        .models
        .iter()
        .find(|m| &*m.name == "verse")
        .unwrap();
    assert_eq!((&*verse.version, verse.max_tokens), ("4", 512));
    assert_eq!(
        site.settings.models.len(),
        2,
        "the overlay dropped a model that it does not name"
    );
}

#[test]
fn removal_by_name() {
    let site = load(r#"{ "models": [{ "name": "verse", "remove": true }] }"#);
    assert_eq!(site.settings.models.len(), 1);
}

#[test]
fn value_origins() {
    let site = load("{\n  \"usage\": { \"window_s\": 30 }\n}");
    let origin = |wanted: &str| {
        let values = site.values();
        let (_, _, origin) = values.iter().find(|(key, _, _)| key == wanted).unwrap();
        origin.to_string()
    };
    assert_eq!(origin("usage.window_s"), "overlay.jsonc:2:14");
    assert!(origin("usage.grace_s").starts_with("base.jsonc:"));
}

#[test]
fn changed_values() {
    let before = load("{}");
    let after =
        load(r#"{ "usage": { "window_s": 30 }, "accounts": [{ "name": "a", "share": 1 }] }"#);
    let changes = diff(&before.tree, &after.tree);
    let keys: Vec<_> = changes.iter().map(|c| &*c.key).collect();
    assert_eq!(
        keys,
        ["accounts[a].name", "accounts[a].share", "usage.window_s"]
    );
    assert_eq!(changes[2].before.as_deref(), Some("60"));
}
