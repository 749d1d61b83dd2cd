//! Agreement among planners on the sequence of revisions: the Raft consensus algorithm (Ongaro and Ousterhout, "In Search
//! of an Understandable Consensus Algorithm", 2014) by the `raft` crate, without I/O and without a clock of its own.
//!
//! An entry of the log is a [`Proposal`]. It becomes a revision where it was made against the revision in force at its
//! place in the log, and is refused otherwise; all replicas decide the same, so no number ever has two contents.
//!
//! The voters are fixed: there is no change of membership. Voters of one group run the same version of the program, since
//! each applies the log by itself.
//!
//! A message that can't be one of a sound replica changes nothing; it is dropped with a line at the level `debug`.

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

/// A voter, 1 to 5: the position of its name among the planners' names in sorted order, plus one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId(pub u64);

/// Names one proposal over all planners and restarts, so that its maker knows it again in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId(pub u128);

/// A document that somebody wants to be the next revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Its id.
    pub id: ProposalId,
    /// The revision that its author saw: it is accepted only if that is still the newest.
    pub expected: RevisionId,
    /// Who submitted it.
    pub author: String,
    /// When, in milliseconds of Unix time.
    pub submitted_ms: u64,
    /// What it says.
    pub document: Document,
}

/// Why a proposal became no revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalError {
    /// Another revision is in force than its author saw. One that is submitted again after [`KEPT_OUTCOMES`] others is
    /// answered so also where it was accepted the first time.
    Conflict {
        /// The one in force.
        newest: RevisionId,
    },
    /// No majority of the planners is in contact; it was not passed on.
    NoQuorum,
    /// Too many proposals wait here; it was not passed on.
    Busy,
    /// It was passed on, and whether it was accepted is not known: it may still be.
    Unknown,
    /// It is no document that can be accepted.
    Invalid(String),
}

/// What happens to a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message of another voter has come, as [`Action::Send`] gave it there.
    Message(Vec<u8>),
    /// Somebody submits a document here.
    Propose(Box<Proposal>),
    /// A timer is due.
    Tick,
}

/// What the owner of a replica is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another voter. It may be lost.
    Send {
        /// To whom.
        to: VoterId,
        /// The message, in the encoding of the `raft` crate.
        message: Vec<u8>,
    },
    /// A proposal that was made here is decided.
    Decided {
        /// Which.
        id: ProposalId,
        /// The revision that it became, or why it became none.
        outcome: Result<RevisionId, ProposalError>,
    },
    /// A revision is accepted, and held on disk by a majority. Numbers come in order; after a snapshot some are left out.
    /// What was accepted before the start is not told again: see [`Replica::newest`].
    Accepted(Revision),
    /// Whether a majority of the planners is in contact has changed. It is not at the start.
    QuorumChanged(bool),
}

/// How a replica is set up.
#[derive(Clone, Debug, PartialEq)]
pub struct Parameters {
    /// Its id.
    pub id: VoterId,
    /// All voters, this one included; an odd number, 1 to 5.
    pub voters: Vec<VoterId>,
    /// The time between two ticks of the protocol; elections take ten to twenty of them without a leader.
    pub tick: Duration,
    /// How long a proposal made here waits for its decision.
    pub proposal_timeout: Duration,
}

/// Revisions that are kept to show, compare and go back to.
pub const KEPT_REVISIONS: usize = 64;
/// The longest name of an author, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 256;
/// The longest encoded proposal, in bytes: a document and what goes with it.
pub const MAX_PROPOSAL_BYTES: usize = MAX_DOCUMENT_BYTES + 4 * 1024;
/// The longest message between replicas, in bytes: a snapshot of as many of the longest revisions as are kept.
pub const MAX_MESSAGE_BYTES: usize = KEPT_REVISIONS * MAX_PROPOSAL_BYTES + 256 * 1024;
/// Proposals made here that may wait for their decision at once.
pub const MAX_PENDING_PROPOSALS: usize = 64;

/// Ticks without a leader until an election; at most twice as many, drawn.
const ELECTION_TICKS: usize = 10;
/// Ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// Ticks after which a snapshot that was not confirmed is taken for lost and sent again.
const SNAPSHOT_RETRY_TICKS: u32 = 30;
/// The entries of one message, in bytes, unless a single one is longer.
const MESSAGE_ENTRY_BYTES: u64 = 256 * 1024;
/// Messages with entries that are on their way to one voter at once.
const MESSAGES_IN_FLIGHT: usize = 16;
/// Bytes of entries that a leader takes on before they are committed.
const UNCOMMITTED_BYTES: u64 = 2 << 20;
/// Bytes of entries that are applied in one step.
const COMMITTED_BYTES: u64 = 1 << 20;
/// Applied entries after which the log is replaced by a snapshot.
const COMPACTION_ENTRIES: u64 = 128;
/// Bytes of applied entries after which it is as well.
const COMPACTION_BYTES: usize = 2 << 20;

/// One replica of the agreement.
pub struct Replica<S: ReplicaStore> {
    parameters: Parameters,
    identity: Identity,
    node: RawNode<Log<S>>,
    machine: StateMachine,
    /// The index of the last entry that the machine has applied.
    applied: u64,
    /// Proposals made here, and when they are given up.
    waiting: BTreeMap<ProposalId, Duration>,
    election_timeouts: ElectionTimeouts,
    /// Voters that a snapshot is on its way to, and for how many ticks.
    snapshots_sent: BTreeMap<u64, u32>,
    next_tick: Duration,
    reported_quorum: bool,
}

impl<S: ReplicaStore> Replica<S> {
    /// Goes on from what the store holds.
    ///
    /// # Errors
    ///
    /// The store can't be read, or holds another voter's or another group's state.
    pub fn start(parameters: Parameters, store: S, now: Duration) -> Result<Self, StoreError> {
        let identity = store.identity().clone();
        check_identity(&parameters, &identity)?;
        let log = Log::open(store)?;
        let (machine, applied) = replay(&log)?;
        let config = configuration(parameters.id, applied);
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log, &logger).map_err(|error| StoreError(error.to_string()))?;
        Ok(Replica {
            election_timeouts: ElectionTimeouts::new(parameters.id),
            next_tick: now + parameters.tick,
            parameters,
            identity,
            node,
            machine,
            applied,
            waiting: BTreeMap::new(),
            snapshots_sent: BTreeMap::new(),
            reported_quorum: false,
        })
    }

    /// Takes one event at a time that only grows. What it says in actions is on disk before it returns.
    ///
    /// # Errors
    ///
    /// The store failed. The replica can't go on then: its owner ends the process, which starts again from the disk.
    pub fn handle(
        &mut self,
        now: Duration,
        event: Event,
        actions: &mut Vec<Action>,
    ) -> Result<(), StoreError> {
        match event {
            Event::Message(bytes) => self.take_message(&bytes),
            Event::Propose(proposal) => self.propose(now, &proposal, actions),
            Event::Tick => self.tick(now, actions),
        }
        self.carry_out(actions)?;
        self.compact()?;
        self.report_quorum(actions);
        Ok(())
    }

    /// When [`Event::Tick`] is due.
    pub fn next_timer(&self) -> Duration {
        self.waiting.values().fold(self.next_tick, |earliest, deadline| earliest.min(*deadline))
    }

    /// The newest accepted revision known here; none before the first.
    pub fn newest(&self) -> Option<&Revision> {
        self.machine.newest()
    }

    /// An accepted revision by its number, where it is still kept.
    pub fn revision(&self, number: RevisionNumber) -> Option<&Revision> {
        self.machine.revision(number)
    }

    /// Whether a majority is in contact, as far as this replica knows: it leads and a majority answers it, or it hears a
    /// leader. A loss shows after ten to twenty ticks.
    pub fn has_quorum(&self) -> bool {
        self.leader().is_some()
    }

    /// The voter that leads, where one is known.
    pub fn leader(&self) -> Option<VoterId> {
        let leader = self.node.raft.leader_id;
        (leader != raft::INVALID_ID).then_some(VoterId(leader))
    }

    fn take_message(&mut self, bytes: &[u8]) {
        let taken = wire::decode(&self.identity.group, bytes).and_then(|message| {
            wire::check(&message, &self.replica_state())?;
            Ok(message)
        });
        match taken {
            Ok(message) => self.step(message),
            Err(why) => tracing::debug!("a planner's message is left out: it is {why}"),
        }
    }

    fn replica_state(&self) -> wire::ReplicaState<'_> {
        wire::ReplicaState {
            identity: &self.identity,
            term: self.node.raft.term,
            last_index: self.node.raft.raft_log.last_index(),
            leads: self.node.raft.state == StateRole::Leader,
        }
    }

    fn step(&mut self, message: Message) {
        if let Err(error) = self.node.step(message) {
            tracing::debug!("a planner's message is left out: {error}");
        }
    }

    fn propose(&mut self, now: Duration, proposal: &Proposal, actions: &mut Vec<Action>) {
        let id = proposal.id;
        if let Some(outcome) = self.machine.outcome(id) {
            actions.push(Action::Decided { id, outcome: outcome.clone() });
            return;
        }
        if self.waiting.contains_key(&id) {
            // It is told once, for both.
            return;
        }
        match self.pass_on(proposal) {
            Ok(()) => {
                self.waiting.insert(id, now + self.parameters.proposal_timeout);
            }
            Err(error) => actions.push(Action::Decided { id, outcome: Err(error) }),
        }
    }

    fn pass_on(&mut self, proposal: &Proposal) -> Result<(), ProposalError> {
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
        if self.waiting.len() >= MAX_PENDING_PROPOSALS {
            return Err(ProposalError::Busy);
        }
        // A leader is known, so it is dropped only for too many bytes that are not committed yet.
        self.node.propose(Vec::new(), bytes).map_err(|_| ProposalError::Busy)
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now >= self.next_tick {
            // After a pause the ticks that were missed are not made up for: they would look like silence of the others.
            let next = self.next_tick + self.parameters.tick;
            self.next_tick = if next > now { next } else { now + self.parameters.tick };
            self.election_timeouts.set(&mut self.node.raft);
            self.node.tick();
            self.election_timeouts.note(&self.node.raft);
            self.give_up_snapshots();
        }
        let late: Vec<ProposalId> =
            self.waiting.iter().filter(|(_, deadline)| **deadline <= now).map(|(id, _)| *id).collect();
        for id in late {
            self.waiting.remove(&id);
            actions.push(Action::Decided { id, outcome: Err(ProposalError::Unknown) });
        }
    }

    /// A leader sends nothing more to a voter until it confirms a snapshot, which may be lost.
    fn give_up_snapshots(&mut self) {
        let raft = &self.node.raft;
        let leads = raft.state == StateRole::Leader;
        let waits = |id: &u64| {
            leads
                && raft.prs().get(*id).is_some_and(|progress| progress.state == raft::ProgressState::Snapshot)
        };
        let waiting: Vec<u64> = self.identity.ids().into_iter().filter(waits).collect();
        self.snapshots_sent.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let ticks = self.snapshots_sent.entry(id).or_default();
            *ticks += 1;
            if *ticks >= SNAPSHOT_RETRY_TICKS {
                self.snapshots_sent.remove(&id);
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// Carries out what the protocol wants: writes first, then sends, then applies.
    fn carry_out(&mut self, actions: &mut Vec<Action>) -> Result<(), StoreError> {
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
        let known = self.machine.number();
        self.machine = read_machine(snapshot)?;
        self.applied = snapshot.get_metadata().index;
        actions.extend(self.machine.after(known).cloned().map(Action::Accepted));
        let decided: Vec<ProposalId> =
            self.waiting.keys().filter(|id| self.machine.outcome(**id).is_some()).copied().collect();
        for id in decided {
            self.waiting.remove(&id);
            let outcome = self.machine.outcome(id).cloned();
            actions.extend(outcome.map(|outcome| Action::Decided { id, outcome }));
        }
        Ok(())
    }

    fn apply(&mut self, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        for entry in entries {
            self.applied = entry.index;
            let Some(applied) = apply_entry(&mut self.machine, &entry) else { continue };
            actions.extend(applied.accepted.map(Action::Accepted));
            if self.waiting.remove(&applied.id).is_some() {
                actions.push(Action::Decided { id: applied.id, outcome: applied.outcome });
            }
        }
    }

    fn compact(&mut self) -> Result<(), StoreError> {
        let stored = self.node.store().stored();
        let entries = self.applied - stored.snapshot_index();
        let bytes: usize = stored.entries.iter().take(entries as usize).map(|entry| entry.data.len()).sum();
        if entries < COMPACTION_ENTRIES && bytes < COMPACTION_BYTES {
            return Ok(());
        }
        let Some(term) = stored.term(self.applied) else { return Ok(()) };
        let mut snapshot = Snapshot { data: self.machine.encode().into(), ..Snapshot::default() };
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

fn configuration(id: VoterId, applied: u64) -> Config {
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

/// The state that snapshot and committed entries come to, and the index of the last of them.
fn replay<S: ReplicaStore>(log: &Log<S>) -> Result<(StateMachine, u64), StoreError> {
    let stored = log.stored();
    let mut machine = match stored.snapshot_index() {
        0 => StateMachine::new(),
        _ => read_machine(&stored.snapshot)?,
    };
    let commit = stored.hard_state.commit;
    for entry in log.between(stored.snapshot_index(), commit) {
        apply_entry(&mut machine, &entry);
    }
    Ok((machine, commit))
}

fn read_machine(snapshot: &Snapshot) -> Result<StateMachine, StoreError> {
    StateMachine::decode(&snapshot.data).ok_or_else(|| StoreError("the snapshot can't be read".into()))
}

/// Applies an entry; nothing for the empty one that a new leader begins its term with.
fn apply_entry(machine: &mut StateMachine, entry: &Entry) -> Option<machine::Applied> {
    if entry.data.is_empty() {
        return None;
    }
    match postcard::from_bytes::<Proposal>(&entry.data) {
        Ok(proposal) => Some(machine.apply(proposal)),
        Err(error) => {
            tracing::warn!("entry {} of the planners' log is left out: {error}", entry.index);
            None
        }
    }
}
