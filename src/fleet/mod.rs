//! Membership among initiators: which initiators are in the fleet, and which have failed or left.
//!
//! Failure detection is SWIM with the extensions of Lifeguard: members probe each other directly and through helpers,
//! and a member that receives no answers at all lowers its own health score before it suspects another. The set of
//! members is a numbered view; the members of each view choose the next one by majority, with one Paxos instance.
//!
//! Modules, each of which imports only those before it:
//!
//! - [`update`]: the state of a member as it is disseminated,
//! - [`view`]: views, and the Paxos roles that decide them,
//! - [`frame`]: the datagrams,
//! - [`health`]: the local health score of Lifeguard,
//! - [`suspicion`]: how long a suspicion lasts,
//! - [`member`]: the state machine of one member,
//! - [`settings`]: the settings file,
//! - [`traffic`]: counters of datagrams,
//! - [`report`]: what operators see,
//! - [`speaker`]: the UDP socket that drives a member.
//!
//! Those up to [`member`] do no I/O and read no clock. docs/fleet.md gives the reasons for this design.

pub mod frame;
pub mod health;
pub mod member;
pub mod report;
pub mod settings;
pub mod speaker;
pub mod suspicion;
pub mod traffic;
pub mod update;
pub mod view;
