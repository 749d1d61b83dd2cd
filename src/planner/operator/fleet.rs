//! The live configuration over the whole fleet, merged from the status of all reachable planners.

use super::{Failure, Planners};
use crate::planner::frame::PlannerStatus;
use crate::revisions::distribution::InitiatorStatus;
use crate::revisions::{RevisionId, RevisionNumber};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The pause between two queries while waiting.
const POLL_PAUSE: Duration = Duration::from_millis(200);
/// An initiator that was connected within this time counts as connected: it may only be reconnecting.
const RECENT: Duration = Duration::from_secs(3);
/// Initiators named in one line; of the rest only the number is printed.
const MAX_NAMED: usize = 20;

/// The live configuration over the whole fleet, as far as planners answer.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The status of each planner, or why there is none.
    pub planners: Vec<(SocketAddr, Result<PlannerStatus, String>)>,
    /// The newest accepted revision that any of them knows.
    pub newest: RevisionId,
    /// The initiators, sorted by name.
    pub initiators: Vec<InitiatorStatus>,
}

/// How far a revision is rolled out to the initiators that are connected or were until recently.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of initiators where it, or a later one, is in force.
    pub in_force: usize,
    /// Initiators where it is not in force yet.
    pub missing: Vec<String>,
    /// Initiators that refuse it, and why.
    pub refused: Vec<(String, String)>,
}

impl Fleet {
    /// Queries all planners.
    ///
    /// # Errors
    ///
    /// No planner answers.
    pub fn query(planners: &Planners) -> Result<Fleet, Failure> {
        let fleet = Fleet::from_statuses(planners.status());
        if fleet.planners.iter().all(|(_, status)| status.is_err()) {
            let why = |(address, status): &(SocketAddr, Result<PlannerStatus, String>)| {
                format!("{address}: {}", status.as_ref().err().map_or("", String::as_str))
            };
            let why: Vec<String> = fleet.planners.iter().map(why).collect();
            return Err(Failure::Undecided(format!("no planner answers: {}", why.join("; "))));
        }
        Ok(fleet)
    }

    /// Merges the status of all planners.
    pub fn from_statuses(planners: Vec<(SocketAddr, Result<PlannerStatus, String>)>) -> Fleet {
        let mut newest = RevisionId::none();
        let mut initiators: BTreeMap<String, InitiatorStatus> = BTreeMap::new();
        for status in planners.iter().filter_map(|(_, status)| status.as_ref().ok()) {
            if status.newest.number > newest.number {
                newest = status.newest;
            }
            for initiator in &status.initiators {
                initiators
                    .entry(initiator.initiator.clone())
                    .and_modify(|known| merge(known, initiator))
                    .or_insert_with(|| initiator.clone());
            }
        }
        Fleet { planners, newest, initiators: initiators.into_values().collect() }
    }

    /// How far a revision is rolled out.
    pub fn progress(&self, number: RevisionNumber) -> Progress {
        let mut progress = Progress::default();
        let is_counted = |initiator: &&InitiatorStatus| {
            initiator.connected || Duration::from_millis(initiator.silent_ms) < RECENT
        };
        for initiator in self.initiators.iter().filter(is_counted) {
            let name = initiator.initiator.clone();
            match &initiator.refused {
                _ if initiator.in_force.number >= number && self.may_be_accepted(initiator.in_force) => {
                    progress.in_force += 1
                }
                Some((refused, why)) if refused.number >= number => {
                    progress.refused.push((name, why.clone()))
                }
                _ => progress.missing.push(name),
            }
        }
        progress
    }

    /// Whether a revision may be one that these planners accepted. An initiator may still have one of an earlier
    /// group of planners.
    fn may_be_accepted(&self, revision: RevisionId) -> bool {
        revision.number < self.newest.number || revision == self.newest
    }

    /// The status as lines of text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = writeln!(text, "newest revision: {}", self.newest);
        for (address, status) in &self.planners {
            let _ = match status {
                Ok(status) => writeln!(text, "planner {}: {}", status.planner, planner_text(status)),
                Err(why) => writeln!(text, "planner at {address}: no answer, {why}"),
            };
        }
        for initiator in &self.initiators {
            let _ = writeln!(text, "initiator {}: {}", initiator.initiator, initiator_text(initiator));
        }
        text
    }

    /// The same as one JSON object.
    pub fn json(&self) -> String {
        let planner = |(address, status): &(SocketAddr, Result<PlannerStatus, String>)| PlannerJson {
            address: *address,
            error: status.as_ref().err().cloned(),
            status: status.as_ref().ok().map(|status| PlannerStatusJson {
                name: status.planner.clone(),
                quorum: status.quorum,
                leader: status.leader.clone(),
                newest: status.newest.into(),
            }),
        };
        let initiator = |initiator: &InitiatorStatus| InitiatorJson {
            name: initiator.initiator.clone(),
            connected: initiator.connected,
            silent_ms: initiator.silent_ms,
            in_force: initiator.in_force.into(),
            refused: initiator
                .refused
                .as_ref()
                .map(|(revision, why)| RefusalJson { revision: (*revision).into(), why: why.clone() }),
        };
        let fleet = FleetJson {
            newest: self.newest.into(),
            planners: self.planners.iter().map(planner).collect(),
            initiators: self.initiators.iter().map(initiator).collect(),
        };
        // Serialization of these types can't fail.
        serde_json::to_string(&fleet).unwrap_or_default()
    }
}

/// Waits until a revision, or the newest, is in force at every connected initiator. Returns its number, and the
/// number of initiators where it is in force.
///
/// # Errors
///
/// [`Failure::NotInForce`] when the time is over, or when only initiators that refuse it are left;
/// [`Failure::Undecided`] if no planner answers when the time is over.
pub fn wait(
    planners: &Planners,
    number: Option<RevisionNumber>,
    timeout: Duration,
) -> Result<(RevisionNumber, usize), Failure> {
    let deadline = Instant::now() + timeout;
    let mut target = number;
    loop {
        let failure = match Fleet::query(planners) {
            Err(failure) => failure,
            Ok(fleet) => {
                // Without a number, the revision that is the newest at the first query is waited for, not later ones.
                let number = *target.get_or_insert(fleet.newest.number);
                let progress = fleet.progress(number);
                let accepted = fleet.newest.number >= number;
                if accepted && progress.missing.is_empty() && progress.refused.is_empty() {
                    return Ok((number, progress.in_force));
                }
                let failure = Failure::NotInForce(progress.text(number, accepted));
                if accepted && progress.missing.is_empty() {
                    return Err(failure);
                }
                failure
            }
        };
        if Instant::now() >= deadline {
            return Err(failure);
        }
        std::thread::sleep(POLL_PAUSE.min(deadline.saturating_duration_since(Instant::now())));
    }
}

impl Progress {
    fn text(&self, number: RevisionNumber, accepted: bool) -> String {
        if !accepted {
            return format!("revision {number} is not accepted");
        }
        let mut parts = vec![format!("revision {number} is in force at {}", self.in_force)];
        if !self.missing.is_empty() {
            parts.push(format!("missing at {}: {}", self.missing.len(), format_names(&self.missing)));
        }
        if !self.refused.is_empty() {
            let refused: Vec<String> =
                self.refused.iter().map(|(name, why)| format!("{name} ({why})")).collect();
            parts.push(format!("refused by {}: {}", refused.len(), format_names(&refused)));
        }
        parts.join("; ")
    }
}

fn format_names(names: &[String]) -> String {
    let omitted = names.len().saturating_sub(MAX_NAMED);
    let listed = names[..names.len() - omitted].join(", ");
    if omitted == 0 {
        return listed;
    }
    format!("{listed} and {omitted} more")
}

/// Merges another planner's status of an initiator. A planner that is connected to it takes precedence over one that
/// is not; of two that are connected, the one with the older revision in force does, so that a revision is never
/// reported as in force too early.
fn merge(known: &mut InitiatorStatus, other: &InitiatorStatus) {
    let is_behind = other.in_force.number < known.in_force.number;
    let replace = match (known.connected, other.connected) {
        (true, true) => is_behind,
        (false, false) => other.silent_ms < known.silent_ms,
        (known, _) => !known,
    };
    let refused = newer_refusal(known.refused.take(), other.refused.clone());
    if replace {
        *known = other.clone();
    }
    known.refused = refused;
}

/// The refusal of the later revision.
fn newer_refusal(
    one: Option<(RevisionId, String)>,
    other: Option<(RevisionId, String)>,
) -> Option<(RevisionId, String)> {
    [one, other].into_iter().flatten().max_by_key(|(revision, _)| revision.number)
}

fn planner_text(status: &PlannerStatus) -> String {
    let quorum = if status.quorum { "quorum" } else { "no quorum" };
    let leader = status.leader.as_ref().map_or("no leader known".into(), |leader| format!("led by {leader}"));
    format!("{quorum}, {leader}, newest revision {}", status.newest)
}

fn initiator_text(initiator: &InitiatorStatus) -> String {
    let mut text = format!("{} in force", initiator.in_force);
    if let Some((revision, why)) = &initiator.refused {
        let _ = write!(text, "; refuses {revision}: {why}");
    }
    if !initiator.connected {
        let _ = write!(text, "; not connected for {} s", initiator.silent_ms / 1000);
    }
    text
}

#[derive(Serialize)]
struct FleetJson {
    newest: RevisionJson,
    planners: Vec<PlannerJson>,
    initiators: Vec<InitiatorJson>,
}

#[derive(Serialize)]
struct PlannerJson {
    address: SocketAddr,
    error: Option<String>,
    status: Option<PlannerStatusJson>,
}

#[derive(Serialize)]
struct PlannerStatusJson {
    name: String,
    quorum: bool,
    leader: Option<String>,
    newest: RevisionJson,
}

#[derive(Serialize)]
struct InitiatorJson {
    name: String,
    connected: bool,
    silent_ms: u64,
    in_force: RevisionJson,
    refused: Option<RefusalJson>,
}

#[derive(Serialize)]
struct RefusalJson {
    revision: RevisionJson,
    why: String,
}

/// A revision's id, with its hash in hexadecimal digits.
#[derive(Serialize)]
struct RevisionJson {
    number: u64,
    hash: String,
}

impl From<RevisionId> for RevisionJson {
    fn from(id: RevisionId) -> Self {
        RevisionJson { number: id.number.0, hash: id.hash.to_string() }
    }
}

#[cfg(test)]
mod tests;
