use super::super::PlannerId;
use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;
const V: Resource = Resource::Limit(1);
const EVEN: Share = Share(250_000);
/// A process that is no longer young.
const OLD: Duration = Duration::from_secs(10);

fn store() -> Store {
    Store::new(ForwarderId(1), 7, 1, MS(0))
}

fn plan(term: u64, version: u64, answers_report: u64, moved: Move) -> Plan {
    let term = Term { number: term, planner: PlannerId(1), nonce: 1 };
    Plan {
        term,
        incarnation: 7,
        version,
        answers_report,
        moves: vec![(V, moved)],
        probes: None,
        hints: vec![],
    }
}

fn take(store: &mut Store, now: Duration, plan: &Plan) -> Result<(), PlanRejection> {
    store.apply_plan(now, 0, plan, |_| Some(EVEN))
}

#[test]
fn a_grant_counts_from_the_report_and_a_reclaim_from_its_coming() {
    let mut store = store();
    store.build_report(OLD, 0, vec![], vec![]);
    let came = OLD + MS(300);
    take(&mut store, came, &plan(1, 1, 1, Move::Grant(Share(100_000), MS(400)))).unwrap();
    assert_eq!(store.usable_share(came, V, EVEN), Share(350_000));
    assert_eq!(store.next_expiry(came), Some(OLD + MS(400)));
    assert_eq!(store.usable_share(OLD + MS(400), V, EVEN), EVEN);
    take(&mut store, came, &plan(1, 2, 1, Move::Reclaim(Share(100_000), MS(400)))).unwrap();
    assert_eq!(store.in_force(came), (1, 0), "it replaced the grant");
    assert_eq!(store.usable_share(OLD + MS(699), V, EVEN), Share(150_000));
    assert_eq!(store.usable_share(OLD + MS(700), V, EVEN), EVEN);
    store.drop_expired(OLD + MS(700));
    assert_eq!(store.held.len(), 0);
}

#[test]
fn a_plan_that_comes_after_its_successor_is_not_taken() {
    let mut store = store();
    store.build_report(OLD, 0, vec![], vec![]);
    let grant = |part| Move::Grant(Share(part), MS(400));
    take(&mut store, OLD, &plan(1, 2, 1, grant(1000))).unwrap();
    assert_eq!(take(&mut store, OLD, &plan(1, 1, 1, grant(500_000))), Err(PlanRejection::OldVersion));
    assert_eq!(take(&mut store, OLD, &plan(1, 2, 1, grant(500_000))), Err(PlanRejection::OldVersion));
    take(&mut store, OLD, &plan(2, 1, 1, grant(2000))).unwrap();
    assert_eq!(take(&mut store, OLD, &plan(1, 3, 1, grant(500_000))), Err(PlanRejection::OldTerm));
    assert_eq!(
        store.usable_share(OLD, V, EVEN),
        Share(253_000),
        "what the earlier one granted goes on until its end"
    );
    let report = store.build_report(OLD, 0, vec![], vec![]);
    assert_eq!((report.term.map(|term| term.number), report.held_version), (Some(2), 1));
}

#[test]
fn a_grant_for_a_report_that_is_forgotten_counts_for_nothing() {
    let mut store = store();
    for _ in 0..=MOST_ASKED {
        store.build_report(OLD, 0, vec![], vec![]);
    }
    take(&mut store, OLD, &plan(1, 1, 1, Move::Grant(Share(100_000), MS(400)))).unwrap();
    assert_eq!(store.usable_share(OLD, V, EVEN), EVEN);
}

#[test]
fn two_planners_cannot_take_more_than_all_but_the_floor() {
    let mut store = store();
    take(&mut store, OLD, &plan(1, 1, 0, Move::Reclaim(Share(150_000), MS(800)))).unwrap();
    take(&mut store, OLD, &plan(2, 1, 0, Move::Reclaim(Share(150_000), MS(800)))).unwrap();
    assert_eq!(store.build_report(OLD, 0, vec![], vec![]).refused, [V]);
    assert_eq!(store.usable_share(OLD, V, EVEN), Share(100_000));
    take(&mut store, OLD, &plan(2, 2, 0, Move::Reclaim(Share(37_500), MS(800)))).unwrap();
    assert_eq!(store.usable_share(OLD, V, EVEN), EVEN.floor());
    assert!(store.build_report(OLD, 0, vec![], vec![]).refused.is_empty());
}

#[test]
fn a_reclaim_that_is_refused_leaves_the_one_before_in_force() {
    let mut store = store();
    take(&mut store, OLD, &plan(2, 1, 0, Move::Reclaim(Share(100_000), MS(800)))).unwrap();
    take(&mut store, OLD, &plan(2, 2, 0, Move::Reclaim(Share(200_000), MS(800)))).unwrap();
    assert_eq!(store.build_report(OLD, 0, vec![], vec![]).refused, [V]);
    assert_eq!(store.usable_share(OLD, V, EVEN), Share(150_000));
}

#[test]
fn a_reclaim_that_is_refused_ends_a_grant_all_the_same() {
    let mut store = store();
    store.build_report(OLD, 0, vec![], vec![]);
    take(&mut store, OLD, &plan(2, 1, 1, Move::Grant(Share(100_000), MS(400)))).unwrap();
    take(&mut store, OLD, &plan(2, 2, 1, Move::Reclaim(Share(200_000), MS(800)))).unwrap();
    assert_eq!(store.build_report(OLD, 0, vec![], vec![]).refused, [V]);
    assert_eq!(store.usable_share(OLD, V, EVEN), EVEN);
}

#[test]
fn a_process_that_has_just_started_holds_to_its_floor_and_gives_back_nothing() {
    let mut store = store();
    assert_eq!(store.usable_share(MS(10), V, EVEN), EVEN.floor());
    take(&mut store, MS(10), &plan(1, 1, 0, Move::Reclaim(Share(1), MS(800)))).unwrap();
    let report = store.build_report(MS(10), 0, vec![], vec![]);
    assert_eq!((report.refused, report.gives_back), (vec![V], false));
    assert_eq!(store.usable_share(MAX_MOVE_DURATION, V, EVEN), EVEN);
}

#[test]
fn without_plans_it_decays_to_the_even_part() {
    let mut store = store();
    assert_eq!(store.mode(OLD, 0), Mode::Safe);
    take(&mut store, OLD, &plan(1, 1, 0, Move::Reclaim(Share(100_000), MS(60_000)))).unwrap();
    assert_eq!(store.mode(OLD + MS(999), 0), Mode::Planned);
    assert_eq!(store.mode(OLD + MS(1000), 0), Mode::Stale);
    assert_eq!(store.mode(OLD + MAX_MOVE_DURATION, 0), Mode::Safe);
    assert_eq!(store.usable_share(OLD + MAX_MOVE_DURATION, V, EVEN), EVEN, "no move lasts longer");
    assert_eq!(store.latest_plan(OLD + MS(30), 0).map(|(_, version, age)| (version, age)), Some((1, MS(30))));
    let long = Plan {
        moves: vec![(V, Move::Reclaim(Share(0), MS(1))); MAX_MOVES + 1],
        ..plan(9, 9, 0, Move::Reclaim(Share(0), MS(1)))
    };
    assert_eq!(take(&mut store, OLD, &long), Err(PlanRejection::TooLong));
    let other = Plan { incarnation: 6, ..plan(9, 9, 0, Move::Reclaim(Share(0), MS(1))) };
    assert_eq!(take(&mut store, OLD, &other), Err(PlanRejection::OtherProcess));
}
