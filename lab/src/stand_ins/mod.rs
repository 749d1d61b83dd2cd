//! Stand-ins for what the program talks to, and the real program as processes.

pub mod clients;
pub mod machines;
pub mod nodes;
pub mod segment;
pub mod service;
