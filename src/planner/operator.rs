//! The operators' side of live configuration: sends requests to planners, each on a connection of its own, with
//! blocking I/O and timeouts.
//!
//! Planners are tried one after the other. A proposal whose outcome is unknown is sent again under the same id, never
//! under a new one, so that it becomes at most one revision.

use super::frame::{self, FromPlanner, OperatorReply, OperatorRequest, PlannerStatus, ToPlanner, SCHEMA};
use crate::revisions::agreement::{Proposal, ProposalError, ProposalId};
use crate::revisions::document::Document;
use crate::revisions::{Revision, RevisionId, RevisionNumber};
use std::collections::hash_map::RandomState;
use std::fmt;
use std::hash::{BuildHasher, Hasher};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub mod fleet;
pub mod text;

/// A planner that does not accept a connection within this time is unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the decision on a proposal: longer than a planner waits for the other planners.
const DECISION_TIMEOUT: Duration = Duration::from_secs(7);
/// Timeout for the answer to any other request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Default time for which a proposal is retried at all planners: longer than the replacement of a leader takes.
pub const SUBMIT_TIMEOUT: Duration = Duration::from_secs(8);
/// The pause between two rounds over all planners.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Why a command failed. Each reason is one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The proposal was refused: a conflict, or a document that can't be accepted.
    Refused(String),
    /// Arguments or files are unusable.
    Usage(String),
    /// The proposal is not decided: no quorum, an unknown outcome, or unreachable planners.
    Undecided(String),
    /// The revision was not in force everywhere in time.
    NotInForce(String),
}

impl Failure {
    /// The exit code for this failure.
    pub fn exit_code(&self) -> u8 {
        match self {
            Failure::Refused(_) => 1,
            Failure::Usage(_) => 2,
            Failure::Undecided(_) => 3,
            Failure::NotInForce(_) => 4,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let (Failure::Refused(why)
        | Failure::Usage(why)
        | Failure::Undecided(why)
        | Failure::NotInForce(why)) = self;
        formatter.write_str(why)
    }
}

impl std::error::Error for Failure {}

/// Why a planner gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AskError {
    /// The request was not handled: there is no connection, or the planner refuses it.
    NotSent(String),
    /// The request was sent, and whether it was handled is unknown.
    NoAnswer(String),
}

impl fmt::Display for AskError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let (AskError::NotSent(why) | AskError::NoAnswer(why)) = self;
        formatter.write_str(why)
    }
}

/// The revision that the author of a proposal expects to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// Whichever is the newest.
    Latest,
    /// The revision with this number.
    Number(RevisionNumber),
}

/// The planners that commands are sent to.
#[derive(Clone, Debug)]
pub struct Planners {
    /// The addresses where they listen.
    pub addresses: Vec<SocketAddr>,
}

impl Planners {
    /// The newest accepted revision that any reachable planner knows; `None` before the first.
    ///
    /// # Errors
    ///
    /// No planner answers.
    pub fn newest(&self) -> Result<Option<Revision>, Failure> {
        let newest = self.show(None)?.into_iter().max_by_key(|revision| revision.id.number);
        Ok(newest)
    }

    /// An accepted revision; `None` if no reachable planner keeps it.
    ///
    /// # Errors
    ///
    /// No planner answers.
    pub fn revision(&self, number: RevisionNumber) -> Result<Option<Revision>, Failure> {
        Ok(self.show(Some(number))?.into_iter().next())
    }

    /// The document of an accepted revision. Number 0 is the state before the first: an empty document.
    ///
    /// # Errors
    ///
    /// No planner answers, or none keeps that revision.
    pub fn document(&self, number: RevisionNumber) -> Result<Document, Failure> {
        if number == RevisionId::none().number {
            return Ok(Document::default());
        }
        let revision = self.revision(number)?;
        let missing = || Failure::Refused(format!("revision {number} is not there, or not kept any more"));
        Ok(revision.ok_or_else(missing)?.document)
    }

    /// Submits a document as the next revision. The planners are asked one after the other until one has the
    /// decision, for the time `within`, but each at least once.
    ///
    /// # Errors
    ///
    /// The document is refused, or it is not decided. In the latter case it may still be accepted if the message says
    /// that the outcome is not known.
    pub fn submit(
        &self,
        document: Document,
        expected: Expected,
        author: &str,
        within: Duration,
    ) -> Result<RevisionId, Failure> {
        super::configuration::check_author(author).map_err(Failure::Usage)?;
        document.check().map_err(|error| Failure::Refused(error.to_string()))?;
        let expected = self.expected(expected)?;
        // The planner that receives the proposal sets its time.
        let (id, author, submitted_ms) = (proposal_id(), author.to_string(), 0);
        let proposal = Proposal { id, expected, author, submitted_ms, document };
        let request = OperatorRequest::Submit(Box::new(proposal));
        let start = Instant::now();
        let mut submission = Submission::default();
        loop {
            for address in &self.addresses {
                if let Some(outcome) =
                    submission.record_answer(*address, ask(*address, &request, DECISION_TIMEOUT))
                {
                    return outcome;
                }
            }
            if start.elapsed() >= within || submission.is_hopeless() {
                return Err(submission.failure(expected));
            }
            std::thread::sleep(RETRY_PAUSE);
        }
    }

    /// The id of the revision that is expected to be the newest.
    fn expected(&self, expected: Expected) -> Result<RevisionId, Failure> {
        let newest = || Ok(self.newest()?.map_or(RevisionId::none(), |revision| revision.id));
        let number = match expected {
            Expected::Latest => return newest(),
            Expected::Number(number) => number,
        };
        if number == RevisionId::none().number {
            return Ok(RevisionId::none());
        }
        match self.revision(number)? {
            Some(revision) => Ok(revision.id),
            None => {
                let newest = newest()?;
                let why = format!("conflict: revision {number} is not kept, the newest in reach is {newest}");
                Err(Failure::Refused(why))
            }
        }
    }

    /// The revision as each reachable planner has it; planners without it are left out.
    fn show(&self, number: Option<RevisionNumber>) -> Result<Vec<Revision>, Failure> {
        let answers = self.ask_all(&OperatorRequest::Show(number));
        let mut found = Vec::new();
        let mut failures = Vec::new();
        for (address, answer) in answers {
            match answer {
                Ok(OperatorReply::Revision(revision)) => found.extend(revision.map(|it| *it)),
                other => failures.push(format!("{address}: {}", failure_reason(other))),
            }
        }
        if failures.len() == self.addresses.len() {
            return Err(Failure::Undecided(format!("no planner answers: {}", failures.join("; "))));
        }
        Ok(found)
    }

    /// The status of each planner, or why there is none.
    pub fn status(&self) -> Vec<(SocketAddr, Result<PlannerStatus, String>)> {
        let status = |answer| match answer {
            Ok(OperatorReply::Status(status)) => Ok(status),
            other => Err(failure_reason(other)),
        };
        let answers = self.ask_all(&OperatorRequest::Status).into_iter();
        answers.map(|(address, answer)| (address, status(answer))).collect()
    }

    /// Sends a request to all planners concurrently, so that a planner that does not answer delays no other.
    fn ask_all(&self, request: &OperatorRequest) -> Vec<(SocketAddr, Result<OperatorReply, AskError>)> {
        std::thread::scope(|scope| {
            let ask = |address: SocketAddr| scope.spawn(move || ask(address, request, ANSWER_TIMEOUT));
            let asked: Vec<_> = self.addresses.iter().map(|address| (*address, ask(*address))).collect();
            let answer = |answer: std::thread::ScopedJoinHandle<Result<OperatorReply, AskError>>| {
                answer
                    .join()
                    .unwrap_or_else(|_| Err(AskError::NoAnswer("the request was not completed".into())))
            };
            asked.into_iter().map(|(address, asked)| (address, answer(asked))).collect()
        })
    }
}

/// The answers to a proposal so far.
#[derive(Default)]
struct Submission {
    /// Some planner may have passed the proposal on, so it may be accepted.
    outcome_unknown: bool,
    /// Some planner may still pass the proposal on.
    can_retry: bool,
    /// Each planner's last answer, by address.
    answers: Vec<(SocketAddr, String)>,
}

impl Submission {
    /// Records an answer. Returns the outcome if the answer decides the proposal.
    fn record_answer(
        &mut self,
        address: SocketAddr,
        answer: Result<OperatorReply, AskError>,
    ) -> Option<Result<RevisionId, Failure>> {
        let text = match answer {
            Ok(OperatorReply::Accepted(id)) => return Some(Ok(id)),
            Ok(OperatorReply::Refused(ProposalError::Conflict { newest })) => {
                return Some(Err(Failure::Refused(format!("conflict: revision {newest} is in force"))));
            }
            Ok(OperatorReply::Refused(ProposalError::Invalid(why))) => {
                return Some(Err(Failure::Refused(why)))
            }
            Ok(OperatorReply::Refused(ProposalError::NoQuorum)) => {
                self.can_retry = true;
                "no quorum".to_string()
            }
            Ok(OperatorReply::Refused(ProposalError::Busy)) => {
                self.can_retry = true;
                "too many proposals are pending there".to_string()
            }
            Ok(OperatorReply::Refused(ProposalError::Unknown)) | Err(AskError::NoAnswer(_)) => {
                (self.outcome_unknown, self.can_retry) = (true, true);
                "not known".to_string()
            }
            other => failure_reason(other),
        };
        self.answers.retain(|(other, _)| *other != address);
        self.answers.push((address, text));
        None
    }

    /// Whether no planner could handle the proposal, so that a retry is useless.
    fn is_hopeless(&self) -> bool {
        !self.can_retry
    }

    fn failure(&self, expected: RevisionId) -> Failure {
        let answers: Vec<String> =
            self.answers.iter().map(|(address, text)| format!("{address}: {text}")).collect();
        let answers = answers.join("; ");
        if self.outcome_unknown {
            let next = expected.number.next();
            return Failure::Undecided(format!(
                "not known whether it was accepted, look for revision {next} before it is submitted again: {answers}"
            ));
        }
        Failure::Undecided(format!("not accepted, no quorum of planners in reach: {answers}"))
    }
}

/// Sends a request to one planner and waits for the answer, at most for `timeout`.
fn ask(address: SocketAddr, request: &OperatorRequest, timeout: Duration) -> Result<OperatorReply, AskError> {
    let not_sent = |error: io::Error| AskError::NotSent(error.to_string());
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).map_err(not_sent)?;
    stream.set_write_timeout(Some(timeout)).map_err(not_sent)?;
    let mut output = Vec::new();
    frame::encode(&ToPlanner::Operator { schema: SCHEMA, request: request.clone() }, &mut output);
    let no_answer = |error: io::Error| AskError::NoAnswer(error.to_string());
    stream.write_all(&output).map_err(no_answer)?;
    match receive(&mut stream, timeout)? {
        FromPlanner::OperatorReply(reply) => Ok(reply),
        FromPlanner::Refused(why) => Err(AskError::NotSent(why)),
        _ => Err(AskError::NotSent("it sent a message that is not for an operator".into())),
    }
}

/// Receives one complete message within `timeout`.
fn receive(stream: &mut TcpStream, timeout: Duration) -> Result<FromPlanner, AskError> {
    let no_answer = |error: io::Error| AskError::NoAnswer(error.to_string());
    let deadline = Instant::now() + timeout;
    let (mut input, mut bytes) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
    loop {
        if let Some(message) = frame::decode(&mut input).map_err(AskError::NoAnswer)? {
            return Ok(message);
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(AskError::NoAnswer("no answer in time".into()));
        }
        stream.set_read_timeout(Some(remaining)).map_err(no_answer)?;
        match stream.read(&mut bytes) {
            Ok(0) => return Err(AskError::NoAnswer("it closed".into())),
            Ok(count) => input.extend_from_slice(&bytes[..count]),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if is_timeout(&error) => {}
            Err(error) => return Err(no_answer(error)),
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Why an answer can't be used.
fn failure_reason(answer: Result<OperatorReply, AskError>) -> String {
    match answer {
        Ok(OperatorReply::Disabled) => "live configuration is off there".into(),
        Ok(_) => "it sent another answer than requested".into(),
        Err(error) => error.to_string(),
    }
}

/// A unique proposal id: 128 random bits.
fn proposal_id() -> ProposalId {
    // The keys of each `RandomState` come from the system's random source.
    let random_bits = || u128::from(RandomState::new().build_hasher().finish());
    ProposalId(random_bits() << 64 | random_bits())
}

#[cfg(test)]
mod tests;
