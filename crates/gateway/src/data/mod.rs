//! Data path from callers to upstreams.

pub mod api;
pub mod body;
pub mod client;
mod connection;
pub mod flight;
pub mod headers;
pub mod models;
pub mod once;
pub mod pump;
pub mod reader;
pub mod refuse;
pub mod serve;
pub mod services;
pub mod sse;
pub mod suspects;
pub mod wire;
