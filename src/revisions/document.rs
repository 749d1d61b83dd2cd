//! The content of a revision: values that override an initiator's settings while it runs.
//!
//! Keys have the names of the settings file. A key that is absent keeps the value of the initiator's own settings.
//! Classes and plans can't be added: their names refer to those of the settings. [`figures`] defines the keys and the
//! range of each value; [`overlay`] applies a document to settings.

mod figures;
mod overlay;

use super::ContentHash;
use crate::interface::Settings;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Limit on a document's canonical encoding, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 64 * 1024;
/// Limit on the TOML text of a document, in bytes, comments and blanks included.
pub const MAX_TEXT_BYTES: usize = 1024 * 1024;
/// Limit on the name of a class, plan or node, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// Limit on the nodes that may be out at once.
pub const MAX_NODES_OUT: usize = 1024;
/// Limit on the text of a [`DocumentError`], in characters: it may quote operators' input.
const MAX_ERROR_CHARS: usize = 400;

/// The overrides of one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Overrides for request classes, by the class's name.
    pub classes: BTreeMap<String, ClassOverrides>,
    /// Overrides for plans, by the plan's name.
    pub plans: BTreeMap<String, PlanOverrides>,
    /// Overrides for the worth and size of units.
    pub costs: CostOverrides,
    /// Overrides for limits on attempts and waits.
    pub limits: LimitOverrides,
    /// Names of nodes that receive no new requests.
    pub nodes_out: BTreeSet<String>,
}

/// The settings of a class that may change while the initiator runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClassOverrides {
    /// Time within which an answer has its full worth, in milliseconds; above 0, at most the class's deadline.
    pub aim_ms: Option<f64>,
    /// Worth of a mean request answered within the aim; above 0.
    pub worth: Option<f64>,
    /// Share of the worth that a later answer keeps, 0 to 1.
    pub late_worth: Option<f64>,
}

/// The settings of a plan that may change while the initiator runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlanOverrides {
    /// Units a second that a volume is sized for; not negative.
    pub base_rate: Option<f64>,
    /// Rate limit in units a second; 0: no limit.
    pub ceiling_rate: Option<f64>,
    /// Burst of the rate limit, in units; not negative.
    pub limit_burst: Option<f64>,
    /// Units by which the limit's token bucket may be overdrawn; not negative.
    pub tolerance: Option<f64>,
    /// Reserved rate, in units a second at full worth; not negative.
    pub guaranteed: Option<f64>,
    /// Weight in the weighted fair share of the capacity beyond the reserves; above 0.
    pub parts: Option<f64>,
    /// Factor on the worth of the class; above 0.
    pub value_factor: Option<f64>,
}

/// Worth and size of units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CostOverrides {
    /// Worth of units beyond both the reserve and the share; not negative.
    pub idle_worth: Option<f64>,
    /// Worth of units beyond the reserve and within the share; above 0, at most 1, which is the worth within the
    /// reserve.
    pub share_worth: Option<f64>,
    /// Units of the largest request; above 0.
    pub largest: Option<f64>,
    /// Units of a mean request; above 0.
    pub unit_mean: Option<f64>,
    /// Units that a node in slow start takes from all initiators within the settings' `fall_ms`; not negative.
    pub young_limit: Option<f64>,
}

/// Limits on attempts and waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitOverrides {
    /// Limit on the attempts of one request, 1 to 100.
    pub attempts_cap: Option<u32>,
    /// The longest wait that a client can be asked for, in milliseconds; 0: clients are not asked to wait. Where the
    /// settings have 0, only 0 is accepted.
    pub max_retry_after_ms: Option<f64>,
    /// Whether attempts may be cancelled.
    pub may_cancel: Option<bool>,
}

/// The names that a document may refer to, by position in the settings' lists of classes and plans.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the plans.
    pub plans: Vec<String>,
}

/// The reason for refusing a document: one line that names the key and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError(pub String);

impl fmt::Display for DocumentError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl std::error::Error for DocumentError {}

impl DocumentError {
    /// Cuts the text to [`MAX_ERROR_CHARS`] and replaces line breaks and control characters, which quoted input may
    /// have.
    fn new(text: impl AsRef<str>) -> Self {
        let breaks = |character: char| character.is_control() || matches!(character, '\u{2028}' | '\u{2029}');
        let replaced = |character| if breaks(character) { ' ' } else { character };
        DocumentError(text.as_ref().trim().chars().map(replaced).take(MAX_ERROR_CHARS).collect())
    }
}

impl Document {
    /// Parses a document from TOML, the form that operators write.
    ///
    /// # Errors
    ///
    /// The text is too long or not TOML, or has an unknown key, a key that can't change at run time, or a value out of
    /// range.
    pub fn parse(text: &str) -> Result<Document, DocumentError> {
        if text.len() > MAX_TEXT_BYTES {
            let why = format!("a text of {} bytes: at most {MAX_TEXT_BYTES} are allowed", text.len());
            return Err(DocumentError::new(why));
        }
        let document = figures::read(text)?.normalized();
        document.check()?;
        Ok(document)
    }

    /// The document in TOML, the form that operators write.
    pub fn to_toml(&self) -> String {
        // Can't fail: TOML can represent maps with string keys, numbers and lists of strings.
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
        // Can't fail: postcard only refuses maps of unknown length, and there are none.
        postcard::to_stdvec(&self.normalized()).unwrap_or_default()
    }

    /// The hash of the canonical encoding.
    pub fn hash(&self) -> ContentHash {
        ContentHash(Sha256::digest(self.encode()).into())
    }

    /// Checks the size and the range of each value, as far as that needs no settings.
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

    /// Returns the settings with this document's overrides applied.
    ///
    /// # Errors
    ///
    /// The document is invalid, names a class or plan that the settings don't have, or has values that contradict them.
    pub fn apply(&self, base: &Settings, names: &Names) -> Result<Settings, DocumentError> {
        self.check()?;
        overlay::apply(self, base, names)
    }

    /// The document with one bit pattern per value, so that equal documents have equal hashes: -0 becomes 0, and all
    /// NaNs become the same.
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
