use super::*;
use crate::interface::Plan;
use crate::revisions::document::{Document, PlanOverrides};
use crate::revisions::{RevisionId, RevisionNumber, UpdateContent};
use std::collections::BTreeMap;

fn addresses() -> Vec<SocketAddr> {
    (1..=3).map(|number| SocketAddr::from(([192, 0, 2, number], 7001))).collect()
}

fn configuration(initiator: &str, now: Instant) -> Configuration {
    let plan = Plan { reserve: 1.0, limit: None, weight: 1.0, worth_factor: 1.0 };
    let base = Settings { plans: vec![plan], ..Settings::default() };
    let names = Names { classes: Vec::new(), plans: vec!["base".into()] };
    Configuration::new(base, names, initiator, &addresses(), now)
}

/// A configuration connected to three planners, each in contact with a majority.
fn connected(now: Instant) -> Configuration {
    let mut configuration = configuration("i-1", now);
    for at in 0..3 {
        configuration.connected(at);
        configuration.quorum(now, at, true);
    }
    configuration
}

fn update(number: u64, plan: &str) -> Update {
    let figures = PlanOverrides { parts: Some(number as f64), ..PlanOverrides::default() };
    let document = Document { plans: BTreeMap::from([(plan.to_string(), figures)]), ..Document::default() };
    let id = RevisionId { number: RevisionNumber(number), hash: document.hash() };
    Update { id, content: UpdateContent::Full(document) }
}

fn in_force(id: RevisionId) -> ToPlanner {
    ToPlanner::Acknowledge(Acknowledgement { id, outcome: AcknowledgementOutcome::InForce })
}

fn subscribe() -> ToPlanner {
    ToPlanner::Subscribe { current: RevisionId::none() }
}

/// The positions of an initiator's planners, the most preferred first.
fn preference(configuration: &Configuration) -> [usize; 3] {
    configuration.preference.clone().try_into().unwrap()
}

#[test]
fn initiators_prefer_different_planners() {
    let now = Instant::now();
    let mut counts = [0; 3];
    for number in 0..460 {
        counts[preference(&configuration(&format!("initiator-{number}"), now))[0]] += 1;
    }
    assert!(counts.iter().all(|count| (115..=191).contains(count)), "{counts:?}");
}

#[test]
fn the_subscription_moves_when_its_planner_disconnects_or_loses_its_majority() {
    let now = Instant::now();
    let mut it = configuration("i-1", now);
    let [first, second, third] = preference(&it);
    for at in 0..3 {
        assert_eq!(it.connected(at), [(at, in_force(RevisionId::none()))]);
    }
    assert_eq!(it.subscribed, None, "no planner has sent anything about live configuration");
    assert_eq!(
        it.quorum(now, third, false),
        [(third, subscribe())],
        "a planner without a majority is better than none"
    );
    assert_eq!(
        it.quorum(now, second, true),
        [(third, ToPlanner::Unsubscribe), (second, subscribe())],
        "a planner with a majority is preferred"
    );
    assert_eq!(
        it.quorum(now, first, true),
        [(second, ToPlanner::Unsubscribe), (first, subscribe())],
        "the order of preference counts, not that of connecting"
    );
    assert!(it.quorum(now, third, true).is_empty());
    assert!(it.quorum(now, first, true).is_empty(), "nothing has changed");
    assert_eq!(it.quorum(now, first, false), [(first, ToPlanner::Unsubscribe), (second, subscribe())]);
    assert_eq!(it.disconnected(second), [(third, subscribe())], "nothing is sent to a disconnected planner");
    assert_eq!(
        it.quorum(now, third, false),
        [(third, ToPlanner::Unsubscribe), (first, subscribe())],
        "none has a majority: the most preferred of all"
    );
    assert_eq!(it.disconnected(first), [(third, subscribe())]);
    assert!(it.disconnected(third).is_empty());
    assert_eq!(it.report(now).source, None);
}

#[test]
fn a_planner_without_live_configuration_is_not_subscribed_to() {
    let now = Instant::now();
    let mut it = configuration("i-1", now);
    let [first, second, _] = preference(&it);
    it.connected(first);
    it.connected(second);
    assert_eq!(it.quorum(now, second, false), [(second, subscribe())]);
    assert!(it.quorum(now, 7, true).is_empty());
}

#[test]
fn an_update_is_applied_once_and_acknowledged_to_all_connected_planners() {
    let now = Instant::now();
    let mut it = connected(now);
    let [first, second, _] = preference(&it);
    it.disconnected(second);
    assert!(it.update(first, update(1, "base")).is_empty(), "it is not in force yet");
    assert!(it.update(first, update(2, "base")).is_empty());
    let prepared = it.take_prepared().unwrap();
    assert_eq!(prepared.id, update(2, "base").id, "the newest");
    assert_eq!(it.take_prepared(), None);
    assert_eq!(it.report(now).number, 0);
    let mut messages = it.confirm_applied(&prepared);
    messages.sort_by_key(|(at, _)| *at);
    let connected = (0..3).filter(|at| *at != second);
    let expected: Vec<Message> = connected.map(|at| (at, in_force(prepared.id))).collect();
    assert_eq!(messages, expected);
    let report = it.report(now);
    assert_eq!((report.number, report.hash), (2, prepared.id.hash.to_string()));
    assert_eq!(
        it.connected(second),
        [(second, in_force(prepared.id))],
        "a planner that reconnects is notified too"
    );
    // A repeated update is only acknowledged, to its sender.
    assert_eq!(it.update(first, update(2, "base")), [(first, in_force(prepared.id))]);
    assert_eq!(it.take_prepared(), None);
}

#[test]
fn a_refused_update_is_acknowledged_to_all_planners_and_reported() {
    let now = Instant::now();
    let mut it = connected(now);
    let [first, second, _] = preference(&it);
    let foreign = update(1, "no-such");
    let messages = it.update(first, foreign.clone());
    assert_eq!(messages.len(), 3);
    for (_, message) in &messages {
        let ToPlanner::Acknowledge(Acknowledgement { id, outcome }) = message else { panic!("{message:?}") };
        assert_eq!(*id, foreign.id);
        assert!(matches!(outcome, AcknowledgementOutcome::Refused(why) if why.contains("no-such")));
    }
    assert_eq!(it.take_prepared(), None);
    assert_eq!(it.report(now).refused.unwrap().number, 1);
    it.disconnected(second);
    assert_eq!(it.connected(second).len(), 2, "the revision in force and the refused one");
}

#[test]
fn a_prepared_revision_that_cannot_be_applied_is_refused_to_all_planners() {
    let now = Instant::now();
    let mut it = connected(now);
    let [first, ..] = preference(&it);
    it.update(first, update(1, "base"));
    let prepared = it.take_prepared().unwrap();
    let messages = it.reject_prepared(&prepared, "no".into());
    let outcome = AcknowledgementOutcome::Refused("no".into());
    let refused = ToPlanner::Acknowledge(Acknowledgement { id: prepared.id, outcome });
    assert_eq!(messages, (0..3).map(|at| (at, refused.clone())).collect::<Vec<Message>>());
    assert_eq!(it.report(now).number, 0);
}

#[test]
fn updates_without_a_subscription_on_the_connection_are_ignored() {
    let now = Instant::now();
    let mut it = connected(now);
    let [first, second, _] = preference(&it);
    let was_subscribed: Vec<bool> = it.sources.iter().map(|source| source.was_subscribed).collect();
    let never = (0..3).find(|at| !was_subscribed[*at]);
    if let Some(never) = never {
        assert!(it.update(never, update(1, "base")).is_empty());
        assert_eq!(it.take_prepared(), None);
    }
    it.disconnected(first);
    it.connected(first);
    assert!(it.update(first, update(1, "base")).is_empty());
    assert_eq!(it.take_prepared(), None, "another connection, without a subscription");
    it.quorum(now, first, true);
    it.quorum(now, first, false);
    assert_eq!(it.subscribed, Some(second));
    it.update(first, update(1, "base"));
    assert!(it.take_prepared().is_some(), "an update may have been sent before the subscription ended");
}

#[test]
fn the_age_is_the_time_since_a_planner_with_a_majority_was_heard() {
    let start = Instant::now();
    let after = |millis| start + Duration::from_millis(millis);
    let mut it = configuration("i-1", start);
    it.connected(0);
    it.planner_heard(after(100), 0);
    assert_eq!(it.age(after(150)), Duration::from_millis(150), "the planner is not known to have a majority");
    it.quorum(after(200), 0, true);
    it.planner_heard(after(300), 0);
    assert_eq!(it.age(after(350)), Duration::from_millis(50));
    it.quorum(after(400), 0, false);
    it.planner_heard(after(500), 0);
    assert_eq!(it.report(after(1300)).age_ms, 1000);
}
