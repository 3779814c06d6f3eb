//! Logs, metrics, signals and the admin interface shared by all processes.
