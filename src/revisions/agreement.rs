//! Agreement among planners on the sequence of revisions: the Raft consensus algorithm (Ongaro and Ousterhout, "In
//! Search of an Understandable Consensus Algorithm", 2014) by the `raft` crate, without I/O and without a clock of its
//! own.
//!
//! A log entry is a [`Proposal`]. It becomes a revision if it was made against the revision in force at its position in
//! the log, and is refused otherwise. All replicas decide the same, so no number ever has two contents.
//!
//! The set of voters is fixed: membership changes are not supported. Voters of one group run the same version of the
//! program, since each applies the log by itself.
//!
//! A message that a correct replica can't have sent is dropped with a log line at level `debug` and changes nothing.

mod election;
mod log;
mod machine;
#[cfg(test)]
mod tests;
mod wire;

pub use machine::KEPT_OUTCOMES;

use super::document::{Document, MAX_DOCUMENT_BYTES};
use super::store::{Batch, Identity, ReplicaStore, Snapshot, SnapshotChange, StoreError};
use super::{Revision, RevisionId, RevisionNumber};
use election::ElectionTimeouts;
use log::Log;
use machine::StateMachine;
use raft::eraftpb::{Entry, Message};
use raft::{Config, RawNode, SnapshotStatus, StateRole};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A voter's id, 1 to 5: the position of its name among the planners' names in sorted order, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId(pub u64);

/// Identifies a proposal across planners and restarts, so that the replica it was submitted to recognises it in the
/// log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId(pub u128);

/// A document submitted to become the next revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The proposal's id.
    pub id: ProposalId,
    /// The revision that the author started from: the proposal is accepted only if that is still the newest.
    pub expected: RevisionId,
    /// The author's name.
    pub author: String,
    /// Time of submission, in milliseconds of Unix time.
    pub submitted_ms: u64,
    /// The content of the revision.
    pub document: Document,
}

/// The reason why a proposal did not become a revision, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalError {
    /// The revision in force is not the expected one. A proposal that is submitted again after [`KEPT_OUTCOMES`] others
    /// gets this answer even if it was accepted the first time.
    Conflict {
        /// The revision in force.
        newest: RevisionId,
    },
    /// No majority of the planners is in contact. The proposal was not passed to Raft.
    NoQuorum,
    /// Too many proposals are pending at this replica. The proposal was not passed to Raft.
    Busy,
    /// The proposal timed out after it was passed to Raft. It may have been accepted, or may still be.
    Unknown,
    /// The author or the document is invalid, for this reason.
    Invalid(String),
}

/// An input of a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message from another voter's [`Action::Send`] arrived.
    Message(Vec<u8>),
    /// A document is submitted to this replica.
    Propose(Box<Proposal>),
    /// The time returned by [`Replica::next_timer`] is reached.
    Tick,
}

/// An output of a replica; its owner carries them out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another voter. Raft tolerates its loss.
    Send {
        /// The voter to send it to.
        to: VoterId,
        /// The encoded message: a header with group and checksum, then the `raft` crate's encoding.
        message: Vec<u8>,
    },
    /// The outcome of a proposal that was submitted to this replica.
    Decided {
        /// The proposal.
        id: ProposalId,
        /// The revision that it became, or the reason why it did not become one.
        outcome: Result<RevisionId, ProposalError>,
    },
    /// A revision was accepted, and a majority has it on disk. Numbers ascend; after a snapshot some may be skipped.
    /// Revisions accepted before the start are not repeated: see [`Replica::newest`].
    Accepted(Revision),
    /// Whether a majority of the planners is in contact, after a change. Initially it is not.
    QuorumChanged(bool),
}

/// The configuration of a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Parameters {
    /// The replica's id.
    pub id: VoterId,
    /// All voters, this one included; an odd number, 1 to 5.
    pub voters: Vec<VoterId>,
    /// The time between two Raft ticks. An election starts after 10 to 20 ticks without a leader.
    pub tick: Duration,
    /// Time after which a proposal without an outcome is answered [`ProposalError::Unknown`].
    pub proposal_timeout: Duration,
}

/// The number of revisions kept, which operators can show, compare and revert to.
pub const KEPT_REVISIONS: usize = 64;
/// Limit on an author's name, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 256;
/// Limit on an encoded proposal, in bytes: a document and its metadata.
pub const MAX_PROPOSAL_BYTES: usize = MAX_DOCUMENT_BYTES + 4 * 1024;
/// Limit on a message between replicas, in bytes: a snapshot with [`KEPT_REVISIONS`] revisions of the largest size.
pub const MAX_MESSAGE_BYTES: usize = KEPT_REVISIONS * MAX_PROPOSAL_BYTES + 256 * 1024;
/// Limit on the proposals submitted to one replica that have no outcome yet.
pub const MAX_PENDING_PROPOSALS: usize = 64;

/// Minimum number of ticks without a leader before an election; the timeout is drawn from this up to twice as many.
const ELECTION_TICKS: usize = 10;
/// Ticks between a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 2;
/// Ticks after which a snapshot without confirmation is considered lost and sent again.
const SNAPSHOT_RETRY_TICKS: u32 = 30;
/// Limit on the entries in one message, in bytes; a single larger entry is still sent.
const MESSAGE_ENTRY_BYTES: u64 = 256 * 1024;
/// Limit on messages with entries that are in flight to one voter.
const MESSAGES_IN_FLIGHT: usize = 16;
/// Limit on a leader's uncommitted entries, in bytes.
const UNCOMMITTED_BYTES: u64 = 2 << 20;
/// Limit on the committed entries that are applied in one step, in bytes.
const COMMITTED_BYTES: u64 = 1 << 20;
/// Number of applied log entries at which a snapshot replaces them.
const COMPACTION_ENTRIES: u64 = 128;
/// Bytes of applied log entries at which a snapshot replaces them.
const COMPACTION_BYTES: usize = 2 << 20;

/// One replica of the Raft group. Its owner passes events and time in, and carries out the returned actions.
pub struct Replica<S: ReplicaStore> {
    parameters: Parameters,
    identity: Identity,
    node: RawNode<Log<S>>,
    state_machine: StateMachine,
    /// The index of the last entry applied to the state machine.
    applied: u64,
    /// Proposals submitted to this replica that have no outcome yet, with the time at which they time out.
    pending: BTreeMap<ProposalId, Duration>,
    election_timeouts: ElectionTimeouts,
    /// Ticks since a snapshot was sent, by voter, until the voter confirms it.
    snapshot_wait_ticks: BTreeMap<u64, u32>,
    next_tick: Duration,
    reported_quorum: bool,
}

impl<S: ReplicaStore> Replica<S> {
    /// Starts a replica with the state in the store.
    ///
    /// # Errors
    ///
    /// The store can't be read, or belongs to another voter or group.
    pub fn start(parameters: Parameters, store: S, now: Duration) -> Result<Self, StoreError> {
        let identity = store.identity().clone();
        check_identity(&parameters, &identity)?;
        let log = Log::open(store)?;
        let (state_machine, applied) = replay(&log)?;
        let config = raft_config(parameters.id, applied);
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log, &logger).map_err(|error| StoreError(error.to_string()))?;
        Ok(Replica {
            election_timeouts: ElectionTimeouts::new(parameters.id),
            next_tick: now + parameters.tick,
            parameters,
            identity,
            node,
            state_machine,
            applied,
            pending: BTreeMap::new(),
            snapshot_wait_ticks: BTreeMap::new(),
            reported_quorum: false,
        })
    }

    /// Handles one event and appends the resulting actions. `now` must not decrease between calls. The state that the
    /// actions depend on is on disk when this returns.
    ///
    /// # Errors
    ///
    /// The store failed. The replica can't continue: its owner ends the process, which restarts from the state on disk.
    pub fn handle(
        &mut self,
        now: Duration,
        event: Event,
        actions: &mut Vec<Action>,
    ) -> Result<(), StoreError> {
        match event {
            Event::Message(bytes) => self.receive_message(&bytes),
            Event::Propose(proposal) => self.propose(now, &proposal, actions),
            Event::Tick => self.tick(now, actions),
        }
        self.process_ready(actions)?;
        self.compact()?;
        self.report_quorum(actions);
        Ok(())
    }

    /// The time at which [`Event::Tick`] is due next.
    pub fn next_timer(&self) -> Duration {
        self.pending.values().fold(self.next_tick, |earliest, deadline| earliest.min(*deadline))
    }

    /// The newest accepted revision that this replica has applied, if any.
    pub fn newest(&self) -> Option<&Revision> {
        self.state_machine.newest()
    }

    /// An accepted revision by its number, if it is among the last [`KEPT_REVISIONS`].
    pub fn revision(&self, number: RevisionNumber) -> Option<&Revision> {
        self.state_machine.revision(number)
    }

    /// Whether a majority is in contact, as far as this replica knows: it leads and a majority answers, or it receives
    /// a leader's messages. A loss is detected after 10 to 20 ticks.
    pub fn has_quorum(&self) -> bool {
        self.leader().is_some()
    }

    /// The leader, if one is known.
    pub fn leader(&self) -> Option<VoterId> {
        let leader = self.node.raft.leader_id;
        (leader != raft::INVALID_ID).then_some(VoterId(leader))
    }

    fn receive_message(&mut self, bytes: &[u8]) {
        let checked = wire::decode(&self.identity.group, bytes).and_then(|message| {
            wire::check(&message, &self.replica_state())?;
            Ok(message)
        });
        match checked {
            Ok(message) => self.step(message),
            Err(why) => tracing::debug!("dropped a message from another planner: it is {why}"),
        }
    }

    fn replica_state(&self) -> wire::ReplicaState<'_> {
        wire::ReplicaState {
            identity: &self.identity,
            term: self.node.raft.term,
            last_index: self.node.raft.raft_log.last_index(),
            is_leader: self.node.raft.state == StateRole::Leader,
        }
    }

    fn step(&mut self, message: Message) {
        if let Err(error) = self.node.step(message) {
            tracing::debug!("dropped a message from another planner: {error}");
        }
    }

    fn propose(&mut self, now: Duration, proposal: &Proposal, actions: &mut Vec<Action>) {
        let id = proposal.id;
        if let Some(outcome) = self.state_machine.outcome(id) {
            actions.push(Action::Decided { id, outcome: outcome.clone() });
            return;
        }
        if self.pending.contains_key(&id) {
            // The same proposal is pending already; its owner gets one outcome.
            return;
        }
        match self.propose_to_raft(proposal) {
            Ok(()) => {
                self.pending.insert(id, now + self.parameters.proposal_timeout);
            }
            Err(error) => actions.push(Action::Decided { id, outcome: Err(error) }),
        }
    }

    fn propose_to_raft(&mut self, proposal: &Proposal) -> Result<(), ProposalError> {
        machine::check(proposal).map_err(ProposalError::Invalid)?;
        let bytes =
            postcard::to_allocvec(proposal).map_err(|error| ProposalError::Invalid(error.to_string()))?;
        if bytes.len() > MAX_PROPOSAL_BYTES {
            let why = format!("{} bytes, {MAX_PROPOSAL_BYTES} are allowed", bytes.len());
            return Err(ProposalError::Invalid(why));
        }
        if !self.has_quorum() {
            return Err(ProposalError::NoQuorum);
        }
        if self.pending.len() >= MAX_PENDING_PROPOSALS {
            return Err(ProposalError::Busy);
        }
        // A leader is known, so the crate drops the proposal only if too many bytes are uncommitted.
        self.node.propose(Vec::new(), bytes).map_err(|_| ProposalError::Busy)
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now >= self.next_tick {
            // Ticks missed during a pause of this process are skipped: made up for, they would count as silence of the
            // others and start an election.
            let next = self.next_tick + self.parameters.tick;
            self.next_tick = if next > now { next } else { now + self.parameters.tick };
            self.election_timeouts.set_timeout(&mut self.node.raft);
            self.node.tick();
            self.election_timeouts.redraw_after_election(&self.node.raft);
            self.report_lost_snapshots();
        }
        let timed_out: Vec<ProposalId> =
            self.pending.iter().filter(|(_, deadline)| **deadline <= now).map(|(id, _)| *id).collect();
        for id in timed_out {
            self.pending.remove(&id);
            actions.push(Action::Decided { id, outcome: Err(ProposalError::Unknown) });
        }
    }

    /// Reports snapshots without confirmation as failed. A leader sends a voter no further entries until the voter
    /// confirms the snapshot, and the message may be lost.
    fn report_lost_snapshots(&mut self) {
        let raft = &self.node.raft;
        let leads = raft.state == StateRole::Leader;
        let awaits_snapshot = |id: &u64| {
            leads
                && raft.prs().get(*id).is_some_and(|progress| progress.state == raft::ProgressState::Snapshot)
        };
        let pending: Vec<u64> = self.identity.ids().into_iter().filter(awaits_snapshot).collect();
        self.snapshot_wait_ticks.retain(|id, _| pending.contains(id));
        for id in pending {
            let ticks = self.snapshot_wait_ticks.entry(id).or_default();
            *ticks += 1;
            if *ticks >= SNAPSHOT_RETRY_TICKS {
                self.snapshot_wait_ticks.remove(&id);
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// Processes what Raft has ready: writes to the store first, then sends, then applies.
    fn process_ready(&mut self, actions: &mut Vec<Action>) -> Result<(), StoreError> {
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            let snapshot = Some(ready.snapshot().clone()).filter(|snapshot| !snapshot.is_empty());
            let batch = Batch {
                snapshot: snapshot.clone().map(SnapshotChange::Installed),
                entries: ready.take_entries(),
                hard_state: ready.hs().cloned(),
            };
            self.node.mut_store().write(&batch)?;
            self.send(ready.take_messages(), actions);
            self.send(ready.take_persisted_messages(), actions);
            if let Some(snapshot) = snapshot {
                self.install(&snapshot, actions)?;
            }
            self.apply(ready.take_committed_entries(), actions);
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.node.mut_store().write_commit(commit)?;
            }
            self.send(light.take_messages(), actions);
            self.apply(light.take_committed_entries(), actions);
            self.node.advance_apply();
        }
        Ok(())
    }

    fn send(&self, messages: Vec<Message>, actions: &mut Vec<Action>) {
        for message in messages {
            let to = VoterId(message.to);
            actions.push(Action::Send { to, message: wire::encode(&self.identity.group, &message) });
        }
    }

    fn install(&mut self, snapshot: &Snapshot, actions: &mut Vec<Action>) -> Result<(), StoreError> {
        let known_number = self.state_machine.number();
        self.state_machine = decode_state_machine(snapshot)?;
        self.applied = snapshot.get_metadata().index;
        actions.extend(self.state_machine.after(known_number).cloned().map(Action::Accepted));
        let decided: Vec<ProposalId> =
            self.pending.keys().filter(|id| self.state_machine.outcome(**id).is_some()).copied().collect();
        for id in decided {
            self.pending.remove(&id);
            let outcome = self.state_machine.outcome(id).cloned();
            actions.extend(outcome.map(|outcome| Action::Decided { id, outcome }));
        }
        Ok(())
    }

    fn apply(&mut self, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        for entry in entries {
            self.applied = entry.index;
            let Some(applied) = apply_entry(&mut self.state_machine, &entry) else { continue };
            actions.extend(applied.accepted.map(Action::Accepted));
            if self.pending.remove(&applied.id).is_some() {
                actions.push(Action::Decided { id: applied.id, outcome: applied.outcome });
            }
        }
    }

    fn compact(&mut self) -> Result<(), StoreError> {
        let stored = self.node.store().state();
        let entries = self.applied - stored.snapshot_index();
        let bytes: usize = stored.entries.iter().take(entries as usize).map(|entry| entry.data.len()).sum();
        if entries < COMPACTION_ENTRIES && bytes < COMPACTION_BYTES {
            return Ok(());
        }
        let Some(term) = stored.term(self.applied) else { return Ok(()) };
        let mut snapshot = Snapshot { data: self.state_machine.encode().into(), ..Snapshot::default() };
        let metadata = snapshot.mut_metadata();
        metadata.index = self.applied;
        metadata.term = term;
        metadata.set_conf_state(self.node.store().conf_state());
        let batch = Batch { snapshot: Some(SnapshotChange::Compacted(snapshot)), ..Batch::default() };
        self.node.mut_store().write(&batch)
    }

    fn report_quorum(&mut self, actions: &mut Vec<Action>) {
        let quorum = self.has_quorum();
        if quorum != self.reported_quorum {
            self.reported_quorum = quorum;
            actions.push(Action::QuorumChanged(quorum));
        }
    }
}

fn check_identity(parameters: &Parameters, identity: &Identity) -> Result<(), StoreError> {
    identity.check()?;
    let mut voters = parameters.voters.clone();
    voters.sort_unstable();
    if parameters.id != identity.voter || voters != identity.voters {
        let ids: Vec<u64> = voters.iter().map(|voter| voter.0).collect();
        return Err(StoreError(format!(
            "the store is voter {}'s of {:?}, not voter {}'s of {ids:?}",
            identity.voter.0,
            identity.ids(),
            parameters.id.0
        )));
    }
    Ok(())
}

fn raft_config(id: VoterId, applied: u64) -> Config {
    Config {
        id: id.0,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied,
        max_size_per_msg: MESSAGE_ENTRY_BYTES,
        max_inflight_msgs: MESSAGES_IN_FLIGHT,
        check_quorum: true,
        pre_vote: true,
        max_uncommitted_size: UNCOMMITTED_BYTES,
        max_committed_size_per_ready: COMMITTED_BYTES,
        ..Config::default()
    }
}

/// Rebuilds the state machine from the snapshot and the committed entries. Returns it with the commit index.
fn replay<S: ReplicaStore>(log: &Log<S>) -> Result<(StateMachine, u64), StoreError> {
    let stored = log.state();
    let mut state_machine = match stored.snapshot_index() {
        0 => StateMachine::new(),
        _ => decode_state_machine(&stored.snapshot)?,
    };
    let commit = stored.hard_state.commit;
    for entry in log.entries_between(stored.snapshot_index(), commit) {
        apply_entry(&mut state_machine, &entry);
    }
    Ok((state_machine, commit))
}

fn decode_state_machine(snapshot: &Snapshot) -> Result<StateMachine, StoreError> {
    StateMachine::decode(&snapshot.data).ok_or_else(|| StoreError("the snapshot can't be read".into()))
}

/// Applies a log entry. Returns `None` for the empty entry at the start of a leader's term, and for one that can't be
/// decoded.
fn apply_entry(state_machine: &mut StateMachine, entry: &Entry) -> Option<machine::Applied> {
    if entry.data.is_empty() {
        return None;
    }
    match postcard::from_bytes::<Proposal>(&entry.data) {
        Ok(proposal) => Some(state_machine.apply(proposal)),
        Err(error) => {
            tracing::warn!(
                "skipped entry {} of the planners' log, which can't be decoded: {error}",
                entry.index
            );
            None
        }
    }
}
