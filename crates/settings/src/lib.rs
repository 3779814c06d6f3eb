//! Settings: JSON with comments, a base with one overlay per site, checked before use.

pub mod model;
