//! Command line of the tool.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;

/// Description of the exit codes, printed after the help text.
const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  other failure
  2  invalid command line or settings, nothing was changed
  3  conflict with another operator's change, nothing was changed
  4  accepted, but not yet in force on every gateway
  5  a call to the platform failed; the message says whether the change may have taken effect";

/// Returns the definition of the command line, without parsing it.
pub fn command() -> Command {
    Command::new("nutmegbay-ctl")
        .about("Manages configuration, keys and instances of a site")
        .version(clap::crate_version!())
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("platform")
                .long("platform")
                .global(true)
                .env("NUTMEGBAY_PLATFORM")
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .help("Address of the platform"),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .global(true)
                .env("NUTMEGBAY_AUTHOR")
                .default_value("operator")
                .help("Author of changes in the audit trail"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print JSON instead of a table"),
        )
        .subcommands([
            check(),
            show(),
            diff(),
            publish(),
            key(),
            quarantine(),
            drain(),
        ])
        .subcommand(Command::new("status").about("Shows the state of gateways and sidecars"))
        .subcommand(Command::new("leases").about("Shows leases and their holders"))
        .subcommand(Command::new("usage").about("Shows usage windows, open and sealed"))
        .subcommand(
            Command::new("audit")
                .about("Shows accepted and rejected changes")
                .arg(
                    Arg::new("limit")
                        .long("limit")
                        .default_value("50")
                        .value_parser(value_parser!(usize))
                        .help("Maximum number of entries to show, newest last"),
                ),
        )
        .subcommand(
            Command::new("completions")
                .about("Prints a shell completion script")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Validates settings files without a platform")
        .arg(Arg::new("base").required(true).help("Base file"))
        .arg(
            Arg::new("overlay")
                .num_args(0..)
                .help("Overlay files, each validated together with the base"),
        )
}

fn show() -> Command {
    Command::new("show")
        .about("Prints the effective settings and where each value comes from")
        .arg(Arg::new("base").help("Base file; defaults to the published settings"))
        .arg(Arg::new("overlay").requires("base").help("Overlay file"))
        .arg(site_arg().required_unless_present("base"))
}

fn diff() -> Command {
    Command::new("diff")
        .about("Shows the changes that publishing a file would make")
        .arg(scope_arg())
        .arg(Arg::new("file").required(true).help("Settings file"))
        .arg(site_arg())
}

fn publish() -> Command {
    Command::new("publish")
        .about("Publishes the base or the overlay of a site")
        .arg(scope_arg())
        .arg(Arg::new("file").required(true).help("Settings file"))
        .arg(site_arg())
        .arg(
            Arg::new("after")
                .long("after")
                .value_name("OFFSET")
                .value_parser(value_parser!(u64))
                .help("Fail if the last publish is not at this offset, which `diff` prints"),
        )
        .arg(wait_arg())
}

fn key() -> Command {
    Command::new("key")
        .about("Grants, withdraws and lists keys")
        .subcommand_required(true)
        .subcommand(
            Command::new("grant")
                .about("Creates a key and prints its token once")
                .arg(Arg::new("account").required(true).help("Client account"))
                .arg(wait_arg()),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraws a key permanently")
                .arg(
                    Arg::new("key")
                        .required(true)
                        .help("Public part of the key"),
                )
                .arg(wait_arg()),
        )
        .subcommand(Command::new("list").about("Lists keys without their secrets"))
}

fn quarantine() -> Command {
    Command::new("quarantine")
        .about("Shows and clears requests that crashed upstreams")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists suspect and quarantined requests"))
        .subcommand(
            Command::new("clear")
                .about("Removes a request from quarantine")
                .arg(
                    Arg::new("fingerprint")
                        .required(true)
                        .help("Fingerprint, 32 hex digits"),
                ),
        )
}

fn drain() -> Command {
    Command::new("drain")
        .about("Makes an instance refuse new work and finish running requests")
        .arg(Arg::new("instance").required(true).help("Instance name"))
}

fn scope_arg() -> Arg {
    Arg::new("scope")
        .required(true)
        .value_parser(["base", "overlay"])
        .help("Published text that the file replaces; an overlay needs --site")
}

fn site_arg() -> Arg {
    Arg::new("site")
        .long("site")
        .env("NUTMEGBAY_SITE")
        .help("Site name")
}

fn wait_arg() -> Arg {
    Arg::new("wait")
        .long("wait")
        .value_name("SECONDS")
        .value_parser(value_parser!(u64).range(0..=600))
        .default_value("10")
        .help("Maximum time to wait until the change is in force on every gateway; 0 does not wait")
}
