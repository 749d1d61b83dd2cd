use super::*;
use crate::discovery::{Endpoint as Line, ListMessage};
use proptest::prelude::*;

const GRACE: Duration = Duration::from_secs(2);

fn listed_endpoint(name: &str, status: Status, since_ms: f64) -> Line {
    let address = ([127, 0, 0, 1], 1).into();
    Line { name: name.into(), address, zone: String::new(), group: 3, status, since_ms }
}

fn update(received: Instant, snapshot: bool, endpoints: Vec<Line>) -> ListUpdate {
    ListUpdate { message: ListMessage { index: 1, snapshot, endpoints }, contiguous: true, received }
}

/// A list with every kind of entry.
pub fn populated() -> Nodes {
    let (now, mut nodes) = (Instant::now(), Nodes::new(vec!["z".into()]));
    let lines = ["s-1", "s-2", "s-3"].map(|name| listed_endpoint(name, Status::Active, 1.0)).to_vec();
    nodes.apply(update(now, true, lines), ListKind::Full);
    nodes.apply(update(now, false, vec![listed_endpoint("s-1", Status::Leaving, 1.0)]), ListKind::Delta);
    for name in ["s-2", "s-3"] {
        nodes.disable(now, seconds(100), name).unwrap();
    }
    nodes.enable(seconds(110), "s-3").unwrap();
    nodes
}

fn states(event: &Event) -> Vec<(NodeState, Option<Duration>)> {
    let Event::List { entries, .. } = event else { panic!("not a list") };
    entries.iter().map(|entry| (entry.state, entry.started)).collect()
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn an_enabled_node_counts_as_just_started_until_discovery_reports_a_later_start() {
    let (now, mut nodes) = (Instant::now(), Nodes::new(vec![]));
    nodes.apply(update(now, true, vec![listed_endpoint("s-1", Status::Active, 0.0)]), ListKind::Full);
    assert!(nodes.disable(now, seconds(100), "s-2").is_err(), "never listed");
    let event = nodes.disable(now, seconds(100), "s-1").unwrap().unwrap();
    assert_eq!(states(&event), [(NodeState::Draining, None)]);
    // It restarts according to discovery and is listed again: it stays disabled.
    let left = update(now, false, vec![listed_endpoint("s-1", Status::Left, 0.0)]);
    nodes.apply(left, ListKind::Delta);
    let (event, _) =
        nodes.apply(update(now, false, vec![listed_endpoint("s-1", Status::Active, 0.0)]), ListKind::Delta);
    assert_eq!(states(&event), [(NodeState::Draining, None)]);
    // Discovery has not reported the restart.
    let event = nodes.enable(seconds(110), "s-1").unwrap().unwrap();
    assert_eq!(states(&event), [(NodeState::Ready, Some(seconds(110)))]);
    let late = update(now, true, vec![listed_endpoint("s-1", Status::Active, 105_000.0)]);
    assert_eq!(states(&nodes.apply(late, ListKind::Full).0)[0].1, Some(seconds(110)));
    let again = update(now, true, vec![listed_endpoint("s-1", Status::Active, 130_000.0)]);
    assert_eq!(states(&nodes.apply(again, ListKind::Full).0)[0].1, Some(seconds(130)));
    // Discovery has reported the restart before the node is enabled.
    nodes.disable(now, seconds(140), "s-1").unwrap();
    let late = update(now, true, vec![listed_endpoint("s-1", Status::Active, 145_000.0)]);
    nodes.apply(late, ListKind::Full);
    let event = nodes.enable(seconds(150), "s-1").unwrap().unwrap();
    assert_eq!(states(&event), [(NodeState::Ready, Some(seconds(145)))]);
}

#[test]
fn disabled_and_draining_nodes_keep_their_clocks_in_the_next_process() {
    let (now, mut old) = (Instant::now(), Nodes::new(vec!["z".into()]));
    let lines =
        || vec![listed_endpoint("s-1", Status::Active, 0.0), listed_endpoint("s-2", Status::Active, 0.0)];
    old.apply(update(now, true, lines()), ListKind::Full);
    old.apply(update(now, false, vec![listed_endpoint("s-2", Status::Leaving, 0.0)]), ListKind::Delta);
    old.disable(now, seconds(100), "s-1").unwrap();
    let later = now + Duration::from_millis(1500);
    let mut new = Nodes::new(vec!["z".into()]);
    let event = new.restore(later, old.save(later)).unwrap();
    assert!(states(&event).iter().all(|(state, _)| *state == NodeState::Draining));
    for (at, open) in [(1900, true), (2100, false)] {
        let at = now + Duration::from_millis(at);
        for name in ["s-1", "s-2"] {
            assert_eq!(old.ids[name], new.ids[name]);
            assert_eq!(new.endpoint(at, new.ids[name], GRACE).is_some(), open, "{name}");
        }
    }
    assert!(new.enable(seconds(110), "s-1").unwrap().is_some());
    assert!(Nodes::new(vec!["y".into()]).restore(later, old.save(later)).is_none());
}

#[derive(Clone, Debug)]
enum Step {
    Disable(usize),
    Enable(usize),
    Update(bool, Vec<(usize, u8)>),
    Advance,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let update = (any::<bool>(), prop::collection::vec((0..3usize, 0..3u8), 0..3));
    let step = prop_oneof![
        (0..3usize).prop_map(Step::Disable),
        (0..3usize).prop_map(Step::Enable),
        update.prop_map(|(snapshot, lines)| Step::Update(snapshot, lines)),
        Just(Step::Advance),
    ];
    prop::collection::vec(step, 0..60)
}

proptest! {
    #[test]
    fn whatever_discovery_reports_a_disabled_node_is_never_ready_nor_reachable_after_its_grace(steps in steps()) {
        let (mut now, mut nodes) = (Instant::now(), Nodes::new(vec![]));
        let names = ["a", "b", "c"];
        let all = names.iter().map(|name| listed_endpoint(name, Status::Active, 0.0)).collect();
        nodes.apply(update(now, true, all), ListKind::Full);
        let mut disabled: BTreeMap<usize, Instant> = BTreeMap::new();
        let mut seen: BTreeMap<NodeId, NodeState> = BTreeMap::new();
        for step in steps {
            let event = match step {
                Step::Disable(at) => {
                    disabled.entry(at).or_insert(now);
                    nodes.disable(now, seconds(1), names[at]).unwrap()
                }
                Step::Enable(at) => {
                    disabled.remove(&at);
                    nodes.enable(seconds(2), names[at]).unwrap()
                }
                Step::Update(snapshot, lines) => {
                    let status = |code| [Status::Active, Status::Leaving, Status::Left][usize::from(code)];
                    let lines = lines.iter().map(|(at, code)| listed_endpoint(names[*at], status(*code), 0.0)).collect();
                    let kind = if snapshot { ListKind::Full } else { ListKind::Delta };
                    if snapshot {
                        seen.clear();
                    }
                    Some(nodes.apply(update(now, snapshot, lines), kind).0)
                }
                Step::Advance => {
                    now += Duration::from_millis(700);
                    None
                }
            };
            if let Some(Event::List { entries, .. }) = event {
                seen.extend(entries.iter().map(|entry| (entry.node, entry.state)));
            }
            for (at, since) in &disabled {
                let Some(id) = nodes.ids.get(names[*at]) else { continue };
                prop_assert_ne!(seen.get(id), Some(&NodeState::Ready));
                prop_assert!(nodes.endpoint(now, *id, GRACE).is_none() || now < *since + GRACE);
            }
        }
    }
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn listed(now: Instant, listed_names: &[&str]) -> Nodes {
    let mut nodes = Nodes::new(vec![]);
    let lines = listed_names.iter().map(|name| listed_endpoint(name, Status::Active, 1.0)).collect();
    nodes.apply(update(now, true, lines), ListKind::Full);
    nodes
}

#[test]
fn a_node_is_out_of_service_while_the_admin_endpoint_or_the_configuration_says_so() {
    let now = Instant::now();
    let mut nodes = listed(now, &["s-1"]);
    nodes.disable(now, seconds(100), "s-1").unwrap();
    let event = nodes.set_configured_out(now, seconds(101), &names(&["s-1"])).unwrap();
    assert_eq!(states(&event)[0].0, NodeState::Draining);
    assert_eq!(nodes.enable(seconds(110), "s-1"), Ok(None), "the configuration still takes it out");
    assert_eq!(nodes.ready(), 0);
    let event = nodes.set_configured_out(now, seconds(120), &names(&[])).unwrap();
    assert_eq!(states(&event), [(NodeState::Ready, Some(seconds(120)))]);
    // In the other order.
    nodes.set_configured_out(now, seconds(130), &names(&["s-1"]));
    nodes.disable(now, seconds(131), "s-1").unwrap();
    assert_eq!(
        nodes.set_configured_out(now, seconds(140), &names(&[])),
        None,
        "it is still disabled at the admin endpoint"
    );
    assert_eq!(nodes.ready(), 0);
    let event = nodes.enable(seconds(150), "s-1").unwrap().unwrap();
    assert_eq!(states(&event), [(NodeState::Ready, Some(seconds(150)))]);
    assert_eq!(nodes.ready(), 1);
}

#[test]
fn a_configured_removal_takes_effect_once_the_name_is_listed() {
    let now = Instant::now();
    let mut nodes = listed(now, &["s-1"]);
    assert_eq!(nodes.set_configured_out(now, seconds(100), &names(&["s-2"])), None);
    let line_of = |name| listed_endpoint(name, Status::Active, 1.0);
    let (event, _) = nodes.apply(update(now, true, vec![line_of("s-1"), line_of("s-2")]), ListKind::Full);
    assert_eq!(
        states(&event).iter().map(|it| it.0).collect::<Vec<_>>(),
        [NodeState::Ready, NodeState::Draining]
    );
    // The same names again change nothing and do not restart the grace.
    let later = now + GRACE / 2;
    assert_eq!(nodes.set_configured_out(later, seconds(101), &names(&["s-2"])), None);
    let closes: Vec<Instant> =
        nodes.drain_deadlines(&event, GRACE).into_iter().map(|(_, closes)| closes).collect();
    assert_eq!(closes, [now + GRACE]);
    let open = |nodes: &Nodes, now| nodes.endpoint(now, nodes.ids["s-2"], GRACE).is_some();
    assert!(open(&nodes, now + GRACE / 2) && !open(&nodes, now + GRACE));
    // An update from discovery does not end it.
    let (event, _) = nodes.apply(update(now, false, vec![line_of("s-2")]), ListKind::Delta);
    assert_eq!(states(&event)[0].0, NodeState::Draining);
}

#[test]
fn a_node_reinstated_while_unlisted_counts_as_just_started() {
    let now = Instant::now();
    let mut nodes = listed(now, &["s-1"]);
    nodes.set_configured_out(now, seconds(100), &names(&["s-1"]));
    nodes.apply(update(now, false, vec![listed_endpoint("s-1", Status::Left, 1.0)]), ListKind::Delta);
    assert_eq!(nodes.set_configured_out(now, seconds(110), &names(&[])), None);
    let (event, _) =
        nodes.apply(update(now, false, vec![listed_endpoint("s-1", Status::Active, 1.0)]), ListKind::Delta);
    assert_eq!(states(&event), [(NodeState::Ready, Some(seconds(110)))]);
}

#[test]
fn storage_of_the_second_front_stays_out_of_service_across_lists() {
    let now = Instant::now();
    let mut nodes = Nodes::new(vec![]);
    nodes.add_iscsi(&Storage { name: "iqn.a".into(), address: ([127, 0, 0, 1], 2).into(), shard: 5 });
    assert!(nodes.set_configured_out(now, seconds(100), &names(&["iscsi iqn.a"])).is_some());
    let (event, _) = nodes.apply(update(now, true, vec![]), ListKind::Full);
    assert_eq!(states(&event)[0].0, NodeState::Draining);
}
