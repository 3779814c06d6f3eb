//! Guards against unusable settings that are accepted, and against errors without a file position.

use nutmegbay_sidecar::Settings;

const VALID: &str = r#"{
    // Comments are allowed.
    "instance": "w1", "failure_domain": "a", "kind": "engine",
    "listen": "127.0.0.1:1", "admin": "127.0.0.1:2", "upstream": "127.0.0.1:3",
    "platform": "http://127.0.0.1:4",
}"#;

/// Returns the error message for invalid settings.
fn error_message(text: &str) -> String {
    let report = Settings::parse("w1.jsonc", text).unwrap_err();
    report.current_context().to_string()
}

#[test]
fn valid_settings() {
    let settings = Settings::parse("w1.jsonc", VALID).unwrap();
    assert_eq!(settings.platform_addr().unwrap().port(), 4);
}

#[test]
fn errors_name_the_setting() {
    for (from, to, expected) in [
        ("127.0.0.1:3", "127.0.0.1:1", "upstream"),
        ("127.0.0.1:2", "127.0.0.1:1", "admin"),
        ("\"w1\"", "\"\"", "instance"),
        ("http://", "ftp://", "platform"),
        ("\"kind\"", "\"sort\"", "sort"),
    ] {
        let text = error_message(&VALID.replacen(from, to, 1));
        assert!(
            text.contains("w1.jsonc:") && text.contains(expected),
            "{text}"
        );
    }
}
