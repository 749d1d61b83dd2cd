use super::*;
use proptest::prelude::*;

proptest! {
    /// Compares with a list that is scanned.
    #[test]
    fn the_heap_behaves_like_a_scanned_list(
        steps in prop::collection::vec((0..40_usize, prop::option::of(0..1000_u64), 0..1000_u64), 0..300)
    ) {
        let (mut timers, mut scan) = (Timers::new(40), [None::<Duration>; 40]);
        for (router, at, now) in steps {
            let (at, now) = (at.map(Duration::from_millis), Duration::from_millis(now));
            timers.set(router, at);
            scan[router] = at;
            prop_assert_eq!(timers.next(), scan.iter().flatten().min().copied());
            if now.as_millis() % 3 == 0 {
                let due = scan.iter().enumerate().filter_map(|(it, at)| at.map(|at| (at, it)));
                let first = due.filter(|(at, _)| *at <= now).min();
                let popped = timers.pop_due(now);
                prop_assert_eq!(popped, first.map(|(_, router)| router));
                popped.iter().for_each(|router| scan[*router] = None);
            }
        }
    }
}
