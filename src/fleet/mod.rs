//! Membership among initiators: who is there, who is gone, and how sure we are. Members probe each other, directly and
//! through helpers, suspect themselves before they suspect another, and agree by majority on numbered views: SWIM with
//! the extensions of Lifeguard, and one decision of Paxos a view.
//!
//! From below: [`update`] is what is disseminated about a member, [`view`] how a view is decided, [`frame`] the
//! messages, [`health`] how far a member relies on its own observations, [`suspicion`] how long a suspicion lasts,
//! [`member`] all of one member; none of these does I/O or reads a clock. [`settings`] is the file, [`traffic`] counts
//! datagrams, [`report`] is what operators see, [`speaker`] the socket. Each imports only what stands before it.
//! docs/fleet.md says why it is built so.

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
