//! Experiments on forwarders and planners: real processes, and shares in virtual time.

pub mod processes;
pub mod simulation;
mod world;
