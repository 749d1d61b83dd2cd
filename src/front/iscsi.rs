//! Clients that speak iSCSI (RFC 7143): this front is the target, with one connection to a session.
//!
//! A transfer becomes a request of the core. Refused is SCSI BUSY with a retry delay in the status qualifier,
//! failed is CHECK CONDITION; whatever else a client asks for is answered here.

use super::{Abandoned, CloseConnection, Declined, Intake, Protocol, StallLimits, MOVED_RETRY_AFTER};
use crate::config::iscsi::{Export, Iscsi, Unit};
use crate::core::{Answer, Content, Extent, Operation};
use crate::interface::{NewRequest, RequestId, Settings};
use crate::iscsi::pdu::{is_before, FINAL, HEADER, NO_TAG};
use crate::iscsi::scsi::{self, Cdb, Sense};
use crate::iscsi::{text, Opcode, Pdu};
use crate::memory::{Budget, Grant, Purpose};
use std::cell::Cell;
use std::collections::HashMap;
use std::time::Duration;

/// Commands that a session may have open: the CmdSN window.
const CMD_SN_WINDOW: u32 = 16;
/// Open commands above which no more are taken. Those for immediate delivery are not counted by the window.
const MAX_TASKS: usize = 2 * CMD_SN_WINDOW as usize;
/// Memory that is counted for a task besides its data, in bytes.
const TASK_BYTES: usize = 512;
/// Largest data segment that is accepted, in bytes.
const MAX_DATA_SEGMENT: usize = 64 * 1024;
/// Largest data segment that an initiator accepts unless it declares another (RFC 7143, 13.12).
const DEFAULT_SEGMENT: usize = 8192;
const FIRST_BURST: usize = 64 * 1024;
const MAX_BURST: usize = 256 * 1024;
/// Length of the part of a PDU whose arrival counts as that of the PDU.
const FIRST_BYTE: usize = 1;
/// Login stages.
const OPERATIONAL: u8 = 1;
const FULL_FEATURE: u8 = 3;
/// Reason codes of a Reject.
const PROTOCOL_ERROR: u8 = 0x04;
const NOT_SUPPORTED: u8 = 0x05;
const INVALID_PDU_FIELD: u8 = 0x09;

/// The iSCSI protocol, with the targets that are offered.
pub struct Target {
    config: Iscsi,
    /// Time that requests of each class may take, by class: iSCSI states no deadline.
    class_timeouts: Vec<Duration>,
    /// Retry delay for declined requests.
    retry_after: Duration,
    /// Memory for the data of transfers.
    budget: Budget,
    /// The id given to the last request: nodes of the RESP protocol require a unique one.
    last_id: Cell<u64>,
}

impl Target {
    /// `seed` is where ids start; it keeps those of several processes apart.
    pub fn new(
        config: Iscsi,
        class_timeouts: Vec<Duration>,
        retry_after: Duration,
        budget: Budget,
        seed: u64,
    ) -> Self {
        Target { config, class_timeouts, retry_after, budget, last_id: Cell::new(seed) }
    }

    /// The offered targets and the retry delay for declined requests.
    #[cfg(test)]
    pub fn config_and_retry_after(&self) -> (&Iscsi, Duration) {
        (&self.config, self.retry_after)
    }

    /// Applies new settings.
    pub fn reconfigure(&mut self, settings: &Settings) {
        self.retry_after = settings.limits.max_retry_after;
        self.config.set_largest(settings.units.largest);
    }
}

/// State of one session.
pub struct Session {
    /// Index of the target that was logged in to; `None` in a discovery session.
    target: Option<usize>,
    logged_in: bool,
    expected_cmd_sn: u32,
    stat_sn: u32,
    /// Largest data segment that the initiator accepts.
    max_send_segment: usize,
    max_burst: usize,
    tasks: HashMap<u64, Task>,
    next_sequence: u64,
    /// When data of a write last arrived, and when the last write became whole; at the earliest when the first of the writes
    /// that are not whole was begun.
    data_at: Duration,
    whole_at: Duration,
}

/// A transfer without a status.
struct Task {
    tag: u32,
    lun: [u8; 8],
    /// Expected data transfer length, in bytes.
    expected_length: usize,
    /// Set once all data have been received and the request is submitted.
    request: Option<RequestId>,
    transfer: Transfer,
    /// Data of a write received so far, and the number of R2Ts sent for more.
    body: Vec<u8>,
    r2ts: u32,
    /// Memory for all data of the transfer, taken before any of them are requested. The core counts those of a write that
    /// is whole.
    memory: Option<Grant>,
}

#[derive(Clone, Copy)]
struct Transfer {
    target: usize,
    lun: u16,
    write: bool,
    block: u64,
    blocks: u32,
}

impl Protocol for Target {
    type Session = Session;

    fn new_session(&self) -> Session {
        Session {
            target: None,
            logged_in: false,
            expected_cmd_sn: 0,
            stat_sn: 1,
            max_send_segment: DEFAULT_SEGMENT,
            max_burst: MAX_BURST,
            tasks: HashMap::new(),
            next_sequence: 0,
            data_at: Duration::ZERO,
            whole_at: Duration::ZERO,
        }
    }

    fn handle_command(
        &self,
        session: &mut Session,
        input: &[u8],
        output: &mut Vec<u8>,
        intake: &mut Intake,
    ) -> Result<usize, CloseConnection> {
        let (pdu, length) = match Pdu::parse(input, MAX_DATA_SEGMENT) {
            Ok(None) => return Ok(0),
            Ok(Some(whole)) => whole,
            Err(_) => {
                // The framing is lost: what follows would be data, not a header.
                let header = input.first_chunk::<HEADER>().map(|header| header.to_vec()).unwrap_or_default();
                session.reject(INVALID_PDU_FIELD, header, output);
                return Err(CloseConnection);
            }
        };
        if !session.logged_in {
            return self.handle_login(session, &pdu, output).map(|()| length);
        }
        let opcode = pdu.opcode();
        if opcode != Some(Opcode::DataOut) && !pdu.is_immediate() {
            let (sn, expected) = (pdu.u32(24), session.expected_cmd_sn);
            if is_before(sn, expected) || !is_before(sn, session.max_cmd_sn().wrapping_add(1)) {
                // Outside the window, which includes repeats: ignored as RFC 7143, 4.2.2.1 requires.
                return Ok(length);
            }
            if sn != expected {
                // One connection carries all commands in order, so the missing one will never arrive.
                session.reject(PROTOCOL_ERROR, pdu.header.to_vec(), output);
                return Err(CloseConnection);
            }
            session.expected_cmd_sn = expected.wrapping_add(1);
        }
        match opcode {
            Some(Opcode::ScsiCommand) => self.handle_scsi_command(session, pdu, output, intake),
            Some(Opcode::DataOut) => self.handle_data_out(session, pdu, output, intake)?,
            Some(Opcode::NopOut) if pdu.task_tag() != NO_TAG => {
                let nop = Pdu::new(Opcode::NopIn, pdu.task_tag()).with(20, NO_TAG).with_data(pdu.data);
                session.respond(nop, output);
            }
            Some(Opcode::NopOut) => {}
            Some(Opcode::TextRequest) => self.handle_text(session, &pdu, output),
            Some(Opcode::TaskManagementRequest) => session.handle_task_management(&pdu, output, intake),
            Some(Opcode::LogoutRequest) => {
                session.abort_tasks(intake, |_| true);
                session.respond(Pdu::new(Opcode::LogoutResponse, pdu.task_tag()), output);
                return Err(CloseConnection);
            }
            Some(Opcode::LoginRequest) => {
                session.reject(PROTOCOL_ERROR, pdu.header.to_vec(), output);
                return Err(CloseConnection);
            }
            _ => session.reject(NOT_SUPPORTED, pdu.header.to_vec(), output),
        }
        Ok(length)
    }

    fn write_answer(&self, session: &mut Session, sequence: u64, answer: Answer, output: &mut Vec<u8>) {
        let Some(task) = session.tasks.remove(&sequence) else { return };
        match answer {
            Answer::Served(_) if task.transfer.write => {
                session.write_status(&task, scsi::GOOD, 0, Vec::new(), output)
            }
            Answer::Served(value) => session.write_data_in(&task, &value, output),
            Answer::Refused { retry_after } => {
                session.write_status(&task, scsi::BUSY, scsi::retry_delay(retry_after), Vec::new(), output);
            }
            Answer::Failed => session.write_sense(&task, scsi::COMMUNICATION_FAILURE, output),
        }
    }

    fn granted_input(&self, session: &Session) -> usize {
        let unfinished = session.tasks.values().filter(|task| task.request.is_none());
        unfinished.map(|task| task.expected_length - task.body.len()).sum()
    }

    fn abandon_unfinished(&self, session: &mut Session, reason: Abandoned, output: &mut Vec<u8>) {
        let unfinished = session.tasks.extract_if(|_, task| task.request.is_none());
        for (_, task) in unfinished.collect::<Vec<_>>() {
            match reason {
                Abandoned::ByClient => session.write_sense(&task, scsi::DATA_PHASE_ERROR, output),
                Abandoned::Ending => self.write_declined(session, &task, Declined::Draining, output),
            }
        }
    }

    fn is_stalled(&self, session: &Session, limits: &StallLimits) -> bool {
        let late = session.data_at < limits.data_since || session.whole_at < limits.whole_since;
        late && session.awaits_data()
    }

    fn open_requests(&self, session: &Session) -> Vec<RequestId> {
        session.tasks.values().filter_map(|task| task.request).collect()
    }

    fn has_sent_command(&self, session: &Session) -> bool {
        session.logged_in
    }

    fn is_idle(&self, session: &Session) -> bool {
        session.tasks.is_empty()
    }

    fn is_evictable(&self, session: &Session) -> bool {
        // An initiator expects its session to last between commands; a connection without a login has no
        // session to lose.
        !session.logged_in
    }
}

// ---------------------------------------------------------------- login and text

impl Target {
    fn handle_login(
        &self,
        session: &mut Session,
        pdu: &Pdu,
        output: &mut Vec<u8>,
    ) -> Result<(), CloseConnection> {
        if pdu.opcode() != Some(Opcode::LoginRequest) {
            return Err(CloseConnection);
        }
        let (transit, stage, next) = (pdu.flags() & FINAL != 0, pdu.flags() >> 2 & 3, pdu.flags() & 3);
        session.expected_cmd_sn = pdu.u32(24);
        let answer = text::read(&pdu.data).map_err(|_| (2, 0)).and_then(|keys| {
            let partial = pdu.flags() & 0x40 != 0;
            if partial || stage > OPERATIONAL || (transit && next <= stage) {
                return Err((2, 0));
            }
            self.negotiate(session, &keys)
        });
        let mut response = Pdu::new(Opcode::LoginResponse, pdu.task_tag()).with_flags(stage << 2);
        response.header[8..14].copy_from_slice(&pdu.header[8..14]);
        match answer {
            Ok(keys) => {
                let keys: Vec<_> = keys.iter().map(|(name, value)| (*name, value.as_str())).collect();
                response.data = text::write(&keys);
                if transit {
                    response.header[1] |= FINAL | next;
                    response.header[15] = 1;
                    session.logged_in = next == FULL_FEATURE;
                }
                session.respond(response, output);
                Ok(())
            }
            Err((class, detail)) => {
                (response.header[36], response.header[37]) = (class, detail);
                session.respond(response, output);
                Err(CloseConnection)
            }
        }
    }

    /// Negotiates the keys that an initiator offers and returns the answers; an error is the status class and
    /// detail of the login response.
    fn negotiate(
        &self,
        session: &mut Session,
        keys: &[(String, String)],
    ) -> Result<Vec<(&'static str, String)>, (u8, u8)> {
        let mut answers = Vec::new();
        let is_discovery = text::get(keys, "SessionType") == Some("Discovery");
        if let Some(name) = text::get(keys, "TargetName") {
            let found = self.config.exports.iter().position(|export| export.name == name);
            session.target = Some(found.ok_or((2, 3))?);
            answers.push(("TargetPortalGroupTag", "1".to_string()));
        }
        let at_most = |value: &str, max: usize| value.parse().map_or(max, |offer: usize| offer.min(max));
        for (name, value) in keys {
            let (name, answer) = match name.as_str() {
                "InitiatorName" | "InitiatorAlias" | "SessionType" | "TargetName" => continue,
                "MaxRecvDataSegmentLength" => {
                    session.max_send_segment = at_most(value, MAX_DATA_SEGMENT).max(512);
                    ("MaxRecvDataSegmentLength", MAX_DATA_SEGMENT.to_string())
                }
                "MaxBurstLength" => {
                    session.max_burst = at_most(value, MAX_BURST).max(512);
                    ("MaxBurstLength", session.max_burst.to_string())
                }
                "FirstBurstLength" => ("FirstBurstLength", at_most(value, FIRST_BURST).to_string()),
                "AuthMethod" => ("AuthMethod", "None".to_string()),
                "HeaderDigest" => ("HeaderDigest", "None".to_string()),
                "DataDigest" => ("DataDigest", "None".to_string()),
                "InitialR2T" => ("InitialR2T", "Yes".to_string()),
                "ImmediateData" => ("ImmediateData", value.clone()),
                "DataPDUInOrder" => ("DataPDUInOrder", "Yes".to_string()),
                "DataSequenceInOrder" => ("DataSequenceInOrder", "Yes".to_string()),
                "MaxConnections" => ("MaxConnections", "1".to_string()),
                "MaxOutstandingR2T" => ("MaxOutstandingR2T", "1".to_string()),
                "ErrorRecoveryLevel" => ("ErrorRecoveryLevel", "0".to_string()),
                "DefaultTime2Wait" => ("DefaultTime2Wait", value.clone()),
                "DefaultTime2Retain" => ("DefaultTime2Retain", "0".to_string()),
                "iSCSIProtocolLevel" => ("iSCSIProtocolLevel", at_most(value, 2).to_string()),
                _ => continue,
            };
            answers.push((name, answer));
        }
        if session.target.is_none() && !is_discovery && text::get(keys, "InitiatorName").is_some() {
            // A normal session must name its target in its first request.
            return Err((2, 7));
        }
        Ok(answers)
    }

    /// Answers SendTargets with the names of the targets, which are at the address that the client is connected
    /// to.
    fn handle_text(&self, session: &mut Session, pdu: &Pdu, output: &mut Vec<u8>) {
        let keys = text::read(&pdu.data).unwrap_or_default();
        let wanted = text::get(&keys, "SendTargets");
        let offered = |export: &&Export| wanted == Some("All") || wanted == Some(export.name.as_str());
        let names: Vec<_> = self
            .config
            .exports
            .iter()
            .filter(offered)
            .map(|export| ("TargetName", export.name.as_str()))
            .collect();
        let response = Pdu::new(Opcode::TextResponse, pdu.task_tag()).with(20, NO_TAG);
        session.respond(response.with_data(text::write(&names)), output);
    }
}

// ---------------------------------------------------------------- commands

impl Target {
    fn unit(&self, transfer: Transfer) -> &Unit {
        &self.config.exports[transfer.target].units[&transfer.lun]
    }

    fn handle_scsi_command(
        &self,
        session: &mut Session,
        pdu: Pdu,
        output: &mut Vec<u8>,
        intake: &mut Intake,
    ) {
        let mut cdb = [0; 16];
        cdb.copy_from_slice(&pdu.header[32..48]);
        let mut task = Task {
            tag: pdu.task_tag(),
            lun: pdu.lun(),
            expected_length: pdu.u32(20) as usize,
            request: None,
            transfer: Transfer { target: 0, lun: 0, write: false, block: 0, blocks: 0 },
            body: pdu.data,
            r2ts: 0,
            memory: None,
        };
        let export = session.target.map(|target| (target, &self.config.exports[target]));
        let lun = scsi::parse_lun_field(task.lun);
        let addressed_unit =
            export.and_then(|(target, export)| Some((target, lun?, export.units.get(&lun?)?)));
        let data = match (Cdb::parse(&cdb), addressed_unit, export) {
            (Ok(Cdb::ReportLuns), _, Some((_, export))) => report_luns(export),
            (_, None, _) => return session.write_sense(&task, scsi::NO_SUCH_UNIT, output),
            (Err(sense), _, _) => return session.write_sense(&task, sense, output),
            (Ok(Cdb::Transfer { write, block, blocks }), Some((target, lun, unit)), _) => {
                task.transfer = Transfer { target, lun, write, block, blocks };
                if let Err(sense) = check_transfer(unit, &task) {
                    return session.write_sense(&task, sense, output);
                }
                if blocks > 0 {
                    if session.tasks.len() >= MAX_TASKS {
                        return session.write_status(&task, scsi::TASK_SET_FULL, 0, Vec::new(), output);
                    }
                    if let Some(reason) = intake.decline_new(FIRST_BYTE) {
                        // Before any of its data are requested.
                        return self.write_declined(session, &task, reason, output);
                    }
                    let purpose = if write { Purpose::Input } else { Purpose::Request };
                    let length = blocks as usize * unit.block_bytes as usize;
                    task.memory = self.budget.grant(purpose, length + TASK_BYTES);
                    if task.memory.is_none() {
                        return self.write_declined(session, &task, Declined::AtCapacity, output);
                    }
                    if write {
                        // Growing by doubling could allocate up to twice the grant.
                        task.body.reserve_exact(length - task.body.len());
                    }
                    let sequence = session.next_sequence;
                    session.next_sequence += 1;
                    if !session.awaits_data() {
                        (session.data_at, session.whole_at) = (intake.now, intake.now);
                    }
                    return self.request_data_or_submit(session, sequence, task, output, intake);
                }
                Vec::new()
            }
            (Ok(Cdb::Inquiry(page)), Some(_), _) => match inquiry(page) {
                Some(data) => data,
                None => return session.write_sense(&task, scsi::INVALID_FIELD, output),
            },
            (Ok(Cdb::ReadCapacity { long }), Some((_, _, unit)), _) => read_capacity(unit, long),
            (Ok(_), _, _) => Vec::new(),
        };
        session.write_data_in(&task, &data, output);
    }

    /// Requests missing data of a write with an R2T, or submits the request if it is complete.
    fn request_data_or_submit(
        &self,
        session: &mut Session,
        sequence: u64,
        mut task: Task,
        output: &mut Vec<u8>,
        intake: &mut Intake,
    ) {
        if task.transfer.write && task.body.len() < task.expected_length {
            let length = (task.expected_length - task.body.len()).min(session.max_burst) as u32;
            let mut r2t = Pdu::new(Opcode::R2t, task.tag)
                .with(20, sequence as u32)
                .with(24, session.stat_sn)
                .with(36, task.r2ts)
                .with(40, task.body.len() as u32)
                .with(44, length);
            r2t.header[8..16].copy_from_slice(&task.lun);
            task.r2ts += 1;
            session.tasks.insert(sequence, task);
            return session.write(r2t, output);
        }
        let (new, content) = self.build_request(&mut task);
        let timeout = self.class_timeouts[new.class];
        // An id that is in use belongs to the RESP front; the client's retry gets another one. The time counts
        // from the first byte of the last PDU: units are short, and no client states a deadline.
        match intake.submit((sequence, FIRST_BYTE), new, timeout, content) {
            Ok(request) => {
                task.request = Some(request);
                if task.transfer.write {
                    task.memory = None;
                }
                session.tasks.insert(sequence, task);
            }
            Err(reason) => self.write_declined(session, &task, reason, output),
        }
    }

    /// Tells the client to come again.
    fn write_declined(&self, session: &mut Session, task: &Task, reason: Declined, output: &mut Vec<u8>) {
        let retry_after = if reason == Declined::AddressMoved { MOVED_RETRY_AFTER } else { self.retry_after };
        session.write_status(task, scsi::BUSY, scsi::retry_delay(retry_after), Vec::new(), output);
    }

    /// Builds the request for a transfer.
    fn build_request(&self, task: &mut Task) -> (NewRequest, Content) {
        let transfer = task.transfer;
        let unit = self.unit(transfer);
        let bulk = unit.bulk.filter(|(from, _)| transfer.blocks >= *from).map(|(_, class)| class);
        let class = if transfer.write { unit.write_class } else { bulk.unwrap_or(unit.read_class) };
        // Pieces of different volumes must not share a key.
        let key = unit.volume.0.rotate_left(32) ^ transfer.block;
        let new = NewRequest {
            class,
            plan: unit.plan,
            volume: unit.volume,
            key,
            units: unit.units_of(transfer.blocks),
            shard: Some(unit.shard),
            volume_initiators: unit.hosts,
            ..NewRequest::default()
        };
        self.last_id.set(self.last_id.get().wrapping_add(1));
        let id = format!("{:016x}", self.last_id.get());
        let mut attributes = unit.attributes(class, &new);
        if transfer.write {
            attributes += &format!(",k={id}");
        }
        let content = Content {
            operation: if transfer.write { Operation::Write } else { Operation::Read },
            object: format!("{key:016x}"),
            id,
            attributes,
            body: std::mem::take(&mut task.body),
            body_stream: None,
            extent: Some(Extent {
                lun: unit.storage_lun,
                block: transfer.block,
                blocks: transfer.blocks,
                block_bytes: unit.block_bytes,
            }),
        };
        (new, content)
    }

    fn handle_data_out(
        &self,
        session: &mut Session,
        pdu: Pdu,
        output: &mut Vec<u8>,
        intake: &mut Intake,
    ) -> Result<(), CloseConnection> {
        let sequence = session.tasks.iter().find(|(_, it)| it.tag == pdu.task_tag() && it.request.is_none());
        let Some(sequence) = sequence.map(|(sequence, _)| *sequence) else {
            // Data for a task that has ended meanwhile.
            return Ok(());
        };
        let Some(mut task) = session.tasks.remove(&sequence) else { return Ok(()) };
        let in_order = pdu.u32(20) == sequence as u32 && pdu.u32(40) as usize == task.body.len();
        if !in_order || task.body.len() + pdu.data.len() > task.expected_length {
            session.reject(PROTOCOL_ERROR, pdu.header.to_vec(), output);
            session.write_sense(&task, scsi::INVALID_FIELD, output);
            return Ok(());
        }
        task.body.extend_from_slice(&pdu.data);
        if !pdu.data.is_empty() {
            session.data_at = intake.now;
        }
        if task.body.len() == task.expected_length {
            session.whole_at = intake.now;
        }
        if pdu.flags() & FINAL == 0 {
            session.tasks.insert(sequence, task);
        } else {
            self.request_data_or_submit(session, sequence, task, output, intake);
        }
        Ok(())
    }
}

impl Session {
    /// Whether data of any write are still to come.
    fn awaits_data(&self) -> bool {
        self.tasks.values().any(|task| task.request.is_none())
    }

    /// The last command number that the session accepts; the window shrinks with the number of open tasks.
    fn max_cmd_sn(&self) -> u32 {
        self.expected_cmd_sn
            .wrapping_add(CMD_SN_WINDOW.saturating_sub(self.tasks.len() as u32))
            .wrapping_sub(1)
    }

    fn write(&self, mut pdu: Pdu, output: &mut Vec<u8>) {
        pdu.set_u32(28, self.expected_cmd_sn);
        pdu.set_u32(32, self.max_cmd_sn());
        pdu.write(output);
    }

    /// Writes a PDU that takes a status sequence number.
    fn respond(&mut self, mut pdu: Pdu, output: &mut Vec<u8>) {
        pdu.set_u32(24, self.stat_sn);
        self.stat_sn = self.stat_sn.wrapping_add(1);
        self.write(pdu, output);
    }

    fn reject(&mut self, reason: u8, header: Vec<u8>, output: &mut Vec<u8>) {
        let mut reject = Pdu::new(Opcode::Reject, NO_TAG).with_data(header);
        reject.header[2] = reason;
        self.respond(reject, output);
    }

    fn write_status(
        &mut self,
        task: &Task,
        status: u8,
        qualifier: u16,
        sense: Vec<u8>,
        output: &mut Vec<u8>,
    ) {
        let mut response = Pdu::new(Opcode::ScsiResponse, task.tag).with_data(sense);
        response.header[3] = status;
        response.header[8..10].copy_from_slice(&qualifier.to_be_bytes());
        self.respond(response, output);
    }

    fn write_sense(&mut self, task: &Task, sense: Sense, output: &mut Vec<u8>) {
        self.write_status(task, scsi::CHECK_CONDITION, 0, sense.data(), output);
    }

    /// Writes data in segments that the initiator accepts; the last one carries the status.
    fn write_data_in(&mut self, task: &Task, value: &[u8], output: &mut Vec<u8>) {
        let sent = &value[..value.len().min(task.expected_length)];
        if sent.is_empty() {
            return self.write_status(task, scsi::GOOD, 0, Vec::new(), output);
        }
        let (underflow, overflow) = (task.expected_length - sent.len(), value.len() - sent.len());
        let count = sent.len().div_ceil(self.max_send_segment);
        for (number, piece) in sent.chunks(self.max_send_segment).enumerate() {
            let mut pdu = Pdu::new(Opcode::DataIn, task.tag)
                .with_flags(0)
                .with(20, NO_TAG)
                .with(36, number as u32)
                .with(40, (number * self.max_send_segment) as u32)
                .with_data(piece);
            if number + 1 < count {
                self.write(pdu, output);
                continue;
            }
            let residual = if overflow > 0 { 0x04 } else { 0x02 };
            pdu.header[1] = FINAL | 0x01 | if underflow + overflow > 0 { residual } else { 0 };
            pdu.set_u32(44, (underflow + overflow) as u32);
            self.respond(pdu, output);
        }
    }

    /// Handles ABORT TASK and ABORT TASK SET; other functions are not supported.
    fn handle_task_management(&mut self, pdu: &Pdu, output: &mut Vec<u8>, intake: &mut Intake) {
        let tag = pdu.u32(20);
        let mut response = Pdu::new(Opcode::TaskManagementResponse, pdu.task_tag());
        response.header[2] = match pdu.flags() & 0x7f {
            1 => u8::from(self.abort_tasks(intake, |task| task.tag == tag) == 0),
            2 => {
                self.abort_tasks(intake, |task| task.lun == pdu.lun());
                0
            }
            _ => 5,
        };
        self.respond(response, output);
    }

    /// Drops tasks that the client no longer waits for; returns how many.
    fn abort_tasks(&mut self, intake: &mut Intake, selected: impl Fn(&Task) -> bool) -> usize {
        let sequences: Vec<u64> =
            self.tasks.iter().filter(|(_, task)| selected(task)).map(|(sequence, _)| *sequence).collect();
        for sequence in &sequences {
            let task = self.tasks.remove(sequence);
            if let Some(request) = task.and_then(|task| task.request) {
                intake.core.client_gone(request);
            }
        }
        sequences.len()
    }
}

/// Checks that a transfer lies within its unit and the limits of a single transfer.
fn check_transfer(unit: &Unit, task: &Task) -> Result<(), Sense> {
    let Transfer { write, block, blocks, .. } = task.transfer;
    let end = block.checked_add(blocks.into()).filter(|end| *end <= unit.blocks);
    end.ok_or(scsi::OUT_OF_RANGE)?;
    let bytes = u64::from(blocks) * u64::from(unit.block_bytes);
    let fits = bytes <= unit.max_transfer_bytes as u64 && (!write || bytes == task.expected_length as u64);
    if fits && task.body.len() <= task.expected_length {
        Ok(())
    } else {
        Err(scsi::INVALID_FIELD)
    }
}

fn report_luns(export: &Export) -> Vec<u8> {
    let mut data = ((export.units.len() * 8) as u32).to_be_bytes().to_vec();
    data.extend([0; 4]);
    export.units.keys().for_each(|lun| data.extend(scsi::lun_field(*lun)));
    data
}

/// Standard INQUIRY data, or the list of supported vital product data pages.
fn inquiry(page: Option<u8>) -> Option<Vec<u8>> {
    match page {
        None => {
            let mut data = vec![0, 0, 6, 2, 31, 0, 0, 2];
            data.extend(b"TOPAZ   topazpath       0001");
            Some(data)
        }
        Some(0) => Some(vec![0, 0, 0, 1, 0]),
        Some(_) => None,
    }
}

fn read_capacity(unit: &Unit, long: bool) -> Vec<u8> {
    let last = unit.blocks - 1;
    let block_bytes = unit.block_bytes.to_be_bytes();
    if long {
        let mut data = [&last.to_be_bytes()[..], &block_bytes].concat();
        data.resize(32, 0);
        data
    } else {
        [u32::try_from(last).unwrap_or(u32::MAX).to_be_bytes(), block_bytes].concat()
    }
}
