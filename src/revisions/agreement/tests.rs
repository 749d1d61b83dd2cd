//! Replicas on a network in memory that drops selected messages. The lab crate runs random schedules of faults.

mod messages;
mod recorded;
mod state;

use super::*;
use crate::revisions::document::CostOverrides;
use crate::revisions::store::{Failure, GroupId, MemoryStore};
use std::collections::VecDeque;

pub(super) const TICK: Duration = Duration::from_millis(100);
pub(super) const TIMEOUT: Duration = Duration::from_secs(5);

pub(super) fn identity(voter: u64, count: u64) -> Identity {
    let voters = (1..=count).map(VoterId).collect();
    Identity { group: GroupId::from_names(["a", "b", "c"]), voter: VoterId(voter), voters }
}

pub(super) fn parameters(voter: u64, count: u64) -> Parameters {
    let voters = (1..=count).map(VoterId).collect();
    Parameters { id: VoterId(voter), voters, tick: TICK, proposal_timeout: TIMEOUT }
}

pub(super) fn document(largest: f64) -> Document {
    let costs = CostOverrides { largest: Some(largest), ..CostOverrides::default() };
    Document { costs, ..Document::default() }
}

pub(super) fn proposal(id: u128, expected: RevisionId) -> Proposal {
    let document = document(1.0 + id as f64);
    Proposal { id: ProposalId(id), expected, author: "operator".into(), submitted_ms: 5, document }
}

/// A group of replicas with the messages between them and the actions that they returned. Time advances by ticks.
pub(super) struct Group {
    pub replicas: Vec<Option<Replica<MemoryStore>>>,
    pub stores: Vec<MemoryStore>,
    pub now: Duration,
    pub down: Vec<u64>,
    /// Selects the messages to drop.
    pub drops: fn(&Message) -> bool,
    pub decided: Vec<(u64, ProposalId, Result<RevisionId, ProposalError>)>,
    pub accepted: Vec<(u64, Revision)>,
    pub quorums: Vec<(u64, bool)>,
    messages: VecDeque<(u64, u64, Vec<u8>)>,
}

impl Group {
    pub fn new(count: u64) -> Self {
        let stores: Vec<MemoryStore> =
            (1..=count).map(|voter| MemoryStore::new(identity(voter, count))).collect();
        let mut group = Group {
            replicas: (0..count).map(|_| None).collect(),
            stores,
            now: Duration::ZERO,
            down: Vec::new(),
            drops: |_| false,
            decided: Vec::new(),
            accepted: Vec::new(),
            quorums: Vec::new(),
            messages: VecDeque::new(),
        };
        (1..=count).for_each(|voter| group.start(voter));
        group
    }

    pub fn start(&mut self, voter: u64) {
        let count = self.stores.len() as u64;
        let store = self.stores[voter as usize - 1].clone();
        store.restart();
        let replica = Replica::start(parameters(voter, count), store, self.now).unwrap();
        self.replicas[voter as usize - 1] = Some(replica);
        self.down.retain(|it| *it != voter);
    }

    pub fn stop(&mut self, voter: u64) {
        self.replicas[voter as usize - 1] = None;
        self.down.push(voter);
    }

    pub fn replica(&self, voter: u64) -> &Replica<MemoryStore> {
        self.replicas[voter as usize - 1].as_ref().unwrap()
    }

    /// Passes an event to a replica. A replica whose store fails is stopped.
    pub fn handle(&mut self, voter: u64, event: Event) {
        let Some(replica) = &mut self.replicas[voter as usize - 1] else { return };
        let mut actions = Vec::new();
        if replica.handle(self.now, event, &mut actions).is_err() {
            self.stop(voter);
        }
        for action in actions {
            match action {
                Action::Send { to, message } => self.messages.push_back((voter, to.0, message)),
                Action::Decided { id, outcome } => self.decided.push((voter, id, outcome)),
                Action::Accepted(revision) => self.accepted.push((voter, revision)),
                Action::QuorumChanged(quorum) => self.quorums.push((voter, quorum)),
            }
        }
    }

    pub fn deliver(&mut self) {
        while let Some((_, to, bytes)) = self.messages.pop_front() {
            let group = identity(1, 1).group;
            if !(self.drops)(&wire::decode(&group, &bytes).unwrap()) {
                self.handle(to, Event::Message(bytes));
            }
        }
    }

    pub fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now += TICK;
            for voter in 1..=self.stores.len() as u64 {
                self.handle(voter, Event::Tick);
            }
            self.deliver();
        }
    }

    /// Proposes a document against the replica's newest revision, and returns the outcome after a few ticks.
    pub fn submit(&mut self, voter: u64, id: u128) -> Result<RevisionId, ProposalError> {
        let expected = self.replica(voter).newest().map_or_else(RevisionId::none, |revision| revision.id);
        self.submit_against(voter, id, expected)
    }

    pub fn submit_against(
        &mut self,
        voter: u64,
        id: u128,
        expected: RevisionId,
    ) -> Result<RevisionId, ProposalError> {
        self.decided.clear();
        self.handle(voter, Event::Propose(Box::new(proposal(id, expected))));
        self.deliver();
        self.run(3);
        let mut found = self.decided.iter().filter(|(at, decided_id, _)| *at == voter && decided_id.0 == id);
        let outcome = found.next().unwrap().2.clone();
        assert_eq!(found.next(), None, "decided twice");
        outcome
    }

    pub fn leader(&self) -> u64 {
        let leads = |replica: &&Replica<MemoryStore>| replica.node.raft.state == StateRole::Leader;
        let leader = self.replicas.iter().flatten().filter(leads).max_by_key(|it| it.node.raft.term);
        leader.unwrap().parameters.id.0
    }

    pub fn follower(&self) -> u64 {
        let leader = self.leader();
        (1..=self.stores.len() as u64).find(|it| *it != leader && !self.down.contains(it)).unwrap()
    }

    pub fn numbers(&self) -> Vec<u64> {
        self.replicas.iter().flatten().map(|it| it.newest().map_or(0, |newest| newest.id.number.0)).collect()
    }
}

#[test]
fn groups_of_one_three_and_five_accept_proposals_at_leader_and_follower() {
    for count in [1, 3, 5] {
        let mut group = Group::new(count);
        group.run(60);
        let leader = group.leader();
        let first = group.submit(leader, 1).unwrap();
        assert_eq!(first.number, RevisionNumber(1), "{count} voters");
        if count > 1 {
            let follower = group.follower();
            assert_eq!(group.submit(follower, 2).unwrap().number, RevisionNumber(2), "{count} voters");
        }
        let newest = group.replica(leader).newest().unwrap().clone();
        for replica in group.replicas.iter().flatten() {
            assert_eq!(replica.newest(), Some(&newest));
            assert_eq!(replica.revision(RevisionNumber(1)).unwrap().id, first);
            assert_eq!(replica.leader(), Some(VoterId(leader)));
        }
        let reported = group.accepted.iter().filter(|(_, revision)| revision.id == first).count();
        assert_eq!(reported as u64, count, "each replica reports it once");
        assert_eq!(group.quorums.len() as u64, count, "{:?}", group.quorums);
    }
}

#[test]
fn of_two_proposals_against_one_revision_one_is_accepted() {
    let mut group = Group::new(3);
    group.run(60);
    let (leader, follower) = (group.leader(), group.follower());
    let seen = group.submit(leader, 1).unwrap();
    group.decided.clear();
    group.handle(leader, Event::Propose(Box::new(proposal(2, seen))));
    group.handle(follower, Event::Propose(Box::new(proposal(3, seen))));
    group.deliver();
    group.run(3);
    let accepted: Vec<_> = group.decided.iter().filter(|(_, _, outcome)| outcome.is_ok()).collect();
    let newest = group.replica(leader).newest().unwrap().id;
    assert_eq!(accepted.len(), 1, "{:?}", group.decided);
    assert!(group.decided.iter().any(|(_, _, outcome)| *outcome == Err(ProposalError::Conflict { newest })));
    assert_eq!(group.submit_against(leader, 4, RevisionId::none()), Err(ProposalError::Conflict { newest }));
}

#[test]
fn a_repeated_proposal_is_answered_with_its_first_outcome() {
    let mut group = Group::new(3);
    group.run(60);
    let (leader, follower) = (group.leader(), group.follower());
    let first = group.submit_against(leader, 1, RevisionId::none());
    assert!(first.is_ok());
    let refused = group.submit_against(leader, 2, RevisionId::none());
    assert!(group.submit(leader, 3).is_ok());
    assert_eq!(group.submit_against(follower, 1, RevisionId::none()), first);
    assert_eq!(group.submit_against(follower, 2, RevisionId::none()), refused);
    // One proposal is pending at two replicas, at one of them twice: it is applied once, and each replica reports one
    // outcome.
    group.decided.clear();
    let expected = group.replica(leader).newest().unwrap().id;
    group.handle(leader, Event::Propose(Box::new(proposal(4, expected))));
    group.handle(leader, Event::Propose(Box::new(proposal(4, expected))));
    group.handle(follower, Event::Propose(Box::new(proposal(4, expected))));
    group.deliver();
    group.run(3);
    assert_eq!(group.decided.len(), 2, "{:?}", group.decided);
    assert!(group
        .decided
        .iter()
        .all(|(_, _, outcome)| outcome.as_ref().unwrap().number == RevisionNumber(3)));
    assert_eq!(group.numbers(), [3, 3, 3]);
}

#[test]
fn invalid_and_excess_proposals_are_refused_without_reaching_the_log() {
    let mut group = Group::new(3);
    group.run(60);
    let leader = group.leader();
    let writes = group.stores[leader as usize - 1].writes();
    let mut invalid = proposal(1, RevisionId::none());
    invalid.document = document(-1.0);
    let mut author = proposal(2, RevisionId::none());
    author.author = "a".repeat(MAX_AUTHOR_BYTES + 1);
    let mut long = proposal(3, RevisionId::none());
    long.document.nodes_out.insert("n".repeat(MAX_DOCUMENT_BYTES));
    for proposal in [invalid, author, long] {
        group.handle(leader, Event::Propose(Box::new(proposal)));
        assert!(matches!(group.decided.pop(), Some((_, _, Err(ProposalError::Invalid(_))))));
    }
    assert_eq!(group.stores[leader as usize - 1].writes(), writes);
    group.drops = |_| true;
    for id in 0..=MAX_PENDING_PROPOSALS as u128 {
        group.handle(leader, Event::Propose(Box::new(proposal(100 + id, RevisionId::none()))));
    }
    let last = ProposalId(100 + MAX_PENDING_PROPOSALS as u128);
    assert_eq!(group.decided, [(leader, last, Err(ProposalError::Busy))]);
}

#[test]
fn without_a_majority_pending_proposals_are_unknown_and_new_ones_are_refused() {
    let mut group = Group::new(3);
    group.run(60);
    let leader = group.leader();
    (1..=3).filter(|it| *it != leader).for_each(|it| group.stop(it));
    group.handle(leader, Event::Propose(Box::new(proposal(1, RevisionId::none()))));
    assert_eq!(group.replica(leader).next_timer(), group.now + TICK);
    group.run(49);
    assert_eq!(group.decided, []);
    group.run(2);
    assert_eq!(group.decided, [(leader, ProposalId(1), Err(ProposalError::Unknown))]);
    assert!(!group.replica(leader).has_quorum());
    assert_eq!(group.quorums.last(), Some(&(leader, false)));
    assert_eq!(group.submit(leader, 2), Err(ProposalError::NoQuorum));
    // The proposal with the unknown outcome is accepted after all if its replica is elected once the others are back.
    (1..=3).filter(|it| *it != leader).for_each(|it| group.start(it));
    group.run(60);
    let numbers = group.numbers();
    assert!(numbers.iter().all(|number| *number == numbers[0]) && numbers[0] <= 1, "{numbers:?}");
    assert!(group.replicas.iter().flatten().all(|replica| replica.has_quorum()));
}

#[test]
fn accepted_revisions_survive_a_restart_of_all_replicas() {
    let mut group = Group::new(3);
    group.run(60);
    for id in 1..=10 {
        let leader = group.leader();
        group.submit(leader, id).unwrap();
    }
    let newest = group.replica(1).newest().unwrap().clone();
    (1..=3).for_each(|voter| group.stop(voter));
    group.accepted.clear();
    (1..=3).for_each(|voter| group.start(voter));
    for voter in 1..=3 {
        assert_eq!(group.replica(voter).newest(), Some(&newest), "before any message");
    }
    group.run(60);
    assert_eq!(group.accepted, [], "not reported again");
    let leader = group.leader();
    assert_eq!(group.submit(leader, 11).unwrap().number, RevisionNumber(11));
}

#[test]
fn a_lagging_replica_receives_a_snapshot_even_if_the_first_is_lost() {
    let mut group = Group::new(3);
    group.run(60);
    let follower = group.follower();
    group.stop(follower);
    let rounds = COMPACTION_ENTRIES as u128 + 30;
    for id in 1..=rounds {
        let leader = group.leader();
        group.submit(leader, id).unwrap();
    }
    let leader = group.leader();
    let stored = group.stores[leader as usize - 1].load().unwrap();
    assert!(stored.snapshot_index() > 0 && (stored.entries.len() as u64) < COMPACTION_ENTRIES);
    group.accepted.clear();
    group.start(follower);
    group.drops = |message| message.get_msg_type() == raft::eraftpb::MessageType::MsgSnapshot;
    group.run(20);
    assert_eq!(group.replica(follower).newest(), None);
    group.drops = |_| false;
    group.run(SNAPSHOT_RETRY_TICKS + 10);
    assert_eq!(group.replica(follower).newest(), group.replica(leader).newest());
    let reported: Vec<u64> = group.accepted.iter().map(|(_, revision)| revision.id.number.0).collect();
    let kept = rounds as u64 - reported[0] + 1;
    assert!(
        reported.windows(2).all(|pair| pair[0] + 1 == pair[1]) && reported.len() as u64 == kept,
        "{reported:?}"
    );
    assert!(group.replica(follower).revision(RevisionNumber(1)).is_none());
    // It restarts from the snapshot.
    group.stop(follower);
    group.start(follower);
    assert_eq!(group.replica(follower).newest(), group.replica(leader).newest());
}

#[test]
fn a_crash_at_any_write_loses_no_accepted_revision() {
    let mut crashes = 0;
    for victim in 1..=3 {
        for write in 0..24 {
            for failure in [Failure::Before(write), Failure::After(write)] {
                let mut group = Group::new(3);
                group.stores[victim - 1].inject_failure(Some(failure));
                group.run(60);
                for id in 1..=4 {
                    let leader = group.leader();
                    let expected = group.replica(leader).newest().map_or_else(RevisionId::none, |it| it.id);
                    group.handle(leader, Event::Propose(Box::new(proposal(id, expected))));
                    group.deliver();
                    group.run(30);
                }
                crashes += group.down.len();
                let decided: Vec<RevisionId> =
                    group.decided.iter().filter_map(|(_, _, outcome)| outcome.clone().ok()).collect();
                (1..=3).for_each(|voter| group.start(voter));
                group.run(60);
                for id in decided {
                    for replica in group.replicas.iter().flatten() {
                        let kept = replica.revision(id.number).map(|revision| revision.id);
                        assert_eq!(kept, Some(id), "voter {victim}, {failure:?}");
                    }
                }
            }
        }
    }
    assert!(crashes > 50, "{crashes} crashes");
}

#[test]
fn the_store_of_another_voter_or_group_is_refused() {
    let start = |identity, parameters| {
        let started = Replica::start(parameters, MemoryStore::new(identity), Duration::ZERO);
        started.map(|_| ()).map_err(|error| error.0)
    };
    assert_eq!(start(identity(1, 3), parameters(1, 3)), Ok(()));
    let error = start(identity(1, 3), parameters(2, 3)).unwrap_err();
    assert_eq!(error, "the store is voter 1's of [1, 2, 3], not voter 2's of [1, 2, 3]");
    assert!(start(identity(1, 3), parameters(1, 5)).is_err());
    assert!(start(identity(1, 2), parameters(1, 2)).is_err());
}

#[test]
fn ticks_missed_in_a_pause_are_skipped() {
    let mut group = Group::new(3);
    group.run(60);
    let leader = group.leader();
    group.now += Duration::from_secs(60);
    group.run(1);
    assert_eq!(group.leader(), leader);
    assert_eq!(group.quorums.len(), 3, "{:?}", group.quorums);
    assert_eq!(group.replica(1).next_timer(), group.now + TICK);
}
