//! SCSI commands (SBC-4, SPC-5) and statuses (SAM-5), as far as block reads and writes need them.

use std::time::Duration;

/// Status: completed.
pub const GOOD: u8 = 0x00;
/// Status: failed; the sense data give the reason.
pub const CHECK_CONDITION: u8 = 0x02;
/// Status: busy; the command did not run and may be retried.
pub const BUSY: u8 = 0x08;
/// Status: the queue is full; the command did not run.
pub const TASK_SET_FULL: u8 = 0x28;

/// Sense key and additional sense code of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sense(pub u8, pub u16);

/// The command is not supported.
pub const INVALID_OPCODE: Sense = Sense(0x05, 0x2000);
/// The blocks lie outside the unit.
pub const OUT_OF_RANGE: Sense = Sense(0x05, 0x2100);
/// A field of the command is not valid.
pub const INVALID_FIELD: Sense = Sense(0x05, 0x2400);
/// The logical unit does not exist.
pub const NO_SUCH_UNIT: Sense = Sense(0x05, 0x2500);
/// The command was started and its outcome is unknown.
pub const COMMUNICATION_FAILURE: Sense = Sense(0x0b, 0x0800);
/// The data of the command did not arrive, so it did not run.
pub const DATA_PHASE_ERROR: Sense = Sense(0x0b, 0x4b00);

impl Sense {
    /// Sense data in fixed format, preceded by their length, as in the data segment of a SCSI Response.
    pub fn data(self) -> Vec<u8> {
        let mut data = vec![0, 18, 0x70, 0, self.0, 0, 0, 0, 0, 10, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
        data[14..16].copy_from_slice(&self.1.to_be_bytes());
        data
    }
}

/// Status qualifier that asks for a retry after `wait`, in steps of 100 ms, rounded up (SAM-5, 5.3.2).
pub fn retry_delay(wait: Duration) -> u16 {
    wait.as_millis().div_ceil(100).min(0x3fef) as u16
}

/// A supported command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cdb {
    /// Reads or writes blocks.
    Transfer {
        /// Whether it is a write.
        write: bool,
        /// The first logical block.
        block: u64,
        /// Number of blocks.
        blocks: u32,
    },
    /// Checks whether the unit is ready.
    TestUnitReady,
    /// Identifies the unit: standard data, or the given page of vital product data.
    Inquiry(Option<u8>),
    /// Asks for the capacity of the unit.
    ReadCapacity {
        /// READ CAPACITY(16) rather than READ CAPACITY(10).
        long: bool,
    },
    /// Lists the logical units.
    ReportLuns,
}

impl Cdb {
    /// Parses a command descriptor block.
    pub fn parse(cdb: &[u8; 16]) -> Result<Cdb, Sense> {
        let read_u32 = |at: usize| u32::from_be_bytes([cdb[at], cdb[at + 1], cdb[at + 2], cdb[at + 3]]);
        let transfer_10 = |write| Cdb::Transfer {
            write,
            block: read_u32(2).into(),
            blocks: u16::from_be_bytes([cdb[7], cdb[8]]).into(),
        };
        let transfer_16 = |write| Cdb::Transfer {
            write,
            block: u64::from(read_u32(2)) << 32 | u64::from(read_u32(6)),
            blocks: read_u32(10),
        };
        match cdb[0] {
            0x00 => Ok(Cdb::TestUnitReady),
            0x12 => Ok(Cdb::Inquiry((cdb[1] & 1 != 0).then_some(cdb[2]))),
            0x25 => Ok(Cdb::ReadCapacity { long: false }),
            0x28 => Ok(transfer_10(false)),
            0x2a => Ok(transfer_10(true)),
            0x88 => Ok(transfer_16(false)),
            0x8a => Ok(transfer_16(true)),
            0x9e if cdb[1] & 0x1f == 0x10 => Ok(Cdb::ReadCapacity { long: true }),
            0xa0 => Ok(Cdb::ReportLuns),
            _ => Err(INVALID_OPCODE),
        }
    }

    /// Encodes a READ(16) or WRITE(16).
    pub fn transfer(write: bool, block: u64, blocks: u32) -> [u8; 16] {
        let mut cdb = [0; 16];
        cdb[0] = if write { 0x8a } else { 0x88 };
        cdb[2..10].copy_from_slice(&block.to_be_bytes());
        cdb[10..14].copy_from_slice(&blocks.to_be_bytes());
        cdb
    }
}

/// Encodes a logical unit number (SAM-5, single level: peripheral addressing below 256, flat space addressing
/// above).
pub fn lun_field(lun: u16) -> [u8; 8] {
    let [high, low] = lun.to_be_bytes();
    [if lun < 256 { 0 } else { 0x40 | high }, low, 0, 0, 0, 0, 0, 0]
}

/// Decodes a logical unit number; `None` for any other addressing method.
pub fn parse_lun_field(field: [u8; 8]) -> Option<u16> {
    let rest_is_zero = field[2..].iter().all(|byte| *byte == 0);
    match field[0] >> 6 {
        0 if field[0] == 0 && rest_is_zero => Some(field[1].into()),
        1 if rest_is_zero => Some(u16::from_be_bytes([field[0] & 0x3f, field[1]])),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
