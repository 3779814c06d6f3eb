//! Command line of the sidecar.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, Command, value_parser};
use error_stack::{Report, ResultExt};
use tokio_util::sync::CancellationToken;

use crate::server::{RunError, Sidecar};
use crate::settings::Settings;

/// Command line of the sidecar.
pub fn command() -> Command {
    Command::new("nutmegbay-sidecar")
        .version(clap::crate_version!())
        .about("Forwards work and orders to the upstream beside it")
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
                .help("Only checks the settings"),
        )
}

/// Parses the command line and runs the sidecar until `stop` is cancelled.
pub async fn main(stop: CancellationToken) -> Result<(), Report<RunError>> {
    let matches = command().get_matches();
    let path = matches
        .get_one::<PathBuf>("settings")
        .map_or(Path::new(""), PathBuf::as_path);
    let settings = Settings::read(path).change_context(RunError::Settings)?;
    if matches.get_flag("check") {
        return Ok(());
    }
    let sidecar = Sidecar::bind(settings)?;
    println!(
        "event=listening name=nutmegbay-sidecar addr={} admin={}",
        sidecar.data_addr()?,
        sidecar.admin_addr()?
    );
    sidecar.run(stop).await
}
