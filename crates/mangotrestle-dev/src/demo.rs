//! Demonstration of the whole path in one process.
