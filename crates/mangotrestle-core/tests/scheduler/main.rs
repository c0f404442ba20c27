//! Tests of the scheduler through its public API.

mod correction;
mod differential;
mod faults;
mod fixture;
mod gangs;
mod health;
mod ordering;
mod preemption;
mod recovery;
mod replicas;
mod world;
