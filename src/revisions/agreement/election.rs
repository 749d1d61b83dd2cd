//! Randomised election timeouts. Each attempt draws a new one, so that replicas that start an election together don't
//! keep doing so. The generator is seeded with the voter's id, so that a run can be reproduced.

use super::{VoterId, ELECTION_TICKS};
use crate::random::Random;
use raft::{Raft, StateRole, Storage};

/// Spreads the consecutive ids of voters over the range of seeds.
const SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Draws election timeouts in place of the `raft` crate, whose own generator can't be seeded.
pub(super) struct ElectionTimeouts {
    random: Random,
    term: u64,
    ticks: usize,
}

impl ElectionTimeouts {
    pub fn new(id: VoterId) -> Self {
        let mut random = Random::new(id.0.wrapping_mul(SEED_FACTOR));
        let ticks = draw_ticks(&mut random);
        ElectionTimeouts { random, term: 0, ticks }
    }

    /// Sets the election timeout before a tick; a new term gets a new draw.
    pub fn set_timeout<T: Storage>(&mut self, raft: &mut Raft<T>) {
        if raft.term != self.term {
            self.term = raft.term;
            self.ticks = draw_ticks(&mut self.random);
        }
        raft.set_randomized_election_timeout(self.ticks);
    }

    /// Draws a new timeout after a tick that started an election.
    pub fn redraw_after_election<T: Storage>(&mut self, raft: &Raft<T>) {
        if raft.state != StateRole::Leader && raft.election_elapsed == 0 {
            self.ticks = draw_ticks(&mut self.random);
        }
    }
}

/// Draws a timeout in ticks, at least [`ELECTION_TICKS`] and less than twice as many.
fn draw_ticks(random: &mut Random) -> usize {
    ELECTION_TICKS + (random.draw() * ELECTION_TICKS as f64) as usize
}
