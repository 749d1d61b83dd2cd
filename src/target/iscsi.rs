//! Storage that speaks iSCSI (RFC 7143): here the program is the initiator, with one command out at a time.

use super::Step;
use crate::core::{Content, Ended, Operation};
use crate::interface::Outcome;
use crate::iscsi::pdu::{FINAL, NO_TAG};
use crate::iscsi::scsi::{self, Cdb};
use crate::iscsi::{text, Opcode, Pdu};
use std::time::Duration;

const INITIATOR: &str = "iqn.2026-12.topazpath:initiator";
/// Largest data segment accepted, and the most put into one.
const MOST_DATA: usize = 64 * 1024;
/// What a target accepts unless it says otherwise (RFC 7143, 13.12 and 13.14).
const DEFAULT_SEGMENT: usize = 8192;
/// From the operational stage straight to full feature phase.
const LOGIN_FLAGS: u8 = FINAL | 1 << 2 | 3;
/// Flags of a SCSI Command beside the final one: it reads, it writes, simple queuing.
const READS: u8 = 0x40;
const WRITES: u8 = 0x20;
const SIMPLE: u8 = 0x01;

/// One session of one connection.
pub struct Session {
    target: String,
    number: usize,
    logged_in: bool,
    cmd_sn: u32,
    expected_stat_sn: u32,
    /// Largest data segment that the target accepts.
    segment: usize,
    first_burst: usize,
    immediate: bool,
    task: Option<Task>,
    last_tag: u32,
}

struct Task {
    tag: u32,
    lun: [u8; 8],
    body: Vec<u8>,
    /// How much of the body was put out.
    sent: usize,
    value: Vec<u8>,
    expected: usize,
}

impl Session {
    /// A session with the target of this name; `number` tells it from others of this initiator.
    pub fn new(target: &str, number: usize) -> Self {
        Session {
            target: target.to_string(),
            number,
            logged_in: false,
            cmd_sn: 1,
            expected_stat_sn: 0,
            segment: DEFAULT_SEGMENT,
            first_burst: MOST_DATA,
            immediate: true,
            task: None,
            last_tag: 0,
        }
    }

    fn take_login(&mut self, pdu: &Pdu) -> Result<Step, String> {
        let (class, detail) = (pdu.header[36], pdu.header[37]);
        if pdu.opcode() != Some(Opcode::LoginResponse) || class != 0 {
            return Err(format!("login declined: status {class}.{detail}"));
        }
        let keys = text::read(&pdu.data)?;
        let number = |name: &str| text::get(&keys, name).and_then(|value| value.parse::<usize>().ok());
        self.segment = number("MaxRecvDataSegmentLength").unwrap_or(self.segment).clamp(512, MOST_DATA);
        self.first_burst = number("FirstBurstLength").unwrap_or(self.first_burst);
        self.immediate &= text::get(&keys, "ImmediateData") != Some("No");
        if pdu.flags() & FINAL == 0 || pdu.flags() & 3 != 3 {
            return Err("login does not reach the full feature phase".into());
        }
        self.logged_in = true;
        Ok(Step::Ready)
    }

    fn take(&mut self, pdu: Pdu, output: &mut Vec<u8>) -> Result<Step, String> {
        let own = self.task.as_ref().is_some_and(|task| task.tag == pdu.task_tag());
        match pdu.opcode() {
            Some(Opcode::NopIn) => {
                if pdu.u32(20) != NO_TAG {
                    let mut nop =
                        Pdu::new(Opcode::NopOut, NO_TAG).with(20, pdu.u32(20)).with(24, self.cmd_sn);
                    nop.header[0] |= 0x40;
                    nop.with(28, self.expected_stat_sn).with_data(pdu.data).write(output);
                }
                Ok(Step::Waiting)
            }
            Some(Opcode::AsyncMessage) => Ok(Step::Leaving),
            Some(Opcode::DataIn) if own => self.take_data(&pdu),
            Some(Opcode::R2t) if own => self.send_data(&pdu, output),
            Some(Opcode::ScsiResponse) if own => {
                // A target that could not complete the command says so in the response byte.
                let status = if pdu.header[2] == 0 { pdu.header[3] } else { scsi::CHECK_CONDITION };
                Ok(self.finish(status, pdu.flags()))
            }
            Some(Opcode::Reject) => Ok(self.finish(scsi::CHECK_CONDITION, 0)),
            _ => Err(format!("unexpected PDU {:#04x}", pdu.header[0])),
        }
    }

    fn take_data(&mut self, pdu: &Pdu) -> Result<Step, String> {
        let Some(task) = &mut self.task else { return Ok(Step::Waiting) };
        let in_order = pdu.u32(40) as usize == task.value.len();
        if !in_order || task.value.len() + pdu.data.len() > task.expected {
            return Err("data out of order or too much".into());
        }
        task.value.extend_from_slice(&pdu.data);
        let with_status = pdu.flags() & 0x01 != 0;
        Ok(if with_status { self.finish(pdu.header[3], pdu.flags()) } else { Step::Waiting })
    }

    /// Answers an R2T with the data that it asks for.
    fn send_data(&mut self, r2t: &Pdu, output: &mut Vec<u8>) -> Result<Step, String> {
        let Some(task) = &mut self.task else { return Ok(Step::Waiting) };
        let (start, length) = (r2t.u32(40) as usize, r2t.u32(44) as usize);
        let wanted = start.checked_add(length).and_then(|end| task.body.get(start..end));
        let wanted = wanted.filter(|wanted| !wanted.is_empty()).ok_or("an R2T beyond the data")?;
        let count = wanted.len().div_ceil(self.segment);
        for (number, piece) in wanted.chunks(self.segment).enumerate() {
            let mut pdu = Pdu::new(Opcode::DataOut, task.tag)
                .with_flags(if number + 1 == count { FINAL } else { 0 })
                .with(20, r2t.u32(20))
                .with(28, self.expected_stat_sn)
                .with(36, number as u32)
                .with(40, (start + number * self.segment) as u32)
                .with_data(piece);
            pdu.header[8..16].copy_from_slice(&task.lun);
            pdu.write(output);
        }
        task.sent = task.sent.max(start + length);
        Ok(Step::Waiting)
    }

    fn finish(&mut self, status: u8, flags: u8) -> Step {
        let Some(task) = self.task.take() else { return Step::Waiting };
        let short = task.value.len() < task.expected && flags & 0x02 == 0;
        Step::Ended(match status {
            scsi::GOOD if !short => Ended { value: task.value, ..Ended::bare(Outcome::Served) },
            // Both say that the command was not begun (SAM-5, 5.3.1).
            scsi::BUSY | scsi::TASK_SET_FULL => Ended::bare(Outcome::Rejected),
            _ => Ended::bare(Outcome::Error),
        })
    }
}

impl super::Session for Session {
    fn open(&mut self, output: &mut Vec<u8>) -> bool {
        let data = MOST_DATA.to_string();
        let keys = [
            ("InitiatorName", INITIATOR),
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
        // An ISID of the random kind; one used twice would end the other session.
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
        let at_once =
            if self.immediate { self.first_burst.min(self.segment).min(content.body.len()) } else { 0 };
        let mut command = Pdu::new(Opcode::ScsiCommand, self.last_tag)
            .with_flags(FINAL | SIMPLE | if write { WRITES } else { READS })
            .with(20, length as u32)
            .with(24, self.cmd_sn)
            .with(28, self.expected_stat_sn)
            .with_data(&content.body[..at_once]);
        command.header[8..16].copy_from_slice(&lun);
        command.header[32..48].copy_from_slice(&Cdb::transfer(write, extent.block, extent.blocks));
        command.write(output);
        self.cmd_sn = self.cmd_sn.wrapping_add(1);
        let (body, expected) = (content.body.clone(), if write { 0 } else { length });
        self.task = Some(Task { tag: self.last_tag, lun, body, sent: at_once, value: Vec::new(), expected });
        true
    }

    fn rest(&self) -> Duration {
        // Each PDU names its task.
        Duration::ZERO
    }

    fn is_sent(&self) -> bool {
        self.task.as_ref().is_none_or(|task| task.sent >= task.body.len())
    }

    fn input(&mut self, input: &mut Vec<u8>, output: &mut Vec<u8>) -> Result<Step, String> {
        while let Some((pdu, length)) = Pdu::parse(input, MOST_DATA)? {
            input.drain(..length);
            if !matches!(pdu.opcode(), Some(Opcode::R2t)) && pdu.u32(24) != 0 {
                self.expected_stat_sn = pdu.u32(24).wrapping_add(1);
            }
            let step = if self.logged_in { self.take(pdu, output)? } else { self.take_login(&pdu)? };
            if step != Step::Waiting {
                return Ok(step);
            }
        }
        Ok(Step::Waiting)
    }
}
