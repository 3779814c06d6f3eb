//! End-to-end demo. Guards against a broken promise of the system, and against a demo that does not
//! report one.

use std::process::Command;

#[test]
fn promises_kept() {
    let output = Command::new(env!("CARGO_BIN_EXE_nutmegbay-demo"))
        .output()
        .unwrap();
    let table = String::from_utf8_lossy(&output.stdout);
    let log = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{table}\n{log}");
    for promise in [
        "P2", "P4", "P5", "P6", "P8", "P9", "P10", "P11", "P12", "P13", "P14",
    ] {
        let row = table
            .lines()
            .find(|row| row.split_whitespace().next() == Some(promise));
        assert!(
            row.is_some_and(|row| row.contains(" kept ")),
            "{promise}\n{table}"
        );
    }
}
