//! Binary of the edge process, which accepts callers' connections on the platform.

use std::path::PathBuf;
use std::process::ExitCode;

use nutmegbay_edge::own_delay::DelayMonitor;
use nutmegbay_edge::{Adapter, cli, reload, run};
use nutmegbay_platform::settings::{self, LoadedSettings};
use nutmegbay_platform::{PlatformCodec, PlatformStore, PlatformUsageReporter};
use nutmegbay_telemetry::exit::Exit;
use nutmegbay_telemetry::{log, signals};

// A single thread is sufficient, because an instance has a fifth of a core. It also lets the
// process keep its state without locks.
#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let path = matches
        .get_one::<PathBuf>(cli::SETTINGS)
        .cloned()
        .unwrap_or_else(settings::path);
    let loaded = match std::fs::read_to_string(&path) {
        Ok(text) => settings::decode(&text).map_err(|e| e.to_string()),
        Err(e) => Err(e.to_string()),
    };
    let LoadedSettings {
        settings,
        defaulted,
    } = match loaded {
        Ok(loaded) => loaded,
        Err(e) => {
            eprintln!("settings {}: {e}", path.display());
            return Exit::Usage.into();
        }
    };
    if matches.get_flag(cli::CHECK) {
        println!("settings of {}:\n{settings:#?}", path.display());
        for error in &defaulted {
            println!("{error}");
        }
        return Exit::Ok.into();
    }
    let level = matches.get_one::<String>(cli::LOG);
    let _log_guard = match log::init_buffered(level.map(String::as_str)) {
        Ok(guard) => guard,
        Err(e) => {
            eprintln!("{e}");
            return Exit::Usage.into();
        }
    };
    for error in &defaulted {
        tracing::warn!(event = "setting_defaulted", key = %error.key, fault = %error.reason);
    }
    let signals = signals::stop_token().and_then(|stop| Ok((stop, signals::reload_requests()?)));
    let (stop, reloads) = match signals {
        Ok(signals) => signals,
        Err(e) => {
            tracing::error!(event = "start_failed", error = %e);
            return Exit::Failure.into();
        }
    };
    let delay_monitor = DelayMonitor::new(settings.link_mbps);
    let reporter = |addr| PlatformUsageReporter::new(addr, &delay_monitor);
    let adapter = Adapter {
        codec: PlatformCodec,
        store: PlatformStore::new(settings.store, &delay_monitor),
        reports: settings.reports.map(reporter),
        delay_monitor: delay_monitor.clone(),
    };
    let (tx, changes) = tokio::sync::watch::channel(settings);
    let decode = |text: &str| settings::decode(text).map(|loaded| loaded.settings);
    let result = tokio::select! {
        result = run(changes, adapter, stop) => result,
        never = reload::watch_file(&path, decode, reloads, tx) => match never {},
    };
    match result {
        Ok(()) => Exit::Ok.into(),
        Err(e) => {
            tracing::error!(event = "start_failed", error = ?e);
            Exit::Failure.into()
        }
    }
}
