use super::super::store::Store;
use super::super::Demand;
use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;
const V: Resource = Resource::Limit(1);

/// Forwarders that are no longer young and a planner, all on one clock, with links that lose nothing.
struct Bench {
    now: Duration,
    planner: Planner,
    stores: Vec<Store>,
    wanted: Vec<f32>,
}

impl Bench {
    fn new(wanted: &[f32]) -> Bench {
        let store = |at: usize| Store::new(ForwarderId(at as u64), 1, 1, Duration::ZERO);
        Bench {
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
        let demand = Demand { resource: V, even_share, wanted };
        self.stores[at].build_report(self.now, 0, vec![demand], vec![])
    }

    /// A report of each forwarder, each answered at once.
    fn round(&mut self) -> Vec<Plan> {
        self.now += MS(100);
        let even_share = self.even_share();
        let mut plans = Vec::new();
        for at in 0..self.stores.len() {
            let report = self.report(at);
            let plan = self.planner.handle_report(self.now, &report).expect("there is room");
            self.stores[at].apply_plan(self.now, 0, &plan, |_| Some(even_share)).expect("it is newer");
            plans.push(plan);
            assert!(self.sum() <= u64::from(Share::WHOLE.0), "{:?}", self.shares());
        }
        plans
    }

    fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| drop(self.round()));
    }

    fn shares(&self) -> Vec<Share> {
        let even_share = self.even_share();
        self.stores.iter().map(|store| store.usable_share(self.now, V, even_share)).collect()
    }

    fn sum(&self) -> u64 {
        self.shares().iter().map(|part| u64::from(part.0)).sum()
    }
}

#[test]
fn parts_go_where_they_are_wanted_within_a_few_reports_and_follow_when_that_moves() {
    let mut bench = Bench::new(&[2.0, 0.0, 0.0, 0.0]);
    bench.rounds(4);
    assert!(bench.shares()[0].fraction() > 0.75, "{:?}", bench.shares());
    bench.wanted = vec![0.0, 0.0, 2.0, 0.0];
    bench.rounds(10);
    let shares = bench.shares();
    assert!(shares[2].fraction() > 0.75 && shares[0].fraction() < 0.1, "{shares:?}");
    bench.rounds(50);
    assert_eq!(bench.shares(), shares, "it stays so while nothing changes");
}

#[test]
fn calm_forwarders_are_left_alone_and_told_little() {
    let mut bench = Bench::new(&[0.1, 0.1, 0.1, 0.1]);
    bench.rounds(5);
    assert!(bench.round().iter().all(|plan| plan.moves.is_empty()));
    assert_eq!(bench.shares(), [Share(250_000); 4]);
}

#[test]
fn without_its_planner_everybody_comes_back_to_the_even_part() {
    let mut bench = Bench::new(&[2.0, 0.0, 0.0, 0.0]);
    bench.rounds(5);
    let mut most = bench.shares()[0];
    for _ in 0..30 {
        bench.now += MS(50);
        assert!(bench.sum() <= u64::from(Share::WHOLE.0));
        assert!(bench.shares()[0] <= most, "it only falls");
        most = bench.shares()[0];
    }
    assert_eq!(bench.shares(), [Share(250_000); 4]);
}

#[test]
fn a_new_planner_moves_only_what_is_given_back_to_it() {
    let mut bench = Bench::new(&[2.0, 0.0, 0.0, 0.0]);
    bench.rounds(5);
    // It is the lower one of the two, hears of the other's term in the first report, and goes beyond it.
    bench.planner = Planner::new(Settings::default(), PlannerId(0), 1);
    bench.wanted = vec![0.0, 2.0, 0.0, 0.0];
    bench.rounds(15);
    assert_eq!(bench.planner.term().number, 2);
    assert!(bench.shares()[1].fraction() > 0.75, "{:?}", bench.shares());
}

#[test]
fn one_that_starts_again_gives_back_nothing_and_what_it_had_ends() {
    let mut bench = Bench::new(&[0.0, 2.0]);
    bench.rounds(5);
    assert!(bench.shares()[1].fraction() > 0.8);
    bench.stores[0] = Store::new(ForwarderId(0), 2, 1, bench.now);
    bench.rounds(1);
    assert_eq!(bench.shares()[0], bench.even_share().floor());
    bench.rounds(20);
    assert_eq!(bench.shares()[1], bench.even_share(), "what the first process gave back has ended");
    bench.rounds(50);
    assert!(bench.shares()[1].fraction() > 0.8, "it is no longer young");
}

#[test]
fn a_dead_forwarders_grant_is_free_again_after_it_has_ended() {
    let mut bench = Bench::new(&[2.0, 1.0, 0.0, 0.0]);
    bench.rounds(10);
    let before = bench.shares()[1];
    // The first one dies with its grant in hand.
    let dead = bench.stores.remove(0);
    bench.wanted.remove(0);
    let granted = dead.next_expiry(bench.now).unwrap() - bench.now;
    let (mut waited, even_share) = (Duration::ZERO, Share::even(4.0));
    while bench.stores[0].usable_share(bench.now, V, even_share) < before.plus(Share(50_000)) {
        bench.now += MS(100);
        waited += MS(100);
        for at in 0..3 {
            let demand = Demand { resource: V, even_share, wanted: bench.wanted[at] };
            let report = bench.stores[at].build_report(bench.now, 0, vec![demand], vec![]);
            let plan = bench.planner.handle_report(bench.now, &report).unwrap();
            bench.stores[at].apply_plan(bench.now, 0, &plan, |_| Some(even_share)).unwrap();
        }
    }
    assert!(waited >= granted, "{waited:?} {granted:?}");
    assert!(waited < Settings::default().silence_timeout + Settings::default().grant * 2, "{waited:?}");
}

#[test]
fn each_node_is_probed_by_one_and_all_others_hear_of_it() {
    let mut bench = Bench::new(&[0.1; 5]);
    let nodes: Vec<u64> = (0..40).collect();
    bench.planner.set_nodes(&nodes);
    bench.rounds(2);
    let mut probed: Vec<u64> = bench.stores.iter().flat_map(Store::probes).collect();
    probed.sort_unstable();
    assert_eq!(probed, nodes);
    let prober = (0..5).find(|at| bench.stores[*at].probes().any(|node| node == 7)).unwrap();
    bench.now += MS(100);
    let seen = ProbeResult { node: 7, response_time: Some(MS(3)), age: MS(20) };
    let report = bench.stores[prober].build_report(bench.now, 0, vec![], vec![seen]);
    bench.planner.handle_report(bench.now, &report).unwrap();
    let told: Vec<usize> = bench
        .round()
        .iter()
        .enumerate()
        .filter(|(_, plan)| plan.hints.iter().any(|hint| hint.node == 7 && hint.age == MS(120)))
        .map(|(at, _)| at)
        .collect();
    let others: Vec<usize> = (0..5).filter(|at| *at != prober).collect();
    assert_eq!(told, others);
    assert!(bench.round().iter().all(|plan| plan.hints.is_empty() && plan.probes.is_none()));
    // One that falls silent is replaced.
    let (gone, _) = (bench.stores.remove(prober), bench.wanted.remove(prober));
    bench.rounds(15);
    assert!(gone.probes().count() > 0);
    assert_eq!(bench.stores.iter().flat_map(Store::probes).count(), 40);
}

/// The first plan that asks forwarder 0 to give back, which has it not taken.
fn first_reclaim(bench: &mut Bench) -> Plan {
    loop {
        bench.now += MS(100);
        for at in (0..bench.stores.len()).rev() {
            let report = bench.report(at);
            let plan = bench.planner.handle_report(bench.now, &report).unwrap();
            if at == 0 && matches!(plan.moves.first(), Some((V, Move::Reclaim(..)))) {
                return plan;
            }
            bench.stores[at].apply_plan(bench.now, 0, &plan, |_| Some(Share::even(2.0))).unwrap();
        }
    }
}

#[test]
fn a_plan_that_was_lost_is_not_taken_for_held_with_the_next() {
    let mut bench = Bench::new(&[0.0, 2.0]);
    let lost = first_reclaim(&mut bench);
    bench.now += MS(100);
    let report = bench.report(0);
    let next = bench.planner.handle_report(bench.now, &report).unwrap();
    assert_eq!(next.moves.len(), 1, "what was lost is moved again");
    // A demand that has ended meanwhile changes nothing of that.
    let report = bench.stores[0].build_report(bench.now, 0, vec![], vec![]);
    let later = bench.planner.handle_report(bench.now, &report).unwrap();
    assert_eq!(later.moves.len(), 1);
    assert!(lost.version < next.version && next.version < later.version);
}

#[test]
fn one_that_was_silent_goes_on_as_the_same_with_later_versions() {
    let mut bench = Bench::new(&[0.0, 2.0]);
    bench.rounds(10);
    let held = bench.stores[0].latest_plan(bench.now, 0).unwrap().1;
    // Silent for longer than it takes to be left out; the other one goes on.
    for _ in 0..30 {
        bench.now += MS(100);
        let report = bench.report(1);
        let plan = bench.planner.handle_report(bench.now, &report).unwrap();
        bench.stores[1].apply_plan(bench.now, 0, &plan, |_| Some(Share::even(2.0))).unwrap();
    }
    assert_eq!(bench.planner.sizes().forwarders, 1);
    bench.round();
    assert!(bench.stores[0].latest_plan(bench.now, 0).unwrap().1 > held, "it was taken");
    assert_eq!(bench.planner.holders.len(), 2, "no second account of the same process");
    // Silent for so long that it is forgotten: what it holds is still older than what it is told now.
    for _ in 0..150 {
        bench.now += MS(100);
        let report = bench.report(1);
        bench.planner.handle_report(bench.now, &report).unwrap();
    }
    assert_eq!(bench.planner.holders.len(), 1);
    bench.rounds(20);
    assert!(bench.shares()[1].fraction() > 0.8);
}

#[test]
fn what_was_held_of_an_earlier_time_in_charge_is_nothing_held_of_this() {
    let mut bench = Bench::new(&[0.0, 2.0]);
    bench.rounds(10);
    let report = bench.report(0);
    bench.planner = Planner::new(Settings::default(), PlannerId(1), 2);
    assert_ne!(
        report.term,
        Some(bench.planner.term()),
        "the same number and planner, another time in charge"
    );
    let wanting = bench.report(1);
    bench.planner.handle_report(bench.now, &wanting).unwrap();
    // None of its plans arrives, and so it goes on to report what it held before.
    let asked = (0..report.held_version + 5).filter(|_| {
        let plan = bench.planner.handle_report(bench.now, &report).unwrap();
        matches!(plan.moves.first(), Some((V, Move::Reclaim(part, _))) if *part > Share::NONE)
    });
    assert!(asked.count() > 10, "it is asked to give back all the time");
    let granted = bench.report(1);
    let plan = bench.planner.handle_report(bench.now, &granted).unwrap();
    assert!(!plan
        .moves
        .iter()
        .any(|(_, moved)| matches!(moved, Move::Grant(part, _) if *part > Share::NONE)));
}

#[test]
fn what_is_too_much_is_not_answered() {
    let mut planner = Planner::new(Settings::default(), PlannerId(1), 1);
    let mut store = Store::new(ForwarderId(1), 1, 1, Duration::ZERO);
    let demand = Demand { resource: V, even_share: Share::even(2.0), wanted: f32::NAN };
    let nonsense = store.build_report(MS(1), 0, vec![demand], vec![]);
    assert!(planner.handle_report(MS(1), &nonsense).is_some(), "a demand that is no number is none");
    let long = Report { demands: vec![demand; MAX_DEMANDS + 1], ..nonsense };
    assert!(planner.handle_report(MS(1), &long).is_none());
    for forwarder in 0..MOST_HOLDERS as u64 {
        let mut store = Store::new(ForwarderId(10 + forwarder), 1, 1, Duration::ZERO);
        planner.handle_report(MS(1), &store.build_report(MS(1), 0, vec![], vec![]));
    }
    assert_eq!(planner.sizes().forwarders, MOST_HOLDERS);
}
