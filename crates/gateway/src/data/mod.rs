//! Data path: handles callers' requests and forwards them to upstreams.

pub mod api;
pub mod at_most_once;
pub mod body;
pub mod client;
mod connection;
pub mod executor;
pub mod headers;
pub mod models;
pub mod reader;
pub mod refuse;
pub mod serve;
pub mod services;
pub mod shared_run;
pub mod sse;
pub mod suspects;
pub mod wire;
