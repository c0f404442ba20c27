//! Choice of targets for callers' requests, limits and retries.
