//! Cost of decisions in a fleet of many nodes, counted in nodes visited, which does not depend on the machine. The cost
//! of a request depends on the size of its shard and not on that of the fleet.

mod common;

use common::*;
use topazpath::interface::*;

const FEW: u32 = 200;
const MANY: u32 = 3_200;
/// The traffic is the same at every size.
const REQUESTS_PER_SECOND: u64 = 20;
const SERVICE: Duration = ms(60);
/// The controllers run once in this time, over all nodes.
const INTERVAL: Duration = ms(2_000);
/// Maximum ratio of a request's cost at sixteen times the nodes.
const MAX_RATIO: f64 = 1.5;

/// One of 300 initiators, with a node at full capacity for each shard.
struct Fleet {
    initiator: Initiator,
    nodes: u32,
    random: u64,
    in_flight: Vec<(Duration, RequestId, NodeId)>,
    next_request: Duration,
    /// Nodes visited in calls in which no interval ended and no list arrived.
    visited: u64,
    requests: u64,
}

impl Fleet {
    fn new(nodes: u32) -> Self {
        let classes = vec![
            class(Effect::Safe),
            Class { dedup_window: ms(5_000), ..class(Effect::Keyed(DedupScope::Shard)) },
        ];
        let mut settings = settings(classes);
        settings.initiators = 300;
        let entries: Vec<NodeEntry> = (0..nodes).map(|number| node(number + 1, number)).collect();
        let initiator = Initiator::new(settings, &entries);
        let (in_flight, next_request) = (Vec::new(), START);
        Fleet { initiator, nodes, random: 7, in_flight, next_request, visited: 0, requests: 0 }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) % below
    }

    /// One call with the events since the last one: answers, and requests of both classes.
    fn step(&mut self) {
        self.initiator.now += CHECK_INTERVAL;
        let now = self.initiator.now;
        let mut events = Vec::new();
        let (due, in_flight) = self.in_flight.drain(..).partition(|(sent, _, _)| *sent + SERVICE <= now);
        self.in_flight = in_flight;
        for (sent, id, node) in due {
            events.push(Event::AttemptEnded(AttemptEnd {
                id,
                attempt: 0,
                node,
                outcome: Outcome::Served,
                finished: true,
                latency: now - sent,
                volume_usage: None,
                served_elsewhere: 0.0,
            }));
        }
        while self.next_request <= now {
            self.next_request += ms(1_000 / REQUESTS_PER_SECOND);
            let shard = self.draw(u64::from(self.nodes)) as u32;
            let class = self.draw(2) as usize;
            let mut request = self.initiator.new_request(class, shard, 0);
            if self.draw(4) == 0 {
                // A new object, which any node may take.
                request.shard = None;
            }
            events.push(Event::Request(request));
            self.requests += 1;
        }
        let before = self.initiator.nodes_visited();
        let actions = self.initiator.handle(&events);
        let since_interval = (now - START).as_millis() % INTERVAL.as_millis();
        if since_interval >= CHECK_INTERVAL.as_millis() {
            self.visited += self.initiator.nodes_visited() - before;
        }
        for action in actions {
            if let Action::Send { id, node, .. } = action {
                self.in_flight.push((now, id, node));
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let until = self.initiator.now + span;
        while self.initiator.now < until {
            self.step();
        }
    }

    /// One message sets a third of the nodes to draining.
    fn drain_a_third(&mut self) {
        let draining = (0..self.nodes).step_by(3);
        let entry = |number| NodeEntry { state: NodeState::Draining, ..node(number + 1, number) };
        let entries: Vec<NodeEntry> = draining.map(entry).collect();
        self.initiator.list(ListKind::Delta, &entries);
    }

    /// Nodes visited per request since the last call.
    fn visits_per_request(&mut self) -> f64 {
        let (visited, requests) = (std::mem::take(&mut self.visited), std::mem::take(&mut self.requests));
        visited as f64 / requests as f64
    }
}

/// Nodes visited per request: at rest, while a third of the nodes drains, and after that.
fn costs(nodes: u32) -> [f64; 3] {
    let mut fleet = Fleet::new(nodes);
    fleet.run(ms(3_000));
    let at_rest = fleet.visits_per_request();
    fleet.drain_a_third();
    fleet.run(ms(800));
    let draining = fleet.visits_per_request();
    // The grace ends in this time. That visits each changed node once more, which is not a cost of requests.
    fleet.run(ms(150));
    let ended = fleet.visited as f64;
    let drains = f64::from(nodes) / 3.0;
    assert!(ended < 4.0 * drains, "{ended} nodes visited for {drains} drains that end");
    fleet.visits_per_request();
    fleet.run(ms(800));
    [at_rest, draining, fleet.visits_per_request()]
}

#[test]
fn the_cost_of_a_request_does_not_grow_with_sixteen_times_the_nodes() {
    let (few, many) = (costs(FEW), costs(MANY));
    for (few, many) in few.into_iter().zip(many) {
        let ratio = many / few;
        assert!(ratio < MAX_RATIO, "{ratio:.1} times: {few:.0} nodes a request, {many:.0} at {MANY}");
    }
}

#[test]
fn the_cost_of_a_list_change_depends_on_its_entries_alone() {
    let mut fleet = Fleet::new(MANY);
    fleet.run(ms(500));
    let before = fleet.initiator.nodes_visited();
    fleet.initiator.list(ListKind::Delta, &[NodeEntry { state: NodeState::Draining, ..node(5, 4) }]);
    let visited = fleet.initiator.nodes_visited() - before;
    assert!(visited < u64::from(FEW), "{visited} nodes for one entry");
}
