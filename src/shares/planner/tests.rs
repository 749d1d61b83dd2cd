use super::super::store::Store;
use super::super::Demand;
use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;
const VOLUME: Resource = Resource::Limit(1);

/// A planner and forwarders that are no longer starting, on one clock and with links that lose nothing.
struct Fixture {
    now: Duration,
    planner: Planner,
    stores: Vec<Store>,
    wanted: Vec<f32>,
}

impl Fixture {
    fn new(wanted: &[f32]) -> Fixture {
        let store = |at: usize| Store::new(ForwarderId(at as u64), 1, 1, Duration::ZERO);
        Fixture {
            now: MAX_MOVE_DURATION,
            planner: Planner::new(Settings::default(), PlannerId(1), 1),
            stores: (0..wanted.len()).map(store).collect(),
            wanted: wanted.to_vec(),
        }
    }

    fn even_share(&self) -> Share {
        Share::even(self.stores.len() as f64)
    }

    fn report(&mut self, at: usize) -> Report {
        let (even_share, wanted) = (self.even_share(), self.wanted[at]);
        let demand = Demand { resource: VOLUME, even_share, wanted };
        self.stores[at].build_report(self.now, 0, vec![demand], vec![])
    }

    /// Each forwarder sends a report, which is answered at once.
    fn run_round(&mut self) -> Vec<Plan> {
        self.now += MS(100);
        let even_share = self.even_share();
        let mut plans = Vec::new();
        for at in 0..self.stores.len() {
            let report = self.report(at);
            let plan = self.planner.handle_report(self.now, &report).expect("a plan answers it");
            self.stores[at].apply_plan(self.now, 0, &plan, |_| Some(even_share)).expect("the plan is newer");
            plans.push(plan);
            assert!(self.share_sum() <= u64::from(Share::WHOLE.0), "{:?}", self.shares());
        }
        plans
    }

    fn run_rounds(&mut self, count: usize) {
        (0..count).for_each(|_| drop(self.run_round()));
    }

    fn shares(&self) -> Vec<Share> {
        let even_share = self.even_share();
        self.stores.iter().map(|store| store.usable_share(self.now, VOLUME, even_share)).collect()
    }

    fn share_sum(&self) -> u64 {
        self.shares().iter().map(|share| u64::from(share.0)).sum()
    }
}

#[test]
fn shares_follow_demand_within_a_few_reports() {
    let mut fixture = Fixture::new(&[2.0, 0.0, 0.0, 0.0]);
    fixture.run_rounds(4);
    assert!(fixture.shares()[0].fraction() > 0.75, "{:?}", fixture.shares());
    fixture.wanted = vec![0.0, 0.0, 2.0, 0.0];
    fixture.run_rounds(10);
    let shares = fixture.shares();
    assert!(shares[2].fraction() > 0.75 && shares[0].fraction() < 0.1, "{shares:?}");
    fixture.run_rounds(50);
    assert_eq!(fixture.shares(), shares, "shares are stable while demand does not change");
}

#[test]
fn low_demand_causes_no_moves() {
    let mut fixture = Fixture::new(&[0.1, 0.1, 0.1, 0.1]);
    fixture.run_rounds(5);
    assert!(fixture.run_round().iter().all(|plan| plan.moves.is_empty()));
    assert_eq!(fixture.shares(), [Share(250_000); 4]);
}

#[test]
fn without_a_planner_all_shares_return_to_even() {
    let mut fixture = Fixture::new(&[2.0, 0.0, 0.0, 0.0]);
    fixture.run_rounds(5);
    let mut max_share = fixture.shares()[0];
    for _ in 0..30 {
        fixture.now += MS(50);
        assert!(fixture.share_sum() <= u64::from(Share::WHOLE.0));
        assert!(fixture.shares()[0] <= max_share, "the share only decreases");
        max_share = fixture.shares()[0];
    }
    assert_eq!(fixture.shares(), [Share(250_000); 4]);
}

#[test]
fn a_new_planner_starts_above_the_known_term_and_moves_shares_again() {
    let mut fixture = Fixture::new(&[2.0, 0.0, 0.0, 0.0]);
    fixture.run_rounds(5);
    // The new planner has the lower id, learns of the other's term from the first report, and starts a higher one.
    fixture.planner = Planner::new(Settings::default(), PlannerId(0), 1);
    fixture.wanted = vec![0.0, 2.0, 0.0, 0.0];
    fixture.run_rounds(15);
    assert_eq!(fixture.planner.term().number, 2);
    assert!(fixture.shares()[1].fraction() > 0.75, "{:?}", fixture.shares());
}

#[test]
fn a_restarted_forwarder_gives_nothing_back_and_moves_of_its_old_process_end() {
    let mut fixture = Fixture::new(&[0.0, 2.0]);
    fixture.run_rounds(5);
    assert!(fixture.shares()[1].fraction() > 0.8);
    fixture.stores[0] = Store::new(ForwarderId(0), 2, 1, fixture.now);
    fixture.run_rounds(1);
    assert_eq!(fixture.shares()[0], fixture.even_share().floor());
    fixture.run_rounds(20);
    assert_eq!(fixture.shares()[1], fixture.even_share(), "the reclaims from the first process have ended");
    fixture.run_rounds(50);
    assert!(fixture.shares()[1].fraction() > 0.8, "the new process is no longer starting");
}

#[test]
fn the_grant_of_a_crashed_forwarder_is_reused_only_after_it_has_ended() {
    let mut fixture = Fixture::new(&[2.0, 1.0, 0.0, 0.0]);
    fixture.run_rounds(10);
    let before = fixture.shares()[1];
    // The first forwarder crashes while its grant is in force.
    let crashed = fixture.stores.remove(0);
    fixture.wanted.remove(0);
    let granted = crashed.next_expiry(fixture.now).unwrap() - fixture.now;
    let (mut waited, even_share) = (Duration::ZERO, Share::even(4.0));
    while fixture.stores[0].usable_share(fixture.now, VOLUME, even_share) < before.plus(Share(50_000)) {
        fixture.now += MS(100);
        waited += MS(100);
        for at in 0..3 {
            let demand = Demand { resource: VOLUME, even_share, wanted: fixture.wanted[at] };
            let report = fixture.stores[at].build_report(fixture.now, 0, vec![demand], vec![]);
            let plan = fixture.planner.handle_report(fixture.now, &report).unwrap();
            fixture.stores[at].apply_plan(fixture.now, 0, &plan, |_| Some(even_share)).unwrap();
        }
    }
    assert!(waited >= granted, "{waited:?} {granted:?}");
    assert!(waited < Settings::default().silence_timeout + Settings::default().grant * 2, "{waited:?}");
}

#[test]
fn each_node_has_one_prober_and_all_others_get_its_results() {
    let mut fixture = Fixture::new(&[0.1; 5]);
    let nodes: Vec<u64> = (0..40).collect();
    fixture.planner.set_nodes(&nodes);
    fixture.run_rounds(2);
    let mut probed: Vec<u64> = fixture.stores.iter().flat_map(Store::probes).collect();
    probed.sort_unstable();
    assert_eq!(probed, nodes);
    let prober = (0..5).find(|at| fixture.stores[*at].probes().any(|node| node == 7)).unwrap();
    fixture.now += MS(100);
    let probe_result = ProbeResult { node: 7, response_time: Some(MS(3)), age: MS(20) };
    let report = fixture.stores[prober].build_report(fixture.now, 0, vec![], vec![probe_result]);
    fixture.planner.handle_report(fixture.now, &report).unwrap();
    let informed: Vec<usize> = fixture
        .run_round()
        .iter()
        .enumerate()
        .filter(|(_, plan)| plan.hints.iter().any(|hint| hint.node == 7 && hint.age == MS(120)))
        .map(|(at, _)| at)
        .collect();
    let others: Vec<usize> = (0..5).filter(|at| *at != prober).collect();
    assert_eq!(informed, others);
    assert!(fixture.run_round().iter().all(|plan| plan.hints.is_empty() && plan.probes.is_none()));
    // The nodes of a silent prober are probed by others.
    let (silent, _) = (fixture.stores.remove(prober), fixture.wanted.remove(prober));
    fixture.run_rounds(15);
    assert!(silent.probes().count() > 0);
    assert_eq!(fixture.stores.iter().flat_map(Store::probes).count(), 40);
}

/// The first plan with a reclaim from forwarder 0, which does not receive it.
fn first_reclaim(fixture: &mut Fixture) -> Plan {
    loop {
        fixture.now += MS(100);
        for at in (0..fixture.stores.len()).rev() {
            let report = fixture.report(at);
            let plan = fixture.planner.handle_report(fixture.now, &report).unwrap();
            if at == 0 && matches!(plan.moves.first(), Some((VOLUME, Move::Reclaim(..)))) {
                return plan;
            }
            fixture.stores[at].apply_plan(fixture.now, 0, &plan, |_| Some(Share::even(2.0))).unwrap();
        }
    }
}

#[test]
fn moves_of_a_lost_plan_are_repeated_in_the_next() {
    let mut fixture = Fixture::new(&[0.0, 2.0]);
    let lost_plan = first_reclaim(&mut fixture);
    fixture.now += MS(100);
    let report = fixture.report(0);
    let next = fixture.planner.handle_report(fixture.now, &report).unwrap();
    assert_eq!(next.moves.len(), 1, "the move of the lost plan is repeated");
    // The move is also repeated if the demand has ended.
    let report = fixture.stores[0].build_report(fixture.now, 0, vec![], vec![]);
    let later = fixture.planner.handle_report(fixture.now, &report).unwrap();
    assert_eq!(later.moves.len(), 1);
    assert!(lost_plan.version < next.version && next.version < later.version);
}

#[test]
fn a_silent_forwarder_continues_with_later_plan_versions() {
    let mut fixture = Fixture::new(&[0.0, 2.0]);
    fixture.run_rounds(10);
    let held = fixture.stores[0].latest_plan(fixture.now, 0).unwrap().1;
    // Forwarder 0 is silent for longer than the timeout; the other one continues.
    for _ in 0..30 {
        fixture.now += MS(100);
        let report = fixture.report(1);
        let plan = fixture.planner.handle_report(fixture.now, &report).unwrap();
        fixture.stores[1].apply_plan(fixture.now, 0, &plan, |_| Some(Share::even(2.0))).unwrap();
    }
    assert_eq!(fixture.planner.sizes().forwarders, 1);
    fixture.run_round();
    assert!(fixture.stores[0].latest_plan(fixture.now, 0).unwrap().1 > held, "the plan was applied");
    assert_eq!(fixture.planner.holders.len(), 2, "no second account of the same process");
    // Silent for so long that its state is dropped: later plans must still have higher versions than the one it holds.
    for _ in 0..150 {
        fixture.now += MS(100);
        let report = fixture.report(1);
        fixture.planner.handle_report(fixture.now, &report).unwrap();
    }
    assert_eq!(fixture.planner.holders.len(), 1);
    fixture.run_rounds(20);
    assert!(fixture.shares()[1].fraction() > 0.8);
}

#[test]
fn a_version_held_from_an_earlier_term_confirms_nothing_in_this_one() {
    let mut fixture = Fixture::new(&[0.0, 2.0]);
    fixture.run_rounds(10);
    let report = fixture.report(0);
    fixture.planner = Planner::new(Settings::default(), PlannerId(1), 2);
    assert_ne!(report.term, Some(fixture.planner.term()), "same number and planner, but another term");
    let other_report = fixture.report(1);
    fixture.planner.handle_report(fixture.now, &other_report).unwrap();
    // No plan of the new term arrives, so forwarder 0 keeps reporting the version that it held before.
    let reclaims = (0..report.held_version + 5).filter(|_| {
        let plan = fixture.planner.handle_report(fixture.now, &report).unwrap();
        matches!(plan.moves.first(), Some((VOLUME, Move::Reclaim(share, _))) if *share > Share::NONE)
    });
    assert!(reclaims.count() > 10, "the reclaim is repeated in each plan");
    let granted = fixture.report(1);
    let plan = fixture.planner.handle_report(fixture.now, &granted).unwrap();
    assert!(!plan
        .moves
        .iter()
        .any(|(_, moved)| matches!(moved, Move::Grant(share, _) if *share > Share::NONE)));
}

#[test]
fn oversized_reports_and_too_many_forwarders_are_not_answered() {
    let mut planner = Planner::new(Settings::default(), PlannerId(1), 1);
    let mut store = Store::new(ForwarderId(1), 1, 1, Duration::ZERO);
    let demand = Demand { resource: VOLUME, even_share: Share::even(2.0), wanted: f32::NAN };
    let nonsense = store.build_report(MS(1), 0, vec![demand], vec![]);
    assert!(planner.handle_report(MS(1), &nonsense).is_some(), "a NaN demand counts as none");
    let long = Report { demands: vec![demand; MAX_DEMANDS + 1], ..nonsense };
    assert!(planner.handle_report(MS(1), &long).is_none());
    for forwarder in 0..MAX_HOLDERS as u64 {
        let mut store = Store::new(ForwarderId(10 + forwarder), 1, 1, Duration::ZERO);
        planner.handle_report(MS(1), &store.build_report(MS(1), 0, vec![], vec![]));
    }
    assert_eq!(planner.sizes().forwarders, MAX_HOLDERS);
}
