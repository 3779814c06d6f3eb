//! Wire types of all interfaces between nutmegbay's processes, the engines and the platform.

pub mod control;
pub mod engine;
pub mod frame;
pub mod platform;
pub mod prefix;
pub mod problem;
pub mod work;
