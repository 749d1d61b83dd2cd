//! Suspicions of others: how one begins, how it ends, and what this member's own lateness takes off it.

use super::{Action, Member};
use crate::fleet::life::{Rumor, Standing};
use crate::fleet::suspicion::Suspicion;
use std::time::Duration;

/// Members that probe a suspect of another's themselves, in the mean.
const WITNESSES: f64 = 8.0;

impl Member {
    /// A witness doubts a member.
    pub(super) fn doubt(&mut self, now: Duration, rumor: &Rumor, actions: &mut Vec<Action>) {
        let Standing::Suspect { by } = &rumor.standing else { return };
        let Some(peer) = self.peers.get_mut(&rumor.name) else { return };
        let fresh = match &mut peer.doubt {
            Some(doubt) => doubt.witnesses.insert(by.clone()),
            None => {
                peer.doubt = Some(Suspicion::new(now, by));
                let evidence = format!("no answer to {by}, claim {}", rumor.claim);
                actions.push(Action::Note { name: rumor.name.clone(), what: "suspect", evidence });
                true
            }
        };
        if !fresh {
            return;
        }
        self.doubted.insert(rumor.name.clone());
        self.enqueue(rumor.clone());
        // A few look for themselves, and soon: they find it, or are witnesses of their own.
        let name = rumor.name.clone();
        if *by != self.own.name && self.random.draw() * (self.view.members.len() as f64) < WITNESSES {
            self.round.retain(|other| *other != name);
            self.round.push(name);
        }
    }

    /// It gave a sign of itself: a doubt that this member has is over.
    pub(super) fn is_there(&mut self, name: &str, evidence: &str, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        if peer.doubt.take().is_some() {
            peer.lost = false;
            let evidence = evidence.to_string();
            actions.push(Action::Note { name: name.to_string(), what: "alive", evidence });
        }
    }

    /// Whose doubt's time is over is lost here.
    pub(super) fn end_doubts(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let (period, doubt_periods) = (self.own.period, self.own.doubt_periods);
        let members = self.view.members.len();
        let (peers, unsettled) = (&mut self.peers, &mut self.unsettled);
        self.doubted.retain(|name| {
            let Some(peer) = peers.get_mut(name).filter(|peer| !peer.lost) else { return false };
            let Some(doubt) = &peer.doubt else { return false };
            if now < doubt.ends(period, doubt_periods, members) {
                return true;
            }
            (peer.lost, *unsettled) = (true, true);
            let witnesses: Vec<&str> = doubt.witnesses.iter().map(String::as_str).collect();
            let evidence = format!("doubted by {} for {:?}", witnesses.join(", "), now - doubt.since);
            actions.push(Action::Note { name: name.clone(), what: "lost", evidence });
            false
        });
    }

    /// When the first doubt ends, if nothing contradicts it.
    pub(super) fn next_end(&self) -> Option<Duration> {
        let doubted = self.doubted.iter().filter_map(|name| self.peers.get(name));
        let doubts = doubted.filter(|peer| !peer.lost).filter_map(|peer| peer.doubt.as_ref());
        let members = self.view.members.len();
        doubts.map(|doubt| doubt.ends(self.own.period, self.own.doubt_periods, members)).min()
    }

    /// Doubts of a time in which it was not with most of the others tell of itself, and are dropped.
    pub(super) fn drop_doubts(&mut self) {
        self.doubted.clear();
        self.gossip.retain(|rumor| !matches!(rumor.standing, Standing::Suspect { .. }));
        for peer in self.peers.values_mut() {
            (peer.doubt, peer.lost) = (None, false);
        }
    }

    /// This member's process was kept from its work for so long.
    pub(super) fn was_late(&mut self, now: Duration, by: Duration) {
        self.health.was_late();
        // It was deaf meanwhile: nothing that it missed tells against anybody, and what it doubted it doubts no longer
        // than it could listen.
        self.heard += by;
        for doubt in self.peers.values_mut().filter_map(|peer| peer.doubt.as_mut()) {
            doubt.since = (doubt.since + by).min(now);
        }
        self.probe = None;
        self.looks.clear();
        let own = self.own.name.clone();
        self.gossip.retain(|rumor| !matches!(&rumor.standing, Standing::Suspect { by } if *by == own));
        self.next_probe = self.next_probe.max(now);
    }
}
