//! Command line of the demo.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use error_stack::Report;
use nutmegbay_telemetry::exit::Exit;
use nutmegbay_telemetry::{log, signals};

use crate::config::{ConfigTexts, DEFAULT_SITE};
use crate::error::DemoError;
use crate::site::DemoSite;
use crate::steps;

/// Returns the definition of the command line, without parsing it.
pub fn command() -> Command {
    Command::new("nutmegbay-demo")
        .about("Runs a whole site in one process on loopback and checks the promises of the design")
        .version(clap::crate_version!())
        .after_help(
            "Exit codes: 0 every exercised promise was kept, 1 a promise was broken or the demo \
             failed, 2 invalid command line or settings.",
        )
        .arg(
            Arg::new("serve")
                .long("serve")
                .action(ArgAction::SetTrue)
                .help("Runs until SIGINT or SIGTERM; prints addresses and an example call"),
        )
        .arg(
            Arg::new("config-dir")
                .long("config-dir")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("Reads base.jsonc and SITE.jsonc from DIR instead of the built-in ones"),
        )
        .arg(
            Arg::new("site")
                .long("site")
                .value_name("SITE")
                .default_value(DEFAULT_SITE)
                .requires("config-dir")
                .help("Site whose overlay is read"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("LEVEL")
                .default_value("warn")
                .help("Level or filter of the log on standard error"),
        )
}

/// Runs the command line of the process and returns its exit code.
pub fn main() -> ExitCode {
    let args = command().get_matches();
    if let Err(error) = log::init(args.get_one::<String>("log").map(String::as_str)) {
        eprintln!("{error}");
        return Exit::Usage.into();
    }
    let texts = match read_config(&args) {
        Ok(texts) => texts,
        Err(report) => {
            eprintln!("{}", report.current_context());
            return Exit::Usage.into();
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return Exit::Failure.into();
        }
    };
    let result = if args.get_flag("serve") {
        runtime.block_on(serve(texts))
    } else {
        runtime.block_on(run_checks(texts))
    };
    match result {
        Ok(exit) => exit.into(),
        Err(report) => {
            eprintln!("{report:?}");
            Exit::Failure.into()
        }
    }
}

fn read_config(args: &ArgMatches) -> Result<ConfigTexts, Report<DemoError>> {
    let texts = match args.get_one::<PathBuf>("config-dir") {
        Some(dir) => {
            let site = args
                .get_one::<String>("site")
                .map_or(DEFAULT_SITE, String::as_str);
            ConfigTexts::read(dir, site)?
        }
        None => ConfigTexts::built_in()?,
    };
    crate::config::DemoTargets::select(&texts.settings()?)?;
    Ok(texts)
}

async fn run_checks(texts: ConfigTexts) -> Result<Exit, Report<DemoError>> {
    let mut site = DemoSite::start(texts).await?;
    let mut report = steps::run(&mut site).await?;
    let failed = site.stop().await;
    let observed = match failed.first() {
        Some(error) => error.clone(),
        None => "all remaining components stopped as planned".to_owned(),
    };
    report.add_check(
        "P13",
        "planned stop of everything",
        failed.is_empty(),
        observed,
    );
    print!("{report}");
    Ok(if report.all_promises_kept() {
        Exit::Ok
    } else {
        Exit::Failure
    })
}

async fn serve(texts: ConfigTexts) -> Result<Exit, Report<DemoError>> {
    let stop = signals::stop_token()
        .map_err(|error| Report::new(DemoError::Start(error.to_string().into())))?;
    let mut site = DemoSite::start(texts).await?;
    let account = site.targets.account.clone();
    let (_, token) = site.grant(&account).await?;
    steps::wait_until_key_accepted(&site, &token).await?;
    println!(
        "event=listening name=platform addr={}",
        site.platform.addr()
    );
    for node in &site.gateways {
        println!("event=listening name={} addr={}", node.name, node.addr);
    }
    for node in &site.engines {
        let (name, addr) = (&node.instance.name, node.instance.data);
        println!(
            "event=listening name={name} addr={addr} upstream={}",
            node.upstream.addr()
        );
    }
    for node in &site.services {
        let (name, addr) = (&node.instance.name, node.instance.data);
        println!(
            "event=listening name={name} addr={addr} upstream={}",
            node.upstream.addr()
        );
    }
    println!("event=granted account={account} token={token}");
    let body = serde_json::json!({
        "model": site.targets.model, "max_tokens": 16, "stream": true,
        "messages": [{ "role": "user", "content": "A verse about thyme" }],
    });
    println!(
        "curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {token}' -d '{body}'",
        site.gateways[0].addr
    );
    stop.cancelled().await;
    let failed = site.stop().await;
    for error in &failed {
        eprintln!("{error}");
    }
    Ok(if failed.is_empty() {
        Exit::Ok
    } else {
        Exit::Failure
    })
}
