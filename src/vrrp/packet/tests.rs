use super::*;
use proptest::prelude::*;

fn path() -> Path {
    Path { source: [192, 0, 2, 7].into(), destination: [192, 0, 2, 9].into() }
}

fn path6() -> Path {
    let address = |last| IpAddr::from([0xfe80, 0, 0, 0, 0, 0, 0, last]);
    Path { source: address(7), destination: address(9) }
}

fn advertisement() -> Advertisement {
    let interval = Duration::from_millis(1000);
    Advertisement { vrid: 7, priority: 128, interval, addresses: vec![[192, 0, 2, 1].into()] }
}

/// Computed by hand from RFC 9568, 5.1, and RFC 1071: 0x3107 + 0x8001 + 0x0064 + 0xc000 + 0x0201 = 0x1736d,
/// folded 0x736e; the pseudo-header adds 2 * 0xc000 + 0x0207 + 0x0209 + 112 + 12, in all 0xf7fb.
#[test]
fn the_encoding_matches_rfc_9568() {
    let head = [0x31, 7, 128, 1, 0, 100];
    let message = advertisement().write(path(), Coverage::Message);
    assert_eq!(message[..6], head);
    assert_eq!(message[6..], [0x8c, 0x91, 192, 0, 2, 1]);
    let pseudo = advertisement().write(path(), Coverage::PseudoHeader);
    assert_eq!(pseudo[..6], head);
    assert_eq!(pseudo[6..8], (!0xf7fb_u16).to_be_bytes());
}

/// Decodes a packet that was altered and given a valid checksum again.
fn altered(change: impl Fn(&mut Vec<u8>)) -> Result<(Advertisement, Coverage), Invalid> {
    let mut packet = advertisement().write(path(), Coverage::Message);
    change(&mut packet);
    packet[6..8].fill(0);
    let sum = checksum(&packet, None);
    packet[6..8].copy_from_slice(&sum.to_be_bytes());
    Advertisement::read(&packet, path())
}

#[test]
fn each_failed_check_has_its_own_error() {
    assert_eq!(altered(|_| ()), Ok((advertisement(), Coverage::Message)));
    assert_eq!(altered(|packet| packet[0] = 0x21), Err(Invalid::Version));
    assert_eq!(altered(|packet| packet[0] = 0x32), Err(Invalid::Type));
    assert_eq!(altered(|packet| packet[1] = 0), Err(Invalid::Vrid));
    assert_eq!(altered(|packet| packet[3] = 2), Err(Invalid::Length));
    assert_eq!(altered(|packet| packet.push(0)), Err(Invalid::Length));
    assert_eq!(altered(|packet| packet.truncate(11)), Err(Invalid::Length));
    assert_eq!(altered(|packet| packet[5] = 0), Err(Invalid::Interval));
    let none = |packet: &mut Vec<u8>| {
        packet[3] = 0;
        packet.truncate(HEADER_BYTES);
    };
    assert_eq!(altered(none), Err(Invalid::Addresses));
    let reserved = altered(|packet| packet[4] |= 0xf0).expect("reserved bits are ignored");
    assert_eq!(reserved.0, advertisement());
    assert_eq!(Advertisement::read(&[], path()), Err(Invalid::Length));
    assert_eq!(Advertisement::read(&[0x31, 7], path()), Err(Invalid::Length));
}

#[test]
fn an_ipv6_checksum_covers_the_pseudo_header_and_255_addresses_fit() {
    let addresses = (1..=255).map(|last| IpAddr::from([0xfe80, 0, 0, 0, 0, 0, 1, last])).collect();
    let sent = Advertisement { addresses, ..advertisement() };
    let packet = sent.write(path6(), Coverage::Message);
    assert_eq!(packet.len(), MAX_PACKET_BYTES);
    assert_eq!(Advertisement::read(&packet, path6()), Ok((sent.clone(), Coverage::PseudoHeader)));
    let elsewhere = Path { destination: [0xfe80, 0, 0, 0, 0, 0, 0, 8].into(), ..path6() };
    assert_eq!(Advertisement::read(&packet, elsewhere), Err(Invalid::Checksum));
}

fn any_advertisement() -> impl Strategy<Value = (Advertisement, Path, Coverage)> {
    let coverage = prop_oneof![Just(Coverage::PseudoHeader), Just(Coverage::Message)];
    let parts = (1..=255_u8, any::<u8>(), 1..=4095_u32, 1..=255_usize, any::<bool>(), any::<u32>(), coverage);
    parts.prop_map(|(vrid, priority, centiseconds, count, six, start, coverage)| {
        let address = |number: u32| match six {
            true => IpAddr::from(Ipv6Addr::from(u128::from(start.wrapping_add(number)) << 64)),
            false => IpAddr::from(Ipv4Addr::from(start.wrapping_add(number))),
        };
        let addresses = (0..count as u32).map(address).collect();
        let interval = CENTISECOND * centiseconds;
        let path = if six { path6() } else { path() };
        (Advertisement { vrid, priority, interval, addresses }, path, coverage)
    })
}

proptest! {
    #[test]
    fn an_encoded_advertisement_is_decoded_unchanged((sent, path, coverage) in any_advertisement()) {
        let packet = sent.write(path, coverage);
        let (read, _) = Advertisement::read(&packet, path).expect("valid");
        prop_assert_eq!(read, sent);
    }

    /// The checksum detects every single flipped bit. Since either coverage is accepted, about one altered packet in
    /// some thousand is valid by the other coverage; the flip is therefore checked against the coverage in use.
    #[test]
    fn the_checksum_detects_a_flipped_bit((sent, path, _) in any_advertisement(), at in any::<prop::sample::Index>()) {
        let mut packet = sent.write(path, Coverage::PseudoHeader);
        let bit = at.index(packet.len() * 8);
        packet[bit / 8] ^= 1 << (bit % 8);
        prop_assert_ne!(checksum(&packet, Some(path)), 0);
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected_without_panic(packet in prop::collection::vec(any::<u8>(), 0..64)) {
        for path in [path(), path6()] {
            if let Ok((read, coverage)) = Advertisement::read(&packet, path) {
                let again = read.write(path, coverage);
                prop_assert_eq!(Advertisement::read(&again, path).map(|(read, _)| read), Ok(read));
            }
        }
    }
}
