//! Command line of `nutmegbay-load`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use strum::IntoEnumIterator;

use crate::policy::{Deployment, Experiment, Outcome, Policy, Scenario, write_report};
use crate::{http, slopes};

/// Exit code for a command that failed.
const EXIT_FAILURE: u8 = 1;

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("nutmegbay-load")
        .about("Drives a running system, runs the policy experiments and measures slopes")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .subcommand(policy_command())
        .subcommand(http_command())
        .subcommand(slopes_command())
}

fn slopes_command() -> Command {
    Command::new("slopes")
        .about("Measures how the costs of each role grow with its state")
        .arg(number_option("seed", "Seed").default_value("1"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON instead of a table"),
        )
}

fn http_command() -> Command {
    Command::new("http")
        .about("Drives a running system on loopback addresses and prints latency histograms")
        .arg(
            Arg::new("workload")
                .required(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Workload file, JSON with comments"),
        )
        .arg(
            Arg::new("direct")
                .long("direct")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .help("Send every second request directly to this engine, to compare"),
        )
        .arg(number_option("seed", "Seed").default_value("1"))
}

fn policy_command() -> Command {
    Command::new("policy")
        .about("Runs the decision code against fake engines on a virtual clock")
        .arg(name_option::<Deployment>(
            "deployment",
            "Deployment; all if not given",
        ))
        .arg(name_option::<Scenario>(
            "scenario",
            "Scenario; all if not given",
        ))
        .arg(name_option::<Policy>("policy", "Policy; all if not given"))
        .arg(number_option("seed", "First seed").default_value("1"))
        .arg(number_option("seeds", "Number of seeds; metrics are medians").default_value("1"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON instead of a table"),
        )
        .arg(
            Arg::new("report")
                .long("report")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("Write an HTML page with plots into this folder"),
        )
}

fn name_option<T: IntoEnumIterator + ToString>(name: &'static str, help: &'static str) -> Arg {
    let values: Vec<_> = T::iter().map(|value| value.to_string()).collect();
    Arg::new(name)
        .long(name)
        .action(ArgAction::Append)
        .value_parser(clap::builder::PossibleValuesParser::new(values))
        .help(help)
}

fn number_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u64).range(1..=10_000))
        .help(help)
}

/// Runs the command given by the arguments of this process.
pub fn main() -> ExitCode {
    match command().get_matches().subcommand() {
        Some(("policy", args)) => run_policy(args),
        Some(("slopes", args)) => {
            let measured = slopes::run(args.get_one("seed").copied().unwrap_or(1));
            if args.get_flag("json") {
                print_json(&measured)
            } else {
                slopes::print(&measured);
                ExitCode::SUCCESS
            }
        }
        Some(("http", args)) => match run_http(args) {
            Ok(()) => ExitCode::SUCCESS,
            Err(text) => {
                eprintln!("{text}");
                ExitCode::from(EXIT_FAILURE)
            }
        },
        _ => ExitCode::from(EXIT_FAILURE),
    }
}

fn run_http(args: &ArgMatches) -> Result<(), String> {
    let path = args
        .get_one::<PathBuf>("workload")
        .ok_or("no workload file is given")?;
    let text = std::fs::read_to_string(path)
        .map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let workload = http::Workload::parse(&text)?;
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|e| format!("cannot start the async runtime: {e}"))?;
    let seed = args.get_one("seed").copied().unwrap_or(1);
    let direct = args.get_one("direct").copied();
    let rows = runtime.block_on(http::run(workload, direct, seed))?;
    http::print(&rows);
    Ok(())
}

fn run_policy(args: &ArgMatches) -> ExitCode {
    let experiment = Experiment {
        deployments: chosen_values(args, "deployment"),
        scenarios: chosen_values(args, "scenario"),
        policies: chosen_values(args, "policy"),
        seed: args.get_one("seed").copied().unwrap_or(1),
        seeds: args.get_one("seeds").copied().unwrap_or(1),
    };
    // The bar is only drawn if standard error is a terminal.
    let progress = ProgressBar::with_draw_target(None, ProgressDrawTarget::stderr());
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left") {
        progress.set_style(style);
    }
    let outcomes = experiment.run(&progress);
    if args.get_flag("json") {
        let code = print_json(&outcomes);
        if code != ExitCode::SUCCESS {
            return code;
        }
    } else {
        print_table(&outcomes);
    }
    let Some(dir) = args.get_one::<PathBuf>("report") else {
        return ExitCode::SUCCESS;
    };
    match write_report(dir, &outcomes) {
        Ok(path) => {
            eprintln!("report written to {}", path.display());
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("cannot write the report to {}: {e}", dir.display());
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn print_json(value: &impl serde::Serialize) -> ExitCode {
    match serde_json::to_string_pretty(value) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("cannot write JSON: {e}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn chosen_values<T>(args: &ArgMatches, name: &str) -> Vec<T>
where
    T: IntoEnumIterator + std::str::FromStr + PartialEq,
{
    match args.get_many::<String>(name) {
        Some(values) => values.filter_map(|value| value.parse().ok()).collect(),
        None => T::iter().collect(),
    }
}

fn print_table(outcomes: &[Outcome]) {
    println!(
        "{:<12} {:<14} {:<18} {:>9} {:>6} {:>6} {:>6} {:>5} {:>4} {:>7} {:>6} {:>6} {:>6} {:>9} {:>5}",
        "deployment",
        "scenario",
        "policy",
        "goodput",
        "ratio",
        "met",
        "worst",
        "roles",
        "max",
        "ttft95",
        "itl95",
        "dup",
        "storm",
        "cost",
        "back"
    );
    for outcome in outcomes {
        let f = &outcome.metrics;
        println!(
            "{:<12} {:<14} {:<18} {:>9.0} {:>6.3} {:>6.3} {:>6.3} {:>5} {:>4} {:>7.2} {:>6.3} {:>6.3} {:>6} {:>9.2e} {:>5}",
            outcome.deployment,
            outcome.scenario,
            outcome.policy,
            f.goodput_tokens_per_s,
            f.goodput_ratio_to_clairvoyant.unwrap_or(f64::NAN),
            f.deadline_met_share,
            f.worst_account_share,
            f.role_changes,
            f.role_changes_per_engine_and_mix,
            f.ttft_p95_s,
            f.itl_p95_s,
            f.duplicated_work_share,
            f.after_storm_ratio
                .map_or_else(|| "-".into(), |ratio| format!("{ratio:.3}")),
            f.cost_per_good_token,
            f.given_back,
        );
    }
}
