//! What decisions cost in a fleet of many nodes: nodes looked at, not time, so that the figures are the same on every
//! machine. A request costs what its own shard costs, whatever the size of the fleet.

mod common;

use common::*;
use topazpath::interface::*;

const USUAL: u32 = 200;
const MANY: u32 = 3_200;
/// The same traffic at every size.
const REQUESTS_PER_SECOND: u64 = 20;
const SERVICE: Duration = ms(60);
/// The controllers run once in so long, over all nodes.
const INTERVAL: Duration = ms(2_000);
/// How much more a request may cost at sixteen times the nodes.
const MOST_RATIO: f64 = 1.5;

/// A host among 300 with a warm node for each shard.
struct Fleet {
    host: Host,
    nodes: u32,
    random: u64,
    out: Vec<(Duration, RequestId, NodeId)>,
    next_request: Duration,
    /// Nodes looked at in calls in which no interval ended and no list came.
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
        let host = Host::new(settings, &entries);
        let (out, next_request) = (Vec::new(), START);
        Fleet { host, nodes, random: 7, out, next_request, visited: 0, requests: 0 }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) % below
    }

    /// One call with what has happened since the last: answers, and requests of both kinds.
    fn step(&mut self) {
        self.host.now += LOOK;
        let now = self.host.now;
        let mut events = Vec::new();
        let (due, out) = self.out.drain(..).partition(|(sent, _, _)| *sent + SERVICE <= now);
        self.out = out;
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
            let mut request = self.host.new_request(class, shard, 0);
            if self.draw(4) == 0 {
                // A new object, which any node may take.
                request.shard = None;
            }
            events.push(Event::Request(request));
            self.requests += 1;
        }
        let before = self.host.nodes_visited();
        let actions = self.host.handle(&events);
        let since_interval = (now - START).as_millis() % INTERVAL.as_millis();
        if since_interval >= LOOK.as_millis() {
            self.visited += self.host.nodes_visited() - before;
        }
        for action in actions {
            if let Action::Send { id, node, .. } = action {
                self.out.push((now, id, node));
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let until = self.host.now + span;
        while self.host.now < until {
            self.step();
        }
    }

    /// A third of the nodes is told to drain in one message.
    fn drain_a_third(&mut self) {
        let draining = (0..self.nodes).step_by(3);
        let line = |number| NodeEntry { state: NodeState::Draining, ..node(number + 1, number) };
        let entries: Vec<NodeEntry> = draining.map(line).collect();
        self.host.list(ListKind::Delta, &entries);
    }

    /// Nodes looked at for each request since asked last.
    fn visits_per_request(&mut self) -> f64 {
        let (visited, requests) = (std::mem::take(&mut self.visited), std::mem::take(&mut self.requests));
        visited as f64 / requests as f64
    }
}

/// At rest, while a third of the nodes drains, and when that is over.
fn costs(nodes: u32) -> [f64; 3] {
    let mut fleet = Fleet::new(nodes);
    fleet.run(ms(3_000));
    let at_rest = fleet.visits_per_request();
    fleet.drain_a_third();
    fleet.run(ms(800));
    let draining = fleet.visits_per_request();
    // The grace ends in this time: that costs each line of the change once more, which is not a request's cost.
    fleet.run(ms(150));
    let ended = fleet.visited as f64;
    let lines = f64::from(nodes) / 3.0;
    assert!(ended < 4.0 * lines, "{ended} nodes looked at for {lines} drains that end");
    fleet.visits_per_request();
    fleet.run(ms(800));
    [at_rest, draining, fleet.visits_per_request()]
}

#[test]
fn a_request_costs_no_more_at_sixteen_times_the_nodes() {
    let (usual, many) = (costs(USUAL), costs(MANY));
    for (usual, many) in usual.into_iter().zip(many) {
        let ratio = many / usual;
        assert!(ratio < MOST_RATIO, "{ratio:.1} times: {usual:.0} nodes a request, {many:.0} at {MANY}");
    }
}

#[test]
fn a_change_costs_its_lines() {
    let mut fleet = Fleet::new(MANY);
    fleet.run(ms(500));
    let before = fleet.host.nodes_visited();
    fleet.host.list(ListKind::Delta, &[NodeEntry { state: NodeState::Draining, ..node(5, 4) }]);
    let visited = fleet.host.nodes_visited() - before;
    assert!(visited < u64::from(USUAL), "{visited} nodes for one line");
}
