//! The users' deployments: availability zones, workers, racks, latencies and slots.
