//! Joining and leaving: asks to be admitted to the view, announces a leave, begins another generation, and yields to a
//! newer process of the same name.

use super::{Action, Member, Phase};
use crate::fleet::frame::Message;
use crate::fleet::update::Generation;
use crate::fleet::view::Acceptor;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Periods after which a joining process is forgotten if no update about it is received.
const FORGET_AFTER_PERIODS: u32 = 12;
/// Periods during which a leave is announced.
const LEAVE_ANNOUNCEMENT_PERIODS: u32 = 4;

impl Member {
    /// Begins to leave; the announcement is due at once.
    pub(super) fn leave(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Member | Phase::Joining) {
            return;
        }
        self.change_phase(now, Phase::Leaving, "asked to leave", actions);
        let update = self.own_update();
        self.enqueue(update);
        self.next_join = now;
    }

    /// Begins to join as a new generation.
    pub(super) fn begin_generation(
        &mut self,
        now: Duration,
        generation: Generation,
        evidence: &str,
        actions: &mut Vec<Action>,
    ) {
        (self.generation, self.incarnation) = (generation, 0);
        self.next_join = now;
        self.acceptor = Acceptor::default();
        if self.phase == Phase::Joining {
            self.phase = Phase::Left;
        }
        self.change_phase(now, Phase::Joining, evidence, actions);
    }

    /// Handles a later generation of this member's name, which belongs to another process. A process that is still
    /// joining is the newer of the two and takes a generation after that one; a process that is in the view yields.
    pub(super) fn resolve_name_conflict(
        &mut self,
        now: Duration,
        generation: Generation,
        actions: &mut Vec<Action>,
    ) {
        if generation <= self.generation {
            return;
        }
        match self.phase {
            Phase::Joining => self.begin_generation(
                now,
                Generation(generation.0 + 1),
                "its name was used by another generation",
                actions,
            ),
            Phase::Member | Phase::Leaving => {
                self.change_phase(now, Phase::Superseded, "another process has its name", actions);
            }
            Phase::Superseded | Phase::Left => {}
        }
    }

    /// Asks the seeds and some members of the view for admission, or announces to some members that this one leaves.
    pub(super) fn announce(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.next_join = now + self.own.period.mul_f64(0.75 + self.random.draw() / 2.0);
        let leaving = self.phase == Phase::Leaving;
        if leaving && now.saturating_sub(self.phase_since) > self.own.period * LEAVE_ANNOUNCEMENT_PERIODS {
            return self.change_phase(now, Phase::Left, "announced for long enough", actions);
        }
        let others = self.random_members(self.own.helpers.max(2));
        let seeds = self.own.seeds.iter().filter(|(name, _)| !leaving && **name != self.own.name);
        let to: BTreeSet<SocketAddr> = others.into_iter().chain(seeds.map(|(_, at)| *at)).collect();
        for to in to {
            if leaving {
                let update = self.own_update();
                self.enqueue(update);
            }
            self.send(to, if leaving { Message::Ping(0) } else { Message::Join }, actions);
        }
    }

    /// Addresses of at most `max` other members of the view, chosen at random.
    pub(super) fn random_members(&mut self, max: usize) -> Vec<SocketAddr> {
        let mut others: Vec<SocketAddr> =
            self.view.members.values().filter(|it| it.name != self.own.name).map(|it| it.address).collect();
        while others.len() > max {
            let at = self.draw(others.len());
            others.swap_remove(at);
        }
        others
    }

    /// Probes a random seed that is not in the view: it may have bootstrapped another fleet during a network partition,
    /// and the two fleets have to find each other.
    pub(super) fn probe_absent_seed(&mut self, actions: &mut Vec<Action>) {
        let absent = self.own.seeds.iter().filter(|(name, _)| !self.view.members.contains_key(*name));
        let absent: Vec<SocketAddr> = absent.map(|(_, address)| *address).collect();
        if !absent.is_empty() {
            let to = absent[self.draw(absent.len())];
            self.send(to, Message::Ping(0), actions);
        }
    }

    /// Forgets joining processes about which no update was received for [`FORGET_AFTER_PERIODS`].
    pub(super) fn forget_joiners(&mut self, now: Duration) {
        // All other members of the view are peers: without further peers nobody is joining. Skipping the scan then
        // keeps the cost of a period independent of the view's size.
        if self.peers.len() < self.view.members.len() {
            return;
        }
        let (view, old) = (&self.view, now.saturating_sub(self.own.period * FORGET_AFTER_PERIODS));
        self.peers.retain(|name, peer| view.members.contains_key(name) || peer.last_announced >= old);
    }
}
