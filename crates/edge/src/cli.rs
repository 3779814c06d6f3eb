//! Command line of `nutmegbay-edge`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Name of the argument with the settings file.
pub const SETTINGS: &str = "settings";

/// Name of the flag that checks the settings and exits.
pub const CHECK: &str = "check";

/// Name of the argument with the log level.
pub const LOG: &str = "log";

/// Builds the command line.
pub fn command() -> Command {
    Command::new("nutmegbay-edge")
        .about("Takes callers' requests on the users' platform and forwards them to upstreams")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new(SETTINGS)
                .long("settings")
                .short('s')
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The platform's settings file; by default the one that it names itself"),
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
