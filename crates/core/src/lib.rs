//! Coordination components of nutmegbay. The crate does no input or output.
//!
//! Every component handles events and returns effects for the embedder to perform. It accesses the
//! clock, random numbers, the log, peers and upstreams only through [`environment::Environment`],
//! so an embedder supplies the transport and a test supplies the clock.

pub mod append;
pub mod attempt;
pub mod crashes;
pub mod duty;
pub mod environment;
pub mod freshness;
pub mod guard;
pub mod ids;
pub mod lease;
#[doc(hidden)]
pub mod mutation;
pub mod node;
pub mod orders;
pub mod position;
pub mod quarantine;
pub mod record;
pub mod replica;
pub mod snapshot;
pub mod usage;
pub mod verdict;
