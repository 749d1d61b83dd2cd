//! Settings drawn at random, played in virtual time, with every rule checked on what was seen.

mod check;
pub mod command;
mod world;
