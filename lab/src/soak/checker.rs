//! The rules, checked on what was seen in a run.

use super::history::{Attempt, End, History, Kind, Listing, Request};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
/// A final answer may come so long after a request's time.
const ANSWER_SLACK: Duration = ms(500);
/// A request that came by then after SIGTERM may be open when the process is killed.
const LATE_AFTER_TERM: Duration = ms(700);
/// An attempt may begin so long after its client has gone.
const GONE_SLACK: Duration = ms(100);
/// What a node is told may be more than what the client has left, by so much.
const TOLD_SLACK: Duration = ms(150);
/// Time limits on real sockets are longer by this.
const SOCKET_SLACK: Duration = ms(50);
/// A connection that rested and ends so soon after a request was written to it: the two have crossed.
const CROSSING: Duration = ms(30);

/// A rule that was broken, and by what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    pub rule: &'static str,
    pub what: String,
}

/// All breaches of a run.
pub fn check(history: &History) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let mut breach = |rule, what: Option<String>| breaches.extend(what.map(|what| Breach { rule, what }));
    let attempts = by_id(&history.attempts);
    for request in &history.requests {
        breach("lost", lost(history, request));
        breach("answer", garbled(request));
        let own = attempts.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        breach("duplicate", duplicate(history, request, own));
        for attempt in own {
            breach("gone", after_its_client(history, request, attempt));
            breach("deadline", told_too_much(history, request, attempt));
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

/// Time that passed for the process between two instants, less that in which it was stopped.
fn slack(history: &History) -> Duration {
    let longest_hold = history.holds.iter().map(|(from, to)| *to - *from).max().unwrap_or_default();
    // The rules allow that a process is held up for 0.15 s, and no more than that is played.
    SOCKET_SLACK + history.standstill + longest_hold.min(TOLD_SLACK)
}

fn lost(history: &History, request: &Request) -> Option<String> {
    let over = request.sent + request.waits + ANSWER_SLACK + history.standstill;
    let is_excused = match (history.terminated, history.killed) {
        // What SIGKILL finds open, if it came soon enough after SIGTERM.
        (Some(terminated), Some(killed)) => {
            request.sent <= terminated + LATE_AFTER_TERM + history.standstill && over > killed
        }
        _ => false,
    };
    let sent_to_nobody = history.killed.is_some_and(|killed| request.sent + history.standstill >= killed);
    if sent_to_nobody {
        return None;
    }
    match &request.end {
        Some((at, End::Answered { .. })) if *at <= over => None,
        Some((_, End::Left | End::Unreached | End::Garbled(_))) => None,
        Some((at, End::Closed)) if request.reused && *at - request.sent < CROSSING + history.standstill => {
            None
        }
        Some((_, End::Closed)) if history.crowded && !request.reused => None,
        _ if is_excused => None,
        Some((at, end)) => Some(format!(
            "{}: {end:?} {:?} after it came, it waits {:?}",
            request.id,
            *at - request.sent,
            request.waits
        )),
        None => Some(format!("{}: no answer, it waits {:?}", request.id, request.waits)),
    }
}

fn garbled(request: &Request) -> Option<String> {
    match &request.end {
        Some((_, End::Garbled(text))) => Some(format!("{}: {text}", request.id)),
        _ => None,
    }
}

/// A write runs at one shard alone, and again only while that shard drops repeats.
fn duplicate(history: &History, request: &Request, attempts: &[&Attempt]) -> Option<String> {
    let first = attempts.first().filter(|_| request.kind == Kind::Write)?;
    let limit = first.begun + history.window + slack(history);
    attempts.iter().skip(1).find_map(|again| {
        let elsewhere = again.node != first.node;
        (elsewhere || again.begun > limit).then(|| {
            let after = again.begun - first.begun;
            format!("{}: at node {} and {after:?} later at node {}", request.id, first.node, again.node)
        })
    })
}

fn after_its_client(history: &History, request: &Request, attempt: &Attempt) -> Option<String> {
    let left = match &request.end {
        Some((at, End::Left)) => *at,
        _ => return None,
    };
    let limit = left + GONE_SLACK + slack(history);
    (attempt.begun > limit)
        .then(|| format!("{}: begins {:?} after its client left", request.id, attempt.begun - left))
}

fn told_too_much(history: &History, request: &Request, attempt: &Attempt) -> Option<String> {
    let limit = request.sent + request.waits + TOLD_SLACK + history.standstill;
    let told = attempt.begun + attempt.left;
    (told > limit).then(|| {
        let beyond = told - (request.sent + request.waits);
        format!("{}: a node was told {beyond:?} more than its client waits", request.id)
    })
}

/// Nothing begins at a node that was told to drain a grace before, or gone.
fn after_drain(history: &History, attempt: &Attempt) -> Option<String> {
    let before = |told: &&super::history::Told| told.node == attempt.node && told.at <= attempt.begun;
    let lines: Vec<_> = history.told.iter().filter(before).collect();
    let last_ready = lines.iter().rposition(|told| told.listing == Listing::Ready);
    let since: Instant = lines[last_ready.map_or(0, |at| at + 1)..].first().map(|told| told.at)?;
    let limit = since + history.grace + slack(history);
    (attempt.begun > limit).then(|| {
        format!("{}: at node {} {:?} after its drain", attempt.id, attempt.node, attempt.begun - since)
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
