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
fn connected_planners_take_precedence_and_among_them_the_older_revision_in_force() {
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
fn progress_lists_missing_and_refusing_initiators_and_omits_disconnected_ones() {
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
    let expected = "revision 5 is in force at 2; missing at 1: b; refused by 1: c (plans.x: it has none)";
    assert_eq!(text, expected);
}

#[test]
fn a_recently_disconnected_initiator_counts_as_missing() {
    let mut broken = initiator("a", false, 4, None);
    broken.silent_ms = 2999;
    assert_eq!(fleet(vec![(5, vec![broken.clone()])]).progress(RevisionNumber(5)).missing, ["a"]);
    broken.silent_ms = 3000;
    assert_eq!(fleet(vec![(5, vec![broken])]).progress(RevisionNumber(5)), Progress::default());
}

#[test]
fn a_revision_unknown_to_these_planners_does_not_count_as_in_force() {
    let mut foreign = initiator("a", true, 5, None);
    foreign.in_force.hash.0[0] ^= 1;
    let all = vec![foreign, initiator("b", true, 5, None), initiator("c", true, 6, None)];
    let progress = fleet(vec![(5, all)]).progress(RevisionNumber(5));
    assert_eq!((progress.in_force, progress.missing), (1, vec!["a".to_string(), "c".to_string()]));
}

#[test]
fn a_refusal_known_to_one_planner_is_shown() {
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
fn a_long_list_of_names_is_cut_with_the_number_of_the_rest() {
    let names: Vec<String> = (0..23).map(|number| format!("f-{number}")).collect();
    assert!(format_names(&names).ends_with("f-19 and 3 more"), "{}", format_names(&names));
}

/// Operators' programs parse these outputs.
#[test]
fn text_and_json_of_a_fleet_match_the_recorded_reports() {
    let fleet = fleet(vec![(5, vec![initiator("a", true, 5, None), initiator("b", false, 4, Some(5))])]);
    assert_eq!(fleet.text(), include_str!("../../../../tests/fixtures/reports/planner-fleet.txt"));
    assert_eq!(fleet.json() + "\n", include_str!("../../../../tests/fixtures/reports/planner-fleet.json"));
}
