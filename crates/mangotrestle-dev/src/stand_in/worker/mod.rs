//! Stand-in for workers: the lease contract and an HTTP endpoint for tasks.
