//! VRRP version 3 (RFC 9568): elects which of a few hosts serves an address. A host runs an initiator or a planner:
//! initiators use VRRP for service addresses, planners for the leadership of partitions.
//!
//! Modules:
//!
//! - [`packet`]: encoding and decoding of advertisements,
//! - [`machine`]: the state machine of one virtual router,
//! - [`timers`]: the timers of many virtual routers,
//! - [`track`]: conditions of the host that lower the priorities,
//! - [`routers`]: all virtual routers of a process,
//! - [`settings`]: the settings file,
//! - [`speaker`]: the UDP sockets that drive the routers,
//! - [`address`]: acquiring and releasing addresses on transitions,
//! - [`report`]: what operators see.
//!
//! Those up to [`routers`] do no I/O and read no clock. docs/vrrp.md gives the reasons for this design, and what cannot
//! be carried over UDP.

pub mod address;
pub mod machine;
pub mod packet;
pub mod report;
pub mod routers;
pub mod settings;
pub mod speaker;
pub mod timers;
pub mod track;
