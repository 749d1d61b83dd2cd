//! Probes: each period the next member of a shuffled round is asked whether it is there, then by way of others, and what
//! the silence of all of them means.

use super::{Action, Member};
use crate::fleet::frame::Word;
use crate::fleet::life::{Rumor, Standing};
use std::net::SocketAddr;
use std::time::Duration;

/// Indirect probes that are made for others at once. Guards the memory against whoever asks for more.
const MOST_LOOKS: usize = 256;

/// The probe of this period.
pub(super) struct Probe {
    pub(super) number: u32,
    pub(super) name: String,
    pub(super) sent: Duration,
    /// Others were asked, and so many of them said that they look.
    pub(super) asked: usize,
    pub(super) said: usize,
    pub(super) answered: bool,
}

/// An indirect probe that is made for another member.
pub(super) struct Look {
    pub(super) number: u32,
    pub(super) until: Duration,
    pub(super) asker: SocketAddr,
    pub(super) theirs: u32,
}

impl Member {
    /// Does what is due of probes.
    pub(super) fn keep_probing(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.next_asking().is_some_and(|at| at <= now) {
            self.ask_lookers(actions);
        }
        if self.next_probe <= now {
            self.conclude(now, actions);
            self.forget(now);
            self.probe_next(now, actions);
            self.look_for_seeds(actions);
            self.next_probe = now + self.health.stretch(self.own.period);
        }
    }

    /// When others are asked about a probe that has no answer yet.
    pub(super) fn next_asking(&self) -> Option<Duration> {
        let probe = self.probe.as_ref().filter(|probe| probe.asked == 0 && !probe.answered);
        probe.map(|probe| probe.sent + self.health.stretch(self.own.answer))
    }

    /// Probes the next member of the round.
    fn probe_next(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let in_view = |name: &String| self.view.members.contains_key(name);
        while self.round.pop_if(|name| !in_view(name)).is_some() {}
        if self.round.is_empty() {
            self.begin_round();
        }
        let Some(name) = self.round.pop() else { return };
        let Some(peer) = self.peers.get(&name) else { return };
        let (address, rumor) = (peer.rumor.address, peer.doubt.is_some().then(|| peer.rumor.clone()));
        self.last_number = self.last_number.wrapping_add(1);
        self.counters.probes += 1;
        let number = self.last_number;
        self.probe = Some(Probe { number, name, sent: now, asked: 0, said: 0, answered: false });
        // Who is doubted hears so at once, and can contradict it.
        rumor.into_iter().for_each(|rumor| self.enqueue(rumor));
        self.say(address, Word::Ping(number), actions);
    }

    /// Shuffles all others of the view.
    fn begin_round(&mut self) {
        let others = self.view.members.keys().filter(|name| **name != self.own.name);
        let mut round: Vec<String> = others.cloned().collect();
        for at in (1..round.len()).rev() {
            let other = self.draw(at + 1);
            round.swap(at, other);
        }
        self.round = round;
    }

    /// No answer came so far: others are asked to look.
    fn ask_lookers(&mut self, actions: &mut Vec<Action>) {
        let Some(probe) = &self.probe else { return };
        let (number, name) = (probe.number, probe.name.clone());
        let others = |it: &&String| **it != name && **it != self.own.name;
        let others = self.view.members.keys().filter(others);
        let live = |it: &&String| self.peers.get(*it).is_some_and(|peer| peer.doubt.is_none());
        let mut others: Vec<String> = others.filter(live).cloned().collect();
        let Some(address) = self.peers.get(&name).map(|peer| peer.rumor.address) else { return };
        let mut asked = 0;
        while asked < self.own.lookers && !others.is_empty() {
            let at = self.draw(others.len());
            let other = others.swap_remove(at);
            let Some(to) = self.peers.get(&other).map(|peer| peer.rumor.address) else { continue };
            self.say(to, Word::Look { number, name: name.clone(), address }, actions);
            asked += 1;
        }
        self.counters.looks += asked as u64;
        if let Some(probe) = &mut self.probe {
            // Where nobody else is there, nobody needs to be asked again.
            probe.asked = asked.max(1);
        }
    }

    /// Probes a member for another one, that heard nothing of it.
    pub(super) fn look_for_another(
        &mut self,
        now: Duration,
        theirs: u32,
        address: SocketAddr,
        asker: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        self.last_number = self.last_number.wrapping_add(1);
        let (number, until) = (self.last_number, now + self.own.answer);
        self.looks.push(Look { number, until, asker, theirs });
        self.looks.truncate(MOST_LOOKS);
        self.say(address, Word::Ping(number), actions);
    }

    /// Tells whoever asked for an indirect probe that nobody answered in time.
    pub(super) fn end_looks(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while let Some(at) = self.looks.iter().position(|look| look.until <= now) {
            let look = self.looks.swap_remove(at);
            self.say(look.asker, Word::Found { number: look.theirs, there: false }, actions);
        }
    }

    /// A probe was answered: this member's own, or one that it made for another.
    pub(super) fn answered(&mut self, now: Duration, number: u32, from: &str, actions: &mut Vec<Action>) {
        if let Some(at) = self.looks.iter().position(|look| look.number == number) {
            let look = self.looks.swap_remove(at);
            return self.say(look.asker, Word::Found { number: look.theirs, there: true }, actions);
        }
        let Some(probe) = self.probe.as_mut().filter(|it| it.number == number && it.name == from) else {
            return;
        };
        probe.answered = true;
        if now.saturating_sub(probe.sent) <= self.own.answer {
            self.health.was_answered();
        }
        if let Some(peer) = self.peers.get_mut(from) {
            peer.answered = Some(now);
        }
        self.is_there(from, "answered", actions);
    }

    /// Somebody who was asked for an indirect probe says what came of it.
    pub(super) fn found(
        &mut self,
        now: Duration,
        number: u32,
        there: bool,
        by: &str,
        actions: &mut Vec<Action>,
    ) {
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) else { return };
        probe.said += 1;
        let all_said = probe.said >= probe.asked;
        if there {
            probe.answered = true;
            let name = probe.name.clone();
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.found = Some((now, by.to_string()));
            }
            self.is_there(&name, "found by another", actions);
        } else if all_said {
            // Nobody who was asked found it: the rest of the period would tell no more.
            self.conclude(now, actions);
        }
    }

    /// The probe is over: without any answer its member is suspected, or this one trusts itself less.
    fn conclude(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.take().filter(|probe| !probe.answered) else { return };
        let few = self.view.members.len() <= 2;
        if probe.said == 0 && !few {
            // Nobody answered at all. It doubts itself first.
            return self.health.heard_nobody();
        }
        let Some(peer) = self.peers.get(&probe.name) else { return };
        let in_view = self.view.members.get(&probe.name).is_some_and(|line| line.life == peer.rumor.life);
        if peer.rumor.standing == Standing::Leaving || !in_view {
            return;
        }
        let standing = Standing::Suspect { by: self.own.name.clone() };
        let rumor = Rumor { standing, ..peer.rumor.clone() };
        if peer.doubt.is_none() {
            self.counters.doubts += 1;
        }
        if let Some(peer) = self.peers.get_mut(&probe.name) {
            peer.rumor = rumor.clone();
        }
        self.doubt(now, &rumor, actions);
    }
}
