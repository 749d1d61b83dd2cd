use super::*;

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

#[test]
fn ids_of_proposals_differ() {
    let ids: std::collections::BTreeSet<ProposalId> = (0..1000).map(|_| proposal_id()).collect();
    assert_eq!(ids.len(), 1000);
}

#[test]
fn an_outcome_that_was_unknown_once_is_never_said_to_be_none() {
    let mut round = Round::default();
    assert!(round.hear(address(), Err(AskError::NoAnswer("it closed".into()))).is_none());
    assert!(round.hear(address(), Ok(OperatorReply::Refused(ProposalError::NoQuorum))).is_none());
    assert!(!round.is_hopeless());
    let failure = round.failure(RevisionId::none());
    assert_eq!(failure.exit_code(), 3);
    assert!(failure.to_string().starts_with("not known whether it was accepted, look for revision 1"));
}

#[test]
fn without_any_planner_nothing_is_repeated() {
    let mut round = Round::default();
    assert!(round.hear(address(), Err(AskError::NotAsked("refused".into()))).is_none());
    assert!(round.hear(address(), Ok(OperatorReply::Off)).is_none());
    assert!(round.is_hopeless());
    let failure = round.failure(RevisionId::none());
    assert_eq!(
        failure.to_string(),
        "not accepted, no quorum of planners in reach: 127.0.0.1:1: live configuration is off there"
    );
}

#[test]
fn a_decision_ends_it() {
    let newest = RevisionId::none();
    let mut round = Round::default();
    let conflict = Ok(OperatorReply::Refused(ProposalError::Conflict { newest }));
    assert_eq!(round.hear(address(), conflict).unwrap().unwrap_err().exit_code(), 1);
    let invalid = Ok(OperatorReply::Refused(ProposalError::Invalid("plans.x".into())));
    assert_eq!(round.hear(address(), invalid).unwrap().unwrap_err().exit_code(), 1);
    assert_eq!(round.hear(address(), Ok(OperatorReply::Accepted(newest))).unwrap(), Ok(newest));
}
