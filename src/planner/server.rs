//! A planner as a process of its own: it leads some partitions, as the elections go, and answers initiators' reports of
//! these with plans. Where live configuration is on, other planners and operators' commands come in at the same address.

use super::configuration::{Configuration, Said};
use super::connection::{Connection, Role};
use super::frame::{FromPlanner, OperatorReply, ToPlanner, SCHEMA};
use crate::conn::{Conn, ReadEnd};
use crate::listener::{Accepted, Listener, Pending};
use crate::revisions::distribution::{ConnectionId, LONGEST_NAME};
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
const FIRST_FREE: usize = 16;
/// Connections that one planner serves; each takes a descriptor.
const MOST_CONNECTIONS: usize = 4096;
/// Connections let in, in one turn of the loop: the others wait in the kernel.
const MOST_ACCEPTED: usize = 64;
/// Operators' commands that are served at a time; others are told to come again.
const MOST_OPERATORS: usize = 64;
/// Reads of one connection in one turn of the loop, where it has more than fits.
const MOST_READS: usize = 4;
/// How often everybody is told what this planner leads. The heartbeat as well.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// How long a planner may be deaf to its timers.
const LONGEST_WAIT: Duration = Duration::from_millis(100);
/// A planner process.
pub struct Server {
    poll: Poll,
    config: Config,
    election: Driver,
    listener: Listener,
    connections: HashMap<usize, Connection>,
    /// By partition, where it leads.
    leads: Vec<Option<Planner>>,
    /// Live configuration, where it is on.
    configuration: Option<Configuration>,
    started: Instant,
    next_token: usize,
    next_heartbeat: Instant,
    /// Connections of which not all was read.
    unfinished: BTreeSet<usize>,
}

impl Server {
    /// Takes part in the elections from now on; `signal` becomes readable when it is to end.
    ///
    /// # Errors
    ///
    /// An address is taken, or live configuration is on and can't go on from its store: one line.
    pub fn new(config: Config, signal: std::os::unix::net::UnixStream) -> Result<Self, String> {
        let poll = Poll::new().map_err(|error| format!("poll: {error}"))?;
        let mut signal = UnixStream::from_std(signal);
        let registered = poll.registry().register(&mut signal, SIGNAL, Interest::READABLE);
        registered.map_err(|error| format!("signal pipe: {error}"))?;
        // Kept for the life of the process: closing it would look like a signal.
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
            next_token: FIRST_FREE,
            next_heartbeat: started,
            unfinished: BTreeSet::new(),
        })
    }

    /// Runs until it is told to end; then other planners take over soon.
    ///
    /// # Errors
    ///
    /// The system does not let it wait, or the store of the live configuration failed: one line.
    pub fn run(&mut self) -> Result<(), String> {
        tracing::info!(name = self.config.name, listen = %self.config.listen, "started");
        let mut events = Events::with_capacity(1024);
        loop {
            match self.poll.poll(&mut events, Some(self.wait(Instant::now()))) {
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
                other => other.map_err(|error| format!("poll: {error}"))?,
            }
            let now = Instant::now();
            // First of all: a planner that was stopped may have been replaced, and plans nothing more then.
            if events.iter().any(|event| event.token() == ELECTION) {
                self.election.set_readable(0);
            }
            self.election.poll(now);
            self.follow_election(now);
            let mut ready = std::mem::take(&mut self.unfinished);
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
                self.next_heartbeat = now + HEARTBEAT;
                self.tell_leads(now);
            }
            self.turn_configuration(now)?;
        }
    }

    /// How long nothing is due.
    fn wait(&self, now: Instant) -> Duration {
        if !self.unfinished.is_empty() {
            return Duration::ZERO;
        }
        let election = self.election.next_timer(now);
        let configuration = self.configuration.as_ref().map(Configuration::next_timer);
        let accept = self.listener.accept_at(now);
        let timers = [election, configuration, accept].into_iter().flatten().chain([self.next_heartbeat]);
        let next = timers.min().unwrap_or(now);
        next.saturating_duration_since(now).min(LONGEST_WAIT)
    }

    /// One that leads a partition from now on knows nothing of what was moved before, and needs not: that runs out.
    fn follow_election(&mut self, now: Instant) {
        let mut changed = false;
        for partition in 0..self.leads.len() {
            let active = self.election.routers().machine(partition).role() == ElectionRole::Active;
            if active == self.leads[partition].is_some() {
                continue;
            }
            changed = true;
            // Another at each time in charge, also after a restart of this process.
            let nonce =
                SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64);
            let id = PlannerId(deal::hash(&self.config.name));
            self.leads[partition] = active.then(|| Planner::new(Settings::default(), id, nonce));
            tracing::info!(partition, leads = active, after = ?(now - self.started), "partition");
        }
        if changed {
            self.tell_leads(now);
        }
    }

    fn led(&self) -> FromPlanner {
        let leads = self.leads.iter().enumerate().filter(|(_, planner)| planner.is_some());
        FromPlanner::Leads(leads.map(|(at, _)| at as u16).collect())
    }

    /// Tells all initiators what is led here, and closes who is silent.
    fn tell_leads(&mut self, now: Instant) {
        let led = self.led();
        let mut gone = Vec::new();
        for (id, connection) in &mut self.connections {
            if matches!(connection.role, Role::Initiator(_)) && connection.reads() {
                connection.say(&led);
            }
            if connection.is_silent(now) || connection.flush().is_err() {
                gone.push(*id);
            }
        }
        gone.into_iter().for_each(|id| self.close(now, id));
    }

    /// Lets newcomers in, some in each turn: a thousand that come at once do not keep the others waiting.
    fn accept(&mut self, now: Instant) {
        for _ in 0..MOST_ACCEPTED {
            let Accepted { stream, .. } = match self.listener.accept() {
                Pending::Connection(accepted) => accepted,
                Pending::Empty => return,
                Pending::Failed(error) => return tracing::warn!("accept: {error}"),
            };
            if self.connections.len() >= MOST_CONNECTIONS {
                // Closed at once: it comes again after a pause of its own.
                continue;
            }
            // Without it plans still go out, only later.
            let _ = stream.set_nodelay(true);
            self.next_token += 1;
            if let Ok(conn) = Conn::new(stream, Token(self.next_token), self.poll.registry()) {
                self.connections.insert(self.next_token, Connection::new(conn, now));
            }
        }
    }

    /// Something happened on a connection. Whoever says what can't be used is told so and closed, and costs no other one
    /// anything.
    fn serve(&mut self, now: Instant, id: usize) -> Result<(), String> {
        let mut end = ReadEnd::Paused;
        for _ in 0..MOST_READS {
            let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
            end = connection.read();
            if let Err(why) = self.take(now, id)? {
                self.refuse(now, id, why);
            }
            if end != ReadEnd::Paused {
                break;
            }
        }
        if end == ReadEnd::Paused {
            self.unfinished.insert(id);
        }
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
        if connection.flush().is_err() || end.is_over() {
            self.close(now, id);
        }
        Ok(())
    }

    /// Takes what was said whole. The outer error ends the process, the inner one the connection.
    fn take(&mut self, now: Instant, id: usize) -> Result<Result<(), String>, String> {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else { return Ok(Ok(())) };
            let message = match connection.next() {
                Ok(Some(message)) => message,
                Ok(None) => return Ok(Ok(())),
                Err(why) => return Ok(Err(why)),
            };
            connection.heard = now;
            match connection.role.clone() {
                Role::Newcomer => {
                    if let Err(why) = self.greeted(now, id, message)? {
                        return Ok(Err(why));
                    }
                }
                Role::Initiator(_) => {
                    if let Err(why) = self.initiator_said(now, id, message) {
                        return Ok(Err(why));
                    }
                }
                Role::Peer(_) => match message {
                    ToPlanner::Agreement(message) => {
                        self.configure(now, |it, said| it.message(now, message, said))?;
                    }
                    ToPlanner::Alive => {}
                    _ => return Ok(Err("only the agreement's messages are for a planner".into())),
                },
                // Nothing of theirs is taken.
                Role::Operator | Role::Answered => {}
            }
        }
    }

    /// The first message of a newcomer.
    fn greeted(&mut self, now: Instant, id: usize, message: ToPlanner) -> Result<Result<(), String>, String> {
        match message {
            ToPlanner::Hello { schema, .. }
            | ToPlanner::PeerHello { schema, .. }
            | ToPlanner::Operator { schema, .. }
                if schema != SCHEMA =>
            {
                Ok(Err(format!("schema {schema} is not known, {SCHEMA} is")))
            }
            ToPlanner::Hello { forwarder, .. } => Ok(self.welcome(now, id, forwarder)),
            ToPlanner::PeerHello { planner, .. } => Ok(self.meet(now, id, &planner)),
            ToPlanner::Operator { request, .. } => {
                let operators = self.connections.values().filter(|it| it.role == Role::Operator).count();
                if operators >= MOST_OPERATORS {
                    return Ok(Err(format!("{operators} operators' commands wait here: come again")));
                }
                let Some(connection) = self.connections.get_mut(&id) else { return Ok(Ok(())) };
                connection.role = Role::Operator;
                if self.configuration.is_none() {
                    connection.say_last(now, &FromPlanner::OperatorReply(OperatorReply::Disabled));
                }
                let connection = ConnectionId(id);
                self.configure(now, |it, said| it.operator(now, connection, request, said))?;
                Ok(Ok(()))
            }
            _ => Ok(Err("a greeting comes first, and once".into())),
        }
    }

    fn welcome(&mut self, now: Instant, id: usize, name: String) -> Result<(), String> {
        if name.len() > LONGEST_NAME {
            return Err(format!("a name of {} bytes, at most {LONGEST_NAME} are allowed", name.len()));
        }
        let led = self.led();
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
        connection.role = Role::Initiator(name.clone());
        connection.say(&FromPlanner::Welcome { partitions: self.leads.len() as u16 });
        connection.say(&led);
        self.configure_surely(now, |it, said| it.connected(now, ConnectionId(id), name, said));
        Ok(())
    }

    /// Another planner has come. Its connection before, if it has one, is replaced: that may be one of which the end was
    /// never heard.
    fn meet(&mut self, now: Instant, id: usize, name: &str) -> Result<(), String> {
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

    fn initiator_said(&mut self, now: Instant, id: usize, message: ToPlanner) -> Result<(), String> {
        let connection = ConnectionId(id);
        match message {
            ToPlanner::Report { partition, report } => {
                let planner = self.leads.get_mut(usize::from(partition)).and_then(Option::as_mut);
                let at = now - self.started;
                let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
                // One that does not read gets no plan: the next one tells all that it has not held.
                let planner = planner.filter(|_| connection.reads());
                if let Some(plan) = planner.and_then(|planner| planner.handle_report(at, &report)) {
                    connection.say(&FromPlanner::Plan { partition, plan });
                }
            }
            ToPlanner::Alive => {}
            ToPlanner::Subscribe { current } => {
                self.configure_surely(now, |it, said| it.subscribe(now, connection, current, said));
            }
            ToPlanner::Unsubscribe => {
                self.configure_surely(now, |it, said| it.unsubscribe(now, connection, said));
            }
            ToPlanner::Acknowledge(acknowledgement) => {
                self.configure_surely(now, |it, said| it.acknowledge(now, connection, acknowledgement, said));
            }
            _ => return Err("a greeting comes first, and once".into()),
        }
        Ok(())
    }

    /// Does what is due of the live configuration.
    fn turn_configuration(&mut self, now: Instant) -> Result<(), String> {
        let mut said = Vec::new();
        if let Some(configuration) = &mut self.configuration {
            let turned = configuration.turn(now, self.poll.registry(), &mut said);
            turned.map_err(|error| format!("configuration: {error}"))?;
        }
        said.into_iter().for_each(|said| self.say(now, said));
        Ok(())
    }

    /// Has the live configuration take something, where it is on, and says what comes of it.
    fn configure<E: std::fmt::Display>(
        &mut self,
        now: Instant,
        take: impl FnOnce(&mut Configuration, &mut Vec<Said>) -> Result<(), E>,
    ) -> Result<(), String> {
        let Some(configuration) = &mut self.configuration else { return Ok(()) };
        let mut said = Vec::new();
        let taken = take(configuration, &mut said);
        said.into_iter().for_each(|said| self.say(now, said));
        taken.map_err(|error| format!("configuration: {error}"))
    }

    /// The same for what touches no store.
    fn configure_surely(&mut self, now: Instant, take: impl FnOnce(&mut Configuration, &mut Vec<Said>)) {
        let Some(configuration) = &mut self.configuration else { return };
        let mut said = Vec::new();
        take(configuration, &mut said);
        said.into_iter().for_each(|said| self.say(now, said));
    }

    /// Says something of the live configuration.
    fn say(&mut self, now: Instant, said: Said) {
        match said {
            Said::Initiator(ConnectionId(id), message) => self.say_surely(now, id, &message),
            Said::Everybody(message) => {
                let is_initiator = |connection: &Connection| matches!(connection.role, Role::Initiator(_));
                let initiators: Vec<usize> =
                    self.connections.iter().filter(|(_, it)| is_initiator(it)).map(|(id, _)| *id).collect();
                initiators.into_iter().for_each(|id| self.say_surely(now, id, &message));
            }
            Said::Operator(ConnectionId(id), reply) => {
                let Some(connection) = self.connections.get_mut(&id) else { return };
                connection.say_last(now, &FromPlanner::OperatorReply(reply));
                if connection.flush().is_err() {
                    self.close(now, id);
                }
            }
        }
    }

    /// Says what may not be left out: a far side that does not read is closed, and is told all when it comes again.
    fn say_surely(&mut self, now: Instant, id: usize, message: &FromPlanner) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.reads() {
            return self.close(now, id);
        }
        connection.say(message);
        if connection.flush().is_err() {
            self.close(now, id);
        }
    }

    /// Tells a far side why it can't go on.
    fn refuse(&mut self, now: Instant, id: usize, why: String) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        tracing::warn!(role = ?connection.role, "a message is unusable: {why}");
        let was = std::mem::replace(&mut connection.role, Role::Answered);
        connection.say_last(now, &FromPlanner::Refused(why));
        self.left(now, id, was);
    }

    fn close(&mut self, now: Instant, id: usize) {
        if let Some(connection) = self.connections.remove(&id) {
            self.left(now, id, connection.role);
        }
    }

    /// Somebody is no longer there.
    fn left(&mut self, now: Instant, id: usize, was: Role) {
        let connection = ConnectionId(id);
        match was {
            Role::Initiator(_) => {
                self.configure_surely(now, |it, said| it.disconnected(now, connection, said));
            }
            Role::Operator => self.configure_surely(now, |it, _| it.operator_left(connection)),
            Role::Newcomer | Role::Peer(_) | Role::Answered => {}
        }
    }
}

/// Makes the store that a planner's live configuration starts from, once.
///
/// # Errors
///
/// Live configuration is off in the file, there is a store already, or it can't be written: one line.
pub fn create_store(config: &Config) -> Result<(), String> {
    let section = config.configuration.as_ref().ok_or("the file has no section `configuration`")?;
    Configuration::create(section).map_err(|why| format!("configuration: {why}"))
}
