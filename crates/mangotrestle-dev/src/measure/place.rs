//! Placement: cost of a decision, waiting time and packing.
