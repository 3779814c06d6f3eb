//! Load tool: sends load to a running system, runs the policy experiments and measures how costs
//! grow with the size of the state.
#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "token counts and virtual seconds stay far below 2^52"
)]

pub mod cli;
pub mod http;
pub mod policy;
pub mod slopes;
