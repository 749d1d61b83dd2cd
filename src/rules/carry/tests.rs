use super::*;
use proptest::prelude::*;

const RATE: f64 = 20.0;
const BURST: f64 = 32.0;
const SLACK: f64 = 4.0;

fn settings() -> Settings {
    let class = Class {
        latency_target: Duration::from_millis(400),
        deadline: Duration::from_secs(4),
        worth: 1.0,
        late_worth: 0.2,
        effect: Effect::Safe,
        dedup_window: Duration::ZERO,
        in_order: false,
    };
    let limit = Some(Limit { rate: RATE, burst: BURST, overdraft: SLACK });
    Settings {
        initiators: 1,
        tick: Duration::from_millis(2),
        classes: vec![class],
        plans: vec![Plan { reserve: 5.0, limit, weight: 1.0, worth_factor: 1.0 }],
        units: Units {
            mean: 2.0,
            largest: 8.0,
            share_worth: 0.4,
            spare_worth: 0.1,
            slow_start_units: 30.0,
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
        limits: Limits { max_attempts: 4, ..Limits::default() },
        ..Settings::default()
    }
}

fn list(started: Option<Duration>) -> Event {
    let node = NodeEntry { node: NodeId(1), shard: 0, started, ..NodeEntry::default() };
    Event::List { kind: ListKind::Full, entries: vec![node] }
}

/// A scheduler whose requests are answered at once.
struct Initiator {
    scheduler: Scheduler,
    sent: Vec<(Duration, f64)>,
    units: BTreeMap<RequestId, f64>,
    next: u64,
}

impl Initiator {
    fn step(&mut self, now: Duration, mut events: Vec<Event>, request_units: f64) {
        if request_units > 0.0 {
            self.next += 1;
            let id = RequestId(self.next);
            self.units.insert(id, request_units);
            let (deadline, shard) = (now + Duration::from_secs(4), Some(0));
            let (volume, volume_initiators) = (VolumeId(7), 1.0);
            let new = NewRequest {
                id,
                volume,
                volume_initiators,
                deadline,
                units: request_units,
                shard,
                ..Default::default()
            };
            events.push(Event::Request(new));
        }
        let mut actions = Vec::new();
        self.scheduler.handle(now, &events, &mut actions);
        for action in actions {
            let Action::Send { id, node, .. } = action else { continue };
            self.sent.push((now, self.units[&id]));
            let (outcome, latency) = (Outcome::Served, Duration::from_millis(20));
            let end = AttemptEnd {
                id,
                attempt: 0,
                node,
                outcome,
                finished: true,
                latency,
                volume_usage: None,
                served_elsewhere: 0.0,
            };
            self.scheduler.handle(now, &[Event::AttemptEnded(end)], &mut Vec::new());
        }
    }
}

proptest! {
    /// Both processes receive requests for a time, as during an upgrade; then only the newer one does.
    #[test]
    fn two_processes_together_keep_a_limit_as_one_process_does(
        requests in prop::collection::vec(1u8..9, 200),
        handed_over_at in 10usize..80,
        overlap in 1usize..60
    ) {
        let start = Duration::from_secs(1000);
        let initiator = |seed| Initiator {
            scheduler: Scheduler::new(settings(), seed),
            sent: Vec::new(),
            units: BTreeMap::new(),
            next: seed << 32,
        };
        let (mut old, mut new) = (initiator(1), initiator(2));
        old.step(start, vec![list(None)], 0.0);
        for (at, units) in requests.iter().enumerate() {
            let now = start + Duration::from_millis(50) * at as u32;
            if at == handed_over_at {
                prop_assert!(new.scheduler.take_over(old.scheduler.hand_over(now)));
            }
            if at == handed_over_at + overlap {
                new.scheduler.reclaim_limits(now);
            }
            if at >= handed_over_at {
                new.step(now, vec![], f64::from(*units));
            }
            if at < handed_over_at + overlap {
                old.step(now, vec![], f64::from(*units));
            }
        }
        let mut sent = [old.sent, new.sent].concat();
        sent.sort_by_key(|(at, _)| *at);
        prop_assert!(!sent.is_empty());
        let (mut level, mut last) = (BURST, start);
        for (at, units) in sent {
            level = (level + RATE * (at - last).as_secs_f64()).min(BURST) - units;
            last = at;
            prop_assert!(level >= -SLACK - 1e-6, "overdrawn to {level}");
        }
    }
}

#[test]
fn a_slow_starting_node_gets_nothing_from_the_old_process_and_keeps_its_debt_at_the_new_one() {
    let now = Duration::from_secs(1000);
    let (mut old, mut new) = (Scheduler::new(settings(), 1), Scheduler::new(settings(), 2));
    let slow_starting = list(Some(now - Duration::from_secs(3)));
    old.handle(now, &[slow_starting], &mut Vec::new());
    old.nodes
        .change(NodeId(1), |node| node.slow_start = TokenBucket { level: -20.0, updated_at: now })
        .unwrap();
    assert!(new.take_over(old.hand_over(now)));
    assert_eq!(new.nodes.get(NodeId(1)).unwrap().slow_start.level, -20.0);
    let at = |scheduler: &Scheduler, now| {
        let node = scheduler.nodes.get(NodeId(1)).unwrap();
        node.slow_start.clone().fill(now, scheduler.slow_start_rate(node), 0.0)
    };
    let later = now + Duration::from_secs(5);
    assert!(at(&old, later) < 0.0, "nothing until it ends");
    assert_eq!(at(&new, later), 0.0);
}

#[test]
fn state_under_other_settings_is_not_taken_over() {
    let mut old = Scheduler::new(settings(), 1);
    let mut new = Scheduler::new(Settings { initiators: 2, ..settings() }, 2);
    assert!(!new.take_over(old.hand_over(Duration::from_secs(1000))));
    assert_eq!(new.settings.initiators, 2);
}
