//! Coming and going: asking to be taken into the view or out of it, beginning another life, and giving way to a newer
//! process of the same name.

use super::{Action, Member, Phase};
use crate::fleet::frame::Word;
use crate::fleet::life::Life;
use crate::fleet::view::Acceptor;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Who asked to be taken in and is not heard of any more is forgotten after so many periods.
const FORGOTTEN: u32 = 12;
/// Periods that a leave is told for.
const LEAVES_FOR: u32 = 4;

impl Member {
    /// It is to leave: says so, to a few at once.
    pub(super) fn leave(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Member | Phase::Joining) {
            return;
        }
        self.turn_to(now, Phase::Leaving, "by its own word", actions);
        let rumor = self.rumor();
        self.enqueue(rumor);
        self.next_join = now;
    }

    /// Comes again as one that was never there.
    pub(super) fn begin_life(
        &mut self,
        now: Duration,
        life: Life,
        evidence: &str,
        actions: &mut Vec<Action>,
    ) {
        (self.life, self.claim) = (life, 0);
        self.next_join = now;
        self.acceptor = Acceptor::default();
        if self.phase == Phase::Joining {
            self.phase = Phase::Left;
        }
        self.turn_to(now, Phase::Joining, evidence, actions);
    }

    /// Another process says that it has this name, in a life that began later. A process that is only joining is the
    /// newer one, and takes a later life; one that is in the view gives way.
    pub(super) fn name_is_used(&mut self, now: Duration, life: Life, actions: &mut Vec<Action>) {
        if life <= self.life {
            return;
        }
        match self.phase {
            Phase::Joining => self.begin_life(now, Life(life.0 + 1), "its name was another life's", actions),
            Phase::Member | Phase::Leaving => {
                self.turn_to(now, Phase::Aside, "another process has its name", actions);
            }
            Phase::Aside | Phase::Left => {}
        }
    }

    /// Who joins asks the seeds and some of the view; who leaves tells some of the view.
    pub(super) fn ask_to_change(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.next_join = now + self.own.period.mul_f64(0.75 + self.random.draw() / 2.0);
        let leaves = self.phase == Phase::Leaving;
        if leaves && now.saturating_sub(self.phase_since) > self.own.period * LEAVES_FOR {
            return self.turn_to(now, Phase::Left, "told for long enough", actions);
        }
        let others = self.some_of_view(self.own.lookers.max(2));
        let seeds = self.own.seeds.iter().filter(|(name, _)| !leaves && **name != self.own.name);
        let to: BTreeSet<SocketAddr> = others.into_iter().chain(seeds.map(|(_, at)| *at)).collect();
        for to in to {
            if leaves {
                let rumor = self.rumor();
                self.enqueue(rumor);
            }
            self.say(to, if leaves { Word::Ping(0) } else { Word::Join }, actions);
        }
    }

    /// Where so many others of the view are, drawn.
    pub(super) fn some_of_view(&mut self, most: usize) -> Vec<SocketAddr> {
        let mut others: Vec<SocketAddr> =
            self.view.members.values().filter(|it| it.name != self.own.name).map(|it| it.address).collect();
        while others.len() > most {
            let at = self.draw(others.len());
            others.swap_remove(at);
        }
        others
    }

    /// Seeds that are not in the view may have founded another fleet during a cut: the two are to meet.
    pub(super) fn look_for_seeds(&mut self, actions: &mut Vec<Action>) {
        let absent = self.own.seeds.iter().filter(|(name, _)| !self.view.members.contains_key(*name));
        let absent: Vec<SocketAddr> = absent.map(|(_, address)| *address).collect();
        if !absent.is_empty() {
            let to = absent[self.draw(absent.len())];
            self.say(to, Word::Ping(0), actions);
        }
    }

    /// Who asked to be taken in and is not heard of any more asks no longer.
    pub(super) fn forget(&mut self, now: Duration) {
        let (view, old) = (&self.view, now.saturating_sub(self.own.period * FORGOTTEN));
        self.peers.retain(|name, peer| view.members.contains_key(name) || peer.since >= old);
    }
}
