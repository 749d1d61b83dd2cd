//! What lowers a router's priority in service: conditions that are looked at again and again, each with counts
//! before it is believed (hysteresis). No I/O: whoever looks hands in what it saw.

use super::packet::PRIORITY_OWNER;
use serde::Deserialize;

/// What is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// Discovery has said nothing for long.
    DiscoverySilent,
    /// No node takes work.
    NoReadyNode,
    /// The loop came late to its timers.
    LoopLate,
    /// Descriptors for clients are used up.
    Descriptors,
    /// The process nears its memory.
    Memory,
    /// A file is there that an operator has made.
    File,
    /// The address could not be taken.
    Address,
}

impl Condition {
    /// All of them.
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

/// How a condition counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// What is looked at.
    pub condition: Condition,
    /// By how much the priority falls while it holds; 0: all the way, to maintenance.
    #[serde(rename = "lowers")]
    pub priority_decrement: u8,
    /// Looks in a row that must find it before it counts.
    #[serde(default = "three")]
    pub fall: u32,
    /// Looks in a row that must not find it before it counts no more.
    #[serde(default = "three")]
    pub rise: u32,
}

fn three() -> u32 {
    3
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Tracked {
    rule: Rule,
    /// It counts.
    holds: bool,
    /// Looks in a row that found the opposite.
    opposite_checks: u32,
}

/// The conditions of one machine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tracker {
    tracked: Vec<Tracked>,
}

impl Tracker {
    /// Nothing holds yet.
    pub fn new(rules: &[Rule]) -> Self {
        let tracked = rules.iter().map(|rule| Tracked { rule: *rule, holds: false, opposite_checks: 0 });
        Tracker { tracked: tracked.collect() }
    }

    /// Goes by other rules from now on. What held goes on holding where it is still looked at.
    pub fn set_rules(&mut self, rules: &[Rule]) {
        let mut new = Tracker::new(rules);
        for tracked in &mut new.tracked {
            tracked.holds = self.holds(tracked.rule.condition);
        }
        *self = new;
    }

    /// Whether a condition is looked at.
    pub fn is_tracked(&self, condition: Condition) -> bool {
        self.tracked.iter().any(|tracked| tracked.rule.condition == condition)
    }

    /// Whether a condition counts.
    pub fn holds(&self, condition: Condition) -> bool {
        self.tracked.iter().any(|tracked| tracked.rule.condition == condition && tracked.holds)
    }

    /// Takes one look; true if the condition counts from now on, or no more.
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

    /// The priority that is left of a configured one. An owner's falls only to 0: the RFC knows no owner of less.
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
