//! The difference between two documents: what is sent to an initiator that holds the older one.

use super::document::{ClassOverrides, CostOverrides, Document, LimitOverrides, PlanOverrides};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What changed from one document to another. An absent entry is unchanged, `None` in a map is removed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Classes whose figures changed or went.
    pub classes: BTreeMap<String, Option<ClassOverrides>>,
    /// Plans whose figures changed or went.
    pub plans: BTreeMap<String, Option<PlanOverrides>>,
    /// Costs, where any changed.
    pub costs: Option<CostOverrides>,
    /// Limits, where any changed.
    pub limits: Option<LimitOverrides>,
    /// Nodes taken out since.
    pub nodes_added: BTreeSet<String>,
    /// Nodes no longer out.
    pub nodes_removed: BTreeSet<String>,
}

impl Delta {
    /// What leads from one document to the other: `Delta::between(a, b).apply(a) == b`.
    pub fn between(older: &Document, newer: &Document) -> Delta {
        Delta {
            classes: changed(&older.classes, &newer.classes),
            plans: changed(&older.plans, &newer.plans),
            costs: (older.costs != newer.costs).then_some(newer.costs),
            limits: (older.limits != newer.limits).then_some(newer.limits),
            nodes_added: newer.nodes_out.difference(&older.nodes_out).cloned().collect(),
            nodes_removed: older.nodes_out.difference(&newer.nodes_out).cloned().collect(),
        }
    }

    /// The document with these changes made.
    pub fn apply(&self, older: &Document) -> Document {
        let mut document = older.clone();
        change(&mut document.classes, &self.classes);
        change(&mut document.plans, &self.plans);
        document.costs = self.costs.unwrap_or(document.costs);
        document.limits = self.limits.unwrap_or(document.limits);
        document.nodes_out.retain(|name| !self.nodes_removed.contains(name));
        document.nodes_out.extend(self.nodes_added.iter().cloned());
        document
    }
}

/// Entries that differ; none where the newer map has no entry.
fn changed<F: Copy + PartialEq>(
    older: &BTreeMap<String, F>,
    newer: &BTreeMap<String, F>,
) -> BTreeMap<String, Option<F>> {
    let names = older.keys().chain(newer.keys());
    let differs = names.filter(|name| older.get(*name) != newer.get(*name));
    differs.map(|name| (name.clone(), newer.get(name).copied())).collect()
}

fn change<F: Copy>(figures: &mut BTreeMap<String, F>, changes: &BTreeMap<String, Option<F>>) {
    for (name, change) in changes {
        match change {
            Some(change) => figures.insert(name.clone(), *change),
            None => figures.remove(name),
        };
    }
}

#[cfg(test)]
mod tests;
