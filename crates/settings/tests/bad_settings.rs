//! Guards against bad settings that pass, and against errors that do not name file, line and key.

use nutmegbay_settings::{Site, Source, parse_process};

const BASE: &str = include_str!("../../../examples/base.jsonc");

fn error(overlay: &str) -> String {
    let base = Source {
        name: "base.jsonc",
        text: BASE,
    };
    let overlay = Source {
        name: "site.jsonc",
        text: overlay,
    };
    let report = Site::load(base, Some(overlay)).expect_err("bad settings were accepted");
    report.current_context().to_string()
}

#[test]
fn fault_places() {
    for (overlay, expected) in [
        (
            "{\n \"usage\": { \"window\": 1 } }",
            "site.jsonc:2:13: usage.window: unknown field",
        ),
        (
            "{\n \"colour\": 1 }",
            "site.jsonc:2:2: colour: unknown field",
        ),
        (
            "{ \"usage\": { \"window_s\": \"x\" } }",
            "site.jsonc:1:14: usage.window_s: invalid type",
        ),
        (
            "{ \"usage\": { \"window_s\": 0 } }",
            "site.jsonc:1:14: usage.window_s: must be",
        ),
        (
            "{ \"usage\": 1, \"usage\": 2 }",
            "site.jsonc:1:15: usage: the key stands twice",
        ),
        ("{ \"usage\": ", "site.jsonc:1:"),
        ("", "site.jsonc:1:1: the file is empty"),
        (
            "{ \"accounts\": [{ \"name\": \"a\", \"share\": 0 }] }",
            "site.jsonc:1:31: accounts[0].share",
        ),
        (
            "{ \"models\": [{ \"name\": \"m\", \"version\": \"1\" }] }",
            "models[2]: missing field `max_tokens`",
        ),
    ] {
        let text = error(overlay);
        assert!(
            text.contains(expected),
            "{overlay}: expected `{expected}` in `{text}`"
        );
    }
}

#[test]
fn route_rules() {
    let route = |fields: &str| {
        error(&format!(
            r#"{{ "routes": [{{ "service": "s", "methods": ["GET"], {fields} }}] }}"#
        ))
    };
    assert!(route(r#""path": "orders", "idempotent": true"#).contains("must start with `/`"));
    assert!(route(r#""path": "/v1/x", "idempotent": true"#).contains("reserved"));
    assert!(
        route(r#""path": "/x", "idempotent": false, "open": true"#).contains("must need a key")
    );
    assert!(
        route(r#""path": "/x", "idempotent": false, "idempotency_header": "a b""#)
            .contains("header name")
    );
}

#[test]
fn all_faults() {
    let text = error(r#"{ "usage": { "window_s": 0 }, "planner": { "interval_s": 0 } }"#);
    assert_eq!(
        text.lines().count(),
        2,
        "only the first fault was reported: {text}"
    );
}

#[test]
fn process_files() {
    #[derive(Debug, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Process {
        #[expect(dead_code, reason = "only parsed")]
        listen: std::net::SocketAddr,
    }
    let text = "{\n  // comment\n  \"listen\": \"nowhere\" }";
    let report = parse_process::<Process>(Source {
        name: "gw.jsonc",
        text,
    })
    .unwrap_err();
    assert!(
        report.to_string().starts_with("gw.jsonc:3:3: listen: "),
        "{report}"
    );
}
