use super::*;
use crate::revisions::document::Document;

fn id(number: u64) -> RevisionId {
    RevisionId { number: RevisionNumber(number), hash: Document::default().hash() }
}

fn initiator(name: &str, connected: bool, in_force: u64, refused: Option<u64>) -> InitiatorStatus {
    let refused = refused.map(|number| (id(number), "plans.x: it has none".to_string()));
    let silent_ms = if connected { 0 } else { 5000 };
    InitiatorStatus { initiator: name.into(), connected, in_force: id(in_force), refused, silent_ms }
}

fn fleet(statuses: Vec<(u64, Vec<InitiatorStatus>)>) -> Fleet {
    let status = |(newest, initiators)| {
        let (planner, quorum, leader) = ("p".to_string(), true, None);
        let status = PlannerStatus { planner, quorum, leader, newest: id(newest), initiators };
        (SocketAddr::from(([127, 0, 0, 1], 1)), Ok(status))
    };
    let mut planners: Vec<_> = statuses.into_iter().map(status).collect();
    planners.push((SocketAddr::from(([127, 0, 0, 1], 2)), Err("it closed".into())));
    Fleet::from_statuses(planners)
}

#[test]
fn planners_that_are_connected_are_believed_and_of_those_the_one_with_less_in_force() {
    let one = vec![initiator("a", true, 5, None), initiator("b", false, 9, None)];
    let other = vec![initiator("a", true, 4, None), initiator("b", true, 3, None)];
    for statuses in [vec![(5, one.clone()), (4, other.clone())], vec![(4, other), (5, one)]] {
        let fleet = fleet(statuses);
        assert_eq!(fleet.newest, id(5));
        let in_force: Vec<u64> = fleet.initiators.iter().map(|it| it.in_force.number.0).collect();
        assert_eq!(in_force, [4, 3]);
        assert!(fleet.initiators.iter().all(|it| it.connected));
    }
}

#[test]
fn progress_names_who_is_missing_and_who_refuses_and_leaves_out_who_is_away() {
    let all = vec![
        initiator("a", true, 5, None),
        initiator("b", true, 4, None),
        initiator("c", true, 4, Some(5)),
        initiator("d", false, 0, None),
        initiator("e", true, 6, Some(5)),
    ];
    let progress = fleet(vec![(6, all)]).progress(RevisionNumber(5));
    assert_eq!(progress.in_force, 2);
    assert_eq!(progress.missing, ["b"]);
    assert_eq!(progress.refused, [("c".to_string(), "plans.x: it has none".to_string())]);
    let text = progress.text(RevisionNumber(5), true);
    let wanted = "revision 5 is in force at 2; missing at 1: b; refused by 1: c (plans.x: it has none)";
    assert_eq!(text, wanted);
}

#[test]
fn an_initiator_whose_connection_has_just_broken_is_waited_for() {
    let mut broken = initiator("a", false, 4, None);
    broken.silent_ms = 2999;
    assert_eq!(fleet(vec![(5, vec![broken.clone()])]).progress(RevisionNumber(5)).missing, ["a"]);
    broken.silent_ms = 3000;
    assert_eq!(fleet(vec![(5, vec![broken])]).progress(RevisionNumber(5)), Progress::default());
}

#[test]
fn a_revision_that_these_planners_never_accepted_is_not_in_force() {
    let mut foreign = initiator("a", true, 5, None);
    foreign.in_force.hash.0[0] ^= 1;
    let all = vec![foreign, initiator("b", true, 5, None), initiator("c", true, 6, None)];
    let progress = fleet(vec![(5, all)]).progress(RevisionNumber(5));
    assert_eq!((progress.in_force, progress.missing), (1, vec!["a".to_string(), "c".to_string()]));
}

#[test]
fn a_refusal_that_one_planner_knows_is_shown() {
    let one = vec![initiator("a", true, 4, Some(5))];
    let other = vec![initiator("a", true, 4, None)];
    for statuses in [vec![(5, one.clone()), (5, other.clone())], vec![(5, other), (5, one)]] {
        let fleet = fleet(statuses);
        assert_eq!(fleet.progress(RevisionNumber(5)).refused.len(), 1);
        assert!(fleet.text().contains("refuses 5"), "{}", fleet.text());
        let json: serde_json::Value = serde_json::from_str(&fleet.json()).unwrap();
        assert_eq!(json["initiators"][0]["refused"]["revision"]["number"], 5);
        assert_eq!(json["planners"][2]["error"], "it closed");
    }
}

#[test]
fn a_long_line_names_some_and_counts_the_rest() {
    let names: Vec<String> = (0..23).map(|number| format!("f-{number}")).collect();
    assert!(named(&names).ends_with("f-19 and 3 more"), "{}", named(&names));
}

/// Operators' programs read them.
#[test]
fn text_and_json_of_a_fleet_are_written_as_they_were() {
    let fleet = fleet(vec![(5, vec![initiator("a", true, 5, None), initiator("b", false, 4, Some(5))])]);
    assert_eq!(fleet.text(), include_str!("../../../../tests/fixtures/reports/planner-fleet.txt"));
    assert_eq!(fleet.json() + "\n", include_str!("../../../../tests/fixtures/reports/planner-fleet.json"));
}
