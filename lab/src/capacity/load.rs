//! Read requests through a real initiator at a steady rate, one in flight at a time.

use super::initiator::{read_command, Client, Initiator};
use std::time::{Duration, Instant};

/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(2);

/// Outcome of a period of load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Requests answered.
    pub answered: u64,
    /// Requests answered with a value.
    pub served: u64,
}

/// A client that requests volumes and shards round robin.
pub struct Load {
    client: Client,
    volumes: u64,
    shards: u64,
    number: u64,
}

impl Load {
    /// Connects to the initiator.
    pub fn start(initiator: &Initiator, volumes: u64, shards: u64) -> Result<Load, String> {
        Ok(Load { client: Client::connect(initiator.listen)?, volumes, shards, number: 0 })
    }

    /// Sends `count` requests, each as soon as the previous one is answered.
    pub fn send(&mut self, count: u64) -> Result<Outcome, String> {
        let mut outcome = Outcome::default();
        for _ in 0..count {
            self.number += 1;
            let command = read_command(self.number, self.number % self.volumes, self.number % self.shards);
            let answer = self.client.request(&command)?;
            outcome.answered += 1;
            // Refusals and errors begin with `-`; the stand-in nodes' value does not.
            outcome.served += u64::from(!answer.starts_with('-'));
        }
        Ok(outcome)
    }

    /// Sends requests at a steady rate for `time`.
    pub fn send_for(&mut self, time: Duration) -> Result<Outcome, String> {
        let start = Instant::now();
        let mut outcome = Outcome::default();
        while start.elapsed() < time {
            let next = start + INTERVAL * outcome.answered as u32;
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            let single = self.send(1)?;
            outcome.answered += single.answered;
            outcome.served += single.served;
        }
        Ok(outcome)
    }
}
