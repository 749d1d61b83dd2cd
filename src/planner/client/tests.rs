use super::*;
use crate::interface::{Limit, NewRequest, Plan};
use crate::revisions::delta::Delta;
use crate::revisions::document::{Document, PlanOverrides};
use crate::revisions::{
    Acknowledgement, AcknowledgementOutcome, RevisionId, RevisionNumber, Update, UpdateContent,
};
use mio::{Events, Poll};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};

/// Timeout for messages on loopback, far longer than they take on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

/// A planner whose messages the test sends.
struct FakePlanner {
    listener: TcpListener,
    stream: Option<TcpStream>,
    input: Vec<u8>,
    /// Number of all bytes received.
    received: usize,
}

impl FakePlanner {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        FakePlanner { listener, stream: None, input: Vec::new(), received: 0 }
    }

    fn send(&mut self, message: &FromPlanner) {
        let mut output = Vec::new();
        frame::encode(message, &mut output);
        self.stream.as_mut().unwrap().write_all(&output).unwrap();
    }

    /// The messages that have arrived by now.
    fn receive(&mut self) -> Vec<ToPlanner> {
        if let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(true).unwrap();
            stream.set_nodelay(true).unwrap();
            self.stream = Some(stream);
        }
        let Some(stream) = &mut self.stream else { return Vec::new() };
        let mut piece = [0; 4096];
        loop {
            match stream.read(&mut piece) {
                Ok(0) => panic!("the initiator has closed"),
                Ok(count) => {
                    self.received += count;
                    self.input.extend_from_slice(&piece[..count]);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => panic!("{error}"),
            }
        }
        let mut messages = Vec::new();
        while let Some(message) = frame::decode(&mut self.input).unwrap() {
            messages.push(message);
        }
        messages
    }
}

/// An initiator's client with fake planners.
struct Fixture {
    poll: Poll,
    planners: Planners,
    fakes: Vec<FakePlanner>,
    /// The messages that each planner received, without heartbeats.
    received_messages: Vec<Vec<ToPlanner>>,
    now: Instant,
}

impl Fixture {
    /// Connects a client to `count` planners, all of which have welcomed it.
    fn start(count: usize, is_enabled: bool) -> Self {
        let fakes: Vec<FakePlanner> = (0..count).map(|_| FakePlanner::start()).collect();
        let addresses: Vec<SocketAddr> =
            fakes.iter().map(|fake| fake.listener.local_addr().unwrap()).collect();
        let now = Instant::now();
        let names = Names { classes: Vec::new(), plans: vec!["base".into()] };
        let names = is_enabled.then_some(names);
        let clock = (Clock::start(), now);
        let planners = Planners::new(&addresses, 1, "i-1", (settings(), names), 7, clock, &mut Tokens::new());
        let received_messages = vec![Vec::new(); count];
        let mut fixture = Fixture { poll: Poll::new().unwrap(), planners, fakes, received_messages, now };
        fixture.run_until("all have sent a greeting", |fixture| {
            fixture.received_messages.iter().all(|received_messages| !received_messages.is_empty())
        });
        for fake in &mut fixture.fakes {
            fake.send(&FromPlanner::Welcome { partitions: 1 });
        }
        fixture.deliver_all();
        fixture
    }

    fn run_once(&mut self, wait: Duration) -> bool {
        let mut events = Events::with_capacity(64);
        self.poll.poll(&mut events, Some(wait)).unwrap();
        for event in &events {
            self.planners.ready(self.now, event.token());
        }
        self.planners.tick(self.now, self.poll.registry());
        for (fake, received_messages) in self.fakes.iter_mut().zip(&mut self.received_messages) {
            let is_heartbeat = |message: &ToPlanner| matches!(message, ToPlanner::Alive);
            received_messages.extend(fake.receive().into_iter().filter(|message| !is_heartbeat(message)));
        }
        !events.is_empty()
    }

    fn run_until(&mut self, what: &str, done: impl Fn(&mut Fixture) -> bool) {
        let start = Instant::now();
        while !done(self) {
            assert!(start.elapsed() < PATIENCE, "timed out: {what}");
            self.run_once(Duration::from_millis(5));
        }
    }

    /// Waits until all messages sent so far are handled, by sending a further one to the initiator.
    fn deliver_all(&mut self) {
        for at in 0..self.fakes.len() {
            let leads = self.planners.links[at].leads.clone();
            let other = if leads.is_empty() { vec![9] } else { Vec::new() };
            self.fakes[at].send(&FromPlanner::Leads(other.clone()));
            self.run_until("the leader is announced", |fixture| fixture.planners.links[at].leads == other);
        }
    }

    fn take_messages(&mut self, at: usize) -> Vec<ToPlanner> {
        std::mem::take(&mut self.received_messages[at])
    }
}

fn settings() -> Settings {
    let limit = Limit { rate: 20.0, burst: 40.0, overdraft: 8.0 };
    let plan = Plan { reserve: 1.0, limit: Some(limit), weight: 1.0, worth_factor: 1.0 };
    Settings { plans: vec![plan], ..Settings::default() }
}

/// A document with settings of many plans, as a deployment has them; one of them has this rate.
fn document(rate: f64, plans: usize) -> Document {
    let figures = |rate| PlanOverrides { ceiling_rate: Some(rate), ..PlanOverrides::default() };
    let mut document = Document::default();
    for plan in 1..plans {
        document.plans.insert(format!("plan-{plan}"), figures(30.0));
    }
    document.plans.insert("base".into(), figures(rate));
    document
}

fn id(number: u64, document: &Document) -> RevisionId {
    RevisionId { number: RevisionNumber(number), hash: document.hash() }
}

fn whole(number: u64, document: Document) -> Update {
    Update { id: id(number, &document), content: UpdateContent::Full(document) }
}

fn in_force(id: RevisionId) -> ToPlanner {
    ToPlanner::Acknowledge(Acknowledgement { id, outcome: AcknowledgementOutcome::InForce })
}

fn length(message: &impl Serialize) -> usize {
    let mut output = Vec::new();
    frame::encode(message, &mut output);
    output.len()
}

#[test]
fn a_revision_in_force_is_acknowledged_to_all_planners() {
    let mut fixture = Fixture::start(2, true);
    for at in 0..2 {
        let received_messages = fixture.take_messages(at);
        assert!(matches!(received_messages[0], ToPlanner::Hello { .. }));
        assert_eq!(received_messages[1..], [in_force(RevisionId::none())]);
        fixture.fakes[at].send(&FromPlanner::Quorum(true));
    }
    fixture.deliver_all();
    let source = fixture.planners.configuration.as_ref().unwrap().report(fixture.now).source.unwrap();
    let source = fixture.planners.links.iter().position(|link| link.address == source).unwrap();
    fixture.run_until("it subscribes", |fixture| !fixture.received_messages[source].is_empty());
    assert_eq!(fixture.take_messages(source), [ToPlanner::Subscribe { current: RevisionId::none() }]);
    let update = whole(1, document(80.0, 1));
    fixture.fakes[source].send(&FromPlanner::Update(update.clone()));
    fixture.deliver_all();
    let prepared = fixture.planners.prepared_configuration().unwrap();
    assert_eq!(prepared.id, update.id);
    fixture.take_messages(0);
    fixture.take_messages(1);
    fixture.planners.configuration_taken_over(fixture.now, &prepared);
    fixture.deliver_all();
    fixture.run_until("both are notified", |fixture| {
        fixture.received_messages.iter().all(|received_messages| !received_messages.is_empty())
    });
    for at in 0..2 {
        assert_eq!(fixture.take_messages(at), [in_force(update.id)]);
    }
    let (lines, json) = fixture.planners.info(fixture.now);
    assert!(lines.contains("configuration_number:1\r\n"), "{lines}");
    assert!(lines.contains("configuration_subscribed:1\r\n"), "{lines}");
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["configuration"]["hash"], update.id.hash.to_string());
    assert_eq!(json["configuration"]["quorum"], true);
    assert_eq!(json["configuration"]["refused"], serde_json::Value::Null);
}

#[test]
fn demand_is_a_fraction_of_the_limit_in_force() {
    let mut fixture = Fixture::start(1, true);
    let request = || {
        let new =
            NewRequest { volume: VolumeId(1), units: 2.0, volume_initiators: 2.0, ..NewRequest::default() };
        [Event::Request(new)]
    };
    let at = fixture.planners.clock.unix(fixture.now);
    fixture.planners.record_requests(fixture.now, &request());
    assert_eq!(fixture.planners.meter.demands(at, |_| true)[0].wanted, 4.0 / 20.0);
    fixture.fakes[0].send(&FromPlanner::Quorum(true));
    fixture.fakes[0].send(&FromPlanner::Update(whole(1, document(80.0, 1))));
    fixture.deliver_all();
    let prepared = fixture.planners.prepared_configuration().unwrap();
    fixture.planners.configuration_taken_over(fixture.now, &prepared);
    fixture.planners.record_requests(fixture.now, &request());
    assert_eq!(fixture.planners.meter.demands(at, |_| true)[0].wanted, 8.0 / 80.0);
}

#[test]
fn live_configuration_messages_are_ignored_while_it_is_disabled() {
    let mut fixture = Fixture::start(1, false);
    assert!(matches!(fixture.take_messages(0)[..], [ToPlanner::Hello { .. }]));
    fixture.fakes[0].send(&FromPlanner::Quorum(true));
    fixture.fakes[0].send(&FromPlanner::Update(whole(1, document(80.0, 1))));
    fixture.deliver_all();
    assert_eq!(fixture.take_messages(0), []);
    assert_eq!(fixture.planners.prepared_configuration(), None);
    assert!(fixture.planners.links[0].is_up());
    let (lines, json) = fixture.planners.info(fixture.now);
    assert!(!lines.contains("configuration_") && !json.contains("configuration"), "{lines}{json}");
}

#[test]
fn a_planner_without_live_configuration_is_not_subscribed_to() {
    let mut fixture = Fixture::start(1, true);
    fixture.deliver_all();
    assert_eq!(fixture.take_messages(0).len(), 2, "the greeting and the revision in force");
    assert!(fixture.planners.links[0].is_up());
    let (lines, _) = fixture.planners.info(fixture.now);
    assert!(lines.contains("configuration_subscribed:0\r\n"), "{lines}");
}

/// The bytes that one planner receives from an idle client, and the number of messages that are not heartbeats.
fn idle_traffic(is_enabled: bool, seconds: u32) -> (usize, usize) {
    let mut fixture = Fixture::start(1, is_enabled);
    fixture.fakes[0].send(&FromPlanner::Quorum(true));
    fixture.deliver_all();
    if is_enabled {
        fixture.run_until("it subscribes", |fixture| fixture.received_messages[0].len() == 3);
    }
    fixture.take_messages(0);
    let before = fixture.fakes[0].received;
    for step in 1..=seconds * 10 {
        fixture.now += REPORT_INTERVAL;
        if step % 3 == 0 {
            fixture.deliver_all();
        }
        fixture.run_once(Duration::ZERO);
    }
    fixture.deliver_all();
    let heartbeats = (seconds * 10 / HEARTBEAT_REPORTS) as usize;
    let expected = heartbeats * length(&ToPlanner::Alive);
    fixture.run_until("heartbeats arrive", |fixture| fixture.fakes[0].received - before >= expected);
    (fixture.fakes[0].received - before, fixture.take_messages(0).len())
}

#[test]
fn live_configuration_sends_nothing_while_idle() {
    let (off, on) = (idle_traffic(false, 10), idle_traffic(true, 10));
    println!("bytes to a planner in 10 s while idle: {} without live configuration, {} with it", off.0, on.0);
    assert_eq!(off, on);
    assert_eq!(on.1, 0);
}

/// The change of one plan's setting among ten plans, to an initiator with three planners.
#[test]
fn a_change_of_one_setting_takes_fewer_bytes_than_a_whole_document() {
    let (older, newer) = (document(20.0, 10), document(25.0, 10));
    let (base, delta) = (id(1, &older), Delta::between(&older, &newer));
    let content = UpdateContent::Changes { base, delta };
    let changes = length(&FromPlanner::Update(Update { id: id(2, &newer), content }));
    let whole = length(&FromPlanner::Update(whole(2, newer.clone())));
    let acknowledgement = length(&in_force(id(2, &newer)));
    println!(
        "update: {changes} bytes, whole document {whole}; acknowledgement to one planner: {acknowledgement}"
    );
    assert!(changes < whole);
    assert!(changes + 3 * acknowledgement < 300, "{changes} + 3 x {acknowledgement}");
}
