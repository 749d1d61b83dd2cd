use super::*;
use crate::interface::{Limit, NewRequest, Plan};
use crate::revisions::delta::Delta;
use crate::revisions::document::{Document, PlanFigures};
use crate::revisions::{
    Acknowledgement, AcknowledgementOutcome, RevisionId, RevisionNumber, Update, UpdateContent,
};
use mio::{Events, Poll};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};

/// How long a message on loopback is waited for: far longer than it takes on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

/// A planner that the test speaks for.
struct FakePlanner {
    listener: TcpListener,
    stream: Option<TcpStream>,
    input: Vec<u8>,
    /// All bytes that have come.
    received: usize,
}

impl FakePlanner {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        FakePlanner { listener, stream: None, input: Vec::new(), received: 0 }
    }

    fn say(&mut self, message: &FromPlanner) {
        let mut output = Vec::new();
        frame::encode(message, &mut output);
        self.stream.as_mut().unwrap().write_all(&output).unwrap();
    }

    /// What has come by now.
    fn hear(&mut self) -> Vec<ToPlanner> {
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

/// An initiator's side with planners that the test speaks for.
struct Bed {
    poll: Poll,
    planners: Planners,
    fakes: Vec<FakePlanner>,
    /// What each planner was told, without what goes on all the time.
    said: Vec<Vec<ToPlanner>>,
    now: Instant,
}

impl Bed {
    /// Live configuration is on or off; all planners have welcomed the initiator.
    fn start(count: usize, is_on: bool) -> Self {
        let fakes: Vec<FakePlanner> = (0..count).map(|_| FakePlanner::start()).collect();
        let addresses: Vec<SocketAddr> =
            fakes.iter().map(|fake| fake.listener.local_addr().unwrap()).collect();
        let now = Instant::now();
        let names = Names { classes: Vec::new(), plans: vec!["base".into()] };
        let names = is_on.then_some(names);
        let clock = (Clock::start(), now);
        let planners = Planners::new(&addresses, 1, "i-1", (settings(), names), 7, clock, &mut Tokens::new());
        let said = vec![Vec::new(); count];
        let mut bed = Bed { poll: Poll::new().unwrap(), planners, fakes, said, now };
        bed.until("all have greeted", |bed| bed.said.iter().all(|said| !said.is_empty()));
        for fake in &mut bed.fakes {
            fake.say(&FromPlanner::Welcome { partitions: 1 });
        }
        bed.settle();
        bed
    }

    fn turn(&mut self, wait: Duration) -> bool {
        let mut events = Events::with_capacity(64);
        self.poll.poll(&mut events, Some(wait)).unwrap();
        for event in &events {
            self.planners.ready(self.now, event.token());
        }
        self.planners.tick(self.now, self.poll.registry());
        for (fake, said) in self.fakes.iter_mut().zip(&mut self.said) {
            let all_the_time = |message: &ToPlanner| matches!(message, ToPlanner::Alive);
            said.extend(fake.hear().into_iter().filter(|message| !all_the_time(message)));
        }
        !events.is_empty()
    }

    fn until(&mut self, what: &str, done: impl Fn(&mut Bed) -> bool) {
        let begin = Instant::now();
        while !done(self) {
            assert!(begin.elapsed() < PATIENCE, "{what}: it does not happen");
            self.turn(Duration::from_millis(5));
        }
    }

    /// Lets all that was said arrive, by a message to the initiator that follows it.
    fn settle(&mut self) {
        for at in 0..self.fakes.len() {
            let leads = self.planners.links[at].leads.clone();
            let other = if leads.is_empty() { vec![9] } else { Vec::new() };
            self.fakes[at].say(&FromPlanner::Leads(other.clone()));
            self.until("it hears who leads", |bed| bed.planners.links[at].leads == other);
        }
    }

    fn take_said(&mut self, at: usize) -> Vec<ToPlanner> {
        std::mem::take(&mut self.said[at])
    }
}

fn settings() -> Settings {
    let limit = Limit { rate: 20.0, burst: 40.0, slack: 8.0 };
    let plan = Plan { reserve: 1.0, limit: Some(limit), weight: 1.0, price: 1.0 };
    Settings { plans: vec![plan], ..Settings::default() }
}

/// A document with figures of many plans, as a deployment has them; one of them changes with the rate.
fn document(rate: f64, plans: usize) -> Document {
    let figures = |rate| PlanFigures { ceiling_rate: Some(rate), ..PlanFigures::default() };
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
    Update { id: id(number, &document), content: UpdateContent::Whole(document) }
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
fn a_revision_comes_over_the_link_and_all_planners_learn_that_it_is_in_force() {
    let mut bed = Bed::start(2, true);
    for at in 0..2 {
        let said = bed.take_said(at);
        assert!(matches!(said[0], ToPlanner::Hello { .. }));
        assert_eq!(said[1..], [in_force(RevisionId::none())]);
        bed.fakes[at].say(&FromPlanner::Quorum(true));
    }
    bed.settle();
    let source = bed.planners.configuration.as_ref().unwrap().report(bed.now).source.unwrap();
    let source = bed.planners.links.iter().position(|link| link.address == source).unwrap();
    bed.until("it subscribes", |bed| !bed.said[source].is_empty());
    assert_eq!(bed.take_said(source), [ToPlanner::Subscribe { current: RevisionId::none() }]);
    let update = whole(1, document(80.0, 1));
    bed.fakes[source].say(&FromPlanner::Update(update.clone()));
    bed.settle();
    let prepared = bed.planners.prepared_configuration().unwrap();
    assert_eq!(prepared.id, update.id);
    bed.take_said(0);
    bed.take_said(1);
    bed.planners.configuration_taken_over(bed.now, &prepared);
    bed.settle();
    bed.until("both learn it", |bed| bed.said.iter().all(|said| !said.is_empty()));
    for at in 0..2 {
        assert_eq!(bed.take_said(at), [in_force(update.id)]);
    }
    let (lines, json) = bed.planners.info(bed.now);
    assert!(lines.contains("configuration_number:1\r\n"), "{lines}");
    assert!(lines.contains("configuration_subscribed:1\r\n"), "{lines}");
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["configuration"]["hash"], update.id.hash.to_string());
    assert_eq!(json["configuration"]["quorum"], true);
    assert_eq!(json["configuration"]["refused"], serde_json::Value::Null);
}

#[test]
fn demand_is_measured_against_the_limit_in_force() {
    let mut bed = Bed::start(1, true);
    let request = || {
        let new = NewRequest { volume: VolumeId(1), units: 2.0, volume_hosts: 2.0, ..NewRequest::default() };
        [Event::Request(new)]
    };
    let at = bed.planners.clock.unix(bed.now);
    bed.planners.record_requests(bed.now, &request());
    assert_eq!(bed.planners.meter.demands(at, |_| true)[0].wanted, 4.0 / 20.0);
    bed.fakes[0].say(&FromPlanner::Quorum(true));
    bed.fakes[0].say(&FromPlanner::Update(whole(1, document(80.0, 1))));
    bed.settle();
    let prepared = bed.planners.prepared_configuration().unwrap();
    bed.planners.configuration_taken_over(bed.now, &prepared);
    bed.planners.record_requests(bed.now, &request());
    assert_eq!(bed.planners.meter.demands(at, |_| true)[0].wanted, 8.0 / 80.0);
}

#[test]
fn live_configuration_is_left_alone_where_it_is_off() {
    let mut bed = Bed::start(1, false);
    assert!(matches!(bed.take_said(0)[..], [ToPlanner::Hello { .. }]));
    bed.fakes[0].say(&FromPlanner::Quorum(true));
    bed.fakes[0].say(&FromPlanner::Update(whole(1, document(80.0, 1))));
    bed.settle();
    assert_eq!(bed.take_said(0), []);
    assert_eq!(bed.planners.prepared_configuration(), None);
    assert!(bed.planners.links[0].is_up());
    let (lines, json) = bed.planners.info(bed.now);
    assert!(!lines.contains("configuration_") && !json.contains("configuration"), "{lines}{json}");
}

#[test]
fn a_planner_without_live_configuration_serves_as_before() {
    let mut bed = Bed::start(1, true);
    bed.settle();
    assert_eq!(bed.take_said(0).len(), 2, "the greeting, and what is in force");
    assert!(bed.planners.links[0].is_up());
    let (lines, _) = bed.planners.info(bed.now);
    assert!(lines.contains("configuration_subscribed:0\r\n"), "{lines}");
}

/// Bytes that one planner receives in some seconds of rest, and how many of the messages are no heartbeat.
fn at_rest(is_on: bool, seconds: u32) -> (usize, usize) {
    let mut bed = Bed::start(1, is_on);
    bed.fakes[0].say(&FromPlanner::Quorum(true));
    bed.settle();
    if is_on {
        bed.until("it subscribes", |bed| bed.said[0].len() == 3);
    }
    bed.take_said(0);
    let before = bed.fakes[0].received;
    for step in 1..=seconds * 10 {
        bed.now += REPORTS;
        if step % 3 == 0 {
            bed.settle();
        }
        bed.turn(Duration::ZERO);
    }
    bed.settle();
    let heartbeats = (seconds * 10 / ALIVE) as usize;
    let expected = heartbeats * length(&ToPlanner::Alive);
    bed.until("heartbeats arrive", |bed| bed.fakes[0].received - before >= expected);
    (bed.fakes[0].received - before, bed.take_said(0).len())
}

#[test]
fn at_rest_nothing_is_sent_for_live_configuration() {
    let (off, on) = (at_rest(false, 10), at_rest(true, 10));
    println!("bytes to a planner in 10 s of rest: {} without live configuration, {} with it", off.0, on.0);
    assert_eq!(off, on);
    assert_eq!(on.1, 0);
}

/// The change of one plan's figure among ten plans, to an initiator with three planners.
#[test]
fn a_change_of_one_figure_takes_few_bytes() {
    let (older, newer) = (document(20.0, 10), document(25.0, 10));
    let (base, delta) = (id(1, &older), Delta::between(&older, &newer));
    let content = UpdateContent::Changes { base, delta };
    let changes = length(&FromPlanner::Update(Update { id: id(2, &newer), content }));
    let whole = length(&FromPlanner::Update(whole(2, newer.clone())));
    let acknowledgement = length(&in_force(id(2, &newer)));
    println!(
        "update: {changes} bytes, as a whole {whole}; acknowledgement to one planner: {acknowledgement}"
    );
    assert!(changes < whole);
    assert!(changes + 3 * acknowledgement < 300, "{changes} + 3 x {acknowledgement}");
}
