//! The real program as a process, spoken to as its clients, nodes, storage and discovery would.

mod acceptance;
mod configuration;
mod fleet;
mod helper;
mod iscsi;
mod lateness;
mod operators;
mod planner;
mod resp;
mod upgrade;
mod vrrp;
