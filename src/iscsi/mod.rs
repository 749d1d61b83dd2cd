//! What both ends of iSCSI share (RFC 7143): PDUs, login keys, SCSI commands and statuses. No I/O.

pub mod pdu;
pub mod scsi;
pub mod text;

/// Names every end of a connection may count on: iSCSI's default port is 3260.
pub use pdu::{Opcode, Pdu};
