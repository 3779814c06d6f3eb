//! Chart parsing and execution. Guards against invalid charts that fail only at run time, and
//! against events that are not passed to superstates.

use nutmegbay_chart::{Chart, ChartError, Machine};

const DOOR: &str = r#"{
    "name": "door", "initial": "closed",
    "states": {
        "working": { "on": { "break": "broken" } },
        "closed": { "parent": "working", "on": { "open": "open" } },
        "open": { "parent": "working", "on": { "close": "closed" } },
        "broken": {}
    }
}"#;

#[test]
fn substate_handles_first() {
    let mut door = Machine::new(Chart::parse(DOOR).unwrap());
    assert_eq!(door.state(), "closed");
    assert!(door.handle("open"));
    assert!(door.is_in("working"));
    assert!(
        !door.handle("open"),
        "an event without a transition changed the state"
    );
}

#[test]
fn superstate_handles_rest() {
    let mut door = Machine::new(Chart::parse(DOOR).unwrap());
    assert!(
        door.handle("break"),
        "the initial state ignored its superstate"
    );
    assert_eq!(door.state(), "broken");
    assert!(!door.is_in("working"));
}

#[test]
fn invalid_charts() {
    for (text, expected) in [
        ("{", ChartError::Syntax),
        (
            r#"{"name":"a","initial":"x","states":{}}"#,
            ChartError::UnknownState,
        ),
        (
            r#"{"name":"a","initial":"x","states":{"x":{"on":{"e":"y"}}}}"#,
            ChartError::UnknownState,
        ),
        (
            r#"{"name":"a","initial":"x","states":{"x":{"parent":"y"},"y":{"parent":"x"}}}"#,
            ChartError::Cycle,
        ),
    ] {
        assert_eq!(
            Chart::parse(text).unwrap_err().current_context(),
            &expected,
            "{text}"
        );
    }
}
