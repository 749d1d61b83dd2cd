//! Protocol data units: a basic header segment of 48 bytes, and data padded to a multiple of four bytes.

/// Length of a basic header segment in bytes.
pub const HEADER: usize = 48;
/// The reserved tag that stands for no task.
pub const NO_TAG: u32 = 0xffff_ffff;
/// Flag of the last PDU of a command, a data sequence or a login stage.
pub const FINAL: u8 = 0x80;

/// Opcodes, named as in RFC 7143.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
#[allow(missing_docs)]
pub enum Opcode {
    NopOut = 0x00,
    ScsiCommand = 0x01,
    TaskManagementRequest = 0x02,
    LoginRequest = 0x03,
    TextRequest = 0x04,
    DataOut = 0x05,
    LogoutRequest = 0x06,
    NopIn = 0x20,
    ScsiResponse = 0x21,
    TaskManagementResponse = 0x22,
    LoginResponse = 0x23,
    TextResponse = 0x24,
    DataIn = 0x25,
    LogoutResponse = 0x26,
    R2t = 0x31,
    AsyncMessage = 0x32,
    Reject = 0x3f,
}

const OPCODES: [Opcode; 17] = [
    Opcode::NopOut,
    Opcode::ScsiCommand,
    Opcode::TaskManagementRequest,
    Opcode::LoginRequest,
    Opcode::TextRequest,
    Opcode::DataOut,
    Opcode::LogoutRequest,
    Opcode::NopIn,
    Opcode::ScsiResponse,
    Opcode::TaskManagementResponse,
    Opcode::LoginResponse,
    Opcode::TextResponse,
    Opcode::DataIn,
    Opcode::LogoutResponse,
    Opcode::R2t,
    Opcode::AsyncMessage,
    Opcode::Reject,
];

/// A PDU. Offsets are those of the RFC's tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pdu {
    /// The basic header segment. Its data segment length is set when the PDU is written.
    pub header: [u8; HEADER],
    /// The data segment, without padding.
    pub data: Vec<u8>,
}

impl Pdu {
    /// An empty PDU for a task, with the final flag set.
    pub fn new(opcode: Opcode, task_tag: u32) -> Self {
        let mut pdu = Pdu { header: [0; HEADER], data: Vec::new() };
        pdu.header[0] = opcode as u8;
        pdu.header[1] = FINAL;
        pdu.set_u32(16, task_tag);
        pdu
    }

    /// Sets the data segment.
    pub fn with_data(mut self, data: impl Into<Vec<u8>>) -> Self {
        self.data = data.into();
        self
    }

    /// Sets the four-byte field at `offset` of the header.
    pub fn with(mut self, offset: usize, value: u32) -> Self {
        self.set_u32(offset, value);
        self
    }

    /// Sets the flags in the second byte of the header.
    pub fn with_flags(mut self, flags: u8) -> Self {
        self.header[1] = flags;
        self
    }

    /// The opcode, if it is known.
    pub fn opcode(&self) -> Option<Opcode> {
        OPCODES.into_iter().find(|opcode| *opcode as u8 == self.header[0] & 0x3f)
    }

    /// Whether it is for immediate delivery, outside the command sequence.
    pub fn is_immediate(&self) -> bool {
        self.header[0] & 0x40 != 0
    }

    /// The flags in the second byte of the header.
    pub fn flags(&self) -> u8 {
        self.header[1]
    }

    /// The four-byte field at `offset` of the header.
    pub fn u32(&self, offset: usize) -> u32 {
        u32::from_be_bytes([0, 1, 2, 3].map(|byte| self.header[offset + byte]))
    }

    /// Sets the four-byte field at `offset` of the header.
    pub fn set_u32(&mut self, offset: usize, value: u32) {
        self.header[offset..offset + 4].copy_from_slice(&value.to_be_bytes());
    }

    /// The initiator task tag.
    pub fn task_tag(&self) -> u32 {
        self.u32(16)
    }

    /// The logical unit number field.
    pub fn lun(&self) -> [u8; 8] {
        [0, 1, 2, 3, 4, 5, 6, 7].map(|byte| self.header[8 + byte])
    }

    /// Appends the encoded PDU to `output`.
    pub fn write(&self, output: &mut Vec<u8>) {
        let start = output.len();
        output.extend_from_slice(&self.header);
        output[start + 4] = 0;
        output[start + 5..start + 8].copy_from_slice(&(self.data.len() as u32).to_be_bytes()[1..]);
        output.extend_from_slice(&self.data);
        output.resize(start + HEADER + padded(self.data.len()), 0);
    }

    /// Parses the PDU at the start of the input. Returns it and its length in bytes, or `None` if it is
    /// incomplete. Additional header segments are skipped. An error (more than `max_data` bytes of data) means
    /// that the framing is lost.
    pub fn parse(input: &[u8], max_data: usize) -> Result<Option<(Pdu, usize)>, String> {
        let Some(header) = input.first_chunk::<HEADER>() else { return Ok(None) };
        let length = u32::from_be_bytes([0, header[5], header[6], header[7]]) as usize;
        if length > max_data {
            return Err(format!("a data segment of {length} bytes, at most {max_data} are accepted"));
        }
        let start = HEADER + 4 * usize::from(header[4]);
        let end = start + padded(length);
        if input.len() < end {
            return Ok(None);
        }
        Ok(Some((Pdu { header: *header, data: input[start..start + length].to_vec() }, end)))
    }
}

fn padded(length: usize) -> usize {
    length.next_multiple_of(4)
}

/// Whether sequence number `a` comes before `b` (RFC 1982 arithmetic on 32 bits).
pub fn is_before(a: u32, b: u32) -> bool {
    a != b && b.wrapping_sub(a) < 1 << 31
}

#[cfg(test)]
mod tests;
