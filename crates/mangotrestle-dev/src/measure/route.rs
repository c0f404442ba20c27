//! Requests: goodput, latency, retries and outcomes.
