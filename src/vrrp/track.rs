//! Tracked conditions of the host, which lower the priorities of its virtual routers. Each condition has to be found in
//! a number of successive checks before it takes effect or ends (hysteresis). No I/O: the caller makes the checks and
//! passes their results.

use super::packet::PRIORITY_OWNER;
use serde::Deserialize;

/// A tracked condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// No message from discovery for too long.
    DiscoverySilent,
    /// No node is ready for requests.
    NoReadyNode,
    /// An iteration of the event loop was late.
    LoopLate,
    /// The descriptors for clients are used up.
    Descriptors,
    /// The process approaches its memory limit.
    Memory,
    /// The operator's file exists.
    File,
    /// An address could not be acquired.
    Address,
}

impl Condition {
    /// All conditions.
    pub const ALL: [Condition; 7] = [
        Condition::DiscoverySilent,
        Condition::NoReadyNode,
        Condition::LoopLate,
        Condition::Descriptors,
        Condition::Memory,
        Condition::File,
        Condition::Address,
    ];

    /// Its name in settings, logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Condition::DiscoverySilent => "discovery-silent",
            Condition::NoReadyNode => "no-ready-node",
            Condition::LoopLate => "loop-late",
            Condition::Descriptors => "descriptors",
            Condition::Memory => "memory",
            Condition::File => "file",
            Condition::Address => "address",
        }
    }
}

/// When a condition takes effect, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The condition.
    pub condition: Condition,
    /// By how much the priority is lowered while the condition holds; 0 means maintenance (priority 0).
    #[serde(rename = "lowers")]
    pub priority_decrement: u8,
    /// Successive checks that must find the condition before it holds.
    #[serde(default = "default_check_count")]
    pub fall: u32,
    /// Successive checks that must not find the condition before it no longer holds.
    #[serde(default = "default_check_count")]
    pub rise: u32,
}

fn default_check_count() -> u32 {
    3
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Tracked {
    rule: Rule,
    /// The condition holds.
    holds: bool,
    /// Successive checks with the opposite result.
    opposite_checks: u32,
}

/// The tracked conditions of one host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tracker {
    tracked: Vec<Tracked>,
}

impl Tracker {
    /// A tracker with these rules; no condition holds yet.
    pub fn new(rules: &[Rule]) -> Self {
        let tracked = rules.iter().map(|rule| Tracked { rule: *rule, holds: false, opposite_checks: 0 });
        Tracker { tracked: tracked.collect() }
    }

    /// Replaces the rules. A condition that holds keeps holding if it is still tracked.
    pub fn set_rules(&mut self, rules: &[Rule]) {
        let mut new = Tracker::new(rules);
        for tracked in &mut new.tracked {
            tracked.holds = self.holds(tracked.rule.condition);
        }
        *self = new;
    }

    /// Whether a condition is tracked.
    pub fn is_tracked(&self, condition: Condition) -> bool {
        self.tracked.iter().any(|tracked| tracked.rule.condition == condition)
    }

    /// Whether a condition holds.
    pub fn holds(&self, condition: Condition) -> bool {
        self.tracked.iter().any(|tracked| tracked.rule.condition == condition && tracked.holds)
    }

    /// Records the result of one check; true if the condition has begun or ceased to hold.
    pub fn record_check(&mut self, condition: Condition, found: bool) -> bool {
        let Some(tracked) = self.tracked.iter_mut().find(|it| it.rule.condition == condition) else {
            return false;
        };
        if found == tracked.holds {
            tracked.opposite_checks = 0;
            return false;
        }
        tracked.opposite_checks += 1;
        let needed = if found { tracked.rule.fall } else { tracked.rule.rise };
        let changed = tracked.opposite_checks >= needed;
        if changed {
            (tracked.holds, tracked.opposite_checks) = (found, 0);
        }
        changed
    }

    /// The configured priority, lowered by all conditions that hold, but to no less than 1; 0 in maintenance. The
    /// priority of an address owner changes only to 0, since in RFC 9568 an owner always has 255.
    pub fn priority(&self, configured: u8) -> u8 {
        let holding = || self.tracked.iter().filter(|tracked| tracked.holds);
        if configured == 0 || holding().any(|tracked| tracked.rule.priority_decrement == 0) {
            0
        } else if configured == PRIORITY_OWNER {
            PRIORITY_OWNER
        } else {
            let lowered = holding()
                .fold(configured, |left, tracked| left.saturating_sub(tracked.rule.priority_decrement));
            lowered.max(1)
        }
    }
}

#[cfg(test)]
mod tests;
