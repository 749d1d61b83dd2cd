use super::*;
use proptest::prelude::*;

const MS: fn(u64) -> Duration = Duration::from_millis;
const TENTH: Share = Share(100_000);

#[test]
fn nothing_is_granted_before_it_is_certainly_reclaimed() {
    let mut ledger = Ledger::default();
    assert!(!ledger.grant(MS(0), 1, 1, TENTH, (MS(0), MS(400))));
    assert!(ledger.is_empty());
    assert!(ledger.reclaim(MS(0), 0, 1, TENTH, MS(800)));
    assert!(!ledger.grant(MS(10), 1, 1, TENTH, (MS(10), MS(400))), "it may not have the plan");
    ledger.confirm(MS(0), 0, 1, false);
    assert_eq!(ledger.max_grant(MS(20), 1, (MS(20), MS(400))), TENTH);
    assert!(ledger.grant(MS(20), 1, 1, TENTH, (MS(20), MS(400))));
    assert_eq!(ledger.max_grant(MS(20), 2, (MS(20), MS(400))), Share::NONE);
    assert!(!ledger.grant(MS(20), 2, 1, Share(1), (MS(20), MS(400))), "it was granted already");
}

#[test]
fn a_grant_ends_before_what_it_comes_from() {
    let mut ledger = Ledger::default();
    ledger.reclaim(MS(0), 0, 1, TENTH, MS(800));
    ledger.confirm(MS(0), 0, 1, false);
    // Certain until 784, which counts to the slot's begin at 780; a grant of 400 from 370 may last until 782.
    assert!(!ledger.grant(MS(390), 1, 1, TENTH, (MS(370), MS(400))));
    assert!(ledger.grant(MS(390), 1, 1, TENTH, (MS(367), MS(400))));
    assert!(ledger.is_covered(MS(390)));
}

#[test]
fn a_reclaim_is_not_taken_back_while_a_grant_may_be_in_force() {
    let mut ledger = Ledger::default();
    ledger.reclaim(MS(0), 0, 1, TENTH, MS(800));
    ledger.confirm(MS(0), 0, 1, false);
    ledger.grant(MS(20), 1, 1, TENTH, (MS(20), MS(400)));
    assert!(!ledger.reclaim(MS(100), 0, 2, Share::NONE, MS(800)), "the grant lasts until 432");
    assert!(ledger.reclaim(MS(440), 0, 2, Share::NONE, MS(800)));
}

#[test]
fn of_moves_on_their_way_the_worst_counts() {
    let mut ledger = Ledger::default();
    ledger.reclaim(MS(0), 0, 1, TENTH, MS(800));
    ledger.confirm(MS(0), 0, 1, false);
    ledger.reclaim(MS(100), 0, 2, Share(40_000), MS(800));
    assert_eq!(ledger.bounds(MS(100), 0), (Share(40_000), Share::NONE));
    ledger.reclaim(MS(200), 0, 3, TENTH, MS(800));
    assert_eq!(ledger.bounds(MS(200), 0).0, Share(40_000), "the second may be all that it has");
    ledger.confirm(MS(200), 0, 3, false);
    assert_eq!(ledger.bounds(MS(200), 0).0, TENTH);
    ledger.confirm(MS(200), 0, 2, false);
    assert_eq!(ledger.bounds(MS(200), 0).0, TENTH, "an old report changes nothing");
}

#[test]
fn what_was_refused_is_not_reclaimed_and_what_ended_is_forgotten() {
    let mut ledger = Ledger::default();
    ledger.reclaim(MS(0), 0, 1, TENTH, MS(800));
    ledger.confirm(MS(0), 0, 1, true);
    assert_eq!(ledger.bounds(MS(0), 0).0, Share::NONE);
    ledger.drop_expired(MS(700));
    assert!(!ledger.is_empty());
    ledger.drop_expired(MS(800));
    assert!(ledger.is_empty());
}

#[test]
fn a_holder_that_takes_nothing_is_told_no_more() {
    let mut ledger = Ledger::default();
    let told = (1..100).filter(|version| ledger.reclaim(MS(0), 0, *version, TENTH, MS(800))).count();
    assert_eq!(told, MOST_OPEN);
}

/// A holder as it is: which moves it has, and until when by a clock that runs by a hundredth off while the planner's
/// is as much off the other way.
#[derive(Clone, Copy, Default)]
struct Truth {
    version: u64,
    reclaimed: (u32, Duration),
    granted: (u32, Duration),
}

proptest! {
    /// Whatever is lost, late or out of order, what holders really use besides their own never exceeds what others
    /// really leave alone.
    #[test]
    fn grants_in_force_are_covered_by_reclaims_in_force(
        steps in prop::collection::vec((0..4_usize, 0..4_u8, 0..100_000_u32, 0..120_u64, 0..500_u64), 1..200),
        fast in prop::collection::vec(any::<bool>(), 4)
    ) {
        let mut ledger = Ledger::default();
        let mut truth = [Truth::default(); 4];
        let mut on_way: Vec<(usize, u64, Move, Duration, Duration)> = Vec::new();
        let (mut now, mut version) = (MS(0), 0);
        for (holder, what, part, wait, lasts) in steps {
            now += MS(wait);
            let (lasts, asked) = (MS(lasts), now.saturating_sub(MS(wait / 2)));
            version += 1;
            match what {
                0 if ledger.reclaim(now, holder, version, Share(part), lasts) => {
                    on_way.push((holder, version, Move::Reclaim(Share(part), lasts), now, asked));
                }
                1 if ledger.grant(now, holder, version, Share(part), (asked, lasts)) => {
                    on_way.push((holder, version, Move::Grant(Share(part), lasts), now, asked));
                }
                2 if !on_way.is_empty() => {
                    // One of those on their way arrives, whichever; it is told at once where it is newer.
                    let (to, version, moved, _, asked) = on_way.remove(part as usize % on_way.len());
                    let it = &mut truth[to];
                    if version > it.version {
                        let drifted = |lasts: Duration| if fast[to] { lasts - lasts * 198 / 10_000 } else { lasts + lasts * 202 / 10_000 };
                        *it = match moved {
                            Move::Reclaim(part, lasts) => Truth { version, reclaimed: (part.0, now + drifted(lasts)), granted: (0, MS(0)) },
                            Move::Grant(part, lasts) => Truth { version, reclaimed: (0, MS(0)), granted: (part.0, asked + drifted(lasts)) },
                        };
                        if part % 3 > 0 {
                            ledger.confirm(now, to, version, false);
                        }
                    }
                }
                _ => ledger.drop_expired(now),
            }
            prop_assert!(ledger.is_covered(now));
            let in_force = |(part, until): (u32, Duration)| if now < until { i64::from(part) } else { 0 };
            let reclaimed: i64 = truth.iter().map(|it| in_force(it.reclaimed)).sum();
            let granted: i64 = truth.iter().map(|it| in_force(it.granted)).sum();
            prop_assert!(granted <= reclaimed, "{granted} granted, {reclaimed} reclaimed");
        }
    }
}
