//! Latency and processor time of the data path with separate processes. Ignored by default, since
//! the results depend on the machine. Run it with
//! `cargo test --release -p nutmegbay --test path_figures -- --ignored --nocapture`.

mod common;

use std::process::Command;

use common::process::Process;
use common::site::Site;
use serde_json::json;

/// Engine settings without simulated latency.
const ENGINE_CONFIG: &str = r#"{ "cost": { "prefill_token_us": 0.0, "step_us": 0.0, "step_request_us": 0.0 },
    "load_lag_ms": 0, "event_lag_ms": 0 }"#;

/// Clock ticks per second of the times in `/proc`; Linux always reports 100 to user space.
const TICKS_PER_S: f64 = 100.0;

/// Returns the processor time that a process has used, in seconds.
fn cpu_seconds(process: &Process) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    ticks / TICKS_PER_S
}

/// Runs the load generator, which sends requests alternately to the gateway and directly to the
/// engine, and prints its report. `rate` is in requests per second.
fn run_load(site: &Site, token: &str, rate: u32) {
    let workload = json!({
        "targets": [site.gateway(0)], "model": "verse", "max_requests": 100_000,
        "max_seconds": 10, "max_in_flight": 1_000,
        "accounts": [{ "name": "shop", "key": token, "rate_per_s": rate, "prompt_tokens": [50, 200],
            "output_tokens": [8, 8], "patience_ms": 10_000 }],
        "phases": [{ "seconds": 10.0, "factors": [1.0] }],
    });
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("workload.jsonc");
    std::fs::write(&file, workload.to_string()).unwrap();
    let engine = site.engines[0].backend.addr("addr").to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_nutmegbay-load"))
        .args([
            "http",
            file.to_str().unwrap(),
            "--direct",
            &engine,
            "--seed",
            "1",
        ])
        .output()
        .unwrap();
    println!("rate={rate}/s\n{}", String::from_utf8_lossy(&output.stdout));
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}

#[tokio::test]
#[ignore = "measures; takes a minute"]
async fn latency_ratio() {
    let site = Site::start_with(1, 1, 0, ENGINE_CONFIG).await;
    let (_, token) = site.grant_everywhere("shop").await;
    for rate in [200, 1_000, 2_000] {
        let (gateway, sidecar) = (&site.gateways[0].1, &site.engines[0].sidecar);
        let before = (cpu_seconds(gateway), cpu_seconds(sidecar));
        run_load(&site, &token, rate);
        let (gateway_s, sidecar_s) = (
            cpu_seconds(gateway) - before.0,
            cpu_seconds(sidecar) - before.1,
        );
        println!("gateway_cpu_s={gateway_s:.2} sidecar_cpu_s={sidecar_s:.2} over 10 s\n");
    }
}
