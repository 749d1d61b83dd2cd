//! Coming and going: asking to be taken into the view or out of it, beginning another generation, and giving way to a
//! newer process of the same name.

use super::{Action, Member, Phase};
use crate::fleet::frame::Message;
use crate::fleet::update::Generation;
use crate::fleet::view::Acceptor;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Joiners that are not heard of any more are forgotten after so many periods.
const FORGET_AFTER_PERIODS: u32 = 12;
/// Periods for which a leave is announced.
const LEAVE_ANNOUNCEMENT_PERIODS: u32 = 4;

impl Member {
    /// Begins to leave, and announces it to a few at once.
    pub(super) fn leave(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Member | Phase::Joining) {
            return;
        }
        self.change_phase(now, Phase::Leaving, "asked to leave", actions);
        let update = self.own_update();
        self.enqueue(update);
        self.next_join = now;
    }

    /// Comes again as one that was never there.
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

    /// Another process has this name, in a generation that began later. A process that is only joining is the newer
    /// one, and takes a later generation; one that is in the view gives way.
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
                "its name was another generation's",
                actions,
            ),
            Phase::Member | Phase::Leaving => {
                self.change_phase(now, Phase::Superseded, "another process has its name", actions);
            }
            Phase::Superseded | Phase::Left => {}
        }
    }

    /// Asks the seeds and some of the view to be taken in, or announces to some of the view that it leaves.
    pub(super) fn announce(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.next_join = now + self.own.period.mul_f64(0.75 + self.random.draw() / 2.0);
        let leaves = self.phase == Phase::Leaving;
        if leaves && now.saturating_sub(self.phase_since) > self.own.period * LEAVE_ANNOUNCEMENT_PERIODS {
            return self.change_phase(now, Phase::Left, "announced for long enough", actions);
        }
        let others = self.random_members(self.own.helpers.max(2));
        let seeds = self.own.seeds.iter().filter(|(name, _)| !leaves && **name != self.own.name);
        let to: BTreeSet<SocketAddr> = others.into_iter().chain(seeds.map(|(_, at)| *at)).collect();
        for to in to {
            if leaves {
                let update = self.own_update();
                self.enqueue(update);
            }
            self.send(to, if leaves { Message::Ping(0) } else { Message::Join }, actions);
        }
    }

    /// Addresses of so many other members, drawn.
    pub(super) fn random_members(&mut self, max: usize) -> Vec<SocketAddr> {
        let mut others: Vec<SocketAddr> =
            self.view.members.values().filter(|it| it.name != self.own.name).map(|it| it.address).collect();
        while others.len() > max {
            let at = self.draw(others.len());
            others.swap_remove(at);
        }
        others
    }

    /// Probes a seed that is not in the view: it may have bootstrapped another fleet during a cut, and the two are to
    /// meet.
    pub(super) fn probe_absent_seed(&mut self, actions: &mut Vec<Action>) {
        let absent = self.own.seeds.iter().filter(|(name, _)| !self.view.members.contains_key(*name));
        let absent: Vec<SocketAddr> = absent.map(|(_, address)| *address).collect();
        if !absent.is_empty() {
            let to = absent[self.draw(absent.len())];
            self.send(to, Message::Ping(0), actions);
        }
    }

    /// Forgets joiners that have not been heard of for long.
    pub(super) fn forget_joiners(&mut self, now: Duration) {
        // All others of the view are peers: where there are no more peers than those, nobody is a joiner. Guards the cost
        // of a period against the size of the view.
        if self.peers.len() < self.view.members.len() {
            return;
        }
        let (view, old) = (&self.view, now.saturating_sub(self.own.period * FORGET_AFTER_PERIODS));
        self.peers.retain(|name, peer| view.members.contains_key(name) || peer.last_announced >= old);
    }
}
