//! Runs a site as separate processes and sends HTTP requests to them.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

pub mod http;
pub mod process;
pub mod site;
