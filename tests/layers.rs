//! The three layers of the design (controllers, arbiter, node allocator), tested by what is sent.

mod common;

use common::*;
use topazpath::interface::*;

fn two_classes() -> Settings {
    // Late answers keep their worth here; otherwise late requests would stay queued.
    let class =
        |worth: f64| Class { worth, latency_target: ms(1200), late_worth: 1.0, ..class(Effect::Safe) };
    let mut settings = settings(vec![class(9.0), class(1.0)]);
    // All demand is within the reserve, so that only the bounds distinguish the classes.
    (settings.plans[0].reserve, settings.units.base_rates) = (1e5, vec![1e5]);
    settings
}

/// Sends requests of both classes for one shard in a single batch; returns the classes sent, in order.
fn contend(initiator: &mut Initiator, shard: u32, each: usize) -> Vec<usize> {
    let news: Vec<NewRequest> =
        (0..each).flat_map(|_| [0, 1]).map(|class| initiator.new_request(class, shard, 0)).collect();
    let events: Vec<Event> = news.iter().cloned().map(Event::Request).collect();
    let actions = initiator.handle(&events);
    let class_of = |id: RequestId| news.iter().find(|new| new.id == id).expect("just accepted").class;
    let sent = |action: &Action| match action {
        Action::Send { id, .. } => Some(class_of(*id)),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

#[test]
fn every_class_has_a_slot_and_unused_slots_are_lent() {
    let mut initiator = Initiator::new(two_classes(), &[node(1, 0)]);
    assert_eq!(contend(&mut initiator, 0, 6), [0, 1, 0, 0], "a slot each, then by worth");
    let mut alone = Initiator::new(two_classes(), &[node(1, 0)]);
    let events: Vec<Event> = (0..6).map(|_| Event::Request(alone.new_request(1, 0, 0))).collect();
    assert_eq!(sends(&alone.handle(&events)), 4, "one class may use all slots");
}

#[test]
fn a_class_bound_follows_its_demand_over_the_nodes() {
    // All demand of the more valuable class is at node 1 for an interval, so its slots are there, except the minimum
    // of one at each node.
    let mut initiator = Initiator::new(two_classes(), &[node(1, 0), node(2, 1)]);
    let new = initiator.new_request(0, 0, 0);
    initiator.handle(&[Event::Request(new.clone())]);
    initiator.run(ms(250));
    initiator.end(new.id, 0, 1, Outcome::Served);
    initiator.run(ms(2000));
    let (there, elsewhere) = (contend(&mut initiator, 0, 6), contend(&mut initiator, 1, 6));
    assert_eq!(there, [0, 0, 0]);
    assert_eq!(elsewhere[..2], [0, 1]);
}

/// Runs ten intervals in which each class is answered after `latencies[class]`; returns what is sent under contention.
fn after_latencies(latencies: [Duration; 2]) -> Vec<usize> {
    let mut initiator = Initiator::new(two_classes(), &[node(1, 0)]);
    for _ in 0..80 {
        let ids = [0, 1].map(|class| initiator.request(class, 0, 0));
        let mut order = [0, 1];
        order.sort_by(|a, b| latencies[*a].cmp(&latencies[*b]));
        let start = initiator.now;
        for class in order {
            initiator.run(start + latencies[class] - initiator.now);
            initiator.end(ids[class], 0, 1, Outcome::Served);
        }
        initiator.run((start + ms(250)).saturating_sub(initiator.now));
    }
    initiator.run(ms(20));
    contend(&mut initiator, 0, 6)
}

#[test]
fn a_latency_rise_of_all_classes_lowers_the_total_bound() {
    let (quick, slow) = (after_latencies([ms(20), ms(20)]), after_latencies([ms(240), ms(240)]));
    assert!(slow.len() < quick.len(), "{slow:?} {quick:?}");
    assert!(!slow.is_empty());
}

/// Runs intervals in which both classes are answered half a second after their clients first sent them. A second node
/// is alternately added and drained, which changes the latency, so that slopes can be fitted. Returns how many requests
/// of the second class are sent under contention.
fn second_class_after(targets: [Duration; 2]) -> usize {
    let mut settings = two_classes();
    for (class, target) in settings.classes.iter_mut().zip(targets) {
        (class.worth, class.latency_target) = (2.0, target);
    }
    let mut initiator = Initiator::new(settings, &[node(1, 0), node(2, 1)]);
    for phase in 0..15 {
        let (state, latency) = match phase % 2 {
            0 => (NodeState::Ready, ms(5)),
            _ => (NodeState::Draining, ms(15)),
        };
        initiator.list(ListKind::Delta, &[NodeEntry { state, ..node(2, 1) }]);
        let until = initiator.now + ms(4000);
        while initiator.now < until {
            for class in [0, 1] {
                let mut new = initiator.new_request(class, 0, 0);
                // The very first has its whole deadline; a shorter one means that it was first sent earlier.
                new.deadline -= if initiator.now < START + ms(50) { ms(0) } else { ms(500) };
                initiator.handle(&[Event::Request(new.clone())]);
                initiator.run(latency);
                initiator.end(new.id, 0, 1, Outcome::Served);
            }
        }
    }
    let news: Vec<NewRequest> =
        [1, 0].iter().flat_map(|class| [*class; 8]).map(|c| initiator.new_request(c, 0, 0)).collect();
    initiator.handle(&news.iter().cloned().map(Event::Request).collect::<Vec<_>>());
    let sent = initiator.sent();
    news.iter().filter(|new| new.class == 1 && sent.contains(&new.id)).count()
}

#[test]
fn a_class_that_misses_its_latency_target_gains_slots_from_one_that_meets_it() {
    let (met, missed) = (second_class_after([ms(120), ms(4000)]), second_class_after([ms(4000), ms(120)]));
    assert!(met < missed, "{met} slots when it meets its target, {missed} when it misses it");
}
