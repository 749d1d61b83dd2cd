//! Agreement of planners on revisions, in virtual time: drawn schedules of faults, checkers that know nothing of the
//! protocol, and planted faults that show what each checker finds.

mod checker;
mod planted;
mod schedule;
pub mod simulation;
#[cfg(test)]
mod tests;
mod world;
