//! Checks the history that the stand-ins recorded in a run against the rules that a client and a node rely on.

use super::history::{Attempt, End, History, Kind, Listing, Request};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
/// Allowed lateness of a final answer after the request's deadline.
const ANSWER_SLACK: Duration = ms(500);
/// A request sent within this time after SIGTERM may still be in flight when the process is killed.
const LATE_AFTER_TERM: Duration = ms(700);
/// Allowed time between the departure of a client and the start of its last attempt.
const DEPARTURE_SLACK: Duration = ms(100);
/// A node may be told a remaining time that exceeds its client's by this.
const TIME_LEFT_SLACK: Duration = ms(150);
/// Added to every time limit for the delay of real sockets.
const SOCKET_SLACK: Duration = ms(50);
/// An idle connection that closes this soon after a request was written to it was closed before the request arrived.
const CLOSE_RACE: Duration = ms(30);

/// A violated rule, with a description of the violation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    pub rule: &'static str,
    pub what: String,
}

/// Returns all violations found in a run.
pub fn check(history: &History) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let mut breach = |rule, what: Option<String>| breaches.extend(what.map(|what| Breach { rule, what }));
    let attempts = by_id(&history.attempts);
    for request in &history.requests {
        let own = attempts.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        breach("lost", lost(history, request, own));
        breach("answer", invalid_answer(request));
        breach("duplicate", duplicate(history, request, own));
        for attempt in own {
            breach("gone", after_client_left(history, request, attempt));
            breach("deadline", excessive_time_left(history, request, attempt));
        }
    }
    for attempt in &history.attempts {
        breach("drain", after_drain(history, attempt));
    }
    breach("crash", crash(history));
    breach("descriptors", descriptors(history));
    breaches
}

fn by_id(attempts: &[Attempt]) -> HashMap<&str, Vec<&Attempt>> {
    let mut all: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in attempts {
        all.entry(&attempt.id).or_default().push(attempt);
    }
    all
}

/// Returns the tolerance for times measured at two sockets: socket delay, the stand-ins' own delay, and the longest
/// time that the process was stopped.
fn slack(history: &History) -> Duration {
    let longest_hold = history.holds.iter().map(|(from, to)| *to - *from).max().unwrap_or_default();
    // The rules allow a process to be stopped for 0.15 s, and no plan stops it for longer.
    SOCKET_SLACK + history.standstill + longest_hold.min(TIME_LEFT_SLACK)
}

fn lost(history: &History, request: &Request, attempts: &[&Attempt]) -> Option<String> {
    let deadline = (request.sent + request.timeout).max(request.next_since.unwrap_or(request.sent));
    let over = deadline + ANSWER_SLACK + history.standstill;
    let is_excused = match (history.terminated, history.killed) {
        // In flight at SIGKILL, which is allowed for requests sent up to LATE_AFTER_TERM after SIGTERM.
        (Some(terminated), Some(killed)) => {
            request.sent <= terminated + LATE_AFTER_TERM + history.standstill && over > killed
        }
        _ => false,
    };
    let sent_after_kill = history.killed.is_some_and(|killed| request.sent + history.standstill >= killed);
    if sent_after_kill {
        return None;
    }
    match &request.end {
        Some((at, End::Answered { .. })) if *at <= over => None,
        Some((_, End::Left | End::Unreached | End::Garbled(_))) => None,
        Some((at, End::CutOff { value_of })) if may_end_with_value(history, request, value_of, *at) => None,
        Some((at, End::Closed)) if request.reused && *at - request.sent < CLOSE_RACE + history.standstill => {
            None
        }
        // Where descriptors are short, new connections may be closed unread.
        Some((_, End::Closed)) if history.crowded && !request.reused && attempts.is_empty() => None,
        _ if is_excused => None,
        Some((at, end)) => Some(format!(
            "{}: {end:?} {:?} after it was sent, its timeout is {:?}",
            request.id,
            *at - request.sent,
            request.timeout
        )),
        None => Some(format!("{}: no answer, its timeout is {:?}", request.id, request.timeout)),
    }
}

/// Whether a request may end with a long value that its connection was closed within at `at`. Once a part of a value was
/// passed on, only the end of the connection tells that it is not whole; but with requests behind it, it is begun only
/// when it is whole, or by its deadline.
fn may_end_with_value(history: &History, request: &Request, value_of: &str, at: Instant) -> bool {
    let was_due = |value: &Request| value.sent + value.timeout <= at + SOCKET_SLACK + history.standstill;
    let value = history.requests.iter().find(|other| other.id == value_of);
    let is_behind = request.id != value_of;
    history.reset_values.contains(value_of) && (!is_behind || value.is_some_and(was_due))
}

fn invalid_answer(request: &Request) -> Option<String> {
    match &request.end {
        Some((_, End::Garbled(text))) => Some(format!("{}: {text}", request.id)),
        _ => None,
    }
}

/// A write runs at one shard only, and is repeated only within that shard's deduplication window.
fn duplicate(history: &History, request: &Request, attempts: &[&Attempt]) -> Option<String> {
    let first = attempts.first().filter(|_| request.kind == Kind::Write)?;
    let limit = first.started_at + history.window + slack(history);
    attempts.iter().skip(1).find_map(|again| {
        let elsewhere = again.node != first.node;
        (elsewhere || again.started_at > limit).then(|| {
            let after = again.started_at - first.started_at;
            format!("{}: at node {} and {after:?} later at node {}", request.id, first.node, again.node)
        })
    })
}

fn after_client_left(history: &History, request: &Request, attempt: &Attempt) -> Option<String> {
    let left = match &request.end {
        Some((at, End::Left)) => *at,
        _ => return None,
    };
    let limit = left + DEPARTURE_SLACK + slack(history);
    (attempt.started_at > limit)
        .then(|| format!("{}: starts {:?} after its client left", request.id, attempt.started_at - left))
}

fn excessive_time_left(history: &History, request: &Request, attempt: &Attempt) -> Option<String> {
    let limit = request.sent + request.timeout + TIME_LEFT_SLACK + history.standstill;
    let told_deadline = attempt.started_at + attempt.time_left;
    (told_deadline > limit).then(|| {
        let beyond = told_deadline - (request.sent + request.timeout);
        format!("{}: a node was told a remaining time {beyond:?} beyond its client's deadline", request.id)
    })
}

/// No attempt starts at a node later than the drain grace after it was listed as draining or gone.
fn after_drain(history: &History, attempt: &Attempt) -> Option<String> {
    let before =
        |line: &&super::history::ListedLine| line.node == attempt.node && line.at <= attempt.started_at;
    let lines: Vec<_> = history.listed.iter().filter(before).collect();
    let last_ready = lines.iter().rposition(|line| line.listing == Listing::Ready);
    let since: Instant = lines[last_ready.map_or(0, |at| at + 1)..].first().map(|line| line.at)?;
    let limit = since + history.grace + slack(history);
    (attempt.started_at > limit).then(|| {
        format!(
            "{}: at node {} {:?} after its drain began",
            attempt.id,
            attempt.node,
            attempt.started_at - since
        )
    })
}

fn crash(history: &History) -> Option<String> {
    let ended = history.ended?;
    match history.terminated {
        Some(terminated) if ended >= terminated => None,
        _ => Some("the process ended by itself".into()),
    }
}

fn descriptors(history: &History) -> Option<String> {
    let (seen, allowed) = history.descriptors;
    (seen > allowed).then(|| format!("{seen} descriptors, {allowed} are allowed"))
}

#[cfg(test)]
mod tests;
