//! Runs the real program as a process and talks to it as its clients, nodes, storage targets and discovery do.

mod acceptance;
mod configuration;
mod drain;
mod fleet;
mod helper;
mod iscsi;
mod lateness;
mod long_values;
mod memory;
mod operators;
mod planner;
mod resp;
mod upgrade;
mod vrrp;
