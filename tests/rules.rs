//! One test or more for each of the seven rules; each fails when its guard is taken out.

mod common;

use common::*;
use topazpath::interface::*;

fn safe() -> Settings {
    settings(vec![class(Effect::Safe)])
}

#[test]
fn rule_1_a_held_request_gets_one_answer_before_its_deadline() {
    let mut host = Host::new(safe(), &[]);
    let id = host.request(0, 0, 0);
    host.run(ms(6000));
    let answers = host.answers(id);
    assert_eq!(answers.len(), 1);
    assert!(answers[0].0 < START + ms(3000));
    assert!(matches!(answers[0].1, Action::Refuse { retry_after, .. } if !retry_after.is_zero()));
    assert!(host.sent().is_empty());
}

#[test]
fn rule_1_an_attempt_that_times_out_at_the_deadline_is_answered_at_once() {
    let mut host = Host::new(safe(), &[node(1, 0)]);
    let id = host.request(0, 0, 0);
    host.now = START + ms(3000);
    host.end(id, 0, 1, Outcome::TimedOut);
    assert_eq!(host.answers(id).len(), 1);
    host.run(ms(3000));
    assert_eq!((host.answers(id).len(), host.sent().len()), (1, 1));
}

#[test]
fn rule_1_nothing_follows_a_client_that_is_gone() {
    let mut host = Host::new(safe(), &[]);
    let id = host.request(0, 0, 0);
    host.handle(&[Event::ClientGone { id }]);
    host.list(ListKind::Full, &[node(1, 0)]);
    host.run(ms(4000));
    assert!(host.sent().is_empty() && host.answers(id).is_empty());
}

#[test]
fn rule_2_an_unsafe_request_that_may_have_run_is_failed_and_not_sent_again() {
    for (outcome, again) in [
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::Unknown, false),
        (Outcome::Rejected, true),
        (Outcome::NotConnected, true),
    ] {
        let mut host = Host::new(settings(vec![class(Effect::Unsafe)]), &[node(1, 0)]);
        let id = host.request(0, 0, 0);
        host.now += ms(20);
        host.end(id, 0, 1, outcome);
        host.run(ms(1500));
        assert_eq!(host.sent().len(), if again { 2 } else { 1 }, "{outcome:?}");
        if !again {
            assert!(matches!(host.answers(id)[..], [(_, Action::Fail { .. })]), "{outcome:?}");
        }
    }
}

#[test]
fn rule_2_a_keyed_request_is_sent_again_only_in_its_group_and_window() {
    let keyed = || settings(vec![class(Effect::Keyed(DedupScope::Shard))]);
    let mut host = Host::new(keyed(), &[node(1, 0), node(2, 1)]);
    let mut new = host.new_request(0, 0, 7);
    new.shard = None;
    host.handle(&[Event::Request(new.clone())]);
    let first = match host.log.iter().find(|(_, action)| matches!(action, Action::Send { .. })) {
        Some((_, Action::Send { node, .. })) => *node,
        _ => panic!("a new object goes out at once"),
    };
    host.now += ms(20);
    host.end(new.id, 0, first.0, Outcome::Error);
    host.run(ms(200));
    let nodes = host.log.iter().filter_map(|(_, action)| match action {
        Action::Send { node, .. } => Some(*node),
        _ => None,
    });
    let nodes: Vec<_> = nodes.collect();
    assert_eq!(nodes, [first, first]);
    // The first waits for a connection as long as its client does, the repeat until the window's end at most.
    let begins = host.log.iter().filter_map(|(_, action)| match action {
        Action::Send { begin_by, .. } => Some(*begin_by - START),
        _ => None,
    });
    assert_eq!(begins.collect::<Vec<_>>(), [ms(3000), ms(1000)]);

    let mut late = Host::new(keyed(), &[node(1, 0)]);
    let id = late.request(0, 0, 7);
    late.now += ms(1200);
    late.end(id, 0, 1, Outcome::Error);
    late.run(ms(1000));
    assert_eq!(late.sent().len(), 1);
    assert!(matches!(late.answers(id)[..], [(_, Action::Fail { .. })]));
}

#[test]
fn rule_2_a_keyed_request_held_past_its_window_is_not_sent_again() {
    let mut host = Host::new(settings(vec![class(Effect::Keyed(DedupScope::Shard))]), &[node(1, 0)]);
    let id = host.request(0, 0, 7);
    host.now += ms(20);
    host.list(ListKind::Delta, &[NodeEntry { state: NodeState::Gone, ..node(1, 0) }]);
    host.end(id, 0, 1, Outcome::Error);
    host.run(ms(1100));
    host.list(ListKind::Delta, &[node(1, 0)]);
    host.run(ms(3000));
    assert_eq!(host.sent().len(), 1);
    assert!(matches!(host.answers(id)[..], [(_, Action::Fail { .. })]));
}

#[test]
fn rule_3_nothing_goes_to_a_node_that_drains_or_is_gone() {
    for state in [NodeState::Draining, NodeState::Gone] {
        let mut host = Host::new(safe(), &[node(1, 0)]);
        host.list(ListKind::Delta, &[NodeEntry { state, ..node(1, 0) }]);
        // A draining one may be used for a part of its grace, which tests/failures.rs looks at.
        host.run(safe().rules.drain_grace.mul_f64(0.9));
        host.request(0, 0, 0);
        host.run(ms(1000));
        assert!(host.sent().is_empty(), "{state:?}");
    }
    let mut host = Host::new(safe(), &[node(1, 0), node(2, 1)]);
    host.list(ListKind::Full, &[node(2, 1)]);
    host.request(0, 0, 0);
    host.run(ms(1000));
    assert!(host.sent().is_empty(), "absent from a full list");
}

#[test]
fn rule_4_a_cold_node_gets_this_hosts_part_of_what_it_always_bears() {
    let mut host = Host::new(safe(), &[NodeEntry { started: Some(START - ms(1)), ..node(1, 0) }]);
    let mut sent = 0;
    for _ in 0..120 {
        host.now += ms(20);
        host.request(0, 0, 0);
        for id in host.sent().split_off(sent) {
            sent += 1;
            host.now += ms(5);
            host.end(id, 0, 1, Outcome::Served);
        }
    }
    // 8 units for two hosts in a second: two requests of two units here, less a debt of 6 units at most.
    assert!((2..=6).contains(&sent), "{sent} requests in three seconds");
}

#[test]
fn rule_5_requests_with_one_key_run_in_turn_with_a_rest() {
    let ordered = Class { in_order: true, ..class(Effect::Safe) };
    let mut host = Host::new(settings(vec![ordered]), &[node(1, 0)]);
    let (first, second) = (host.request(0, 0, 9), host.request(0, 0, 9));
    let other = host.request(0, 0, 8);
    host.run(ms(100));
    assert_eq!(host.sent(), [first, other]);
    // The client of the first gives up; its attempt is still out.
    host.handle(&[Event::ClientGone { id: first }]);
    host.run(ms(100));
    assert_eq!(host.sent(), [first, other]);
    host.end(first, 0, 1, Outcome::Cancelled);
    host.run(ms(90));
    assert_eq!(host.sent(), [first, other], "the key rests");
    host.run(ms(20));
    assert_eq!(host.sent(), [first, other, second]);
}

#[test]
fn rule_6_further_attempts_stay_within_the_budget() {
    let mut settings = safe();
    settings.rules.retry_budget = Some(RetryBudget { min_retries: 1.0, retry_ratio: 0.25, window: ms(5000) });
    let mut host = Host::new(settings, &[node(1, 0), node(2, 1), node(3, 2), node(4, 3)]);
    let ids: Vec<_> = (0..4).map(|shard| host.request(0, shard, 0)).collect();
    host.now += ms(10);
    for (shard, id) in ids.iter().enumerate() {
        host.end(*id, 0, shard as u32 + 1, Outcome::Error);
    }
    host.run(ms(2000));
    // One in any case and a quarter of the four taken.
    assert_eq!(host.sent().len(), 4 + 2);
}

#[test]
fn rule_7_a_volume_gets_this_hosts_even_part_of_its_limit() {
    let mut settings = safe();
    let limit = Limit { rate: 30.0, burst: 36.0, overdraft: 6.0 };
    settings.plans[0].limit = Some(limit);
    let mut host = Host::new(settings, &[node(1, 0), node(2, 1)]);
    for round in 0..200 {
        let mut new = host.new_request(0, round % 2, 0);
        new.volume_initiators = 3.0;
        host.handle(&[Event::Request(new.clone())]);
        host.now += ms(10);
        if host.sent().last() == Some(&new.id) {
            host.end(new.id, 0, round % 2 + 1, Outcome::Served);
        }
    }
    let units = host.sent().len() as f64 * 2.0;
    let allowed = (limit.rate / 3.0) * 2.0 + limit.overdraft / 3.0;
    assert!(units <= allowed, "{units} units sent, {allowed} allowed");
    assert!(units >= allowed - 4.0, "the part is used: {units} of {allowed}");
}

#[test]
fn rule_7_many_hosts_of_a_volume_stay_inside_its_limit() {
    // The burst holds two of the largest requests for each host, as the limit is stated to.
    let limit = Limit { rate: 24.0, burst: 288.0, overdraft: 28.8 };
    let mut settings = safe();
    settings.plans[0].limit = Some(limit);
    settings.initiators = 200;
    let mut hosts: Vec<_> = (0..24).map(|seed| Host::seeded(settings.clone(), &[node(1, 0)], seed)).collect();
    // The volume's store as the rule counts it, and the sizes sent.
    let (mut store, mut lowest, mut largest) = (limit.burst, limit.burst, 0.0_f64);
    for step in 0..400 {
        store = (store + limit.rate * 0.05).min(limit.burst);
        for (number, host) in hosts.iter_mut().enumerate() {
            host.now += ms(50);
            // Mixed sizes, then only the largest: those come through when no smaller one is before them.
            let units = if step < 200 { ((step + number) % 6 + 1) as f64 } else { 6.0 };
            let new = NewRequest { units, volume_initiators: 24.0, ..host.new_request(0, 0, 0) };
            let sent = sends(&host.handle(&[Event::Request(new.clone())])) > 0;
            if sent {
                store -= units;
                largest = largest.max(units);
                host.now += ms(1);
                host.end(new.id, 0, 1, Outcome::Served);
            } else {
                host.handle(&[Event::ClientGone { id: new.id }]);
            }
        }
        lowest = lowest.min(store);
    }
    assert!(lowest >= -limit.overdraft, "overdrawn to {lowest}");
    assert_eq!(largest, 6.0, "the largest get through");
}

#[test]
fn a_part_that_grows_gives_nothing_for_the_time_before() {
    let mut settings = safe();
    settings.plans[0].limit = Some(Limit { rate: 20.0, burst: 20.0, overdraft: 0.0 });
    (settings.plans[0].reserve, settings.units.base_rates) = (1e5, vec![1e5]);
    let mut host = Host::new(settings, &[node(1, 0)]);
    let share = |part| Event::Shares { limits: vec![(VolumeId(1), part)], slow_start: vec![] };
    let mut number = 0;
    let mut served = |host: &mut Host, count: usize| {
        let before = host.sent().len();
        for _ in 0..count {
            let id = host.request(0, 0, 0);
            if host.sent().len() > before + number {
                number += 1;
                host.end(id, 0, 1, Outcome::Served);
            } else {
                host.handle(&[Event::ClientGone { id }]);
            }
        }
        std::mem::take(&mut number)
    };
    host.handle(&[share(Some(0.1))]);
    assert_eq!(served(&mut host, 1), 0, "its store begins empty");
    host.now += ms(10_000);
    host.handle(&[share(Some(1.0))]);
    // A tenth of 20 units was there: one request of two. At once the whole burst would be ten.
    assert_eq!(served(&mut host, 10), 1);
    host.now += ms(500);
    assert_eq!(served(&mut host, 10), 5, "ten units in half a second at the whole rate");
    host.handle(&[share(Some(0.0))]);
    host.now += ms(10_000);
    assert_eq!(served(&mut host, 10), 0, "nothing without a part");
    host.handle(&[share(None)]);
    host.now += ms(10_000);
    assert_eq!(served(&mut host, 20), 10, "the even part again, which here is all of it");
}
