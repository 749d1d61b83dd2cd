//! The decision module of one initiator in virtual time, with nodes that answer after a fixed time. The bench of the
//! module and the command that measures capacity both drive it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;
use std::time::Duration;
use topazpath::interface::*;
use topazpath::Scheduler;

const MS: fn(u64) -> Duration = Duration::from_millis;
/// Response time of a node.
const RESPONSE_TIME: Duration = Duration::from_millis(60);

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Nodes in the list, one per shard.
    pub nodes: u32,
    /// Initiators in the fleet.
    pub initiators: u32,
    /// Volumes that requests address, round robin.
    pub volumes: u64,
    /// Zones over which the nodes are spread.
    pub zones: u32,
    /// Whether volumes have a limit; it is too high to be reached.
    pub limited: bool,
}

impl Setup {
    /// A fleet with this many nodes and one and a half times as many initiators.
    pub fn of(nodes: u32) -> Setup {
        Setup { nodes, initiators: nodes * 3 / 2, volumes: 9, zones: 1, limited: false }
    }
}

/// One initiator's scheduler and its nodes.
pub struct Simulation {
    scheduler: Scheduler,
    setup: Setup,
    now: Duration,
    /// Attempts in flight: when each is answered, its request and its node.
    in_flight: BinaryHeap<Reverse<(Duration, u64, u32)>>,
    wake: Duration,
    requests: u64,
    /// Attempts sent to nodes so far.
    pub sent: u64,
}

/// Settings like those of a real deployment.
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

/// A ready node that is the only one in its shard.
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

impl Simulation {
    /// Nodes that the scheduler has visited so far.
    #[cfg(test)]
    pub fn nodes_visited(&self) -> u64 {
        self.scheduler.nodes_visited()
    }

    /// Starts with the whole node list applied.
    pub fn new(setup: Setup) -> Self {
        let mut simulation = Simulation {
            scheduler: Scheduler::new(settings(setup), 7),
            setup,
            now: MS(100_000),
            in_flight: BinaryHeap::new(),
            wake: MS(u64::MAX / 2),
            requests: 0,
            sent: 0,
        };
        simulation.apply_list();
        simulation
    }

    /// Applies a full node list.
    pub fn apply_list(&mut self) {
        let entries = (0..self.setup.nodes).map(|id| entry(id, self.setup.zones)).collect();
        self.handle(&[Event::List { kind: ListKind::Full, entries }]);
    }

    /// Applies a list change of one node's state.
    pub fn apply_change(&mut self, node: u32, state: NodeState) {
        let entries = vec![NodeEntry { state, ..entry(node, self.setup.zones) }];
        self.handle(&[Event::List { kind: ListKind::Delta, entries }]);
    }

    /// Changes the limit of every volume.
    pub fn reconfigure(&mut self, rate: f64) -> Result<(), String> {
        let mut changed = settings(self.setup);
        for limit in changed.plans.iter_mut().filter_map(|plan| plan.limit.as_mut()) {
            limit.rate = rate;
        }
        self.scheduler.reconfigure(self.now, changed).map_err(|error| format!("reconfigure: {error:?}"))
    }

    fn handle(&mut self, events: &[Event]) {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, events, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, node, .. } => {
                    self.sent += 1;
                    self.in_flight.push(Reverse((self.now + RESPONSE_TIME, id.0, node.0)));
                }
                Action::WakeAt(at) => self.wake = at,
                other => drop(black_box(other)),
            }
        }
    }

    /// Advances virtual time to `until`, handling timers and answers that come due.
    fn advance(&mut self, until: Duration) {
        loop {
            let answer = self.in_flight.peek().map_or(Duration::MAX, |Reverse((at, _, _))| *at);
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
            let Some(Reverse((_, id, node))) = self.in_flight.pop() else { break };
            self.handle(&[Event::AttemptEnded(AttemptEnd {
                id: RequestId(id),
                attempt: 0,
                node: NodeId(node),
                outcome: Outcome::Served,
                finished: true,
                latency: RESPONSE_TIME,
                volume_usage: None,
                served_elsewhere: 0.0,
            })]);
        }
        self.now = until;
    }

    /// Sends the next request, `gap` after the previous one. With `crowded`, every second request is for the same
    /// shard.
    pub fn request(&mut self, gap: Duration, crowded: bool) {
        self.advance(self.now + gap);
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
