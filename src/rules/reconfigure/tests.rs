use super::*;
use proptest::prelude::*;

const START: Duration = Duration::from_secs(1000);
const STEP: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_secs(4);

fn settings() -> Settings {
    let class = |worth| Class {
        latency_target: Duration::from_millis(400),
        deadline: DEADLINE,
        worth,
        late_worth: 0.2,
        effect: Effect::Safe,
        dedup_window: Duration::ZERO,
        in_order: false,
    };
    let plan = |limit| Plan { reserve: 5.0, limit, weight: 1.0, worth_factor: 1.0 };
    Settings {
        initiators: 1,
        tick: Duration::from_millis(2),
        classes: vec![class(1.0), class(4.0)],
        plans: vec![plan(Some(limit(20.0, 32.0, 4.0))), plan(None)],
        units: Units {
            mean: 2.0,
            largest: 8.0,
            share_worth: 0.4,
            spare_worth: 0.1,
            slow_start_units: 30.0,
            base_rates: vec![10.0, 10.0],
            ..Units::default()
        },
        rules: Rules {
            drain_grace: Duration::from_secs(2),
            slow_start_min_share: 0.16,
            slow_start_time: Duration::from_secs(18),
            overload_factor: 3.0,
            overload_window: Duration::from_secs(3),
            ..Rules::default()
        },
        limits: Limits { max_attempts: 4, max_retry_after: Duration::from_millis(300), ..Limits::default() },
        ..Settings::default()
    }
}

fn limit(rate: f64, burst: f64, overdraft: f64) -> Limit {
    Limit { rate, burst, overdraft }
}

fn with_limit(limit: Option<Limit>) -> Settings {
    let mut settings = settings();
    settings.plans[0].limit = limit;
    settings
}

fn list(started: Option<Duration>) -> Event {
    let node = NodeEntry { node: NodeId(1), started, ..NodeEntry::default() };
    Event::List { kind: ListKind::Full, entries: vec![node] }
}

fn request(id: u64, now: Duration, units: f64) -> NewRequest {
    NewRequest {
        id: RequestId(id),
        volume: VolumeId(7),
        volume_initiators: 1.0,
        deadline: now + DEADLINE,
        units,
        shard: Some(0),
        ..Default::default()
    }
}

fn end(id: RequestId, node: NodeId, outcome: Outcome) -> AttemptEnd {
    let finished = outcome == Outcome::Served;
    let latency = Duration::from_millis(20);
    AttemptEnd { id, attempt: 0, node, outcome, finished, latency, volume_usage: None, served_elsewhere: 0.0 }
}

/// A scheduler whose attempts are answered at the next step, and a record of its requests.
struct Initiator {
    scheduler: Scheduler,
    asked: u64,
    units: BTreeMap<RequestId, f64>,
    sent: Vec<(Duration, f64)>,
    ended: Vec<AttemptEnd>,
    /// Number of final answers by request, served or not.
    answers: BTreeMap<RequestId, usize>,
    all_actions: Vec<Action>,
}

impl Initiator {
    fn new(settings: Settings) -> Self {
        let mut initiator = Initiator {
            scheduler: Scheduler::new(settings, 1),
            asked: 0,
            units: BTreeMap::new(),
            sent: Vec::new(),
            ended: Vec::new(),
            answers: BTreeMap::new(),
            all_actions: Vec::new(),
        };
        initiator.scheduler.handle(START, &[list(None)], &mut Vec::new());
        initiator
    }

    fn step(&mut self, now: Duration, requests: &[u8]) {
        let ended = std::mem::take(&mut self.ended);
        ended.iter().for_each(|end| *self.answers.entry(end.id).or_default() += 1);
        let mut events: Vec<Event> = ended.into_iter().map(Event::AttemptEnded).collect();
        for units in requests {
            self.asked += 1;
            self.units.insert(RequestId(self.asked), f64::from(*units));
            events.push(Event::Request(request(self.asked, now, f64::from(*units))));
        }
        let mut actions = Vec::new();
        self.scheduler.handle(now, &events, &mut actions);
        for action in &actions {
            match action {
                Action::Send { id, node, .. } => {
                    self.sent.push((now, self.units[id]));
                    self.ended.push(end(*id, *node, Outcome::Served));
                }
                Action::Refuse { id, .. } | Action::Fail { id } => *self.answers.entry(*id).or_default() += 1,
                _ => {}
            }
        }
        self.all_actions.extend(actions);
    }
}

/// The token bucket that a limit and its changes specify.
struct Bound {
    limit: Option<Limit>,
    level: f64,
    at: Duration,
}

impl Bound {
    fn fill(&mut self, now: Duration) {
        if let Some(limit) = self.limit {
            self.level = (self.level + limit.rate * (now - self.at).as_secs_f64()).min(limit.burst);
        }
        self.at = now;
    }

    fn change(&mut self, now: Duration, new: Option<Limit>) {
        self.fill(now);
        self.level = match (self.limit, new) {
            (Some(_), Some(new)) => self.level.min(new.burst),
            (_, new) => new.map_or(0.0, |new| new.overdraft.min(new.burst)),
        };
        self.limit = new;
    }
}

fn any_limit() -> impl Strategy<Value = Option<Limit>> {
    let stated = (1.0..60.0f64, 8.0..64.0f64, 0.0..8.0f64);
    prop_oneof![3 => stated.prop_map(|(rate, burst, slack)| Some(limit(rate, burst, slack))), 1 => Just(None)]
}

proptest! {
    /// Each request has one final answer, and the limit bounds what is sent, with its old values before a
    /// change and the new ones after it. A change may happen at any time between two steps.
    #[test]
    fn a_changed_limit_is_kept_and_no_request_is_lost(
        requests in prop::collection::vec(prop::collection::vec(1u8..9, 0..3), 200),
        changes in prop::collection::btree_map(0usize..200, (any_limit(), 0u32..50), 0..8),
        first in any_limit(),
    ) {
        let mut initiator = Initiator::new(with_limit(first));
        let level = first.map_or(0.0, |limit| limit.overdraft.min(limit.burst));
        let mut bound = Bound { limit: first, level, at: START };
        let mut now = START;
        let mut checked = 0;
        // Finally, all requests still queued are answered within their deadline.
        let rest = DEADLINE.div_duration_f64(STEP) as usize + 2;
        for (at, requests) in requests.iter().chain(std::iter::repeat_n(&Vec::new(), rest)).enumerate() {
            now = START + STEP * at as u32;
            // The volume and its bucket exist from the first request on.
            if initiator.asked == 0 {
                (bound.at, bound.level) = (now, bound.limit.map_or(0.0, |limit| limit.overdraft.min(limit.burst)));
            }
            initiator.step(now, requests);
            for (at, units) in &initiator.sent[checked..] {
                bound.fill(*at);
                bound.level -= units;
                prop_assert!(bound.limit.is_none() || bound.level > -1e-6, "{} at {at:?}", bound.level);
            }
            checked = initiator.sent.len();
            if let Some((new, after_ms)) = changes.get(&at) {
                let at = now + Duration::from_millis((*after_ms).into());
                initiator.scheduler.reconfigure(at, with_limit(*new)).unwrap();
                bound.change(at, *new);
            }
        }
        prop_assert!(now > START);
        let unanswered = (1..=initiator.asked).filter(|id| initiator.answers.get(&RequestId(*id)) != Some(&1)).count();
        prop_assert_eq!(unanswered, 0, "each request has one final answer");
    }

    #[test]
    fn the_same_settings_again_change_nothing(
        requests in prop::collection::vec(prop::collection::vec(1u8..9, 0..3), 100),
        again in prop::collection::btree_set(0usize..100, 1..10),
    ) {
        let (mut one, mut other) = (Initiator::new(settings()), Initiator::new(settings()));
        for (at, requests) in requests.iter().enumerate() {
            let now = START + STEP * at as u32;
            one.step(now, requests);
            other.step(now, requests);
            if again.contains(&at) {
                let between = now + STEP / 3;
                other.scheduler.reconfigure(between, settings()).unwrap();
            }
        }
        prop_assert_eq!(one.all_actions, other.all_actions);
    }

    /// A change of settings that limit nothing here must not send, refuse or delay any request.
    #[test]
    fn changes_of_other_settings_leave_the_limit_and_queued_requests_unchanged(
        requests in prop::collection::vec(prop::collection::vec(1u8..9, 0..3), 100),
        at_step in 0usize..100,
    ) {
        let mut changed = settings();
        changed.limits.max_attempts = 7;
        changed.limits.max_retry_after = Duration::from_millis(900);
        changed.plans[1].limit = Some(limit(1.0, 8.0, 1.0));
        let (mut one, mut other) = (Initiator::new(settings()), Initiator::new(settings()));
        for (at, requests) in requests.iter().enumerate() {
            let now = START + STEP * at as u32;
            one.step(now, requests);
            other.step(now, requests);
            if at == at_step {
                other.scheduler.reconfigure(now + STEP / 3, changed.clone()).unwrap();
            }
        }
        let answered = |initiator: &Initiator| (initiator.sent.len(), initiator.answers.clone());
        prop_assert_eq!(answered(&one), answered(&other));
    }
}

/// All values that are derived from settings at the start are the same as after a start with the new
/// settings.
#[test]
fn a_scheduler_without_learned_state_equals_one_started_with_the_new_settings() {
    let mut changed = settings();
    changed.classes[0].latency_target = Duration::from_millis(150);
    changed.classes[1].worth = 9.0;
    changed.plans[0] = Plan { reserve: 1.0, limit: None, weight: 3.0, worth_factor: 0.5 };
    changed.units = Units { mean: 3.0, largest: 9.0, share_worth: 0.2, ..changed.units };
    changed.limits.max_attempts = 2;
    let mut scheduler = Scheduler::new(settings(), 5);
    scheduler.reconfigure(START, changed.clone()).unwrap();
    let bytes = |scheduler: &Scheduler| postcard::to_stdvec(scheduler).unwrap();
    assert!(bytes(&scheduler) == bytes(&Scheduler::new(changed, 5)));
    assert!(bytes(&scheduler) != bytes(&Scheduler::new(settings(), 5)));
}

#[test]
fn changes_of_fixed_settings_are_refused_as_a_whole() {
    let refused = |change: fn(&mut Settings)| {
        let mut changed = settings();
        changed.units.mean = 1.0;
        change(&mut changed);
        let mut scheduler = Scheduler::new(settings(), 1);
        assert_eq!(scheduler.reconfigure(START, changed), Err(FixedSettings));
        assert_eq!(scheduler.settings, settings());
    };
    refused(|it| it.initiators = 2);
    refused(|it| it.tick = Duration::from_millis(3));
    refused(|it| it.list_on_request = true);
    refused(|it| it.classes[0].deadline = Duration::from_secs(5));
    refused(|it| it.classes[1].effect = Effect::Unsafe);
    refused(|it| it.classes[1].dedup_window = Duration::from_secs(5));
    refused(|it| it.classes[1].in_order = true);
    refused(|it| it.classes.truncate(1));
    refused(|it| it.plans.truncate(1));
    refused(|it| it.units.usage_period = Duration::from_secs(5));
    refused(|it| it.rules.overload_window = Duration::from_secs(5));
    refused(|it| it.limits.connect_timeout = Duration::from_secs(5));
    refused(|it| it.limits.max_queued = Some(5));
}

/// A scheduler with requests that wait for their exhausted limit, within their latency target for 400 ms.
fn waiting(settings: Settings, count: u64) -> (Scheduler, Duration) {
    let mut scheduler = Scheduler::new(settings, 1);
    let mut events = vec![list(None)];
    events.extend((1..=count).map(|id| Event::Request(request(id, START, 4.0))));
    scheduler.handle(START, &events, &mut Vec::new());
    (scheduler, START)
}

fn sends(scheduler: &mut Scheduler, now: Duration) -> usize {
    let mut actions = Vec::new();
    scheduler.handle(now, &[Event::Wake], &mut actions);
    actions.iter().filter(|action| matches!(action, Action::Send { .. })).count()
}

#[test]
fn queued_requests_are_sent_at_the_new_rate_after_the_change() {
    let slow = with_limit(Some(limit(5.0, 8.0, 0.0)));
    let (mut scheduler, start) = waiting(slow, 3);
    let later = start + Duration::from_millis(200);
    scheduler.reconfigure(later, with_limit(Some(limit(30.0, 8.0, 0.0)))).unwrap();
    // One unit of four was added at the old rate, and three are added in a tenth of a second at the new one.
    assert_eq!(sends(&mut scheduler, later + Duration::from_millis(90)), 0);
    assert_eq!(sends(&mut scheduler, later + Duration::from_millis(110)), 1);
}

#[test]
fn requests_that_wait_for_a_removed_limit_are_sent_at_once() {
    let (mut scheduler, start) = waiting(with_limit(Some(limit(1.0, 8.0, 0.0))), 3);
    scheduler.reconfigure(start, with_limit(None)).unwrap();
    assert_eq!(sends(&mut scheduler, start + Duration::from_millis(10)), 3);
}

#[test]
fn a_request_beyond_a_lowered_maximum_of_attempts_is_denied_at_the_next_call() {
    let mut scheduler = Scheduler::new(settings(), 1);
    let first = [list(None), Event::Request(request(1, START, 4.0))];
    scheduler.handle(START, &first, &mut Vec::new());
    let failed = Event::AttemptEnded(end(RequestId(1), NodeId(1), Outcome::NotConnected));
    let soon = START + Duration::from_millis(10);
    let mut actions = Vec::new();
    // The node is blocked after its failures, and the request waits for it.
    let blocks = Event::AttemptEnded(end(RequestId(9), NodeId(1), Outcome::NotConnected));
    scheduler.handle(soon, &[failed, blocks], &mut actions);
    if actions.iter().any(|action| matches!(action, Action::Send { .. })) {
        let failed = Event::AttemptEnded(end(RequestId(1), NodeId(1), Outcome::NotConnected));
        let blocked_until = soon + Duration::from_secs(1);
        scheduler.nodes.change(NodeId(1), |node| node.blocked_until = blocked_until).unwrap();
        scheduler.handle(soon, &[failed], &mut Vec::new());
    }
    assert_eq!(scheduler.queue.iter().count(), 1);
    let mut lowered = settings();
    lowered.limits.max_attempts = 1;
    scheduler.reconfigure(soon, lowered).unwrap();
    let mut actions = Vec::new();
    scheduler.handle(soon + Duration::from_millis(1), &[Event::Wake], &mut actions);
    let retry_after = Duration::from_millis(300);
    assert!(actions.contains(&Action::Refuse { id: RequestId(1), retry_after }), "{actions:?}");
}

/// Initiators apply a change at the same time: if the bucket of a node in slow start was filled, all would
/// send at once.
#[test]
fn a_change_of_the_slow_start_units_permits_no_send_by_itself() {
    let started = START - Duration::from_secs(3);
    let mut scheduler = Scheduler::new(settings(), 1);
    scheduler.handle(START, &[list(Some(started))], &mut Vec::new());
    let mean = settings().units.mean;
    let rate = scheduler.slow_start_rate(scheduler.nodes.get(NodeId(1)).unwrap());
    // The bucket is nearly full, after the time at which a send was last permitted.
    let nearly_full = TokenBucket { level: mean - 1e-3, updated_at: START };
    scheduler.nodes.change(NodeId(1), |node| node.slow_start = nearly_full).unwrap();
    let mut changed = settings();
    changed.units.slow_start_units = 3.0;
    changed.rules.overload_window = settings().rules.overload_window;
    scheduler.reconfigure(START, changed).unwrap();
    assert!(
        scheduler.nodes.get(NodeId(1)).unwrap().slow_start.level >= mean - 1e-3,
        "unchanged and not capped"
    );
    let now = scheduler.slow_start_rate(scheduler.nodes.get(NodeId(1)).unwrap());
    assert!((rate - 10.0).abs() < 1e-9 && (now - 1.0).abs() < 1e-9, "{rate} then {now}");
    // Since its last update the bucket was filled at the old rate.
    let earlier = START - Duration::from_millis(500);
    scheduler
        .nodes
        .change(NodeId(1), |node| node.slow_start = TokenBucket { level: -3.0, updated_at: earlier })
        .unwrap();
    scheduler.reconfigure(START, settings()).unwrap();
    let level = scheduler.nodes.get(NodeId(1)).unwrap().slow_start.level;
    assert!((level - (-3.0 + 0.5 * now)).abs() < 1e-9, "{level}");
}

#[test]
fn a_shifted_level_admits_the_least_valuable_requests_as_deep_as_before() {
    let mut scheduler = Scheduler::new(settings(), 1);
    scheduler.admission_level = 1.0;
    let mut halved = settings();
    halved.classes[0].worth /= 2.0;
    scheduler.reconfigure(START, halved.clone()).unwrap();
    assert!((scheduler.admission_level - 1.0 - 2f64.ln()).abs() < 1e-9, "{}", scheduler.admission_level);
    scheduler.admission_level = top_level(&halved);
    scheduler.reconfigure(START, settings()).unwrap();
    assert!(
        (scheduler.admission_level - top_level(&settings())).abs() < 1e-9,
        "{}",
        scheduler.admission_level
    );
    scheduler.admission_level = MIN_LEVEL;
    let mut equal_worth = settings();
    equal_worth.classes[0].worth = 4.0;
    scheduler.reconfigure(START, equal_worth).unwrap();
    assert_eq!(scheduler.admission_level, MIN_LEVEL);
}

#[test]
fn past_performance_is_rescaled_to_the_new_latency_target() {
    let mut scheduler = Scheduler::new(settings(), 1);
    scheduler.classes[0].history.push_back((1.2, 4.0));
    scheduler.classes[1].history.push_back((1.2, 4.0));
    let mut changed = settings();
    changed.classes[0].latency_target /= 2;
    scheduler.reconfigure(START, changed).unwrap();
    let history = |class: usize| scheduler.classes[class].history[0];
    assert_eq!((history(0), history(1)), ((0.6, 4.0), (1.2, 4.0)));
}

/// The demand that queued requests are ranked by is cached, and depends on the units of the largest request.
#[test]
fn values_cached_under_old_settings_are_computed_again() {
    let (mut scheduler, start) = waiting(settings(), 1);
    let demand = |scheduler: &Scheduler| {
        let volume = &scheduler.volumes[&VolumeId(7)];
        volume.demand(start, scheduler.settings.units.largest)
    };
    let volume = scheduler.volumes.get_mut(&VolumeId(7)).unwrap();
    volume.reported_rate = 20.0;
    volume.cached_demand.take();
    let before = demand(&scheduler);
    let mut changed = settings();
    changed.units.largest = 4.0;
    scheduler.reconfigure(start, changed).unwrap();
    assert!((demand(&scheduler) - before).abs() > 1e-3, "{before}");
}

#[test]
fn a_lowered_burst_caps_the_bucket_at_once() {
    let (mut scheduler, start) = waiting(with_limit(Some(limit(20.0, 32.0, 0.0))), 0);
    scheduler.volumes.insert(VolumeId(7), Volume { plan_and_initiators: (0, 1.0), ..Volume::default() });
    scheduler.volumes.get_mut(&VolumeId(7)).unwrap().limit = TokenBucket { level: 30.0, updated_at: start };
    scheduler.reconfigure(start, with_limit(Some(limit(20.0, 9.0, 0.0)))).unwrap();
    assert_eq!(scheduler.volumes[&VolumeId(7)].limit.level, 9.0);
}
