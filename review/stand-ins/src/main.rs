//! Cases of an independent review: `review-case CASE FOLDER` starts the project's edges and
//! stand-ins of all that they meet, and writes what was sent, answered and run to `record.txt` in
//! the folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod client;
mod http;
mod site;
mod store;
mod worker;

use std::process::ExitCode;

use site::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    if words.first() == Some(&"worker") {
        let words: Vec<String> = words[1..].iter().map(|word| (*word).to_owned()).collect();
        let Some(options) = worker::Options::parse(&words) else {
            return ExitCode::from(2);
        };
        let _ = worker::run(options);
        return ExitCode::from(2);
    }
    let [case, folder] = words[..] else {
        eprintln!("usage: review-case CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = Record::create(folder).and_then(|record| {
        record.say(&format!("case {case}, trouble {has_trouble}"));
        match case {
            "lost-version" => cases::lost_version(record, has_trouble),
            "same-id" => cases::same_id(record, has_trouble),
            "rolling-stop" => cases::rolling_stop(record, has_trouble),
            "late-crash" => cases::late_crash(record, has_trouble),
            "false-refusal" => cases::false_refusal(record, has_trouble),
            _ => Err(std::io::Error::other("no such case")),
        }
    });
    match outcome {
        Ok(Verdict::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("the rule is BROKEN");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
