//! Sidecar of an upstream: all work and all orders reach the upstream through it.
//!
//! The sidecar forwards work, validates the answers, forwards orders that carry the current fencing
//! number and runs each attempt of a non-idempotent call at most once. All of its state is in
//! memory and bound to its incarnation, so a restart cannot repeat an effect.

pub mod cli;
pub mod server;
pub mod settings;

mod call;
mod control;
mod crashes;
mod frames;
mod log_view;
mod monitor;
mod non_idempotent;
mod orders;
mod refusal;
mod requests;
mod run_scheduler;
mod state;
mod upstream;
mod work;

use error_stack::Report;
use tokio_util::sync::CancellationToken;

pub use server::{RunError, Sidecar};
pub use settings::Settings;

/// Binds the addresses in `settings` and serves until `stop` is cancelled and all work has ended.
///
/// # Errors
///
/// [`RunError::Bind`] if an address cannot be bound, [`RunError::Serve`] if serving fails.
pub async fn run(settings: Settings, stop: CancellationToken) -> Result<(), Report<RunError>> {
    Sidecar::bind(settings)?.run(stop).await
}
