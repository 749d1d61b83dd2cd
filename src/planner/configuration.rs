//! Live configuration at a planner: handles the messages of initiators, other planners and operators that concern it,
//! and returns the messages to send. It owns this planner's replica of the agreement, the distributor of revisions
//! and the connections to the other planners.

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

/// Time between two ticks of the agreement: a failed leader is replaced within one to two seconds.
const TICK: Duration = Duration::from_millis(100);
/// How long a proposal waits for its decision: longer than the replacement of a leader takes.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Outgoing {
    /// To an initiator, by its connection.
    Initiator(ConnectionId, FromPlanner),
    /// To all initiators.
    AllInitiators(FromPlanner),
    /// The answer to an operator, by its connection.
    Operator(ConnectionId, OperatorReply),
}

/// A planner's part in live configuration.
pub(super) struct Configuration {
    config: settings::Configuration,
    replica: Replica<DiskStore>,
    distributor: Distributor,
    peers: Peers,
    /// The settings and names that documents are checked against.
    base: (Settings, Names),
    /// Connections of operators that wait for a decision, by proposal.
    waiting: BTreeMap<ProposalId, Vec<ConnectionId>>,
    /// The newest revision that the distributor has received.
    newest: RevisionId,
    started: Instant,
}

impl Configuration {
    /// Creates the store of a planner, once.
    ///
    /// # Errors
    ///
    /// A store exists already, or the directory can't be written to. The error is one line.
    pub fn create(config: &settings::Configuration) -> Result<(), String> {
        config.read_initiator()?;
        DiskStore::create(&config.directory, identity(config)).map(drop).map_err(|error| error.to_string())
    }

    /// Opens the store and starts the replica.
    ///
    /// # Errors
    ///
    /// There is no store, it belongs to another planner, or the initiator's configuration can't be used. The error is
    /// one line.
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
        // No client is connected yet, so the messages are dropped.
        let newest = configuration.replica.newest().cloned();
        newest.into_iter().for_each(|revision| configuration.publish(now, revision, &mut Vec::new()));
        Ok(configuration)
    }

    /// The voter id of another planner, by its name.
    pub fn peer(&self, name: &str) -> Option<VoterId> {
        self.config.peers.iter().find(|peer| peer.name == name).map(|peer| peer.voter)
    }

    /// When [`Configuration::run_timers`] is due next.
    pub fn next_timer(&self) -> Instant {
        let replica = Some(self.replica.next_timer());
        let timers = [replica, self.distributor.next_timer()].into_iter().flatten();
        let timers = timers.map(|at| self.started + at).chain(self.peers.next_timer());
        timers.min().unwrap_or(self.started)
    }

    /// Runs the timers that are due.
    pub fn run_timers(
        &mut self,
        now: Instant,
        registry: &Registry,
        outgoing: &mut Vec<Outgoing>,
    ) -> Result<(), StoreError> {
        self.peers.run_timers(now, registry);
        let at = self.elapsed(now);
        if self.replica.next_timer() <= at {
            self.run_agreement(now, agreement::Event::Tick, outgoing)?;
        }
        if self.distributor.next_timer().is_some_and(|timer| timer <= at) {
            self.distribute(now, distribution::Event::Tick, outgoing);
        }
        Ok(())
    }

    /// Handles readiness of a connection to another planner; false if the token belongs to none.
    pub fn ready(&mut self, now: Instant, token: Token) -> bool {
        let owns = self.peers.owns(token);
        if owns {
            self.peers.ready(now, token);
        }
        owns
    }

    /// Handles an agreement message of another planner.
    pub fn message(
        &mut self,
        now: Instant,
        message: Vec<u8>,
        outgoing: &mut Vec<Outgoing>,
    ) -> Result<(), StoreError> {
        self.run_agreement(now, agreement::Event::Message(message), outgoing)
    }

    /// Handles a new connection of an initiator.
    pub fn connected(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        initiator: String,
        outgoing: &mut Vec<Outgoing>,
    ) {
        outgoing.push(Outgoing::Initiator(connection, FromPlanner::Quorum(self.replica.has_quorum())));
        self.distribute(now, distribution::Event::Connected { connection, initiator }, outgoing);
    }

    /// Handles the end of an initiator's connection.
    pub fn disconnected(&mut self, now: Instant, connection: ConnectionId, outgoing: &mut Vec<Outgoing>) {
        self.distribute(now, distribution::Event::Disconnected(connection), outgoing);
    }

    /// Subscribes an initiator's connection to revisions.
    pub fn subscribe(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        current: RevisionId,
        outgoing: &mut Vec<Outgoing>,
    ) {
        self.distribute(now, distribution::Event::Subscribed { connection, current }, outgoing);
    }

    /// Ends the subscription of a connection.
    pub fn unsubscribe(&mut self, now: Instant, connection: ConnectionId, outgoing: &mut Vec<Outgoing>) {
        self.distribute(now, distribution::Event::Unsubscribed(connection), outgoing);
    }

    /// Handles an initiator's acknowledgement of a revision.
    pub fn acknowledge(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        acknowledgement: Acknowledgement,
        outgoing: &mut Vec<Outgoing>,
    ) {
        self.distribute(now, distribution::Event::Acknowledged { connection, acknowledgement }, outgoing);
    }

    /// Handles an operator's request. The answer may follow later.
    pub fn operator(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        request: OperatorRequest,
        outgoing: &mut Vec<Outgoing>,
    ) -> Result<(), StoreError> {
        let reply = match request {
            OperatorRequest::Submit(proposal) => return self.submit(now, connection, *proposal, outgoing),
            OperatorRequest::Show(number) => OperatorReply::Revision(self.revision(number).map(Box::new)),
            OperatorRequest::Status => OperatorReply::Status(self.status(now)),
        };
        outgoing.push(Outgoing::Operator(connection, reply));
        Ok(())
    }

    /// Handles the end of an operator's connection, which waits for no decision any more.
    pub fn operator_disconnected(&mut self, connection: ConnectionId) {
        self.waiting.values_mut().for_each(|waiting| waiting.retain(|other| *other != connection));
    }

    fn submit(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        mut proposal: Proposal,
        outgoing: &mut Vec<Outgoing>,
    ) -> Result<(), StoreError> {
        if let Err(why) = self.check(&proposal) {
            let reply = OperatorReply::Refused(ProposalError::Invalid(why));
            outgoing.push(Outgoing::Operator(connection, reply));
            return Ok(());
        }
        let is_pending = self.waiting.contains_key(&proposal.id);
        self.waiting.entry(proposal.id).or_default().push(connection);
        if is_pending {
            return Ok(());
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        proposal.submitted_ms = unix.as_millis() as u64;
        self.run_agreement(now, agreement::Event::Propose(Box::new(proposal)), outgoing)
    }

    /// Checks a proposal. The error is the reason why no planner can accept it.
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
            initiators: self.distributor.status(self.elapsed(now)),
        }
    }

    fn run_agreement(
        &mut self,
        now: Instant,
        event: agreement::Event,
        outgoing: &mut Vec<Outgoing>,
    ) -> Result<(), StoreError> {
        let mut actions = Vec::new();
        self.replica.handle(self.elapsed(now), event, &mut actions)?;
        for action in actions {
            match action {
                agreement::Action::Send { to, message } => self.peers.send(now, to, message),
                agreement::Action::Decided { id, outcome } => self.reply_to_proposers(id, outcome, outgoing),
                agreement::Action::Accepted(revision) => self.publish(now, revision, outgoing),
                agreement::Action::QuorumChanged(quorum) => {
                    tracing::info!(quorum, "contact with a majority of the planners");
                    outgoing.push(Outgoing::AllInitiators(FromPlanner::Quorum(quorum)));
                }
            }
        }
        Ok(())
    }

    fn reply_to_proposers(
        &mut self,
        id: ProposalId,
        outcome: Result<RevisionId, ProposalError>,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let reply = match outcome {
            Ok(revision) => OperatorReply::Accepted(revision),
            Err(error) => OperatorReply::Refused(error),
        };
        let waiting = self.waiting.remove(&id).unwrap_or_default();
        outgoing.extend(waiting.into_iter().map(|connection| Outgoing::Operator(connection, reply.clone())));
    }

    fn publish(&mut self, now: Instant, revision: Revision, outgoing: &mut Vec<Outgoing>) {
        // After a restart the replica may report again the revisions in its store.
        if revision.id.number <= self.newest.number {
            return;
        }
        tracing::info!(revision = %revision.id, author = revision.author, "revision accepted");
        self.newest = revision.id;
        self.distribute(now, distribution::Event::Accepted(revision), outgoing);
    }

    fn distribute(&mut self, now: Instant, event: distribution::Event, outgoing: &mut Vec<Outgoing>) {
        let mut actions = Vec::new();
        self.distributor.handle(self.elapsed(now), event, &mut actions);
        outgoing.extend(actions.into_iter().map(|distribution::Action::Send { connection, update }| {
            Outgoing::Initiator(connection, FromPlanner::Update(update))
        }));
    }

    /// The time since the start, which the replica and the distributor use as their clock.
    fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }
}

/// The identity that a planner's store must have.
fn identity(config: &settings::Configuration) -> Identity {
    let group = GroupId::from_names(config.planners.iter().map(String::as_str));
    Identity { group, voter: config.voter, voters: config.voters() }
}

/// Checks an author's name. The error is one line.
pub(super) fn check_author(author: &str) -> Result<(), String> {
    if author.is_empty() || author.len() > MAX_AUTHOR_BYTES || author.chars().any(char::is_control) {
        return Err(format!("author: 1 to {MAX_AUTHOR_BYTES} bytes of one line are allowed"));
    }
    Ok(())
}
