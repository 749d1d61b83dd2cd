//! Simulates the agreement of planners on revisions in virtual time: random schedules of faults, checks that do not
//! depend on the protocol, and planted faults that show that each check works.

mod checker;
mod planted;
mod schedule;
pub mod simulation;
#[cfg(test)]
mod tests;
mod world;
