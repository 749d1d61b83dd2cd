//! The state machine without Raft.

use super::*;
use crate::revisions::agreement::machine::StateMachine;

fn fill(machine: &mut StateMachine, from: u128, count: u128) {
    for id in from..from + count {
        let expected = machine.newest().map_or_else(RevisionId::none, |newest| newest.id);
        assert!(machine.apply(proposal(id, expected)).accepted.is_some());
    }
}

#[test]
fn only_a_proposal_against_the_newest_revision_is_accepted() {
    let mut machine = StateMachine::new();
    fill(&mut machine, 1, 3);
    let newest = machine.newest().unwrap().id;
    let older = machine.revision(RevisionNumber(2)).unwrap().id;
    let forged = RevisionId { number: newest.number, hash: older.hash };
    for (id, expected) in [(10, older), (11, RevisionId::none()), (12, forged)] {
        let applied = machine.apply(proposal(id, expected));
        assert_eq!(applied.outcome, Err(ProposalError::Conflict { newest }));
        assert_eq!(applied.accepted, None);
    }
    assert_eq!(machine.apply(proposal(13, newest)).outcome.unwrap().number, RevisionNumber(4));
}

#[test]
fn a_revert_is_a_new_revision_with_the_old_content() {
    let mut machine = StateMachine::new();
    fill(&mut machine, 1, 2);
    let mut revert = proposal(3, machine.newest().unwrap().id);
    revert.document = machine.revision(RevisionNumber(1)).unwrap().document.clone();
    let id = machine.apply(revert).outcome.unwrap();
    assert_eq!(
        (id.number, id.hash),
        (RevisionNumber(3), machine.revision(RevisionNumber(1)).unwrap().id.hash)
    );
    // An expected revision of the same content under an older number is a conflict.
    let mut stale = proposal(4, RevisionId { number: RevisionNumber(1), hash: id.hash });
    stale.document = document(50.0);
    assert!(machine.apply(stale).outcome.is_err());
}

#[test]
fn an_invalid_document_in_the_log_does_not_become_a_revision() {
    let mut machine = StateMachine::new();
    let mut invalid = proposal(1, RevisionId::none());
    invalid.document = document(-4.0);
    assert!(matches!(machine.apply(invalid).outcome, Err(ProposalError::Invalid(_))));
    assert_eq!(machine.newest(), None);
}

#[test]
fn history_and_outcomes_are_bounded_and_survive_a_snapshot() {
    let mut machine = StateMachine::new();
    fill(&mut machine, 1, KEPT_OUTCOMES as u128 + 10);
    assert!(machine.outcome(ProposalId(10)).is_none());
    assert!(machine.outcome(ProposalId(11)).is_some());
    let newest = machine.number().0;
    assert!(machine.revision(RevisionNumber(newest - KEPT_REVISIONS as u64)).is_none());
    assert!(machine.revision(RevisionNumber(newest - KEPT_REVISIONS as u64 + 1)).is_some());
    assert!(machine.revision(RevisionNumber(newest + 1)).is_none());
    assert_eq!(machine.after(RevisionNumber(newest - 2)).count(), 2);
    // A proposal whose outcome is no longer kept is not accepted again.
    assert!(machine.apply(proposal(1, RevisionId::none())).outcome.is_err());
    assert_eq!(StateMachine::decode(&machine.encode()), Some(machine.clone()));
    let mut bytes = machine.encode();
    bytes[10] ^= 1;
    assert_eq!(StateMachine::decode(&bytes), None);
    assert_eq!(StateMachine::decode(&machine.encode()[..50]), None);
}

/// A document so large that no further name fits, different for each mark.
fn longest_document(mark: u128) -> Document {
    let mut document = document(1.0);
    for position in 0..MAX_DOCUMENT_BYTES {
        let name = format!("{mark:0>100}-{position}");
        document.nodes_out.insert(name.clone());
        if document.check().is_err() {
            document.nodes_out.remove(&name);
            break;
        }
    }
    document.check().unwrap();
    document
}

#[test]
fn a_snapshot_of_the_longest_revisions_fits_a_message() {
    let mut machine = StateMachine::new();
    let mut documents = 0;
    for id in 0..KEPT_REVISIONS as u128 {
        let mut longest = proposal(id, machine.newest().map_or_else(RevisionId::none, |newest| newest.id));
        longest.author = "a".repeat(MAX_AUTHOR_BYTES);
        longest.document = longest_document(id);
        documents += longest.document.encode().len();
        assert!(postcard::to_allocvec(&longest).unwrap().len() <= MAX_PROPOSAL_BYTES);
        assert!(machine.apply(longest).accepted.is_some());
    }
    for id in 0..KEPT_OUTCOMES as u128 {
        let mut refused = proposal(1_000 + id, RevisionId::none());
        refused.author = "a".repeat(MAX_AUTHOR_BYTES + 1);
        assert!(machine.apply(refused).outcome.is_err());
    }
    assert!(documents > KEPT_REVISIONS * MAX_DOCUMENT_BYTES * 9 / 10, "{documents}");
    let size = machine.encode().len();
    assert!(size > documents && size + 1_000 < MAX_MESSAGE_BYTES, "{size}");
}
