//! The binaries of nutmegbay.
