//! Clients of the platform's HTTP interfaces.
