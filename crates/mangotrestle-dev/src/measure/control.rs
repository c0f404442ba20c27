//! Standing cost of control: processor time, bytes and memory, and their slopes.
