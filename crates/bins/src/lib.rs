//! Binaries of nutmegbay and the tests that run them as separate processes.
