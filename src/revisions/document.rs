//! The content of a revision: figures that replace those of an initiator's settings while it runs.
//!
//! Keys have the names of the settings file. What is absent keeps the value of the initiator's own settings. Names of
//! classes and plans only refer to what the settings already have. [`figures`] says which keys there are, and in which
//! range each figure is; [`overlay`] puts a document's figures in place of those of settings.

mod figures;
mod overlay;

use super::ContentHash;
use crate::interface::Settings;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The longest document, in bytes of its canonical encoding.
pub const MAX_DOCUMENT_BYTES: usize = 64 * 1024;
/// The longest text that is read as a document, in bytes: comments and blanks count here.
pub const MAX_TEXT_BYTES: usize = 1024 * 1024;
/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// Nodes that may be out at once.
pub const MAX_NODES_OUT: usize = 1024;
/// The longest text of a [`DocumentError`], in characters: it may quote what others wrote.
const MAX_ERROR_CHARS: usize = 400;

/// What a revision changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Figures of request classes, by the class's name.
    pub classes: BTreeMap<String, ClassOverrides>,
    /// Figures of plans, by the plan's name.
    pub plans: BTreeMap<String, PlanOverrides>,
    /// How units count.
    pub costs: CostOverrides,
    /// What the deployment permits.
    pub limits: LimitOverrides,
    /// Names of nodes that get nothing new.
    pub nodes_out: BTreeSet<String>,
}

/// Figures of a class that may change while running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClassOverrides {
    /// An answer within this time has its full worth, in milliseconds; above 0, at most the class's deadline.
    pub aim_ms: Option<f64>,
    /// Worth of a mean request answered within the aim; above 0.
    pub worth: Option<f64>,
    /// Part of the worth that a later answer keeps, 0 to 1.
    pub late_worth: Option<f64>,
}

/// Figures of a plan that may change while running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlanOverrides {
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
    /// Factor on the class worth; above 0.
    pub value_factor: Option<f64>,
}

/// How units count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CostOverrides {
    /// Worth of units beyond reserve and share; not negative.
    pub idle_worth: Option<f64>,
    /// Worth of units beyond the reserve and within the share; above 0, at most 1, the worth within the reserve.
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
pub struct LimitOverrides {
    /// Attempts of one request, 1 to 100.
    pub attempts_cap: Option<u32>,
    /// The longest wait that a client can be asked for, in milliseconds; 0: none is said. Settings that let none be said
    /// are not overruled.
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

impl DocumentError {
    /// What is wrong, whatever it quotes, in one line of bounded length.
    fn new(text: impl AsRef<str>) -> Self {
        let breaks = |character: char| character.is_control() || matches!(character, '\u{2028}' | '\u{2029}');
        let plain = |character| if breaks(character) { ' ' } else { character };
        DocumentError(text.as_ref().trim().chars().map(plain).take(MAX_ERROR_CHARS).collect())
    }
}

impl Document {
    /// Reads a document as operators write it, in TOML.
    ///
    /// # Errors
    ///
    /// One line that names the key: unknown keys, keys that can't change while running, and figures out of range.
    pub fn parse(text: &str) -> Result<Document, DocumentError> {
        if text.len() > MAX_TEXT_BYTES {
            let why = format!("a text of {} bytes: at most {MAX_TEXT_BYTES} are allowed", text.len());
            return Err(DocumentError::new(why));
        }
        let document = figures::read(text)?.normalized();
        document.check()?;
        Ok(document)
    }

    /// The document as operators write it, in TOML.
    pub fn to_toml(&self) -> String {
        // Maps with names for keys, figures and lists of names can all be put in this form.
        let mut table = toml::Table::try_from(self.normalized()).unwrap_or_default();
        let is_empty = |value: &toml::Value| match value {
            toml::Value::Table(table) => table.is_empty(),
            toml::Value::Array(array) => array.is_empty(),
            _ => false,
        };
        table.retain(|_, value| !is_empty(value));
        table.to_string()
    }

    /// The canonical encoding: equal documents have equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Only maps of unknown length can't be put in this form, and there are none.
        postcard::to_stdvec(&self.normalized()).unwrap_or_default()
    }

    /// The hash of the canonical encoding.
    pub fn hash(&self) -> ContentHash {
        ContentHash(Sha256::digest(self.encode()).into())
    }

    /// Checks size and figures, as far as that needs no settings.
    ///
    /// # Errors
    ///
    /// One line that names the key and what is allowed.
    pub fn check(&self) -> Result<(), DocumentError> {
        let names = self.classes.keys().map(|name| ("classes", name));
        let names = names.chain(self.plans.keys().map(|name| ("plans", name)));
        for (key, name) in names.chain(self.nodes_out.iter().map(|name| ("nodes_out", name))) {
            check_name(key, name)?;
        }
        if self.nodes_out.len() > MAX_NODES_OUT {
            let why = format!("nodes_out: {} names: at most {MAX_NODES_OUT}", self.nodes_out.len());
            return Err(DocumentError::new(why));
        }
        self.classes.iter().try_for_each(|(name, class)| class.check(name))?;
        self.plans.iter().try_for_each(|(name, plan)| plan.check(name))?;
        self.costs.check()?;
        self.limits.check()?;
        let length = self.encode().len();
        if length > MAX_DOCUMENT_BYTES {
            let why = format!("a document of {length} bytes: at most {MAX_DOCUMENT_BYTES} are allowed");
            return Err(DocumentError::new(why));
        }
        Ok(())
    }

    /// The settings with this document's figures in place of their own.
    ///
    /// # Errors
    ///
    /// One line that names the key: a class or plan that the settings don't have, or figures that don't fit theirs.
    pub fn apply(&self, base: &Settings, names: &Names) -> Result<Settings, DocumentError> {
        self.check()?;
        overlay::apply(self, base, names)
    }

    /// The same document, with one form for each figure: 0 has no sign, and what is no number has one form.
    fn normalized(&self) -> Document {
        let mut document = self.clone();
        document.classes.values_mut().for_each(ClassOverrides::normalize);
        document.plans.values_mut().for_each(PlanOverrides::normalize);
        document.costs.normalize();
        document.limits.normalize();
        document
    }
}

fn check_name(key: &str, name: &str) -> Result<(), DocumentError> {
    if !(1..=MAX_NAME_BYTES).contains(&name.len()) {
        let start: String = name.chars().take(20).collect();
        let why = format!("{key}: a name of {} bytes ({start:?}): 1 to {MAX_NAME_BYTES}", name.len());
        return Err(DocumentError::new(why));
    }
    Ok(())
}

#[cfg(test)]
pub(super) mod tests;
