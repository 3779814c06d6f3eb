//! Guards against sending load to other machines and against runs without an upper bound.

use nutmegbay_load::http::Workload;

fn workload_file(target: &str, requests: u64) -> String {
    format!(
        r#"{{
            // Comments are allowed.
            "targets": ["{target}"], "model": "verse",
            "max_requests": {requests}, "max_seconds": 5, "max_in_flight": 10,
            "accounts": [{{ "name": "shop", "key": "k", "rate_per_s": 2, "prompt_tokens": [10, 20],
                "output_tokens": [5, 9], "patience_ms": 500 }}],
            "phases": [{{ "seconds": 2, "factors": [1] }}, {{ "seconds": 3, "factors": [4] }}]
        }}"#
    )
}

#[test]
fn targets_must_be_loopback() {
    assert!(Workload::parse(&workload_file("127.0.0.1:80", 10)).is_ok());
    let error = Workload::parse(&workload_file("192.0.2.1:80", 10)).expect_err("another machine");
    assert!(error.contains("not a loopback address"), "{error}");
}

#[test]
fn request_count_is_bounded() {
    let error = Workload::parse(&workload_file("[::1]:80", 100_000_000)).expect_err("unbounded");
    assert!(error.contains("at most"), "{error}");
}

#[test]
fn rate_follows_phases() {
    let workload = Workload::parse(&workload_file("127.0.0.1:80", 10)).expect("valid");
    let rates = [0.5, 1.9, 2.1, 4.9, 5.1].map(|seconds| workload.rate(0, seconds).to_string());
    assert_eq!(rates, ["2", "2", "8", "8", "2"]);
}
