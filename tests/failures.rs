//! Failures met on the bench or foreseen, each as a script of events.

mod common;

use common::*;
use topazpath::interface::*;

fn safe() -> Settings {
    settings(vec![class(Effect::Safe)])
}

/// Serves requests at node 1 so that its usual latency is known.
fn warm_up(host: &mut Host) {
    for _ in 0..20 {
        let id = host.request(0, 0, 0);
        host.run(ms(30));
        host.end(id, 0, 1, Outcome::Served);
    }
}

#[test]
fn a_silent_node_gets_single_requests_at_growing_pauses() {
    let mut host = Host::new(safe(), &[node(1, 0)]);
    warm_up(&mut host);
    let before = host.sent().len();
    for _ in 0..100 {
        host.request(0, 0, 0);
        host.run(ms(20));
    }
    let sent = host.sent().len() - before;
    assert!((2..=12).contains(&sent), "{sent} of 100 sent to a silent node");
}

#[test]
fn an_attempt_that_a_later_one_overtook_is_withdrawn_and_made_again() {
    // i8370b0: answers vanish one by one while the node serves the rest.
    let mut host = Host::new(safe(), &[node(1, 0)]);
    warm_up(&mut host);
    let lost = host.request(0, 0, 0);
    host.run(ms(10));
    let mut withdrawn = Vec::new();
    for _ in 0..10 {
        let id = host.request(0, 0, 0);
        withdrawn.extend(host.run(ms(30)));
        if host.sent().contains(&id) {
            withdrawn.extend(host.end(id, 0, 1, Outcome::Served));
        }
    }
    let cancels = withdrawn.iter().filter(|action| **action == Action::Cancel { id: lost, attempt: 0 });
    assert_eq!(cancels.count(), 1);
    host.end(lost, 0, 1, Outcome::Cancelled);
    host.run(ms(50));
    assert_eq!(host.sent().iter().filter(|id| **id == lost).count(), 2);
}

#[test]
fn an_unsafe_attempt_is_never_withdrawn() {
    let mut host = Host::new(settings(vec![class(Effect::Unsafe)]), &[node(1, 0)]);
    warm_up(&mut host);
    let lost = host.request(0, 0, 0);
    for _ in 0..20 {
        let id = host.request(0, 0, 0);
        let actions = host.run(ms(30));
        assert!(!actions.iter().any(|action| matches!(action, Action::Cancel { .. })));
        if host.sent().contains(&id) {
            host.end(id, 0, 1, Outcome::Served);
        }
    }
    assert_eq!(host.sent().iter().filter(|id| **id == lost).count(), 1);
}

#[test]
fn many_hosts_use_a_cold_node_and_stay_inside_what_it_bears() {
    // i03fe19: with many hosts the even part of what is always borne is less than one request.
    let mut settings = safe();
    settings.initiators = 200;
    settings.units.slow_start_units = 40.0;
    let cold = [NodeEntry { started: Some(START - ms(1)), ..node(1, 0) }];
    // Seeds as they are told: far apart.
    let seed = |number: u64| number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mut hosts: Vec<_> =
        (0..200).map(|number| Host::seeded(settings.clone(), &cold, seed(number))).collect();
    let mut sends = Vec::new();
    for step in 0..200usize {
        for (number, host) in hosts.iter_mut().enumerate() {
            host.now += ms(20);
            let mut new = host.new_request(0, 0, 0);
            // Every size up to the largest.
            new.units = ((step + number) % 6 + 1) as f64;
            let actions = host.handle(&[Event::Request(new.clone())]);
            let went = actions.iter().filter(|action| matches!(action, Action::Send { .. })).count();
            sends.extend((0..went).map(|_| (step, new.units)));
            host.handle(&[Event::ClientGone { id: new.id }]);
        }
    }
    let window = |start: usize| sends.iter().filter(move |s| (start..start + 50).contains(&s.0)).map(|s| s.1);
    for start in 0..150 {
        let units: f64 = window(start).sum();
        assert!(units <= 2.0 * 40.0, "{units} units in the second from step {start}");
    }
    let all: f64 = sends.iter().map(|send| send.1).sum();
    assert!(all >= 40.0, "{all} units in four seconds");
    assert!(sends.iter().any(|send| send.1 == 6.0), "the largest get through");
}

#[test]
fn a_replacement_gets_the_work_of_the_node_before_it_among_a_hundred_hosts() {
    // Each host's even part of a cold node is a request in minutes, while few hosts use a shard. What counts is
    // what the shard gave this host before.
    let mut settings = safe();
    settings.initiators = 100;
    settings.rules.overload_window = ms(3000);
    let nodes: Vec<_> = (0..60).map(|shard| node(shard + 1, shard)).collect();
    let mut host = Host::new(settings, &nodes);
    let serve = |host: &mut Host, node: u32| {
        let before = host.sent().len();
        for _ in 0..100 {
            let id = host.request(0, 0, 0);
            host.run(ms(20));
            if host.sent().contains(&id) {
                host.end(id, 0, node, Outcome::Served);
            } else {
                host.handle(&[Event::ClientGone { id }]);
            }
            host.run(ms(80));
        }
        host.sent().len() - before
    };
    assert_eq!(serve(&mut host, 1), 100, "the shard serves this host 10 requests a second");
    let [old, new] = [(1, NodeState::Draining, None), (100, NodeState::Ready, Some(host.now))];
    let entry = |(id, state, started)| NodeEntry { state, started, ..node(id, 0) };
    host.list(ListKind::Delta, &[entry(old), entry(new)]);
    let sent = serve(&mut host, 100);
    // It warms from 0.2 to 1 in these ten seconds; of twice that, which the rule bears, a tenth is left for chance.
    assert!((70..=86).contains(&sent), "{sent} of 100 requests");
}

#[test]
fn a_hundred_hosts_that_start_together_do_not_overrun_a_node() {
    // Programs send a dozen requests in a row, and each attempt out takes a connection and a place in the queue.
    let out = |initiators: u32| {
        let settings = Settings { initiators, ..safe() };
        let sent = (0..initiators).map(|seed| {
            let mut host = Host::seeded(settings.clone(), &[node(1, 0)], u64::from(seed));
            for _ in 0..12 {
                host.request(0, 0, 0);
            }
            host.sent().len()
        });
        sent.sum::<usize>()
    };
    assert_eq!((out(1), out(3), out(5)), (4, 12, 20));
    assert_eq!(out(100), 100, "one each, as it can't be less");
}

#[test]
fn a_key_stuck_behind_a_silent_node_holds_no_slots() {
    let ordered = Class { in_order: true, ..class(Effect::Safe) };
    let mut host = Host::new(settings(vec![ordered]), &[node(1, 0), node(2, 1)]);
    for _ in 0..8 {
        host.request(0, 0, 5);
    }
    host.run(ms(50));
    assert_eq!(host.sent().len(), 1, "one of the key is out, seven wait");
    let free = host.request(0, 1, 6);
    let beside = host.request(0, 0, 7);
    assert!(host.sent().contains(&free) && host.sent().contains(&beside));
}

#[test]
fn a_silent_node_a_cold_one_and_no_list_at_once() {
    let mut settings = safe();
    settings.list_on_request = true;
    let mut host = Host::new(settings, &[node(1, 0), node(2, 1), node(3, 2)]);
    warm_up(&mut host);
    host.list(ListKind::Delta, &[NodeEntry { started: Some(host.now), ..node(2, 1) }]);
    host.list(ListKind::Failed, &[]);
    let start = host.log.len();
    let (mut served, mut ids) = (0, Vec::new());
    for round in 0..100 {
        let id = host.request(0, round % 3, 0);
        ids.push(id);
        host.run(ms(20));
        // Node 1 is silent; the others answer.
        if host.sent().contains(&id) && round % 3 != 0 {
            host.end(id, 0, round % 3 + 1, Outcome::Served);
            served += 1;
        }
    }
    assert!(served >= 33, "the sound node and part of the cold one are used: {served}");
    let asks = host.log[start..].iter().filter(|(_, action)| *action == Action::Subscribe).count();
    assert_eq!(asks, 1, "asked again once, after a pause");
    host.run(ms(3500));
    let silent = ids.iter().step_by(3).filter(|id| host.sent().contains(id)).count();
    let answered = ids.iter().step_by(3).filter(|id| host.answers(**id).len() == 1).count();
    assert_eq!(silent + answered, 34, "each of the silent node's is out or answered");
}

#[test]
fn a_surge_of_one_volume_leaves_the_others_their_share() {
    let mut settings = safe();
    settings.plans[0].limit = Some(Limit { rate: 60.0, burst: 36.0, overdraft: 6.0 });
    let mut host = Host::new(settings, &[node(1, 0)]);
    warm_up(&mut host);
    let (mut calm, mut surge) = (0, 0);
    let mut open: Vec<NewRequest> = Vec::new();
    for _ in 0..150 {
        let mut wanted: Vec<NewRequest> = (0..6).map(|_| host.new_request(0, 0, 0)).collect();
        wanted.iter_mut().take(5).for_each(|new| (new.volume, new.volume_initiators) = (VolumeId(2), 3.0));
        wanted.iter_mut().skip(5).for_each(|new| new.volume = VolumeId(3));
        let events: Vec<Event> = wanted.iter().cloned().map(Event::Request).collect();
        host.handle(&events);
        open.extend(wanted);
        host.run(ms(20));
        let sent = host.sent();
        for new in open.extract_if(.., |new| sent.contains(&new.id)) {
            host.end(new.id, 0, 1, Outcome::Served);
            *(if new.volume == VolumeId(3) { &mut calm } else { &mut surge }) += 1;
        }
    }
    assert!(calm >= 75, "{calm} of 150 of the calm volume served beside {surge} of the surging one");
}

#[test]
fn an_empty_list_is_lived_through() {
    let mut host = Host::new(safe(), &[]);
    let mut new = host.new_request(0, 0, 0);
    new.shard = None;
    host.handle(&[Event::Request(new.clone())]);
    host.run(ms(300));
    host.list(ListKind::Full, &[node(9, 4)]);
    assert_eq!(host.sent(), [new.id], "a new object goes to the first node that is listed");
    host.list(ListKind::Full, &[]);
    let stranded = host.request(0, 4, 0);
    host.run(ms(4000));
    assert_eq!(host.answers(stranded).len(), 1);
}

#[test]
fn a_clock_that_jumps_far_ahead_answers_what_is_over() {
    let mut host = Host::new(safe(), &[node(1, 0)]);
    let ids: Vec<_> = (0..20).map(|_| host.request(0, 0, 0)).collect();
    let out = host.sent();
    host.now += ms(3_600_000);
    host.handle(&[Event::Wake]);
    for id in ids.iter().filter(|id| !out.contains(id)) {
        assert_eq!(host.answers(*id).len(), 1);
    }
    let fresh = host.request(0, 0, 0);
    host.run(ms(2000));
    assert!(host.sent().contains(&fresh) || host.answers(fresh).len() == 1);
}

#[test]
fn after_refused_connections_a_node_is_tried_one_at_a_time() {
    let mut host = Host::new(safe(), &[node(1, 0)]);
    warm_up(&mut host);
    let before = host.sent().len();
    for _ in 0..4 {
        host.request(0, 0, 0);
    }
    let out: Vec<_> = host.sent()[before..].to_vec();
    for id in &out {
        host.end(*id, 0, 1, Outcome::NotConnected);
    }
    let after = host.sent().len();
    host.run(ms(1000));
    assert!(host.sent().len() <= after + 1, "a single request out while it fails");
}

#[test]
fn a_broken_subscription_is_asked_for_again_after_a_pause() {
    let mut settings = safe();
    settings.list_on_request = true;
    let mut host = Host::new(settings, &[node(1, 0)]);
    let asked = |host: &Host| host.log.iter().filter(|(_, action)| *action == Action::Subscribe).count();
    assert_eq!(asked(&host), 1, "subscribed at the start");
    host.list(ListKind::Full, &[node(1, 0)]);
    host.list(ListKind::Failed, &[]);
    assert_eq!(asked(&host), 1, "not at once");
    host.run(ms(9000));
    assert_eq!(asked(&host), 2);
    let id = host.request(0, 0, 0);
    assert!(host.sent().contains(&id), "the old list stands");
}

#[test]
fn late_and_repeated_outcomes_change_nothing() {
    let mut host = Host::new(safe(), &[node(1, 0)]);
    let id = host.request(0, 0, 0);
    host.run(ms(20));
    host.end(id, 0, 1, Outcome::Served);
    let before = host.log.len();
    host.end(id, 0, 1, Outcome::TimedOut);
    let since: Vec<_> = host.log[before..].iter().filter(|(_, a)| !matches!(a, Action::WakeAt(_))).collect();
    assert!(since.is_empty(), "{since:?}");
}

#[test]
fn without_plans_and_keys_and_for_streams_it_works() {
    let mut settings = safe();
    settings.plans.clear();
    let mut host = Host::new(settings, &[node(1, 0)]);
    let id = host.request(0, 0, 0);
    assert_eq!(host.sent(), [id]);
    host.handle(&[Event::StreamStarted { id }]);
    host.run(ms(5000));
    assert!(host.answers(id).is_empty(), "a stream that has begun has no deadline");
    assert!(!host.log.iter().any(|(_, action)| matches!(action, Action::Cancel { .. })));
}

#[test]
fn late_answers_let_fewer_requests_through_and_quick_ones_all() {
    // ieb05fd, i99e5c3, iaf9229: one request of each of many hosts already keeps a node past its aim.
    let mut settings = safe();
    settings.units.base_rates = vec![20.0];
    let mut host = Host::new(settings, &[node(1, 0)]);
    let mut ended = 0;
    let mut sent_of_40 = |latency: Duration| {
        let before = (0..600).fold(0, |_, _| {
            host.request(0, 0, 0);
            host.run(latency);
            for id in host.sent().split_off(ended) {
                host.end(id, 0, 1, Outcome::Served);
                ended += 1;
            }
            ended
        });
        for _ in 0..40 {
            host.request(0, 0, 0);
            host.run(latency);
            for id in host.sent().split_off(ended) {
                host.end(id, 0, 1, Outcome::Served);
                ended += 1;
            }
        }
        ended - before
    };
    assert_eq!(sent_of_40(ms(100)), 40);
    let late = sent_of_40(ms(350));
    assert!((1..=20).contains(&late), "{late} of 40 let through");
    assert_eq!(sent_of_40(ms(100)), 40, "and back again");
}

#[test]
fn a_request_that_no_answer_can_reach_in_time_is_refused_at_once() {
    // ieb05fd: clients that leave early and come again.
    let mut host = Host::new(safe(), &[node(1, 0)]);
    for _ in 0..20 {
        let id = host.request(0, 0, 0);
        host.run(ms(300));
        host.end(id, 0, 1, Outcome::Served);
    }
    let mut new = host.new_request(0, 0, 0);
    new.deadline = host.now + ms(60);
    let actions = host.handle(&[Event::Request(new.clone())]);
    assert!(actions.contains(&Action::Refuse { id: new.id, retry_after: ms(2000) }), "{actions:?}");
    assert_eq!(sends(&actions), 0);
}

#[test]
fn a_late_request_waits_for_those_that_come_in_time() {
    let mut host = Host::new(safe(), &[node(1, 0)]);
    warm_up(&mut host);
    let filling: Vec<_> = (0..12).map(|_| host.request(0, 0, 0)).collect();
    let mut late = host.new_request(0, 0, 0);
    late.deadline -= ms(1000);
    host.handle(&[Event::Request(late.clone())]);
    let fresh = host.request(0, 0, 0);
    assert!(!host.sent().contains(&fresh) && !host.sent().contains(&late.id));
    host.run(ms(20));
    let mut first = None;
    for id in filling {
        if host.sent().contains(&id) {
            host.end(id, 0, 1, Outcome::Served);
        }
        first = first.or_else(|| host.sent().into_iter().find(|id| *id == fresh || *id == late.id));
    }
    assert_eq!(first, Some(fresh));
}

#[test]
fn odd_settings_are_lived_through() {
    for hosts in [0, 1] {
        let mut settings = safe();
        settings.initiators = hosts;
        settings.plans[0].weight = 0.0;
        settings.units.slow_start_units = 0.0;
        settings.plans[0].limit = Some(Limit { rate: 30.0, burst: 36.0, overdraft: 6.0 });
        let cold = NodeEntry { started: Some(START - ms(1)), ..node(2, 1) };
        let mut host = Host::new(settings, &[node(1, 0), cold]);
        let mut ids = Vec::new();
        for round in 0..40 {
            let mut new = host.new_request(0, round % 2, 0);
            // Volumes with no host, and with more hosts than their burst has units.
            new.volume_initiators = if round % 3 == 0 { 0.0 } else { 100.0 };
            new.volume = VolumeId(u64::from(round % 3));
            host.handle(&[Event::Request(new.clone())]);
            ids.push(new.id);
            host.run(ms(20));
        }
        host.run(ms(4000));
        let sent = host.sent();
        assert!(!sent.is_empty(), "{hosts} hosts");
        for id in ids.iter().filter(|id| !sent.contains(id)) {
            assert_eq!(host.answers(*id).len(), 1);
        }
    }
}

#[test]
fn absurd_reports_and_sizes_stop_nothing() {
    for used in [f64::NAN, f64::NEG_INFINITY, -5.0, 0.0, 1e300] {
        let mut host = Host::new(safe(), &[node(1, 0)]);
        let new = NewRequest { units: 1000.0, ..host.new_request(0, 0, 0) };
        host.handle(&[Event::Request(new.clone())]);
        assert_eq!(host.sent(), [new.id], "larger than the stated largest");
        host.now += ms(20);
        let served_elsewhere = -used;
        host.handle(&[Event::AttemptEnded(AttemptEnd {
            id: new.id,
            attempt: 0,
            node: NodeId(1),
            outcome: Outcome::Served,
            finished: true,
            latency: ms(20),
            volume_usage: Some(used),
            served_elsewhere,
        })]);
        // A clean report later: the volume is served again.
        let other = NewRequest { volume: VolumeId(2), ..host.new_request(0, 0, 0) };
        host.handle(&[Event::Request(other.clone())]);
        assert!(host.sent().contains(&other.id), "{used}");
        let mut again = Vec::new();
        for _ in 0..40 {
            again.push(host.request(0, 0, 0));
            host.run(ms(100));
            for id in host.sent().split_off(again.len().min(host.sent().len())) {
                host.end(id, 0, 1, Outcome::Served);
            }
        }
        host.run(ms(4000));
        let sent = host.sent();
        assert!(again.iter().all(|id| sent.contains(id) || host.answers(*id).len() == 1), "{used}");
    }
}

#[test]
fn an_unheard_node_that_is_gone_and_a_still_clock_change_nothing() {
    let mut host = Host::new(safe(), &[node(1, 0)]);
    host.list(ListKind::Delta, &[NodeEntry { state: NodeState::Gone, ..node(7, 1) }]);
    let (here, nowhere) = (host.request(0, 0, 0), host.request(0, 1, 0));
    for _ in 0..100 {
        host.handle(&[Event::Wake]);
    }
    assert_eq!(host.sent(), [here]);
    assert!(host.answers(nowhere).is_empty());
    host.run(ms(4000));
    assert_eq!(host.answers(nowhere).len(), 1);
}

#[test]
fn a_node_that_restarts_is_judged_anew() {
    // Ageing: slower and slower, then a crash; the process that comes back is not the slow one.
    let mut settings = safe();
    settings.units.base_rates = vec![20.0];
    let mut host = Host::new(settings, &[node(1, 0), node(2, 1)]);
    for _ in 0..20 {
        let (slow, sound) = (host.request(0, 0, 0), host.request(0, 1, 0));
        host.run(ms(50));
        if host.sent().contains(&sound) {
            host.end(sound, 0, 2, Outcome::Served);
        }
        host.run(ms(900));
        if host.sent().contains(&slow) {
            host.end(slow, 0, 1, Outcome::Served);
        }
    }
    let news: Vec<_> = (0..4).map(|_| host.request(0, 0, 0)).collect();
    let held = news.iter().filter(|id| !host.sent().contains(id)).count();
    assert!(held > 0, "the slow node is spared");
    host.list(ListKind::Delta, &[NodeEntry { started: Some(host.now - ms(20_000)), ..node(1, 0) }]);
    assert!(news.iter().filter(|id| !host.sent().contains(id)).count() < held, "warm again, it is used");
}

#[test]
fn a_request_without_an_attempt_is_refused_by_half_of_its_time() {
    // A client that is kept for longer before a no could have come again meanwhile.
    let mut host = Host::new(safe(), &[node(1, 0)]);
    let stuck: Vec<RequestId> = (0..8).map(|_| host.request(0, 0, 0)).collect();
    let start = host.now;
    host.run(ms(3000));
    let unsent: Vec<_> = stuck.iter().filter(|id| !host.sent().contains(id)).collect();
    assert!(!unsent.is_empty(), "the silent node bears less than all of them");
    for id in unsent {
        let answers = host.answers(*id);
        assert_eq!(answers.len(), 1);
        assert!(matches!(answers[0].1, Action::Refuse { retry_after, .. } if !retry_after.is_zero()));
        let after = answers[0].0 - start;
        assert!((ms(1400)..ms(1500)).contains(&after), "refused after {after:?} of 3 s");
    }
}

#[test]
fn a_draining_node_that_is_the_last_of_its_shard_is_used_for_most_of_the_grace() {
    let draining = |host: &mut Host, number| {
        host.list(ListKind::Delta, &[NodeEntry { state: NodeState::Draining, ..node(number, 0) }]);
    };
    let mut host = Host::new(safe(), &[node(1, 0), node(2, 1)]);
    draining(&mut host, 1);
    let first = host.request(0, 0, 0);
    assert!(host.sent().contains(&first), "it is still there");
    host.end(first, 0, 1, Outcome::Served);
    let grace = safe().rules.drain_grace;
    host.run(grace.mul_f64(0.9));
    let late = host.request(0, 0, 0);
    host.run(ms(50));
    assert!(!host.sent().contains(&late), "its grace is nearly over");
    let mut host = Host::new(safe(), &[node(1, 0), node(2, 0)]);
    draining(&mut host, 1);
    for _ in 0..8 {
        host.request(0, 0, 0);
    }
    let to_first =
        host.log.iter().filter(|(_, action)| matches!(action, Action::Send { node: NodeId(1), .. }));
    assert_eq!(to_first.count(), 0, "another node holds the shard");
}

#[test]
fn a_node_that_is_quick_with_errors_gets_no_new_objects_and_is_not_taken_for_a_quick_one() {
    let mut host = Host::new(safe(), &[node(1, 0), node(2, 1)]);
    // Both were known to be sound, the first as the quicker one.
    for (shard, latency) in [(0, 10), (1, 30)].repeat(20) {
        let id = host.request(0, shard, 0);
        host.run(ms(latency));
        host.end(id, 0, shard + 1, Outcome::Served);
    }
    let mut to_first = Vec::new();
    for round in 0..200 {
        let mut new = host.new_request(0, 0, 0);
        new.shard = None;
        host.handle(&[Event::Request(new.clone())]);
        let sent = host.log.iter().rev().find_map(|(_, action)| match action {
            Action::Send { id, node, .. } if *id == new.id => Some(node.0),
            _ => None,
        });
        let Some(to) = sent else { continue };
        to_first.extend((to == 1).then_some(round));
        // Node 1 fails at once, also when asked again; node 2 serves in its time.
        host.run(ms(if to == 1 { 1 } else { 30 }));
        if to == 2 {
            host.end(new.id, 0, 2, Outcome::Served);
        }
        for attempt in 0..4 * u32::from(to == 1) {
            host.end(new.id, attempt, 1, Outcome::Error);
        }
        host.run(ms(5));
    }
    assert!(to_first.len() < 10, "{} of 200 new objects went there", to_first.len());
    // What only it holds still goes there.
    let held = host.request(0, 0, 0);
    host.run(ms(20));
    assert!(host.sent().contains(&held));
}

#[test]
fn single_resets_shut_no_node_out_and_resets_in_a_row_do() {
    let mut host = Host::new(safe(), &[node(1, 0)]);
    warm_up(&mut host);
    // Every fourth connection is reset under its request, which is made again at once.
    for round in 0..40 {
        let id = host.request(0, 0, 0);
        assert!(host.sent().contains(&id), "request {round} waits");
        host.run(ms(10));
        if round % 4 == 0 {
            host.end(id, 0, 1, Outcome::Reset);
            assert_eq!(host.sent().iter().filter(|sent| **sent == id).count(), 2, "request {round}");
        }
        host.end(id, u32::from(round % 4 == 0), 1, Outcome::Served);
    }
    let (one, other) = (host.request(0, 0, 0), host.request(0, 0, 0));
    host.run(ms(10));
    host.end(one, 0, 1, Outcome::Reset);
    assert_eq!(host.sent().iter().filter(|id| **id == one).count(), 2, "beside the other");
    host.end(one, 1, 1, Outcome::Served);
    host.end(other, 0, 1, Outcome::Served);
    // Those out together when a process dies count once; what follows them fails as well.
    let ids: Vec<_> = (0..3).map(|_| host.request(0, 0, 0)).collect();
    host.run(ms(10));
    for attempt in 0..4 {
        ids.iter().for_each(|id| drop(host.end(*id, attempt, 1, Outcome::Reset)));
        host.run(ms(5));
    }
    let before = host.sent().len();
    for _ in 0..10 {
        host.request(0, 0, 0);
    }
    host.run(ms(400));
    assert!(host.sent().len() <= before + 1, "one at a time");
}

#[test]
fn what_waits_is_bounded_and_the_least_worthy_is_refused_at_once() {
    // r7b0367: requests that wait hold the connections that the next ones need.
    let classes = vec![Class { worth: 0.5, ..class(Effect::Safe) }, class(Effect::Safe)];
    let mut settings = settings(classes);
    settings.limits.max_queued = Some(6);
    let mut host = Host::new(settings, &[node(1, 0)]);
    let asked: Vec<(usize, RequestId)> = (0..40).map(|at| (at % 2, host.request(at % 2, 0, 0))).collect();
    let held = |host: &Host, class: usize| {
        let waits = |id: RequestId| !host.sent().contains(&id) && host.answers(id).is_empty();
        asked.iter().filter(|(one, id)| *one == class && waits(*id)).count()
    };
    assert_eq!(held(&host, 0) + held(&host, 1), 6);
    assert!(held(&host, 1) >= 5, "those that are worth more are kept");
    assert_eq!(host.now, START, "nobody waited for a no");
    let refused = |host: &Host| asked.iter().filter(|(_, id)| !host.answers(*id).is_empty()).count();
    assert_eq!(refused(&host) + host.sent().len() + 6, 40);
}

#[test]
fn an_answer_that_is_lost_where_later_ones_came_shuts_no_node_out() {
    let settings = settings(vec![class(Effect::Safe), class(Effect::Unsafe)]);
    let mut host = Host::new(settings, &[node(1, 0)]);
    warm_up(&mut host);
    // Two writes that may not be withdrawn, on connections that have fallen silent.
    let silent = [host.request(1, 0, 0), host.request(1, 0, 0)];
    for _ in 0..40 {
        let id = host.request(0, 0, 0);
        host.run(ms(20));
        assert!(host.sent().contains(&id), "the node answers all others");
        host.end(id, 0, 1, Outcome::Served);
    }
    host.end(silent[0], 0, 1, Outcome::TimedOut);
    let both = [host.request(0, 0, 0), host.request(0, 0, 0)];
    assert!(both.iter().all(|id| host.sent().contains(id)), "it is no failure of the node");
    // Now the node does fall silent, and is tried again one at a time, though the other write is still out.
    host.end(both[0], 0, 1, Outcome::Served);
    host.run(ms(500));
    host.end(both[1], 0, 1, Outcome::TimedOut);
    let next = host.request(0, 0, 0);
    assert!(host.sent().contains(&next));
}

#[test]
fn clients_that_go_away_do_not_tell_against_the_node_that_worked_for_them() {
    let sent_after = |gone: usize| {
        let mut settings = safe();
        // Most of what is asked lies beyond the reserve, where the node's level decides.
        settings.plans[0].reserve = 1.0;
        let mut host = Host::new(settings, &[node(1, 0)]);
        warm_up(&mut host);
        for _ in 0..30 {
            let id = host.request(0, 0, 0);
            host.run(ms(20));
            if gone == 0 {
                host.end(id, 0, 1, Outcome::Served);
                continue;
            }
            let withdrawn = host.handle(&[Event::ClientGone { id }]);
            assert!(withdrawn.contains(&Action::Cancel { id, attempt: 0 }));
            let (attempt, node, outcome, finished) = (0, NodeId(1), Outcome::Cancelled, true);
            let (latency, volume_usage, served_elsewhere) = (ms(20), None, 0.0);
            let end =
                AttemptEnd { id, attempt, node, outcome, finished, latency, volume_usage, served_elsewhere };
            host.handle(&[Event::AttemptEnded(end)]);
        }
        let asked: Vec<RequestId> = (0..6).map(|_| host.request(0, 0, 0)).collect();
        asked.iter().filter(|id| host.sent().contains(id)).count()
    };
    assert_eq!(sent_after(30), sent_after(0));
    assert!(sent_after(0) > 2);
}

#[test]
fn a_host_that_was_kept_from_its_work_does_not_take_its_nodes_for_silent() {
    let overdue = |late: Duration| {
        let mut host = Host::new(safe(), &[node(1, 0)]);
        warm_up(&mut host);
        let ids = [host.request(0, 0, 0), host.request(0, 0, 0)];
        host.now += ms(100);
        host.handle(&[Event::LoopDelayed { by: late }]);
        let more = host.request(0, 0, 0);
        (host.sent().contains(&ids[1]), host.sent().contains(&more))
    };
    assert_eq!(overdue(ms(100)), (true, true), "they may be answered, and not read yet");
    assert_eq!(overdue(Duration::ZERO), (true, false));
}

#[test]
fn attempts_whose_values_take_their_time_hold_no_place_at_their_node() {
    let mut host = Host::new(safe(), &[node(1, 0)]);
    warm_up(&mut host);
    let out: Vec<RequestId> = (0..12).map(|_| host.request(0, 0, 0)).collect();
    let sent = |host: &Host| host.sent().into_iter().filter(|id| out.contains(id)).collect::<Vec<_>>();
    let before = sent(&host);
    assert!(before.len() < out.len(), "the others wait for a place");
    for id in &before {
        host.handle(&[Event::StreamStarted { id: *id }]);
    }
    assert!(sent(&host).len() > before.len(), "{} were sent, and their answers are on the way", before.len());
}

#[test]
fn a_node_that_failed_is_tried_again_while_a_value_of_it_is_on_its_way() {
    let mut host = Host::new(safe(), &[node(1, 0)]);
    warm_up(&mut host);
    let slow = host.request(0, 0, 0);
    host.handle(&[Event::StreamStarted { id: slow }]);
    let turned_away = host.request(0, 0, 0);
    host.end(turned_away, 0, 1, Outcome::Rejected);
    host.run(ms(300));
    assert_eq!(host.sent().iter().filter(|id| **id == turned_away).count(), 2);
}

#[test]
fn a_request_that_is_turned_away_again_and_again_does_not_shut_its_node_out() {
    // A reader that names another shard than the one that holds its piece.
    let mut host = Host::new(safe(), &[node(1, 0)]);
    warm_up(&mut host);
    let misled = host.request(0, 0, 0);
    for attempt in 0..4 {
        host.end(misled, attempt, 1, Outcome::Rejected);
        host.run(ms(80));
    }
    let answered = host.answers(misled);
    assert!(!answered.is_empty(), "four attempts are the most");
    let before = host.sent().len();
    host.request(0, 0, 0);
    host.run(ms(20));
    assert_eq!(host.sent().len(), before + 1, "the node takes the next one at once");
}

#[test]
fn a_node_whose_answers_came_too_late_is_tried_again_once_they_are_long_ago() {
    // Late answers are worth nothing here, so that none would ever be asked for again.
    let mut host = Host::new(settings(vec![Class { late_worth: 0.0, ..class(Effect::Safe) }]), &[node(1, 0)]);
    for _ in 0..20 {
        let id = host.request(0, 0, 0);
        host.run(ms(1400));
        if host.sent().contains(&id) {
            host.end(id, 0, 1, Outcome::Served);
        }
    }
    host.run(ms(25_000));
    let before = host.sent().len();
    for _ in 0..30 {
        host.request(0, 0, 0);
        host.run(ms(50));
    }
    assert!(host.sent().len() > before);
}
