//! Command line of `nutmegbay-gateway`.

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};

/// Name of the argument with the settings file.
pub const SETTINGS: &str = "settings";

/// Builds the command line.
pub fn command() -> Command {
    Command::new("nutmegbay-gateway")
        .about("Terminates callers' HTTP, admits, routes and forwards their requests")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new(SETTINGS)
                .long("settings")
                .short('s')
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("Process settings, JSON with comments"),
        )
}
