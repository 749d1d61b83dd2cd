//! Adapter for the simulation of membership: all uses of it by this subcommand.

use crate::membership::world::{Settings, Simulation};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Virtual seconds that members may take to agree on one view.
const TIMEOUT_S: usize = 600;

/// A simulated fleet whose members share one view.
pub struct Members {
    world: Simulation,
}

/// Traffic within a period of virtual time, summed over all members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentTraffic {
    /// Datagrams sent.
    pub datagrams: f64,
    /// Bytes in them.
    pub bytes: f64,
}

impl Members {
    /// Starts `size` members and runs until all share one view that contains all. Fails after a timeout.
    pub fn start(size: usize, seed: u64) -> Result<Members, String> {
        let mut world = Simulation::new(Settings::default(), size, seed);
        for _ in 0..TIMEOUT_S {
            world.run(world.now + SECOND);
            if world.is_settled() {
                return Ok(Members { world });
            }
        }
        Err(format!("{size} members did not agree on one view within {TIMEOUT_S} virtual seconds"))
    }

    /// Advances virtual time without counting traffic.
    pub fn advance(&mut self, time: Duration) {
        self.world.run(self.world.now + time);
    }

    /// Advances virtual time and counts the datagrams sent.
    pub fn count_traffic(&mut self, time: Duration) -> SentTraffic {
        (self.world.datagrams, self.world.bytes, self.world.counts_bytes) = (0, 0, true);
        self.advance(time);
        self.world.counts_bytes = false;
        SentTraffic { datagrams: self.world.datagrams as f64, bytes: self.world.bytes as f64 }
    }
}
