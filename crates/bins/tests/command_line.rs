//! Command lines of the binaries. Guards against missing help or version texts, and against exit
//! codes that differ from the documentation.

use std::process::{Command, Output};

const BINARIES: &[&str] = &[
    env!("CARGO_BIN_EXE_nutmegbay-ctl"),
    env!("CARGO_BIN_EXE_nutmegbay-demo"),
    env!("CARGO_BIN_EXE_nutmegbay-fake-engine"),
    env!("CARGO_BIN_EXE_nutmegbay-fake-platform"),
    env!("CARGO_BIN_EXE_nutmegbay-fake-service"),
    env!("CARGO_BIN_EXE_nutmegbay-gateway"),
    env!("CARGO_BIN_EXE_nutmegbay-sidecar"),
];

fn run(binary: &str, args: &[&str]) -> Output {
    Command::new(binary)
        .args(args)
        .env_remove("NUTMEGBAY_PLATFORM")
        .output()
        .unwrap()
}

#[test]
fn help_version() {
    for binary in BINARIES {
        for flag in ["--help", "--version"] {
            let output = run(binary, &[flag]);
            assert!(output.status.success(), "{binary} {flag}");
            assert!(!output.stdout.is_empty(), "{binary} {flag} printed nothing");
        }
        assert_eq!(
            run(binary, &["--no-such-flag"]).status.code(),
            Some(2),
            "{binary}"
        );
    }
}

#[test]
fn tool_errors() {
    let ctl = env!("CARGO_BIN_EXE_nutmegbay-ctl");
    let no_platform = run(ctl, &["status"]);
    assert_eq!(no_platform.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&no_platform.stderr).contains("NUTMEGBAY_PLATFORM"));

    let unreachable = run(ctl, &["--platform", "127.0.0.1:1", "audit"]);
    assert_eq!(unreachable.status.code(), Some(5));
}

#[test]
fn tool_check() {
    let ctl = env!("CARGO_BIN_EXE_nutmegbay-ctl");
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/");
    let file = |name: &str| format!("{examples}{name}.jsonc");
    let (base, site) = (file("base"), file("anthokartes"));
    assert!(
        run(ctl, &["check", &base, &site, &file("rastrillo")])
            .status
            .success()
    );

    let shown = run(ctl, &["show", &base, &site]);
    let text = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(
        text.contains("limits.max_queued") && text.contains("base.jsonc:"),
        "{text}"
    );

    let completions = run(ctl, &["completions", "bash"]);
    assert!(String::from_utf8_lossy(&completions.stdout).contains("nutmegbay-ctl"));
}
