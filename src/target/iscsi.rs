//! Storage nodes that speak iSCSI (RFC 7143). This side is the initiator, with one command in flight at a time.

use super::Step;
use crate::core::{AttemptResult, Content, Operation};
use crate::interface::Outcome;
use crate::iscsi::pdu::{FINAL, NO_TAG};
use crate::iscsi::scsi::{self, Cdb};
use crate::iscsi::{text, Opcode, Pdu};
use std::time::Duration;

const INITIATOR_NAME: &str = "iqn.2026-12.topazpath:initiator";
/// Largest data segment accepted, and largest one sent.
const MAX_DATA_BYTES: usize = 64 * 1024;
/// Limit of a target that declares none (RFC 7143, 13.12 and 13.14).
const DEFAULT_SEGMENT: usize = 8192;
/// Transit from the operational negotiation stage to the full feature phase.
const LOGIN_FLAGS: u8 = FINAL | 1 << 2 | 3;
/// Flags of a SCSI Command beside the final one: read, write, simple task attribute.
const READ_FLAG: u8 = 0x40;
const WRITE_FLAG: u8 = 0x20;
const SIMPLE_QUEUE: u8 = 0x01;

/// The iSCSI session of one connection.
pub struct Session {
    target: String,
    number: usize,
    logged_in: bool,
    cmd_sn: u32,
    expected_stat_sn: u32,
    /// Largest data segment that the target accepts.
    max_segment: usize,
    first_burst: usize,
    immediate: bool,
    task: Option<Task>,
    last_tag: u32,
}

struct Task {
    tag: u32,
    lun: [u8; 8],
    body: Vec<u8>,
    /// Bytes of the body sent so far.
    sent: usize,
    value: Vec<u8>,
    expected: usize,
}

impl Session {
    /// A session with the target of this name; `number` distinguishes it from other sessions of this initiator.
    pub fn new(target: &str, number: usize) -> Self {
        Session {
            target: target.to_string(),
            number,
            logged_in: false,
            cmd_sn: 1,
            expected_stat_sn: 0,
            max_segment: DEFAULT_SEGMENT,
            first_burst: MAX_DATA_BYTES,
            immediate: true,
            task: None,
            last_tag: 0,
        }
    }

    fn handle_login(&mut self, pdu: &Pdu) -> Result<Step, String> {
        let (class, detail) = (pdu.header[36], pdu.header[37]);
        if pdu.opcode() != Some(Opcode::LoginResponse) || class != 0 {
            return Err(format!("login rejected: status {class}.{detail}"));
        }
        let keys = text::read(&pdu.data)?;
        let number = |name: &str| text::get(&keys, name).and_then(|value| value.parse::<usize>().ok());
        self.max_segment =
            number("MaxRecvDataSegmentLength").unwrap_or(self.max_segment).clamp(512, MAX_DATA_BYTES);
        self.first_burst = number("FirstBurstLength").unwrap_or(self.first_burst);
        self.immediate &= text::get(&keys, "ImmediateData") != Some("No");
        if pdu.flags() & FINAL == 0 || pdu.flags() & 3 != 3 {
            return Err("the login response does not enter the full feature phase".into());
        }
        self.logged_in = true;
        Ok(Step::Ready)
    }

    fn handle(&mut self, pdu: Pdu, output: &mut Vec<u8>) -> Result<Step, String> {
        let current = self.task.as_ref().is_some_and(|task| task.tag == pdu.task_tag());
        match pdu.opcode() {
            Some(Opcode::NopIn) => {
                if pdu.u32(20) != NO_TAG {
                    let mut nop =
                        Pdu::new(Opcode::NopOut, NO_TAG).with(20, pdu.u32(20)).with(24, self.cmd_sn);
                    nop.header[0] |= 0x40;
                    nop.with(28, self.expected_stat_sn).with_data(pdu.data).write(output);
                }
                Ok(Step::Incomplete)
            }
            Some(Opcode::AsyncMessage) => Ok(Step::Closing),
            Some(Opcode::DataIn) if current => self.handle_data(&pdu),
            Some(Opcode::R2t) if current => self.handle_r2t(&pdu, output),
            Some(Opcode::ScsiResponse) if current => {
                // A target that could not complete the command reports that in the response byte.
                let status = if pdu.header[2] == 0 { pdu.header[3] } else { scsi::CHECK_CONDITION };
                Ok(self.finish(status, pdu.flags()))
            }
            Some(Opcode::Reject) => Ok(self.finish(scsi::CHECK_CONDITION, 0)),
            _ => Err(format!("unexpected PDU {:#04x}", pdu.header[0])),
        }
    }

    fn handle_data(&mut self, pdu: &Pdu) -> Result<Step, String> {
        let Some(task) = &mut self.task else { return Ok(Step::Incomplete) };
        let in_order = pdu.u32(40) as usize == task.value.len();
        if !in_order || task.value.len() + pdu.data.len() > task.expected {
            return Err("Data-In out of order or beyond the expected length".into());
        }
        task.value.extend_from_slice(&pdu.data);
        let with_status = pdu.flags() & 0x01 != 0;
        Ok(if with_status { self.finish(pdu.header[3], pdu.flags()) } else { Step::Incomplete })
    }

    /// Answers an R2T with the requested data.
    fn handle_r2t(&mut self, r2t: &Pdu, output: &mut Vec<u8>) -> Result<Step, String> {
        let Some(task) = &mut self.task else { return Ok(Step::Incomplete) };
        let (start, length) = (r2t.u32(40) as usize, r2t.u32(44) as usize);
        let requested = start.checked_add(length).and_then(|end| task.body.get(start..end));
        let requested = requested
            .filter(|requested| !requested.is_empty())
            .ok_or("R2T requests data beyond the end of the body")?;
        let count = requested.len().div_ceil(self.max_segment);
        for (number, piece) in requested.chunks(self.max_segment).enumerate() {
            let mut pdu = Pdu::new(Opcode::DataOut, task.tag)
                .with_flags(if number + 1 == count { FINAL } else { 0 })
                .with(20, r2t.u32(20))
                .with(28, self.expected_stat_sn)
                .with(36, number as u32)
                .with(40, (start + number * self.max_segment) as u32)
                .with_data(piece);
            pdu.header[8..16].copy_from_slice(&task.lun);
            pdu.write(output);
        }
        task.sent = task.sent.max(start + length);
        Ok(Step::Incomplete)
    }

    fn finish(&mut self, status: u8, flags: u8) -> Step {
        let Some(task) = self.task.take() else { return Step::Incomplete };
        let incomplete = task.value.len() < task.expected && flags & 0x02 == 0;
        Step::Ended(match status {
            scsi::GOOD if !incomplete => {
                AttemptResult { value: task.value, ..AttemptResult::without_reply(Outcome::Served) }
            }
            // Both statuses say that the command was not started (SAM-5, 5.3.1).
            scsi::BUSY | scsi::TASK_SET_FULL => AttemptResult::without_reply(Outcome::Rejected),
            _ => AttemptResult::without_reply(Outcome::Error),
        })
    }
}

impl super::Session for Session {
    fn open(&mut self, output: &mut Vec<u8>) -> bool {
        let data = MAX_DATA_BYTES.to_string();
        let keys = [
            ("InitiatorName", INITIATOR_NAME),
            ("SessionType", "Normal"),
            ("TargetName", &self.target),
            ("HeaderDigest", "None"),
            ("DataDigest", "None"),
            ("MaxConnections", "1"),
            ("InitialR2T", "Yes"),
            ("ImmediateData", "Yes"),
            ("MaxRecvDataSegmentLength", &data),
            ("MaxBurstLength", "262144"),
            ("FirstBurstLength", &data),
            ("MaxOutstandingR2T", "1"),
            ("DefaultTime2Wait", "2"),
            ("DefaultTime2Retain", "0"),
            ("DataPDUInOrder", "Yes"),
            ("DataSequenceInOrder", "Yes"),
            ("ErrorRecoveryLevel", "0"),
            ("iSCSIProtocolLevel", "2"),
        ];
        let mut login = Pdu::new(Opcode::LoginRequest, 0)
            .with_flags(LOGIN_FLAGS)
            .with(24, self.cmd_sn)
            .with_data(text::write(&keys));
        login.header[0] |= 0x40;
        // An ISID of the random type. Reusing one would end the other session.
        let process = std::process::id().to_be_bytes();
        let number = (self.number as u32).to_be_bytes();
        login.header[8..14].copy_from_slice(&[0x80, process[2], process[3], number[1], number[2], number[3]]);
        login.write(output);
        false
    }

    fn start(&mut self, content: &Content, _: Duration, output: &mut Vec<u8>) -> bool {
        let Some(extent) = content.extent else { return false };
        self.last_tag = self.last_tag.wrapping_add(1) & 0x7fff_ffff;
        let write = content.operation == Operation::Write;
        let length = extent.blocks as usize * extent.block_bytes as usize;
        let lun = scsi::lun_field(extent.lun);
        let immediate_length =
            if self.immediate { self.first_burst.min(self.max_segment).min(content.body.len()) } else { 0 };
        let mut command = Pdu::new(Opcode::ScsiCommand, self.last_tag)
            .with_flags(FINAL | SIMPLE_QUEUE | if write { WRITE_FLAG } else { READ_FLAG })
            .with(20, length as u32)
            .with(24, self.cmd_sn)
            .with(28, self.expected_stat_sn)
            .with_data(&content.body[..immediate_length]);
        command.header[8..16].copy_from_slice(&lun);
        command.header[32..48].copy_from_slice(&Cdb::transfer(write, extent.block, extent.blocks));
        command.write(output);
        self.cmd_sn = self.cmd_sn.wrapping_add(1);
        let (body, expected) = (content.body.clone(), if write { 0 } else { length });
        self.task =
            Some(Task { tag: self.last_tag, lun, body, sent: immediate_length, value: Vec::new(), expected });
        true
    }

    fn reuse_delay(&self) -> Duration {
        // Each PDU names its task, so a late one cannot be taken for the next command's.
        Duration::ZERO
    }

    fn is_sent(&self) -> bool {
        self.task.as_ref().is_none_or(|task| task.sent >= task.body.len())
    }

    fn buffered_bytes(&self) -> usize {
        self.task.as_ref().map_or(0, |task| task.body.len() + task.value.capacity())
    }

    fn input(&mut self, input: &mut Vec<u8>, output: &mut Vec<u8>) -> Result<Step, String> {
        while let Some((pdu, length)) = Pdu::parse(input, MAX_DATA_BYTES)? {
            input.drain(..length);
            if !matches!(pdu.opcode(), Some(Opcode::R2t)) && pdu.u32(24) != 0 {
                self.expected_stat_sn = pdu.u32(24).wrapping_add(1);
            }
            let step = if self.logged_in { self.handle(pdu, output)? } else { self.handle_login(&pdu)? };
            if step != Step::Incomplete {
                return Ok(step);
            }
        }
        Ok(Step::Incomplete)
    }
}
