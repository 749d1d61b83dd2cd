use super::*;
use crate::revisions::document::{Document, PlanOverrides};
use proptest::prelude::*;
use std::collections::BTreeSet;

const START: Duration = Duration::from_secs(1000);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A document with eight plans; the number determines one value.
fn document(number: u64) -> Document {
    let figures = |rate| PlanOverrides { ceiling_rate: Some(rate), ..PlanOverrides::default() };
    let plans = (0..8).map(|plan| (format!("plan-{plan}"), figures(10.0 + plan as f64)));
    let mut document = Document { plans: plans.collect(), ..Document::default() };
    document.plans.insert("plan-0".into(), figures(1000.0 + number as f64));
    document
}

fn revision(number: u64) -> Revision {
    let document = if number == 0 { Document::default() } else { document(number) };
    let id = RevisionId { number: RevisionNumber(number), hash: document.hash() };
    Revision { id, author: "operator".into(), submitted_ms: 0, document }
}

fn id(number: u64) -> RevisionId {
    revision(number).id
}

struct Fixture {
    distributor: Distributor,
    now: Duration,
}

impl Fixture {
    fn new() -> Self {
        Fixture { distributor: Distributor::default(), now: START }
    }

    fn handle(&mut self, event: Event) -> Vec<(ConnectionId, Update)> {
        let mut actions = Vec::new();
        self.distributor.handle(self.now, event, &mut actions);
        let sent = |action| match action {
            Action::Send { connection, update } => (connection, update),
        };
        actions.into_iter().map(sent).collect()
    }

    fn connect(&mut self, connection: usize, name: &str) {
        let sent = self
            .handle(Event::Connected { connection: ConnectionId(connection), initiator: name.to_string() });
        assert!(sent.is_empty());
    }

    fn subscribe(&mut self, connection: usize, current: u64) -> Vec<(ConnectionId, Update)> {
        self.handle(Event::Subscribed { connection: ConnectionId(connection), current: id(current) })
    }

    fn accept(&mut self, number: u64) -> Vec<(ConnectionId, Update)> {
        self.handle(Event::Accepted(revision(number)))
    }

    fn acknowledge(
        &mut self,
        connection: usize,
        number: u64,
        outcome: AcknowledgementOutcome,
    ) -> Vec<(ConnectionId, Update)> {
        let acknowledgement = Acknowledgement { id: id(number), outcome };
        self.handle(Event::Acknowledged { connection: ConnectionId(connection), acknowledgement })
    }

    fn in_force(&mut self, connection: usize, number: u64) -> Vec<(ConnectionId, Update)> {
        self.acknowledge(connection, number, AcknowledgementOutcome::InForce)
    }

    fn refuse(&mut self, connection: usize, number: u64) -> Vec<(ConnectionId, Update)> {
        self.acknowledge(connection, number, AcknowledgementOutcome::Refused("no such plan".into()))
    }

    fn tick_at(&mut self, now: Duration) -> Vec<(ConnectionId, Update)> {
        self.now = now;
        self.handle(Event::Tick)
    }

    fn status_of(&self, name: &str) -> InitiatorStatus {
        let status = self.distributor.status(self.now);
        status.into_iter().find(|one| one.initiator == name).unwrap()
    }
}

fn base_of(update: &Update) -> Option<u64> {
    match &update.content {
        UpdateContent::Full(_) => None,
        UpdateContent::Changes { base, .. } => Some(base.number.0),
    }
}

/// The number and the base of the only update.
fn number_and_base(sent: Vec<(ConnectionId, Update)>) -> (u64, Option<u64>) {
    assert_eq!(sent.len(), 1, "{sent:?}");
    (sent[0].1.id.number.0, base_of(&sent[0].1))
}

#[test]
fn a_subscriber_is_sent_the_full_document_first_and_then_changes() {
    let mut fixture = Fixture::new();
    fixture.connect(1, "i-1");
    assert!(fixture.subscribe(1, 0).is_empty(), "there is no revision yet");
    assert_eq!(number_and_base(fixture.accept(1)), (1, None));
    assert!(fixture.in_force(1, 1).is_empty());
    assert_eq!(number_and_base(fixture.accept(2)), (2, Some(1)));
    assert!(fixture.in_force(1, 2).is_empty());
    assert_eq!(fixture.distributor.next_timer(), None, "no timer is due without a new revision");
}

#[test]
fn only_subscribed_connections_are_sent_updates() {
    let mut fixture = Fixture::new();
    fixture.connect(1, "i-1");
    assert!(fixture.in_force(1, 0).is_empty());
    assert!(fixture.accept(1).is_empty());
    assert_eq!(number_and_base(fixture.subscribe(1, 0)), (1, None));
    assert!(fixture.handle(Event::Unsubscribed(ConnectionId(1))).is_empty());
    assert!(fixture.accept(2).is_empty());
    assert_eq!(fixture.distributor.next_timer(), None);
    assert!(fixture.handle(Event::Subscribed { connection: ConnectionId(9), current: id(0) }).is_empty());
}

#[test]
fn a_recent_base_gets_changes_and_an_old_or_unknown_one_the_full_document() {
    let mut fixture = Fixture::new();
    for number in 1..=DELTA_BASE_REVISIONS as u64 + 1 {
        fixture.accept(number);
    }
    let newest = DELTA_BASE_REVISIONS as u64 + 1;
    fixture.connect(1, "i-1");
    assert_eq!(number_and_base(fixture.subscribe(1, 2)), (newest, Some(2)));
    fixture.connect(2, "i-2");
    assert_eq!(number_and_base(fixture.subscribe(2, 1)), (newest, None));
    // A number in range with a content that was never accepted.
    fixture.connect(3, "i-3");
    let foreign = RevisionId { number: RevisionNumber(newest - 1), hash: id(1).hash };
    let sent = fixture.handle(Event::Subscribed { connection: ConnectionId(3), current: foreign });
    assert_eq!(number_and_base(sent), (newest, None));
}

#[test]
fn the_full_document_is_sent_where_it_is_shorter_than_the_changes() {
    let mut fixture = Fixture::new();
    fixture.connect(1, "i-1");
    fixture.accept(1);
    fixture.subscribe(1, 1);
    let document = Document::default();
    let id = RevisionId { number: RevisionNumber(2), hash: document.hash() };
    let emptied = Revision { id, document, ..revision(2) };
    assert_eq!(number_and_base(fixture.handle(Event::Accepted(emptied))), (2, None));
}

#[test]
fn an_initiator_with_the_newest_or_a_later_revision_is_sent_nothing() {
    let mut fixture = Fixture::new();
    fixture.accept(3);
    fixture.connect(1, "i-1");
    assert!(fixture.subscribe(1, 3).is_empty());
    fixture.connect(2, "i-2");
    assert!(fixture.subscribe(2, 4).is_empty(), "this planner is behind");
    assert!(fixture.accept(3).is_empty());
    assert!(fixture.accept(2).is_empty(), "an older revision is ignored");
    assert_eq!(fixture.distributor.next_timer(), None);
}

#[test]
fn changes_that_are_not_applied_are_followed_by_the_full_document() {
    let mut fixture = Fixture::new();
    fixture.connect(1, "i-1");
    fixture.accept(1);
    fixture.subscribe(1, 1);
    assert_eq!(number_and_base(fixture.accept(2)), (2, Some(1)));
    // It acknowledges its old revision: the base of the changes is missing there.
    assert_eq!(number_and_base(fixture.in_force(1, 1)), (2, None));
    assert!(fixture.in_force(1, 2).is_empty());
}

#[test]
fn acknowledgements_of_other_planners_updates_do_not_answer_an_update_of_this_one() {
    let mut fixture = Fixture::new();
    fixture.connect(1, "i-1");
    fixture.accept(1);
    fixture.subscribe(1, 1);
    fixture.accept(2);
    assert_eq!(
        number_and_base(fixture.accept(3).into_iter().chain(fixture.in_force(1, 2)).collect()),
        (3, Some(2))
    );
    assert!(fixture.refuse(1, 2).is_empty());
    let due = fixture.distributor.next_timer();
    assert_eq!(due, Some(START + ACKNOWLEDGEMENT_TIMEOUT), "the third is still in flight");
    fixture.accept(4);
    assert!(fixture.in_force(1, 4).is_empty(), "another planner sent it");
    assert_eq!(fixture.distributor.next_timer(), due);
    assert!(fixture.in_force(1, 4).is_empty());
}

#[test]
fn a_newer_revision_replaces_a_waiting_one_and_follows_one_in_flight() {
    let mut fixture = Fixture::new();
    fixture.connect(1, "i-1");
    fixture.subscribe(1, 0);
    assert_eq!(number_and_base(fixture.accept(1)), (1, None));
    assert!(fixture.accept(2).is_empty(), "the first is not acknowledged yet");
    assert!(fixture.accept(3).is_empty());
    assert_eq!(number_and_base(fixture.in_force(1, 1)), (3, Some(1)), "the second is skipped");
}

#[test]
fn a_refused_revision_is_not_sent_again_on_the_connection_but_the_next_is() {
    let mut fixture = Fixture::new();
    fixture.connect(1, "i-1");
    fixture.accept(1);
    fixture.subscribe(1, 1);
    fixture.accept(2);
    assert!(fixture.refuse(1, 2).is_empty());
    assert!(fixture.tick_at(START + ACKNOWLEDGEMENT_TIMEOUT * 2).is_empty());
    assert!(fixture.subscribe(1, 1).is_empty());
    let status = fixture.status_of("i-1");
    assert_eq!((status.in_force, status.refused), (id(1), Some((id(2), "no such plan".into()))));
    assert_eq!(number_and_base(fixture.accept(3)), (3, Some(1)));
    assert!(fixture.in_force(1, 3).is_empty());
    assert_eq!(fixture.status_of("i-1").refused, None);
    fixture.accept(4);
    fixture.refuse(1, 4);
    fixture.handle(Event::Disconnected(ConnectionId(1)));
    fixture.connect(2, "i-1");
    assert_eq!(
        number_and_base(fixture.subscribe(2, 3)),
        (4, Some(3)),
        "another connection may be another process"
    );
}

#[test]
fn an_unacknowledged_update_is_sent_again_in_full_a_limited_number_of_times() {
    let mut fixture = Fixture::new();
    fixture.connect(1, "i-1");
    fixture.accept(1);
    fixture.subscribe(1, 1);
    assert_eq!(number_and_base(fixture.accept(2)), (2, Some(1)));
    for _ in 1..MAX_SENDS {
        let due = fixture.distributor.next_timer().unwrap();
        assert_eq!(due, fixture.now + ACKNOWLEDGEMENT_TIMEOUT);
        assert!(fixture.tick_at(due - millis(1)).is_empty());
        assert_eq!(number_and_base(fixture.tick_at(due)), (2, None));
    }
    let due = fixture.distributor.next_timer().unwrap();
    assert!(fixture.tick_at(due).is_empty());
    assert_eq!(fixture.distributor.next_timer(), None, "it is sent nothing more");
    assert_eq!(fixture.status_of("i-1").in_force, id(1));
    assert_eq!(number_and_base(fixture.accept(3)), (3, None), "until the next revision");
    let due = (1..MAX_SENDS).fold(fixture.now, |now, _| {
        fixture.tick_at(now + ACKNOWLEDGEMENT_TIMEOUT);
        fixture.now
    });
    assert!(fixture.tick_at(due + ACKNOWLEDGEMENT_TIMEOUT).is_empty());
    assert_eq!(number_and_base(fixture.subscribe(1, 1)), (3, Some(1)), "or until it subscribes again");
    fixture.in_force(1, 3);
    assert_eq!(number_and_base(fixture.accept(4)), (4, Some(3)), "after that it is sent changes again");
}

#[test]
fn many_initiators_that_reconnect_at_once_are_sent_updates_at_a_limited_rate() {
    let mut fixture = Fixture::new();
    fixture.accept(1);
    let count = 460;
    let mut sent = Vec::new();
    for connection in 0..count {
        fixture.connect(connection, &format!("i-{connection}"));
        sent.extend(fixture.subscribe(connection, 0));
    }
    assert_eq!(sent.len(), MAX_UPDATES_PER_INTERVAL);
    // No acknowledgement arrives: updates in flight stay within the limit.
    for _ in 0..20 {
        let now = fixture.now + SEND_INTERVAL;
        let more = fixture.tick_at(now);
        assert!(more.len() <= MAX_UPDATES_PER_INTERVAL);
        sent.extend(more);
    }
    assert_eq!(sent.len(), MAX_UNACKNOWLEDGED);
    // All are acknowledged at once: the rest follows at the limited rate.
    let (mut served, mut begin) = (BTreeSet::new(), 0);
    let since = fixture.now;
    while served.len() < count {
        let arrived: Vec<usize> = sent[begin..].iter().map(|(connection, _)| connection.0).collect();
        begin = sent.len();
        for connection in arrived {
            served.insert(connection);
            sent.extend(fixture.in_force(connection, 1));
        }
        if served.len() < count && sent.len() == begin {
            let due = fixture.distributor.next_timer().unwrap();
            sent.extend(fixture.tick_at(due));
        }
    }
    assert_eq!(sent.len(), count, "one update for each");
    let needed = SEND_INTERVAL * ((count - MAX_UNACKNOWLEDGED) / MAX_UPDATES_PER_INTERVAL) as u32;
    assert!(
        (needed..=needed + SEND_INTERVAL * 2).contains(&(fixture.now - since)),
        "{:?}",
        fixture.now - since
    );
    assert_eq!(fixture.distributor.next_timer(), None);
}

#[test]
fn a_later_connection_of_the_same_name_replaces_the_earlier() {
    let mut fixture = Fixture::new();
    fixture.connect(1, "i-1");
    fixture.accept(1);
    fixture.subscribe(1, 0);
    fixture.connect(2, "i-1");
    assert!(fixture.in_force(1, 1).is_empty());
    assert_eq!(fixture.status_of("i-1").in_force, id(0), "the earlier connection is ignored");
    assert!(fixture.handle(Event::Disconnected(ConnectionId(1))).is_empty());
    assert!(fixture.status_of("i-1").connected);
    assert_eq!(number_and_base(fixture.subscribe(2, 0)), (1, None));
    fixture.in_force(2, 1);
    assert_eq!(number_and_base(fixture.accept(2)), (2, Some(1)));
    assert_eq!(fixture.distributor.status(fixture.now).len(), 1);
}

#[test]
fn the_end_of_a_connection_without_status_does_not_affect_a_later_one_of_the_same_name() {
    let mut fixture = Fixture::new();
    for connection in 0..MAX_INITIATORS {
        fixture.connect(connection, &format!("i-{connection}"));
    }
    fixture.connect(MAX_INITIATORS, "i-x");
    assert_eq!(fixture.distributor.status(fixture.now).len(), MAX_INITIATORS);
    fixture.handle(Event::Disconnected(ConnectionId(0)));
    fixture.connect(MAX_INITIATORS + 1, "i-x");
    fixture.handle(Event::Disconnected(ConnectionId(MAX_INITIATORS)));
    assert!(fixture.status_of("i-x").connected);
}

#[test]
fn a_disconnected_initiator_stays_in_the_status_for_a_day() {
    let mut fixture = Fixture::new();
    fixture.connect(1, "i-2");
    fixture.connect(2, "i-1");
    fixture.in_force(1, 0);
    fixture.now += millis(500);
    fixture.handle(Event::Disconnected(ConnectionId(1)));
    fixture.now += millis(1500);
    let status = fixture.distributor.status(fixture.now);
    let names: Vec<&str> = status.iter().map(|one| one.initiator.as_str()).collect();
    assert_eq!(names, ["i-1", "i-2"]);
    assert_eq!((status[0].connected, status[0].silent_ms), (true, 0));
    assert_eq!((status[1].connected, status[1].silent_ms), (false, 1500));
    fixture.now += INITIATOR_RETENTION - millis(1501);
    assert_eq!(fixture.distributor.status(fixture.now).len(), 2);
    fixture.now += millis(1);
    assert_eq!(fixture.distributor.status(fixture.now).len(), 1);
}

#[test]
fn the_kept_state_is_bounded() {
    let mut fixture = Fixture::new();
    fixture.connect(0, &"x".repeat(MAX_INITIATOR_NAME_BYTES + 1));
    assert!(fixture.distributor.status(fixture.now).is_empty());
    fixture.connect(0, &"x".repeat(MAX_INITIATOR_NAME_BYTES));
    assert_eq!(fixture.distributor.status(fixture.now).len(), 1);
    for connection in 1..MAX_INITIATORS + 10 {
        fixture.connect(connection, &format!("i-{connection}"));
        fixture.now += millis(1);
        fixture.handle(Event::Disconnected(ConnectionId(connection)));
    }
    let status = fixture.distributor.status(fixture.now);
    assert_eq!(status.len(), MAX_INITIATORS);
    assert!(status.iter().any(|one| one.connected), "a connected initiator is kept");
    assert!(status.iter().all(|one| one.initiator != "i-1"), "the one disconnected longest is dropped");
    fixture.handle(Event::Acknowledged {
        connection: ConnectionId(0),
        acknowledgement: Acknowledgement {
            id: id(1),
            outcome: AcknowledgementOutcome::Refused("ü".repeat(MAX_REASON_BYTES)),
        },
    });
    let kept = fixture.status_of(&"x".repeat(MAX_INITIATOR_NAME_BYTES)).refused.unwrap().1;
    assert!((MAX_REASON_BYTES - 1..=MAX_REASON_BYTES).contains(&kept.len()));
    for number in 1..100 {
        fixture.accept(number);
    }
    assert_eq!(fixture.distributor.recent.len(), DELTA_BASE_REVISIONS);
}

/// The number of initiators in the random schedules.
const COUNT: usize = 100;

/// A model of one initiator with its own connection.
struct Model {
    connection: usize,
    connected: bool,
    subscribed: bool,
    current: u64,
    refused: Option<u64>,
    /// The update in flight to it, and when that was sent.
    in_flight: Option<(Update, Duration)>,
    /// Whether that update is lost.
    is_lost: bool,
}

struct Schedule {
    fixture: Fixture,
    models: Vec<Model>,
    newest: u64,
    next_connection: usize,
}

impl Schedule {
    fn new() -> Self {
        let model = |connection| Model {
            connection,
            connected: false,
            subscribed: false,
            current: 0,
            refused: None,
            in_flight: None,
            is_lost: false,
        };
        let models = (0..COUNT).map(model).collect();
        let mut schedule = Schedule { fixture: Fixture::new(), models, newest: 0, next_connection: COUNT };
        for index in 0..COUNT {
            schedule.connect(index);
            schedule.subscribe(index);
        }
        schedule
    }

    /// Passes an event to the distributor, and checks the updates that it sends.
    fn handle(&mut self, event: Event) {
        for (connection, update) in self.fixture.handle(event) {
            let model = self.models.iter_mut().find(|model| model.connection == connection.0).unwrap();
            assert!(model.connected && model.subscribed, "only subscribers are sent updates");
            assert!(model.current < self.newest, "an initiator with the newest revision is sent nothing");
            assert_ne!(model.refused, Some(self.newest), "a refused revision is not sent again");
            assert_eq!(update.id, id(self.newest));
            (model.in_flight, model.is_lost) = (Some((update, self.fixture.now)), false);
        }
        let now = self.fixture.now;
        let in_flight = self.models.iter().filter_map(|model| model.in_flight.as_ref());
        let in_flight_count = in_flight.filter(|(_, since)| *since + ACKNOWLEDGEMENT_TIMEOUT > now).count();
        assert!(in_flight_count <= MAX_UNACKNOWLEDGED, "{in_flight_count} updates are in flight");
    }

    fn connect(&mut self, index: usize) {
        self.next_connection += 1;
        let model = &mut self.models[index];
        (model.connection, model.connected, model.subscribed) = (self.next_connection, true, false);
        (model.refused, model.in_flight) = (None, None);
        let connection = ConnectionId(model.connection);
        self.handle(Event::Connected { connection, initiator: format!("i-{index}") });
        self.acknowledge_in_force(index);
    }

    fn disconnect(&mut self, index: usize) {
        let model = &mut self.models[index];
        (model.connected, model.subscribed, model.in_flight) = (false, false, None);
        let connection = ConnectionId(model.connection);
        self.handle(Event::Disconnected(connection));
    }

    fn subscribe(&mut self, index: usize) {
        let model = &mut self.models[index];
        if model.connected && !model.subscribed {
            (model.subscribed, model.in_flight) = (true, None);
            let (connection, current) = (ConnectionId(model.connection), id(model.current));
            self.handle(Event::Subscribed { connection, current });
        }
    }

    fn unsubscribe(&mut self, index: usize) {
        let model = &mut self.models[index];
        (model.subscribed, model.in_flight) = (false, None);
        let connection = ConnectionId(model.connection);
        self.handle(Event::Unsubscribed(connection));
    }

    fn accept(&mut self) {
        self.newest += 1;
        self.handle(Event::Accepted(revision(self.newest)));
    }

    fn acknowledge_in_force(&mut self, index: usize) {
        let model = &self.models[index];
        let acknowledgement =
            Acknowledgement { id: id(model.current), outcome: AcknowledgementOutcome::InForce };
        self.handle(Event::Acknowledged { connection: ConnectionId(model.connection), acknowledgement });
    }

    /// Delivers the update in flight, and answers it as a follower does.
    fn deliver(&mut self, index: usize, refuses: bool) {
        let model = &mut self.models[index];
        let Some((update, _)) = model.in_flight.take_if(|_| !model.is_lost) else { return };
        if refuses {
            model.refused = Some(update.id.number.0);
            let outcome = AcknowledgementOutcome::Refused("no".into());
            let acknowledgement = Acknowledgement { id: update.id, outcome };
            let connection = ConnectionId(model.connection);
            return self.handle(Event::Acknowledged { connection, acknowledgement });
        }
        let document = match update.content {
            UpdateContent::Full(document) => Some(document),
            UpdateContent::Changes { base, delta } => {
                (base == id(model.current)).then(|| delta.apply(&revision(model.current).document))
            }
        };
        if let Some(document) = document {
            assert_eq!(document.hash(), update.id.hash);
            model.current = model.current.max(update.id.number.0);
        }
        self.acknowledge_in_force(index);
    }

    fn step(&mut self, operation: u8, index: usize, wait: u64) {
        self.fixture.now += millis(wait);
        match operation {
            0 => self.disconnect(index),
            1..=3 => self.connect(index),
            4..=8 => self.subscribe(index),
            9 => self.unsubscribe(index),
            10 => self.accept(),
            11 => self.deliver(index, true),
            12 => self.models[index].is_lost = true,
            // It has applied a revision that another planner sent.
            13 if self.models[index].connected && self.models[index].current + 1 < self.newest => {
                let model = &mut self.models[index];
                model.current = self.newest - 1;
                // The same acknowledgement also answers an update to that revision from this planner.
                model.in_flight.take_if(|(update, _)| update.id == id(model.current));
                self.acknowledge_in_force(index);
            }
            14..=17 => self.handle(Event::Tick),
            _ => (0..COUNT).step_by(3).for_each(|step| self.deliver((index + step) % COUNT, false)),
        }
    }

    /// Delivers updates without further faults until no timer is due.
    fn settle(&mut self) {
        for _ in 0..10_000 {
            (0..COUNT).for_each(|index| self.deliver(index, false));
            let Some(due) = self.fixture.distributor.next_timer() else { return };
            self.fixture.now = self.fixture.now.max(due);
            self.handle(Event::Tick);
        }
        panic!("updates are still due after 10,000 rounds");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn every_subscriber_that_does_not_refuse_ends_with_the_newest_revision(
        steps in prop::collection::vec((0_u8..24, 0..COUNT, 0_u64..12), 1..120)
    ) {
        let mut schedule = Schedule::new();
        steps.into_iter().for_each(|(operation, index, wait)| schedule.step(operation, index, wait));
        schedule.settle();
        let newest = schedule.newest;
        for model in schedule.models.iter().filter(|model| model.subscribed) {
            if model.refused != Some(newest) {
                prop_assert_eq!(model.current, newest);
            }
        }
        // Nothing more is sent, however much time passes.
        schedule.fixture.now += Duration::from_secs(3600);
        prop_assert!(schedule.fixture.handle(Event::Tick).is_empty());
        prop_assert_eq!(schedule.fixture.distributor.next_timer(), None);
        for status in schedule.fixture.distributor.status(schedule.fixture.now) {
            let model = &schedule.models[status.initiator[2..].parse::<usize>().unwrap()];
            prop_assert_eq!(status.connected, model.connected);
            prop_assert_eq!(status.in_force, id(model.current));
        }
    }
}
