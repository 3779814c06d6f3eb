//! Coordination components of nutmegbay, free of input and output.
//!
//! Every component is driven by events and answers with effects. It meets time, the platform's
//! log, peers and upstreams only through [`environment::Environment`], so that an embedder supplies the
//! transport and a test supplies the clock.

pub mod append;
pub mod attempt;
pub mod duty;
pub mod freshness;
pub mod guard;
pub mod ids;
pub mod lease;
#[doc(hidden)]
pub mod mutation;
pub mod node;
pub mod orders;
pub mod quarantine;
pub mod record;
pub mod replica;
pub mod snapshot;
pub mod usage;
pub mod verdict;
pub mod environment;
