//! Updates that others disseminate: what is said of another member, and what is said of this one.

use super::{Action, Member, Peer, Phase, MOST_MEMBERS};
use crate::fleet::frame::Word;
use crate::fleet::life::{Rumor, Standing};
use std::time::Duration;

impl Member {
    /// Something is said of a member.
    pub(super) fn learn(&mut self, now: Duration, rumor: Rumor, actions: &mut Vec<Action>) {
        if rumor.name == self.own.name {
            return self.hear_of_itself(now, &rumor, actions);
        }
        let in_view = self.view.members.get(&rumor.name).is_some_and(|line| line.life == rumor.life);
        let doubted = matches!(rumor.standing, Standing::Suspect { .. });
        // What is said of a life that is over, or is doubted before it came, changes nothing.
        if self.is_over(&rumor) || (doubted && !in_view) {
            return;
        }
        let Some(peer) = self.peers.get_mut(&rumor.name) else {
            return self.meet(now, rumor, actions);
        };
        if !in_view && rumor.life >= peer.rumor.life {
            // It still asks to be taken in.
            peer.since = now;
        }
        if rumor.replaces(&peer.rumor) {
            self.replace(now, rumor, actions);
        } else if doubted && rumor.life == peer.rumor.life && rumor.claim == peer.rumor.claim {
            self.doubt(now, &rumor, actions);
        }
    }

    /// Whether something is said of a life that a view has ended, or that one of its name came after.
    fn is_over(&self, rumor: &Rumor) -> bool {
        self.view.members.get(&rumor.name).is_some_and(|line| line.life > rumor.life)
            || self.view.over.get(&rumor.name).is_some_and(|life| *life >= rumor.life)
    }

    /// A member is heard of for the first time.
    fn meet(&mut self, now: Duration, rumor: Rumor, actions: &mut Vec<Action>) {
        if self.peers.len() >= MOST_MEMBERS {
            return;
        }
        self.peers.insert(rumor.name.clone(), Peer::new(rumor.clone(), now));
        self.unsettled = true;
        self.enqueue(rumor.clone());
        if matches!(rumor.standing, Standing::Suspect { .. }) {
            self.doubt(now, &rumor, actions);
        }
    }

    /// What is said of a member takes the place of what was known of it.
    fn replace(&mut self, now: Duration, rumor: Rumor, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(&rumor.name) else { return };
        let another = rumor.life != peer.rumor.life;
        // Guards a member against whoever says that it moved: one life has one address.
        let address = if another { rumor.address } else { peer.rumor.address };
        let rumor = Rumor { address, ..rumor };
        if another {
            (peer.heard, peer.answered, peer.found) = (None, None, None);
        }
        peer.rumor = rumor.clone();
        if matches!(rumor.standing, Standing::Suspect { .. }) {
            return self.doubt(now, &rumor, actions);
        }
        peer.lost = false;
        if peer.doubt.take().is_some() && !another {
            let evidence = format!("claim {}", rumor.claim);
            actions.push(Action::Note { name: rumor.name.clone(), what: "refuted", evidence });
        }
        (self.unsettled, self.lives_changed) = (true, self.lives_changed || another);
        self.enqueue(rumor);
    }

    /// Something is said of this member: a suspicion is refuted, and a later life of its name is another process.
    fn hear_of_itself(&mut self, now: Duration, rumor: &Rumor, actions: &mut Vec<Action>) {
        if rumor.life > self.life {
            return self.name_is_used(now, rumor.life, actions);
        }
        let doubted = matches!(rumor.standing, Standing::Suspect { .. });
        if rumor.life == self.life && doubted && rumor.claim >= self.claim && self.phase == Phase::Member {
            self.refute(rumor.claim, actions);
        }
    }

    /// Contradicts a suspicion of this claim by a higher one.
    fn refute(&mut self, claim: u32, actions: &mut Vec<Action>) {
        self.claim = claim + 1;
        self.counters.refuted += 1;
        let rumor = self.rumor();
        self.enqueue(rumor);
        // A few hear it at once: whoever was late probes seldom, and its word must not wait for that.
        for to in self.some_of_view(self.own.lookers) {
            self.say(to, Word::Ping(0), actions);
        }
    }
}
