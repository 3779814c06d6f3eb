//! Command line of `nutmegbay-edge`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Id of the argument that takes the settings file.
pub const SETTINGS: &str = "settings";

/// Id of the flag that checks the settings and exits.
pub const CHECK: &str = "check";

/// Id of the argument that takes the log level.
pub const LOG: &str = "log";

/// Builds the command-line parser.
pub fn command() -> Command {
    Command::new("nutmegbay-edge")
        .about("Accepts callers' requests and forwards them to upstreams")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new(SETTINGS)
                .long("settings")
                .short('s')
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings file [default: the path that the platform defines]"),
        )
        .arg(
            Arg::new(CHECK)
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Print the settings in force and the defaults used, then exit"),
        )
        .arg(
            Arg::new(LOG)
                .long("log")
                .value_name("LEVEL")
                .help("Log level or filter directives, for example info,nutmegbay_edge=debug"),
        )
}
