//! Suspicions of other members: how they begin and end, and how a delay of this process affects them.

use super::{Action, Member};
use crate::fleet::suspicion::Suspicion;
use crate::fleet::update::{MemberState, Update};
use std::time::Duration;

/// Mean number of members that probe a suspect themselves after they received another member's suspicion.
const INDEPENDENT_PROBERS: f64 = 8.0;

impl Member {
    /// Records a suspicion of a member, or a further witness of it, and disseminates it.
    pub(super) fn suspect(&mut self, now: Duration, update: &Update, actions: &mut Vec<Action>) {
        let MemberState::Suspect { by } = &update.state else { return };
        let Some(peer) = self.peers.get_mut(&update.name) else { return };
        let fresh = match &mut peer.suspicion {
            Some(suspicion) => suspicion.witnesses.insert(by.clone()),
            None => {
                peer.suspicion = Some(Suspicion::new(now, by));
                let evidence = format!("no answer to {by}, incarnation {}", update.incarnation);
                actions.push(Action::Note { name: update.name.clone(), what: "suspect", evidence });
                true
            }
        };
        if !fresh {
            return;
        }
        self.suspects.insert(update.name.clone());
        self.enqueue(update.clone());
        // A few members probe the suspect next: they either reach it or become independent witnesses.
        let name = update.name.clone();
        if *by != self.own.name && self.random.draw() * (self.view.members.len() as f64) < INDEPENDENT_PROBERS
        {
            self.round.retain(|other| *other != name);
            self.round.push(name);
        }
    }

    /// Ends this member's suspicion of a member that was reached.
    pub(super) fn clear_suspicion(&mut self, name: &str, evidence: &str, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        if peer.suspicion.take().is_some() {
            peer.faulty = false;
            let evidence = evidence.to_string();
            actions.push(Action::Note { name: name.to_string(), what: "alive", evidence });
        }
    }

    /// Considers members faulty whose suspicion has timed out.
    pub(super) fn expire_suspicions(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let (period, suspicion_periods) = (self.own.period, self.own.suspicion_periods);
        let members = self.view.members.len();
        let (peers, view_may_change) = (&mut self.peers, &mut self.view_may_change);
        self.suspects.retain(|name| {
            let Some(peer) = peers.get_mut(name).filter(|peer| !peer.faulty) else { return false };
            let Some(suspicion) = &peer.suspicion else { return false };
            if now < suspicion.expires(period, suspicion_periods, members) {
                return true;
            }
            (peer.faulty, *view_may_change) = (true, true);
            let witnesses: Vec<&str> = suspicion.witnesses.iter().map(String::as_str).collect();
            let evidence = format!("suspected by {} for {:?}", witnesses.join(", "), now - suspicion.since);
            actions.push(Action::Note { name: name.clone(), what: "lost", evidence });
            false
        });
    }

    /// When the next suspicion times out, unless it is refuted.
    pub(super) fn next_expiry(&self) -> Option<Duration> {
        let suspected = self.suspects.iter().filter_map(|name| self.peers.get(name));
        let suspicions = suspected.filter(|peer| !peer.faulty).filter_map(|peer| peer.suspicion.as_ref());
        let members = self.view.members.len();
        suspicions
            .map(|suspicion| suspicion.expires(self.own.period, self.own.suspicion_periods, members))
            .min()
    }

    /// Drops all suspicions: those from a time without contact to a majority say nothing about the other members.
    pub(super) fn drop_suspicions(&mut self) {
        self.suspects.clear();
        self.gossip.retain(|update| !matches!(update.state, MemberState::Suspect { .. }));
        for peer in self.peers.values_mut() {
            (peer.suspicion, peer.faulty) = (None, false);
        }
    }

    /// Accounts for a delay of this process by this much.
    pub(super) fn record_delay(&mut self, now: Duration, by: Duration) {
        self.health.record_delay();
        // It could not receive answers meanwhile: probes of that time are void, and suspicions have not aged.
        self.last_received += by;
        for suspicion in self.peers.values_mut().filter_map(|peer| peer.suspicion.as_mut()) {
            suspicion.since = (suspicion.since + by).min(now);
        }
        self.probe = None;
        self.relayed.clear();
        let own = self.own.name.clone();
        self.gossip.retain(|update| !matches!(&update.state, MemberState::Suspect { by } if *by == own));
        self.next_probe = self.next_probe.max(now);
    }
}
