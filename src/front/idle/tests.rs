use super::*;
use proptest::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

const ALL: [IdleKind; KINDS] =
    [IdleKind::Silent, IdleKind::Overflow, IdleKind::Probed, IdleKind::Served, IdleKind::Partial];

proptest! {
    /// Random moves, compared with a scan of all connections.
    #[test]
    fn the_order_matches_a_scan(moves in prop::collection::vec((0usize..40, 0usize..=KINDS, 0u64..50), 1..400)) {
        let start = Instant::now();
        let mut order = IdleOrder::default();
        let mut positions: HashMap<usize, IdlePosition> = HashMap::new();
        for (id, kind, since) in moves {
            let to = ALL.get(kind).map(|idle| (*idle, start + Duration::from_millis(since)));
            order.move_to(id, positions.get(&id).copied(), to);
            match to {
                Some(position) => drop(positions.insert(id, position)),
                None => drop(positions.remove(&id)),
            }
            for idle in ALL {
                let waiting = positions.iter().filter(|(_, position)| position.0 == idle);
                let scanned = waiting.clone().map(|(id, position)| (position.1, *id)).min();
                prop_assert_eq!(order.longest_waiting(idle), scanned);
                prop_assert_eq!(order.len(idle), waiting.count());
            }
        }
    }
}
