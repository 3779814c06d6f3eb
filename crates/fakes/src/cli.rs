//! Main function and command line that the binaries of the fakes share.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use nutmegbay_telemetry::admin::{self, Readiness};
use nutmegbay_telemetry::exit::Exit;
use nutmegbay_telemetry::{log, signals};
use serde::de::DeserializeOwned;
use tokio_util::sync::CancellationToken;

use crate::engine::{EngineConfig, FakeEngine};
use crate::platform::{FakePlatform, PlatformConfig};
use crate::service::{FakeService, ServiceConfig};

/// Returns the loopback address with port 0, for which the kernel chooses a free port.
pub fn any_loopback_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// A fake that can run as a process of its own.
pub trait Fake: Sized {
    /// Name of the binary.
    const NAME: &'static str;
    /// First line of the help text.
    const ABOUT: &'static str;
    /// Settings, read from the JSON object after `--config`.
    type Config: Default + DeserializeOwned;

    /// Starts the server on `listen`. Fails if the address cannot be bound.
    fn start(listen: SocketAddr, cfg: Self::Config) -> impl Future<Output = std::io::Result<Self>>;

    /// Returns the address of the published interface, with the port that was bound.
    fn bound_addr(&self) -> SocketAddr;

    /// Stops accepting connections and returns when the requests in flight have ended.
    fn shut_down(&self) -> impl Future<Output = ()>;
}

impl Fake for FakeEngine {
    const NAME: &'static str = "nutmegbay-fake-engine";
    const ABOUT: &'static str = "Fake model engine; faults by PUT /faults, counts by GET /seen";
    type Config = EngineConfig;

    async fn start(listen: SocketAddr, cfg: EngineConfig) -> std::io::Result<Self> {
        Self::start_on(listen, cfg).await
    }

    fn bound_addr(&self) -> SocketAddr {
        self.addr()
    }

    async fn shut_down(&self) {
        self.stop().await;
    }
}

impl Fake for FakeService {
    const NAME: &'static str = "nutmegbay-fake-service";
    const ABOUT: &'static str =
        "Fake plain service; faults by PUT /faults, counts by GET /executions";
    type Config = ServiceConfig;

    async fn start(listen: SocketAddr, cfg: ServiceConfig) -> std::io::Result<Self> {
        Self::start_on(listen, cfg).await
    }

    fn bound_addr(&self) -> SocketAddr {
        self.addr()
    }

    async fn shut_down(&self) {
        self.stop().await;
    }
}

impl Fake for FakePlatform {
    const NAME: &'static str = "nutmegbay-fake-platform";
    const ABOUT: &'static str = "Fake platform; faults by PUT /faults, instances by PUT /instances";
    type Config = PlatformConfig;

    async fn start(listen: SocketAddr, cfg: PlatformConfig) -> std::io::Result<Self> {
        Self::start_on(listen, cfg).await
    }

    fn bound_addr(&self) -> SocketAddr {
        self.addr()
    }

    async fn shut_down(&self) {
        self.stop().await;
    }
}

/// Runs a fake as a process until SIGTERM or SIGINT; the main function of its binary.
pub fn main<F: Fake>() -> ExitCode {
    let args = command::<F>().get_matches();
    if let Err(error) = log::init(args.get_one::<String>("log").map(String::as_str)) {
        eprintln!("{error}");
        return Exit::Usage.into();
    }
    let cfg = match config::<F>(&args) {
        Ok(cfg) => cfg,
        Err(error) => {
            eprintln!("--config: {error}");
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
    match runtime.block_on(run::<F>(&args, cfg)) {
        Ok(()) => Exit::Ok.into(),
        Err(error) => {
            tracing::error!(%error, "failed");
            Exit::Failure.into()
        }
    }
}

/// Returns the command line of a fake's binary.
fn command<F: Fake>() -> Command {
    let address = |id: &'static str, help: &'static str| {
        Arg::new(id)
            .long(id)
            .value_name("ADDRESS")
            .value_parser(value_parser!(SocketAddr))
            .default_value("127.0.0.1:0")
            .help(help)
    };
    Command::new(F::NAME)
        .about(F::ABOUT)
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(
            "The bound addresses are printed as one key=value line on standard output.\n\
             Exit codes: 0 stopped as planned, 1 failure, 2 bad usage or settings.",
        )
        .arg(address(
            "listen",
            "Address of the published interface; port 0 for a free one",
        ))
        .arg(address(
            "admin",
            "Address of GET /ready and GET /health; port 0 for a free one",
        ))
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("JSON")
                .help("Settings as a JSON object; absent ones keep their defaults"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("LEVEL")
                .help("Log level or filter; otherwise from NUTMEGBAY_LOG, otherwise info"),
        )
}

fn config<F: Fake>(args: &ArgMatches) -> serde_json::Result<F::Config> {
    args.get_one::<String>("config").map_or_else(
        || Ok(F::Config::default()),
        |text| serde_json::from_str(text),
    )
}

async fn run<F: Fake>(args: &ArgMatches, cfg: F::Config) -> std::io::Result<()> {
    let address = |id| {
        args.get_one::<SocketAddr>(id)
            .copied()
            .unwrap_or_else(any_loopback_port)
    };
    let stop = signals::stop_token()?;
    let (readiness, exit) = (Readiness::new(), CancellationToken::new());
    let admin = admin::serve(address("admin"), readiness.clone(), exit.clone()).await?;
    let fake = F::start(address("listen"), cfg).await?;
    readiness.set(true);
    println!(
        "event=listening name={} addr={} admin={admin}",
        F::NAME,
        fake.bound_addr()
    );
    stop.cancelled().await;
    readiness.set(false);
    fake.shut_down().await;
    exit.cancel();
    Ok(())
}
