//! The content of a revision: figures that replace those of an initiator's settings while it runs.
//!
//! Keys have the names of the settings file. What is absent keeps the value of the initiator's own settings. Names of
//! classes and plans only refer to what the settings already have.

use super::ContentHash;
use crate::interface::Settings;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The longest document, in bytes of its canonical encoding.
pub const LONGEST_DOCUMENT: usize = 64 * 1024;

/// What a revision changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Figures of request classes, by the class's name.
    pub classes: BTreeMap<String, ClassFigures>,
    /// Figures of plans, by the plan's name.
    pub plans: BTreeMap<String, PlanFigures>,
    /// How units count.
    pub costs: CostFigures,
    /// What the deployment permits.
    pub limits: LimitFigures,
    /// Names of nodes that get nothing new.
    pub nodes_out: BTreeSet<String>,
}

/// Figures of a class that may change while running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClassFigures {
    /// An answer within this time has its full worth, in milliseconds; above 0, at most the class's deadline.
    pub aim_ms: Option<f64>,
    /// Worth of a mean request answered within the aim; not negative.
    pub worth: Option<f64>,
    /// Part of the worth that a later answer keeps, 0 to 1.
    pub late_worth: Option<f64>,
}

/// Figures of a plan that may change while running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlanFigures {
    /// Units a second that a volume is sized for; not negative.
    pub base_rate: Option<f64>,
    /// The limit in units a second; 0: no limit.
    pub ceiling_rate: Option<f64>,
    /// Units that the limit lets through at once; not negative.
    pub limit_burst: Option<f64>,
    /// Units by which the limit's store may be overdrawn; not negative.
    pub tolerance: Option<f64>,
    /// Units a second at full worth; not negative.
    pub guaranteed: Option<f64>,
    /// Weight in the sharing of what the reserves leave; above 0.
    pub parts: Option<f64>,
    /// Factor on the class worth; not negative.
    pub value_factor: Option<f64>,
}

/// How units count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CostFigures {
    /// Worth of units beyond reserve and share; not negative.
    pub idle_worth: Option<f64>,
    /// Worth of units beyond the reserve and within the share; above 0.
    pub share_worth: Option<f64>,
    /// Units of the largest request; above 0.
    pub largest: Option<f64>,
    /// Units of a mean request; above 0.
    pub unit_mean: Option<f64>,
    /// Units that a cold node bears from all initiators within the settings' `fall_ms`; not negative.
    pub young_limit: Option<f64>,
}

/// What the deployment permits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitFigures {
    /// Attempts of one request, 1 to 100.
    pub attempts_cap: Option<u32>,
    /// The longest wait that a client can be asked for, in milliseconds; 0: none is said.
    pub max_retry_after_ms: Option<f64>,
    /// Attempts may be withdrawn.
    pub may_cancel: Option<bool>,
}

/// The names that a document may refer to, in the order of the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the plans.
    pub plans: Vec<String>,
}

/// Why a document is not accepted: one line that names the key and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError(pub String);

impl fmt::Display for DocumentError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl std::error::Error for DocumentError {}

impl Document {
    /// Reads a document as operators write it, in TOML.
    ///
    /// # Errors
    ///
    /// One line that names the key: unknown keys, keys that can't change while running, and figures out of range.
    pub fn parse(_text: &str) -> Result<Document, DocumentError> {
        todo!()
    }

    /// The document as operators write it, in TOML.
    pub fn to_toml(&self) -> String {
        todo!()
    }

    /// The canonical encoding: equal documents have equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        todo!()
    }

    /// The hash of the canonical encoding.
    pub fn hash(&self) -> ContentHash {
        todo!()
    }

    /// Checks size and figures, as far as that needs no settings.
    ///
    /// # Errors
    ///
    /// One line that names the key and what is allowed.
    pub fn check(&self) -> Result<(), DocumentError> {
        todo!()
    }

    /// The settings with this document's figures in place of their own.
    ///
    /// # Errors
    ///
    /// One line that names the key: a class or plan that the settings don't have, or figures that don't fit theirs.
    pub fn apply(&self, _base: &Settings, _names: &Names) -> Result<Settings, DocumentError> {
        todo!()
    }
}
