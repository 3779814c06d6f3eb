//! Scripts of the review, with small stand-ins of callers, workers and the platform.
//!
//! Usage: `review-stand-ins-2 CASE FOLDER`. Exits with 0 if the rule held, 1 if it was broken, and 2
//! if the case could not run.

mod cases;
mod deployment;
mod http;
mod proxy;
mod record;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// Result of a script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        return ExitCode::from(2);
    };
    let record = Record::create(&PathBuf::from(folder));
    // With TROUBLE=0 the script does the same without the disruption.
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, trouble {trouble}"));
    let verdict = match case.as_str() {
        "late-readers" => cases::late_readers::run(&record, trouble),
        "busy-holder" => cases::busy_holder::run(&record, trouble),
        "killed-together" => cases::killed_together::run(&record, trouble),
        "last-tenant" => cases::last_tenant::run(&record, trouble),
        "stopped-edge" => cases::stopped_edge::run(&record, trouble),
        _ => Verdict::NotRun,
    };
    record.line(&format!("verdict {verdict:?}"));
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::FAILURE,
        Verdict::NotRun => ExitCode::from(2),
    }
}
