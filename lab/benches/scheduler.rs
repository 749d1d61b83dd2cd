//! What one request costs in the decision module, by the size of the fleet's node list: the loop of an initiator spends
//! its processor time there. Nodes answer after a fixed time; a busy host has more to send than its nodes bear.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;
use std::time::Duration;
use topazpath::interface::*;
use topazpath::Scheduler;

const MS: fn(u64) -> Duration = Duration::from_millis;
/// How long a node takes over a request.
const ANSWER: Duration = Duration::from_millis(60);

/// One host and its nodes in virtual time.
struct World {
    scheduler: Scheduler,
    now: Duration,
    /// Attempts out: when they are answered, the request and its node.
    out: BinaryHeap<Reverse<(Duration, u64, u32)>>,
    wake: Duration,
    shards: u32,
    requests: u64,
}

fn settings(hosts: u32) -> Settings {
    let class = |aim, worth| Class {
        aim: MS(aim),
        deadline: MS(3000),
        worth,
        late_worth: 0.2,
        effect: Effect::Safe,
        window: MS(5000),
        in_order: false,
    };
    Settings {
        hosts,
        tick: MS(2),
        list_on_request: false,
        classes: vec![class(400, 2.0), class(600, 3.0), class(2000, 1.0)],
        plans: vec![Plan { reserve: 0.0, limit: None, weight: 1.0, price: 1.0 }],
        units: Units { mean: 2.0, largest: 8.0, share_worth: 0.35, cold_units: 34.0, ..Units::default() },
        rules: Rules { drain_grace: MS(2000), cold: MS(18_000), fall: MS(3000), ..Rules::default() },
        limits: Limits {
            max_attempts: 4,
            connect_timeout: MS(250),
            max_retry_after: MS(500),
            cancel: true,
            most_held: Some(200),
        },
    }
}

impl World {
    fn new(nodes: u32) -> Self {
        let node = |id| NodeEntry {
            node: NodeId(id),
            shard: id,
            zone: 0,
            started: None,
            state: NodeState::Ready,
            fixed: false,
        };
        let mut world = World {
            scheduler: Scheduler::new(settings(nodes * 3 / 2), 7),
            now: MS(100_000),
            out: BinaryHeap::new(),
            wake: MS(u64::MAX / 2),
            shards: nodes,
            requests: 0,
        };
        world.handle(&[Event::List { kind: ListKind::Full, entries: (0..nodes).map(node).collect() }]);
        world
    }

    fn handle(&mut self, events: &[Event]) {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, events, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, node, .. } => {
                    self.out.push(Reverse((self.now + ANSWER, id.0, node.0)));
                }
                Action::WakeAt(at) => self.wake = at,
                other => drop(black_box(other)),
            }
        }
    }

    /// Lets time pass until then, with all that comes due.
    fn pass(&mut self, until: Duration) {
        loop {
            let answer = self.out.peek().map_or(Duration::MAX, |Reverse((at, _, _))| *at);
            let at = answer.min(self.wake);
            if at > until {
                break;
            }
            self.now = at;
            if at < answer {
                self.wake = Duration::MAX;
                self.handle(&[Event::Wake]);
                continue;
            }
            let Some(Reverse((_, id, node))) = self.out.pop() else { break };
            self.handle(&[Event::AttemptEnded(AttemptEnd {
                id: RequestId(id),
                attempt: 0,
                node: NodeId(node),
                outcome: Outcome::Served,
                finished: true,
                latency: ANSWER,
                used: None,
                elsewhere: 0.0,
            })]);
        }
        self.now = until;
    }

    /// The next request, so long after the last; every second one is for the same shard where that is crowded.
    fn request(&mut self, gap: Duration, crowded: bool) {
        self.pass(self.now + gap);
        self.requests += 1;
        let shard = if crowded && self.requests.is_multiple_of(2) {
            0
        } else {
            (self.requests * 7919 % u64::from(self.shards)) as u32
        };
        let new = NewRequest {
            id: RequestId(self.requests),
            class: (self.requests % 3) as usize,
            plan: 0,
            volume: VolumeId(self.requests % 9),
            key: 0,
            deadline: self.now + MS(3000),
            units: 2.0,
            shard: Some(shard),
            volume_hosts: 2.0,
        };
        self.handle(&[Event::Request(new)]);
    }
}

fn request(criterion: &mut Criterion) {
    for (name, gap, crowded) in [("calm", 20, false), ("crowded", 5, true)] {
        let mut group = criterion.benchmark_group(format!("one request, {name}"));
        for nodes in [8, 60, 200] {
            group.bench_with_input(BenchmarkId::new("nodes", nodes), &nodes, |bench, nodes| {
                let mut world = World::new(*nodes);
                (0..2000).for_each(|_| world.request(MS(gap), crowded));
                bench.iter(|| world.request(MS(gap), crowded));
            });
        }
        group.finish();
    }
}

criterion_group!(benches, request);
criterion_main!(benches);
