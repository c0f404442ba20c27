//! Which task runs on which worker of a pool, and when.
