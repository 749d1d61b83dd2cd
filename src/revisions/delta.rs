//! The difference between two documents, sent to an initiator that has the older one.

use super::document::{ClassOverrides, CostOverrides, Document, LimitOverrides, PlanOverrides};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The changes from one document to another. A name without an entry is unchanged; `None` in a map removes its entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Classes whose overrides changed or were removed.
    pub classes: BTreeMap<String, Option<ClassOverrides>>,
    /// Plans whose overrides changed or were removed.
    pub plans: BTreeMap<String, Option<PlanOverrides>>,
    /// All costs, if any of them changed.
    pub costs: Option<CostOverrides>,
    /// All limits, if any of them changed.
    pub limits: Option<LimitOverrides>,
    /// Nodes that the newer document adds to `nodes_out`.
    pub nodes_added: BTreeSet<String>,
    /// Nodes that the newer document removes from `nodes_out`.
    pub nodes_removed: BTreeSet<String>,
}

impl Delta {
    /// Computes the changes from one document to another: `Delta::between(a, b).apply(a) == b`.
    pub fn between(older: &Document, newer: &Document) -> Delta {
        Delta {
            classes: changed_entries(&older.classes, &newer.classes),
            plans: changed_entries(&older.plans, &newer.plans),
            costs: (older.costs != newer.costs).then_some(newer.costs),
            limits: (older.limits != newer.limits).then_some(newer.limits),
            nodes_added: newer.nodes_out.difference(&older.nodes_out).cloned().collect(),
            nodes_removed: older.nodes_out.difference(&newer.nodes_out).cloned().collect(),
        }
    }

    /// Returns the document with these changes applied.
    pub fn apply(&self, older: &Document) -> Document {
        let mut document = older.clone();
        apply_changes(&mut document.classes, &self.classes);
        apply_changes(&mut document.plans, &self.plans);
        document.costs = self.costs.unwrap_or(document.costs);
        document.limits = self.limits.unwrap_or(document.limits);
        document.nodes_out.retain(|name| !self.nodes_removed.contains(name));
        document.nodes_out.extend(self.nodes_added.iter().cloned());
        document
    }
}

/// The entries that differ; `None` for those that the newer map lacks.
fn changed_entries<F: Copy + PartialEq>(
    older: &BTreeMap<String, F>,
    newer: &BTreeMap<String, F>,
) -> BTreeMap<String, Option<F>> {
    let names = older.keys().chain(newer.keys());
    let differs = names.filter(|name| older.get(*name) != newer.get(*name));
    differs.map(|name| (name.clone(), newer.get(name).copied())).collect()
}

fn apply_changes<F: Copy>(overrides: &mut BTreeMap<String, F>, changes: &BTreeMap<String, Option<F>>) {
    for (name, change) in changes {
        match change {
            Some(change) => overrides.insert(name.clone(), *change),
            None => overrides.remove(name),
        };
    }
}

#[cfg(test)]
mod tests;
