//! Recovery: take-over of pools, store outages, configuration.
