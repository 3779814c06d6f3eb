//! Validation of settings. Guards against invalid settings that are accepted, and against errors
//! that lack file, line or key.

use nutmegbay_settings::{Site, Source, parse_process};

const BASE: &str = include_str!("../../../examples/base.jsonc");

fn load_error(overlay: &str) -> String {
    let base = Source {
        name: "base.jsonc",
        text: BASE,
    };
    let overlay = Source {
        name: "site.jsonc",
        text: overlay,
    };
    let report = Site::load(base, Some(overlay)).expect_err("invalid settings were accepted");
    report.current_context().to_string()
}

#[test]
fn error_locations() {
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
            "site.jsonc:1:15: usage: duplicate key",
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
        let text = load_error(overlay);
        assert!(
            text.contains(expected),
            "{overlay}: expected `{expected}` in `{text}`"
        );
    }
}

#[test]
fn route_rules() {
    let route_error = |fields: &str| {
        load_error(&format!(
            r#"{{ "routes": [{{ "service": "s", "methods": ["GET"], {fields} }}] }}"#
        ))
    };
    assert!(route_error(r#""path": "orders", "idempotent": true"#).contains("must start with `/`"));
    assert!(route_error(r#""path": "/v1/x", "idempotent": true"#).contains("reserved"));
    assert!(
        route_error(r#""path": "/x", "idempotent": false, "open": true"#)
            .contains("must require a key")
    );
    assert!(
        route_error(r#""path": "/x", "idempotent": false, "idempotency_header": "a b""#)
            .contains("header name")
    );
}

#[test]
fn every_violation_reported() {
    let text = load_error(r#"{ "usage": { "window_s": 0 }, "planner": { "interval_s": 0 } }"#);
    assert_eq!(
        text.lines().count(),
        2,
        "not every violation was reported: {text}"
    );
}

#[test]
fn process_file_error() {
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
