//! The event loop of an initiator: collects events, passes them to the planner in one call and applies its actions.

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
use crate::core::{AttemptId, Core};
use crate::discovery::{Discovery, ListUpdate};
use crate::fleet;
use crate::front::{iscsi, resp, Front};
use crate::interface::{Event, ListKind};
use crate::memory::Budget;
use crate::nodes::Nodes;
use crate::pace::LoopTiming;
use crate::placement::Placement;
use crate::planner::client::{self, Planners};
use crate::planner::Planner;
use crate::service::addresses::{Addresses, Conditions, LoopContext};
use crate::service::State;
use crate::target::Targets;
use crate::tokens::{Kind, Tokens};
use crate::upgrade::Upgrade;
use mio::net::UnixStream;
use mio::{Poll, Token};
use readiness::Readiness;
use std::io::Read;
use std::time::{Duration, Instant};
use turns::{LoopStats, Work};

const LISTENER: Token = Token(0);
const SIGNAL: Token = Token(1);
const RELOAD: Token = Token(2);
const ISCSI_LISTENER: Token = Token(3);
const ADMIN_LISTENER: Token = Token(4);
const UPGRADE: Token = Token(7);
const FLEET: Token = Token(8);
/// VRRP sockets, at most one interface for each address family.
const ADVERTISEMENTS: [Token; 2] = [Token(5), Token(6)];
/// Divisor of the descriptors: limit of queued requests. It is three fifths of the third that clients may hold.
const QUEUED_DESCRIPTOR_DIVISOR: usize = 5;
/// Divisor of that limit: commands that one connection may have pending, and their absolute limit. Guards against a
/// client that sends everything at once: above the limit of queued requests the one with the greatest need is
/// refused, whichever client it belongs to.
const PIPELINE_DIVISOR: usize = 4;
const MAX_PIPELINED: usize = 64;
/// A request that is overdue in the core by this long is answered before any input is read: its client has given up,
/// so no value that is still unread can be of use. Before that, an answer may arrive in the same iteration.
const OVERDUE_GRACE: Duration = Duration::from_millis(6);
/// Delay before the fleet is joined again after its address was in use.
const FLEET_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How often a shutdown checks for clients that have become idle.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The event loop and everything it drives.
pub struct Forwarder {
    poll: Poll,
    clock: Clock,
    /// Memory for what clients and nodes make this process hold.
    budget: Budget,
    /// Long answers that have started at their nodes and for which there is no memory yet, with their lengths.
    answers_without_memory: Vec<(AttemptId, usize)>,
    core: Core,
    planner: Planner,
    /// Client of the remote planners, if any are configured.
    planners: Option<Planners>,
    resp: Front<resp::Resp>,
    iscsi: Option<Front<iscsi::Target>>,
    targets: Targets,
    discovery: Discovery,
    nodes: Nodes,
    placement: Placement,
    /// Virtual router addresses, if VRRP is on.
    addresses: Option<Addresses>,
    /// Fleet membership, if it is on.
    fleet: Option<fleet::speaker::Driver>,
    /// When to join the fleet again: the address may still be in use by a process that has just died.
    rejoin_fleet_at: Option<Instant>,
    /// Admin endpoint for operators.
    admin: Option<AdminEndpoint>,
    /// The successor has taken over the admin listener.
    admin_handed_over: bool,
    /// Service state: whether this process takes clients.
    state: State,
    /// Other processes of this initiator during a hot upgrade.
    upgrade: Upgrade,
    /// Descriptors and bytes of memory that the predecessor still uses.
    predecessor_usage: (usize, usize),
    files: Files,
    /// The configuration in force, without the node list known at the start.
    config: Config,
    signal: UnixStream,
    reload: UnixStream,
    tokens: Tokens,
    loop_stats: LoopStats,
    /// Earliest time at which the events of this iteration can have arrived.
    arrived_since: Instant,
    next_report: Instant,
}

impl Forwarder {
    /// Runs the loop. Returns after a signal to end, once all requests are answered or the time for that is over.
    pub fn run(&mut self) -> std::io::Result<()> {
        let mut ready = Readiness::new();
        self.run_planner(Instant::now());
        let mut loop_timing = LoopTiming::new(self.config.settings.tick, self.config.cores, Instant::now());
        loop {
            let now = Instant::now();
            let due = self.next_timer(now);
            let pause = loop_timing.iteration_done(now);
            if !pause.is_zero() {
                let begun = Instant::now();
                std::thread::sleep(pause);
                loop_timing.paused(begun.elapsed());
            }
            let wait = due.saturating_duration_since(Instant::now());
            match ready.wait(&mut self.poll, wait) {
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {
                    loop_timing.interrupted();
                    continue;
                }
                other => other?,
            }
            let now = Instant::now();
            self.loop_stats.begin(now);
            let late = loop_timing.wait_done(now);
            let stopped = loop_timing.may_have_been_stopped(now);
            if stopped {
                // Events may have arrived after the wait: they have to be handled before the timers that are due by
                // now.
                ready.poll_again(&mut self.poll)?;
            }
            self.core.set_lateness(late);
            self.report_loop(now);
            self.arrived_since = now.checked_sub(loop_timing.max_queued()).unwrap_or(now);
            self.resp.begin_iteration(self.arrived_since, stopped);
            self.iscsi.iter_mut().for_each(|front| front.begin_iteration(self.arrived_since, stopped));
            self.answer_overdue_requests(now);
            self.update_sizes();
            if let Some(addresses) = &mut self.addresses {
                // A process that was suspended or is short of processor time wakes late.
                addresses.record_iteration(now.saturating_duration_since(due));
                self.run_addresses(now, &ready);
            }
            self.answer_operators(now, &ready);
            self.loop_stats.record(Work::Other);
            self.gather_all(now, &ready);
            self.loop_stats.record(Work::Input);
            self.run_fleet(now, late.max(now.saturating_duration_since(due)));
            self.loop_stats.record(Work::Other);
            self.run_fronts(now);
            self.loop_stats.record(Work::Input);
            self.run_upgrade(now);
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
            self.loop_stats.record(Work::Other);
            self.run_planner(now);
            self.loop_stats.record(Work::Decisions);
            if self.state.ending().is_some_and(|since| self.shut_down(now, now - since)) {
                self.upgrade.end();
                tracing::info!("ended\n{}", self.core.info());
                return Ok(());
            }
            if let Some(addresses) = &mut self.addresses {
                addresses.record_iteration(now.elapsed());
            }
            self.loop_stats.end();
        }
    }

    /// Answers overdue requests before any input is read, so that a loop that has fallen behind does not delay all
    /// its answers.
    fn answer_overdue_requests(&mut self, now: Instant) {
        self.core.answer_overdue(now.checked_sub(OVERDUE_GRACE).unwrap_or(now));
        for effect in self.core.drain_effects() {
            self.apply_effect(now, effect);
        }
    }

    /// Follows the virtual router addresses before handling any other event.
    fn run_addresses(&mut self, now: Instant, ready: &Readiness) {
        let received: Vec<bool> = ADVERTISEMENTS.iter().map(|token| ready.contains(*token)).collect();
        let discovery = self.discovery.last_message_at();
        let ready_nodes = self.nodes.ready();
        let (descriptors_used_up, memory) = (self.resp.is_at_capacity(now), self.config.memory);
        self.with_addresses(|addresses, context| {
            for (interface, _) in received.iter().enumerate().filter(|(_, received)| **received) {
                addresses.ready(interface);
            }
            addresses.run(now, context);
            addresses.check_conditions(
                now,
                || Conditions { discovery, ready_nodes, descriptors_used_up, memory },
                context,
            );
        });
    }

    /// Joins the fleet, if it is configured: as a new generation, or with the identity of the predecessor.
    fn join_fleet(&mut self, now: Instant, identity: Option<fleet::member::Identity>) -> Result<(), String> {
        let Some(settings) = &self.config.fleet else { return Ok(()) };
        let (unix, registry) = (self.clock.unix(now), self.poll.registry());
        let seeds = (unix, self.config.seed);
        self.fleet = Some(fleet::speaker::Driver::start(settings, seeds, identity, FLEET, registry, now)?);
        Ok(())
    }

    /// Runs fleet membership. A process that was suspended or is short of processor time lowers its own local health
    /// before it suspects other members.
    fn run_fleet(&mut self, now: Instant, late: Duration) {
        if self.rejoin_fleet_at.take_if(|at| *at <= now).is_some() {
            if let Err(why) = self.join_fleet(now, None) {
                tracing::warn!("{why}");
                self.rejoin_fleet_at = Some(now + FLEET_RETRY_DELAY);
            }
        }
        let Some(fleet) = &mut self.fleet else { return };
        fleet.poll(now, late);
        if let Some((lines, json)) = fleet.due_report(now) {
            self.core.set_report(fleet::speaker::REPORT, lines, json);
        }
    }

    /// Calls `action` with the virtual router addresses and the parts of the loop that they need.
    fn with_addresses(&mut self, action: impl FnOnce(&mut Addresses, &mut LoopContext)) {
        if let Some(mut addresses) = self.addresses.take() {
            action(&mut addresses, &mut self.loop_context());
            self.addresses = Some(addresses);
        }
    }

    fn loop_context(&mut self) -> LoopContext<'_> {
        LoopContext {
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
        next = self.fleet.as_ref().and_then(|fleet| fleet.next_timer(now)).map_or(next, |at| next.min(at));
        next = self.rejoin_fleet_at.map_or(next, |at| next.min(at));
        next = self.planners.as_ref().map_or(next, |planners| next.min(planners.next_timer()));
        if self.core.has_pending() || self.targets.has_results() {
            // The last iteration was long and left work to this one.
            return now;
        }
        match self.state.ending() {
            Some(_) => next.min(now + SHUTDOWN_CHECK_INTERVAL),
            None => next,
        }
    }

    /// Passes the service state on to the fronts.
    fn publish_service_state(&mut self) {
        self.resp.set_client_policy(self.state.client_policy());
        let session_policy = self.state.session_policy();
        self.iscsi.iter_mut().for_each(|front| front.set_client_policy(session_policy));
    }

    /// Reads the configuration again and applies what can change without a restart. Nothing changes before all files
    /// were read and checked, which guards against a file that is partly written or invalid.
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
            self.with_addresses(|addresses, context| addresses.reconfigure(now, vrrp, context));
        }
        self.config.discovery = new.discovery;
        let token = self.tokens.next(Kind::Discovery);
        self.discovery.set_address(new.discovery, token, now);
    }

    /// Runs the fronts for one iteration.
    fn run_fronts(&mut self, now: Instant) {
        let (registry, tokens, core) = (self.poll.registry(), &mut self.tokens, &mut self.core);
        self.resp.run_iteration(now, registry, || tokens.next(Kind::RespClient), core);
        if let Some(front) = &mut self.iscsi {
            front.run_iteration(now, registry, || tokens.next(Kind::IscsiClient), core);
        }
    }

    /// Applies a node list message from discovery.
    fn take_list(&mut self, news: ListUpdate, kind: ListKind) {
        self.loop_stats.record(Work::Input);
        let (event, gone) = self.nodes.apply(news, kind);
        tracing::trace!(?event, "node list");
        gone.into_iter().for_each(|node| self.targets.remove_node(node));
        self.close_draining(&event);
        self.core.push_event(event);
        self.loop_stats.record(Work::NodeLists);
    }

    /// Prevents attempts from starting at the draining nodes of a message after their grace period.
    fn close_draining(&mut self, message: &Event) {
        for (node, closes) in self.nodes.drain_deadlines(message, self.config.settings.rules.drain_grace) {
            self.targets.forbid_start_after(node, closes);
        }
    }
}

/// Reads everything from a signal's stream; true if a signal was received.
fn drain_signal(signal: &mut UnixStream) -> bool {
    let mut bytes = [0; 64];
    let mut any = false;
    while signal.read(&mut bytes).is_ok_and(|count| count > 0) {
        any = true;
    }
    any
}
