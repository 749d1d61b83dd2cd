//! The decision module of one initiator in virtual time, with nodes that answer after a fixed time. The bench of the
//! module and the command that measures capacity both drive it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;
use std::time::Duration;
use topazpath::interface::*;
use topazpath::Scheduler;

const MS: fn(u64) -> Duration = Duration::from_millis;
/// How long a node takes over a request.
const ANSWER: Duration = Duration::from_millis(60);

/// What the module is set up with.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Nodes listed, one a shard.
    pub nodes: u32,
    /// Initiators of the fleet.
    pub initiators: u32,
    /// Volumes that requests come for in turn.
    pub volumes: u64,
    /// Zones that the nodes lie in.
    pub zones: u32,
    /// Whether volumes have a limit, which is never reached.
    pub limited: bool,
}

impl Setup {
    /// So many nodes, and half as many initiators again.
    pub fn of(nodes: u32) -> Setup {
        Setup { nodes, initiators: nodes * 3 / 2, volumes: 9, zones: 1, limited: false }
    }
}

/// One initiator and its nodes.
pub struct World {
    scheduler: Scheduler,
    setup: Setup,
    now: Duration,
    /// Attempts out: when they are answered, the request and its node.
    out: BinaryHeap<Reverse<(Duration, u64, u32)>>,
    wake: Duration,
    requests: u64,
    /// Requests sent to a node, so far.
    pub sent: u64,
}

/// Settings like those of a deployment, for so many initiators.
pub fn settings(setup: Setup) -> Settings {
    let class = |aim, worth| Class {
        latency_target: MS(aim),
        deadline: MS(3000),
        worth,
        late_worth: 0.2,
        effect: Effect::Safe,
        dedup_window: MS(5000),
        in_order: false,
    };
    let limit = setup.limited.then_some(Limit { rate: 100_000.0, burst: 50_000.0, overdraft: 10.0 });
    Settings {
        initiators: setup.initiators,
        tick: MS(2),
        list_on_request: false,
        classes: vec![class(400, 2.0), class(600, 3.0), class(2000, 1.0)],
        plans: vec![Plan { reserve: 0.0, limit, weight: 1.0, worth_factor: 1.0 }],
        units: Units {
            mean: 2.0,
            largest: 8.0,
            share_worth: 0.35,
            slow_start_units: 34.0,
            ..Units::default()
        },
        rules: Rules {
            drain_grace: MS(2000),
            slow_start_time: MS(18_000),
            overload_window: MS(3000),
            ..Rules::default()
        },
        limits: Limits {
            max_attempts: 4,
            connect_timeout: MS(250),
            max_retry_after: MS(500),
            allow_cancel: true,
            max_queued: Some(200),
        },
    }
}

/// A ready node, alone in its shard.
pub fn entry(id: u32, zones: u32) -> NodeEntry {
    NodeEntry {
        node: NodeId(id),
        shard: id,
        zone: id % zones.max(1),
        started: None,
        state: NodeState::Ready,
        no_new_objects: false,
    }
}

impl World {
    /// Nodes that the scheduler has looked at so far.
    #[cfg(test)]
    pub fn nodes_visited(&self) -> u64 {
        self.scheduler.nodes_visited()
    }

    /// With the whole list known.
    pub fn new(setup: Setup) -> Self {
        let mut world = World {
            scheduler: Scheduler::new(settings(setup), 7),
            setup,
            now: MS(100_000),
            out: BinaryHeap::new(),
            wake: MS(u64::MAX / 2),
            requests: 0,
            sent: 0,
        };
        world.take_list();
        world
    }

    /// Discovery tells the whole list.
    pub fn take_list(&mut self) {
        let entries = (0..self.setup.nodes).map(|id| entry(id, self.setup.zones)).collect();
        self.handle(&[Event::List { kind: ListKind::Full, entries }]);
    }

    /// Discovery tells that one node starts to drain, or is back.
    pub fn take_change(&mut self, node: u32, state: NodeState) {
        let entries = vec![NodeEntry { state, ..entry(node, self.setup.zones) }];
        self.handle(&[Event::List { kind: ListKind::Delta, entries }]);
    }

    /// Another limit for every volume comes into force.
    pub fn reconfigure(&mut self, rate: f64) -> Result<(), String> {
        let mut changed = settings(self.setup);
        for limit in changed.plans.iter_mut().filter_map(|plan| plan.limit.as_mut()) {
            limit.rate = rate;
        }
        self.scheduler.reconfigure(self.now, changed).map_err(|why| format!("reconfigure: {why:?}"))
    }

    fn handle(&mut self, events: &[Event]) {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, events, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, node, .. } => {
                    self.sent += 1;
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
                volume_usage: None,
                served_elsewhere: 0.0,
            })]);
        }
        self.now = until;
    }

    /// The next request, so long after the last; every second one is for the same shard where that is crowded.
    pub fn request(&mut self, gap: Duration, crowded: bool) {
        self.pass(self.now + gap);
        self.requests += 1;
        let shard = if crowded && self.requests.is_multiple_of(2) {
            0
        } else {
            (self.requests * 7919 % u64::from(self.setup.nodes)) as u32
        };
        let new = NewRequest {
            id: RequestId(self.requests),
            class: (self.requests % 3) as usize,
            plan: 0,
            volume: VolumeId(self.requests % self.setup.volumes),
            key: 0,
            deadline: self.now + MS(3000),
            units: 2.0,
            shard: Some(shard),
            volume_initiators: 2.0,
        };
        self.handle(&[Event::Request(new)]);
    }
}
