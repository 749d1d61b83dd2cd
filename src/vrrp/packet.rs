//! Encoding and decoding of VRRP version 3 advertisements (RFC 9568, section 5). No I/O.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::Duration;

/// Version of the protocol.
const VERSION: u8 = 3;
/// Type of the ADVERTISEMENT packet, the only one.
const ADVERTISEMENT: u8 = 1;
/// Length of the fields before the addresses.
const HEADER_BYTES: usize = 8;
/// Protocol number in the pseudo-header, also when UDP carries the packet.
const PROTOCOL: u8 = 112;
/// Required TTL (IPv4) or hop limit (IPv6) of a received packet: one that was forwarded by a router has less.
pub const REQUIRED_HOP_LIMIT: u8 = 255;
/// Priority that an Active router advertises when it stops taking part.
pub const PRIORITY_RESIGN: u8 = 0;
/// Priority of the address owner.
pub const PRIORITY_OWNER: u8 = 255;
/// Maximum number of addresses of one virtual router.
pub const MAX_ADDRESSES: usize = 255;
/// Maximum length of a packet: one with 255 IPv6 addresses.
pub const MAX_PACKET_BYTES: usize = HEADER_BYTES + MAX_ADDRESSES * 16;
/// The unit of intervals in packets, and the maximum interval in this unit.
pub const CENTISECOND: Duration = Duration::from_millis(10);
const MAX_CENTISECONDS: u16 = 0x0fff;
/// The maximum interval in a packet: 40.95 s.
pub const MAX_INTERVAL: Duration = Duration::from_millis(10 * MAX_CENTISECONDS as u64);

/// The address family. Virtual routers of different families are separate, even with the same VRID.
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

/// What the checksum covers. For IPv6 it always includes the pseudo-header. For IPv4 the standards differ: RFC 5798
/// names the pseudo-header for both families, RFC 9568 the message alone, and routers of both kinds are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Coverage {
    /// The message and a pseudo-header of source, destination, length and protocol.
    PseudoHeader,
    /// The message alone.
    Message,
}

/// Source and destination address of a packet, as in the pseudo-header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Path {
    /// The sender's primary address.
    pub source: IpAddr,
    /// The address that it was sent to.
    pub destination: IpAddr,
}

/// The fields of an advertisement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Advertisement {
    /// Virtual router identifier (VRID), 1 to 255.
    pub vrid: u8,
    /// The sender's priority; 0: it resigns, 255: it is the address owner.
    pub priority: u8,
    /// The sender's Advertisement_Interval: whole centiseconds, 10 ms to 40.95 s.
    pub interval: Duration,
    /// The addresses of the virtual router: 1 to 255 of one family.
    pub addresses: Vec<IpAddr>,
}

/// Why a packet is not a valid advertisement, in the order of the checks (RFC 9568, 7.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invalid {
    /// Unsupported version.
    Version,
    /// The length does not match the number of addresses.
    Length,
    /// The checksum is wrong.
    Checksum,
    /// The type is not ADVERTISEMENT.
    Type,
    /// The VRID is 0.
    Vrid,
    /// No addresses.
    Addresses,
    /// The interval is 0.
    Interval,
}

impl Advertisement {
    /// Encodes the advertisement for one source and destination (RFC 9568, 5.2).
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
        let sum = checksum(&packet, pseudo_header(path, coverage));
        packet[6..HEADER_BYTES].copy_from_slice(&sum.to_be_bytes());
        packet
    }

    /// Decodes and checks a packet with this source and destination. IPv4 packets are accepted with either coverage of
    /// the checksum; the matching one is returned.
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
        let holds = |coverage: &Coverage| checksum(packet, pseudo_header(path, *coverage)) == 0;
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

/// The pseudo-header addresses, if the checksum covers them.
fn pseudo_header(path: Path, coverage: Coverage) -> Option<Path> {
    (coverage == Coverage::PseudoHeader || Family::of(path.source) == Family::V6).then_some(path)
}

/// The Internet checksum (RFC 1071); zero over a packet that contains its valid checksum.
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
