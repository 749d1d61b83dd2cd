//! All that this command uses of the membership in virtual time, in one place.

use crate::membership::world::{Settings, Simulation};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// How long members may take to come together.
const PATIENCE_S: usize = 600;

/// A fleet of members that have come together.
pub struct Members {
    world: Simulation,
}

/// What a stretch of virtual time came to, over all members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stretch {
    /// Datagrams sent.
    pub datagrams: f64,
    /// Bytes in them.
    pub bytes: f64,
}

impl Members {
    /// Starts so many, and waits until all are in one view with all.
    pub fn together(size: usize, seed: u64) -> Result<Members, String> {
        let mut world = Simulation::new(Settings::default(), size, seed);
        for _ in 0..PATIENCE_S {
            world.run(world.now + SECOND);
            if world.is_settled() {
                return Ok(Members { world });
            }
        }
        Err(format!("{size} members did not come together within {PATIENCE_S} virtual seconds"))
    }

    /// Plays on; nothing is counted.
    pub fn play(&mut self, time: Duration) {
        self.world.run(self.world.now + time);
    }

    /// Plays on, and counts what is sent.
    pub fn count(&mut self, time: Duration) -> Stretch {
        (self.world.datagrams, self.world.bytes, self.world.counts_bytes) = (0, 0, true);
        self.play(time);
        self.world.counts_bytes = false;
        Stretch { datagrams: self.world.datagrams as f64, bytes: self.world.bytes as f64 }
    }
}
