//! Reads at a steady rate through a real initiator, one after another.

use super::initiator::{read_command, Client, Initiator};
use std::time::{Duration, Instant};

/// Between two requests.
const GAP: Duration = Duration::from_millis(2);

/// What a stretch of load came to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Loaded {
    /// Requests answered.
    pub answered: u64,
    /// Of these, with a value.
    pub served: u64,
}

/// A client that asks for volumes and shards in turn.
pub struct Load {
    client: Client,
    volumes: u64,
    shards: u64,
    number: u64,
}

impl Load {
    /// Connects.
    pub fn start(initiator: &Initiator, volumes: u64, shards: u64) -> Result<Load, String> {
        Ok(Load { client: Client::connect(initiator.listen)?, volumes, shards, number: 0 })
    }

    /// So many requests as soon as the one before is answered.
    pub fn ask(&mut self, count: u64) -> Result<Loaded, String> {
        let mut loaded = Loaded::default();
        for _ in 0..count {
            self.number += 1;
            let command = read_command(self.number, self.number % self.volumes, self.number % self.shards);
            let answer = self.client.ask(&command)?;
            loaded.answered += 1;
            // Refusals and errors begin with a sign; the value is that of the stand-in nodes.
            loaded.served += u64::from(!answer.starts_with('-'));
        }
        Ok(loaded)
    }

    /// Requests at a steady rate for a time.
    pub fn ask_for(&mut self, time: Duration) -> Result<Loaded, String> {
        let start = Instant::now();
        let mut loaded = Loaded::default();
        while start.elapsed() < time {
            let next = start + GAP * loaded.answered as u32;
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            let one = self.ask(1)?;
            loaded.answered += one.answered;
            loaded.served += one.served;
        }
        Ok(loaded)
    }
}
