//! Going by another view: the table of peers follows it, and the member finds its own place in it.

use super::{Action, Member, Peer, Phase};
use crate::fleet::life::{Life, Rumor, Standing};
use crate::fleet::view::{Acceptor, Line, View, ViewId};
use std::time::Duration;

impl Member {
    /// Goes by another view from now on.
    pub(super) fn enter(&mut self, now: Duration, view: View, evidence: &str, actions: &mut Vec<Action>) {
        if view.id <= self.view.id.max(self.dead) {
            return;
        }
        let before = std::mem::replace(&mut self.view, view);
        (self.acceptor, self.proposal, self.try_at) = (Acceptor::default(), None, None);
        self.fetch = self.fetch.take().filter(|fetch| fetch.id > self.view.id);
        self.counters.views += 1;
        (self.unsettled, self.lives_changed) = (true, true);
        let (founded, number) = (self.view.id.founded_ms(), self.view.id.number);
        let evidence = format!("{evidence}, {} members, founded {founded}", self.view.members.len());
        actions.push(Action::Note { name: format!("view {number}"), what: "view", evidence });
        self.tell_who_went(&before, actions);
        self.follow_view(now, &before);
        self.find_itself(now, actions);
    }

    /// Tells of each life that was in the view before and is not in this one.
    fn tell_who_went(&self, before: &View, actions: &mut Vec<Action>) {
        if before.id == ViewId::default() {
            return;
        }
        let stays = |line: &Line| self.view.members.get(&line.name).is_some_and(|now| now.life == line.life);
        for (name, line) in before.members.iter().filter(|(_, line)| !stays(line)) {
            let left = self.peers.get(name).is_some_and(|it| it.rumor.standing == Standing::Leaving);
            let what = if left { "left" } else { "gone" };
            let evidence = format!("life {} is not in view {}", line.life.0, self.view.id.number);
            actions.push(Action::Note { name: name.clone(), what, evidence });
        }
    }

    /// Keeps the table of peers in step with the view.
    pub(super) fn follow_view(&mut self, now: Duration, before: &View) {
        let view = &self.view;
        // Who was taken out is forgotten with all that was said of that life.
        self.peers.retain(|name, peer| match (view.members.get(name), before.members.get(name)) {
            (Some(line), _) => peer.rumor.life >= line.life,
            (None, Some(line)) => peer.rumor.life > line.life,
            (None, None) => true,
        });
        // The view says it to all: nobody has to be told by rumors who came.
        let said = |rumor: &Rumor| {
            let there = view.members.get(&rumor.name).is_some_and(|line| line.life == rumor.life);
            there && rumor.claim == 0 && matches!(rumor.standing, Standing::Joining | Standing::Alive)
        };
        self.gossip.retain(|rumor| !said(rumor));
        for line in view.members.values().filter(|line| line.name != self.own.name) {
            let (name, address, life) = (line.name.clone(), line.address, line.life);
            let rumor = Rumor { name, address, life, claim: 0, standing: Standing::Alive };
            match self.peers.get_mut(&line.name) {
                Some(peer) if rumor.replaces(&peer.rumor) => peer.rumor = rumor,
                Some(_) => {}
                None => {
                    self.peers.insert(line.name.clone(), Peer::new(rumor, now));
                }
            }
        }
    }

    /// Finds its own place in a view that it entered.
    fn find_itself(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let own = self.view.members.get(&self.own.name).map(|line| line.life);
        match (self.phase, own) {
            (Phase::Joining, Some(life)) if life == self.life => {
                (self.next_probe, self.heard) = (now, now);
                self.drop_doubts();
                self.turn_to(now, Phase::Member, "taken in", actions);
            }
            (_, Some(life)) if life > self.life => self.name_is_used(now, life, actions),
            (Phase::Member, own) if own != Some(self.life) => {
                // Most could not reach it for long. It comes again, as one that was never there.
                let life = Life(self.life.0 + 1);
                self.begin_life(now, life, "taken out of the view", actions);
            }
            (Phase::Joining, None) => {
                // It was taken in and out again before it heard of either.
                if let Some(over) = self.view.over.get(&self.own.name).filter(|life| **life >= self.life) {
                    let life = Life(over.0 + 1);
                    self.begin_life(now, life, "its life was over", actions);
                }
            }
            (Phase::Leaving, None) => self.turn_to(now, Phase::Left, "out of the view", actions),
            _ => {}
        }
    }
}
