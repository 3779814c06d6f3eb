//! Gateway process, which receives requests from callers.

use std::path::PathBuf;
use std::process::ExitCode;

use nutmegbay_gateway::settings::GatewaySettings;
use nutmegbay_gateway::{bind, cli};
use nutmegbay_telemetry::exit::Exit;
use nutmegbay_telemetry::{log, signals};

#[tokio::main]
async fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    if let Err(e) = log::init(None) {
        eprintln!("{e}");
        return Exit::Usage.into();
    }
    let path = matches
        .get_one::<PathBuf>(cli::SETTINGS_ARG)
        .cloned()
        .unwrap_or_default();
    let settings = match GatewaySettings::load(&path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return Exit::Usage.into();
        }
    };
    let stop = match signals::stop_token() {
        Ok(stop) => stop,
        Err(e) => {
            eprintln!("cannot install signal handlers: {e}");
            return Exit::Failure.into();
        }
    };
    let bound = match bind(settings).await {
        Ok(bound) => bound,
        Err(e) => {
            eprintln!("{e:?}");
            return Exit::Failure.into();
        }
    };
    if let (Ok(addr), Ok(control)) = (bound.listen(), bound.control()) {
        println!(
            "event=listening name=nutmegbay-gateway addr={addr} control={control} admin={}",
            bound.admin()
        );
    }
    match bound.serve(stop).await {
        Ok(()) => Exit::Ok.into(),
        Err(e) => {
            eprintln!("{e:?}");
            Exit::Failure.into()
        }
    }
}
