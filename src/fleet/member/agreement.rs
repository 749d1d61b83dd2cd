//! Agreement on the next view: which changes this member proposes, when it proposes them, and how it votes. The Paxos
//! roles themselves are in [`crate::fleet::view`].

use super::receive::Sender;
use super::{Action, Member, Phase};
use crate::fleet::frame::Message;
use crate::fleet::suspicion::{timeout_bounds, Suspicion};
use crate::fleet::update::{MemberState, Update};
use crate::fleet::view::{Ballot, Change, Proposal, ViewId, ViewMember, MAX_CHANGES};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Periods that a seed waits for an existing fleet before it proposes a first view.
const BOOTSTRAP_AFTER_PERIODS: u32 = 4;
/// Periods after which an undecided proposal is repeated; also the delay per rank between proposers.
const RETRY_AFTER_PERIODS: u32 = 2;
/// Periods during which changes are collected into one proposal.
const PROPOSAL_DELAY_PERIODS: f64 = 0.5;

impl Member {
    /// Whether a sender has a vote on the view after its present one, and this member may take part in that decision.
    pub(super) fn can_vote(&self, sender: Sender) -> bool {
        let bootstrapping = sender.view == ViewId::default();
        let listed = self.view.members.get(sender.name);
        let own = self.view.members.contains_key(&self.own.name);
        let votes = match bootstrapping {
            true => self.phase == Phase::Joining,
            false => matches!(self.phase, Phase::Member | Phase::Leaving),
        };
        let same = listed.is_some_and(|listed| bootstrapping || listed.generation == sender.generation);
        sender.view == self.view.id && own && votes && same
    }

    /// Handles a Paxos message of a member that has a vote.
    pub(super) fn receive_vote(
        &mut self,
        now: Duration,
        sender: Sender,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Prepare { ballot, leaves } => {
                if let Some(accepted) = self.acceptor.prepare(&ballot) {
                    let objections = self.objections(now, leaves);
                    self.send(sender.address, Message::Promise { ballot, accepted, objections }, actions);
                }
            }
            Message::Promise { ballot, accepted, objections } => {
                self.count_vote(now, sender.name, &ballot, accepted, objections, actions);
            }
            Message::Propose { ballot, change } => self.accept(sender, ballot, &change, actions),
            Message::Accepted(ballot) => self.count_accepted(now, sender.name, &ballot, actions),
            _ => {}
        }
    }

    /// Accepts a proposal, unless this member has promised a higher ballot.
    fn accept(&mut self, sender: Sender, ballot: Ballot, change: &Change, actions: &mut Vec<Action>) {
        if self.acceptor.accept(&ballot, change) {
            self.send(sender.address, Message::Accepted(ballot), actions);
        }
    }

    /// Those of the members to remove whose removal this member objects to.
    fn objections(&self, now: Duration, leaves: Vec<String>) -> Vec<String> {
        leaves.into_iter().filter(|name| !self.agrees_to_removal(now, name)).collect()
    }

    /// Whether this member agrees to a removal: the other one has announced that it leaves, or a suspicion of it has
    /// been unrefuted here for half of the minimum timeout. A suspicion that was raised elsewhere and has only just
    /// been received does not suffice.
    fn agrees_to_removal(&self, now: Duration, name: &str) -> bool {
        let own = name == self.own.name && self.phase != Phase::Leaving;
        let Some(peer) = self.peers.get(name) else { return !own };
        let (min, _) = timeout_bounds(self.own.period, self.own.suspicion_periods, self.view.members.len());
        let persists = |suspicion: &Suspicion| now.saturating_sub(suspicion.since) >= min / 2;
        peer.suspicion.as_ref().is_some_and(persists) || peer.update.state == MemberState::Leaving
    }

    /// The changes of the next view that this member would propose.
    fn desired(&self, now: Duration) -> Change {
        let bootstrapping = self.view.id == ViewId::default();
        let bootstrap =
            bootstrapping.then(|| self.bootstrap_stamp(now).max(self.abandoned_view.bootstrap + 1));
        let leaves = if bootstrapping { Vec::new() } else { self.desired_leaves() };
        let joins = self.desired_joins(bootstrapping, MAX_CHANGES - leaves.len());
        Change { bootstrap, joins, leaves }
    }

    /// Members of the view that this member considers faulty, or that have announced that they leave.
    fn desired_leaves(&self) -> Vec<String> {
        let departs = |listed: &&ViewMember| {
            let peer =
                self.peers.get(&listed.name).filter(|peer| peer.update.generation == listed.generation);
            peer.is_some_and(|peer| peer.faulty || peer.update.state == MemberState::Leaving)
        };
        let leaves = self.view.members.values().filter(departs).take(MAX_CHANGES);
        leaves.map(|listed| listed.name.clone()).collect()
    }

    /// Known processes that ask to join, at most `max`; at a bootstrap this member too.
    fn desired_joins(&self, bootstrapping: bool, max: usize) -> Vec<ViewMember> {
        let own = bootstrapping.then(|| self.own_update());
        let updates = self.peers.values().map(|peer| &peer.update).chain(&own);
        let joins = updates.filter(|update| {
            let admitted = bootstrapping || self.view.admits(&update.name, update.generation);
            admitted && !matches!(update.state, MemberState::Leaving | MemberState::Suspect { .. })
        });
        let listed = |update: &Update| {
            let (name, generation, address) = (update.name.clone(), update.generation, update.address);
            ViewMember { name, generation, address }
        };
        joins.take(max).map(listed).collect()
    }

    /// Schedules a proposal if the view has to change. The first live member in the order of names proposes at once,
    /// each further one later, so that proposals rarely compete.
    pub(super) fn plan_proposal(&mut self, now: Duration) {
        if self.propose_at.is_some() || !self.view_may_change {
            return;
        }
        if self.desired(now).is_empty() {
            self.view_may_change = false;
            return;
        }
        let bootstrapping = self.view.id == ViewId::default();
        let may_propose = match bootstrapping {
            true => self.phase == Phase::Joining && self.view.members.contains_key(&self.own.name),
            false => self.is_quorate(now),
        };
        if !may_propose {
            return;
        }
        let rank = self.rank();
        let first =
            if bootstrapping { self.phase_since + self.own.period * BOOTSTRAP_AFTER_PERIODS } else { now };
        let pause = self.own.period.mul_f64(PROPOSAL_DELAY_PERIODS * (1.0 + self.random.draw() / 4.0));
        self.propose_at = Some(first.max(now) + pause + self.own.period * RETRY_AFTER_PERIODS * rank);
    }

    /// How many members of the view precede this one in the order of names and are not considered faulty.
    fn rank(&self) -> u32 {
        let faulty = |name: &&String| self.peers.get(*name).is_some_and(|peer| peer.faulty);
        let before = self.view.members.keys().take_while(|name| **name != self.own.name);
        before.filter(|name| !faulty(name)).count() as u32
    }

    /// Proposes the next view, if there is something to change. A first view is proposed only once a majority of the
    /// seeds is known.
    pub(super) fn propose_now(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.propose_at = None;
        let change = self.desired(now);
        let bootstrapping = self.view.id == ViewId::default();
        let seed_member = |listed: &&ViewMember| self.view.members.contains_key(&listed.name);
        let has_majority =
            !bootstrapping || change.joins.iter().filter(seed_member).count() >= self.view.majority();
        if change.is_empty() || !has_majority {
            return;
        }
        self.counters.proposals += 1;
        let round = self.acceptor.promised().round + 1;
        let ballot = Ballot { round, by: self.own.name.clone() };
        let leaves = change.leaves.clone();
        self.proposal = Some(Proposal::new(ballot.clone(), change));
        let pause = self.own.period.mul_f64(f64::from(RETRY_AFTER_PERIODS) + self.random.draw());
        self.propose_at = Some(now + pause);
        self.broadcast(&Message::Prepare { ballot: ballot.clone(), leaves: leaves.clone() }, actions);
        if let Some(accepted) = self.acceptor.prepare(&ballot) {
            let objections = self.objections(now, leaves);
            let own = self.own.name.clone();
            self.count_vote(now, &own, &ballot, accepted, objections, actions);
        }
    }

    /// Sends a message to all other members of the view.
    fn broadcast(&mut self, message: &Message, actions: &mut Vec<Action>) {
        let others = self.view.members.values().filter(|listed| listed.name != self.own.name);
        let others: Vec<SocketAddr> = others.map(|listed| listed.address).collect();
        others.into_iter().for_each(|to| self.send(to, message.clone(), actions));
    }

    /// Counts a promise for this member's proposal. Once a majority has promised, proposes the change that follows from
    /// the promises.
    fn count_vote(
        &mut self,
        now: Duration,
        from: &str,
        ballot: &Ballot,
        accepted: Option<(Ballot, Change)>,
        objections: Vec<String>,
        actions: &mut Vec<Action>,
    ) {
        let Some(proposal) = self.proposal.as_mut().filter(|it| it.ballot == *ballot) else { return };
        let Some(change) = proposal.add_vote(&self.view, from, accepted, objections) else { return };
        self.broadcast(&Message::Propose { ballot: ballot.clone(), change: change.clone() }, actions);
        if self.acceptor.accept(ballot, &change) {
            let own = self.own.name.clone();
            self.count_accepted(now, &own, ballot, actions);
        }
    }

    /// Counts an acceptance of this member's proposal. Once a majority has accepted, the change is decided: announces
    /// and installs the next view.
    fn count_accepted(&mut self, now: Duration, from: &str, ballot: &Ballot, actions: &mut Vec<Action>) {
        let Some(proposal) = self.proposal.as_mut().filter(|it| it.ballot == *ballot) else { return };
        let Some(change) = proposal.add_accepted(&self.view, from) else { return };
        let (after, next) = (self.view.id, self.view.after(&change));
        let listed = self.view.members.values().chain(change.joins.iter());
        let sent: BTreeSet<SocketAddr> =
            listed.filter(|listed| listed.name != self.own.name).map(|listed| listed.address).collect();
        for to in sent {
            self.send(to, Message::Decided { after, change: change.clone() }, actions);
        }
        self.install(now, next, "decided by a majority", actions);
    }
}
