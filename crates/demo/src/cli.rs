//! Command line of the demo.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use error_stack::Report;
use nutmegbay_telemetry::exit::Exit;
use nutmegbay_telemetry::{log, signals};

use crate::error::DemoError;
use crate::site::Site;
use crate::steps;
use crate::texts::{DEFAULT_SITE, Texts};

/// Command line of the demo.
pub fn command() -> Command {
    Command::new("nutmegbay-demo")
        .about("Runs the whole path in one process on loopback and checks its promises")
        .version(clap::crate_version!())
        .after_help(
            "Exit codes: 0 every exercised promise held, 1 a promise was broken or the demo \
             failed, 2 bad usage or settings.",
        )
        .arg(
            Arg::new("serve")
                .long("serve")
                .action(ArgAction::SetTrue)
                .help("Leaves the site running until SIGINT or SIGTERM and prints how to call it"),
        )
        .arg(
            Arg::new("config-dir")
                .long("config-dir")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("Reads base.jsonc and SITE.jsonc from DIR in place of the built-in ones"),
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
                .help("Log level or filter, for standard error"),
        )
}

/// Main function of the binary.
pub fn main() -> ExitCode {
    let args = command().get_matches();
    if let Err(error) = log::init(args.get_one::<String>("log").map(String::as_str)) {
        eprintln!("{error}");
        return Exit::Usage.into();
    }
    let texts = match texts(&args) {
        Ok(texts) => texts,
        Err(report) => {
            eprintln!("{}", report.current_context());
            return Exit::Usage.into();
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("runtime: {error}");
            return Exit::Failure.into();
        }
    };
    let done = if args.get_flag("serve") {
        runtime.block_on(serve(texts))
    } else {
        runtime.block_on(check(texts))
    };
    match done {
        Ok(exit) => exit.into(),
        Err(report) => {
            eprintln!("{report:?}");
            Exit::Failure.into()
        }
    }
}

fn texts(args: &ArgMatches) -> Result<Texts, Report<DemoError>> {
    let texts = match args.get_one::<PathBuf>("config-dir") {
        Some(dir) => {
            let site = args
                .get_one::<String>("site")
                .map_or(DEFAULT_SITE, String::as_str);
            Texts::read(dir, site)?
        }
        None => Texts::built_in()?,
    };
    crate::texts::Scope::of(&texts.settings()?)?;
    Ok(texts)
}

async fn check(texts: Texts) -> Result<Exit, Report<DemoError>> {
    let mut site = Site::start(texts).await?;
    let mut report = steps::run(&mut site).await?;
    let failed = site.stop().await;
    let seen = match failed.first() {
        Some(error) => error.clone(),
        None => "all remaining parts stopped as planned".to_owned(),
    };
    report.check("P13", "planned stop of everything", failed.is_empty(), seen);
    print!("{report}");
    Ok(if report.is_kept() {
        Exit::Ok
    } else {
        Exit::Failure
    })
}

async fn serve(texts: Texts) -> Result<Exit, Report<DemoError>> {
    let stop = signals::stop_token()
        .map_err(|error| Report::new(DemoError::Start(error.to_string().into())))?;
    let mut site = Site::start(texts).await?;
    let account = site.scope.account.clone();
    let (_, token) = site.grant(&account).await?;
    steps::wait_key(&site, &token).await?;
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
        "model": site.scope.model, "max_tokens": 16, "stream": true,
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
