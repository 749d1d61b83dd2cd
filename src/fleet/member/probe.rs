//! Probes: each protocol period the next member of a shuffled round is probed, directly and then through helpers.
//! Without any ack either the probed member is suspected, or this member's own health score is lowered.

use super::{Action, Member};
use crate::fleet::frame::Message;
use crate::fleet::update::{MemberState, Update};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of concurrent indirect probes on behalf of others. Bounds the memory against a flood of requests.
const MAX_RELAYED: usize = 256;

/// The probe of this period.
pub(super) struct Probe {
    pub(super) number: u32,
    pub(super) name: String,
    pub(super) sent: Duration,
    /// Number of helpers asked; 0 if none has been asked yet.
    pub(super) asked: usize,
    /// Number of helpers that reported a result.
    pub(super) reports: usize,
    pub(super) answered: bool,
}

/// An indirect probe that this member makes as a helper.
pub(super) struct RelayedProbe {
    pub(super) number: u32,
    pub(super) until: Duration,
    pub(super) requester: SocketAddr,
    pub(super) requester_number: u32,
}

impl Member {
    /// Asks helpers, and begins the next probe, when these are due.
    pub(super) fn run_probes(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.next_indirect_probe().is_some_and(|at| at <= now) {
            self.ask_helpers(actions);
        }
        if self.next_probe <= now {
            self.conclude_probe(now, actions);
            self.forget_joiners(now);
            self.send_probe(now, actions);
            self.probe_absent_seed(actions);
            self.next_probe = now + self.health.stretch(self.own.period);
        }
    }

    /// When helpers are asked to probe the member that has not answered yet.
    pub(super) fn next_indirect_probe(&self) -> Option<Duration> {
        let probe = self.probe.as_ref().filter(|probe| probe.asked == 0 && !probe.answered);
        probe.map(|probe| probe.sent + self.health.stretch(self.own.ack_timeout))
    }

    /// Probes the next member of the round.
    fn send_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let in_view = |name: &String| self.view.members.contains_key(name);
        while self.round.pop_if(|name| !in_view(name)).is_some() {}
        if self.round.is_empty() {
            self.begin_round();
        }
        let Some(name) = self.round.pop() else { return };
        let Some(peer) = self.peers.get(&name) else { return };
        let (address, update) = (peer.update.address, peer.suspicion.is_some().then(|| peer.update.clone()));
        self.last_number = self.last_number.wrapping_add(1);
        self.counters.probes += 1;
        let number = self.last_number;
        self.probe = Some(Probe { number, name, sent: now, asked: 0, reports: 0, answered: false });
        // A suspected member is sent the suspicion with the probe, so that it can refute it at once.
        update.into_iter().for_each(|update| self.enqueue(update));
        self.send(address, Message::Ping(number), actions);
    }

    /// Begins a round: all other members of the view in random order.
    fn begin_round(&mut self) {
        let others = self.view.members.keys().filter(|name| **name != self.own.name);
        let mut round: Vec<String> = others.cloned().collect();
        for at in (1..round.len()).rev() {
            let other = self.draw(at + 1);
            round.swap(at, other);
        }
        self.round = round;
    }

    /// Asks random unsuspected members for indirect probes, since the probed member has not answered.
    fn ask_helpers(&mut self, actions: &mut Vec<Action>) {
        let Some(probe) = &self.probe else { return };
        let (number, name) = (probe.number, probe.name.clone());
        let others = |it: &&String| **it != name && **it != self.own.name;
        let others = self.view.members.keys().filter(others);
        let live = |it: &&String| self.peers.get(*it).is_some_and(|peer| peer.suspicion.is_none());
        let mut others: Vec<String> = others.filter(live).cloned().collect();
        let Some(address) = self.peers.get(&name).map(|peer| peer.update.address) else { return };
        let mut asked = 0;
        while asked < self.own.helpers && !others.is_empty() {
            let at = self.draw(others.len());
            let other = others.swap_remove(at);
            let Some(to) = self.peers.get(&other).map(|peer| peer.update.address) else { continue };
            self.send(to, Message::IndirectProbe { number, name: name.clone(), address }, actions);
            asked += 1;
        }
        self.counters.indirect_probes += asked as u64;
        if let Some(probe) = &mut self.probe {
            // At least 1 also without any helper, so that helpers are not looked for again.
            probe.asked = asked.max(1);
        }
    }

    /// As a helper, probes a member on behalf of another one that received no ack from it.
    pub(super) fn relay_probe(
        &mut self,
        now: Duration,
        requester_number: u32,
        address: SocketAddr,
        requester: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        self.last_number = self.last_number.wrapping_add(1);
        let (number, until) = (self.last_number, now + self.own.ack_timeout);
        self.relayed.push(RelayedProbe { number, until, requester, requester_number });
        self.relayed.truncate(MAX_RELAYED);
        self.send(address, Message::Ping(number), actions);
    }

    /// As a helper, reports the indirect probes that were not answered in time.
    pub(super) fn expire_relayed(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while let Some(at) = self.relayed.iter().position(|relayed| relayed.until <= now) {
            let relayed = self.relayed.swap_remove(at);
            self.send(
                relayed.requester,
                Message::IndirectResult { number: relayed.requester_number, reachable: false },
                actions,
            );
        }
    }

    /// Handles an ack: of this member's own probe, or of one that it made as a helper.
    pub(super) fn receive_ack(&mut self, now: Duration, number: u32, from: &str, actions: &mut Vec<Action>) {
        if let Some(at) = self.relayed.iter().position(|relayed| relayed.number == number) {
            let relayed = self.relayed.swap_remove(at);
            return self.send(
                relayed.requester,
                Message::IndirectResult { number: relayed.requester_number, reachable: true },
                actions,
            );
        }
        let Some(probe) = self.probe.as_mut().filter(|it| it.number == number && it.name == from) else {
            return;
        };
        probe.answered = true;
        if now.saturating_sub(probe.sent) <= self.own.ack_timeout {
            self.health.probe_answered();
        }
        if let Some(peer) = self.peers.get_mut(from) {
            peer.last_ack = Some(now);
        }
        self.clear_suspicion(from, "answered a probe", actions);
    }

    /// Handles a helper's report on an indirect probe.
    pub(super) fn receive_indirect_result(
        &mut self,
        now: Duration,
        number: u32,
        reachable: bool,
        by: &str,
        actions: &mut Vec<Action>,
    ) {
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) else { return };
        probe.reports += 1;
        let all_reported = probe.reports >= probe.asked;
        if reachable {
            probe.answered = true;
            let name = probe.name.clone();
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.last_indirect_ack = Some((now, by.to_string()));
            }
            self.clear_suspicion(&name, "reached by a helper", actions);
        } else if all_reported {
            // No helper reached it: waiting for the rest of the period would not change that.
            self.conclude_probe(now, actions);
        }
    }

    /// Ends the present probe. Without an ack the probed member is suspected; if no helper reported either, this member
    /// lowers its own health instead.
    fn conclude_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.take().filter(|probe| !probe.answered) else { return };
        let no_helpers = self.view.members.len() <= 2;
        if probe.reports == 0 && !no_helpers {
            // No answer at all points to a problem of this member.
            return self.health.probe_unanswered();
        }
        let Some(peer) = self.peers.get(&probe.name) else { return };
        let in_view = self
            .view
            .members
            .get(&probe.name)
            .is_some_and(|listed| listed.generation == peer.update.generation);
        if peer.update.state == MemberState::Leaving || !in_view {
            return;
        }
        let state = MemberState::Suspect { by: self.own.name.clone() };
        let update = Update { state, ..peer.update.clone() };
        if peer.suspicion.is_none() {
            self.counters.suspicions += 1;
        }
        if let Some(peer) = self.peers.get_mut(&probe.name) {
            peer.update = update.clone();
        }
        self.suspect(now, &update, actions);
    }
}
