//! Membership among initiators: who is there, who is gone, and how sure we are. Members probe each other, directly and
//! through others, doubt themselves before they doubt another, and agree by majority on numbered views.
//!
//! From below: [`life`] is what is said of a member, [`frame`] what members say, [`health`] how far a member trusts
//! itself, [`suspicion`] how long a doubt lasts, [`view`] how a view is decided, [`member`] all of one member; none of
//! these does I/O or reads a clock. [`settings`] is the file, [`speaker`] the socket, [`report`] what operators see.
//! docs/fleet.md says why it is built so.

pub mod frame;
pub mod health;
pub mod life;
pub mod member;
pub mod report;
pub mod settings;
pub mod speaker;
pub mod suspicion;
pub mod traffic;
pub mod view;
