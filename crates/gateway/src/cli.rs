//! Command line of `nutmegbay-gateway`.

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};

/// Identifier of the argument that takes the path of the settings file.
pub const SETTINGS_ARG: &str = "settings";

/// Returns the command line parser of the gateway binary.
pub fn command() -> Command {
    Command::new("nutmegbay-gateway")
        .about("Terminates callers' HTTP, admits, routes and forwards their requests")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new(SETTINGS_ARG)
                .long("settings")
                .short('s')
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("Process settings, JSON with comments"),
        )
}
