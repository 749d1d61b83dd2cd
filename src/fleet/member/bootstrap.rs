//! The first view of a fleet: who may decide it, what names it, and when a view that can decide nothing any more is given
//! up for another first one.

use super::{Action, Member, Phase};
use crate::fleet::frame::tag;
use crate::fleet::life::Life;
use crate::fleet::view::{Acceptor, Line, View, ViewId, FOUNDER_BITS};
use std::net::SocketAddr;
use std::time::Duration;

impl Member {
    /// Before there is a view those that may found one are its acceptors.
    pub(super) fn before_any(&self) -> View {
        let line = |(name, address): (&String, &SocketAddr)| {
            (name.clone(), Line { name: name.clone(), life: Life::default(), address: *address })
        };
        View { members: self.own.seeds.iter().map(line).collect(), ..View::default() }
    }

    /// Names a founding that begins now. Guards two foundings against one name: whoever founds late, after a fleet that it
    /// never heard of, does so at another time, and who founds at the same moment is told apart by name.
    pub(super) fn stamp(&self, now: Duration) -> u64 {
        let millis = self.own.life.0 + now.saturating_sub(self.born).as_millis() as u64;
        (millis << FOUNDER_BITS) | (tag(&self.own.name) & ((1 << FOUNDER_BITS) - 1))
    }

    /// Whether the view can decide anything at all: a life that another one of its name came after votes no more.
    pub(super) fn look_if_dead(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.view.id == ViewId::default() {
            return;
        }
        let later = |name: &String, life: Life| match *name == self.own.name {
            true => self.life > life,
            false => self.peers.get(name).is_some_and(|peer| peer.rumor.life > life),
        };
        let over = self.view.members.values().filter(|line| later(&line.name, line.life)).count();
        if self.view.members.len() - over >= self.view.most() {
            return;
        }
        self.dead = self.view.id;
        let before = self.before_any();
        self.view = before;
        (self.acceptor, self.proposal, self.try_at, self.fetch) = (Acceptor::default(), None, None, None);
        let life = self.life.0 + 1;
        if self.phase != Phase::Leaving {
            self.begin_life(now, Life(life), "most lives of its view are over", actions);
        }
    }
}
