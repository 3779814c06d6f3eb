//! Whole path in one process on loopback, checking itself.
