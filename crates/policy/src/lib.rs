//! Decision logic of nutmegbay: cost of model work, routing, fair queueing, shared rate limits,
//! retries and engine roles.
//!
//! The library is pure: it does no I/O and reads no clock. Callers pass in the current time. Each
//! decision is behind a small trait, so that baselines can replace it.
#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "token counts and seconds stay far below 2^52"
)]

pub mod average;
pub mod cost;
pub mod edge;
pub mod fleet;
pub mod join;
pub mod limit;
pub mod plan;
pub mod queue;
pub mod retry;
pub mod route;

slotmap::new_key_type! {
    /// Key of an upstream in a [`fleet::Fleet`].
    pub struct UpstreamKey;
    /// Key of a client account in an arena of the caller.
    pub struct AccountKey;
}
