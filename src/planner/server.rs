//! A planner as a process of its own: it leads some partitions, as the elections go, and answers initiators' reports of
//! these with plans. Where live configuration is on, other planners and operators' commands come in at the same address.

use super::configuration::{Configuration, Outgoing};
use super::connection::{Connection, Role};
use super::frame::{FromPlanner, OperatorReply, ToPlanner, SCHEMA};
use crate::conn::{Conn, ReadEnd};
use crate::listener::{Accepted, Listener, Pending};
use crate::revisions::distribution::{ConnectionId, MAX_INITIATOR_NAME_BYTES};
use crate::shares::deal;
use crate::shares::planner::{Planner, Settings};
use crate::shares::PlannerId;
use crate::vrrp::machine::Role as ElectionRole;
use crate::vrrp::speaker::Driver;
use mio::net::UnixStream;
use mio::{Events, Interest, Poll, Token};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use super::settings::Config;

const LISTENER: Token = Token(0);
const ELECTION: Token = Token(1);
const SIGNAL: Token = Token(2);
/// The first of the connections to other planners.
const PEERS: Token = Token(8);
const FIRST_CLIENT_TOKEN: usize = 16;
/// Connections that one planner serves; each takes a file descriptor.
const MAX_CONNECTIONS: usize = 4096;
/// Connections accepted in one iteration of the loop; the others wait in the kernel.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// Operators' commands that are served at a time; others are told to try again.
const MAX_OPERATORS: usize = 64;
/// Reads of one connection in one iteration of the loop, if it has more data than one read takes.
const MAX_READS_PER_ITERATION: usize = 4;
/// How often all initiators are told which partitions this planner leads. Also the heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// The longest that the loop waits for events before it checks its timers.
const MAX_POLL_WAIT: Duration = Duration::from_millis(100);
/// A planner process.
pub struct Server {
    poll: Poll,
    config: Config,
    election: Driver,
    listener: Listener,
    connections: HashMap<usize, Connection>,
    /// The planner of each partition that this process leads.
    leads: Vec<Option<Planner>>,
    /// Live configuration, if enabled.
    configuration: Option<Configuration>,
    started: Instant,
    next_token: usize,
    next_heartbeat: Instant,
    /// Connections that may have more input to read.
    partially_read: BTreeSet<usize>,
}

impl Server {
    /// Starts to take part in the elections; `signal` becomes readable when the process is to end.
    ///
    /// # Errors
    ///
    /// An address is in use, or live configuration is enabled and its store can't be used. The error is one line.
    pub fn new(config: Config, signal: std::os::unix::net::UnixStream) -> Result<Self, String> {
        let poll = Poll::new().map_err(|error| format!("poll: {error}"))?;
        let mut signal = UnixStream::from_std(signal);
        let registered = poll.registry().register(&mut signal, SIGNAL, Interest::READABLE);
        registered.map_err(|error| format!("signal pipe: {error}"))?;
        // Kept until the process ends: closing it would look like a signal.
        std::mem::forget(signal);
        let started = Instant::now();
        let configuration = config
            .configuration
            .as_ref()
            .map(|section| Configuration::start(&config.name, section, PEERS, started))
            .transpose()
            .map_err(|why| format!("configuration: {why}"))?;
        let listener = Listener::open(config.listen).and_then(|mut listener| {
            listener.register(LISTENER, poll.registry())?;
            Ok(listener)
        });
        let listener = listener.map_err(|error| format!("{}: {error}", config.listen))?;
        let interfaces = std::slice::from_ref(&config.interface);
        let routers = config.routers.clone();
        let leads = routers.iter().map(|_| None).collect();
        let election = Driver::start(interfaces, routers, &[], [ELECTION], poll.registry(), started)?;
        Ok(Server {
            poll,
            config,
            election,
            listener,
            connections: HashMap::new(),
            leads,
            configuration,
            started,
            next_token: FIRST_CLIENT_TOKEN,
            next_heartbeat: started,
            partially_read: BTreeSet::new(),
        })
    }

    /// Runs until `signal` is readable. Then it leaves the elections, so that other planners take over soon.
    ///
    /// # Errors
    ///
    /// Polling failed, or the store of the live configuration did. The error is one line.
    pub fn run(&mut self) -> Result<(), String> {
        tracing::info!(name = self.config.name, listen = %self.config.listen, "started");
        let mut events = Events::with_capacity(1024);
        loop {
            match self.poll.poll(&mut events, Some(self.poll_timeout(Instant::now()))) {
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
                other => other.map_err(|error| format!("poll: {error}"))?,
            }
            let now = Instant::now();
            // Before anything else: a process that was suspended may have been replaced, and must not plan any more.
            if events.iter().any(|event| event.token() == ELECTION) {
                self.election.set_readable(0);
            }
            self.election.poll(now);
            self.follow_election(now);
            let mut ready = std::mem::take(&mut self.partially_read);
            for event in &events {
                match event.token() {
                    ELECTION => {}
                    LISTENER => self.listener.ready(now),
                    SIGNAL => {
                        self.election.shut_down(now);
                        return Ok(());
                    }
                    token if self.configuration.as_mut().is_some_and(|it| it.ready(now, token)) => {}
                    Token(id) => drop(ready.insert(id)),
                }
            }
            for id in ready {
                self.serve(now, id)?;
            }
            if self.listener.is_due(now) {
                self.accept(now);
            }
            if self.next_heartbeat <= now {
                self.next_heartbeat = now + HEARTBEAT_INTERVAL;
                self.announce_leadership(now);
            }
            self.run_configuration_timers(now)?;
        }
    }

    /// The time until the next timer is due, at most [`MAX_POLL_WAIT`].
    fn poll_timeout(&self, now: Instant) -> Duration {
        if !self.partially_read.is_empty() {
            return Duration::ZERO;
        }
        let election = self.election.next_timer(now);
        let configuration = self.configuration.as_ref().map(Configuration::next_timer);
        let accept = self.listener.accept_at(now);
        let timers = [election, configuration, accept].into_iter().flatten().chain([self.next_heartbeat]);
        let next = timers.min().unwrap_or(now);
        next.saturating_duration_since(now).min(MAX_POLL_WAIT)
    }

    /// Starts or drops the planner of each partition whose leadership changed. A new leader does not know the moves of
    /// earlier ones and does not need to: they expire.
    fn follow_election(&mut self, now: Instant) {
        let mut changed = false;
        for partition in 0..self.leads.len() {
            let active = self.election.routers().machine(partition).role() == ElectionRole::Active;
            if active == self.leads[partition].is_some() {
                continue;
            }
            changed = true;
            // Differs for each period of leadership, also after a restart of this process.
            let nonce =
                SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64);
            let id = PlannerId(deal::hash(&self.config.name));
            self.leads[partition] = active.then(|| Planner::new(Settings::default(), id, nonce));
            tracing::info!(partition, leads = active, after = ?(now - self.started), "partition");
        }
        if changed {
            self.announce_leadership(now);
        }
    }

    fn leads_message(&self) -> FromPlanner {
        let leads = self.leads.iter().enumerate().filter(|(_, planner)| planner.is_some());
        FromPlanner::Leads(leads.map(|(at, _)| at as u16).collect())
    }

    /// Tells all initiators which partitions are led here, and closes connections that are silent or broken.
    fn announce_leadership(&mut self, now: Instant) {
        let leads_message = self.leads_message();
        let mut gone = Vec::new();
        for (id, connection) in &mut self.connections {
            if matches!(connection.role, Role::Initiator(_)) && connection.accepts_output() {
                connection.send(&leads_message);
            }
            if connection.is_silent(now) || connection.flush().is_err() {
                gone.push(*id);
            }
        }
        gone.into_iter().for_each(|id| self.close(now, id));
    }

    /// Accepts a limited number of connections, so that a thousand at once do not delay the clients already connected.
    fn accept(&mut self, now: Instant) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let Accepted { stream, .. } = match self.listener.accept() {
                Pending::Connection(accepted) => accepted,
                Pending::Empty => return,
                Pending::Failed(error) => return tracing::warn!("accept: {error}"),
            };
            if self.connections.len() >= MAX_CONNECTIONS {
                // Closed at once: the client reconnects after its own pause.
                continue;
            }
            // Without it plans are only sent later.
            let _ = stream.set_nodelay(true);
            self.next_token += 1;
            if let Ok(conn) = Conn::new(stream, Token(self.next_token), self.poll.registry()) {
                self.connections.insert(self.next_token, Connection::new(conn, now));
            }
        }
    }

    /// Reads from a connection and handles its messages. A client that sends an unusable message gets the reason and is
    /// closed; other clients are not affected.
    fn serve(&mut self, now: Instant, id: usize) -> Result<(), String> {
        let mut end = ReadEnd::Paused;
        for _ in 0..MAX_READS_PER_ITERATION {
            let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
            end = connection.read();
            if let Err(why) = self.handle_messages(now, id)? {
                self.refuse(now, id, why);
            }
            if end != ReadEnd::Paused {
                break;
            }
        }
        if end == ReadEnd::Paused {
            self.partially_read.insert(id);
        }
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
        if connection.flush().is_err() || end.is_over() {
            self.close(now, id);
        }
        Ok(())
    }

    /// Handles all complete messages of a connection. The outer error ends the process, the inner one the connection.
    fn handle_messages(&mut self, now: Instant, id: usize) -> Result<Result<(), String>, String> {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else { return Ok(Ok(())) };
            let message = match connection.next_message() {
                Ok(Some(message)) => message,
                Ok(None) => return Ok(Ok(())),
                Err(why) => return Ok(Err(why)),
            };
            connection.last_received = now;
            match connection.role.clone() {
                Role::Unidentified => {
                    if let Err(why) = self.handle_first_message(now, id, message)? {
                        return Ok(Err(why));
                    }
                }
                Role::Initiator(_) => {
                    if let Err(why) = self.handle_initiator_message(now, id, message) {
                        return Ok(Err(why));
                    }
                }
                Role::Peer(_) => match message {
                    ToPlanner::Agreement(message) => {
                        self.with_configuration(now, |it, outgoing| it.message(now, message, outgoing))?;
                    }
                    ToPlanner::Alive => {}
                    _ => return Ok(Err("only the agreement's messages are for a planner".into())),
                },
                // Their further input is discarded.
                Role::Operator | Role::Answered => {}
            }
        }
    }

    /// Handles the first message of a connection, which tells what kind of client it is.
    fn handle_first_message(
        &mut self,
        now: Instant,
        id: usize,
        message: ToPlanner,
    ) -> Result<Result<(), String>, String> {
        match message {
            ToPlanner::Hello { schema, .. }
            | ToPlanner::PeerHello { schema, .. }
            | ToPlanner::Operator { schema, .. }
                if schema != SCHEMA =>
            {
                Ok(Err(format!("schema {schema} is not known, {SCHEMA} is")))
            }
            ToPlanner::Hello { forwarder, .. } => Ok(self.welcome_initiator(now, id, forwarder)),
            ToPlanner::PeerHello { planner, .. } => Ok(self.welcome_peer(now, id, &planner)),
            ToPlanner::Operator { request, .. } => {
                let operators = self.connections.values().filter(|it| it.role == Role::Operator).count();
                if operators >= MAX_OPERATORS {
                    return Ok(Err(format!("{operators} operators' commands wait here: come again")));
                }
                let Some(connection) = self.connections.get_mut(&id) else { return Ok(Ok(())) };
                connection.role = Role::Operator;
                if self.configuration.is_none() {
                    connection.send_final(now, &FromPlanner::OperatorReply(OperatorReply::Disabled));
                }
                let connection = ConnectionId(id);
                self.with_configuration(now, |it, outgoing| it.operator(now, connection, request, outgoing))?;
                Ok(Ok(()))
            }
            _ => Ok(Err("a greeting comes first, and once".into())),
        }
    }

    fn welcome_initiator(&mut self, now: Instant, id: usize, name: String) -> Result<(), String> {
        if name.len() > MAX_INITIATOR_NAME_BYTES {
            return Err(format!(
                "a name of {} bytes, at most {MAX_INITIATOR_NAME_BYTES} are allowed",
                name.len()
            ));
        }
        let leads_message = self.leads_message();
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
        connection.role = Role::Initiator(name.clone());
        connection.send(&FromPlanner::Welcome { partitions: self.leads.len() as u16 });
        connection.send(&leads_message);
        self.with_configuration_infallible(now, |it, outgoing| {
            it.connected(now, ConnectionId(id), name, outgoing)
        });
        Ok(())
    }

    /// Handles the greeting of another planner. Its earlier connections are closed, since the end of one may not have
    /// been noticed.
    fn welcome_peer(&mut self, now: Instant, id: usize, name: &str) -> Result<(), String> {
        let configuration =
            self.configuration.as_ref().ok_or("live configuration is not switched on here")?;
        let Some(voter) = configuration.peer(name) else {
            return Err(format!("{name:?} is not among the other planners"));
        };
        let is_older = |connection: &Connection| connection.role == Role::Peer(voter);
        let older: Vec<usize> =
            self.connections.iter().filter(|(_, it)| is_older(it)).map(|(id, _)| *id).collect();
        older.into_iter().for_each(|id| self.close(now, id));
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.role = Role::Peer(voter);
        }
        Ok(())
    }

    fn handle_initiator_message(
        &mut self,
        now: Instant,
        id: usize,
        message: ToPlanner,
    ) -> Result<(), String> {
        let connection = ConnectionId(id);
        match message {
            ToPlanner::Report { partition, report } => {
                let planner = self.leads.get_mut(usize::from(partition)).and_then(Option::as_mut);
                let at = now - self.started;
                let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
                // A client that does not read gets no plan: the next one repeats all that it does not hold yet.
                let planner = planner.filter(|_| connection.accepts_output());
                if let Some(plan) = planner.and_then(|planner| planner.handle_report(at, &report)) {
                    connection.send(&FromPlanner::Plan { partition, plan });
                }
            }
            ToPlanner::Alive => {}
            ToPlanner::Subscribe { current } => {
                self.with_configuration_infallible(now, |it, outgoing| {
                    it.subscribe(now, connection, current, outgoing)
                });
            }
            ToPlanner::Unsubscribe => {
                self.with_configuration_infallible(now, |it, outgoing| {
                    it.unsubscribe(now, connection, outgoing)
                });
            }
            ToPlanner::Acknowledge(acknowledgement) => {
                self.with_configuration_infallible(now, |it, outgoing| {
                    it.acknowledge(now, connection, acknowledgement, outgoing)
                });
            }
            _ => return Err("a greeting comes first, and once".into()),
        }
        Ok(())
    }

    /// Runs the timers of the live configuration.
    fn run_configuration_timers(&mut self, now: Instant) -> Result<(), String> {
        let mut outgoing = Vec::new();
        if let Some(configuration) = &mut self.configuration {
            let result = configuration.run_timers(now, self.poll.registry(), &mut outgoing);
            result.map_err(|error| format!("configuration: {error}"))?;
        }
        outgoing.into_iter().for_each(|outgoing| self.deliver(now, outgoing));
        Ok(())
    }

    /// Calls the live configuration, if enabled, and sends the resulting messages.
    fn with_configuration<E: std::fmt::Display>(
        &mut self,
        now: Instant,
        call: impl FnOnce(&mut Configuration, &mut Vec<Outgoing>) -> Result<(), E>,
    ) -> Result<(), String> {
        let Some(configuration) = &mut self.configuration else { return Ok(()) };
        let mut outgoing = Vec::new();
        let result = call(configuration, &mut outgoing);
        outgoing.into_iter().for_each(|outgoing| self.deliver(now, outgoing));
        result.map_err(|error| format!("configuration: {error}"))
    }

    /// The same for calls that don't use the store and therefore can't fail.
    fn with_configuration_infallible(
        &mut self,
        now: Instant,
        call: impl FnOnce(&mut Configuration, &mut Vec<Outgoing>),
    ) {
        let Some(configuration) = &mut self.configuration else { return };
        let mut outgoing = Vec::new();
        call(configuration, &mut outgoing);
        outgoing.into_iter().for_each(|outgoing| self.deliver(now, outgoing));
    }

    /// Sends a message of the live configuration.
    fn deliver(&mut self, now: Instant, outgoing: Outgoing) {
        match outgoing {
            Outgoing::Initiator(ConnectionId(id), message) => self.send_or_close(now, id, &message),
            Outgoing::AllInitiators(message) => {
                let is_initiator = |connection: &Connection| matches!(connection.role, Role::Initiator(_));
                let initiators: Vec<usize> =
                    self.connections.iter().filter(|(_, it)| is_initiator(it)).map(|(id, _)| *id).collect();
                initiators.into_iter().for_each(|id| self.send_or_close(now, id, &message));
            }
            Outgoing::Operator(ConnectionId(id), reply) => {
                let Some(connection) = self.connections.get_mut(&id) else { return };
                connection.send_final(now, &FromPlanner::OperatorReply(reply));
                if connection.flush().is_err() {
                    self.close(now, id);
                }
            }
        }
    }

    /// Sends a message that must not be skipped. A client that does not read is closed; it gets the full state when it
    /// reconnects.
    fn send_or_close(&mut self, now: Instant, id: usize, message: &FromPlanner) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.accepts_output() {
            return self.close(now, id);
        }
        connection.send(message);
        if connection.flush().is_err() {
            self.close(now, id);
        }
    }

    /// Sends a client the reason why its connection ends.
    fn refuse(&mut self, now: Instant, id: usize, why: String) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        tracing::warn!(role = ?connection.role, "unusable message: {why}");
        let previous_role = std::mem::replace(&mut connection.role, Role::Answered);
        connection.send_final(now, &FromPlanner::Refused(why));
        self.connection_ended(now, id, previous_role);
    }

    fn close(&mut self, now: Instant, id: usize) {
        if let Some(connection) = self.connections.remove(&id) {
            self.connection_ended(now, id, connection.role);
        }
    }

    /// Tells the live configuration that a client is no longer served.
    fn connection_ended(&mut self, now: Instant, id: usize, previous_role: Role) {
        let connection = ConnectionId(id);
        match previous_role {
            Role::Initiator(_) => {
                self.with_configuration_infallible(now, |it, outgoing| {
                    it.disconnected(now, connection, outgoing)
                });
            }
            Role::Operator => {
                self.with_configuration_infallible(now, |it, _| it.operator_disconnected(connection))
            }
            Role::Unidentified | Role::Peer(_) | Role::Answered => {}
        }
    }
}

/// Creates the store of a planner's live configuration, once.
///
/// # Errors
///
/// Live configuration is disabled in the file, a store exists already, or it can't be written. The error is one line.
pub fn create_store(config: &Config) -> Result<(), String> {
    let section = config.configuration.as_ref().ok_or("the file has no section `configuration`")?;
    Configuration::create(section).map_err(|why| format!("configuration: {why}"))
}
