//! Entry for callers: authenticates, routes and forwards.
