//! Messages between replicas: a header with format, group and checksum, then the `raft` crate's encoding.
//!
//! The crate panics on some messages that no correct replica sends. [`check`] refuses all of those first.

use super::machine::StateMachine;
use super::{Proposal, MAX_MESSAGE_BYTES, MAX_PROPOSAL_BYTES};
use crate::revisions::store::{GroupId, Identity};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, EntryType, Message, MessageType};
use sha2::{Digest, Sha256};

/// The version of the message format.
const FORMAT: u8 = 1;
const GROUP_END: usize = 17;
const HEADER_BYTES: usize = 25;
/// Bound above all terms and indexes that can occur, so that additions can't overflow.
const MAX_TERM_OR_INDEX: u64 = 1 << 60;

/// The replica's own state, against which received messages are checked.
pub(super) struct ReplicaState<'a> {
    pub identity: &'a Identity,
    pub term: u64,
    pub last_index: u64,
    pub is_leader: bool,
}

/// Encodes a message, with its header, for this group.
pub(super) fn encode(group: &GroupId, message: &Message) -> Vec<u8> {
    let payload = message.write_to_bytes().unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.push(FORMAT);
    bytes.extend(group.0);
    bytes.extend(checksum(group, &payload));
    bytes.extend(payload);
    bytes
}

/// Checks the header and decodes a message.
///
/// # Errors
///
/// The message belongs to another group, has an unknown format, is corrupt or too long.
pub(super) fn decode(group: &GroupId, bytes: &[u8]) -> Result<Message, &'static str> {
    if bytes.len() < HEADER_BYTES || bytes[0] != FORMAT {
        return Err("of an unknown format");
    }
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err("too long");
    }
    if bytes[1..GROUP_END] != group.0 {
        return Err("of another group");
    }
    let payload = &bytes[HEADER_BYTES..];
    if bytes[GROUP_END..HEADER_BYTES] != checksum(group, payload) {
        return Err("spoilt");
    }
    Message::parse_from_bytes(payload).map_err(|_| "spoilt")
}

fn checksum(group: &GroupId, payload: &[u8]) -> [u8; 8] {
    let mut hash = Sha256::new();
    hash.update(group.0);
    hash.update(payload);
    let digest = hash.finalize();
    let mut sum = [0; 8];
    sum.copy_from_slice(&digest[..8]);
    sum
}

/// Checks what holds for every message of a correct replica.
///
/// # Errors
///
/// What is wrong with the message, as the predicate of a sentence with "it is".
pub(super) fn check(message: &Message, replica_state: &ReplicaState) -> Result<(), &'static str> {
    check_endpoints(message, replica_state)?;
    check_bounds(message)?;
    // A follower's response refers to the log of its leader, which is this replica if it leads in the same term.
    let refers_to_own_log = replica_state.is_leader && message.term == replica_state.term;
    match message.get_msg_type() {
        MessageType::MsgPropose if !replica_state.is_leader => {
            Err("a proposal to a voter that is not the leader")
        }
        MessageType::MsgPropose => check_forwarded(message),
        _ if message.term == 0 => Err("without a term"),
        MessageType::MsgAppend => check_append(message),
        MessageType::MsgSnapshot => check_snapshot(message, replica_state),
        MessageType::MsgHeartbeat if message.commit > replica_state.last_index => {
            Err("a commit beyond the log")
        }
        MessageType::MsgAppendResponse | MessageType::MsgHeartbeatResponse
            if refers_to_own_log && message.index.max(message.commit) > replica_state.last_index =>
        {
            Err("a response beyond the log")
        }
        MessageType::MsgHeartbeat
        | MessageType::MsgAppendResponse
        | MessageType::MsgHeartbeatResponse
        | MessageType::MsgRequestVote
        | MessageType::MsgRequestVoteResponse
        | MessageType::MsgRequestPreVote
        | MessageType::MsgRequestPreVoteResponse => check_no_payload(message),
        _ => Err("of a kind that is not sent"),
    }
}

fn check_endpoints(message: &Message, replica_state: &ReplicaState) -> Result<(), &'static str> {
    let identity = replica_state.identity;
    if message.to != identity.voter.0 {
        return Err("addressed to another voter");
    }
    let is_voter = identity.voters.iter().any(|voter| voter.0 == message.from);
    if !is_voter || message.from == identity.voter.0 {
        return Err("from an unknown voter");
    }
    Ok(())
}

fn check_bounds(message: &Message) -> Result<(), &'static str> {
    let numbers = [
        message.term,
        message.log_term,
        message.index,
        message.commit,
        message.commit_term,
        message.reject_hint,
    ];
    if numbers.iter().any(|number| *number >= MAX_TERM_OR_INDEX) {
        return Err("with a number out of range");
    }
    if message.request_snapshot != 0 || !message.context.is_empty() {
        return Err("with a field that is never used");
    }
    Ok(())
}

fn check_no_payload(message: &Message) -> Result<(), &'static str> {
    if message.entries.is_empty() && message.snapshot.is_none() {
        Ok(())
    } else {
        Err("with an unexpected payload")
    }
}

fn check_forwarded(message: &Message) -> Result<(), &'static str> {
    let [entry] = message.get_entries() else { return Err("without exactly one proposal") };
    check_entry(entry)?;
    let proposal: Result<Proposal, _> = postcard::from_bytes(&entry.data);
    proposal.map(|_| ()).map_err(|_| "with a proposal that can't be read")
}

fn check_entry(entry: &Entry) -> Result<(), &'static str> {
    if entry.get_entry_type() != EntryType::EntryNormal || !entry.context.is_empty() {
        return Err("with an entry of a kind that is never used");
    }
    if entry.data.len() > MAX_PROPOSAL_BYTES {
        return Err("with an entry that is too long");
    }
    Ok(())
}

fn check_append(message: &Message) -> Result<(), &'static str> {
    if (message.index == 0) != (message.log_term == 0) || message.log_term > message.term {
        return Err("with an invalid previous index or term");
    }
    if message.snapshot.is_some() {
        return Err("with an unexpected snapshot");
    }
    let mut term = message.log_term.max(1);
    for (position, entry) in message.get_entries().iter().enumerate() {
        check_entry(entry)?;
        let expected = message.index + 1 + position as u64;
        if entry.index != expected || entry.term < term || entry.term > message.term {
            return Err("with entries out of order");
        }
        term = entry.term;
    }
    Ok(())
}

fn check_snapshot(message: &Message, replica_state: &ReplicaState) -> Result<(), &'static str> {
    if !message.entries.is_empty() {
        return Err("with unexpected entries");
    }
    let snapshot = message.get_snapshot();
    let metadata = snapshot.get_metadata();
    if !(1..MAX_TERM_OR_INDEX).contains(&metadata.index) || metadata.term == 0 || metadata.term > message.term
    {
        return Err("with a snapshot of an invalid index or term");
    }
    let expected = ConfState { voters: replica_state.identity.ids(), ..ConfState::default() };
    if *metadata.get_conf_state() != expected {
        return Err("with a snapshot of other voters");
    }
    match StateMachine::decode(&snapshot.data) {
        Some(_) => Ok(()),
        None => Err("with a snapshot that can't be read"),
    }
}
