//! Tools for developers, never shipped: stand-ins for the outside systems, a demonstration, and
//! measurements.

pub mod cell;
pub mod demo;
pub mod load;
pub mod measure;
pub mod process;
pub mod profile;
pub mod stand_in;
pub mod up;
