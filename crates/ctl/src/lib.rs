//! Operators' command-line tool.
