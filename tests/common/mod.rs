//! A scheduler whose events are scripted by the test; nothing answers on its own.
#![allow(dead_code)]

pub mod cold;

use topazpath::interface::*;
use topazpath::Scheduler;

pub use std::time::Duration;

/// Time between two calls of the scheduler in [`Initiator::run`], and the start of every script.
pub const CHECK_INTERVAL: Duration = ms(5);
pub const START: Duration = ms(100_000);

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub struct Initiator {
    scheduler: Scheduler,
    pub now: Duration,
    /// Every action so far with its time.
    pub log: Vec<(Duration, Action)>,
    next_id: u64,
}

pub fn class(effect: Effect) -> Class {
    Class {
        latency_target: ms(400),
        deadline: ms(3000),
        worth: 2.0,
        late_worth: 0.2,
        effect,
        dedup_window: ms(1000),
        in_order: false,
    }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        initiators: 2,
        tick: ms(1),
        list_on_request: false,
        classes,
        plans: vec![Plan { reserve: 0.0, limit: None, weight: 1.0, worth_factor: 1.0 }],
        units: Units {
            mean: 2.0,
            largest: 6.0,
            share_worth: 1.0,
            spare_worth: 0.1,
            slow_start_units: 8.0,
            base_rates: vec![50.0],
            ..Units::default()
        },
        rules: Rules {
            answer_grace: ms(8),
            drain_grace: ms(1000),
            slow_start_min_share: 0.2,
            slow_start_time: ms(10_000),
            overload_factor: 2.0,
            overload_window: ms(1000),
            key_settle_time: ms(100),
            retry_budget: None,
        },
        limits: Limits {
            max_attempts: 4,
            connect_timeout: ms(100),
            max_retry_after: ms(2000),
            allow_cancel: true,
            max_queued: None,
        },
    }
}

pub fn node(id: u32, shard: u32) -> NodeEntry {
    NodeEntry {
        node: NodeId(id),
        shard,
        zone: 0,
        started: None,
        state: NodeState::Ready,
        no_new_objects: false,
    }
}

impl Initiator {
    pub fn new(settings: Settings, nodes: &[NodeEntry]) -> Self {
        Initiator::seeded(settings, nodes, 1)
    }

    pub fn seeded(settings: Settings, nodes: &[NodeEntry], seed: u64) -> Self {
        Initiator::started(settings, nodes, seed, START)
    }

    /// One that starts at another time.
    pub fn started(settings: Settings, nodes: &[NodeEntry], seed: u64, now: Duration) -> Self {
        let scheduler = Scheduler::new(settings, seed);
        let mut initiator = Initiator { scheduler, now, log: Vec::new(), next_id: 0 };
        initiator.list(ListKind::Cached, nodes);
        initiator
    }

    /// Nodes that its scheduler has visited so far.
    pub fn nodes_visited(&self) -> u64 {
        self.scheduler.nodes_visited()
    }

    pub fn handle(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, events, &mut actions);
        self.log.extend(actions.iter().map(|action| (self.now, action.clone())));
        actions
    }

    pub fn list(&mut self, kind: ListKind, entries: &[NodeEntry]) -> Vec<Action> {
        self.handle(&[Event::List { kind, entries: entries.to_vec() }])
    }

    /// A request of two units of volume 1 for a shard, with a deadline three seconds away.
    pub fn new_request(&mut self, class: usize, shard: u32, key: u64) -> NewRequest {
        self.next_id += 1;
        NewRequest {
            id: RequestId(self.next_id),
            class,
            plan: 0,
            volume: VolumeId(1),
            key,
            deadline: self.now + ms(3000),
            units: 2.0,
            shard: Some(shard),
            volume_initiators: 1.0,
        }
    }

    pub fn request(&mut self, class: usize, shard: u32, key: u64) -> RequestId {
        let new = self.new_request(class, shard, key);
        self.handle(&[Event::Request(new.clone())]);
        new.id
    }

    pub fn end(&mut self, id: RequestId, attempt: u32, node: u32, outcome: Outcome) -> Vec<Action> {
        let sent = self
            .log
            .iter()
            .rev()
            .find(|(_, action)| matches!(action, Action::Send { id: s, .. } if *s == id));
        let latency = self.now - sent.expect("only sent requests can end").0;
        let finished = outcome == Outcome::Served;
        let node = NodeId(node);
        let end = AttemptEnd {
            id,
            attempt,
            node,
            outcome,
            finished,
            latency,
            volume_usage: None,
            served_elsewhere: 0.0,
        };
        self.handle(&[Event::AttemptEnded(end)])
    }

    /// Advances the time, with a call of the scheduler every [`CHECK_INTERVAL`].
    pub fn run(&mut self, span: Duration) -> Vec<Action> {
        let until = self.now + span;
        let mut actions = Vec::new();
        while self.now < until {
            self.now += CHECK_INTERVAL;
            actions.extend(self.handle(&[Event::Wake]));
        }
        actions
    }

    /// Requests sent so far, in order.
    pub fn sent(&self) -> Vec<RequestId> {
        let sent = |(_, action): &(Duration, Action)| match action {
            Action::Send { id, .. } => Some(*id),
            _ => None,
        };
        self.log.iter().filter_map(sent).collect()
    }

    /// Final answers to a request, with their times.
    pub fn answers(&self, wanted: RequestId) -> Vec<(Duration, Action)> {
        let is_answer = |action: &Action| match action {
            Action::Refuse { id, .. } | Action::Fail { id } => *id == wanted,
            _ => false,
        };
        self.log.iter().filter(|(_, action)| is_answer(action)).cloned().collect()
    }
}

/// Number of sends among the actions.
pub fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Send { .. })).count()
}
