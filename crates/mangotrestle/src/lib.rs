//! Parts of the `mangotrestle` binary, as a library so that tests and developers' tools can run
//! them in their own process.

pub mod daemon;
pub mod settings;
