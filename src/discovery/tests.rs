use super::*;
use proptest::prelude::*;

const LIST: &str = r#"{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:6379",
    "zone":"a","type":"m2","group":3,"status":"leaving","weight":1.0,"since_ms":0}]}"#;

#[test]
fn a_response_is_parsed_only_once_it_is_complete() {
    let plain = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}", LIST.len());
    let (one, two) = LIST.split_at(30);
    let chunks = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{one}\r\n{:x}\r\n{two}\r\n0\r\n\r\n",
        one.len(),
        two.len()
    );
    let interim = format!("HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n{plain}");
    for whole in [plain, chunks, interim] {
        let mut received = Vec::new();
        for (cut, byte) in whole.bytes().enumerate() {
            assert_eq!(take_response(&mut received, false), Ok(None), "cut at {cut}");
            received.push(byte);
        }
        let mut input = [whole.as_bytes(), b"HTTP"].concat();
        let (code, body) = take_response(&mut input, false).unwrap().unwrap();
        assert_eq!(code, 200);
        assert_eq!(ListMessage::parse(&body).unwrap().endpoints[0].status, Status::Leaving);
        assert_eq!(input, b"HTTP");
    }
}

fn policy(initiators: u32, on_request: bool, grace: Duration) -> PollingPolicy {
    let rules = crate::interface::Rules { drain_grace: grace, ..Default::default() };
    let settings = Settings { initiators, list_on_request: on_request, rules, ..Default::default() };
    PollingPolicy::new(&settings, 7)
}

/// The longest pause with this mean, after jitter.
fn longest(mean: Duration) -> Duration {
    mean.mul_f64(1.5)
}

/// How long a call may wait before an overloaded discovery refuses it, as in its deployments.
const OVERLOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time from when discovery has a change, and can be reached, until the change has to be known here.
const MAX_AGE: Duration = Duration::from_secs(6);

proptest! {
    #[test]
    fn the_age_of_changes_is_bounded_whether_calls_time_out_or_are_refused(
        initiators in 1u32..2000,
        grace_ms in 200u64..20_000,
    ) {
        let grace = Duration::from_millis(grace_ms);
        // Local agent: a response timeout, the pause, and a connection that does not respond.
        let agent = policy(initiators, false, grace);
        let age = agent.wait + agent.response_timeout + longest(agent.pause) + agent.response_timeout;
        // With a grace below 0.32 s the response timeout is at its lower bound, so that a busy machine is not taken
        // for a silent agent.
        let part = if grace_ms < 320 { 0.7 } else { 0.6 };
        prop_assert!(age <= grace.mul_f64(part) && age < MAX_AGE && agent.spread.is_zero(), "{age:?} of {grace:?}");
        // Central discovery: a watch that times out and the next call; a refusal at the last moment between two calls;
        // the longest pause and the call after it; a new process; a new configuration, in force after four seconds.
        let central = policy(initiators, true, grace);
        let silent = central.wait + central.response_timeout + longest(central.pause) + OVERLOAD_TIMEOUT;
        let refused = OVERLOAD_TIMEOUT + longest(central.overloaded.0) + OVERLOAD_TIMEOUT;
        let paused = longest(central.overloaded.1) + OVERLOAD_TIMEOUT;
        for age in [silent, refused, silent + longest(central.overloaded.0), paused] {
            prop_assert!(age < MAX_AGE - Duration::from_millis(500), "{age:?}");
        }
        prop_assert!(central.spread + OVERLOAD_TIMEOUT < Duration::from_secs(4));
    }
}

/// Simulates a discovery service that handles calls one after another in `each`, and refuses those that would wait for
/// more than a second once that second is over. All initiators lose their watches at once. Returns when the last one
/// had its list, and how many calls were refused.
fn reconnect_together(initiators: u32, each: Duration) -> (Duration, u32) {
    let policy = PollingPolicy { seed: 0, ..policy(initiators, true, Duration::from_secs(1)) };
    let mut clients: Vec<Backoff> = (0..initiators)
        .map(|initiator| {
            let seed = u64::from(initiator).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            Backoff::new(policy.overloaded.0, policy.overloaded.1, seed)
        })
        .collect();
    // Initiators whose watches were cut pause before they reconnect.
    let starts = (0..initiators).zip(&mut clients);
    let mut calls: std::collections::BTreeSet<(Duration, u32)> = starts
        .map(|(initiator, client)| (policy.pause.mul_f64(0.5 + client.fraction()), initiator))
        .collect();
    let (mut free, mut last, mut rejected) = (Duration::ZERO, Duration::ZERO, 0);
    while let Some((at, initiator)) = calls.pop_first() {
        if free.max(at) + each - at < OVERLOAD_TIMEOUT {
            free = free.max(at) + each;
            last = last.max(free);
            continue;
        }
        rejected += 1;
        calls.insert((at + OVERLOAD_TIMEOUT + clients[initiator as usize].pause(), initiator));
    }
    (last, rejected)
}

#[test]
fn three_hundred_initiators_that_lose_their_watches_together_get_the_list_in_time_without_overload() {
    // The mean call rate of a fleet whose watches return without changes.
    let central = policy(300, true, Duration::from_secs(1));
    let a_second = 300.0 / central.wait.as_secs_f64();
    // A discovery with twice that capacity, when the whole fleet calls at once.
    let (last, rejected) = reconnect_together(300, Duration::from_secs_f64(0.5 / a_second));
    assert!(last < MAX_AGE, "after {last:?}, {rejected} turned away");
    // With immediate retries most calls would be refused; also with a discovery that is too slow for the fleet.
    assert!(rejected < 300, "{rejected} turned away");
    let (last, rejected) = reconnect_together(48, Duration::from_millis(125));
    assert!(last < Duration::from_secs(15) && rejected < 4 * 48, "after {last:?}, {rejected} turned away");
}

#[test]
fn changes_older_than_the_known_list_are_ignored_and_a_full_list_is_accepted() {
    let (address, now) = (SocketAddr::from(([127, 0, 0, 1], 1)), Instant::now());
    let message = |index, snapshot| ListMessage { index, snapshot, endpoints: Vec::new() };
    let discovery = || Discovery::new(address, Token(9), now, Some(41), policy(1, true, MAX_AGE));
    assert!(!discovery().is_older(now, &message(42, false)));
    // A registry that restarted its numbering: its changes don't continue the known list.
    assert!(discovery().is_older(now, &message(3, false)));
    assert!(!discovery().is_older(now, &message(3, true)));
}

#[test]
fn invalid_responses_and_lists_are_errors() {
    for bad in [
        "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "nonsense\r\n\r\n",
    ] {
        assert!(take_response(&mut bad.as_bytes().to_vec(), true).is_err(), "{bad}");
    }
    assert!(take_response(&mut b"HTTP/1.1 100 Continue\r\n\r\n".repeat(9), false).is_err());
    for bad in [
        "{}",
        "[]",
        &LIST.replace("leaving", "asleep"),
        &LIST.replace("\"since_ms\":0", "\"since_ms\":-1"),
        &LIST.replace("\"since_ms\":0", "\"since_ms\":1e300"),
    ] {
        assert!(ListMessage::parse(bad.as_bytes()).is_err(), "{bad}");
    }
}

#[test]
fn a_response_without_length_is_complete_at_an_orderly_close_and_a_truncated_one_never_is() {
    let plain = format!("HTTP/1.1 200 OK\r\n\r\n{LIST}").into_bytes();
    assert_eq!(take_response(&mut plain.clone(), false), Ok(None), "more may arrive");
    assert_eq!(take_response(&mut plain.clone(), true), Ok(Some((200, LIST.as_bytes().to_vec()))));
    let endless = [plain, vec![b' '; MAX_RESPONSE_BYTES]].concat();
    assert!(take_response(&mut endless.clone(), false).is_err());
    let short = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}", LIST.len() + 1);
    let cut = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{LIST}\r\n", LIST.len());
    for cut in [short, cut] {
        assert_eq!(take_response(&mut cut.into_bytes(), true), Ok(None));
    }
}
