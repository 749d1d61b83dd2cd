use super::*;
use proptest::prelude::*;

const LIST: &str = r#"{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:6379",
    "zone":"a","type":"m2","group":3,"status":"leaving","weight":1.0,"since_ms":0}]}"#;

#[test]
fn an_answer_is_taken_whole_however_it_is_cut() {
    let plain = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}", LIST.len());
    let (one, two) = LIST.split_at(30);
    let chunks = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{one}\r\n{:x}\r\n{two}\r\n0\r\n\r\n",
        one.len(),
        two.len()
    );
    let interim = format!("HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n{plain}");
    for whole in [plain, chunks, interim] {
        let mut came = Vec::new();
        for (cut, byte) in whole.bytes().enumerate() {
            assert_eq!(take_answer(&mut came, false), Ok(None), "cut at {cut}");
            came.push(byte);
        }
        let mut input = [whole.as_bytes(), b"HTTP"].concat();
        let (code, body) = take_answer(&mut input, false).unwrap().unwrap();
        assert_eq!(code, 200);
        assert_eq!(ListMessage::parse(&body).unwrap().endpoints[0].status, Status::Leaving);
        assert_eq!(input, b"HTTP");
    }
}

fn manner(initiators: u32, on_request: bool, grace: Duration) -> Manner {
    let rules = crate::interface::Rules { drain_grace: grace, ..Default::default() };
    let settings = Settings { initiators, list_on_request: on_request, rules, ..Default::default() };
    Manner::new(&settings, 7)
}

/// A pause is drawn up to half as long again as its mean.
fn longest(mean: Duration) -> Duration {
    mean.mul_f64(1.5)
}

/// What discovery may take for an answer before it turns the call away, as its deployments have it.
const TURNS_AWAY: Duration = Duration::from_secs(1);
/// From when discovery had a change, and could be reached, until it counts as told.
const TERM: Duration = Duration::from_secs(6);

proptest! {
    #[test]
    fn the_age_of_news_is_bounded_whatever_becomes_of_the_calls(
        hosts in 1u32..2000,
        grace_ms in 200u64..20_000,
    ) {
        let grace = Duration::from_millis(grace_ms);
        // The agent costs nothing, and its list counts at once: a silence, the pause and a silent connection after it.
        let pushed = manner(hosts, false, grace);
        let age = pushed.wait + pushed.silence + longest(pushed.pause) + pushed.silence;
        // Below 0.32 s a silence is not shortened any more: a busy machine would be taken for a silent agent.
        let part = if grace_ms < 320 { 0.7 } else { 0.6 };
        prop_assert!(age <= grace.mul_f64(part) && age < TERM && pushed.spread.is_zero(), "{age:?} of {grace:?}");
        // Asked: a silent watch and the next call; a refusal at its latest between two calls; the longest pause and
        // the call after it; a new process; a new configuration, which counts after four seconds.
        let asked = manner(hosts, true, grace);
        let silent = asked.wait + asked.silence + longest(asked.pause) + TURNS_AWAY;
        let refused = TURNS_AWAY + longest(asked.overbooked.0) + TURNS_AWAY;
        let paused = longest(asked.overbooked.1) + TURNS_AWAY;
        for age in [silent, refused, silent + longest(asked.overbooked.0), paused] {
            prop_assert!(age < TERM - Duration::from_millis(500), "{age:?}");
        }
        prop_assert!(asked.spread + TURNS_AWAY < Duration::from_secs(4));
    }
}

/// A discovery that takes calls in turn, `each` for one, and turns away who would wait for longer than a second, once
/// that second is over. All of a fleet come at once; returns when the last had its list, and how many were turned away.
fn all_at_once(hosts: u32, each: Duration) -> (Duration, u32) {
    let manner = Manner { seed: 0, ..manner(hosts, true, Duration::from_secs(1)) };
    let mut askers: Vec<Backoff> = (0..hosts)
        .map(|host| {
            let seed = u64::from(host).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            Backoff::new(manner.overbooked.0, manner.overbooked.1, seed)
        })
        .collect();
    // Those whose watches ended with discovery pause before they come again.
    let starts = (0..hosts).zip(&mut askers);
    let mut calls: std::collections::BTreeSet<(Duration, u32)> =
        starts.map(|(host, asker)| (manner.pause.mul_f64(0.5 + asker.draw()), host)).collect();
    let (mut free, mut last, mut in_vain) = (Duration::ZERO, Duration::ZERO, 0);
    while let Some((at, host)) = calls.pop_first() {
        if free.max(at) + each - at < TURNS_AWAY {
            free = free.max(at) + each;
            last = last.max(free);
            continue;
        }
        in_vain += 1;
        calls.insert((at + TURNS_AWAY + askers[host as usize].pause(), host));
    }
    (last, in_vain)
}

#[test]
fn three_hundred_that_lose_their_watches_together_hear_in_time_and_keep_to_what_discovery_can_do() {
    // A fleet's watches that hear nothing come back in turn: what they ask of discovery in the mean.
    let asked = manner(300, true, Duration::from_secs(1));
    let a_second = 300.0 / asked.wait.as_secs_f64();
    // A discovery that can do this twice over, and is all of a fleet's at once.
    let (last, in_vain) = all_at_once(300, Duration::from_secs_f64(0.5 / a_second));
    assert!(last < TERM, "after {last:?}, {in_vain} turned away");
    // Where they come again at once, most calls are in vain; so are they where discovery cannot do it at all.
    assert!(in_vain < 300, "{in_vain} turned away");
    let (last, in_vain) = all_at_once(48, Duration::from_millis(125));
    assert!(last < Duration::from_secs(15) && in_vain < 4 * 48, "after {last:?}, {in_vain} turned away");
}

#[test]
fn changes_before_the_known_list_are_passed_over_and_a_whole_list_counts_anew() {
    let (address, now) = (SocketAddr::from(([127, 0, 0, 1], 1)), Instant::now());
    let message = |index, snapshot| ListMessage { index, snapshot, endpoints: Vec::new() };
    let discovery = || Discovery::new(address, Token(9), now, Some(41), manner(1, true, TERM));
    assert!(!discovery().is_older(now, &message(42, false)));
    // A registry that counts anew: what its changes go on from is not the known list.
    assert!(discovery().is_older(now, &message(3, false)));
    assert!(!discovery().is_older(now, &message(3, true)));
}

#[test]
fn answers_that_are_no_list_are_errors() {
    for bad in [
        "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "nonsense\r\n\r\n",
    ] {
        assert!(take_answer(&mut bad.as_bytes().to_vec(), true).is_err(), "{bad}");
    }
    assert!(take_answer(&mut b"HTTP/1.1 100 Continue\r\n\r\n".repeat(9), false).is_err());
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
fn an_answer_without_a_length_is_whole_at_an_orderly_end_and_a_cut_one_never_is() {
    let plain = format!("HTTP/1.1 200 OK\r\n\r\n{LIST}").into_bytes();
    assert_eq!(take_answer(&mut plain.clone(), false), Ok(None), "more may come");
    assert_eq!(take_answer(&mut plain.clone(), true), Ok(Some((200, LIST.as_bytes().to_vec()))));
    let endless = [plain, vec![b' '; LONGEST_ANSWER]].concat();
    assert!(take_answer(&mut endless.clone(), false).is_err());
    let short = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}", LIST.len() + 1);
    let cut = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{LIST}\r\n", LIST.len());
    for cut in [short, cut] {
        assert_eq!(take_answer(&mut cut.into_bytes(), true), Ok(None));
    }
}
