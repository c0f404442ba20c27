//! The `mangotrestle` binary.

fn main() {}
