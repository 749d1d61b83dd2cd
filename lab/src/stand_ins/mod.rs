//! Stand-ins for the clients, nodes, discovery and network of the program, and the real program run as processes.

pub mod clients;
pub mod machines;
pub mod nodes;
pub mod segment;
pub mod service;
