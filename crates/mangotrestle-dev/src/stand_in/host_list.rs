//! Stand-in for the platform's host list.
