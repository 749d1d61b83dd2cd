//! Tests of the seven rules; each test fails if the guard of its rule is removed.

mod common;

use common::*;
use topazpath::interface::*;

fn safe() -> Settings {
    settings(vec![class(Effect::Safe)])
}

#[test]
fn rule_1_a_queued_request_without_nodes_is_refused_once_before_its_deadline() {
    let mut initiator = Initiator::new(safe(), &[]);
    let id = initiator.request(0, 0, 0);
    initiator.run(ms(6000));
    let answers = initiator.answers(id);
    assert_eq!(answers.len(), 1);
    assert!(answers[0].0 < START + ms(3000));
    assert!(matches!(answers[0].1, Action::Refuse { retry_after, .. } if !retry_after.is_zero()));
    assert!(initiator.sent().is_empty());
}

#[test]
fn rule_1_an_attempt_that_times_out_at_the_deadline_is_answered_at_once() {
    let mut initiator = Initiator::new(safe(), &[node(1, 0)]);
    let id = initiator.request(0, 0, 0);
    initiator.now = START + ms(3000);
    initiator.end(id, 0, 1, Outcome::TimedOut);
    assert_eq!(initiator.answers(id).len(), 1);
    initiator.run(ms(3000));
    assert_eq!((initiator.answers(id).len(), initiator.sent().len()), (1, 1));
}

#[test]
fn rule_1_no_attempt_or_answer_follows_once_the_client_is_gone() {
    let mut initiator = Initiator::new(safe(), &[]);
    let id = initiator.request(0, 0, 0);
    initiator.handle(&[Event::ClientGone { id }]);
    initiator.list(ListKind::Full, &[node(1, 0)]);
    initiator.run(ms(4000));
    assert!(initiator.sent().is_empty() && initiator.answers(id).is_empty());
}

#[test]
fn rule_2_an_unsafe_request_that_may_have_run_fails_without_a_retry() {
    for (outcome, again) in [
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::Unknown, false),
        (Outcome::Rejected, true),
        (Outcome::NotConnected, true),
    ] {
        let mut initiator = Initiator::new(settings(vec![class(Effect::Unsafe)]), &[node(1, 0)]);
        let id = initiator.request(0, 0, 0);
        initiator.now += ms(20);
        initiator.end(id, 0, 1, outcome);
        initiator.run(ms(1500));
        assert_eq!(initiator.sent().len(), if again { 2 } else { 1 }, "{outcome:?}");
        if !again {
            assert!(matches!(initiator.answers(id)[..], [(_, Action::Fail { .. })]), "{outcome:?}");
        }
    }
}

#[test]
fn rule_2_a_keyed_request_is_retried_only_within_its_dedup_scope_and_window() {
    let keyed = || settings(vec![class(Effect::Keyed(DedupScope::Shard))]);
    let mut initiator = Initiator::new(keyed(), &[node(1, 0), node(2, 1)]);
    let mut new = initiator.new_request(0, 0, 7);
    new.shard = None;
    initiator.handle(&[Event::Request(new.clone())]);
    let first = match initiator.log.iter().find(|(_, action)| matches!(action, Action::Send { .. })) {
        Some((_, Action::Send { node, .. })) => *node,
        _ => panic!("a new object goes out at once"),
    };
    initiator.now += ms(20);
    initiator.end(new.id, 0, first.0, Outcome::Error);
    initiator.run(ms(200));
    let nodes = initiator.log.iter().filter_map(|(_, action)| match action {
        Action::Send { node, .. } => Some(*node),
        _ => None,
    });
    let nodes: Vec<_> = nodes.collect();
    assert_eq!(nodes, [first, first]);
    // The first attempt may wait for a connection until the deadline, the retry until the end of the window at most.
    let begins = initiator.log.iter().filter_map(|(_, action)| match action {
        Action::Send { begin_by, .. } => Some(*begin_by - START),
        _ => None,
    });
    assert_eq!(begins.collect::<Vec<_>>(), [ms(3000), ms(1000)]);

    let mut late = Initiator::new(keyed(), &[node(1, 0)]);
    let id = late.request(0, 0, 7);
    late.now += ms(1200);
    late.end(id, 0, 1, Outcome::Error);
    late.run(ms(1000));
    assert_eq!(late.sent().len(), 1);
    assert!(matches!(late.answers(id)[..], [(_, Action::Fail { .. })]));
}

#[test]
fn rule_2_a_keyed_request_queued_past_its_window_is_not_retried() {
    let mut initiator =
        Initiator::new(settings(vec![class(Effect::Keyed(DedupScope::Shard))]), &[node(1, 0)]);
    let id = initiator.request(0, 0, 7);
    initiator.now += ms(20);
    initiator.list(ListKind::Delta, &[NodeEntry { state: NodeState::Gone, ..node(1, 0) }]);
    initiator.end(id, 0, 1, Outcome::Error);
    initiator.run(ms(1100));
    initiator.list(ListKind::Delta, &[node(1, 0)]);
    initiator.run(ms(3000));
    assert_eq!(initiator.sent().len(), 1);
    assert!(matches!(initiator.answers(id)[..], [(_, Action::Fail { .. })]));
}

#[test]
fn rule_3_draining_and_removed_nodes_get_no_requests() {
    for state in [NodeState::Draining, NodeState::Gone] {
        let mut initiator = Initiator::new(safe(), &[node(1, 0)]);
        initiator.list(ListKind::Delta, &[NodeEntry { state, ..node(1, 0) }]);
        // A draining node may be used for a part of its grace, which tests/failures.rs checks.
        initiator.run(safe().rules.drain_grace.mul_f64(0.9));
        initiator.request(0, 0, 0);
        initiator.run(ms(1000));
        assert!(initiator.sent().is_empty(), "{state:?}");
    }
    let mut initiator = Initiator::new(safe(), &[node(1, 0), node(2, 1)]);
    initiator.list(ListKind::Full, &[node(2, 1)]);
    initiator.request(0, 0, 0);
    initiator.run(ms(1000));
    assert!(initiator.sent().is_empty(), "absent from a full list");
}

#[test]
fn rule_4_a_node_in_slow_start_gets_this_initiators_share_of_its_minimum() {
    let mut initiator = Initiator::new(safe(), &[NodeEntry { started: Some(START - ms(1)), ..node(1, 0) }]);
    let mut sent = 0;
    for _ in 0..120 {
        initiator.now += ms(20);
        initiator.request(0, 0, 0);
        for id in initiator.sent().split_off(sent) {
            sent += 1;
            initiator.now += ms(5);
            initiator.end(id, 0, 1, Outcome::Served);
        }
    }
    // Two initiators share 8 units a second: two requests of two units here, less an initial debt of 6 units at most.
    assert!((2..=6).contains(&sent), "{sent} requests in three seconds");
}

#[test]
fn rule_5_requests_with_one_key_run_in_order_and_after_the_settle_time() {
    let ordered = Class { in_order: true, ..class(Effect::Safe) };
    let mut initiator = Initiator::new(settings(vec![ordered]), &[node(1, 0)]);
    let (first, second) = (initiator.request(0, 0, 9), initiator.request(0, 0, 9));
    let other = initiator.request(0, 0, 8);
    initiator.run(ms(100));
    assert_eq!(initiator.sent(), [first, other]);
    // The client of the first is gone, while its attempt is still in flight.
    initiator.handle(&[Event::ClientGone { id: first }]);
    initiator.run(ms(100));
    assert_eq!(initiator.sent(), [first, other]);
    initiator.end(first, 0, 1, Outcome::Cancelled);
    initiator.run(ms(90));
    assert_eq!(initiator.sent(), [first, other], "the key has not settled yet");
    initiator.run(ms(20));
    assert_eq!(initiator.sent(), [first, other, second]);
}

#[test]
fn rule_6_retries_stay_within_the_budget() {
    let mut settings = safe();
    settings.rules.retry_budget = Some(RetryBudget { min_retries: 1.0, retry_ratio: 0.25, window: ms(5000) });
    let mut initiator = Initiator::new(settings, &[node(1, 0), node(2, 1), node(3, 2), node(4, 3)]);
    let ids: Vec<_> = (0..4).map(|shard| initiator.request(0, shard, 0)).collect();
    initiator.now += ms(10);
    for (shard, id) in ids.iter().enumerate() {
        initiator.end(*id, 0, shard as u32 + 1, Outcome::Error);
    }
    initiator.run(ms(2000));
    // One that is always allowed, and a quarter of the four accepted requests.
    assert_eq!(initiator.sent().len(), 4 + 2);
}

#[test]
fn rule_7_a_volume_gets_this_initiators_equal_share_of_its_limit() {
    let mut settings = safe();
    let limit = Limit { rate: 30.0, burst: 36.0, overdraft: 6.0 };
    settings.plans[0].limit = Some(limit);
    let mut initiator = Initiator::new(settings, &[node(1, 0), node(2, 1)]);
    for round in 0..200 {
        let mut new = initiator.new_request(0, round % 2, 0);
        new.volume_initiators = 3.0;
        initiator.handle(&[Event::Request(new.clone())]);
        initiator.now += ms(10);
        if initiator.sent().last() == Some(&new.id) {
            initiator.end(new.id, 0, round % 2 + 1, Outcome::Served);
        }
    }
    let units = initiator.sent().len() as f64 * 2.0;
    let allowed = (limit.rate / 3.0) * 2.0 + limit.overdraft / 3.0;
    assert!(units <= allowed, "{units} units sent, {allowed} allowed");
    assert!(units >= allowed - 4.0, "the share is used: {units} of {allowed}");
}

#[test]
fn rule_7_many_initiators_of_a_volume_stay_within_its_limit() {
    // The burst covers two of the largest requests for each initiator.
    let limit = Limit { rate: 24.0, burst: 288.0, overdraft: 28.8 };
    let mut settings = safe();
    settings.plans[0].limit = Some(limit);
    settings.initiators = 200;
    let mut initiators: Vec<_> =
        (0..24).map(|seed| Initiator::seeded(settings.clone(), &[node(1, 0)], seed)).collect();
    // The volume's token bucket as the rule defines it, and the sizes sent.
    let (mut bucket, mut lowest, mut largest) = (limit.burst, limit.burst, 0.0_f64);
    for step in 0..400 {
        bucket = (bucket + limit.rate * 0.05).min(limit.burst);
        for (number, initiator) in initiators.iter_mut().enumerate() {
            initiator.now += ms(50);
            // Mixed sizes, then only the largest: those are sent when no smaller ones use up the limit.
            let units = if step < 200 { ((step + number) % 6 + 1) as f64 } else { 6.0 };
            let new = NewRequest { units, volume_initiators: 24.0, ..initiator.new_request(0, 0, 0) };
            let sent = sends(&initiator.handle(&[Event::Request(new.clone())])) > 0;
            if sent {
                bucket -= units;
                largest = largest.max(units);
                initiator.now += ms(1);
                initiator.end(new.id, 0, 1, Outcome::Served);
            } else {
                initiator.handle(&[Event::ClientGone { id: new.id }]);
            }
        }
        lowest = lowest.min(bucket);
    }
    assert!(lowest >= -limit.overdraft, "overdrawn to {lowest}");
    assert_eq!(largest, 6.0, "the largest requests are sent");
}

#[test]
fn a_larger_share_adds_no_tokens_for_the_time_before() {
    let mut settings = safe();
    settings.plans[0].limit = Some(Limit { rate: 20.0, burst: 20.0, overdraft: 0.0 });
    (settings.plans[0].reserve, settings.units.base_rates) = (1e5, vec![1e5]);
    let mut initiator = Initiator::new(settings, &[node(1, 0)]);
    let share = |assigned| Event::Shares { limits: vec![(VolumeId(1), assigned)], slow_start: vec![] };
    let mut number = 0;
    let mut served = |initiator: &mut Initiator, count: usize| {
        let before = initiator.sent().len();
        for _ in 0..count {
            let id = initiator.request(0, 0, 0);
            if initiator.sent().len() > before + number {
                number += 1;
                initiator.end(id, 0, 1, Outcome::Served);
            } else {
                initiator.handle(&[Event::ClientGone { id }]);
            }
        }
        std::mem::take(&mut number)
    };
    initiator.handle(&[share(Some(0.1))]);
    assert_eq!(served(&mut initiator, 1), 0, "its bucket starts empty");
    initiator.now += ms(10_000);
    initiator.handle(&[share(Some(1.0))]);
    // The bucket held a tenth of 20 units: one request of two. The whole burst would be ten requests.
    assert_eq!(served(&mut initiator, 10), 1);
    initiator.now += ms(500);
    assert_eq!(served(&mut initiator, 10), 5, "ten units in half a second at the whole rate");
    initiator.handle(&[share(Some(0.0))]);
    initiator.now += ms(10_000);
    assert_eq!(served(&mut initiator, 10), 0, "nothing without a share");
    initiator.handle(&[share(None)]);
    initiator.now += ms(10_000);
    assert_eq!(served(&mut initiator, 20), 10, "the equal share again, which here is all of it");
}
