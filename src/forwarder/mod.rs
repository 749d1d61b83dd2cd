//! The loop: gathers what is ready, hands it to the planner in one call, carries out what came back.

mod budget;
mod configuration;
mod effects;
mod gather;
mod operators;
mod readiness;
mod reports;
mod start;
mod succession;
mod turns;

use crate::clock::Clock;
use crate::config::{Config, Files};
use crate::control::endpoint::AdminEndpoint;
use crate::core::Core;
use crate::discovery::{Discovery, ListUpdate};
use crate::fleet;
use crate::flow::Budget;
use crate::front::{iscsi, resp, Front};
use crate::interface::{Event, ListKind};
use crate::nodes::Nodes;
use crate::pace::LoopTiming;
use crate::placement::Placement;
use crate::planner::client::{self, Planners};
use crate::planner::Planner;
use crate::service::addresses::{Addresses, Lent, Seen};
use crate::service::State;
use crate::target::Targets;
use crate::tokens::{Kind, Tokens};
use crate::upgrade::Upgrade;
use mio::net::UnixStream;
use mio::{Poll, Token};
use readiness::Readiness;
use std::io::Read;
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
    /// Runs until all is answered after a signal to end.
    pub fn run(&mut self) -> std::io::Result<()> {
        let mut ready = Readiness::new();
        self.plan(Instant::now());
        let mut pace = LoopTiming::new(self.config.settings.tick, self.config.cores, Instant::now());
        loop {
            let now = Instant::now();
            let due = self.next_timer(now);
            let pause = pace.iteration_done(now);
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
            let late = pace.wait_done(now);
            let stopped = pace.may_have_been_stopped(now);
            if stopped {
                // Guards what has come by now against timers that are due by now: it may have come after the wait.
                ready.look_again(&mut self.poll)?;
            }
            self.core.set_lateness(late);
            self.report_turns(now);
            self.came = now.checked_sub(pace.max_queued()).unwrap_or(now);
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
            self.core.fire_timers(now);
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
        let discovery = self.discovery.last_message_at();
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
        if self.core.has_pending() || self.targets.has_news() {
            // The last turn was long, and left it to this one.
            return now;
        }
        match self.state.ending() {
            Some(_) => next.min(now + SHUTDOWN_LOOK),
            None => next,
        }
    }

    /// Tells the fronts what the state of service means for clients.
    fn publish_service_state(&mut self) {
        let standing = self.state.standing();
        self.resp.follow_service_state(standing);
        self.iscsi.iter_mut().for_each(|front| front.follow_service_state(standing));
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
        self.discovery.set_address(new.discovery, token, now);
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
    fn take_list(&mut self, news: ListUpdate, kind: ListKind) {
        self.turns.spent_on(Work::Hearing);
        let (event, gone) = self.nodes.apply(news, kind);
        tracing::trace!(?event, "node list");
        gone.into_iter().for_each(|node| self.targets.leave(node));
        self.close_draining(&event);
        self.core.push_event(event);
        self.turns.spent_on(Work::Lists);
    }

    /// Nothing begins at the draining nodes of a message once their grace is over.
    fn close_draining(&mut self, message: &Event) {
        for (node, closes) in self.nodes.drain_deadlines(message, self.config.settings.rules.drain_grace) {
            self.targets.close_at(node, closes);
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
