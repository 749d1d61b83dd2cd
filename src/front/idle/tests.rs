use super::*;
use proptest::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

const ALL: [Idle; KINDS] = [Idle::Silent, Idle::Crowded, Idle::Probed, Idle::Served, Idle::Partial];

proptest! {
    /// Drawn moves, held against a walk over all connections.
    #[test]
    fn the_order_is_that_of_a_walk(moves in prop::collection::vec((0usize..40, 0usize..=KINDS, 0u64..50), 1..400)) {
        let start = Instant::now();
        let mut order = IdleOrder::default();
        let mut places: HashMap<usize, Place> = HashMap::new();
        for (id, kind, since) in moves {
            let to = ALL.get(kind).map(|idle| (*idle, start + Duration::from_millis(since)));
            order.move_to(id, places.get(&id).copied(), to);
            match to {
                Some(place) => drop(places.insert(id, place)),
                None => drop(places.remove(&id)),
            }
            for idle in ALL {
                let waiting = places.iter().filter(|(_, place)| place.0 == idle);
                let walked = waiting.clone().map(|(id, place)| (place.1, *id)).min();
                prop_assert_eq!(order.longest(idle), walked);
                prop_assert_eq!(order.len(idle), waiting.count());
            }
        }
    }
}
