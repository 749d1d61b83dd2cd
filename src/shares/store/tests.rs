use super::super::PlannerId;
use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;
const VOLUME: Resource = Resource::Limit(1);
const EVEN_SHARE: Share = Share(250_000);
/// A time when the process is no longer starting.
const AFTER_STARTUP: Duration = Duration::from_secs(10);

fn store() -> Store {
    Store::new(ForwarderId(1), 7, 1, MS(0))
}

fn plan(term: u64, version: u64, answers_report: u64, new_move: Move) -> Plan {
    let term = Term { number: term, planner: PlannerId(1), nonce: 1 };
    Plan {
        term,
        incarnation: 7,
        version,
        answers_report,
        moves: vec![(VOLUME, new_move)],
        probes: None,
        hints: vec![],
    }
}

fn apply(store: &mut Store, now: Duration, plan: &Plan) -> Result<(), PlanRejection> {
    store.apply_plan(now, 0, plan, |_| Some(EVEN_SHARE))
}

#[test]
fn a_grant_starts_with_the_report_and_a_reclaim_with_its_receipt() {
    let mut store = store();
    store.build_report(AFTER_STARTUP, 0, vec![], vec![]);
    let received = AFTER_STARTUP + MS(300);
    apply(&mut store, received, &plan(1, 1, 1, Move::Grant(Share(100_000), MS(400)))).unwrap();
    assert_eq!(store.usable_share(received, VOLUME, EVEN_SHARE), Share(350_000));
    assert_eq!(store.next_expiry(received), Some(AFTER_STARTUP + MS(400)));
    assert_eq!(store.usable_share(AFTER_STARTUP + MS(400), VOLUME, EVEN_SHARE), EVEN_SHARE);
    apply(&mut store, received, &plan(1, 2, 1, Move::Reclaim(Share(100_000), MS(400)))).unwrap();
    assert_eq!(store.in_force(received), (1, 0), "the reclaim replaced the grant");
    assert_eq!(store.usable_share(AFTER_STARTUP + MS(699), VOLUME, EVEN_SHARE), Share(150_000));
    assert_eq!(store.usable_share(AFTER_STARTUP + MS(700), VOLUME, EVEN_SHARE), EVEN_SHARE);
    store.drop_expired(AFTER_STARTUP + MS(700));
    assert_eq!(store.resources.len(), 0);
}

#[test]
fn plans_of_an_older_term_or_version_are_rejected() {
    let mut store = store();
    store.build_report(AFTER_STARTUP, 0, vec![], vec![]);
    let grant = |share| Move::Grant(Share(share), MS(400));
    apply(&mut store, AFTER_STARTUP, &plan(1, 2, 1, grant(1000))).unwrap();
    assert_eq!(
        apply(&mut store, AFTER_STARTUP, &plan(1, 1, 1, grant(500_000))),
        Err(PlanRejection::OldVersion)
    );
    assert_eq!(
        apply(&mut store, AFTER_STARTUP, &plan(1, 2, 1, grant(500_000))),
        Err(PlanRejection::OldVersion)
    );
    apply(&mut store, AFTER_STARTUP, &plan(2, 1, 1, grant(2000))).unwrap();
    assert_eq!(apply(&mut store, AFTER_STARTUP, &plan(1, 3, 1, grant(500_000))), Err(PlanRejection::OldTerm));
    assert_eq!(
        store.usable_share(AFTER_STARTUP, VOLUME, EVEN_SHARE),
        Share(253_000),
        "the grant of the earlier term is in force until its end"
    );
    let report = store.build_report(AFTER_STARTUP, 0, vec![], vec![]);
    assert_eq!((report.term.map(|term| term.number), report.held_version), (Some(2), 1));
}

#[test]
fn a_grant_for_a_forgotten_report_is_ignored() {
    let mut store = store();
    for _ in 0..=MAX_PENDING_REPORTS {
        store.build_report(AFTER_STARTUP, 0, vec![], vec![]);
    }
    apply(&mut store, AFTER_STARTUP, &plan(1, 1, 1, Move::Grant(Share(100_000), MS(400)))).unwrap();
    assert_eq!(store.usable_share(AFTER_STARTUP, VOLUME, EVEN_SHARE), EVEN_SHARE);
}

#[test]
fn two_planners_together_cannot_reclaim_the_floor() {
    let mut store = store();
    apply(&mut store, AFTER_STARTUP, &plan(1, 1, 0, Move::Reclaim(Share(150_000), MS(800)))).unwrap();
    apply(&mut store, AFTER_STARTUP, &plan(2, 1, 0, Move::Reclaim(Share(150_000), MS(800)))).unwrap();
    assert_eq!(store.build_report(AFTER_STARTUP, 0, vec![], vec![]).refused, [VOLUME]);
    assert_eq!(store.usable_share(AFTER_STARTUP, VOLUME, EVEN_SHARE), Share(100_000));
    apply(&mut store, AFTER_STARTUP, &plan(2, 2, 0, Move::Reclaim(Share(37_500), MS(800)))).unwrap();
    assert_eq!(store.usable_share(AFTER_STARTUP, VOLUME, EVEN_SHARE), EVEN_SHARE.floor());
    assert!(store.build_report(AFTER_STARTUP, 0, vec![], vec![]).refused.is_empty());
}

#[test]
fn a_refused_reclaim_leaves_the_previous_one_in_force() {
    let mut store = store();
    apply(&mut store, AFTER_STARTUP, &plan(2, 1, 0, Move::Reclaim(Share(100_000), MS(800)))).unwrap();
    apply(&mut store, AFTER_STARTUP, &plan(2, 2, 0, Move::Reclaim(Share(200_000), MS(800)))).unwrap();
    assert_eq!(store.build_report(AFTER_STARTUP, 0, vec![], vec![]).refused, [VOLUME]);
    assert_eq!(store.usable_share(AFTER_STARTUP, VOLUME, EVEN_SHARE), Share(150_000));
}

#[test]
fn a_refused_reclaim_ends_the_previous_grant() {
    let mut store = store();
    store.build_report(AFTER_STARTUP, 0, vec![], vec![]);
    apply(&mut store, AFTER_STARTUP, &plan(2, 1, 1, Move::Grant(Share(100_000), MS(400)))).unwrap();
    apply(&mut store, AFTER_STARTUP, &plan(2, 2, 1, Move::Reclaim(Share(200_000), MS(800)))).unwrap();
    assert_eq!(store.build_report(AFTER_STARTUP, 0, vec![], vec![]).refused, [VOLUME]);
    assert_eq!(store.usable_share(AFTER_STARTUP, VOLUME, EVEN_SHARE), EVEN_SHARE);
}

#[test]
fn a_starting_process_uses_only_its_floor_and_gives_nothing_back() {
    let mut store = store();
    assert_eq!(store.usable_share(MS(10), VOLUME, EVEN_SHARE), EVEN_SHARE.floor());
    apply(&mut store, MS(10), &plan(1, 1, 0, Move::Reclaim(Share(1), MS(800)))).unwrap();
    let report = store.build_report(MS(10), 0, vec![], vec![]);
    assert_eq!((report.refused, report.gives_back), (vec![VOLUME], false));
    assert_eq!(store.usable_share(MAX_MOVE_DURATION, VOLUME, EVEN_SHARE), EVEN_SHARE);
}

#[test]
fn without_plans_the_share_returns_to_the_even_share() {
    let mut store = store();
    assert_eq!(store.mode(AFTER_STARTUP, 0), Mode::Safe);
    apply(&mut store, AFTER_STARTUP, &plan(1, 1, 0, Move::Reclaim(Share(100_000), MS(60_000)))).unwrap();
    assert_eq!(store.mode(AFTER_STARTUP + MS(999), 0), Mode::Planned);
    assert_eq!(store.mode(AFTER_STARTUP + MS(1000), 0), Mode::Stale);
    assert_eq!(store.mode(AFTER_STARTUP + MAX_MOVE_DURATION, 0), Mode::Safe);
    assert_eq!(
        store.usable_share(AFTER_STARTUP + MAX_MOVE_DURATION, VOLUME, EVEN_SHARE),
        EVEN_SHARE,
        "no move lasts longer"
    );
    assert_eq!(
        store.latest_plan(AFTER_STARTUP + MS(30), 0).map(|(_, version, age)| (version, age)),
        Some((1, MS(30)))
    );
    let long = Plan {
        moves: vec![(VOLUME, Move::Reclaim(Share(0), MS(1))); MAX_MOVES + 1],
        ..plan(9, 9, 0, Move::Reclaim(Share(0), MS(1)))
    };
    assert_eq!(apply(&mut store, AFTER_STARTUP, &long), Err(PlanRejection::TooLong));
    let other = Plan { incarnation: 6, ..plan(9, 9, 0, Move::Reclaim(Share(0), MS(1))) };
    assert_eq!(apply(&mut store, AFTER_STARTUP, &other), Err(PlanRejection::OtherProcess));
}
