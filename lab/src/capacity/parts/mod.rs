//! The parts of the measurement, one file each.

pub mod configuration;
pub mod connections;
pub mod fleet;
pub mod members;
pub mod module;
pub mod nodes;
pub mod planners;
pub mod process;
mod real_members;
pub mod regions;
