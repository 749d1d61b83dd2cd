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
fn frames_come_whole_with_their_descriptors_however_they_are_cut() {
    let (mut from, to) = pair();
    to.set_nonblocking(true).unwrap();
    let mut to = Link::new(UnixStream::from_std(to)).unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    from.send(&Frame::Ask, vec![]).unwrap();
    let input = vec![7; 3 * 64 * 1024];
    from.send(&Frame::Client(input.clone()), vec![listener.try_clone().unwrap().into()]).unwrap();
    from.send(&Frame::Listeners(vec![Place::Resp(address)]), vec![listener.into()]).unwrap();
    let mut came = Vec::new();
    while came.len() < 3 {
        from.flush().unwrap();
        assert!(to.read().unwrap());
        while let Some(frame) = to.next().unwrap() {
            came.push(frame);
        }
    }
    assert!(matches!(&came[0], (Frame::Ask, none) if none.is_empty()));
    assert!(matches!(&came[1], (Frame::Client(bytes), one) if *bytes == input && one.len() == 1));
    let (_, descriptors) = came.remove(2);
    let listener = std::net::TcpListener::from(descriptors.into_iter().next().unwrap());
    assert_eq!(listener.local_addr().unwrap(), address);
}

#[test]
fn garbage_other_schemas_and_frames_that_are_too_long_are_errors() {
    let greeting = |schema: u16| [&frame::MAGIC[..], &schema.to_le_bytes()].concat();
    let after = |bytes: &[u8]| [&greeting(frame::SCHEMA)[..], bytes].concat();
    for bad in [
        b"GET / HTTP/1.1\r\n".to_vec(),
        greeting(frame::SCHEMA + 1),
        after(&u32::MAX.to_le_bytes()),
        after(&[3, 0, 0, 0, 0xff, 0xff, 0xff]),
        // A client without its connection.
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
    fn any_bytes_are_read_or_declined(bytes: Vec<u8>) {
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

/// Names of all that there is in a value, from the outside in.
fn shape(value: &serde_json::Value, path: &str, names: &mut std::collections::BTreeSet<String>) {
    use serde_json::Value::{Array, Object};
    let kind = match value {
        Object(all) => {
            all.iter().for_each(|(name, one)| {
                let number = name.parse::<u64>().is_ok();
                shape(one, &format!("{path}.{}", if number { "N" } else { name }), names);
            });
            "object"
        }
        Array(all) => {
            all.iter().for_each(|one| shape(one, &format!("{path}[]"), names));
            "array"
        }
        serde_json::Value::Null => "null",
        serde_json::Value::Bool(_) => "bool",
        serde_json::Value::Number(_) => "number",
        serde_json::Value::String(_) => "string",
    };
    names.insert(format!("{path}:{kind}"));
}

/// What is said changes its shape only together with the schema: else two versions would misread each other. After
/// a change raise SCHEMA, and put the new pair here.
#[test]
fn the_shape_of_what_is_said_belongs_to_this_schema() {
    use crate::interface::*;
    let class = Class {
        latency_target: PATIENCE,
        deadline: PATIENCE,
        worth: 1.0,
        late_worth: 0.0,
        effect: crate::interface::Effect::Safe,
        dedup_window: PATIENCE,
        in_order: true,
    };
    let limit = Some(Limit { rate: 9.0, burst: 9.0, overdraft: 1.0 });
    let plan = Plan { reserve: 1.0, limit, weight: 1.0, worth_factor: 1.0 };
    let units = Units { mean: 2.0, largest: 4.0, base_rates: vec![1.0], ..Units::default() };
    let limits = Limits { max_attempts: 2, ..Limits::default() };
    let (classes, plans) = (vec![class], vec![plan]);
    let settings =
        Settings { initiators: 1, tick: PATIENCE, classes, plans, units, limits, ..Settings::default() };
    let mut scheduler = Scheduler::new(settings, 1);
    let now = Duration::from_secs(9);
    let entries = vec![NodeEntry { started: Some(now), ..NodeEntry::default() }];
    let new = NewRequest { id: RequestId(1), key: 3, deadline: 2 * now, units: 1.0, ..NewRequest::default() };
    let events = [Event::List { kind: ListKind::Full, entries }, Event::Request(new)];
    scheduler.handle(now, &events, &mut Vec::new());
    let scheduler = Some(scheduler.hand_over(now));
    let nodes = crate::nodes::tests::some().carry(Instant::now());
    let file = include_str!("../../deploy/fleet.toml").replace("enabled = false", "enabled = true");
    let fleet = crate::fleet::settings::Settings::parse(&file).unwrap().unwrap();
    let fleet = crate::fleet::member::Member::new(fleet.parameters(now, 1), now).identity();
    let (list, holds, fleet) = (Some(1), (1, 1), Some(fleet));
    let state = Carried { drained: true, nodes, list, scheduler, holds, fleet };
    let mut names = std::collections::BTreeSet::new();
    shape(&serde_json::to_value(Frame::State(Box::new(state))).unwrap(), "", &mut names);
    let text = names.into_iter().collect::<Vec<_>>().join("\n");
    // FNV-1a.
    let digest = text
        .bytes()
        .fold(0xcbf29ce484222325u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100000001b3));
    assert_eq!((frame::SCHEMA, digest), (2, 5052447819864175174), "{text}");
}
