//! iSCSI (RFC 7143) as used on both sides, by the front as a target and towards nodes as an initiator: PDUs,
//! login keys, SCSI commands and statuses. Does no I/O.

pub mod pdu;
pub mod scsi;
pub mod text;

pub use pdu::{Opcode, Pdu};
