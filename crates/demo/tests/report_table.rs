//! Guards against a broken promise that does not fail the run of the demo.

use nutmegbay_demo::PromiseReport;

#[test]
fn broken_promise_fails_run() {
    let mut report = PromiseReport::default();
    report.add_check("P9", "answers", true, "70 whole".to_owned());
    report.add_not_exercised("P8", "usage reports", "no window ended");
    assert!(report.all_promises_kept());
    report.add_check("P11", "repeated call", false, "2 executions".to_owned());
    assert!(!report.all_promises_kept());
    let table = report.to_string();
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines.len(), 3);
    assert!(lines[0].starts_with("P9 ") && lines[0].contains("kept"));
    assert!(lines[1].starts_with("P8 ") && lines[1].ends_with("no window ended"));
    assert!(lines[2].starts_with("P11 ") && lines[2].contains("BROKEN"));
}
