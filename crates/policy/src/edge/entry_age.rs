//! Age of an upstream's entry in the list of instances.
//!
//! Load pattern: the store is restored from a copy that is some seconds old. Entries of upstreams
//! that were leaving or gone are back as they were before, until the upstreams write them again. An
//! instance that knows better must not send requests to these upstreams.

/// What an entry states about its age. Each part may be missing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EntryAge {
    /// Start of the upstream's incarnation in milliseconds since 1970.
    pub started_ms: Option<u64>,
    /// Number of the heartbeat within the incarnation.
    pub heartbeat: Option<u64>,
}

impl EntryAge {
    /// Returns whether an entry of this age is outdated although it was read after the `known` one
    /// of the same upstream. `is_restored` states whether the store was restored in between, so
    /// that the order of reading proves nothing.
    pub fn is_outdated(self, known: Self, is_restored: bool) -> bool {
        let is_same_incarnation = match (self.started_ms, known.started_ms) {
            // A clock that jumped may date a new incarnation back, so this alone proves nothing.
            (Some(own), Some(known)) if own != known => return is_restored && own < known,
            (own, known) => own.is_some() && known.is_some(),
        };
        match (self.heartbeat, known.heartbeat) {
            (Some(own), Some(known)) if own == known => is_restored,
            (Some(own), Some(known)) => own < known && (is_restored || is_same_incarnation),
            _ => false,
        }
    }
}
