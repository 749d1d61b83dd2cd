//! The loop: gathers what is ready, hands it to the planner in one call, carries out what came back.

mod budget;
mod configuration;
mod operators;
mod readiness;
mod reports;
mod succession;
mod turns;

use crate::clock::Clock;
use crate::config::{Config, Files};
use crate::control::endpoint::AdminEndpoint;
use crate::core::{AttemptId, Core, Effect, Ended};
use crate::discovery::{self, Discovery, News};
use crate::fleet;
use crate::flow::{Budget, WINDOW};
use crate::front::{iscsi, resp, Front, Room};
use crate::interface::{Event, ListKind, Outcome};
use crate::listener::Listener;
use crate::nodes::Nodes;
use crate::pace::Pace;
use crate::placement::Placement;
use crate::planner::client::{self, Planners};
use crate::planner::Planner;
use crate::process::{self, Signals};
use crate::service::addresses::{Addresses, Lent, Seen};
use crate::service::State;
use crate::target::{Flowing, Start, Targets};
use crate::tokens::{Kind, Tokens};
use crate::upgrade::frame::{Carried, Place};
use crate::upgrade::{self, Before, Upgrade};
use budget::{connection_budget, LONG_PART, MOST_ISCSI};
use mio::net::UnixStream;
use mio::{Interest, Poll, Token};
use readiness::{Readiness, Ready};
use std::io::Read;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use turns::{Turns, Work};

const LISTENER: Token = Token(0);
const SIGNAL: Token = Token(1);
const RELOAD: Token = Token(2);
const ISCSI_LISTENER: Token = Token(3);
const ADMIN_LISTENER: Token = Token(4);
const UPGRADE: Token = Token(7);
const FLEET: Token = Token(8);
/// Where advertisements come in, at most one interface for each family.
const ADVERTISEMENTS: [Token; 2] = [Token(5), Token(6)];
/// Part of the descriptors that clients may have requests waiting on: three fifths of the third that they hold.
const HELD_SOCKETS: usize = 5;
/// Part of that which one connection may have waiting, and how many commands at most. Guards against a client that sends
/// all it has at once: beyond the whole the deepest in need is refused, whoever asked.
const CONNECTION_PART: usize = 4;
const MOST_PENDING: usize = 64;
/// This long after a request is due in the core its client has given up: no value that is still to be read is worth
/// anything. Before that one may come in the same turn.
const WORTHLESS_AFTER: Duration = Duration::from_millis(6);
/// How soon a fleet is joined again whose address was not free.
const JOIN_PAUSE: Duration = Duration::from_millis(10);
/// How often a shutdown looks for clients that have become idle.
const SHUTDOWN_LOOK: Duration = Duration::from_millis(20);

/// One initiator.
pub struct Forwarder {
    poll: Poll,
    clock: Clock,
    /// Memory for long values.
    budget: Budget,
    core: Core,
    planner: Planner,
    /// Remote planners, where there are any.
    planners: Option<Planners>,
    resp: Front<resp::Resp>,
    iscsi: Option<Front<iscsi::Target>>,
    targets: Targets,
    discovery: Discovery,
    nodes: Nodes,
    placement: Placement,
    /// Addresses that move between machines.
    addresses: Option<Addresses>,
    /// Membership among initiators, where they may talk.
    fleet: Option<fleet::speaker::Speaker>,
    /// When it is to be joined again: the address may still be that of a process that has just died.
    fleet_again: Option<Instant>,
    /// Where operators call.
    admin: Option<AdminEndpoint>,
    /// The process that took over has the operators' listener.
    admin_given: bool,
    /// Whether it takes clients.
    state: State,
    /// Other processes of this initiator, while one takes the place of another.
    upgrade: Upgrade,
    /// Descriptors and bytes of memory that the one before still holds.
    held: (usize, usize),
    files: Files,
    /// What is in force, but for the list known at the start.
    config: Config,
    signal: UnixStream,
    reload: UnixStream,
    tokens: Tokens,
    turns: Turns,
    /// What is ready in this turn came at this moment at the earliest.
    came: Instant,
    next_report: Instant,
}

impl Forwarder {
    /// Reads its files, binds its address and takes its last list.
    pub fn new(files: Files, signals: Signals) -> Result<Self, String> {
        let mut config = Config::read(&files)?;
        let known = config.known.take();
        if let Some(most) = process::most_descriptors().filter(|most| *most < config.sockets) {
            // Guards discovery and nodes against clients that would take up all of fewer than the settings say.
            tracing::warn!(most, "limits.sockets is {}, and the system allows fewer", config.sockets);
            config.sockets = most;
        }
        // Addresses that move and remote planners' shares belong to one process: no second one takes over beside them.
        let alone = config.vrrp.is_some() || !config.planners.is_empty();
        let place = if alone { None } else { upgrade::meeting_place(config.listen) };
        let mut before = match place.as_deref().map(Before::find) {
            Some(Ok(before)) => before,
            Some(Err(why)) => {
                tracing::warn!("a start as ever, though another process may be there: {why}");
                None
            }
            None => None,
        };
        let mut listen = |at: Place, address: SocketAddr| {
            // A port that the system chooses is another one each time.
            let before = before.as_mut().filter(|_| address.port() != 0);
            let inherited = before.and_then(|before| before.listener(at));
            inherited.map_or_else(|| Listener::open(address), |socket| Ok(Listener::adopt(socket, None)))
        };
        let poll = Poll::new().map_err(|error| format!("poll: {error}"))?;
        let (clock, now) = (Clock::start(), Instant::now());
        let register = |stream, token| {
            let mut stream = UnixStream::from_std(stream);
            let registered = poll.registry().register(&mut stream, token, Interest::READABLE);
            registered.map(|()| stream).map_err(|error| format!("signal pipe: {error}"))
        };
        let (signal, reload) = (register(signals.end, SIGNAL)?, register(signals.reload, RELOAD)?);
        let (for_targets, room) = connection_budget(&config, (0, 0));
        // Clients hold a third of the descriptors at most, one for each request: what waits here takes so many from
        // those that come next.
        let most_held = config.sockets / HELD_SOCKETS;
        config.settings.limits.most_held = Some(most_held);
        if let Some(vrrp) = &config.vrrp {
            if let Some(plan) = vrrp.share.too_small(&config.settings) {
                let why = "handover.burst_share leaves no room for the largest request of plan";
                return Err(format!("{}: {why} {:?}", files.vrrp.display(), config.wire.plans[plan]));
            }
            vrrp.share.divide(&mut config.settings);
        }
        let (wire, settings) = (config.wire.clone(), config.settings.clone());
        let mut nodes = Nodes::new(wire.zones.clone());
        let targets = Targets::new(wire.connect_timeout, wire.conn_idle, for_targets, now);
        let retry_after = settings.limits.max_retry_after;
        let iscsi = config.iscsi.clone().map(|offered| {
            offered.storage.iter().for_each(|storage| nodes.add_own(storage));
            let patience = settings.classes.iter().map(|class| class.deadline).collect();
            let room =
                Room { easy: MOST_ISCSI, clients: MOST_ISCSI, crowd: 0, leaving: MOST_ISCSI / 4, ..room };
            let address = offered.listen;
            let target = iscsi::Target::new(offered, patience, retry_after, config.seed);
            listen(Place::Iscsi(address), address)
                .and_then(|listener| {
                    Front::new(target, listener, ISCSI_LISTENER, poll.registry(), clock, room)
                })
                .map_err(|error| format!("{address}: {error}"))
        });
        let budget = Budget::new(config.memory / LONG_PART);
        let most_pending = (most_held / CONNECTION_PART).clamp(1, MOST_PENDING);
        let resp = resp::Resp { wire, retry_after, most_pending, budget: budget.clone() };
        let resp = listen(Place::Resp(config.listen), config.listen)
            .and_then(|listener| Front::new(resp, listener, LISTENER, poll.registry(), clock, room))
            .map_err(|error| format!("{}: {error}", config.listen))?;
        let admin = config.control.map(|address| {
            let admin = listen(Place::Control(address), address)
                .and_then(|listener| AdminEndpoint::open(listener, ADMIN_LISTENER, poll.registry()));
            admin.map_err(|error| format!("control {address}: {error}"))
        });
        let admin = admin.transpose()?;
        let mut tokens = Tokens::new();
        let planners = (!config.planners.is_empty()).then(|| {
            let names = config.live_configuration.then(|| config.names());
            let (addresses, settings) = (&config.planners, (settings.clone(), names));
            let (partitions, name) = (config.partitions, config.name.as_str());
            Planners::new(addresses, partitions, name, settings, config.seed, (clock, now), &mut tokens)
        });
        let mut planner = Planner::new(settings, config.seed, clock);
        let mut core = Core::new(clock, retry_after);
        core.set_classes(&config.settings.classes);
        let (mut state, mut version) = (State::default(), known.as_ref().map(|known| known.index));
        let mut upgrade = Upgrade::new(place, UPGRADE, now);
        let mut held = (0, 0);
        let (mut loaded, mut identity) = (false, None);
        if let Some(before) = before {
            let carried = upgrade.take_over(before, poll.registry(), &mut tokens, now)?;
            if let Some(carried) = carried {
                let Carried { drained, nodes: listed, list, scheduler, holds, fleet } = *carried;
                identity = fleet;
                if drained {
                    state.drain(now)?;
                }
                held = holds;
                if let Some(list_event) = nodes.load(now, listed) {
                    (version, loaded) = (list, true);
                    let learned = scheduler.is_some_and(|scheduler| planner.take_over(scheduler));
                    tracing::info!(learned, "taken over from the process before");
                    core.tell(list_event);
                }
            }
        }
        let mut forwarder = Forwarder {
            poll,
            clock,
            budget,
            core,
            planner,
            planners,
            resp,
            iscsi: iscsi.transpose()?,
            targets,
            discovery: Discovery::new(
                config.discovery,
                tokens.next(Kind::Discovery),
                now,
                version,
                discovery::Manner::new(&config.settings, config.seed),
            ),
            nodes,
            placement: Placement::default(),
            addresses: None,
            fleet: None,
            fleet_again: None,
            admin,
            admin_given: false,
            state,
            upgrade,
            held,
            files,
            config,
            signal,
            reload,
            tokens,
            turns: Turns::new(now),
            came: now,
            next_report: now,
        };
        if !forwarder.nodes.own().is_empty() {
            let entries = forwarder.nodes.own().to_vec();
            forwarder.core.tell(Event::List { kind: ListKind::Delta, entries });
        }
        if let Some(known) = known.filter(|_| !loaded) {
            forwarder.take_list(News { message: known, fresh: false, came: now }, ListKind::Cached);
        }
        if let Some(vrrp) = forwarder.config.vrrp.clone() {
            let longest = forwarder.longest_deadline();
            let mut lent = forwarder.lend();
            let addresses = Addresses::start(vrrp, longest, ADVERTISEMENTS, &mut lent, now)?;
            forwarder.addresses = Some(addresses);
        }
        forwarder.join_fleet(now, identity)?;
        let iscsi = forwarder.iscsi.as_ref().and_then(Front::address);
        tracing::trace!(settings = ?forwarder.config.settings, "settings");
        let control = forwarder.admin.as_ref().and_then(AdminEndpoint::address);
        forwarder.state.start();
        forwarder.divide();
        forwarder.stand();
        forwarder.upgrade.listen(forwarder.poll.registry());
        tracing::info!(name = forwarder.config.name, resp = ?forwarder.resp.address(), ?iscsi, ?control, "started");
        Ok(forwarder)
    }

    /// Runs until all is answered after a signal to end.
    pub fn run(&mut self) -> std::io::Result<()> {
        let mut ready = Readiness::new();
        self.plan(Instant::now());
        let mut pace = Pace::new(self.config.settings.tick, self.config.cores, Instant::now());
        loop {
            let now = Instant::now();
            let due = self.next_timer(now);
            let pause = pace.waits(now);
            if !pause.is_zero() {
                let begun = Instant::now();
                std::thread::sleep(pause);
                pace.paused(begun.elapsed());
            }
            let wait = due.saturating_duration_since(Instant::now());
            match ready.wait(&mut self.poll, wait) {
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {
                    pace.interrupted();
                    continue;
                }
                other => other?,
            }
            let now = Instant::now();
            self.turns.begin(now);
            let late = pace.woken(now);
            let stopped = pace.may_have_been_stopped(now);
            if stopped {
                // Guards what has come by now against timers that are due by now: it may have come after the wait.
                ready.look_again(&mut self.poll)?;
            }
            self.core.is_late_by(late);
            self.report_turns(now);
            self.came = now.checked_sub(pace.waited()).unwrap_or(now);
            self.resp.begin_turn(self.came, stopped);
            self.iscsi.iter_mut().for_each(|front| front.begin_turn(self.came, stopped));
            self.answer_what_is_over(now);
            self.count();
            if let Some(addresses) = &mut self.addresses {
                // A process that was stopped, or waits for the processor, wakes late.
                addresses.turned(now.saturating_duration_since(due));
                self.serve(now, &ready);
            }
            self.answer_operators(now, &ready);
            self.turns.spent_on(Work::Upkeep);
            self.gather_all(now, &ready);
            self.turns.spent_on(Work::Hearing);
            self.take_part(now, late.max(now.saturating_duration_since(due)));
            self.turns.spent_on(Work::Upkeep);
            self.turn(now);
            self.turns.spent_on(Work::Hearing);
            self.hand_over(now);
            self.core.fire(now);
            self.targets.tick(now);
            self.discovery.tick(now, self.poll.registry());
            if let Some(planners) = &mut self.planners {
                if planners.tick(now, self.poll.registry()) {
                    let (lines, json) = planners.info(now);
                    self.core.set_report(client::REPORT, lines, json);
                }
            }
            self.follow_configuration(now);
            self.turns.spent_on(Work::Upkeep);
            self.plan(now);
            self.turns.spent_on(Work::Deciding);
            if self.state.ending().is_some_and(|since| self.shut_down(now, now - since)) {
                self.upgrade.end();
                tracing::info!("ended\n{}", self.core.info());
                return Ok(());
            }
            if let Some(addresses) = &mut self.addresses {
                addresses.turned(now.elapsed());
            }
            self.turns.end();
        }
    }

    /// Answers first whose clients' time is over, before anything is read: a loop that is behind is not to be late with
    /// everything.
    fn answer_what_is_over(&mut self, now: Instant) {
        self.core.answer_overdue(now.checked_sub(WORTHLESS_AFTER).unwrap_or(now));
        for effect in self.core.drain_effects() {
            self.carry_out(now, effect);
        }
    }

    /// Follows the addresses that move, before anything else that is ready.
    fn serve(&mut self, now: Instant, ready: &Readiness) {
        let came: Vec<bool> = ADVERTISEMENTS.iter().map(|token| ready.contains(*token)).collect();
        let discovery = self.discovery.heard();
        let ready_nodes = self.nodes.ready();
        let (crowded, memory) = (self.resp.is_crowded(now), self.config.memory);
        self.with_addresses(|addresses, lent| {
            for (interface, _) in came.iter().enumerate().filter(|(_, came)| **came) {
                addresses.ready(interface);
            }
            addresses.turn(now, lent);
            addresses.look(now, || Seen { discovery, ready_nodes, crowded, memory }, lent);
        });
    }

    /// Takes part in the fleet, if there is one: as another life, or in the place of the process before.
    fn join_fleet(&mut self, now: Instant, identity: Option<fleet::member::Identity>) -> Result<(), String> {
        let Some(settings) = &self.config.fleet else { return Ok(()) };
        let (unix, registry) = (self.clock.unix(now), self.poll.registry());
        let drawn = (unix, self.config.seed);
        self.fleet = Some(fleet::speaker::Speaker::start(settings, drawn, identity, FLEET, registry, now)?);
        Ok(())
    }

    /// Its part in the fleet. A process that was stopped, or waits for the processor, doubts itself first.
    fn take_part(&mut self, now: Instant, late: Duration) {
        if self.fleet_again.take_if(|at| *at <= now).is_some() {
            if let Err(why) = self.join_fleet(now, None) {
                tracing::warn!("{why}");
                self.fleet_again = Some(now + JOIN_PAUSE);
            }
        }
        let Some(fleet) = &mut self.fleet else { return };
        fleet.turn(now, late);
        if let Some((lines, json)) = fleet.info(now) {
            self.core.set_report(fleet::speaker::REPORT, lines, json);
        }
    }

    /// Lends the addresses that move what they need of the rest.
    fn with_addresses(&mut self, act: impl FnOnce(&mut Addresses, &mut Lent)) {
        if let Some(mut addresses) = self.addresses.take() {
            act(&mut addresses, &mut self.lend());
            self.addresses = Some(addresses);
        }
    }

    fn lend(&mut self) -> Lent<'_> {
        Lent {
            registry: self.poll.registry(),
            core: &mut self.core,
            resp: &mut self.resp,
            iscsi: self.iscsi.as_mut(),
            tokens: &mut self.tokens,
        }
    }

    fn longest_deadline(&self) -> Duration {
        self.config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    fn next_timer(&self, now: Instant) -> Instant {
        let mut next = self.targets.next_timer().min(self.resp.next_timer(now));
        next = self.iscsi.as_ref().map_or(next, |front| next.min(front.next_timer(now)));
        next = self.discovery.next_timer().map_or(next, |at| next.min(at));
        next = self.core.next_timer().map_or(next, |at| next.min(at));
        next = self.addresses.as_ref().map_or(next, |addresses| next.min(addresses.next_timer(now)));
        next = self.upgrade.next_timer().map_or(next, |at| next.min(at));
        next = self.admin.as_ref().and_then(|admin| admin.next_timer(now)).map_or(next, |at| next.min(at));
        next = self.fleet.as_ref().and_then(|it| it.next_timer(now)).map_or(next, |at| next.min(at));
        next = self.fleet_again.map_or(next, |at| next.min(at));
        next = self.planners.as_ref().map_or(next, |planners| next.min(planners.next_timer()));
        if self.core.has_news() || self.targets.has_news() {
            // The last turn was long, and left it to this one.
            return now;
        }
        match self.state.ending() {
            Some(_) => next.min(now + SHUTDOWN_LOOK),
            None => next,
        }
    }

    /// Tells the fronts what the state of service means for clients.
    fn stand(&mut self) {
        let standing = self.state.standing();
        self.resp.stand(standing);
        self.iscsi.iter_mut().for_each(|front| front.stand(standing));
    }

    /// Takes what is ready: what discovery says first, then clients, then nodes. Guards against attempts that begin as a
    /// connection comes up, while a drain, or that their client has gone, waits in the same turn to be read. A process
    /// that was stopped finds all of it there at once.
    fn gather_all(&mut self, now: Instant, ready: &Readiness) {
        let rank = |token: Token| match Kind::of(token.0) {
            Some(Kind::Discovery) => 0,
            Some(Kind::Target) => 2,
            _ => 1,
        };
        for turn in 0..3 {
            for (token, ready) in ready.iter().filter(|(token, _)| rank(*token) == turn) {
                self.gather(now, token, ready);
            }
            for effect in self.core.drain_effects() {
                self.carry_out(now, effect);
            }
        }
    }

    fn gather(&mut self, now: Instant, token: Token, ready: Ready) {
        match token {
            // Connections are accepted once all that is ready was looked at.
            LISTENER => self.resp.knock(),
            ISCSI_LISTENER => {
                if let Some(front) = &mut self.iscsi {
                    front.knock();
                }
            }
            // Read before all else in a turn.
            ADMIN_LISTENER => {}
            UPGRADE => self.upgrade.knock(),
            FLEET => self.fleet.iter_mut().for_each(fleet::speaker::Speaker::ready),
            token if ADVERTISEMENTS.contains(&token) => {}
            SIGNAL => {
                if drained(&mut self.signal) {
                    tracing::info!("asked to end");
                    self.with_addresses(|addresses, lent| addresses.end_soon(now, lent));
                    self.fleet.iter_mut().for_each(|fleet| fleet.leave(now));
                    self.fleet_again = None;
                    self.state.end(now);
                    self.stand();
                }
            }
            RELOAD => {
                if drained(&mut self.reload) {
                    self.reload(now);
                }
            }
            Token(id) => match (Kind::of(id), &mut self.iscsi) {
                (Some(Kind::RespClient), _) => match ready {
                    Ready::Writable => self.resp.writable(now, id, &mut self.core),
                    Ready::Readable => self.resp.readable(now, id, &mut self.core),
                    Ready::Ends => self.resp.ended(now, id, &mut self.core),
                },
                (Some(Kind::IscsiClient), Some(front)) => match ready {
                    Ready::Writable => front.writable(now, id, &mut self.core),
                    Ready::Readable => front.readable(now, id, &mut self.core),
                    Ready::Ends => front.ended(now, id, &mut self.core),
                },
                (Some(Kind::RespListener), _) => self.resp.knock(),
                (Some(Kind::Planner), _) => {
                    if let Some(planners) = &mut self.planners {
                        planners.ready(now, token);
                    }
                }
                (Some(Kind::IscsiListener), Some(front)) => front.knock(),
                (Some(Kind::Operator), _) => {}
                (Some(Kind::Upgrade), _) => {
                    let heard = self.upgrade.ready(id);
                    self.hear(now, heard);
                }
                (Some(Kind::Discovery), _) => {
                    if let Some(news) = self.discovery.ready(now, self.came, token) {
                        let kind = news.message.kind();
                        // A drain's grace runs from its announcement, however late this loop reads it.
                        self.take_list(news, kind);
                    }
                }
                _ => self.targets.ready(now, id),
            },
        }
    }

    /// Reads the configuration again and takes over what can change without a restart. Guards against a file that
    /// is half written or wrong: nothing is changed before all of it was read and checked.
    fn reload(&mut self, now: Instant) {
        self.core.counters.reloads += 1;
        let new = match Config::read(&self.files) {
            Ok(new) => new,
            Err(why) => {
                self.core.counters.reloads_failed += 1;
                return tracing::error!("the old configuration stays in force: {why}");
            }
        };
        tracing::info!(discovery = %new.discovery, "configuration reloaded");
        for what in self.config.fixed_changes(&new) {
            tracing::warn!("a change of {what} needs a restart");
        }
        if let Some(vrrp) = new.vrrp {
            self.with_addresses(|addresses, lent| addresses.change(now, vrrp, lent));
        }
        self.config.discovery = new.discovery;
        let token = self.tokens.next(Kind::Discovery);
        self.discovery.move_to(new.discovery, token, now);
    }

    /// What the fronts do in each turn of the loop.
    fn turn(&mut self, now: Instant) {
        let (registry, tokens, core) = (self.poll.registry(), &mut self.tokens, &mut self.core);
        self.resp.turn(now, registry, || tokens.next(Kind::RespClient), core);
        if let Some(front) = &mut self.iscsi {
            front.turn(now, registry, || tokens.next(Kind::IscsiClient), core);
        }
    }

    /// Takes a list from discovery.
    fn take_list(&mut self, news: News, kind: ListKind) {
        self.turns.spent_on(Work::Hearing);
        let (event, gone) = self.nodes.take(news, kind);
        tracing::trace!(?event, "node list");
        gone.into_iter().for_each(|node| self.targets.leave(node));
        self.close_draining(&event);
        self.core.tell(event);
        self.turns.spent_on(Work::Lists);
    }

    /// Nothing begins at the draining nodes of a message once their grace is over.
    fn close_draining(&mut self, message: &Event) {
        for (node, closes) in self.nodes.closing(message, self.config.settings.rules.drain_grace) {
            self.targets.close_at(node, closes);
        }
    }

    /// Planner rounds until nothing more happens at once, or the turn is long: then those that are due are answered, and
    /// others heard, before it goes on.
    fn plan(&mut self, now: Instant) {
        let begun = Instant::now();
        for round in 0.. {
            if round > 0 && begun.elapsed() > turns::LONG && !self.core.has_effects() {
                return;
            }
            self.pass_on(now);
            for (attempt, ended) in std::mem::take(&mut self.targets.ended) {
                self.learn_place(attempt, ended.outcome);
                self.core.attempt_ended(now, attempt, ended);
            }
            let effects = self.core.drain_effects();
            if effects.is_empty() {
                let mut events = self.core.drain_events();
                for event in &mut events {
                    if let Event::Request(new) = event {
                        new.shard = self.placement.shard(new.key, new.shard);
                    }
                }
                // What may be used now comes before what asks for it, and changes also while nobody asks.
                let shares = self.planners.as_mut().and_then(|planners| planners.before(now, &events));
                events.splice(0..0, shares);
                if events.is_empty() {
                    return;
                }
                let actions = self.planner.decide(now, &events);
                self.core.carry_out(now, actions);
                self.core.answer_overdue(Instant::now());
            }
            for effect in effects {
                self.carry_out(now, effect);
            }
        }
    }

    /// Nodes show where pieces lie by serving them, and by turning them away.
    fn learn_place(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some((key, node)) = self.core.piece(attempt) else { return };
        let Some(shard) = self.nodes.shard(node) else { return };
        match outcome {
            Outcome::Served => self.placement.served(key, shard),
            Outcome::Full => self.placement.turned_away(key, shard),
            _ => {}
        }
    }

    /// Passes long values on, as far as there is room on their other side.
    fn pass_on(&mut self, now: Instant) {
        for attempt in self.targets.held_up() {
            let Some(origin) = self.core.stream(attempt) else { continue };
            let room = self.resp.room(origin);
            // Not byte by byte.
            if room >= WINDOW / 2 {
                self.targets.credit(now, attempt, room);
            }
        }
        // What comes of room that was just made belongs before the ends of attempts.
        while let Some((attempt, step)) = self.targets.flowing.pop_front() {
            match step {
                Flowing::Begun(length) => match self.core.stream_begins(attempt) {
                    Some(origin) => {
                        let grant = self.budget.grant(length);
                        if grant.is_some() {
                            self.targets.credit(now, attempt, usize::MAX);
                        }
                        self.resp.begin(now, origin, length, grant, &mut self.core);
                    }
                    None => self.targets.stop(attempt, Outcome::Cancelled),
                },
                Flowing::Piece(piece) => {
                    if let Some(origin) = self.core.stream(attempt) {
                        self.resp.piece(now, origin, &piece, &mut self.core);
                    }
                }
                Flowing::Slow => self.core.takes_time(attempt),
                Flowing::Moved => {
                    if let Some(origin) = self.core.origin(attempt.request) {
                        self.resp.go_on(now, origin.conn, &mut self.core);
                    }
                }
            }
        }
    }

    fn carry_out(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::Moved { attempt } => self.targets.go_on(now, attempt),
            Effect::Finish { origin, whole } => self.resp.finish(now, origin, whole, &mut self.core),
            Effect::Answer { origin, answer } => match (Kind::of(origin.conn), &mut self.iscsi) {
                (Some(Kind::IscsiClient), Some(front)) => front.answer(now, origin, answer, &mut self.core),
                _ => self.resp.answer(now, origin, answer, &mut self.core),
            },
            Effect::Stop { attempt, outcome } => self.targets.stop(attempt, outcome),
            Effect::Withdraw { attempt } => self.targets.withdraw(attempt),
            Effect::Start { attempt, node, content, give_up_at, begin_by } => {
                let grace = self.config.settings.rules.drain_grace;
                let Some((endpoint, closes)) = self.nodes.open(now, node, grace) else {
                    return self.core.attempt_ended(now, attempt, Ended::bare(Outcome::NotConnected));
                };
                let begin_by = closes.map_or(begin_by, |closes| closes.min(begin_by));
                let start = Start { attempt, node, content, give_up_at, begin_by };
                let token = self.tokens.next(Kind::Target);
                self.targets.start(now, start, endpoint, token, self.poll.registry());
            }
        }
    }
}

/// Takes off what signals have written; true if there was any.
fn drained(signal: &mut UnixStream) -> bool {
    let mut bytes = [0; 64];
    let mut any = false;
    while signal.read(&mut bytes).is_ok_and(|count| count > 0) {
        any = true;
    }
    any
}
