//! Experiments on forwarders and planners, with real processes and in virtual time.

pub mod processes;
pub mod simulation;
mod world;
