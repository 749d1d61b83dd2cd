//! SCSI commands (SBC-4, SPC-5) and statuses (SAM-5), as far as block reads and writes need them.

use std::time::Duration;

/// Status: done.
pub const GOOD: u8 = 0x00;
/// Status: failed, sense data tell how.
pub const CHECK_CONDITION: u8 = 0x02;
/// Status: not now; the command did not run.
pub const BUSY: u8 = 0x08;
/// Status: the queue is full; the command did not run.
pub const TASK_SET_FULL: u8 = 0x28;

/// Sense key and additional sense code of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sense(pub u8, pub u16);

/// The command is not known.
pub const INVALID_OPCODE: Sense = Sense(0x05, 0x2000);
/// The blocks lie outside the unit.
pub const OUT_OF_RANGE: Sense = Sense(0x05, 0x2100);
/// A field of the command is not acceptable.
pub const INVALID_FIELD: Sense = Sense(0x05, 0x2400);
/// There is no such unit.
pub const NO_SUCH_UNIT: Sense = Sense(0x05, 0x2500);
/// The command was begun and nobody knows how it ended.
pub const COMMUNICATION_FAILURE: Sense = Sense(0x0b, 0x0800);

impl Sense {
    /// Sense data in the fixed format, behind their length, as a SCSI Response carries them.
    pub fn data(self) -> Vec<u8> {
        let mut data = vec![0, 18, 0x70, 0, self.0, 0, 0, 0, 0, 10, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
        data[14..16].copy_from_slice(&self.1.to_be_bytes());
        data
    }
}

/// A status qualifier that asks to come again after `wait`: steps of 100 ms, rounded up (SAM-5, 5.3.2).
pub fn retry_delay(wait: Duration) -> u16 {
    wait.as_millis().div_ceil(100).min(0x3fef) as u16
}

/// A command that is understood here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cdb {
    /// Reads or writes blocks.
    Transfer {
        /// It writes.
        write: bool,
        /// The first block.
        block: u64,
        /// How many.
        blocks: u32,
    },
    /// Asks whether the unit is there.
    TestUnitReady,
    /// Asks what the unit is: standard data, or a page of vital product data.
    Inquiry(Option<u8>),
    /// Asks how large it is, with ten or sixteen bytes.
    ReadCapacity {
        /// The longer form.
        long: bool,
    },
    /// Asks for the units.
    ReportLuns,
}

impl Cdb {
    /// Reads a command descriptor block.
    pub fn parse(cdb: &[u8; 16]) -> Result<Cdb, Sense> {
        let short = |at: usize| u32::from_be_bytes([cdb[at], cdb[at + 1], cdb[at + 2], cdb[at + 3]]);
        let ten = |write| Cdb::Transfer {
            write,
            block: short(2).into(),
            blocks: u16::from_be_bytes([cdb[7], cdb[8]]).into(),
        };
        let sixteen = |write| Cdb::Transfer {
            write,
            block: u64::from(short(2)) << 32 | u64::from(short(6)),
            blocks: short(10),
        };
        match cdb[0] {
            0x00 => Ok(Cdb::TestUnitReady),
            0x12 => Ok(Cdb::Inquiry((cdb[1] & 1 != 0).then_some(cdb[2]))),
            0x25 => Ok(Cdb::ReadCapacity { long: false }),
            0x28 => Ok(ten(false)),
            0x2a => Ok(ten(true)),
            0x88 => Ok(sixteen(false)),
            0x8a => Ok(sixteen(true)),
            0x9e if cdb[1] & 0x1f == 0x10 => Ok(Cdb::ReadCapacity { long: true }),
            0xa0 => Ok(Cdb::ReportLuns),
            _ => Err(INVALID_OPCODE),
        }
    }

    /// READ(16) or WRITE(16).
    pub fn transfer(write: bool, block: u64, blocks: u32) -> [u8; 16] {
        let mut cdb = [0; 16];
        cdb[0] = if write { 0x8a } else { 0x88 };
        cdb[2..10].copy_from_slice(&block.to_be_bytes());
        cdb[10..14].copy_from_slice(&blocks.to_be_bytes());
        cdb
    }
}

/// A unit number in the field of a PDU (SAM-5, single level: peripheral below 256, else flat space).
pub fn lun_field(lun: u16) -> [u8; 8] {
    let [high, low] = lun.to_be_bytes();
    [if lun < 256 { 0 } else { 0x40 | high }, low, 0, 0, 0, 0, 0, 0]
}

/// The unit number of such a field.
pub fn lun_of(field: [u8; 8]) -> Option<u16> {
    let rest_is_zero = field[2..].iter().all(|byte| *byte == 0);
    match field[0] >> 6 {
        0 if field[0] == 0 && rest_is_zero => Some(field[1].into()),
        1 if rest_is_zero => Some(u16::from_be_bytes([field[0] & 0x3f, field[1]])),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
