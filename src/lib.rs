//! topazpath decides when a gateway sends each I/O request of its volumes, to which storage node and how many at once,
//! and which requests it refuses. The [`Scheduler`] does no I/O and reads no clock: pass it events and carry out its
//! actions.
//!
//! ```
//! use topazpath::interface::*;
//! use std::time::Duration;
//! use topazpath::Scheduler;
//!
//! let class = Class {
//!     latency_target: Duration::from_millis(300),
//!     deadline: Duration::from_secs(2),
//!     worth: 2.0,
//!     late_worth: 0.2,
//!     effect: Effect::Safe,
//!     dedup_window: Duration::ZERO,
//!     in_order: false,
//! };
//! let plan = Plan { reserve: 5.0, limit: None, weight: 1.0, worth_factor: 1.0 };
//! let settings = Settings {
//!     initiators: 1,
//!     tick: Duration::from_millis(1),
//!     classes: vec![class],
//!     plans: vec![plan],
//!     units: Units { mean: 2.0, largest: 6.0, share_worth: 0.4, spare_worth: 0.1, ..Default::default() },
//!     limits: Limits { max_attempts: 3, ..Default::default() },
//!     ..Default::default()
//! };
//! let mut scheduler = Scheduler::new(settings, 7);
//! let state = NodeState::Ready;
//! let node = NodeEntry { node: NodeId(4), shard: 0, zone: 0, started: None, state, no_new_objects: false };
//! let request = NewRequest {
//!     id: RequestId(1),
//!     class: 0,
//!     plan: 0,
//!     volume: VolumeId(9),
//!     key: 0,
//!     deadline: Duration::from_millis(2100),
//!     units: 2.0,
//!     shard: Some(0),
//!     volume_initiators: 1.0,
//! };
//! let events = [Event::List { kind: ListKind::Cached, entries: vec![node] }, Event::Request(request)];
//! let mut actions = Vec::new();
//! scheduler.handle(Duration::from_millis(100), &events, &mut actions);
//! assert!(actions.contains(&Action::Send { id: RequestId(1), node: NodeId(4), give_up_at: Duration::from_millis(2100), begin_by: Duration::from_millis(2100) }));
//! ```
#![warn(missing_docs)]

mod backoff;
pub mod clock;
pub mod config;
mod conn;
mod control;
#[allow(missing_docs)]
pub mod core;
pub mod discovery;
#[cfg(test)]
#[path = "../tests/fixtures/mod.rs"]
mod fixtures;
pub mod fleet;
mod flow;
pub mod forwarder;
mod front;
pub mod handover;
pub mod interface;
pub mod iscsi;
mod listener;
pub mod memory;
pub mod nodes;
mod pace;
mod placement;
pub mod planner;
pub mod process;
mod quantity;
mod random;
pub mod resp;
pub mod revisions;
mod rules;
mod service;
pub mod settings;
pub mod shares;
mod target;
mod tcp_info;
pub mod tokens;
mod upgrade;
pub mod vrrp;

pub use rules::{Denials, Scheduler};
