use super::*;
use std::net::TcpListener;
use std::sync::mpsc;

/// A fake planner: forwards the request of each connection to the receiver, and sends the next answer or closes.
fn planners(answers: Vec<Option<OperatorReply>>) -> (Planners, mpsc::Receiver<OperatorRequest>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addresses = vec![listener.local_addr().unwrap()];
    let (asked, requests) = mpsc::channel();
    std::thread::spawn(move || {
        for answer in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let (mut input, mut bytes) = (Vec::new(), [0; 4096]);
            let request = loop {
                match frame::decode::<ToPlanner>(&mut input).unwrap() {
                    Some(ToPlanner::Operator { request, .. }) => break request,
                    Some(other) => panic!("{other:?}"),
                    None => {
                        let count = stream.read(&mut bytes).unwrap();
                        input.extend_from_slice(&bytes[..count]);
                    }
                }
            };
            asked.send(request).unwrap();
            if let Some(reply) = answer {
                let mut output = Vec::new();
                frame::encode(&FromPlanner::OperatorReply(reply), &mut output);
                stream.write_all(&output).unwrap();
            }
        }
    });
    (Planners { addresses }, requests)
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

#[test]
fn proposal_ids_are_unique() {
    let ids: std::collections::BTreeSet<ProposalId> = (0..1000).map(|_| proposal_id()).collect();
    assert_eq!(ids.len(), 1000);
}

#[test]
fn an_unknown_outcome_stays_unknown_after_later_answers() {
    let mut submission = Submission::default();
    assert!(submission.record_answer(address(), Err(AskError::NoAnswer("it closed".into()))).is_none());
    assert!(submission
        .record_answer(address(), Ok(OperatorReply::Refused(ProposalError::NoQuorum)))
        .is_none());
    assert!(!submission.is_hopeless());
    let failure = submission.failure(RevisionId::none());
    assert_eq!(failure.exit_code(), 3);
    assert!(failure.to_string().starts_with("not known whether it was accepted, look for revision 1"));
}

#[test]
fn a_proposal_is_not_retried_if_no_planner_can_handle_it() {
    let mut submission = Submission::default();
    assert!(submission.record_answer(address(), Err(AskError::NotSent("refused".into()))).is_none());
    assert!(submission.record_answer(address(), Ok(OperatorReply::Disabled)).is_none());
    assert!(submission.is_hopeless());
    let failure = submission.failure(RevisionId::none());
    assert_eq!(
        failure.to_string(),
        "not accepted, no quorum of planners in reach: 127.0.0.1:1: live configuration is off there"
    );
}

#[test]
fn a_decision_ends_the_submission() {
    let newest = RevisionId::none();
    let mut submission = Submission::default();
    let conflict = Ok(OperatorReply::Refused(ProposalError::Conflict { newest }));
    assert_eq!(submission.record_answer(address(), conflict).unwrap().unwrap_err().exit_code(), 1);
    let invalid = Ok(OperatorReply::Refused(ProposalError::Invalid("plans.x".into())));
    assert_eq!(submission.record_answer(address(), invalid).unwrap().unwrap_err().exit_code(), 1);
    assert_eq!(submission.record_answer(address(), Ok(OperatorReply::Accepted(newest))).unwrap(), Ok(newest));
}

#[test]
fn a_proposal_with_an_unknown_outcome_is_sent_again_under_the_same_id() {
    let accepted = RevisionId { number: RevisionNumber(1), ..RevisionId::none() };
    let unknown = OperatorReply::Refused(ProposalError::Unknown);
    let answers = vec![None, Some(unknown), Some(OperatorReply::Accepted(accepted))];
    let (planners, requests) = planners(answers);
    let expected = Expected::Number(RevisionNumber(0));
    assert_eq!(planners.submit(Document::default(), expected, "test", SUBMIT_TIMEOUT), Ok(accepted));
    let ids: Vec<ProposalId> = requests
        .iter()
        .map(|request| match request {
            OperatorRequest::Submit(proposal) => proposal.id,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(ids, [ids[0]; 3]);
}
