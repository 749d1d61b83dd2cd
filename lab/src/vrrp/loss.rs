//! False takeovers under packet loss: the state machines of two routers in virtual time, compared with a closed form.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::IpAddr;
use std::time::Duration;
use topazpath::vrrp::machine::{Event, Parameters, Role, StateMachine, Step};

/// Latency of a packet.
const LATENCY: Duration = Duration::from_millis(1);
/// Priorities of the two routers. The first runs all the time, so that every takeover is false.
pub const PRIORITIES: [u8; 2] = [200, 100];

/// The rates of a simulation or of the closed form.
#[derive(Clone, Copy, Debug)]
pub struct LossRates {
    /// False takeovers per hour.
    pub takeovers: f64,
    /// Share of the time with two Active routers.
    pub two_active: f64,
}

struct Simulation {
    own: [Parameters; 2],
    machines: [StateMachine; 2],
    /// Packets in transit: arrival time, receiver, priority.
    packets: Vec<(Duration, usize, u8)>,
    loss: f64,
    random: ChaCha8Rng,
    takeovers: u64,
}

impl Simulation {
    fn step(&mut self, now: Duration, at: usize, event: Event) {
        let Step { advertise, transition } = self.machines[at].step(&self.own[at], now, event);
        if let Some(priority) = advertise {
            if self.random.random::<f64>() >= self.loss {
                self.packets.push((now + LATENCY, 1 - at, priority));
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

/// Simulates a number of hours, in which each packet is lost with probability `loss`.
pub fn simulate(interval: Duration, loss: f64, hours: f64, seed: u64) -> LossRates {
    let own = [1, 2].map(|last| Parameters {
        interval,
        preempt: true,
        preempt_delay: Duration::ZERO,
        address: IpAddr::from([192, 0, 2, last]),
    });
    let machines = [0, 1].map(|at| StateMachine::new(&own[at], PRIORITIES[at]));
    let random = ChaCha8Rng::seed_from_u64(seed);
    let mut simulation = Simulation { own, machines, packets: Vec::new(), loss, random, takeovers: 0 };
    // The first is Active before the second starts, so that only false takeovers are counted.
    simulation.step(Duration::ZERO, 0, Event::Startup);
    let mut now = simulation.next();
    simulation.step(now, 0, Event::Timer);
    simulation.step(now, 1, Event::Startup);
    let (start, end) = (now, now + Duration::from_secs_f64(hours * 3600.0));
    let mut two_active = Duration::ZERO;
    while now < end {
        let next = simulation.next().min(end);
        if simulation.machines.iter().all(|machine| machine.role() == Role::Active) {
            two_active += next - now;
        }
        now = next;
        // Arrivals are processed before timers that are due at the same time.
        while let Some(at) = simulation.packets.iter().position(|packet| packet.0 <= now) {
            let (_, to, priority) = simulation.packets.swap_remove(at);
            let sender = simulation.own[1 - to].address;
            simulation.step(now, to, Event::Advertisement { priority, interval, sender });
        }
        for at in [0, 1] {
            if simulation.machines[at].timer().is_some_and(|due| due <= now) {
                simulation.step(now, at, Event::Timer);
            }
        }
    }
    let spent = (end - start).as_secs_f64();
    LossRates {
        takeovers: simulation.takeovers as f64 / (spent / 3600.0),
        two_active: two_active.as_secs_f64() / spent,
    }
}

/// Returns the closed form. A takeover is three advertisements lost in a row after one that was received, as a Backup
/// waits for three intervals and less than a fourth. Both routers stay Active until one receives the other's
/// advertisement: at once if neither the first advertisement of the new one nor the answer to it is lost; otherwise
/// with the next advertisement of the old one, which is due an interval less the skew later if it received nothing,
/// and an interval later if its answer was lost.
pub fn closed_form(interval: Duration, loss: f64) -> LossRates {
    let (p, q, interval) = (loss, 1.0 - loss, interval.as_secs_f64());
    let skew = interval * f64::from(256 - u16::from(PRIORITIES[1])) / 256.0;
    let takeovers = 3600.0 / interval * q * p.powi(3);
    // Every later interval has the old router's own advertisement, or its answer to the new one's.
    let round = interval / (1.0 - p * (1.0 - q * q));
    let overlap = q * p * round + p * (interval - skew + p * (skew + p.max(1.0 - q * q) * round));
    LossRates { takeovers, two_active: takeovers / 3600.0 * overlap }
}

#[cfg(test)]
mod tests;
