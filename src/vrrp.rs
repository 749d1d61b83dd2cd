//! The election of the active planner: VRRP version 3 (RFC 9568) as a function of state, event and time. Its
//! socket is in `src/election.rs`.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// The version of the protocol.
const VERSION: u8 = 3;
/// The type of its only packet.
const ADVERTISEMENT: u8 = 1;
/// The priority of a router that gives up its role.
const SHUTDOWN_PRIORITY: u8 = 0;
/// Bytes of an advertisement with one IPv4 address.
pub const PACKET: usize = 12;

/// How one planner takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Virtual router id, 1 to 255: planners of one group share it.
    pub vrid: u8,
    /// 1 to 254; the highest becomes active.
    pub priority: u8,
    /// How often the active planner advertises, in whole centiseconds.
    pub interval: Duration,
    /// Whether a planner of higher priority takes over from an active one.
    pub preempt: bool,
    /// The address in its advertisements; the highest breaks a tie.
    pub address: Ipv4Addr,
}

/// States of RFC 9568, section 6.4.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not started.
    Initialize,
    /// Another is active; unless it is heard of by then, this one takes over.
    Backup {
        /// The Active_Down_Timer.
        active_down: Instant,
        /// The active planner's interval.
        active_interval: Duration,
    },
    /// This one is active, and advertises then.
    Active {
        /// The Adver_Timer.
        advertise: Instant,
    },
}

/// What happens to a planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It starts.
    Startup,
    /// It ends.
    Shutdown,
    /// A timer may be due.
    Timer,
    /// An advertisement came, from this address.
    Advertisement(Advertisement, Ipv4Addr),
}

/// An advertisement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// Virtual router id.
    pub vrid: u8,
    /// The sender's priority.
    pub priority: u8,
    /// The sender's interval.
    pub interval: Duration,
    /// The address that it stands for.
    pub address: Ipv4Addr,
}

impl Settings {
    /// Skew_Time: the lower the priority, the longer; less than an interval (RFC 9568, 6.1).
    fn skew(&self, active_interval: Duration) -> Duration {
        active_interval * (256 - u32::from(self.priority)) / 256
    }

    /// Active_Down_Interval: three of the active planner's intervals and the skew.
    fn active_down(&self, active_interval: Duration) -> Duration {
        3 * active_interval + self.skew(active_interval)
    }

    fn advertisement(&self, priority: u8) -> Advertisement {
        Advertisement { vrid: self.vrid, priority, interval: self.interval, address: self.address }
    }

    fn backup(&self, now: Instant, wait: Duration, active_interval: Duration) -> State {
        State::Backup { active_down: now + wait, active_interval }
    }
}

/// The next state, and what is to be advertised.
pub fn step(settings: &Settings, state: State, event: Event, now: Instant) -> (State, Option<Advertisement>) {
    let owner = settings.priority == u8::MAX;
    let become_active = || {
        let state = State::Active { advertise: now + settings.interval };
        (state, Some(settings.advertisement(settings.priority)))
    };
    match (state, event) {
        (State::Initialize, Event::Startup) if owner => become_active(),
        (State::Initialize, Event::Startup) => {
            let wait = settings.active_down(settings.interval);
            (settings.backup(now, wait, settings.interval), None)
        }
        (State::Backup { .. }, Event::Shutdown) => (State::Initialize, None),
        (State::Active { .. }, Event::Shutdown) => {
            (State::Initialize, Some(settings.advertisement(SHUTDOWN_PRIORITY)))
        }
        (State::Backup { active_down, .. }, Event::Timer) if now >= active_down => become_active(),
        (State::Active { advertise }, Event::Timer) if now >= advertise => become_active(),
        (_, Event::Advertisement(heard, _)) if heard.vrid != settings.vrid => (state, None),
        (State::Backup { active_interval, .. }, Event::Advertisement(heard, _))
            if heard.priority == SHUTDOWN_PRIORITY =>
        {
            (settings.backup(now, settings.skew(active_interval), active_interval), None)
        }
        (State::Backup { .. }, Event::Advertisement(heard, _))
            if !settings.preempt || heard.priority >= settings.priority =>
        {
            (settings.backup(now, settings.active_down(heard.interval), heard.interval), None)
        }
        (State::Active { .. }, Event::Advertisement(heard, _)) if heard.priority == SHUTDOWN_PRIORITY => {
            become_active()
        }
        (State::Active { .. }, Event::Advertisement(heard, sender)) => {
            if (heard.priority, sender) > (settings.priority, settings.address) {
                (settings.backup(now, settings.active_down(heard.interval), heard.interval), None)
            } else {
                // Sent at once, so that the other learns of this one.
                become_active()
            }
        }
        _ => (state, None),
    }
}

impl State {
    /// When [`Event::Timer`] is due.
    pub fn timer(&self) -> Option<Instant> {
        match *self {
            State::Initialize => None,
            State::Backup { active_down, .. } => Some(active_down),
            State::Active { advertise } => Some(advertise),
        }
    }

    /// Whether this planner is the active one.
    pub fn is_active(&self) -> bool {
        matches!(self, State::Active { .. })
    }
}

impl Advertisement {
    /// Its bytes (RFC 9568, 5.1). Over UDP the checksum covers the packet alone, without a pseudo-header.
    pub fn write(&self) -> [u8; PACKET] {
        let centiseconds = (self.interval.as_millis() / 10).min(0x0fff) as u16;
        let mut packet = [0; PACKET];
        packet[..4].copy_from_slice(&[VERSION << 4 | ADVERTISEMENT, self.vrid, self.priority, 1]);
        packet[4..6].copy_from_slice(&centiseconds.to_be_bytes());
        packet[8..].copy_from_slice(&self.address.octets());
        let sum = checksum(&packet);
        packet[6..8].copy_from_slice(&sum.to_be_bytes());
        packet
    }

    /// Reads a packet; what is not a sound advertisement is nothing.
    pub fn read(packet: &[u8]) -> Option<Advertisement> {
        let packet: &[u8; PACKET] = packet.try_into().ok()?;
        let sound = packet[0] == VERSION << 4 | ADVERTISEMENT && packet[3] == 1 && checksum(packet) == 0;
        let centiseconds = u16::from_be_bytes([packet[4] & 0x0f, packet[5]]);
        (sound && packet[1] > 0 && centiseconds > 0).then(|| Advertisement {
            vrid: packet[1],
            priority: packet[2],
            interval: Duration::from_millis(10 * u64::from(centiseconds)),
            address: Ipv4Addr::new(packet[8], packet[9], packet[10], packet[11]),
        })
    }
}

/// The Internet checksum (RFC 1071); over a packet that holds its own it is zero.
fn checksum(bytes: &[u8]) -> u16 {
    let words = bytes.chunks_exact(2).map(|word| u32::from(u16::from_be_bytes([word[0], word[1]])));
    let sum: u32 = words.sum();
    let folded = (sum & 0xffff) + (sum >> 16);
    !((folded & 0xffff) + (folded >> 16)) as u16
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: fn(u64) -> Duration = Duration::from_millis;

    fn settings(priority: u8) -> Settings {
        Settings {
            vrid: 7,
            priority,
            interval: MS(100),
            preempt: true,
            address: Ipv4Addr::new(127, 0, 0, priority),
        }
    }

    fn heard(priority: u8) -> Event {
        let from = settings(priority);
        Event::Advertisement(from.advertisement(priority), Ipv4Addr::new(127, 0, 0, priority))
    }

    #[test]
    fn a_backup_takes_over_after_three_intervals_and_its_skew() {
        let (own, now) = (settings(128), Instant::now());
        let (backup, sent) = step(&own, State::Initialize, Event::Startup, now);
        assert_eq!((backup.timer(), sent), (Some(now + MS(350)), None));
        assert_eq!(step(&own, backup, Event::Timer, now + MS(349)).0, backup);
        let (active, sent) = step(&own, backup, Event::Timer, now + MS(350));
        assert!(active.is_active());
        assert_eq!(sent.map(|sent| sent.priority), Some(128));
        let (active, sent) = step(&own, active, Event::Timer, now + MS(450));
        assert_eq!((active.timer(), sent.is_some()), (Some(now + MS(550)), true));
    }

    #[test]
    fn a_backup_waits_while_it_hears_of_one_that_is_not_below_it() {
        let (own, now) = (settings(100), Instant::now());
        let (backup, _) = step(&own, State::Initialize, Event::Startup, now);
        let later = now + MS(300);
        let renewed = step(&own, backup, heard(100), later).0;
        assert!(renewed.timer() > backup.timer());
        assert_eq!(step(&own, backup, heard(99), later).0, backup, "it is about to preempt");
        let patient = Settings { preempt: false, ..own };
        assert!(step(&patient, backup, heard(99), later).0.timer() > backup.timer());
        let other = Settings { vrid: 8, ..settings(200) };
        let foreign = Event::Advertisement(other.advertisement(200), other.address);
        assert_eq!(step(&own, backup, foreign, later).0, backup);
    }

    #[test]
    fn priority_zero_hands_over_after_the_skew_alone() {
        let now = Instant::now();
        let active = step(&settings(200), State::Initialize, Event::Startup, now).0;
        let active = step(&settings(200), active, Event::Timer, now + MS(5000)).0;
        let (ended, sent) = step(&settings(200), active, Event::Shutdown, now);
        assert_eq!((ended, sent.map(|sent| sent.priority)), (State::Initialize, Some(0)));
        let own = settings(128);
        let backup = step(&own, State::Initialize, Event::Startup, now).0;
        assert_eq!(step(&own, backup, heard(0), now).0.timer(), Some(now + MS(50)));
    }

    #[test]
    fn of_two_active_ones_the_higher_stays() {
        let now = Instant::now();
        let active = State::Active { advertise: now + MS(100) };
        assert!(!step(&settings(100), active, heard(101), now).0.is_active());
        let (state, sent) = step(&settings(100), active, heard(99), now);
        assert!(state.is_active() && sent.is_some());
        let twin = settings(100).advertisement(100);
        let twin = |last| Event::Advertisement(twin, Ipv4Addr::new(127, 0, 0, last));
        assert!(!step(&settings(100), active, twin(101), now).0.is_active(), "the higher address wins a tie");
        assert!(step(&settings(100), active, twin(99), now).0.is_active());
    }

    #[test]
    fn advertisements_are_read_as_written_and_nothing_else_is() {
        let sent = settings(128).advertisement(128);
        let packet = sent.write();
        assert_eq!(packet[..6], [0x31, 7, 128, 1, 0, 10]);
        assert_eq!(Advertisement::read(&packet), Some(sent));
        for byte in 0..PACKET {
            let mut bad = packet;
            bad[byte] ^= 0x10;
            assert_eq!(Advertisement::read(&bad), None, "byte {byte}");
        }
        assert_eq!(Advertisement::read(&packet[1..]), None);
    }
}
