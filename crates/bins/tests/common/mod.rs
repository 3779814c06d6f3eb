//! Starts the system as separate processes and speaks HTTP to them.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod http;
pub mod process;
pub mod site;
