//! Experiments on VRRP: takeovers between real processes, cost, packet loss, division of limits, and a model checker.

mod cost;
mod division;
pub mod experiments;
mod loss;
mod model;
mod takeover;
