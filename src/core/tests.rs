use super::*;

const AGAIN: Duration = Duration::from_millis(500);

struct Bench {
    core: Core,
    clock: Clock,
    now: Instant,
}

impl Bench {
    fn new() -> Self {
        let clock = Clock::start();
        Bench { core: Core::new(clock, AGAIN), clock, now: Instant::now() }
    }

    /// Takes a request with a second to its deadline.
    fn take(&mut self, place: u64) -> RequestId {
        self.take_named(place, &place.to_string()).unwrap()
    }

    fn take_named(&mut self, place: u64, name: &str) -> Option<RequestId> {
        let deadline = self.clock.unix(self.now) + Duration::from_secs(1);
        let content = Content {
            operation: Operation::Write,
            object: String::new(),
            id: name.to_string(),
            attributes: String::new(),
            body: vec![0; 10],
            flow: None,
            extent: None,
        };
        self.core.take(Origin { conn: 1, place }, NewRequest { deadline, ..NewRequest::default() }, content)
    }

    fn order(&mut self, action: Action) -> Vec<Effect> {
        self.core.carry_out(self.now, vec![action]);
        self.core.drain_effects()
    }

    fn send(&mut self, id: RequestId) -> Vec<Effect> {
        let give_up_at = self.clock.unix(self.now) + Duration::from_millis(500);
        self.order(Action::Send { id, node: NodeId(3), give_up_at, begin_by: give_up_at })
    }

    fn end(&mut self, request: RequestId, number: u32, outcome: Outcome) -> Vec<Effect> {
        let ended = Ended { value: b"v".to_vec(), ..Ended::bare(outcome) };
        self.core.attempt_ended(self.now, AttemptId { request, number }, ended);
        self.core.drain_effects()
    }

    fn pass(&mut self, millis: u64) -> Vec<Effect> {
        self.now += Duration::from_millis(millis);
        self.core.fire(self.now);
        self.core.drain_effects()
    }

    fn answers(effects: &[Effect]) -> Vec<Answer> {
        let answer = |effect: &Effect| match effect {
            Effect::Answer { answer, .. } => Some(answer.clone()),
            _ => None,
        };
        effects.iter().filter_map(answer).collect()
    }
}

#[test]
fn the_first_value_is_the_one_final_answer() {
    let mut bench = Bench::new();
    let id = bench.take(0);
    bench.send(id);
    bench.send(id);
    assert_eq!(Bench::answers(&bench.end(id, 0, Outcome::Served)), [Answer::Served(b"v".to_vec())]);
    assert_eq!(bench.end(id, 0, Outcome::Served), []);
    assert_eq!(bench.core.open_requests(), 1, "an attempt is out");
    assert_eq!(bench.end(id, 1, Outcome::Served), []);
    assert_eq!((bench.core.open_requests(), bench.core.held_bytes()), (0, 0));
    assert_eq!(bench.order(Action::Fail { id }), []);
    let finished = |event: &Event| matches!(event, Event::AttemptEnded(end) if end.finished);
    assert_eq!(bench.core.drain_events().iter().filter(|event| finished(event)).count(), 2);
    assert_eq!((bench.core.counters.served, bench.core.counters.attempts_served), (1, 2));
}

#[test]
fn an_attempt_is_given_up_in_time_and_its_end_is_told_once() {
    let mut bench = Bench::new();
    let id = bench.take(0);
    bench.send(id);
    assert_eq!(bench.pass(499), []);
    let attempt = AttemptId { request: id, number: 0 };
    assert_eq!(bench.pass(2), [Effect::Stop { attempt, outcome: Outcome::TimedOut }]);
    assert_eq!(bench.end(id, 0, Outcome::TimedOut), [], "the planner decides what comes of it");
    assert_eq!(Bench::answers(&bench.order(Action::Fail { id })), [Answer::Failed]);
    assert_eq!(bench.core.open_requests(), 0);
}

#[test]
fn without_a_decision_by_the_deadline_the_core_answers_what_is_true() {
    let mut bench = Bench::new();
    let (held, full, out, ran) = (bench.take(0), bench.take(1), bench.take(2), bench.take(3));
    [full, out, ran].into_iter().for_each(|id| drop(bench.send(id)));
    bench.end(full, 0, Outcome::Rejected);
    bench.end(ran, 0, Outcome::Reset);
    bench.pass(600);
    let effects = bench.pass(500);
    let refused = Answer::Refused { retry_after: AGAIN };
    assert_eq!(Bench::answers(&effects), [refused.clone(), refused, Answer::Failed, Answer::Failed]);
    let gone = [held, full, out, ran].map(|id| Event::ClientGone { id });
    assert_eq!(bench.core.drain_events()[6..], gone);
    assert_eq!(bench.core.counters.answered_overdue, 4);
}

#[test]
fn what_an_answer_has_waited_here_is_not_its_nodes_time() {
    let latency = |late: u64| {
        let mut bench = Bench::new();
        let id = bench.take(0);
        bench.send(id);
        bench.pass(80);
        bench.core.is_late_by(Duration::from_millis(late));
        bench.end(id, 0, Outcome::Served);
        let end = bench.core.drain_events().into_iter().find_map(|event| match event {
            Event::AttemptEnded(end) => Some(end.latency),
            _ => None,
        });
        end.unwrap().as_millis()
    };
    assert_eq!([0, 70, 500].map(latency), [80, 10, 1]);
}

#[test]
fn timers_go_with_what_they_belong_to() {
    let mut bench = Bench::new();
    for place in 0..100 {
        let id = bench.take(place);
        bench.send(id);
        bench.end(id, 0, Outcome::Served);
    }
    let left = bench.core.next_timer();
    assert_eq!(left, None, "nothing is open");
    bench.take(200);
    assert!(bench.core.next_timer().is_some());
}

#[test]
fn a_client_that_has_gone_gets_no_answer_and_its_attempt_is_stopped_on_order() {
    let mut bench = Bench::new();
    let id = bench.take(0);
    bench.send(id);
    bench.core.client_gone(id);
    let attempt = AttemptId { request: id, number: 0 };
    let stop = Effect::Stop { attempt, outcome: Outcome::Cancelled };
    // Where nothing may be withdrawn, what has not begun still does not begin.
    assert_eq!(bench.core.drain_effects(), [Effect::Withdraw { attempt }]);
    assert_eq!(bench.order(Action::Cancel { id, attempt: 0 }), [stop]);
    assert_eq!(bench.end(id, 0, Outcome::Cancelled), []);
    assert_eq!((bench.core.open_requests(), bench.pass(2000).len()), (0, 0));
}

#[test]
fn an_id_that_is_open_is_not_taken_again_until_the_request_is_over() {
    let mut bench = Bench::new();
    let id = bench.take_named(0, "a").unwrap();
    bench.send(id);
    assert_eq!(bench.take_named(1, "a"), None);
    assert_eq!(bench.core.open_requests(), 1);
    assert_eq!(Bench::answers(&bench.end(id, 0, Outcome::Served)).len(), 1, "the first is untouched");
    assert!(bench.take_named(1, "a").is_some());
}

/// A loop that is late beyond the deadline answers in the planner's place. Beside load it told clients of reads that had an
/// attempt out "ERR failed", where the planner refuses them and they come again ("BUSY 500", net tests of silent nodes: 1 of 6
/// suites).
#[test]
fn what_may_run_again_is_refused_in_the_planner_s_place_too() {
    use interface::{Class, DedupScope};
    let class = |effect| Class {
        effect,
        latency_target: AGAIN,
        deadline: AGAIN,
        worth: 1.0,
        late_worth: 0.0,
        dedup_window: AGAIN,
        in_order: false,
    };
    let effects = [
        interface::Effect::Safe,
        interface::Effect::Keyed(DedupScope::All),
        interface::Effect::Keyed(DedupScope::Zone),
        interface::Effect::Unsafe,
    ];
    for (effect, refused) in effects.into_iter().zip([true, true, false, false]) {
        let mut bench = Bench::new();
        bench.core.set_classes(&[class(effect)]);
        let out = bench.take(0);
        bench.send(out);
        let answer = if refused { Answer::Refused { retry_after: AGAIN } } else { Answer::Failed };
        assert_eq!(Bench::answers(&bench.pass(1100)), [answer], "{effect:?}");
    }
}

#[test]
fn an_order_for_a_request_that_is_over_ends_as_moot() {
    let mut bench = Bench::new();
    let id = bench.take(0);
    bench.order(Action::Refuse { id, retry_after: Duration::ZERO });
    assert_eq!(bench.send(id), []);
    let moot = |event: &Event| matches!(event, Event::AttemptEnded(end) if end.outcome == Outcome::NotSent);
    assert!(bench.core.drain_events().last().is_some_and(moot));
}

#[test]
fn the_end_of_the_process_ends_all_that_is_open_once() {
    let mut bench = Bench::new();
    let (held, out) = (bench.take(0), bench.take(1));
    bench.send(out);
    bench.core.end_all();
    let effects = bench.core.drain_effects();
    let refused = Answer::Refused { retry_after: AGAIN };
    assert_eq!(Bench::answers(&effects), [refused, Answer::Failed]);
    bench.core.end_all();
    assert_eq!(Bench::answers(&bench.core.drain_effects()), []);
    assert_eq!(bench.end(out, 0, Outcome::Cancelled), []);
    assert!(bench.core.drain_events().iter().all(|event| !matches!(event, Event::Request(_))));
    assert_eq!((bench.core.open_requests(), bench.order(Action::Fail { id: held })), (0, vec![]));
}
