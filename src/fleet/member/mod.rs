//! One member: probes, suspicions, joins, and its part in deciding views. Pure: `handle(now, event)` on a scale of its
//! own that never jumps, randomness by a seed, actions to be carried out.
//!
//! - `probe`: each period the next member of a shuffled round is probed; where no answer comes, a few helpers probe it
//!   too. Only where some of these answer, and none reached it, is it suspected: a member that nobody answers lowers its
//!   own health instead.
//! - `suspect`, `updates`, `dissemination`: a suspicion goes round with the name of its witness. It ends when its
//!   member refutes it by a higher incarnation, or answers; or when its time is over, and then the member is lost here.
//! - `agreement`, `install`, `fetch`: a member is gone when the next view is without it, and that is decided by a
//!   majority of the view before, each of whom has an unrefuted suspicion of its own.
//! - `bootstrap`, `join`, `identity`: the first view, coming and going, and one member over two processes.
//! - `receive`, `send`: datagrams in and out.

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

/// Members that are known of at once. Guards the memory against whoever invents names.
pub const MAX_MEMBERS: usize = 4096;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Members probed.
    pub probes: u64,
    /// Others asked for an indirect probe.
    pub indirect_probes: u64,
    /// Suspicions raised by this member.
    pub suspicions: u64,
    /// Suspicions of this member that it contradicted.
    pub refuted: u64,
    /// Views entered.
    pub views: u64,
    /// Views proposed.
    pub proposals: u64,
    /// Datagrams from another address than their sender's.
    pub wrong_source: u64,
}

/// One member of a fleet.
pub struct Member {
    own: Parameters,
    random: Random,
    generation: Generation,
    /// When it was made, on its own scale.
    created: Duration,
    incarnation: u32,
    phase: Phase,
    phase_since: Duration,
    view: View,
    /// A view that can decide nothing any more, since most of its generations have ended.
    abandoned_view: ViewId,
    /// The others. Once there is a view, everybody in it but this member is among them.
    peers: BTreeMap<String, Peer>,
    health: Health,
    /// When anything of anybody came.
    last_received: Duration,
    /// Members that are still to be probed in this round, the next one last.
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
    /// Peers changed since the view was last compared with them.
    view_may_change: bool,
    /// An update named a generation later than the view's.
    generations_changed: bool,
    /// Names of all suspects, and of some that no longer are.
    suspects: BTreeSet<String>,
    next_join: Duration,
    /// Counts since the start.
    pub counters: Counters,
}

impl Member {
    /// One that begins to join.
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

    /// Its phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Its present generation.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The view that it has; without a bootstrap there is none.
    pub fn view(&self) -> Option<&View> {
        (self.view.id != ViewId::default()).then_some(&self.view)
    }

    /// The others, by name.
    pub fn peers(&self) -> &BTreeMap<String, Peer> {
        &self.peers
    }

    /// The score of its own health, 0 (healthy) to 7.
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// Whether it is, as far as it can tell, with a majority of its view.
    pub fn is_quorate(&self, now: Duration) -> bool {
        let (_, max) = timeout_bounds(self.own.period, self.own.suspicion_periods, self.view.members.len());
        let faulty = |name: &&String| self.peers.get(*name).is_some_and(|peer| peer.faulty);
        let reachable = self.view.members.keys().filter(|name| !faulty(name)).count();
        let alone = self.view.members.len() == 1;
        self.phase == Phase::Member
            && reachable >= self.view.majority()
            && (alone || now.saturating_sub(self.last_received) < max)
    }

    /// Takes what has happened, and adds what is to be done.
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

    /// When it has something to do by itself.
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

    /// Does what is due.
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

    /// Takes up another phase, and notes it.
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

    /// A number below this one, drawn evenly.
    fn draw(&mut self, below: usize) -> usize {
        ((self.random.draw() * below as f64) as usize).min(below.saturating_sub(1))
    }
}

#[cfg(test)]
mod tests;
