use super::*;
use crate::sync::processor;

/// Seeds of the short form: few enough for a minute, and each with another fleet.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

const EXTENDED_SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

#[test]
fn a_seed_replays_the_same_plan() {
    for seed in 1..50 {
        assert_eq!(Plan::draw(seed, false), Plan::draw(seed, false));
        assert_eq!(Plan::draw_extended(seed, false), Plan::draw_extended(seed, false));
    }
    assert_ne!(Plan::draw(1, false).faults, Plan::draw(2, false).faults);
}

#[test]
fn seeded_faults_break_no_rule() {
    let _alone = processor::alone();
    for seed in SEEDS {
        let options = Options { seed, seeds: 1, extended: false, short: true, plan: false, json: false };
        let breaches = processor::steady(|| play(seed, &options).unwrap());
        assert!(breaches.is_empty(), "seed {seed}: {breaches:#?}");
    }
}

#[test]
fn crowds_in_waves_and_signals_in_series_break_no_rule() {
    let _alone = processor::alone();
    for seed in EXTENDED_SEEDS {
        let options = Options { seed, seeds: 1, extended: true, short: true, plan: false, json: false };
        let breaches = processor::steady(|| play(seed, &options).unwrap());
        assert!(breaches.is_empty(), "seed {seed}: {breaches:#?}");
    }
}

/// Found by the soak: a crowd fills the descriptors, and a request waits for a second where it is not accepted yet.
///
/// The listener's queue held 128 connections, and the crowd came in one moment. Beyond the 128 the kernel drops handshakes in
/// silence, and a client whose handshake was dropped tries again after 1.0 s: its time runs, and its request was served as if
/// it had just come (a node was told 0.99 to 1.01 s too much). Issue 42 saw the 128 and the drops of the listening socket by
/// `ss -ltnm`; with 4,096 places the same seeds broke nothing.
#[test]
fn time_before_a_connection_is_accepted_counts() {
    let _alone = processor::alone();
    let options = Options { seed: 129, seeds: 1, extended: false, short: false, plan: false, json: false };
    let breaches = play(options.seed, &options).unwrap();
    assert!(breaches.is_empty(), "{breaches:#?}");
}

/// Four waves of 1,500 idle connections against 256 descriptors, at rest and held up again and again, while half of the
/// requests come on new connections.
///
/// Requests that waited in the accept queue for a second and more were served as if they had just come: nodes were told up
/// to 365 ms more than the clients had left, and some answers came after their time. While all places were taken the queue
/// was left alone for 20 ms at a time, and a client that had said nothing kept its place for 50 ms (an accept queue of 700
/// to 1,000 fell by some 800 a second with the processor at rest, as the report of this fault has it); and a client's time
/// counted from its accept.
#[test]
fn a_crowd_makes_no_request_older_than_it_is_told_to_be() {
    let _alone = processor::alone();
    for held_up in [false, true] {
        let scene = crowds::Scene { crowd: 1_500, descriptors: 256, held_up };
        let outcome = processor::steady(|| crowds::play(&scene, 1).unwrap());
        assert!(outcome.holds(), "{scene:?}: {outcome:#?}");
    }
}
