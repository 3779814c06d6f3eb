//! Memory of a worker for request bodies.

/// Bodies that a worker holds.
#[derive(Debug, Default)]
pub struct BodyMemory {
    /// Bytes that fit, if there is a limit.
    pub limit: Option<usize>,
    held: usize,
}

impl BodyMemory {
    /// Adds a body. Returns whether all fit. If not, the worker crashes and holds none.
    pub fn hold(&mut self, bytes: usize) -> bool {
        self.held += bytes;
        let fits = self.limit.is_none_or(|limit| self.held <= limit);
        if !fits {
            self.held = 0;
        }
        fits
    }

    /// Removes a body.
    pub fn release(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }
}
