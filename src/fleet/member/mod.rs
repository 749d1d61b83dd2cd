//! One member: probes, suspicions, joins, and its part in deciding views. Pure: `handle(now, event)` on a scale of its
//! own that never jumps, randomness by a seed, actions to be carried out.
//!
//! - `probe`: each period the next member of a shuffled round is asked whether it is there; where no answer comes, a
//!   few others are asked to probe it too. Only where some of these answer, and none finds it, is it suspected: who is
//!   answered by nobody trusts itself less.
//! - `suspect`, `updates`, `dissemination`: a suspicion goes round with the name of its witness. It ends when its
//!   member contradicts it by a higher claim, or answers; or when its time is over, and then the member is held for lost
//!   here.
//! - `agreement`, `install`, `fetch`: a member is gone when the next view is without it, and that is decided by most
//!   members of the view before, each of whom has an uncontradicted suspicion of its own accord.
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
use super::life::{Life, Rumor};
use super::suspicion::bounds;
use super::view::{Acceptor, Proposal, View, ViewId};
use crate::random::Random;
use dissemination::Dissemination;
use fetch::Fetch;
use probe::{Look, Probe};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Members that are known of at once. Guards the memory against whoever invents names.
pub const MOST_MEMBERS: usize = 4096;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Members probed.
    pub probes: u64,
    /// Others asked for an indirect probe.
    pub looks: u64,
    /// Suspicions raised by this member.
    pub doubts: u64,
    /// Suspicions of this member that it contradicted.
    pub refuted: u64,
    /// Views entered.
    pub views: u64,
    /// Views proposed.
    pub tries: u64,
    /// Datagrams from another address than their sender's.
    pub strangers: u64,
}

/// One member of a fleet.
pub struct Member {
    own: Parameters,
    random: Random,
    life: Life,
    /// When it was made, on its own scale.
    born: Duration,
    claim: u32,
    phase: Phase,
    phase_since: Duration,
    view: View,
    /// A view that can decide nothing any more, since most of its lives are over.
    dead: ViewId,
    /// The others. Once there is a view, everybody in it but this member is among them.
    peers: BTreeMap<String, Peer>,
    health: Health,
    /// When anything of anybody came.
    heard: Duration,
    /// Members that are still to be probed in this round, the next one last.
    round: Vec<String>,
    next_probe: Duration,
    probe: Option<Probe>,
    looks: Vec<Look>,
    last_number: u32,
    gossip: Dissemination,
    fetch: Option<Fetch>,
    acceptor: Acceptor,
    proposal: Option<Proposal>,
    try_at: Option<Duration>,
    /// Something may have to change in the view.
    unsettled: bool,
    /// Lives were heard of that are later than those of the view.
    lives_changed: bool,
    /// Whoever is doubted, and some who no longer are.
    doubted: BTreeSet<String>,
    next_join: Duration,
    /// Counts since the start.
    pub counters: Counters,
}

impl Member {
    /// One that begins to join.
    pub fn new(own: Parameters, now: Duration) -> Self {
        let mut random = Random::new(own.seed ^ own.life.0);
        let drawn = own.period.mul_f64(random.draw());
        let mut member = Member {
            random,
            life: own.life,
            born: now,
            claim: 0,
            phase: Phase::Joining,
            phase_since: now,
            view: View::default(),
            dead: ViewId::default(),
            peers: BTreeMap::new(),
            health: Health::default(),
            heard: now,
            round: Vec::new(),
            next_probe: now + drawn,
            probe: None,
            looks: Vec::new(),
            last_number: 0,
            gossip: Dissemination::default(),
            fetch: None,
            acceptor: Acceptor::default(),
            proposal: None,
            try_at: None,
            unsettled: true,
            lives_changed: false,
            doubted: BTreeSet::new(),
            next_join: now,
            counters: Counters::default(),
            own,
        };
        member.view = member.before_any();
        member
    }

    /// Its part in the fleet.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Which of its lives this is.
    pub fn life(&self) -> Life {
        self.life
    }

    /// The view that it has; without a founding there is none.
    pub fn view(&self) -> Option<&View> {
        (self.view.id != ViewId::default()).then_some(&self.view)
    }

    /// The others, by name.
    pub fn peers(&self) -> &BTreeMap<String, Peer> {
        &self.peers
    }

    /// What it lacks in trust in itself.
    pub fn lacks(&self) -> u32 {
        self.health.lacks()
    }

    /// Whether it sits, as far as it can tell, with most of its view.
    pub fn is_quorate(&self, now: Duration) -> bool {
        let (_, longest) = bounds(self.own.period, self.own.doubt_periods, self.view.members.len());
        let lost = |name: &&String| self.peers.get(*name).is_some_and(|peer| peer.lost);
        let there = self.view.members.keys().filter(|name| !lost(name)).count();
        let alone = self.view.members.len() == 1;
        self.phase == Phase::Member
            && there >= self.view.most()
            && (alone || now.saturating_sub(self.heard) < longest)
    }

    /// Takes what has happened, and adds what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        if self.phase == Phase::Left {
            return;
        }
        match event {
            Event::Frame(frame, from) => self.hear(now, *frame, from, actions),
            Event::Late(by) => self.was_late(now, by),
            Event::Leave => self.leave(now, actions),
            Event::Wake => {}
        }
        self.keep_time(now, actions);
    }

    /// When it has something to do by itself.
    pub fn next_timer(&self) -> Option<Duration> {
        if matches!(self.phase, Phase::Aside | Phase::Left) {
            return None;
        }
        let joins = matches!(self.phase, Phase::Joining | Phase::Leaving).then_some(self.next_join);
        let probes = (self.phase == Phase::Member).then_some(self.next_probe);
        let looks = self.looks.iter().map(|look| look.until).min();
        let fetch = self.fetch.as_ref().map(|fetch| fetch.until);
        let all = [self.next_asking(), self.next_end(), joins, probes, looks, self.try_at, fetch];
        all.into_iter().flatten().min()
    }

    /// Does what is due.
    fn keep_time(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.end_looks(now, actions);
        self.give_up_fetch(now);
        match self.phase {
            Phase::Joining | Phase::Leaving if self.next_join <= now => self.ask_to_change(now, actions),
            Phase::Member => self.keep_probing(now, actions),
            _ => {}
        }
        if matches!(self.phase, Phase::Aside | Phase::Left) {
            return;
        }
        self.end_doubts(now, actions);
        if std::mem::take(&mut self.lives_changed) {
            self.look_if_dead(now, actions);
        }
        self.plan_try(now);
        if self.try_at.is_some_and(|at| at <= now) {
            self.try_now(now, actions);
        }
    }

    /// Takes up another part in the fleet, and says so.
    fn turn_to(&mut self, now: Duration, phase: Phase, evidence: &str, actions: &mut Vec<Action>) {
        if self.phase == phase {
            return;
        }
        (self.phase, self.phase_since) = (phase, now);
        if phase != Phase::Member {
            (self.probe, self.try_at, self.proposal) = (None, None, None);
        }
        let evidence = format!("{evidence}, life {}", self.life.0);
        actions.push(Action::Note { name: self.own.name.clone(), what: phase.name(), evidence });
    }

    /// Queues an update that is to go round.
    fn enqueue(&mut self, rumor: Rumor) {
        self.gossip.push(rumor, self.view.members.len());
    }

    /// A number below this one, drawn evenly.
    fn draw(&mut self, below: usize) -> usize {
        ((self.random.draw() * below as f64) as usize).min(below.saturating_sub(1))
    }
}
