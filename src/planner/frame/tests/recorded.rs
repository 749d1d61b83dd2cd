//! Messages as the build before has written them: planners, initiators and operators' commands of both builds talk.

use super::*;
use crate::fixtures::{hex, records};
use crate::revisions::{AcknowledgementOutcome, UpdateContent};
use crate::shares::{Move, Resource, Share};
use std::time::Duration;

const TO_PLANNER: &str = include_str!("../../../../tests/fixtures/planner/to-planner.hex");
const FROM_PLANNER: &str = include_str!("../../../../tests/fixtures/planner/from-planner.hex");
/// The document in these messages, in TOML, and its hash.
const DOCUMENT: &str = include_str!("../../../../tests/fixtures/revisions/document.toml");
const HASH: &str = "275f2cd2d771be81f33e5bb4af0c76571d2b2e3ec0cb5613573df4ca97eedbd6";
/// The hash of the earlier document.
const OLDER_HASH: &str = "527f67c88cebb0bb4affc47830f58336dc89d814f244eca0f241ce0d35f7722d";

fn messages<M: DeserializeOwned>(text: &str) -> Vec<M> {
    records(text).into_iter().map(|(_, mut bytes)| decode(&mut bytes).unwrap().unwrap()).collect()
}

fn assert_round_trip<M: DeserializeOwned + Serialize>(text: &str) {
    for (name, bytes) in records(text) {
        let mut input = bytes.clone();
        let message = decode::<M>(&mut input).unwrap().unwrap();
        assert!(input.is_empty(), "{name}");
        let (_, rest): (M, &[u8]) = postcard::take_from_bytes(&bytes[LENGTH_BYTES..]).unwrap();
        assert!(rest.is_empty(), "{name}");
        let mut output = Vec::new();
        encode(&message, &mut output);
        assert_eq!(hex(&output), hex(&bytes), "{name}");
    }
}

fn has_id(id: &RevisionId, number: u64, hash: &str) -> bool {
    id.number.0 == number && id.hash.to_string() == hash
}

#[test]
fn recorded_messages_are_read_and_written_back_unchanged() {
    assert_eq!((SCHEMA, LENGTH_BYTES), (2, 4));
    assert_round_trip::<ToPlanner>(TO_PLANNER);
    assert_round_trip::<FromPlanner>(FROM_PLANNER);
}

#[test]
fn recorded_messages_to_planners_decode_to_the_recorded_values() {
    let all = messages::<ToPlanner>(TO_PLANNER);
    let [ToPlanner::Hello { schema: 2, forwarder }, ToPlanner::Report { partition: 11, report }, ToPlanner::Report { partition: 12, report: first }, ToPlanner::Alive, ToPlanner::Subscribe { current }, ToPlanner::Unsubscribe, ToPlanner::Acknowledge(in_force), ToPlanner::Acknowledge(refused), ToPlanner::PeerHello { schema: 2, planner }, ToPlanner::Agreement(agreement), ToPlanner::Operator { schema: 2, request: OperatorRequest::Submit(proposal) }, ToPlanner::Operator { schema: 2, request: OperatorRequest::Show(None) }, ToPlanner::Operator { schema: 2, request: OperatorRequest::Show(Some(RevisionNumber(300))) }, ToPlanner::Operator { schema: 2, request: OperatorRequest::Status }] =
        &all[..]
    else {
        panic!("{all:?}")
    };
    assert_eq!((forwarder.as_str(), planner.as_str()), ("n1", "p1"));
    assert_eq!(agreement, &[1, 2, 3, 255]);
    assert_eq!(*current, RevisionId::none());
    assert!(has_id(&in_force.id, 7, HASH) && in_force.outcome == AcknowledgementOutcome::InForce);
    let why = "plans.x: none".to_string();
    assert!(has_id(&refused.id, 7, HASH) && refused.outcome == AcknowledgementOutcome::Refused(why));
    assert_eq!(proposal.id.0, 0x1234_5678_9abc_def0_1122_3344_5566_7788);
    assert!(has_id(&proposal.expected, 6, OLDER_HASH), "{:?}", proposal.expected);
    assert_eq!((proposal.author.as_str(), proposal.submitted_ms), ("operator", 1_700_000_000_123));
    assert_eq!(proposal.document.to_toml(), DOCUMENT);

    assert_eq!(
        (report.forwarder.0, report.incarnation, report.number, report.held_version),
        (401, 402, 403, 404)
    );
    let term = report.term.unwrap();
    assert_eq!((term.number, term.planner.0, term.nonce), (1001, 1002, 1003));
    assert!(report.gives_back && !first.gives_back && first.term.is_none());
    assert_eq!(report.refused, [Resource::Limit(303), Resource::SlowStart(304)]);
    let demands: Vec<_> = report.demands.iter().map(|it| (it.resource, it.even_share.0, it.wanted)).collect();
    assert_eq!(demands, [(Resource::Limit(301), 500_000, 0.75), (Resource::SlowStart(302), 250_000, 1.5)]);
    let millis = Duration::from_millis;
    let probe_results: Vec<_> =
        report.probe_results.iter().map(|it| (it.node, it.response_time, it.age)).collect();
    assert_eq!(probe_results, [(2001, Some(millis(21)), millis(22)), (2002, None, millis(23))]);
}

#[test]
fn recorded_plans_and_updates_decode_to_the_recorded_values() {
    let all = messages::<FromPlanner>(FROM_PLANNER);
    let [FromPlanner::Welcome { partitions: 16 }, FromPlanner::Refused(why), FromPlanner::Leads(leads), FromPlanner::Plan { partition: 11, plan }, FromPlanner::Plan { partition: 12, plan: empty }, FromPlanner::Update(whole), FromPlanner::Update(changes), FromPlanner::Quorum(true), FromPlanner::Quorum(false), ..] =
        &all[..]
    else {
        panic!("{all:?}")
    };
    assert_eq!((why.as_str(), &leads[..]), ("another schema", &[0, 3, 300][..]));
    assert_eq!((plan.term.number, plan.term.planner.0, plan.term.nonce), (1001, 1002, 1003));
    assert_eq!((plan.incarnation, plan.version, plan.answers_report), (402, 501, 403));
    let millis = Duration::from_millis;
    let reclaim = Move::Reclaim(Share(100_000), millis(1500));
    let grant = Move::Grant(Share(200_000), millis(2500));
    assert_eq!(plan.moves, [(Resource::Limit(301), reclaim), (Resource::SlowStart(302), grant)]);
    assert_eq!(plan.probes, Some(vec![2001, 2002]));
    let hints: Vec<_> = plan.hints.iter().map(|it| (it.node, it.response_time, it.age)).collect();
    assert_eq!(hints, [(2001, Some(millis(21)), millis(22)), (2002, None, millis(23))]);
    assert!(empty.probes.is_none() && empty.moves.is_empty() && empty.hints.is_empty());
    let UpdateContent::Full(document) = &whole.content else { panic!("{whole:?}") };
    assert!(has_id(&whole.id, 7, HASH) && has_id(&changes.id, 7, HASH));
    assert_eq!((document.to_toml().as_str(), document.hash().to_string().as_str()), (DOCUMENT, HASH));
    let UpdateContent::Changes { base, delta } = &changes.content else { panic!("{changes:?}") };
    assert!(has_id(base, 6, OLDER_HASH), "{base:?}");
    let older = "nodes_out = [\"s-1\", \"s-9\"]\n[plans.gone]\nbase_rate = 1.0\n[costs]\nlargest = 3.0\n";
    let older = crate::revisions::document::Document::parse(older).unwrap();
    assert_eq!(older.hash().to_string(), OLDER_HASH);
    assert_eq!(delta.apply(&older).to_toml(), DOCUMENT);
}

#[test]
fn recorded_answers_to_operators_decode_to_the_recorded_values() {
    let all = messages::<FromPlanner>(FROM_PLANNER);
    let reply = |message: &FromPlanner| match message {
        FromPlanner::OperatorReply(reply) => Some(reply.clone()),
        _ => None,
    };
    let replies: Vec<_> = all.iter().filter_map(reply).collect();
    let [OperatorReply::Accepted(accepted), OperatorReply::Refused(ProposalError::Conflict { newest }), OperatorReply::Refused(ProposalError::NoQuorum), OperatorReply::Refused(ProposalError::Busy), OperatorReply::Refused(ProposalError::Unknown), OperatorReply::Refused(ProposalError::Invalid(invalid)), OperatorReply::Revision(None), OperatorReply::Revision(Some(revision)), OperatorReply::Status(status), OperatorReply::Status(alone), OperatorReply::Disabled] =
        &replies[..]
    else {
        panic!("{replies:?}")
    };
    assert_eq!(replies.len() + 9, all.len());
    assert!(has_id(accepted, 7, HASH) && has_id(newest, 7, HASH) && has_id(&revision.id, 7, HASH));
    assert_eq!(invalid, "limits.attempts_cap: 1 to 100");
    assert_eq!((revision.author.as_str(), revision.submitted_ms), ("operator", 1_700_000_000_123));
    assert_eq!(revision.document.to_toml(), DOCUMENT);
    assert_eq!((status.planner.as_str(), status.leader.as_deref()), ("p1", Some("p2")));
    assert!(status.quorum && has_id(&status.newest, 7, HASH));
    let [one, other] = &status.initiators[..] else { panic!("{status:?}") };
    assert_eq!((one.initiator.as_str(), one.connected, one.silent_ms), ("n1", true, 0));
    assert!(has_id(&one.in_force, 7, HASH) && one.refused.is_none());
    assert_eq!((other.initiator.as_str(), other.connected, other.silent_ms), ("n2", false, 5000));
    let (refused, why) = other.refused.as_ref().unwrap();
    assert!(has_id(&other.in_force, 6, OLDER_HASH) && has_id(refused, 7, HASH) && why == "plans.x: none");
    assert!(!alone.quorum && alone.leader.is_none() && alone.initiators.is_empty());
}
