//! The rule on cold nodes, judged over what a whole fleet sends: how warm a node is, what it bears, and the fullest window.

use super::*;

/// The node's warmth: capacity grows evenly from the cold share to all of it.
pub fn warmth(settings: &Settings, age: Duration) -> f64 {
    let rules = &settings.rules;
    (rules.slow_start_min_share
        + (1.0 - rules.slow_start_min_share) * age.div_duration_f64(rules.slow_start_time))
    .min(1.0)
}

/// Units a second of a warm node that bears just so many when it is coldest.
pub fn capacity(settings: &Settings) -> f64 {
    let rules = &settings.rules;
    settings.units.slow_start_units
        / (rules.overload_factor * rules.slow_start_min_share * rules.overload_window.as_secs_f64())
}

/// The most that any window of the rule's length holds, as a part of what a node of the least capacity may get, which
/// started at [`START`].
pub fn worst(settings: &Settings, sends: &[(Duration, f64)]) -> f64 {
    worst_at(settings, capacity(settings), sends)
}

/// The same at a node of another capacity: the budget is the rule's multiple of its present capacity, at the window's
/// middle, or what a cold node always bears, and what is put down to chance comes on top.
pub fn worst_at(settings: &Settings, capacity: f64, sends: &[(Duration, f64)]) -> f64 {
    let (fall, mean) = (settings.rules.overload_window, settings.units.mean);
    let (mut first, mut sum, mut worst) = (0, 0.0, 0.0f64);
    for (at, units) in sends {
        sum += units;
        while sends[first].0 + fall <= *at {
            sum -= sends[first].1;
            first += 1;
        }
        let warmth = warmth(settings, (*at - fall / 2).saturating_sub(START));
        let budget = settings.rules.overload_factor * capacity * warmth * fall.as_secs_f64();
        let requests = budget.max(settings.units.slow_start_units) / mean;
        worst = worst.max(sum / mean / (requests + 2.0 * requests.sqrt() + 2.0));
    }
    worst
}
