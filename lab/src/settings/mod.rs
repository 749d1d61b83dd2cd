//! Random settings, simulated in virtual time, with every rule checked on the recorded history.

mod check;
pub mod command;
mod world;
