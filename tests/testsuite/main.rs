//! End-to-end tests.
