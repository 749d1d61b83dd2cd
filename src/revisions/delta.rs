//! The difference between two documents: what is sent to an initiator that holds the older one.

use super::document::{ClassFigures, CostFigures, Document, LimitFigures, PlanFigures};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What changed from one document to another. An absent entry is unchanged, `None` in a map is removed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Classes whose figures changed or went.
    pub classes: BTreeMap<String, Option<ClassFigures>>,
    /// Plans whose figures changed or went.
    pub plans: BTreeMap<String, Option<PlanFigures>>,
    /// Costs, where any changed.
    pub costs: Option<CostFigures>,
    /// Limits, where any changed.
    pub limits: Option<LimitFigures>,
    /// Nodes taken out since.
    pub nodes_added: BTreeSet<String>,
    /// Nodes no longer out.
    pub nodes_removed: BTreeSet<String>,
}

impl Delta {
    /// What leads from one document to the other: `Delta::between(a, b).apply(a) == b`.
    pub fn between(_older: &Document, _newer: &Document) -> Delta {
        todo!()
    }

    /// The document with these changes made.
    pub fn apply(&self, _older: &Document) -> Document {
        todo!()
    }
}
