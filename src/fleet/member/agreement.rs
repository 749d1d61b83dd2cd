//! Agreeing on the next view: what it is to change, when to propose it, and the votes of one decision. The rule itself is
//! in [`crate::fleet::view`]; here is when a member takes part in it.

use super::receive::Sender;
use super::{Action, Member, Phase};
use crate::fleet::frame::Word;
use crate::fleet::life::{Rumor, Standing};
use crate::fleet::suspicion::{bounds, Suspicion};
use crate::fleet::view::{Ballot, Change, Line, Proposal, ViewId, MOST_CHANGES};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Periods in which no sign of a fleet may come before one is bootstrapped.
const FOUNDED_AFTER: u32 = 4;
/// Periods after which a try to decide is begun again.
const TRIED_AGAIN: u32 = 2;
/// Share of a period in which changes are gathered before a try.
const GATHERED: f64 = 0.5;

impl Member {
    /// Whether a sender has a vote on what comes after its view, and this one counts it.
    pub(super) fn may_vote(&self, sender: Sender) -> bool {
        let founding = sender.view == ViewId::default();
        let line = self.view.members.get(sender.name);
        let own = self.view.members.contains_key(&self.own.name);
        let votes = match founding {
            true => self.phase == Phase::Joining,
            false => matches!(self.phase, Phase::Member | Phase::Leaving),
        };
        let same = line.is_some_and(|line| founding || line.life == sender.life);
        sender.view == self.view.id && own && votes && same
    }

    /// A word of one decision, from somebody who has a vote: asks for one, gives one, or is no such word.
    pub(super) fn take_vote(&mut self, now: Duration, sender: Sender, word: Word, actions: &mut Vec<Action>) {
        match word {
            Word::Prepare { ballot, leaves } => {
                if let Some(accepted) = self.acceptor.prepare(&ballot) {
                    let objects = self.objections(now, leaves);
                    self.say(sender.address, Word::Promise { ballot, accepted, objects }, actions);
                }
            }
            Word::Promise { ballot, accepted, objects } => {
                self.count_vote(now, sender.name, &ballot, accepted, objects, actions);
            }
            Word::Propose { ballot, change } => {
                if self.acceptor.propose(&ballot, &change) {
                    self.say(sender.address, Word::Accepted(ballot), actions);
                }
            }
            Word::Accepted(ballot) => self.count_accepted(now, sender.name, &ballot, actions),
            _ => {}
        }
    }

    /// Those of the members that are to go whose going this one objects to.
    fn objections(&self, now: Duration, leaves: Vec<String>) -> Vec<String> {
        leaves.into_iter().filter(|name| !self.agrees(now, name)).collect()
    }

    /// Whether a member may go as far as this one can tell: by its own word, or by a doubt that nothing has contradicted
    /// here for half of the least time. Guards against a doubt that came up elsewhere and came here a moment ago.
    fn agrees(&self, now: Duration, name: &str) -> bool {
        let own = name == self.own.name && self.phase != Phase::Leaving;
        let Some(peer) = self.peers.get(name) else { return !own };
        let (least, _) = bounds(self.own.period, self.own.doubt_periods, self.view.members.len());
        let stands = |doubt: &Suspicion| now.saturating_sub(doubt.since) >= least / 2;
        peer.doubt.as_ref().is_some_and(stands) || peer.rumor.standing == Standing::Leaving
    }

    /// What the next view is to change, as far as this member knows.
    fn wanted(&self, now: Duration) -> Change {
        let founding = self.view.id == ViewId::default();
        let founded = founding.then(|| self.stamp(now).max(self.dead.founded + 1));
        let leaves = if founding { Vec::new() } else { self.wanted_leaves() };
        let joins = self.wanted_joins(founding, MOST_CHANGES - leaves.len());
        Change { founded, joins, leaves }
    }

    /// Members of the view that are lost here, or leave by their own word.
    fn wanted_leaves(&self) -> Vec<String> {
        let goes = |line: &&Line| {
            let peer = self.peers.get(&line.name).filter(|peer| peer.rumor.life == line.life);
            peer.is_some_and(|peer| peer.lost || peer.rumor.standing == Standing::Leaving)
        };
        let leaves = self.view.members.values().filter(goes).take(MOST_CHANGES);
        leaves.map(|line| line.name.clone()).collect()
    }

    /// Members that ask to be taken in, at most so many; at a founding this one too.
    fn wanted_joins(&self, founding: bool, most: usize) -> Vec<Line> {
        let own = founding.then(|| self.rumor());
        let rumors = self.peers.values().map(|peer| &peer.rumor).chain(&own);
        let joins = rumors.filter(|rumor| {
            let comes = founding || self.view.takes(&rumor.name, rumor.life);
            comes && !matches!(rumor.standing, Standing::Leaving | Standing::Suspect { .. })
        });
        let line = |rumor: &Rumor| {
            let (name, life, address) = (rumor.name.clone(), rumor.life, rumor.address);
            Line { name, life, address }
        };
        joins.take(most).map(line).collect()
    }

    /// When to try for another view: the first of those that are there tries at once, each further one later.
    pub(super) fn plan_try(&mut self, now: Duration) {
        if self.try_at.is_some() || !self.unsettled {
            return;
        }
        if self.wanted(now).is_empty() {
            self.unsettled = false;
            return;
        }
        let founding = self.view.id == ViewId::default();
        let may = match founding {
            true => self.phase == Phase::Joining && self.view.members.contains_key(&self.own.name),
            false => self.is_quorate(now),
        };
        if !may {
            return;
        }
        let rank = self.rank();
        let first = if founding { self.phase_since + self.own.period * FOUNDED_AFTER } else { now };
        let pause = self.own.period.mul_f64(GATHERED * (1.0 + self.random.draw() / 4.0));
        self.try_at = Some(first.max(now) + pause + self.own.period * TRIED_AGAIN * rank);
    }

    /// How many of the view come before this member in the order of names and are not lost here.
    fn rank(&self) -> u32 {
        let lost = |name: &&String| self.peers.get(*name).is_some_and(|peer| peer.lost);
        let before = self.view.members.keys().take_while(|name| **name != self.own.name);
        before.filter(|name| !lost(name)).count() as u32
    }

    /// Proposes the next view, if there is something to change.
    pub(super) fn try_now(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.try_at = None;
        let change = self.wanted(now);
        let founding = self.view.id == ViewId::default();
        let heard = |line: &&Line| self.view.members.contains_key(&line.name);
        let enough = !founding || change.joins.iter().filter(heard).count() >= self.view.most();
        if change.is_empty() || !enough {
            return;
        }
        self.counters.tries += 1;
        let round = self.acceptor.promised().round + 1;
        let ballot = Ballot { round, by: self.own.name.clone() };
        let leaves = change.leaves.clone();
        self.proposal = Some(Proposal::new(ballot.clone(), change));
        let pause = self.own.period.mul_f64(f64::from(TRIED_AGAIN) + self.random.draw());
        self.try_at = Some(now + pause);
        self.tell_view(&Word::Prepare { ballot: ballot.clone(), leaves: leaves.clone() }, actions);
        if let Some(accepted) = self.acceptor.prepare(&ballot) {
            let objects = self.objections(now, leaves);
            let own = self.own.name.clone();
            self.count_vote(now, &own, &ballot, accepted, objects, actions);
        }
    }

    /// Says a word to all others of the view.
    fn tell_view(&mut self, word: &Word, actions: &mut Vec<Action>) {
        let others = self.view.members.values().filter(|line| line.name != self.own.name);
        let others: Vec<SocketAddr> = others.map(|line| line.address).collect();
        others.into_iter().for_each(|to| self.say(to, word.clone(), actions));
    }

    /// A vote for this member's proposal: once most have voted, what follows from them is proposed.
    fn count_vote(
        &mut self,
        now: Duration,
        from: &str,
        ballot: &Ballot,
        accepted: Option<(Ballot, Change)>,
        objects: Vec<String>,
        actions: &mut Vec<Action>,
    ) {
        let Some(proposal) = self.proposal.as_mut().filter(|it| it.ballot == *ballot) else { return };
        let Some(change) = proposal.vote(&self.view, from, accepted, objects) else { return };
        self.tell_view(&Word::Propose { ballot: ballot.clone(), change: change.clone() }, actions);
        if self.acceptor.propose(ballot, &change) {
            let own = self.own.name.clone();
            self.count_accepted(now, &own, ballot, actions);
        }
    }

    /// What this member proposed was accepted by one more: once most have, it is the next view.
    fn count_accepted(&mut self, now: Duration, from: &str, ballot: &Ballot, actions: &mut Vec<Action>) {
        let Some(proposal) = self.proposal.as_mut().filter(|it| it.ballot == *ballot) else { return };
        let Some(change) = proposal.accepted(&self.view, from) else { return };
        let (after, next) = (self.view.id, self.view.after(&change));
        let lines = self.view.members.values().chain(change.joins.iter());
        let told: BTreeSet<SocketAddr> =
            lines.filter(|line| line.name != self.own.name).map(|line| line.address).collect();
        for to in told {
            self.say(to, Word::Decided { after, change: change.clone() }, actions);
        }
        self.enter(now, next, "decided by most", actions);
    }
}
