use super::*;
use crate::revisions::document::{Document, PlanOverrides};
use proptest::prelude::*;
use std::collections::BTreeSet;

const START: Duration = Duration::from_secs(1000);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A document of some size, of which each number changes one figure.
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

struct Bed {
    distributor: Distributor,
    now: Duration,
}

impl Bed {
    fn new() -> Self {
        Bed { distributor: Distributor::default(), now: START }
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

    fn subscribe(&mut self, connection: usize, holds: u64) -> Vec<(ConnectionId, Update)> {
        self.handle(Event::Subscribed { connection: ConnectionId(connection), holds: id(holds) })
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
fn only(sent: Vec<(ConnectionId, Update)>) -> (u64, Option<u64>) {
    assert_eq!(sent.len(), 1, "{sent:?}");
    (sent[0].1.id.number.0, base_of(&sent[0].1))
}

#[test]
fn a_subscriber_gets_the_whole_at_first_and_then_what_changed() {
    let mut bed = Bed::new();
    bed.connect(1, "i-1");
    assert!(bed.subscribe(1, 0).is_empty(), "there is no revision yet");
    assert_eq!(only(bed.accept(1)), (1, None));
    assert!(bed.in_force(1, 1).is_empty());
    assert_eq!(only(bed.accept(2)), (2, Some(1)));
    assert!(bed.in_force(1, 2).is_empty());
    assert_eq!(bed.distributor.next_timer(), None, "nothing is due while nothing changes");
}

#[test]
fn only_who_subscribed_is_sent_anything() {
    let mut bed = Bed::new();
    bed.connect(1, "i-1");
    assert!(bed.in_force(1, 0).is_empty());
    assert!(bed.accept(1).is_empty());
    assert_eq!(only(bed.subscribe(1, 0)), (1, None));
    assert!(bed.handle(Event::Unsubscribed(ConnectionId(1))).is_empty());
    assert!(bed.accept(2).is_empty());
    assert_eq!(bed.distributor.next_timer(), None);
    assert!(bed.handle(Event::Subscribed { connection: ConnectionId(9), holds: id(0) }).is_empty());
}

#[test]
fn one_that_missed_a_few_gets_changes_and_one_that_missed_many_the_whole() {
    let mut bed = Bed::new();
    for number in 1..=DELTA_BASE_REVISIONS as u64 + 1 {
        bed.accept(number);
    }
    let newest = DELTA_BASE_REVISIONS as u64 + 1;
    bed.connect(1, "i-1");
    assert_eq!(only(bed.subscribe(1, 2)), (newest, Some(2)));
    bed.connect(2, "i-2");
    assert_eq!(only(bed.subscribe(2, 1)), (newest, None));
    // Of the right number, with a content that was never accepted.
    bed.connect(3, "i-3");
    let foreign = RevisionId { number: RevisionNumber(newest - 1), hash: id(1).hash };
    let sent = bed.handle(Event::Subscribed { connection: ConnectionId(3), holds: foreign });
    assert_eq!(only(sent), (newest, None));
}

#[test]
fn changes_that_are_longer_than_the_whole_are_not_sent() {
    let mut bed = Bed::new();
    bed.connect(1, "i-1");
    bed.accept(1);
    bed.subscribe(1, 1);
    let document = Document::default();
    let id = RevisionId { number: RevisionNumber(2), hash: document.hash() };
    let emptied = Revision { id, document, ..revision(2) };
    assert_eq!(only(bed.handle(Event::Accepted(emptied))), (2, None));
}

#[test]
fn who_holds_the_newest_or_a_later_one_is_sent_nothing() {
    let mut bed = Bed::new();
    bed.accept(3);
    bed.connect(1, "i-1");
    assert!(bed.subscribe(1, 3).is_empty());
    bed.connect(2, "i-2");
    assert!(bed.subscribe(2, 4).is_empty(), "this planner is behind");
    assert!(bed.accept(3).is_empty());
    assert!(bed.accept(2).is_empty(), "an older one replaces nothing");
    assert_eq!(bed.distributor.next_timer(), None);
}

#[test]
fn a_gap_is_answered_with_the_whole() {
    let mut bed = Bed::new();
    bed.connect(1, "i-1");
    bed.accept(1);
    bed.subscribe(1, 1);
    assert_eq!(only(bed.accept(2)), (2, Some(1)));
    // It can't use the changes.
    assert_eq!(only(bed.in_force(1, 1)), (2, None));
    assert!(bed.in_force(1, 2).is_empty());
}

#[test]
fn what_came_of_another_planners_update_answers_nothing_here() {
    let mut bed = Bed::new();
    bed.connect(1, "i-1");
    bed.accept(1);
    bed.subscribe(1, 1);
    bed.accept(2);
    assert_eq!(only(bed.accept(3).into_iter().chain(bed.in_force(1, 2)).collect()), (3, Some(2)));
    assert!(bed.refuse(1, 2).is_empty());
    let due = bed.distributor.next_timer();
    assert_eq!(due, Some(START + ACKNOWLEDGEMENT_TIMEOUT), "the third is still out");
    bed.accept(4);
    assert!(bed.in_force(1, 4).is_empty(), "it came by another planner");
    assert_eq!(bed.distributor.next_timer(), due);
    assert!(bed.in_force(1, 4).is_empty());
}

#[test]
fn a_newer_revision_replaces_one_that_waits_and_follows_one_that_is_out() {
    let mut bed = Bed::new();
    bed.connect(1, "i-1");
    bed.subscribe(1, 0);
    assert_eq!(only(bed.accept(1)), (1, None));
    assert!(bed.accept(2).is_empty(), "the first is not acknowledged yet");
    assert!(bed.accept(3).is_empty());
    assert_eq!(only(bed.in_force(1, 1)), (3, Some(1)), "the second is left out");
}

#[test]
fn what_was_refused_is_not_sent_again_on_the_connection_but_the_next_is() {
    let mut bed = Bed::new();
    bed.connect(1, "i-1");
    bed.accept(1);
    bed.subscribe(1, 1);
    bed.accept(2);
    assert!(bed.refuse(1, 2).is_empty());
    assert!(bed.tick_at(START + ACKNOWLEDGEMENT_TIMEOUT * 2).is_empty());
    assert!(bed.subscribe(1, 1).is_empty());
    let status = bed.status_of("i-1");
    assert_eq!((status.in_force, status.refused), (id(1), Some((id(2), "no such plan".into()))));
    assert_eq!(only(bed.accept(3)), (3, Some(1)));
    assert!(bed.in_force(1, 3).is_empty());
    assert_eq!(bed.status_of("i-1").refused, None);
    bed.accept(4);
    bed.refuse(1, 4);
    bed.handle(Event::Disconnected(ConnectionId(1)));
    bed.connect(2, "i-1");
    assert_eq!(only(bed.subscribe(2, 3)), (4, Some(3)), "another connection may be another process");
}

#[test]
fn an_update_without_an_answer_is_sent_again_as_a_whole_and_not_for_ever() {
    let mut bed = Bed::new();
    bed.connect(1, "i-1");
    bed.accept(1);
    bed.subscribe(1, 1);
    assert_eq!(only(bed.accept(2)), (2, Some(1)));
    for _ in 1..MAX_SENDS {
        let due = bed.distributor.next_timer().unwrap();
        assert_eq!(due, bed.now + ACKNOWLEDGEMENT_TIMEOUT);
        assert!(bed.tick_at(due - millis(1)).is_empty());
        assert_eq!(only(bed.tick_at(due)), (2, None));
    }
    let due = bed.distributor.next_timer().unwrap();
    assert!(bed.tick_at(due).is_empty());
    assert_eq!(bed.distributor.next_timer(), None, "it is left alone");
    assert_eq!(bed.status_of("i-1").in_force, id(1));
    assert_eq!(only(bed.accept(3)), (3, None), "until the next revision");
    let due = (1..MAX_SENDS).fold(bed.now, |now, _| {
        bed.tick_at(now + ACKNOWLEDGEMENT_TIMEOUT);
        bed.now
    });
    assert!(bed.tick_at(due + ACKNOWLEDGEMENT_TIMEOUT).is_empty());
    assert_eq!(only(bed.subscribe(1, 1)), (3, Some(1)), "or until it subscribes again");
    bed.in_force(1, 3);
    assert_eq!(only(bed.accept(4)), (4, Some(3)), "and then all is as ever");
}

#[test]
fn many_that_come_back_at_once_are_served_one_after_the_other() {
    let mut bed = Bed::new();
    bed.accept(1);
    let count = 460;
    let mut sent = Vec::new();
    for connection in 0..count {
        bed.connect(connection, &format!("i-{connection}"));
        sent.extend(bed.subscribe(connection, 0));
    }
    assert_eq!(sent.len(), MAX_UPDATES_PER_INTERVAL);
    // Nobody answers: no more than the bound is out.
    for _ in 0..20 {
        let now = bed.now + SEND_INTERVAL;
        let more = bed.tick_at(now);
        assert!(more.len() <= MAX_UPDATES_PER_INTERVAL);
        sent.extend(more);
    }
    assert_eq!(sent.len(), MAX_UNACKNOWLEDGED);
    // All answer at once: the rest follows, so many in a time.
    let (mut served, mut begin) = (BTreeSet::new(), 0);
    let since = bed.now;
    while served.len() < count {
        let come: Vec<usize> = sent[begin..].iter().map(|(connection, _)| connection.0).collect();
        begin = sent.len();
        for connection in come {
            served.insert(connection);
            sent.extend(bed.in_force(connection, 1));
        }
        if served.len() < count && sent.len() == begin {
            let due = bed.distributor.next_timer().unwrap();
            sent.extend(bed.tick_at(due));
        }
    }
    assert_eq!(sent.len(), count, "each once");
    let needed = SEND_INTERVAL * ((count - MAX_UNACKNOWLEDGED) / MAX_UPDATES_PER_INTERVAL) as u32;
    assert!((needed..=needed + SEND_INTERVAL * 2).contains(&(bed.now - since)), "{:?}", bed.now - since);
    assert_eq!(bed.distributor.next_timer(), None);
}

#[test]
fn of_two_connections_of_one_name_the_later_counts() {
    let mut bed = Bed::new();
    bed.connect(1, "i-1");
    bed.accept(1);
    bed.subscribe(1, 0);
    bed.connect(2, "i-1");
    assert!(bed.in_force(1, 1).is_empty());
    assert_eq!(bed.status_of("i-1").in_force, id(0), "the earlier is not heard any more");
    assert!(bed.handle(Event::Disconnected(ConnectionId(1))).is_empty());
    assert!(bed.status_of("i-1").connected);
    assert_eq!(only(bed.subscribe(2, 0)), (1, None));
    bed.in_force(2, 1);
    assert_eq!(only(bed.accept(2)), (2, Some(1)));
    assert_eq!(bed.distributor.status(bed.now).len(), 1);
}

#[test]
fn the_end_of_a_connection_that_was_not_remembered_says_nothing_of_a_later_one() {
    let mut bed = Bed::new();
    for connection in 0..MAX_INITIATORS {
        bed.connect(connection, &format!("i-{connection}"));
    }
    bed.connect(MAX_INITIATORS, "i-x");
    assert_eq!(bed.distributor.status(bed.now).len(), MAX_INITIATORS);
    bed.handle(Event::Disconnected(ConnectionId(0)));
    bed.connect(MAX_INITIATORS + 1, "i-x");
    bed.handle(Event::Disconnected(ConnectionId(MAX_INITIATORS)));
    assert!(bed.status_of("i-x").connected);
}

#[test]
fn who_is_silent_is_told_for_a_day() {
    let mut bed = Bed::new();
    bed.connect(1, "i-2");
    bed.connect(2, "i-1");
    bed.in_force(1, 0);
    bed.now += millis(500);
    bed.handle(Event::Disconnected(ConnectionId(1)));
    bed.now += millis(1500);
    let status = bed.distributor.status(bed.now);
    let names: Vec<&str> = status.iter().map(|one| one.initiator.as_str()).collect();
    assert_eq!(names, ["i-1", "i-2"]);
    assert_eq!((status[0].connected, status[0].silent_ms), (true, 0));
    assert_eq!((status[1].connected, status[1].silent_ms), (false, 1500));
    bed.now += INITIATOR_RETENTION - millis(1501);
    assert_eq!(bed.distributor.status(bed.now).len(), 2);
    bed.now += millis(1);
    assert_eq!(bed.distributor.status(bed.now).len(), 1);
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut bed = Bed::new();
    bed.connect(0, &"x".repeat(MAX_INITIATOR_NAME_BYTES + 1));
    assert!(bed.distributor.status(bed.now).is_empty());
    bed.connect(0, &"x".repeat(MAX_INITIATOR_NAME_BYTES));
    assert_eq!(bed.distributor.status(bed.now).len(), 1);
    for connection in 1..MAX_INITIATORS + 10 {
        bed.connect(connection, &format!("i-{connection}"));
        bed.now += millis(1);
        bed.handle(Event::Disconnected(ConnectionId(connection)));
    }
    let status = bed.distributor.status(bed.now);
    assert_eq!(status.len(), MAX_INITIATORS);
    assert!(status.iter().any(|one| one.connected), "who is connected is not forgotten");
    assert!(status.iter().all(|one| one.initiator != "i-1"), "the longest gone is");
    bed.handle(Event::Acknowledged {
        connection: ConnectionId(0),
        acknowledgement: Acknowledgement {
            id: id(1),
            outcome: AcknowledgementOutcome::Refused("ü".repeat(MAX_REASON_BYTES)),
        },
    });
    let kept = bed.status_of(&"x".repeat(MAX_INITIATOR_NAME_BYTES)).refused.unwrap().1;
    assert!((MAX_REASON_BYTES - 1..=MAX_REASON_BYTES).contains(&kept.len()));
    for number in 1..100 {
        bed.accept(number);
    }
    assert_eq!(bed.distributor.known.len(), DELTA_BASE_REVISIONS);
}

/// Initiators of the drawn schedules.
const COUNT: usize = 100;

/// A model of one initiator, on a connection of its own.
struct Model {
    connection: usize,
    connected: bool,
    subscribed: bool,
    holds: u64,
    refused: Option<u64>,
    /// The update that is on its way to it, and when it was sent.
    coming: Option<(Update, Duration)>,
    /// That update will not arrive.
    is_lost: bool,
}

struct Schedule {
    bed: Bed,
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
            holds: 0,
            refused: None,
            coming: None,
            is_lost: false,
        };
        let models = (0..COUNT).map(model).collect();
        let mut schedule = Schedule { bed: Bed::new(), models, newest: 0, next_connection: COUNT };
        for at in 0..COUNT {
            schedule.connect(at);
            schedule.subscribe(at);
        }
        schedule
    }

    /// Hands over an event, and checks what is sent for it.
    fn handle(&mut self, event: Event) {
        for (connection, update) in self.bed.handle(event) {
            let model = self.models.iter_mut().find(|model| model.connection == connection.0).unwrap();
            assert!(model.connected && model.subscribed, "nobody else is sent anything");
            assert!(model.holds < self.newest, "nothing is sent to who holds the newest");
            assert_ne!(model.refused, Some(self.newest), "nothing that was refused is sent again");
            assert_eq!(update.id, id(self.newest));
            (model.coming, model.is_lost) = (Some((update, self.bed.now)), false);
        }
        let now = self.bed.now;
        let coming = self.models.iter().filter_map(|model| model.coming.as_ref());
        let out = coming.filter(|(_, since)| *since + ACKNOWLEDGEMENT_TIMEOUT > now).count();
        assert!(out <= MAX_UNACKNOWLEDGED, "{out} updates are out");
    }

    fn connect(&mut self, at: usize) {
        self.next_connection += 1;
        let model = &mut self.models[at];
        (model.connection, model.connected, model.subscribed) = (self.next_connection, true, false);
        (model.refused, model.coming) = (None, None);
        let connection = ConnectionId(model.connection);
        self.handle(Event::Connected { connection, initiator: format!("i-{at}") });
        self.say_in_force(at);
    }

    fn disconnect(&mut self, at: usize) {
        let model = &mut self.models[at];
        (model.connected, model.subscribed, model.coming) = (false, false, None);
        let connection = ConnectionId(model.connection);
        self.handle(Event::Disconnected(connection));
    }

    fn subscribe(&mut self, at: usize) {
        let model = &mut self.models[at];
        if model.connected && !model.subscribed {
            (model.subscribed, model.coming) = (true, None);
            let (connection, holds) = (ConnectionId(model.connection), id(model.holds));
            self.handle(Event::Subscribed { connection, holds });
        }
    }

    fn unsubscribe(&mut self, at: usize) {
        let model = &mut self.models[at];
        (model.subscribed, model.coming) = (false, None);
        let connection = ConnectionId(model.connection);
        self.handle(Event::Unsubscribed(connection));
    }

    fn accept(&mut self) {
        self.newest += 1;
        self.handle(Event::Accepted(revision(self.newest)));
    }

    fn say_in_force(&mut self, at: usize) {
        let model = &self.models[at];
        let acknowledgement =
            Acknowledgement { id: id(model.holds), outcome: AcknowledgementOutcome::InForce };
        self.handle(Event::Acknowledged { connection: ConnectionId(model.connection), acknowledgement });
    }

    /// The update arrives, and is answered as a follower answers it.
    fn deliver(&mut self, at: usize, refuses: bool) {
        let model = &mut self.models[at];
        let Some((update, _)) = model.coming.take_if(|_| !model.is_lost) else { return };
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
                (base == id(model.holds)).then(|| delta.apply(&revision(model.holds).document))
            }
        };
        if let Some(document) = document {
            assert_eq!(document.hash(), update.id.hash);
            model.holds = model.holds.max(update.id.number.0);
        }
        self.say_in_force(at);
    }

    fn step(&mut self, kind: u8, at: usize, wait: u64) {
        self.bed.now += millis(wait);
        match kind {
            0 => self.disconnect(at),
            1..=3 => self.connect(at),
            4..=8 => self.subscribe(at),
            9 => self.unsubscribe(at),
            10 => self.accept(),
            11 => self.deliver(at, true),
            12 => self.models[at].is_lost = true,
            // It has taken a revision over that another planner sent.
            13 if self.models[at].connected && self.models[at].holds + 1 < self.newest => {
                let model = &mut self.models[at];
                model.holds = self.newest - 1;
                // Where the same revision is on its way from here too, this is what its answer would be.
                model.coming.take_if(|(update, _)| update.id == id(model.holds));
                self.say_in_force(at);
            }
            14..=17 => self.handle(Event::Tick),
            _ => (0..COUNT).step_by(3).for_each(|step| self.deliver((at + step) % COUNT, false)),
        }
    }

    /// Nothing fails from now on.
    fn settle(&mut self) {
        for _ in 0..10_000 {
            (0..COUNT).for_each(|at| self.deliver(at, false));
            let Some(due) = self.bed.distributor.next_timer() else { return };
            self.bed.now = self.bed.now.max(due);
            self.handle(Event::Tick);
        }
        panic!("it does not come to rest");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn whoever_stays_and_answers_ends_with_the_newest(
        steps in prop::collection::vec((0_u8..24, 0..COUNT, 0_u64..12), 1..120)
    ) {
        let mut schedule = Schedule::new();
        steps.into_iter().for_each(|(kind, at, wait)| schedule.step(kind, at, wait));
        schedule.settle();
        let newest = schedule.newest;
        for model in schedule.models.iter().filter(|model| model.subscribed) {
            if model.refused != Some(newest) {
                prop_assert_eq!(model.holds, newest);
            }
        }
        // All is at rest: nothing more is sent, whatever time passes.
        schedule.bed.now += Duration::from_secs(3600);
        prop_assert!(schedule.bed.handle(Event::Tick).is_empty());
        prop_assert_eq!(schedule.bed.distributor.next_timer(), None);
        for status in schedule.bed.distributor.status(schedule.bed.now) {
            let model = &schedule.models[status.initiator[2..].parse::<usize>().unwrap()];
            prop_assert_eq!(status.connected, model.connected);
            prop_assert_eq!(status.in_force, id(model.holds));
        }
    }
}
