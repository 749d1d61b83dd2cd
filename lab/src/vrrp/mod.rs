//! Experiments on VRRP: takeovers of real machines, cost, loss, division of limits, a model checker.

mod cost;
mod division;
pub mod experiments;
mod loss;
mod model;
mod takeover;
