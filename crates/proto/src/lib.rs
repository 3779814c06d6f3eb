//! Wire types of every interface that nutmegbay speaks.

pub mod control;
pub mod engine;
pub mod frame;
pub mod platform;
pub mod prefix;
pub mod problem;
pub mod work;
