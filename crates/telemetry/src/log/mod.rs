//! Process log in logfmt: one line of `key=value` pairs per event.

mod buffer;

use std::io;

use tracing_logfmt::{EventsFormatter, FieldsFormatter};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

pub use buffer::{BufferedLines, dropped_lines};

/// Environment variable with the log level, or with filter directives such as
/// `info,nutmegbay_gateway=debug`.
pub const LOG_ENV: &str = "NUTMEGBAY_LOG";

/// Log level if neither the command line nor [`LOG_ENV`] sets one.
pub const DEFAULT_LEVEL: &str = "info";

/// Installs the process log on standard error. `level` comes from the command line and takes
/// precedence over [`LOG_ENV`]. If the process has a log already, that one stays.
pub fn init(level: Option<&str>) -> Result<(), InvalidLevel> {
    install(level, io::stderr)
}

/// Installs the process log on standard output. A separate thread writes the lines from a bounded
/// buffer, so that a slow reader does not delay requests. Lines that do not fit are dropped and
/// counted by [`dropped_lines`]. Dropping the returned guard writes the remaining lines.
pub fn init_buffered(level: Option<&str>) -> Result<BufferedLines, InvalidLevel> {
    let lines = BufferedLines::start(io::stdout());
    install(level, lines.writer())?;
    Ok(lines)
}

fn install<W>(level: Option<&str>, writer: W) -> Result<(), InvalidLevel>
where
    W: for<'w> MakeWriter<'w> + Send + Sync + 'static,
{
    let from_env = std::env::var(LOG_ENV).ok();
    let directives = level.or(from_env.as_deref()).unwrap_or(DEFAULT_LEVEL);
    let filter = EnvFilter::builder()
        .parse(directives)
        .map_err(|error| InvalidLevel(format!("log level {directives:?}: {error}").into()))?;
    let lines = tracing_subscriber::fmt::layer()
        .event_format(EventsFormatter::default())
        .fmt_fields(FieldsFormatter::default())
        .with_writer(writer);
    // Fails only if the process has a log already, as in tests that run two components in one
    // process.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init();
    Ok(())
}

/// Error for log levels and filter directives that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidLevel(Box<str>);

impl std::fmt::Display for InvalidLevel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InvalidLevel {}
