//! One pool as one entry host sees it: leadership, scheduling and recovery together.
