//! Command line and entry point of the sidecar process.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use nutmegbay_telemetry::exit::Exit;
use nutmegbay_telemetry::{log, signals};

use crate::server::Sidecar;
use crate::settings::Settings;

/// Returns the command-line parser of the sidecar.
pub fn command() -> Command {
    Command::new("nutmegbay-sidecar")
        .version(clap::crate_version!())
        .about("Forwards work and orders to the upstream on the same instance")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .env("NUTMEGBAY_SIDECAR_SETTINGS")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("Settings file: JSON with comments"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Checks the settings and exits"),
        )
}

/// Runs the sidecar until a termination signal arrives and all work in flight has ended.
pub async fn main(matches: &ArgMatches) -> Exit {
    if let Err(e) = log::init(None) {
        eprintln!("nutmegbay-sidecar: {e}");
        return Exit::Usage;
    }
    let path = matches
        .get_one::<PathBuf>("settings")
        .map_or(Path::new(""), PathBuf::as_path);
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("nutmegbay-sidecar: {}", e.current_context());
            return Exit::Usage;
        }
    };
    if matches.get_flag("check") {
        return Exit::Ok;
    }
    let stop = match signals::stop_token() {
        Ok(stop) => stop,
        Err(e) => {
            eprintln!("nutmegbay-sidecar: signal handlers cannot be installed: {e}");
            return Exit::Failure;
        }
    };
    let result = async {
        let sidecar = Sidecar::bind(settings)?;
        println!(
            "event=listening name=nutmegbay-sidecar addr={} admin={}",
            sidecar.data_addr()?,
            sidecar.admin_addr()?
        );
        sidecar.run(stop).await
    };
    match result.await {
        Ok(()) => Exit::Ok,
        Err(e) => {
            eprintln!("nutmegbay-sidecar: {e:?}");
            Exit::Failure
        }
    }
}
