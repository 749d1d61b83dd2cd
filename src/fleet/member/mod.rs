//! The state machine of one member: probes, suspicions, joins, and its votes on views. It does no I/O: the caller
//! passes events with a monotonic time to [`Member::handle`] and carries out the returned actions. Random numbers come
//! from a seed.
//!
//! - `probe`: each protocol period the next member of a shuffled round is probed; without an ack a few helpers probe it
//!   too. It is suspected only if helpers report back and none reached it; a member that receives no answer at all
//!   lowers its own health instead.
//! - `suspect`, `updates`, `dissemination`: a suspicion is disseminated with the name of its witness. It ends when the
//!   suspected member refutes it by a higher incarnation or answers a probe; or it times out, and then this member
//!   considers the suspected one faulty.
//! - `agreement`, `install`, `fetch`: a faulty member is removed by the next view, which a majority of the present view
//!   decides. Each voter in favour has an unrefuted suspicion of its own.
//! - `bootstrap`, `join`, `identity`: the first view, joining and leaving, and handing a member over to the next
//!   process.
//! - `receive`, `send`: incoming and outgoing datagrams.

mod agreement;
mod bootstrap;
mod dissemination;
mod event;
mod fetch;
mod identity;
mod install;
mod join;
mod parameters;
mod peer;
mod phase;
mod probe;
mod receive;
mod send;
mod suspect;
mod updates;

pub use event::{Action, Event};
pub use identity::Identity;
pub use parameters::Parameters;
pub use peer::Peer;
pub use phase::Phase;

use super::health::Health;
use super::suspicion::timeout_bounds;
use super::update::{Generation, Update};
use super::view::{Acceptor, Proposal, View, ViewId};
use crate::random::Random;
use dissemination::Dissemination;
use fetch::Fetch;
use probe::{Probe, RelayedProbe};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of known peers. Bounds the memory against a sender that invents names.
pub const MAX_MEMBERS: usize = 4096;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Members probed.
    pub probes: u64,
    /// Indirect probes requested of helpers.
    pub indirect_probes: u64,
    /// Suspicions raised by this member.
    pub suspicions: u64,
    /// Suspicions of this member that it refuted.
    pub refuted: u64,
    /// Views installed.
    pub views: u64,
    /// Views proposed.
    pub proposals: u64,
    /// Datagrams dropped since they did not come from the known address of their sender.
    pub wrong_source: u64,
}

/// One member of a fleet.
pub struct Member {
    own: Parameters,
    random: Random,
    generation: Generation,
    /// When it was created.
    created: Duration,
    incarnation: u32,
    phase: Phase,
    phase_since: Duration,
    view: View,
    /// The latest view that was given up, since a majority of its generations had ended and it could decide nothing.
    abandoned_view: ViewId,
    /// The known other members, by name. All others of the installed view are among them.
    peers: BTreeMap<String, Peer>,
    health: Health,
    /// When a datagram of any peer was last received.
    last_received: Duration,
    /// Members still to be probed in this round, the next one last.
    round: Vec<String>,
    next_probe: Duration,
    probe: Option<Probe>,
    relayed: Vec<RelayedProbe>,
    last_number: u32,
    gossip: Dissemination,
    fetch: Option<Fetch>,
    acceptor: Acceptor,
    proposal: Option<Proposal>,
    propose_at: Option<Duration>,
    /// Peers have changed since the view was last compared with them, so that a proposal may be due.
    view_may_change: bool,
    /// A peer's generation has changed, or a view was installed, since the last check for a view that can decide
    /// nothing.
    generations_changed: bool,
    /// Names of all suspected peers, and possibly of some that no longer are.
    suspects: BTreeSet<String>,
    next_join: Duration,
    /// Counts since the start.
    pub counters: Counters,
}

impl Member {
    /// A member that begins to join.
    pub fn new(own: Parameters, now: Duration) -> Self {
        let mut random = Random::new(own.seed ^ own.generation.0);
        let drawn = own.period.mul_f64(random.draw());
        let mut member = Member {
            random,
            generation: own.generation,
            created: now,
            incarnation: 0,
            phase: Phase::Joining,
            phase_since: now,
            view: View::default(),
            abandoned_view: ViewId::default(),
            peers: BTreeMap::new(),
            health: Health::default(),
            last_received: now,
            round: Vec::new(),
            next_probe: now + drawn,
            probe: None,
            relayed: Vec::new(),
            last_number: 0,
            gossip: Dissemination::default(),
            fetch: None,
            acceptor: Acceptor::default(),
            proposal: None,
            propose_at: None,
            view_may_change: true,
            generations_changed: false,
            suspects: BTreeSet::new(),
            next_join: now,
            counters: Counters::default(),
            own,
        };
        member.view = member.seed_view();
        member
    }

    /// Its present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Its present generation.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The installed view; `None` before the fleet is bootstrapped or joined.
    pub fn view(&self) -> Option<&View> {
        (self.view.id != ViewId::default()).then_some(&self.view)
    }

    /// The known other members, by name.
    pub fn peers(&self) -> &BTreeMap<String, Peer> {
        &self.peers
    }

    /// The score of its own health, 0 (healthy) to 7.
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// Whether it is in contact with a majority of its view, as far as it can tell.
    pub fn is_quorate(&self, now: Duration) -> bool {
        let (_, max) = timeout_bounds(self.own.period, self.own.suspicion_periods, self.view.members.len());
        let faulty = |name: &&String| self.peers.get(*name).is_some_and(|peer| peer.faulty);
        let reachable = self.view.members.keys().filter(|name| !faulty(name)).count();
        let alone = self.view.members.len() == 1;
        self.phase == Phase::Member
            && reachable >= self.view.majority()
            && (alone || now.saturating_sub(self.last_received) < max)
    }

    /// Handles an event, runs due timers, and appends the actions to carry out. `now` must not go backwards.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        if self.phase == Phase::Left {
            return;
        }
        match event {
            Event::Frame(frame, from) => self.receive(now, *frame, from, actions),
            Event::Delayed(by) => self.record_delay(now, by),
            Event::Leave => self.leave(now, actions),
            Event::Wake => {}
        }
        self.run_timers(now, actions);
    }

    /// When [`Event::Wake`] is next due.
    pub fn next_timer(&self) -> Option<Duration> {
        if matches!(self.phase, Phase::Superseded | Phase::Left) {
            return None;
        }
        let joins = matches!(self.phase, Phase::Joining | Phase::Leaving).then_some(self.next_join);
        let probes = (self.phase == Phase::Member).then_some(self.next_probe);
        let relayed = self.relayed.iter().map(|relayed| relayed.until).min();
        let fetch = self.fetch.as_ref().map(|fetch| fetch.until);
        let all =
            [self.next_indirect_probe(), self.next_expiry(), joins, probes, relayed, self.propose_at, fetch];
        all.into_iter().flatten().min()
    }

    /// Runs all timers that are due.
    fn run_timers(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.expire_relayed(now, actions);
        self.expire_fetch(now);
        match self.phase {
            Phase::Joining | Phase::Leaving if self.next_join <= now => self.announce(now, actions),
            Phase::Member => self.run_probes(now, actions),
            _ => {}
        }
        if matches!(self.phase, Phase::Superseded | Phase::Left) {
            return;
        }
        self.expire_suspicions(now, actions);
        if std::mem::take(&mut self.generations_changed) {
            self.abandon_dead_view(now, actions);
        }
        self.plan_proposal(now);
        if self.propose_at.is_some_and(|at| at <= now) {
            self.propose_now(now, actions);
        }
    }

    /// Enters another phase, and notes it in the log.
    fn change_phase(&mut self, now: Duration, phase: Phase, evidence: &str, actions: &mut Vec<Action>) {
        if self.phase == phase {
            return;
        }
        (self.phase, self.phase_since) = (phase, now);
        if phase != Phase::Member {
            (self.probe, self.propose_at, self.proposal) = (None, None, None);
        }
        let evidence = format!("{evidence}, generation {}", self.generation.0);
        actions.push(Action::Note { name: self.own.name.clone(), what: phase.name(), evidence });
    }

    /// Queues an update to be disseminated.
    fn enqueue(&mut self, update: Update) {
        self.gossip.push(update, self.view.members.len());
    }

    /// A uniformly distributed random number below this bound.
    fn draw(&mut self, below: usize) -> usize {
        ((self.random.draw() * below as f64) as usize).min(below.saturating_sub(1))
    }
}

#[cfg(test)]
mod tests;
