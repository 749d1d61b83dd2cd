mod recorded;

use super::*;
use crate::Scheduler;
use std::io::Write;

fn pair() -> (Link, std::os::unix::net::UnixStream) {
    let (one, other) = std::os::unix::net::UnixStream::pair().unwrap();
    one.set_nonblocking(true).unwrap();
    (Link::new(UnixStream::from_std(one)).unwrap(), other)
}

#[test]
fn frames_arrive_with_their_descriptors_for_any_split() {
    let (mut from, to) = pair();
    to.set_nonblocking(true).unwrap();
    let mut to = Link::new(UnixStream::from_std(to)).unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    from.send(&Frame::RequestListeners, vec![]).unwrap();
    let input = vec![7; 3 * 64 * 1024];
    from.send(
        &Frame::Client(BufferedInput { bytes: input.clone(), ..BufferedInput::default() }),
        vec![listener.try_clone().unwrap().into()],
    )
    .unwrap();
    from.send(&Frame::Listeners(vec![ListenerAddress::Resp(address)]), vec![listener.into()]).unwrap();
    let mut received = Vec::new();
    while received.len() < 3 {
        from.flush().unwrap();
        assert_ne!(to.read().unwrap(), LinkRead::Ended);
        while let Some(frame) = to.next().unwrap() {
            received.push(frame);
        }
    }
    assert!(matches!(&received[0], (Frame::RequestListeners, none) if none.is_empty()));
    assert!(matches!(&received[1], (Frame::Client(it), one) if it.bytes == input && one.len() == 1));
    let (_, descriptors) = received.remove(2);
    let listener = std::net::TcpListener::from(descriptors.into_iter().next().unwrap());
    assert_eq!(listener.local_addr().unwrap(), address);
}

/// Clients that the old process handed over just before its end were never answered (review/2): a read ends behind a
/// descriptor, the rest was left in the socket, and its readiness had been notified already.
#[test]
fn all_clients_that_a_predecessor_handed_over_before_its_end_are_taken() {
    const CLIENTS: usize = 2;
    let now = Instant::now();
    let (mut from, to) = pair();
    to.set_nonblocking(true).unwrap();
    let link = Link::new(UnixStream::from_std(to)).unwrap();
    let mut upgrade = Upgrade::new(None, Token(0), now);
    upgrade.peers.insert(16, Peer { link, role: Role::Predecessor, since: now, closing: false });
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for _ in 0..CLIENTS {
        let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let input = BufferedInput { bytes: vec![7; 80 * 1024], ..BufferedInput::default() };
        from.send(&Frame::Client(input), vec![client.into()]).unwrap();
    }
    from.flush().unwrap();
    assert!(from.is_flushed());
    drop(from);
    let events = upgrade.ready(16);
    let taken = events.iter().filter(|event| matches!(event, UpgradeEvent::Client(..))).count();
    assert_eq!(taken, CLIENTS);
    assert!(matches!(events.last(), Some(UpgradeEvent::PredecessorGone)));
}

/// The arrival times of a client's input stand behind its frame, where the version before passes over them.
#[test]
fn arrival_times_of_a_clients_input_are_read_by_this_version_and_skipped_by_the_one_before() {
    let ms = Duration::from_millis;
    let arrivals =
        crate::front::SavedArrivals { pieces: vec![(3, ms(5)), (2, ms(7))], unread_since: Some(ms(9)) };
    let input = BufferedInput { bytes: b"*1\r\n$".to_vec(), arrivals };
    let bytes = Frame::Client(input.clone()).encode().unwrap();
    assert!(matches!(Frame::decode(&bytes), Ok(Frame::Client(decoded)) if decoded == input));
    assert!(
        matches!(postcard::from_bytes(&bytes), Ok(Frame::Client(decoded)) if decoded.bytes == input.bytes)
    );
    assert!(Frame::decode(&bytes[..bytes.len() - 1]).is_err(), "cut off");
}

#[test]
fn invalid_greetings_schemas_and_frames_are_errors() {
    let greeting = |schema: u16| [&frame::MAGIC[..], &schema.to_le_bytes()].concat();
    let after = |bytes: &[u8]| [&greeting(frame::SCHEMA)[..], bytes].concat();
    for bad in [
        b"GET / HTTP/1.1\r\n".to_vec(),
        greeting(frame::SCHEMA + 1),
        after(&u32::MAX.to_le_bytes()),
        after(&[3, 0, 0, 0, 0xff, 0xff, 0xff]),
        // A client frame without its descriptor.
        after(&[2, 0, 0, 0, 5, 0]),
    ] {
        let (mut link, mut other) = pair();
        other.write_all(&bad).unwrap();
        link.read().unwrap();
        assert!(link.next().is_err(), "{bad:?}");
    }
}

proptest::proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) {
        let (mut link, mut other) = pair();
        other.write_all(&[&frame::MAGIC[..], &frame::SCHEMA.to_le_bytes(), &bytes].concat()).unwrap();
        link.read().unwrap();
        for _ in 0..bytes.len() {
            if !matches!(link.next(), Ok(Some(_))) {
                break;
            }
        }
    }
}

/// Collects the paths and types of everything in a value.
fn collect_names(value: &serde_json::Value, path: &str, names: &mut std::collections::BTreeSet<String>) {
    use serde_json::Value::{Array, Object};
    let kind = match value {
        Object(all) => {
            all.iter().for_each(|(name, one)| {
                let numeric = name.parse::<u64>().is_ok();
                collect_names(one, &format!("{path}.{}", if numeric { "N" } else { name }), names);
            });
            "object"
        }
        Array(all) => {
            all.iter().for_each(|one| collect_names(one, &format!("{path}[]"), names));
            "array"
        }
        serde_json::Value::Null => "null",
        serde_json::Value::Bool(_) => "bool",
        serde_json::Value::Number(_) => "number",
        serde_json::Value::String(_) => "string",
    };
    names.insert(format!("{path}:{kind}"));
}

/// The encoding may change only together with the schema, or two versions would misread each other. After such a
/// change raise SCHEMA and set the new pair here.
#[test]
fn a_change_of_the_encoding_needs_a_new_schema() {
    use crate::interface::*;
    let class = Class {
        latency_target: RESPONSE_TIMEOUT,
        deadline: RESPONSE_TIMEOUT,
        worth: 1.0,
        late_worth: 0.0,
        effect: crate::interface::Effect::Safe,
        dedup_window: RESPONSE_TIMEOUT,
        in_order: true,
    };
    let limit = Some(Limit { rate: 9.0, burst: 9.0, overdraft: 1.0 });
    let plan = Plan { reserve: 1.0, limit, weight: 1.0, worth_factor: 1.0 };
    let units = Units { mean: 2.0, largest: 4.0, base_rates: vec![1.0], ..Units::default() };
    let limits = Limits { max_attempts: 2, ..Limits::default() };
    let (classes, plans) = (vec![class], vec![plan]);
    let settings = Settings {
        initiators: 1,
        tick: RESPONSE_TIMEOUT,
        classes,
        plans,
        units,
        limits,
        ..Settings::default()
    };
    let mut scheduler = Scheduler::new(settings, 1);
    let now = Duration::from_secs(9);
    let entries = vec![NodeEntry { started: Some(now), ..NodeEntry::default() }];
    let new = NewRequest { id: RequestId(1), key: 3, deadline: 2 * now, units: 1.0, ..NewRequest::default() };
    let events = [Event::List { kind: ListKind::Full, entries }, Event::Request(new)];
    scheduler.handle(now, &events, &mut Vec::new());
    let scheduler = Some(scheduler.hand_over(now));
    let nodes = crate::nodes::tests::populated().save(Instant::now());
    let file = include_str!("../../deploy/fleet.toml").replace("enabled = false", "enabled = true");
    let fleet = crate::fleet::settings::Settings::parse(&file).unwrap().unwrap();
    let fleet = crate::fleet::member::Member::new(fleet.parameters(now, 1), now).identity();
    let (list, usage, fleet) = (Some(1), (1, 1), Some(fleet));
    let state = HandoverState { drained: true, nodes, list, scheduler, usage, fleet };
    let mut names = std::collections::BTreeSet::new();
    collect_names(&serde_json::to_value(Frame::State(Box::new(state))).unwrap(), "", &mut names);
    let text = names.into_iter().collect::<Vec<_>>().join("\n");
    // FNV-1a.
    let digest = text
        .bytes()
        .fold(0xcbf29ce484222325u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100000001b3));
    assert_eq!((frame::SCHEMA, digest), (2, 5052447819864175174), "{text}");
}
