//! False takeovers under loss: the pure machines of two routers in virtual time, beside the closed form.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::IpAddr;
use std::time::Duration;
use topazpath::vrrp::machine::{Event, Parameters, Role, StateMachine, Step};

/// How long a packet takes.
const WAY: Duration = Duration::from_millis(1);
/// Priorities of the two: the first is alive all the time.
pub const PRIORITIES: [u8; 2] = [200, 100];

/// What a simulation came to.
#[derive(Clone, Copy, Debug)]
pub struct Lossy {
    /// False takeovers an hour.
    pub takeovers: f64,
    /// Part of the time with two Active.
    pub doubled: f64,
}

struct Sim {
    own: [Parameters; 2],
    machines: [StateMachine; 2],
    /// Packets on their way: when they arrive, at whom, with what priority.
    packets: Vec<(Duration, usize, u8)>,
    loss: f64,
    random: ChaCha8Rng,
    takeovers: u64,
}

impl Sim {
    fn step(&mut self, now: Duration, at: usize, event: Event) {
        let Step { advertise, transition } = self.machines[at].step(&self.own[at], now, event);
        if let Some(priority) = advertise {
            if self.random.random::<f64>() >= self.loss {
                self.packets.push((now + WAY, 1 - at, priority));
            }
        }
        let taken = transition.is_some_and(|it| it.to == Role::Active);
        self.takeovers += u64::from(taken && at == 1);
    }

    fn next(&self) -> Duration {
        let timers = self.machines.iter().filter_map(StateMachine::timer);
        timers.chain(self.packets.iter().map(|packet| packet.0)).min().unwrap_or(Duration::MAX)
    }
}

/// Simulates so many hours with each packet lost with this probability.
pub fn simulate(interval: Duration, loss: f64, hours: f64, seed: u64) -> Lossy {
    let own = [1, 2].map(|last| Parameters {
        interval,
        preempt: true,
        preempt_delay: Duration::ZERO,
        address: IpAddr::from([192, 0, 2, last]),
    });
    let machines = [0, 1].map(|at| StateMachine::new(&own[at], PRIORITIES[at]));
    let random = ChaCha8Rng::seed_from_u64(seed);
    let mut sim = Sim { own, machines, packets: Vec::new(), loss, random, takeovers: 0 };
    // The first is Active before the second starts, so that what is counted is false.
    sim.step(Duration::ZERO, 0, Event::Startup);
    let mut now = sim.next();
    sim.step(now, 0, Event::Timer);
    sim.step(now, 1, Event::Startup);
    let (start, end) = (now, now + Duration::from_secs_f64(hours * 3600.0));
    let mut doubled = Duration::ZERO;
    while now < end {
        let next = sim.next().min(end);
        if sim.machines.iter().all(|machine| machine.role() == Role::Active) {
            doubled += next - now;
        }
        now = next;
        // What arrives is handed in before timers that are due as well.
        while let Some(at) = sim.packets.iter().position(|packet| packet.0 <= now) {
            let (_, to, priority) = sim.packets.swap_remove(at);
            let sender = sim.own[1 - to].address;
            sim.step(now, to, Event::Advertisement { priority, interval, sender });
        }
        for at in [0, 1] {
            if sim.machines[at].timer().is_some_and(|due| due <= now) {
                sim.step(now, at, Event::Timer);
            }
        }
    }
    let spent = (end - start).as_secs_f64();
    Lossy { takeovers: sim.takeovers as f64 / (spent / 3600.0), doubled: doubled.as_secs_f64() / spent }
}

/// The closed form. A takeover is three advertisements lost in a row after one that was heard: a backup waits for
/// three intervals and less than a fourth. Two stay Active until one hears the other: at once where neither the first
/// advertisement of the new one nor the answer to it is lost; else with the next of the old one, which is due an
/// interval less the skew later where it heard nothing, and an interval later where its answer was lost.
pub fn closed(interval: Duration, loss: f64) -> Lossy {
    let (p, q, interval) = (loss, 1.0 - loss, interval.as_secs_f64());
    let skew = interval * f64::from(256 - u16::from(PRIORITIES[1])) / 256.0;
    let takeovers = 3600.0 / interval * q * p.powi(3);
    // In each interval after that: the old one's own advertisement, or its answer to the new one's.
    let round = interval / (1.0 - p * (1.0 - q * q));
    let lasts = q * p * round + p * (interval - skew + p * (skew + p.max(1.0 - q * q) * round));
    Lossy { takeovers, doubled: takeovers / 3600.0 * lasts }
}

#[cfg(test)]
mod tests;
