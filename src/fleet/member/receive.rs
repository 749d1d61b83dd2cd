//! What comes in: whether a datagram is its sender's at all, and which part of the member each word is for.

use super::{Action, Member, Phase};
use crate::fleet::frame::{Frame, Word};
use crate::fleet::life::{Life, Rumor};
use crate::fleet::view::ViewId;
use std::net::SocketAddr;
use std::time::Duration;

/// Who said something.
#[derive(Clone, Copy)]
pub(super) struct Sender<'a> {
    pub(super) name: &'a str,
    pub(super) life: Life,
    /// The view that it has.
    pub(super) view: ViewId,
    /// Where it came from.
    pub(super) address: SocketAddr,
}

impl Member {
    /// Takes a datagram: first whose it is, then what it says of others, then its word.
    pub(super) fn hear(
        &mut self,
        now: Duration,
        frame: Frame,
        source: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let Frame { from, life, view, word, rumors } = frame;
        if from == self.own.name {
            // Somebody has this name, or what was said here came back.
            return self.name_is_used(now, life, actions);
        }
        let sender = Sender { name: &from, life, view, address: source };
        // Guards the members against whoever speaks in their name from elsewhere.
        if self.stated_address(sender, &rumors) != Some(source) {
            self.counters.strangers += 1;
            return;
        }
        if self.phase == Phase::Aside {
            return;
        }
        self.heard = now;
        for rumor in rumors {
            self.learn(now, rumor, actions);
        }
        if let Some(peer) = self.peers.get_mut(&from).filter(|peer| peer.rumor.life == life) {
            peer.heard = Some(now);
        }
        if view > self.view.id.max(self.dead) {
            self.ask_for_view(now, sender, actions);
        }
        self.take_word(now, sender, word, actions);
    }

    /// Where a sender is to be: as known of this life or a later one, else as it says of itself, else as the view says.
    fn stated_address(&self, sender: Sender, rumors: &[Rumor]) -> Option<SocketAddr> {
        let known = self.peers.get(sender.name).filter(|peer| peer.rumor.life >= sender.life);
        let introduces = rumors.iter().find(|it| it.name == sender.name && it.life == sender.life);
        let line = self.view.members.get(sender.name).map(|line| line.address);
        known.map(|peer| peer.rumor.address).or(introduces.map(|it| it.address)).or(line)
    }

    /// Hands a word to the part of the member that it is for.
    fn take_word(&mut self, now: Duration, sender: Sender, word: Word, actions: &mut Vec<Action>) {
        match word {
            Word::Ping(number) => self.say(sender.address, Word::Ack(number), actions),
            Word::Ack(number) => self.answered(now, number, sender.name, actions),
            Word::Look { number, name: _, address } => {
                self.look_for_another(now, number, address, sender.address, actions);
            }
            Word::Found { number, there } => self.found(now, number, there, sender.name, actions),
            Word::Join => self.answer_join(sender, actions),
            Word::Taken(theirs) if self.phase == Phase::Joining && theirs >= self.life => {
                self.begin_life(now, Life(theirs.0 + 1), "its name was another life's", actions);
            }
            Word::Taken(_) => {}
            Word::Fetch(page) => self.serve_page(page, sender.address, actions),
            Word::Page { page, pages, lines } => {
                self.take_page(now, sender, (page, pages, lines), actions);
            }
            Word::Prepare { .. } | Word::Promise { .. } | Word::Propose { .. } | Word::Accepted(_) => {
                if self.may_vote(sender) {
                    self.take_vote(now, sender, word, actions);
                }
            }
            Word::Decided { after, change } if after == self.view.id => {
                let next = self.view.after(&change);
                self.enter(now, next, &format!("told by {}", sender.name), actions);
            }
            Word::Decided { .. } => {}
        }
    }

    /// Somebody asks to be taken in: it learns that its name is held, or by the head of the answer which view there is.
    fn answer_join(&mut self, sender: Sender, actions: &mut Vec<Action>) {
        let line = self.view.members.get(sender.name);
        let held = line.filter(|line| {
            line.life > sender.life || (line.life == sender.life && line.address != sender.address)
        });
        let answer = match held.map(|line| line.life) {
            Some(life) if self.view.id != ViewId::default() => Word::Taken(life),
            _ => Word::Ack(0),
        };
        self.say(sender.address, answer, actions);
    }
}
