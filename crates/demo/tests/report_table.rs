//! Table of the demo. Guards against a broken promise that does not fail the run.

use nutmegbay_demo::Report;

#[test]
fn broken_promise_fails() {
    let mut report = Report::default();
    report.check("P9", "answers", true, "70 whole".to_owned());
    report.not_exercised("P8", "usage reports", "no window ended");
    assert!(report.is_kept());
    report.check("P11", "repeated call", false, "2 executions".to_owned());
    assert!(!report.is_kept());
    let table = report.to_string();
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines.len(), 3);
    assert!(lines[0].starts_with("P9 ") && lines[0].contains("kept"));
    assert!(lines[1].starts_with("P8 ") && lines[1].ends_with("no window ended"));
    assert!(lines[2].starts_with("P11 ") && lines[2].contains("BROKEN"));
}
