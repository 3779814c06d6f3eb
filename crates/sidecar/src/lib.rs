//! The process beside each upstream: the only path to it for work and orders.
//!
//! The sidecar forwards work, checks the answers, gives orders under the current fencing number
//! and runs each attempt of a non-idempotent call at most once. It keeps everything in memory and
//! binds it to its incarnation, so that a restart cannot repeat an effect.

pub mod cli;
pub mod server;
pub mod settings;

mod call;
mod control;
mod crashes;
mod frames;
mod gate;
mod log_view;
mod monitor;
mod once;
mod orders;
mod refuse;
mod requests;
mod state;
mod upstream;
mod work;

use error_stack::Report;
use tokio_util::sync::CancellationToken;

pub use server::{RunError, Sidecar};
pub use settings::Settings;

/// Binds the sidecar's addresses and serves until `stop` is cancelled and all work has ended.
pub async fn run(settings: Settings, stop: CancellationToken) -> Result<(), Report<RunError>> {
    Sidecar::bind(settings)?.run(stop).await
}
