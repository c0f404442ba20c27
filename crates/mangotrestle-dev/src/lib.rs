//! Stand-ins, demonstration and measurements for developers; never shipped.

pub mod cell;
pub mod demo;
pub mod load;
pub mod measure;
pub mod process;
pub mod profile;
pub mod stand_in;
pub mod up;
