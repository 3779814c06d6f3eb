//! Commands and log events in the operator documentation. Guards against documentation that the
//! binaries do not match.

mod common;

use std::process::Command;

use common::site::Site;
use http::Method;
use nutmegbay_core::ids::{Fingerprint, Incarnation, RecordId};
use nutmegbay_core::record::{Body, CrashReport, Record, SCHEMA};
use nutmegbay_proto::platform::AppendRequest;

const OPERATOR_PAGE: &str = include_str!("../../../docs/operators.md");

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// Returns the commands in the shell blocks of the page.
fn commands() -> Vec<&'static str> {
    let blocks = OPERATOR_PAGE.split("```sh\n").skip(1);
    let blocks = blocks.map(|block| block.split("```").next().unwrap());
    blocks.flat_map(str::lines).collect()
}

/// Appends a crash report, so that the page's commands find a suspect request to clear.
async fn report_crash(site: &Site, fingerprint: Fingerprint) {
    let record = Record {
        id: RecordId(1),
        author: "test".into(),
        at_ms: 0,
        schema: SCHEMA,
        body: Body::CrashReport(CrashReport {
            upstream: "engine-0".into(),
            crash: Incarnation(1),
            running: vec![fingerprint],
        }),
    };
    let records = vec![serde_json::value::to_raw_value(&record).unwrap()];
    let body = serde_json::to_string(&AppendRequest { records }).unwrap();
    let headers = [("content-type", "application/json")];
    let answer = site
        .http
        .call(Method::POST, site.platform(), "/log", &headers, body)
        .await;
    assert_eq!(answer.unwrap().status, 200);
}

#[tokio::test]
async fn page_commands() {
    let site = Site::start(1, 1, 1).await;
    let fingerprint = Fingerprint(7);
    report_crash(&site, fingerprint).await;
    let mut key = String::new();
    let commands = commands();
    assert!(commands.len() > 15, "commands are missing from the page");
    for command in commands {
        let command = command
            .replace("$KEY", &key)
            .replace("$INSTANCE", "engine-0")
            .replace("$FINGERPRINT", &fingerprint.to_string());
        let (binary, args) = command.split_once(' ').unwrap();
        assert_eq!(binary, "nutmegbay-ctl", "{command}");
        let output = Command::new(env!("CARGO_BIN_EXE_nutmegbay-ctl"))
            .args(args.split_whitespace())
            .arg("--json")
            .env("NUTMEGBAY_PLATFORM", site.platform().to_string())
            .current_dir(ROOT)
            .output()
            .unwrap();
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            output.status.success(),
            "{command}: {errors}\n{}",
            site.logs()
        );
        if args.starts_with("key grant") {
            let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
            key = json["key"].as_str().unwrap().to_owned();
        }
    }
}

#[test]
fn log_events() {
    let sources = ["gateway", "sidecar", "core", "telemetry"];
    let code: String = sources
        .iter()
        .map(|name| concatenate_files(&format!("{ROOT}/crates/{name}/src")))
        .collect();
    for event in OPERATOR_PAGE.split("event=").skip(1) {
        let name: String = event
            .chars()
            .take_while(|c| c.is_alphanumeric() || *c == '_')
            .collect();
        assert!(
            code.contains(&format!("\"{name}\"")),
            "no process logs event={name}"
        );
    }
}

fn concatenate_files(dir: &str) -> String {
    let mut text = String::new();
    for entry in std::fs::read_dir(dir).unwrap().flatten() {
        let path = entry.path();
        text += &if path.is_dir() {
            concatenate_files(path.to_str().unwrap())
        } else {
            std::fs::read_to_string(path).unwrap()
        };
    }
    text
}
