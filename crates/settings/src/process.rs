//! Settings of one process: its addresses, name and failure domain.

use error_stack::Report;
use serde::de::DeserializeOwned;

use crate::error::SettingsError;
use crate::tree::{Node, Source};

/// Reads a process's own settings file; faults name file, line and key.
pub fn parse_process<T: DeserializeOwned>(source: Source<'_>) -> Result<T, Report<SettingsError>> {
    Node::parse(source)?.read()
}
