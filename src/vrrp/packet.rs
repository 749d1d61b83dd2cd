//! Advertisements of VRRP version 3 (RFC 9568, section 5): from fields to bytes, and from bytes to fields or to the
//! reason why they are none. No I/O.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::Duration;

/// The version of the protocol.
const VERSION: u8 = 3;
/// The type of its only packet.
const ADVERTISEMENT: u8 = 1;
/// Bytes before the addresses.
const HEADER_BYTES: usize = 8;
/// The next header of the pseudo-header, also where UDP carries the packet.
const PROTOCOL: u8 = 112;
/// What IPv4's TTL and IPv6's hop limit must be on receipt: whatever came through a router has less.
pub const REQUIRED_HOP_LIMIT: u8 = 255;
/// Priority of a router that gives up its role.
pub const PRIORITY_RESIGN: u8 = 0;
/// Priority of the router that owns the addresses.
pub const PRIORITY_OWNER: u8 = 255;
/// Addresses of one virtual router.
pub const MAX_ADDRESSES: usize = 255;
/// The longest packet: 255 IPv6 addresses.
pub const MAX_PACKET_BYTES: usize = HEADER_BYTES + MAX_ADDRESSES * 16;
/// The unit of intervals, and the longest in these units.
pub const CENTISECOND: Duration = Duration::from_millis(10);
const MAX_CENTISECONDS: u16 = 0x0fff;
/// The longest interval that a packet can state: 40.95 s.
pub const MAX_INTERVAL: Duration = Duration::from_millis(10 * MAX_CENTISECONDS as u64);

/// IPv4 and IPv6 have virtual routers apart, also under one number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Family {
    /// IPv4.
    V4,
    /// IPv6.
    V6,
}

impl Family {
    /// The family of an address.
    pub fn of(address: IpAddr) -> Family {
        match address {
            IpAddr::V4(_) => Family::V4,
            IpAddr::V6(_) => Family::V6,
        }
    }

    fn address_bytes(self) -> usize {
        match self {
            Family::V4 => 4,
            Family::V6 => 16,
        }
    }
}

/// What the checksum covers. For IPv6 the pseudo-header always counts. For IPv4 the versions of the standard were
/// read both ways: RFC 5798 names the pseudo-header for both families, RFC 9568 says the message alone for IPv4, and
/// routers of both kinds are in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Coverage {
    /// The pseudo-header of source, destination, length and protocol, and the message.
    PseudoHeader,
    /// The message alone.
    Message,
}

/// Where a packet comes from and goes to, as the network sees it: what the pseudo-header states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Path {
    /// The sender's primary address.
    pub source: IpAddr,
    /// Where it was sent.
    pub destination: IpAddr,
}

/// An advertisement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Advertisement {
    /// Virtual router id, 1 to 255.
    pub vrid: u8,
    /// The sender's priority: 0 resigns, 255 owns the addresses.
    pub priority: u8,
    /// The sender's interval, in whole centiseconds, 10 ms to 40.95 s.
    pub interval: Duration,
    /// The addresses that the virtual router stands for, all of one family, 1 to 255 of them.
    pub addresses: Vec<IpAddr>,
}

/// Why bytes are no advertisement, in the order of the checks (RFC 9568, 7.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invalid {
    /// Another version.
    Version,
    /// Cut off, or longer than its count of addresses says.
    Length,
    /// The checksum is wrong.
    Checksum,
    /// Another type than an advertisement.
    Type,
    /// Virtual router 0.
    Vrid,
    /// No addresses.
    Addresses,
    /// An interval of 0, by which no timer can be set.
    Interval,
}

impl Advertisement {
    /// Its bytes for one path (RFC 9568, 5.2).
    pub fn write(&self, path: Path, coverage: Coverage) -> Vec<u8> {
        let addresses = &self.addresses[..self.addresses.len().min(MAX_ADDRESSES)];
        let centiseconds = (self.interval.as_millis() / CENTISECOND.as_millis())
            .clamp(1, u128::from(MAX_CENTISECONDS)) as u16;
        let mut packet = vec![VERSION << 4 | ADVERTISEMENT, self.vrid, self.priority, addresses.len() as u8];
        packet.extend(centiseconds.to_be_bytes());
        packet.extend([0, 0]);
        for address in addresses {
            match address {
                IpAddr::V4(address) => packet.extend(address.octets()),
                IpAddr::V6(address) => packet.extend(address.octets()),
            }
        }
        let sum = checksum(&packet, covered(path, coverage));
        packet[6..HEADER_BYTES].copy_from_slice(&sum.to_be_bytes());
        packet
    }

    /// Reads a packet of a family, with the path it came by. IPv4 packets are taken with either coverage of the
    /// checksum, and the one that held is told.
    pub fn read(packet: &[u8], path: Path) -> Result<(Advertisement, Coverage), Invalid> {
        let family = Family::of(path.source);
        let version = packet.first().ok_or(Invalid::Length)? >> 4;
        if version != VERSION {
            return Err(Invalid::Version);
        }
        let head: &[u8; HEADER_BYTES] = packet.first_chunk().ok_or(Invalid::Length)?;
        if packet.len() != HEADER_BYTES + usize::from(head[3]) * family.address_bytes() {
            return Err(Invalid::Length);
        }
        let holds = |coverage: &Coverage| checksum(packet, covered(path, *coverage)) == 0;
        let coverage = [Coverage::PseudoHeader, Coverage::Message].into_iter().find(holds);
        let coverage = coverage.ok_or(Invalid::Checksum)?;
        let centiseconds = u16::from_be_bytes([head[4], head[5]]) & MAX_CENTISECONDS;
        if head[0] & 0x0f != ADVERTISEMENT {
            return Err(Invalid::Type);
        } else if head[1] == 0 {
            return Err(Invalid::Vrid);
        } else if head[3] == 0 {
            return Err(Invalid::Addresses);
        } else if centiseconds == 0 {
            return Err(Invalid::Interval);
        }
        let address = |bytes: &[u8]| match family {
            Family::V4 => <[u8; 4]>::try_from(bytes).map(|bytes| IpAddr::from(Ipv4Addr::from(bytes))),
            Family::V6 => <[u8; 16]>::try_from(bytes).map(|bytes| IpAddr::from(Ipv6Addr::from(bytes))),
        };
        let addresses = packet[HEADER_BYTES..].chunks_exact(family.address_bytes()).map(address);
        let advertisement = Advertisement {
            vrid: head[1],
            priority: head[2],
            interval: CENTISECOND * u32::from(centiseconds),
            addresses: addresses.collect::<Result<_, _>>().map_err(|_| Invalid::Length)?,
        };
        Ok((advertisement, coverage))
    }
}

/// The path that the checksum covers, if any.
fn covered(path: Path, coverage: Coverage) -> Option<Path> {
    (coverage == Coverage::PseudoHeader || Family::of(path.source) == Family::V6).then_some(path)
}

/// The Internet checksum (RFC 1071); over a packet that holds its own it is zero.
fn checksum(message: &[u8], path: Option<Path>) -> u16 {
    let mut sum = words(message);
    if let Some(Path { source, destination }) = path {
        for address in [source, destination] {
            sum += match address {
                IpAddr::V4(address) => words(&address.octets()),
                IpAddr::V6(address) => words(&address.octets()),
            };
        }
        sum += message.len() as u64 + u64::from(PROTOCOL);
    }
    while sum > 0xffff {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    !(sum as u16)
}

fn words(bytes: &[u8]) -> u64 {
    let word = |pair: &[u8]| u64::from(pair[0]) << 8 | pair.get(1).map_or(0, |low| u64::from(*low));
    bytes.chunks(2).map(word).sum()
}

#[cfg(test)]
mod tests;
