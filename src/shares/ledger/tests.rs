use super::*;
use proptest::prelude::*;

const MS: fn(u64) -> Duration = Duration::from_millis;
const TENTH: Share = Share(100_000);

#[test]
fn a_grant_is_refused_before_its_reclaim_is_confirmed() {
    let mut ledger = Ledger::default();
    assert!(!ledger.grant(MS(0), 1, 1, TENTH, (MS(0), MS(400))));
    assert!(ledger.is_empty());
    assert!(ledger.reclaim(MS(0), 0, 1, TENTH, MS(800)));
    assert!(!ledger.grant(MS(10), 1, 1, TENTH, (MS(10), MS(400))), "the reclaim is not confirmed");
    ledger.confirm(MS(0), 0, 1, false);
    assert_eq!(ledger.max_grant(MS(20), 1, (MS(20), MS(400))), TENTH);
    assert!(ledger.grant(MS(20), 1, 1, TENTH, (MS(20), MS(400))));
    assert_eq!(ledger.max_grant(MS(20), 2, (MS(20), MS(400))), Share::NONE);
    assert!(!ledger.grant(MS(20), 2, 1, Share(1), (MS(20), MS(400))), "everything is granted already");
}

#[test]
fn a_grant_that_may_outlast_its_reclaim_is_refused() {
    let mut ledger = Ledger::default();
    ledger.reclaim(MS(0), 0, 1, TENTH, MS(800));
    ledger.confirm(MS(0), 0, 1, false);
    // The reclaim is certain until 784, which counts up to the start of the slot at 780; a grant of 400 from 370 may
    // last until 782.
    assert!(!ledger.grant(MS(390), 1, 1, TENTH, (MS(370), MS(400))));
    assert!(ledger.grant(MS(390), 1, 1, TENTH, (MS(367), MS(400))));
    assert!(ledger.is_covered(MS(390)));
}

#[test]
fn a_reclaim_is_not_reduced_while_a_grant_may_be_in_force() {
    let mut ledger = Ledger::default();
    ledger.reclaim(MS(0), 0, 1, TENTH, MS(800));
    ledger.confirm(MS(0), 0, 1, false);
    ledger.grant(MS(20), 1, 1, TENTH, (MS(20), MS(400)));
    assert!(!ledger.reclaim(MS(100), 0, 2, Share::NONE, MS(800)), "the grant lasts until 432");
    assert!(ledger.reclaim(MS(440), 0, 2, Share::NONE, MS(800)));
}

#[test]
fn the_smallest_pending_reclaim_counts_until_a_newer_one_is_confirmed() {
    let mut ledger = Ledger::default();
    ledger.reclaim(MS(0), 0, 1, TENTH, MS(800));
    ledger.confirm(MS(0), 0, 1, false);
    ledger.reclaim(MS(100), 0, 2, Share(40_000), MS(800));
    assert_eq!(ledger.bounds(MS(100), 0), (Share(40_000), Share::NONE));
    ledger.reclaim(MS(200), 0, 3, TENTH, MS(800));
    assert_eq!(ledger.bounds(MS(200), 0).0, Share(40_000), "the second reclaim may be the one in force");
    ledger.confirm(MS(200), 0, 3, false);
    assert_eq!(ledger.bounds(MS(200), 0).0, TENTH);
    ledger.confirm(MS(200), 0, 2, false);
    assert_eq!(ledger.bounds(MS(200), 0).0, TENTH, "an old report changes nothing");
}

#[test]
fn a_refused_reclaim_counts_as_none_and_ended_moves_are_dropped() {
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
fn a_holder_that_confirms_nothing_gets_a_limited_number_of_moves() {
    let mut ledger = Ledger::default();
    let sent = (1..100).filter(|version| ledger.reclaim(MS(0), 0, *version, TENTH, MS(800))).count();
    assert_eq!(sent, MAX_PENDING_MOVES);
}

/// The moves that are really in force at a holder. Their ends are computed for a holder's clock that runs 1 % off
/// while the planner's runs 1 % off in the other direction.
#[derive(Clone, Copy, Default)]
struct HolderState {
    version: u64,
    reclaimed: (u32, Duration),
    granted: (u32, Duration),
}

proptest! {
    /// Whichever moves are lost, late or out of order, the grants really in force never exceed the reclaims really in
    /// force.
    #[test]
    fn grants_in_force_are_covered_by_reclaims_in_force(
        steps in prop::collection::vec((0..4_usize, 0..4_u8, 0..100_000_u32, 0..120_u64, 0..500_u64), 1..200),
        fast in prop::collection::vec(any::<bool>(), 4)
    ) {
        let mut ledger = Ledger::default();
        let mut holder_states = [HolderState::default(); 4];
        let mut pending: Vec<(usize, u64, Move, Duration, Duration)> = Vec::new();
        let (mut now, mut version) = (MS(0), 0);
        for (holder, action, share, wait, duration) in steps {
            now += MS(wait);
            let (duration, reported_at) = (MS(duration), now.saturating_sub(MS(wait / 2)));
            version += 1;
            match action {
                0 if ledger.reclaim(now, holder, version, Share(share), duration) => {
                    pending.push((holder, version, Move::Reclaim(Share(share), duration), now, reported_at));
                }
                1 if ledger.grant(now, holder, version, Share(share), (reported_at, duration)) => {
                    pending.push((holder, version, Move::Grant(Share(share), duration), now, reported_at));
                }
                2 if !pending.is_empty() => {
                    // A random pending move arrives, and is confirmed at once in most cases where it is newer.
                    let (to, version, moved, _, reported_at) = pending.remove(share as usize % pending.len());
                    let holder_state = &mut holder_states[to];
                    if version > holder_state.version {
                        let with_drift = |duration: Duration| if fast[to] { duration - duration * 198 / 10_000 } else { duration + duration * 202 / 10_000 };
                        *holder_state = match moved {
                            Move::Reclaim(share, duration) => HolderState { version, reclaimed: (share.0, now + with_drift(duration)), granted: (0, MS(0)) },
                            Move::Grant(share, duration) => HolderState { version, reclaimed: (0, MS(0)), granted: (share.0, reported_at + with_drift(duration)) },
                        };
                        if share % 3 > 0 {
                            ledger.confirm(now, to, version, false);
                        }
                    }
                }
                _ => ledger.drop_expired(now),
            }
            prop_assert!(ledger.is_covered(now));
            let in_force = |(share, until): (u32, Duration)| if now < until { i64::from(share) } else { 0 };
            let reclaimed: i64 = holder_states.iter().map(|holder_state| in_force(holder_state.reclaimed)).sum();
            let granted: i64 = holder_states.iter().map(|holder_state| in_force(holder_state.granted)).sum();
            prop_assert!(granted <= reclaimed, "{granted} granted, {reclaimed} reclaimed");
        }
    }
}
