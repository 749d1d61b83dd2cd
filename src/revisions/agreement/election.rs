//! How long a replica waits without a leader before it asks to be elected: drawn anew for each attempt, so that replicas
//! that begin together do not go on together, and drawn from the voter's id, so that a run can be played again.

use super::{VoterId, ELECTION_TICKS};
use crate::random::Random;
use raft::{Raft, StateRole, Storage};

/// Spreads the ids of voters, which follow each other, over all seeds.
const SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Draws election timeouts, in place of the crate's own draw, which no seed reaches.
pub(super) struct ElectionTimeouts {
    random: Random,
    term: u64,
    ticks: usize,
}

impl ElectionTimeouts {
    pub fn new(id: VoterId) -> Self {
        let mut random = Random::new(id.0.wrapping_mul(SEED_FACTOR));
        let ticks = draw(&mut random);
        ElectionTimeouts { random, term: 0, ticks }
    }

    /// Sets the timeout that the next tick is held against.
    pub fn set<T: Storage>(&mut self, raft: &mut Raft<T>) {
        if raft.term != self.term {
            self.term = raft.term;
            self.ticks = draw(&mut self.random);
        }
        raft.set_randomized_election_timeout(self.ticks);
    }

    /// Draws another after an attempt.
    pub fn note<T: Storage>(&mut self, raft: &Raft<T>) {
        if raft.state != StateRole::Leader && raft.election_elapsed == 0 {
            self.ticks = draw(&mut self.random);
        }
    }
}

/// From the least up to, but not, twice as many ticks.
fn draw(random: &mut Random) -> usize {
    ELECTION_TICKS + (random.draw() * ELECTION_TICKS as f64) as usize
}
