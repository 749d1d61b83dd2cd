//! Each rule reports a planted fault, and accepts a history just within its bounds.

use super::*;
use crate::soak::history::ListedLine;

const GRACE: Duration = ms(2_000);

struct Seen {
    start: Instant,
    history: History,
}

impl Seen {
    /// A history with one read that node 3 served, answered 500 ms after it was sent.
    fn new() -> Self {
        let start = Instant::now();
        let end = Some((start + ms(500), End::Answered { served: true }));
        let request = Request {
            id: "a".into(),
            kind: Kind::Read,
            sent: start,
            timeout: ms(1_000),
            reused: false,
            next_since: None,
            connected_at: None,
            end,
        };
        let attempt = Attempt { id: "a".into(), node: 3, started_at: start + ms(10), time_left: ms(980) };
        let history = History {
            requests: vec![request],
            attempts: vec![attempt],
            grace: GRACE,
            window: ms(5_000),
            descriptors: (100, 512),
            ..History::default()
        };
        Seen { start, history }
    }

    fn end(mut self, after: u64, end: End) -> Self {
        self.history.requests[0].end = Some((self.start + ms(after), end));
        self
    }

    fn again(mut self, node: usize, after: u64) -> Self {
        self.history.requests[0].kind = Kind::Write;
        // Long enough that the `deadline` rule is not violated as well.
        self.history.requests[0].timeout = ms(6_000);
        let started_at = self.start + ms(after);
        self.history.attempts.push(Attempt { id: "a".into(), node, started_at, time_left: ms(1) });
        self
    }

    fn listed(mut self, listing: Listing, before: u64) -> Self {
        let at = self.start.checked_sub(ms(before)).unwrap();
        self.history.listed.push(ListedLine { node: 3, listing, at });
        self
    }

    fn broken(&self) -> Vec<&'static str> {
        check(&self.history).into_iter().map(|breach| breach.rule).collect()
    }
}

#[test]
fn what_is_allowed_breaks_nothing() {
    assert!(Seen::new().broken().is_empty());
    assert!(Seen::new().end(1_499, End::Answered { served: false }).broken().is_empty());
    assert!(Seen::new().again(3, 4_000).broken().is_empty());
}

#[test]
fn a_request_without_an_answer_in_its_time_is_lost() {
    assert_eq!(Seen::new().end(1_501, End::Answered { served: true }).broken(), ["lost"]);
    assert_eq!(Seen::new().end(300, End::Closed).broken(), ["lost"]);
    let mut never = Seen::new();
    never.history.requests[0].end = None;
    assert_eq!(never.broken(), ["lost"]);
}

#[test]
fn a_request_may_end_with_a_long_value_that_was_begun_and_the_wait_for_earlier_answers_does_not_count() {
    let mut cut_off = Seen::new().end(300, End::CutOff { value_of: "a".into() });
    assert_eq!(cut_off.broken(), ["lost"], "the node has sent the whole value");
    cut_off.history.reset_values.insert("a".into());
    assert!(cut_off.broken().is_empty());
    let mut waited = Seen::new().end(3_400, End::Answered { served: true });
    waited.history.requests[0].next_since = Some(waited.start + ms(2_901));
    assert!(waited.broken().is_empty());
    waited.history.requests[0].next_since = Some(waited.start + ms(2_899));
    assert_eq!(waited.broken(), ["lost"]);
}

/// Guards against an excuse for requests that are ended with a value which was begun although they waited behind it.
#[test]
fn a_request_behind_a_long_value_ends_with_it_only_after_the_deadline_of_the_value() {
    let behind = |after: u64| {
        let mut seen = Seen::new();
        let value = Request { end: None, ..seen.history.requests[0].clone() };
        seen.history.requests[0].id = "b".into();
        seen.history.requests[0].timeout = ms(3_000);
        seen.history.requests.push(value);
        let end = End::CutOff { value_of: "a".into() };
        seen.history.requests[1].end = Some((seen.start + ms(after), end.clone()));
        seen.history.reset_values.insert("a".into());
        seen.end(after, end).broken()
    };
    assert_eq!(behind(940), ["lost"]);
    assert!(behind(960).is_empty(), "the deadline and the slack of sockets");
}

/// Guards against an excuse for requests that were read: only new connections that are closed unread are excused where
/// descriptors are short.
#[test]
fn in_a_crowd_a_new_connection_may_be_closed_only_if_no_node_has_begun_its_request() {
    let mut seen = Seen::new().end(300, End::Closed);
    seen.history.crowded = true;
    assert_eq!(seen.broken(), ["lost"]);
    seen.history.attempts.clear();
    assert!(seen.broken().is_empty());
}

#[test]
fn what_sigkill_finds_open_is_lost_unless_it_came_soon_after_sigterm() {
    let killed = |sent_after_term: u64| {
        let mut seen = Seen::new().end(600, End::Closed);
        let terminated = seen.start.checked_sub(ms(sent_after_term)).unwrap();
        seen.history.terminated = Some(terminated);
        seen.history.killed = Some(seen.start + ms(600));
        seen.broken()
    };
    assert!(killed(699).is_empty());
    assert_eq!(killed(701), ["lost"]);
}

#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_sent_again() {
    let mut seen = Seen::new().end(10, End::Closed);
    assert_eq!(seen.broken(), ["lost"], "a new connection");
    seen.history.requests[0].reused = true;
    assert!(seen.broken().is_empty());
}

#[test]
fn a_write_runs_at_one_shard_within_its_window() {
    assert_eq!(Seen::new().again(4, 20).broken(), ["duplicate"]);
    assert_eq!(Seen::new().again(3, 5_100).broken(), ["duplicate"]);
}

#[test]
fn nothing_begins_for_a_client_that_left() {
    let mut seen = Seen::new().end(20, End::Left);
    assert!(seen.broken().is_empty());
    seen.history.attempts[0].started_at = seen.start + ms(200);
    seen.history.attempts[0].time_left = ms(500);
    assert_eq!(seen.broken(), ["gone"]);
}

#[test]
fn a_node_is_told_no_more_than_its_client_has_left() {
    let mut seen = Seen::new();
    seen.history.attempts[0].time_left = ms(1_145);
    assert_eq!(seen.broken(), ["deadline"]);
}

#[test]
fn nothing_begins_after_the_grace_of_a_drain() {
    assert_eq!(Seen::new().listed(Listing::Draining, 2_100).broken(), ["drain"]);
    assert!(Seen::new().listed(Listing::Draining, 1_900).broken().is_empty());
    let again = Seen::new().listed(Listing::Gone, 9_000).listed(Listing::Ready, 100);
    assert!(again.broken().is_empty(), "it is listed again");
    assert_eq!(Seen::new().listed(Listing::Draining, 2_500).listed(Listing::Gone, 100).broken(), ["drain"]);
}

#[test]
fn a_crash_and_too_many_descriptors_are_seen() {
    let mut seen = Seen::new();
    seen.history.ended = Some(seen.start);
    seen.history.descriptors = (513, 512);
    assert_eq!(seen.broken(), ["crash", "descriptors"]);
}

#[test]
fn something_that_is_no_answer_is_seen() {
    assert_eq!(Seen::new().end(20, End::Garbled("?".into())).broken(), ["answer"]);
}
