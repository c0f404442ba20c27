//! Stand-in for the platform's object store.
