//! Random operations; after each of them the indexes are compared with a scan of all nodes.

use super::*;
use crate::interface::{NodeEntry, RequestId};
use crate::rules::node::InFlight;
use proptest::prelude::*;

const LATENCY_TARGET: Duration = Duration::from_millis(400);
const NODES: u32 = 12;
const SHARDS: u32 = 4;

#[derive(Clone, Debug)]
enum Operation {
    List { node: u32, shard: u32, state: NodeState, drain_ms: u64 },
    Send { node: u32, request: u64 },
    Answer { node: u32, request: u64, latency_ms: u64, errors: f64 },
    Wait { ms: u64 },
    RemoveGone,
    Rebuild,
}

fn operation() -> impl Strategy<Value = Operation> {
    let state = prop_oneof![Just(NodeState::Ready), Just(NodeState::Draining), Just(NodeState::Gone)];
    prop_oneof![
        4 => (0..NODES, 0..SHARDS, state, 1..500u64)
            .prop_map(|(node, shard, state, drain_ms)| Operation::List { node, shard, state, drain_ms }),
        3 => (0..NODES, 0..8u64).prop_map(|(node, request)| Operation::Send { node, request }),
        3 => (0..NODES, 0..8u64, 1..900u64, 0.0..1.0f64)
            .prop_map(|(node, request, latency_ms, errors)| Operation::Answer { node, request, latency_ms, errors }),
        2 => (0..300u64).prop_map(|ms| Operation::Wait { ms }),
        1 => Just(Operation::RemoveGone),
        1 => Just(Operation::Rebuild),
    ]
}

fn apply(table: &mut NodeTable, now: &mut Duration, operation: Operation) {
    match operation {
        Operation::List { node, shard, state, drain_ms } => {
            let entry = NodeEntry { node: NodeId(node), shard, state, ..NodeEntry::default() };
            let drain_end = *now + Duration::from_millis(drain_ms);
            let new = || Node { entry: entry.clone(), ..Node::default() };
            table.change_or_add(NodeId(node), new, |node| node.update(&entry, *now, drain_end, 0.0));
        }
        Operation::Send { node, request } => {
            let attempt = InFlight { sent: *now, class: 0, units: 1.0 };
            table.change(NodeId(node), |node| node.in_flight.insert(RequestId(request), attempt));
        }
        Operation::Answer { node, request, latency_ms, errors } => {
            table.change(NodeId(node), |node| {
                node.in_flight.remove(&RequestId(request));
                let latency = Duration::from_millis(latency_ms);
                (node.latency, node.error_share) = (Some((latency, latency / 4)), errors);
            });
        }
        Operation::Wait { ms } => {
            *now += Duration::from_millis(ms);
            table.advance(*now);
        }
        Operation::RemoveGone => table.remove_gone(),
        Operation::Rebuild => table.rebuild(LATENCY_TARGET, *now),
    }
}

proptest! {
    #[test]
    fn indexes_equal_a_scan_of_all_nodes(operations in prop::collection::vec(operation(), 1..120)) {
        let (mut table, mut now) = (NodeTable::new(LATENCY_TARGET), Duration::from_secs(100));
        table.advance(now);
        for operation in operations {
            apply(&mut table, &mut now, operation);
            table.check_all();
        }
    }
}

#[test]
fn a_node_that_moves_to_another_shard_is_found_only_there() {
    let mut table = NodeTable::new(LATENCY_TARGET);
    let mut now = Duration::from_secs(100);
    for shard in [1, 2] {
        let list = Operation::List { node: 7, shard, state: NodeState::Ready, drain_ms: 1 };
        apply(&mut table, &mut now, list);
    }
    assert_eq!((table.usable_of(1).count(), table.usable_of(2).count()), (0, 1));
    table.check_all();
}
