//! The three layers of the design, seen through what is sent.

mod common;

use common::*;
use topazpath::interface::*;

fn two_classes() -> Settings {
    // Late answers keep their worth here, or late requests would be held.
    let class =
        |worth: f64| Class { worth, latency_target: ms(1200), late_worth: 1.0, ..class(Effect::Safe) };
    let mut settings = settings(vec![class(9.0), class(1.0)]);
    // All that is asked for here is reserved, so that only the bounds tell classes apart.
    (settings.plans[0].reserve, settings.units.base_rates) = (1e5, vec![1e5]);
    settings
}

/// Takes requests of both classes for one shard in a single batch; the classes sent, in order.
fn contend(host: &mut Host, shard: u32, each: usize) -> Vec<usize> {
    let news: Vec<NewRequest> =
        (0..each).flat_map(|_| [0, 1]).map(|class| host.new_request(class, shard, 0)).collect();
    let events: Vec<Event> = news.iter().cloned().map(Event::Request).collect();
    let actions = host.handle(&events);
    let class_of = |id: RequestId| news.iter().find(|new| new.id == id).expect("just taken").class;
    let sent = |action: &Action| match action {
        Action::Send { id, .. } => Some(class_of(*id)),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

#[test]
fn every_class_has_a_slot_and_unused_slots_are_lent() {
    let mut host = Host::new(two_classes(), &[node(1, 0)]);
    assert_eq!(contend(&mut host, 0, 6), [0, 1, 0, 0], "a slot each, then by worth");
    let mut alone = Host::new(two_classes(), &[node(1, 0)]);
    let events: Vec<Event> = (0..6).map(|_| Event::Request(alone.new_request(1, 0, 0))).collect();
    assert_eq!(sends(&alone.handle(&events)), 4, "one class may use all slots");
}

#[test]
fn a_class_bound_follows_its_demand_over_the_nodes() {
    // All demand of the dear class lies at node 1 for an interval: its slots are there, but for the floor of one.
    let mut host = Host::new(two_classes(), &[node(1, 0), node(2, 1)]);
    let new = host.new_request(0, 0, 0);
    host.handle(&[Event::Request(new.clone())]);
    host.run(ms(250));
    host.end(new.id, 0, 1, Outcome::Served);
    host.run(ms(2000));
    let (there, elsewhere) = (contend(&mut host, 0, 6), contend(&mut host, 1, 6));
    assert_eq!(there, [0, 0, 0]);
    assert_eq!(elsewhere[..2], [0, 1]);
}

/// Ten intervals in which one class is answered after `latencies[class]`, then what contention sends.
fn after_latencies(latencies: [Duration; 2]) -> Vec<usize> {
    let mut host = Host::new(two_classes(), &[node(1, 0)]);
    for _ in 0..80 {
        let ids = [0, 1].map(|class| host.request(class, 0, 0));
        let mut order = [0, 1];
        order.sort_by(|a, b| latencies[*a].cmp(&latencies[*b]));
        let start = host.now;
        for class in order {
            host.run(start + latencies[class] - host.now);
            host.end(ids[class], 0, 1, Outcome::Served);
        }
        host.run((start + ms(250)).saturating_sub(host.now));
    }
    host.run(ms(20));
    contend(&mut host, 0, 6)
}

#[test]
fn a_shared_latency_rise_lowers_the_cap() {
    let (quick, slow) = (after_latencies([ms(20), ms(20)]), after_latencies([ms(240), ms(240)]));
    assert!(slow.len() < quick.len(), "{slow:?} {quick:?}");
    assert!(!slow.is_empty());
}

/// Intervals in which both classes are answered half a second after they were first asked for; a second
/// node comes and goes, and with it answers are sooner and later, so that slopes can be fitted. Then how many
/// of the second class contention sends.
fn second_class_after(aims: [Duration; 2]) -> usize {
    let mut settings = two_classes();
    for (class, aim) in settings.classes.iter_mut().zip(aims) {
        (class.worth, class.latency_target) = (2.0, aim);
    }
    let mut host = Host::new(settings, &[node(1, 0), node(2, 1)]);
    for phase in 0..15 {
        let (state, latency) = match phase % 2 {
            0 => (NodeState::Ready, ms(5)),
            _ => (NodeState::Draining, ms(15)),
        };
        host.list(ListKind::Delta, &[NodeEntry { state, ..node(2, 1) }]);
        let until = host.now + ms(4000);
        while host.now < until {
            for class in [0, 1] {
                let mut new = host.new_request(class, 0, 0);
                // The very first has a whole deadline: less of it means asked for before.
                new.deadline -= if host.now < START + ms(50) { ms(0) } else { ms(500) };
                host.handle(&[Event::Request(new.clone())]);
                host.run(latency);
                host.end(new.id, 0, 1, Outcome::Served);
            }
        }
    }
    let news: Vec<NewRequest> =
        [1, 0].iter().flat_map(|class| [*class; 8]).map(|c| host.new_request(c, 0, 0)).collect();
    host.handle(&news.iter().cloned().map(Event::Request).collect::<Vec<_>>());
    let sent = host.sent();
    news.iter().filter(|new| new.class == 1 && sent.contains(&new.id)).count()
}

#[test]
fn a_class_far_from_its_aim_gains_slots_from_one_that_meets_it() {
    let (met, missed) = (second_class_after([ms(120), ms(4000)]), second_class_after([ms(4000), ms(120)]));
    assert!(met < missed, "{met} slots when it meets its aim, {missed} when it misses it");
}
