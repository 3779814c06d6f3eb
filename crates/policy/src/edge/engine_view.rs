//! What this instance knows of an engine beside its load.

/// Speed of an engine, compared with the typical engine of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpeed {
    /// Time of a prefill, as a multiple of the typical engine's.
    pub prefill_factor: f64,
    /// Time of a decode step, as a multiple of the typical engine's.
    pub step_factor: f64,
    /// Whether the engine states how long work takes on its machine.
    pub is_stated: bool,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            prefill_factor: 1.0,
            step_factor: 1.0,
            is_stated: false,
        }
    }
}
