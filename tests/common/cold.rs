//! The slow-start rule, evaluated over the sends of a whole fleet: a node's present capacity, and the fullest window
//! against what the rule allows.

use super::*;

/// A node's present share of its full capacity, which grows linearly during slow start.
pub fn capacity_share(settings: &Settings, age: Duration) -> f64 {
    let rules = &settings.rules;
    (rules.slow_start_min_share
        + (1.0 - rules.slow_start_min_share) * age.div_duration_f64(rules.slow_start_time))
    .min(1.0)
}

/// Full capacity, in units a second, of a node that at its start can just take `slow_start_units`.
pub fn capacity(settings: &Settings) -> f64 {
    let rules = &settings.rules;
    settings.units.slow_start_units
        / (rules.overload_factor * rules.slow_start_min_share * rules.overload_window.as_secs_f64())
}

/// The fullest window of the rule's length, relative to what a node of the lowest capacity that started at [`START`]
/// may be sent.
pub fn worst(settings: &Settings, sends: &[(Duration, f64)]) -> f64 {
    worst_at(settings, capacity(settings), sends)
}

/// The same for a node of another capacity. The budget is the rule's multiple of its present capacity in the middle of
/// the window, or what a node takes in any case, plus an allowance for chance.
pub fn worst_at(settings: &Settings, capacity: f64, sends: &[(Duration, f64)]) -> f64 {
    let (window, mean) = (settings.rules.overload_window, settings.units.mean);
    let (mut first, mut sum, mut worst) = (0, 0.0, 0.0f64);
    for (at, units) in sends {
        sum += units;
        while sends[first].0 + window <= *at {
            sum -= sends[first].1;
            first += 1;
        }
        let present_share = capacity_share(settings, (*at - window / 2).saturating_sub(START));
        let budget = settings.rules.overload_factor * capacity * present_share * window.as_secs_f64();
        let requests = budget.max(settings.units.slow_start_units) / mean;
        worst = worst.max(sum / mean / (requests + 2.0 * requests.sqrt() + 2.0));
    }
    worst
}
