//! Experiments on the fleet's membership: with real processes, in virtual time, with scripts of faults, and with a
//! model checker.

mod comparison;
mod model;
pub mod processes;
pub mod script;
pub mod simulation;
pub mod world;
