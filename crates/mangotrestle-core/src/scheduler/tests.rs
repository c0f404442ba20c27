//! Unit tests that need the scheduler's private items.
