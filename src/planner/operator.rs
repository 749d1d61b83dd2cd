//! The operators' side of live configuration: asks planners, one connection a question, blocking and with time-outs.
//!
//! Planners are tried in turn. A proposal whose outcome is not known is asked for again under the same id, never under a new
//! one, so that it becomes one revision at most.

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

/// A planner that does not take a connection within this time is out of reach.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a planner may take to decide a proposal: longer than it waits for the others there.
const DECISION_TIMEOUT: Duration = Duration::from_secs(7);
/// How long a planner may take to answer any other question.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a proposal is asked for as a rule, at all planners in turn: longer than the replacement of a leader takes.
pub const SUBMIT_WITHIN: Duration = Duration::from_secs(8);
/// The pause between two rounds of asking.
const PAUSE: Duration = Duration::from_millis(200);
/// What is read at once.
const READ_BYTES: usize = 64 * 1024;

/// Why a command did not do what it was asked for: one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It was refused: a conflict, or a document that can't be accepted.
    Refused(String),
    /// Its arguments or files can't be used.
    Usage(String),
    /// It is not decided: no quorum, an unknown outcome, or planners out of reach.
    Undecided(String),
    /// It is not in force everywhere in time.
    NotInForce(String),
}

impl Failure {
    /// The exit code that says so.
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
    /// It was not asked: there is no connection, or it refuses to talk.
    NotAsked(String),
    /// It was asked, and what it did is not known.
    NoAnswer(String),
}

impl fmt::Display for AskError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let (AskError::NotAsked(why) | AskError::NoAnswer(why)) = self;
        formatter.write_str(why)
    }
}

/// Which revision the author of a proposal saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// The newest, whichever it is.
    Latest,
    /// The one with this number.
    Number(RevisionNumber),
}

/// The planners that commands ask.
#[derive(Clone, Debug)]
pub struct Planners {
    /// Where they listen.
    pub addresses: Vec<SocketAddr>,
}

impl Planners {
    /// The newest accepted revision that any planner in reach knows; none before the first.
    ///
    /// # Errors
    ///
    /// No planner answers.
    pub fn newest(&self) -> Result<Option<Revision>, Failure> {
        let newest = self.show(None)?.into_iter().max_by_key(|revision| revision.id.number);
        Ok(newest)
    }

    /// An accepted revision; none: no planner in reach keeps it.
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

    /// Submits a document as the next revision. Planners are asked for the decision in turn, `within` this time and once each
    /// at least.
    ///
    /// # Errors
    ///
    /// It is refused, or not decided: then it may still be accepted, where the line says that it is not known.
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
        // The planner that takes it says when that is.
        let (id, author, submitted_ms) = (proposal_id(), author.to_string(), 0);
        let proposal = Proposal { id, expected, author, submitted_ms, document };
        let request = OperatorRequest::Submit(Box::new(proposal));
        let start = Instant::now();
        let mut round = Round::default();
        loop {
            for address in &self.addresses {
                if let Some(outcome) = round.hear(*address, ask(*address, &request, DECISION_TIMEOUT)) {
                    return outcome;
                }
            }
            if start.elapsed() >= within || round.is_hopeless() {
                return Err(round.failure(expected));
            }
            std::thread::sleep(PAUSE);
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

    /// What each planner in reach answers, where it has such a revision.
    fn show(&self, number: Option<RevisionNumber>) -> Result<Vec<Revision>, Failure> {
        let answers = self.ask_all(&OperatorRequest::Show(number));
        let mut found = Vec::new();
        let mut failures = Vec::new();
        for (address, answer) in answers {
            match answer {
                Ok(OperatorReply::Revision(revision)) => found.extend(revision.map(|it| *it)),
                other => failures.push(format!("{address}: {}", unusable(other))),
            }
        }
        if failures.len() == self.addresses.len() {
            return Err(Failure::Undecided(format!("no planner answers: {}", failures.join("; "))));
        }
        Ok(found)
    }

    /// What each planner knows, or why it does not say.
    pub fn status(&self) -> Vec<(SocketAddr, Result<PlannerStatus, String>)> {
        let status = |answer| match answer {
            Ok(OperatorReply::Status(status)) => Ok(status),
            other => Err(unusable(other)),
        };
        let answers = self.ask_all(&OperatorRequest::Status).into_iter();
        answers.map(|(address, answer)| (address, status(answer))).collect()
    }

    /// Asks all at the same time: one that does not answer holds up nobody.
    fn ask_all(&self, request: &OperatorRequest) -> Vec<(SocketAddr, Result<OperatorReply, AskError>)> {
        std::thread::scope(|scope| {
            let ask = |address: SocketAddr| scope.spawn(move || ask(address, request, ANSWER_TIMEOUT));
            let asked: Vec<_> = self.addresses.iter().map(|address| (*address, ask(*address))).collect();
            let answer = |answer: std::thread::ScopedJoinHandle<Result<OperatorReply, AskError>>| {
                answer
                    .join()
                    .unwrap_or_else(|_| Err(AskError::NoAnswer("it was not asked to the end".into())))
            };
            asked.into_iter().map(|(address, asked)| (address, answer(asked))).collect()
        })
    }
}

/// What came of asking for a proposal so far.
#[derive(Default)]
struct Round {
    /// It was passed on somewhere, and may be accepted.
    is_unknown: bool,
    /// Some planner may still pass it on.
    may_go_on: bool,
    /// What planners answered last, by address.
    answers: Vec<(SocketAddr, String)>,
}

impl Round {
    /// The end of it, where that was an answer.
    fn hear(
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
                self.may_go_on = true;
                "no quorum".to_string()
            }
            Ok(OperatorReply::Refused(ProposalError::Busy)) => {
                self.may_go_on = true;
                "too many proposals wait there".to_string()
            }
            Ok(OperatorReply::Refused(ProposalError::Unknown)) | Err(AskError::NoAnswer(_)) => {
                (self.is_unknown, self.may_go_on) = (true, true);
                "not known".to_string()
            }
            other => unusable(other),
        };
        self.answers.retain(|(other, _)| *other != address);
        self.answers.push((address, text));
        None
    }

    /// Whether nobody was there to ask.
    fn is_hopeless(&self) -> bool {
        !self.may_go_on
    }

    fn failure(&self, expected: RevisionId) -> Failure {
        let answers: Vec<String> =
            self.answers.iter().map(|(address, text)| format!("{address}: {text}")).collect();
        let answers = answers.join("; ");
        if self.is_unknown {
            let next = expected.number.next();
            return Failure::Undecided(format!(
                "not known whether it was accepted, look for revision {next} before it is submitted again: {answers}"
            ));
        }
        Failure::Undecided(format!("not accepted, no quorum of planners in reach: {answers}"))
    }
}

/// Asks one planner, and waits so long for its answer.
fn ask(
    address: SocketAddr,
    request: &OperatorRequest,
    patience: Duration,
) -> Result<OperatorReply, AskError> {
    let not_asked = |error: io::Error| AskError::NotAsked(error.to_string());
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).map_err(not_asked)?;
    stream.set_write_timeout(Some(patience)).map_err(not_asked)?;
    let mut output = Vec::new();
    frame::encode(&ToPlanner::Operator { schema: SCHEMA, request: request.clone() }, &mut output);
    let no_answer = |error: io::Error| AskError::NoAnswer(error.to_string());
    stream.write_all(&output).map_err(no_answer)?;
    match receive(&mut stream, patience)? {
        FromPlanner::OperatorReply(reply) => Ok(reply),
        FromPlanner::Refused(why) => Err(AskError::NotAsked(why)),
        _ => Err(AskError::NotAsked("it says what is not for an operator".into())),
    }
}

/// One whole message, within this time.
fn receive(stream: &mut TcpStream, patience: Duration) -> Result<FromPlanner, AskError> {
    let no_answer = |error: io::Error| AskError::NoAnswer(error.to_string());
    let until = Instant::now() + patience;
    let (mut input, mut bytes) = (Vec::new(), vec![0; READ_BYTES]);
    loop {
        if let Some(message) = frame::decode(&mut input).map_err(AskError::NoAnswer)? {
            return Ok(message);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(AskError::NoAnswer("no answer in time".into()));
        }
        stream.set_read_timeout(Some(left)).map_err(no_answer)?;
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

/// Why an answer is none to the question.
fn unusable(answer: Result<OperatorReply, AskError>) -> String {
    match answer {
        Ok(OperatorReply::Disabled) => "live configuration is off there".into(),
        Ok(_) => "it answers something else".into(),
        Err(error) => error.to_string(),
    }
}

/// An id that no other proposal has: 128 bits that the system draws.
fn proposal_id() -> ProposalId {
    // Each state has keys of the system's random source.
    let draw = || u128::from(RandomState::new().build_hasher().finish());
    ProposalId(draw() << 64 | draw())
}

#[cfg(test)]
mod tests;
