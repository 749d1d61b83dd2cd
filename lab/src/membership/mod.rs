//! Experiments on membership among initiators: real processes, virtual time, scripts of faults, a model checker.

mod comparison;
mod model;
pub mod processes;
pub mod script;
pub mod simulation;
pub mod world;
