use super::super::world::{random_settings, simulate};
use super::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const MS: fn(u64) -> Duration = Duration::from_millis;
const RAN: Option<(Duration, Outcome)> = Some((Duration::from_millis(50), Outcome::Reset));
const FULL: Option<(Duration, Outcome)> = Some((Duration::from_millis(5), Outcome::Rejected));

/// Returns an empty history with one initiator, one class and one plan.
fn history(effect: Effect) -> History {
    let mut settings = random_settings(&mut ChaCha8Rng::seed_from_u64(1));
    settings.initiators = 1;
    settings.classes.truncate(1);
    settings.classes[0] =
        Class { effect, dedup_window: MS(1000), in_order: true, ..settings.classes[0].clone() };
    settings.plans.truncate(1);
    settings.plans[0].limit = Some(Limit { rate: 1.0, burst: 10.0, overdraft: 2.0 });
    settings.units = Units { largest: 2.0, slow_start_units: 4.0, ..settings.units };
    settings.rules.drain_grace = MS(500);
    settings.rules.retry_budget = Some(RetryBudget { min_retries: 1.0, retry_ratio: 0.0, window: MS(1000) });
    settings.limits.max_attempts = 2;
    let mut history = History::new(settings);
    history.generation_starts.push(Duration::ZERO);
    (1..=3).for_each(|node| history.node_added(NodeId(node), node, node));
    history
}

fn add_request(history: &mut History, id: u64, told: Option<FinalAnswer>) {
    let new = NewRequest {
        id: RequestId(id),
        key: 7,
        deadline: EPOCH + MS(2000),
        units: 2.0,
        volume_initiators: 1.0,
        ..NewRequest::default()
    };
    let origin = Origin { conn: 0, sequence: id };
    history.accepted(AcceptedRequest { generation: 0, at: Duration::ZERO, new, origin });
    if let Some(answer_kind) = told {
        history.answered(0, origin, MS(100 * id), answer_kind);
    }
}

fn add_attempt(history: &mut History, request: u64, number: u32, at: u64, end: Option<(Duration, Outcome)>) {
    let (request, node) = (RequestId(request), NodeId(number + 1));
    history.sent(SentAttempt { generation: 0, request, number, node, at: MS(at), end });
}

#[test]
fn each_check_finds_the_fault_that_is_planted_for_it() {
    use FinalAnswer::{Failed, Refused, Served};
    type Fault = (&'static str, Effect, fn(&mut History), fn(&Breaches) -> u64);
    let faults: [Fault; 14] = [
        ("no answer", Effect::Safe, |it| add_request(it, 1, None), |it| it.unanswered),
        ("a late answer", Effect::Safe, |it| add_request(it, 90, Some(Served)), |it| it.unanswered),
        (
            "two answers",
            Effect::Safe,
            |it| {
                add_request(it, 1, Some(Served));
                it.answered(0, Origin { conn: 0, sequence: 1 }, MS(200), Failed);
            },
            |it| it.answered_twice,
        ),
        (
            "an effect twice",
            Effect::Unsafe,
            |it| {
                add_request(it, 1, Some(Served));
                add_attempt(it, 1, 0, 0, RAN);
                add_attempt(it, 1, 1, 60, FULL);
            },
            |it| it.repeated,
        ),
        (
            "a key beyond its group",
            Effect::Keyed(DedupScope::Shard),
            |it| {
                add_request(it, 1, Some(Served));
                add_attempt(it, 1, 0, 0, RAN);
                add_attempt(it, 1, 1, 60, FULL);
            },
            |it| it.repeated,
        ),
        (
            "a key beyond its window",
            Effect::Keyed(DedupScope::All),
            |it| {
                add_request(it, 1, Some(Served));
                add_attempt(it, 1, 0, 0, RAN);
                add_attempt(it, 1, 1, 1001, FULL);
            },
            |it| it.repeated,
        ),
        (
            "called harmless though it may have run",
            Effect::Unsafe,
            |it| {
                add_request(it, 1, Some(Refused));
                add_attempt(it, 1, 0, 0, RAN);
            },
            |it| it.refused_wrongly,
        ),
        (
            "an attempt too many",
            Effect::Safe,
            |it| {
                add_request(it, 1, Some(Served));
                [(0, 0), (1, 10), (2, 20)].into_iter().for_each(|(n, at)| add_attempt(it, 1, n, at, FULL));
            },
            |it| it.attempts,
        ),
        (
            "two in flight together",
            Effect::Safe,
            |it| {
                add_request(it, 1, Some(Served));
                add_attempt(it, 1, 0, 0, RAN);
                add_attempt(it, 1, 1, 10, FULL);
            },
            |it| it.attempts,
        ),
        (
            "new work after the grace of a drain",
            Effect::Safe,
            |it| {
                add_request(it, 1, Some(Served));
                let state = NodeState::Draining;
                it.list_received(ListUpdate { generation: 0, at: Duration::ZERO, node: NodeId(1), state });
                add_attempt(it, 1, 0, 501, FULL);
            },
            |it| it.drains,
        ),
        (
            "a node in slow start overloaded",
            Effect::Safe,
            |it| {
                it.started.push(JoinedNode { node: NodeId(1), at: Duration::ZERO, service_rate: 0.01 });
                (1..=4).for_each(|id| {
                    add_request(it, id, Some(Served));
                    add_attempt(it, id, 0, id, FULL);
                });
            },
            |it| it.cold,
        ),
        (
            "a limit exceeded",
            Effect::Safe,
            |it| {
                (1..=7).for_each(|id| {
                    add_request(it, id, Some(Served));
                    add_attempt(it, id, 0, id, FULL);
                });
            },
            |it| it.limits,
        ),
        (
            "out of order",
            Effect::Safe,
            |it| {
                (1..=2).for_each(|id| add_request(it, id, Some(Served)));
                add_attempt(it, 2, 0, 10, FULL);
            },
            |it| it.order,
        ),
        (
            "beyond the budget",
            Effect::Safe,
            |it| {
                for id in 1..=2 {
                    add_request(it, id, Some(Served));
                    add_attempt(it, id, 0, 0, FULL);
                    add_attempt(it, id, 1, 60, FULL);
                }
            },
            |it| it.budget,
        ),
    ];
    for (name, effect, plant, found) in faults {
        let mut history = history(effect);
        plant(&mut history);
        assert!(found(&history.check()) > 0, "{name}");
    }
    let mut sound = history(Effect::Unsafe);
    add_request(&mut sound, 1, Some(Refused));
    add_attempt(&mut sound, 1, 0, 0, FULL);
    add_attempt(&mut sound, 1, 1, 60, FULL);
    assert_eq!(sound.check(), Breaches::default(), "a history within the rules has no violation");
}

#[test]
fn random_settings_violate_no_rule_and_a_seed_repeats_its_run() {
    let _processor = crate::sync::processor::shared();
    let mut requests = 0;
    for seed in 1..=4 {
        let seen = simulate(seed, Duration::from_secs(2));
        requests += seen.requests.len();
        assert_eq!(seen.check(), Breaches::default(), "seed {seed}");
    }
    let shape = |it: History| (it.requests.len(), it.attempts.len(), it.answers.len());
    let plays = [1, 1].map(|seed| shape(simulate(seed, Duration::from_secs(1))));
    assert_eq!(plays[0], plays[1]);
    assert!(requests > 200, "{requests} requests");
}
