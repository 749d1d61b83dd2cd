//! Live configuration at a planner: takes what initiators, other planners and operators say of it, and gives back what they
//! are to be told. It owns the replica of the agreement, the distributor and the connections to the other planners.

use super::frame::{FromPlanner, OperatorReply, OperatorRequest, PlannerStatus};
use super::peers::Peers;
use super::settings;
use crate::interface::Settings;
use crate::revisions::agreement::{
    self, Parameters, Proposal, ProposalError, ProposalId, Replica, VoterId, MAX_AUTHOR_BYTES,
};
use crate::revisions::distribution::{self, ConnectionId, Distributor};
use crate::revisions::document::Names;
use crate::revisions::store::{DiskStore, GroupId, Identity, ReplicaStore, StoreError, FILE_NAME};
use crate::revisions::{Acknowledgement, Revision, RevisionId, RevisionNumber};
use mio::{Registry, Token};
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time between two ticks of the agreement: a leader that is gone is replaced within one to two seconds.
const TICK: Duration = Duration::from_millis(100);
/// How long a proposal waits for its decision: longer than the replacement of a leader takes.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Something to be said.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Said {
    /// To an initiator, by its connection.
    Initiator(ConnectionId, FromPlanner),
    /// To all initiators.
    Everybody(FromPlanner),
    /// The answer to an operator, by its connection.
    Operator(ConnectionId, OperatorReply),
}

/// A planner's part in live configuration.
pub(super) struct Configuration {
    config: settings::Configuration,
    replica: Replica<DiskStore>,
    distributor: Distributor,
    peers: Peers,
    /// What documents are checked against.
    base: (Settings, Names),
    /// Operators that wait for a decision.
    waiting: BTreeMap<ProposalId, Vec<ConnectionId>>,
    /// The newest revision that the distributor knows.
    newest: RevisionId,
    started: Instant,
}

impl Configuration {
    /// Makes the store of a planner, once.
    ///
    /// # Errors
    ///
    /// There is one already, or the directory can't be written to: one line.
    pub fn create(config: &settings::Configuration) -> Result<(), String> {
        config.read_initiator()?;
        DiskStore::create(&config.directory, identity(config)).map(drop).map_err(|error| error.to_string())
    }

    /// Goes on from the store.
    ///
    /// # Errors
    ///
    /// There is no store, or another planner's, or the initiator's configuration can't be used: one line.
    pub fn start(
        name: &str,
        config: &settings::Configuration,
        first: Token,
        now: Instant,
    ) -> Result<Self, String> {
        let base = config.read_initiator()?;
        let directory = config.directory.display();
        if !config.directory.join(FILE_NAME).exists() {
            let make = "`topazpath-planner configuration create FILE` makes it, once";
            return Err(format!("{directory}: there is no store: {make}"));
        }
        let store = DiskStore::open(&config.directory).map_err(|error| error.to_string())?;
        if *store.identity() != identity(config) {
            return Err(format!(
                "{directory}: the store of another planner, or made for another list of planners"
            ));
        }
        let parameters = Parameters {
            id: config.voter,
            voters: config.voters(),
            tick: TICK,
            proposal_timeout: PROPOSAL_TIMEOUT,
        };
        let replica = Replica::start(parameters, store, Duration::ZERO)
            .map_err(|error| format!("{directory}: {error}"))?;
        let mut configuration = Configuration {
            config: config.clone(),
            replica,
            distributor: Distributor::default(),
            peers: Peers::new(name, &config.peers, first, now),
            base,
            waiting: BTreeMap::new(),
            newest: RevisionId::none(),
            started: now,
        };
        // Nobody is connected yet, so nothing is to be said.
        let newest = configuration.replica.newest().cloned();
        newest.into_iter().for_each(|revision| configuration.hand_on(now, revision, &mut Vec::new()));
        Ok(configuration)
    }

    /// The voter of a name, where it is another planner's.
    pub fn peer(&self, name: &str) -> Option<VoterId> {
        self.config.peers.iter().find(|peer| peer.name == name).map(|peer| peer.voter)
    }

    /// When [`Configuration::turn`] has something to do.
    pub fn next_timer(&self) -> Instant {
        let replica = Some(self.replica.next_timer());
        let timers = [replica, self.distributor.next_timer()].into_iter().flatten();
        let timers = timers.map(|at| self.started + at).chain(self.peers.next_timer());
        timers.min().unwrap_or(self.started)
    }

    /// Does what is due.
    pub fn turn(
        &mut self,
        now: Instant,
        registry: &Registry,
        said: &mut Vec<Said>,
    ) -> Result<(), StoreError> {
        self.peers.turn(now, registry);
        let at = self.scale(now);
        if self.replica.next_timer() <= at {
            self.agree(now, agreement::Event::Tick, said)?;
        }
        if self.distributor.next_timer().is_some_and(|timer| timer <= at) {
            self.distribute(now, distribution::Event::Tick, said);
        }
        Ok(())
    }

    /// Something happened on a connection to another planner; false: the token is none of those.
    pub fn ready(&mut self, now: Instant, token: Token) -> bool {
        let owns = self.peers.owns(token);
        if owns {
            self.peers.ready(now, token);
        }
        owns
    }

    /// A message of another planner has come.
    pub fn message(
        &mut self,
        now: Instant,
        message: Vec<u8>,
        said: &mut Vec<Said>,
    ) -> Result<(), StoreError> {
        self.agree(now, agreement::Event::Message(message), said)
    }

    /// An initiator has connected.
    pub fn connected(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        initiator: String,
        said: &mut Vec<Said>,
    ) {
        said.push(Said::Initiator(connection, FromPlanner::Quorum(self.replica.has_quorum())));
        self.distribute(now, distribution::Event::Connected { connection, initiator }, said);
    }

    /// An initiator's connection has ended.
    pub fn disconnected(&mut self, now: Instant, connection: ConnectionId, said: &mut Vec<Said>) {
        self.distribute(now, distribution::Event::Disconnected(connection), said);
    }

    /// An initiator wants revisions on this connection.
    pub fn subscribe(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        holds: RevisionId,
        said: &mut Vec<Said>,
    ) {
        self.distribute(now, distribution::Event::Subscribed { connection, holds }, said);
    }

    /// It wants none any more.
    pub fn unsubscribe(&mut self, now: Instant, connection: ConnectionId, said: &mut Vec<Said>) {
        self.distribute(now, distribution::Event::Unsubscribed(connection), said);
    }

    /// An initiator says what became of a revision.
    pub fn acknowledge(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        acknowledgement: Acknowledgement,
        said: &mut Vec<Said>,
    ) {
        self.distribute(now, distribution::Event::Acknowledged { connection, acknowledgement }, said);
    }

    /// An operator asks for something. The answer may come later.
    pub fn operator(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        request: OperatorRequest,
        said: &mut Vec<Said>,
    ) -> Result<(), StoreError> {
        let reply = match request {
            OperatorRequest::Submit(proposal) => return self.submit(now, connection, *proposal, said),
            OperatorRequest::Show(number) => OperatorReply::Revision(self.revision(number).map(Box::new)),
            OperatorRequest::Status => OperatorReply::Status(self.status(now)),
        };
        said.push(Said::Operator(connection, reply));
        Ok(())
    }

    /// An operator has gone: nobody waits there for a decision any more.
    pub fn operator_left(&mut self, connection: ConnectionId) {
        self.waiting.values_mut().for_each(|waiting| waiting.retain(|other| *other != connection));
    }

    fn submit(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        mut proposal: Proposal,
        said: &mut Vec<Said>,
    ) -> Result<(), StoreError> {
        if let Err(why) = self.check(&proposal) {
            let reply = OperatorReply::Refused(ProposalError::Invalid(why));
            said.push(Said::Operator(connection, reply));
            return Ok(());
        }
        let is_pending = self.waiting.contains_key(&proposal.id);
        self.waiting.entry(proposal.id).or_default().push(connection);
        if is_pending {
            return Ok(());
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        proposal.submitted_ms = unix.as_millis() as u64;
        self.agree(now, agreement::Event::Propose(Box::new(proposal)), said)
    }

    /// What makes a proposal one that no planner can accept.
    fn check(&self, proposal: &Proposal) -> Result<(), String> {
        check_author(&proposal.author)?;
        proposal.document.check().map_err(|error| error.to_string())?;
        let (settings, names) = &self.base;
        proposal.document.apply(settings, names).map(drop).map_err(|error| error.to_string())
    }

    fn revision(&self, number: Option<RevisionNumber>) -> Option<Revision> {
        match number {
            None => self.replica.newest().cloned(),
            Some(number) => self.replica.revision(number).cloned(),
        }
    }

    fn status(&self, now: Instant) -> PlannerStatus {
        let leader = self.replica.leader().and_then(|voter| self.config.planner(voter));
        let own = self.config.planner(self.config.voter);
        PlannerStatus {
            planner: own.unwrap_or_default().to_string(),
            quorum: self.replica.has_quorum(),
            leader: leader.map(str::to_string),
            newest: self.newest,
            initiators: self.distributor.status(self.scale(now)),
        }
    }

    fn agree(
        &mut self,
        now: Instant,
        event: agreement::Event,
        said: &mut Vec<Said>,
    ) -> Result<(), StoreError> {
        let mut actions = Vec::new();
        self.replica.handle(self.scale(now), event, &mut actions)?;
        for action in actions {
            match action {
                agreement::Action::Send { to, message } => self.peers.send(now, to, message),
                agreement::Action::Decided { id, outcome } => self.decided(id, outcome, said),
                agreement::Action::Accepted(revision) => self.hand_on(now, revision, said),
                agreement::Action::QuorumChanged(quorum) => {
                    tracing::info!(quorum, "contact with a majority of the planners");
                    said.push(Said::Everybody(FromPlanner::Quorum(quorum)));
                }
            }
        }
        Ok(())
    }

    fn decided(&mut self, id: ProposalId, outcome: Result<RevisionId, ProposalError>, said: &mut Vec<Said>) {
        let reply = match outcome {
            Ok(revision) => OperatorReply::Accepted(revision),
            Err(error) => OperatorReply::Refused(error),
        };
        let waiting = self.waiting.remove(&id).unwrap_or_default();
        said.extend(waiting.into_iter().map(|connection| Said::Operator(connection, reply.clone())));
    }

    fn hand_on(&mut self, now: Instant, revision: Revision, said: &mut Vec<Said>) {
        // After a restart the replica may tell again what its store held.
        if revision.id.number <= self.newest.number {
            return;
        }
        tracing::info!(revision = %revision.id, author = revision.author, "revision accepted");
        self.newest = revision.id;
        self.distribute(now, distribution::Event::Accepted(revision), said);
    }

    fn distribute(&mut self, now: Instant, event: distribution::Event, said: &mut Vec<Said>) {
        let mut actions = Vec::new();
        self.distributor.handle(self.scale(now), event, &mut actions);
        said.extend(actions.into_iter().map(|distribution::Action::Send { connection, update }| {
            Said::Initiator(connection, FromPlanner::Update(update))
        }));
    }

    /// A time on the scale of the pure parts: since the start.
    fn scale(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }
}

/// Whose store a planner's is.
fn identity(config: &settings::Configuration) -> Identity {
    let group = GroupId::from_names(config.planners.iter().map(String::as_str));
    Identity { group, voter: config.voter, voters: config.voters() }
}

/// Checks an author's name; the error is one line.
pub(super) fn check_author(author: &str) -> Result<(), String> {
    if author.is_empty() || author.len() > MAX_AUTHOR_BYTES || author.chars().any(char::is_control) {
        return Err(format!("author: 1 to {MAX_AUTHOR_BYTES} bytes of one line are allowed"));
    }
    Ok(())
}
