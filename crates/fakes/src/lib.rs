//! Fakes of the engine, the plain service and the platform for tests and the demo.
