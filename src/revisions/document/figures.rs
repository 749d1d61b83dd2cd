//! The keys of a document and the range of each value. Reads TOML, and refuses unknown keys and values out of range.

use super::{ClassOverrides, CostOverrides, Document, DocumentError, LimitOverrides, PlanOverrides};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use toml::{Table, Value};

/// The smallest value where 0 is not allowed. With this bound and [`MAX_VALUE`], products and quotients of a few values
/// stay finite and above 0.
pub(super) const MIN_POSITIVE: f64 = 1e-9;
/// The largest value.
pub(super) const MAX_VALUE: f64 = 1e12;
/// The longest duration, in milliseconds: a day.
pub(super) const MAX_DURATION_MS: f64 = 86_400_000.0;
/// The shortest aim, in milliseconds: one microsecond, well above the resolution of durations.
const MIN_AIM_MS: f64 = 0.001;
/// Limit on the attempts of one request.
const MAX_ATTEMPTS: u32 = 100;

const SECTIONS: [&str; 5] = ["classes", "plans", "costs", "limits", "nodes_out"];
const CLASS_KEYS: [&str; 3] = ["aim_ms", "worth", "late_worth"];
const PLAN_KEYS: [&str; 7] =
    ["base_rate", "ceiling_rate", "limit_burst", "tolerance", "guaranteed", "parts", "value_factor"];
const COST_KEYS: [&str; 5] = ["idle_worth", "share_worth", "largest", "unit_mean", "young_limit"];
const LIMIT_KEYS: [&str; 3] = ["attempts_cap", "max_retry_after_ms", "may_cancel"];

/// Keys of the settings file and of the configuration file that contains it, in any section, that need a restart to
/// change.
const RESTART_ONLY_KEYS: [&str; 43] = [
    "name",
    "listen",
    "control",
    "seed",
    "known",
    "settings",
    "siblings",
    "tick_ms",
    "discovery",
    "zones",
    "peers",
    // Classes.
    "hard_limit_ms",
    "effect",
    "key_scope",
    "window_ms",
    "one_at_a_time",
    // Worth and size of units.
    "metering_ms",
    // The contract.
    "contract",
    "grace_to_answer_ms",
    "drain_grace_ms",
    "cold_from",
    "warm_after_ms",
    "tip_multiple",
    "fall_ms",
    "order_settle_ms",
    "spare_attempts",
    "repeat_ratio",
    "budget_span_ms",
    // Limits.
    "connect_timeout_ms",
    "conn_idle_ms",
    "retry_after",
    "cores",
    "memory_mb",
    "sockets",
    // Planners, fronts, VRRP and the fleet.
    "planners",
    "partitions",
    "enabled",
    "configuration",
    "iscsi",
    "vrrp",
    "fleet",
    "storage",
    "target",
];

/// Parses a document without checking the ranges of its values.
pub(super) fn read(text: &str) -> Result<Document, DocumentError> {
    let table: Table = text.parse().map_err(|error| not_toml(text, &error))?;
    table.keys().try_for_each(|key| check_key("", key, &SECTIONS))?;
    Ok(Document {
        classes: read_named(&table, "classes", &CLASS_KEYS)?,
        plans: read_named(&table, "plans", &PLAN_KEYS)?,
        costs: read_section(&table, "costs", &COST_KEYS)?,
        limits: read_section(&table, "limits", &LIMIT_KEYS)?,
        nodes_out: table
            .get("nodes_out")
            .map_or_else(|| Ok(Default::default()), |it| read_value("nodes_out", it))?,
    })
}

fn not_toml(text: &str, error: &toml::de::Error) -> DocumentError {
    let before = error.span().and_then(|span| text.get(..span.start)).unwrap_or_default();
    DocumentError::new(format!("line {}: {}", before.matches('\n').count() + 1, error.message()))
}

/// Refuses a key that is not in `known`. `path` is the dotted prefix of the key, with the last dot.
fn check_key(path: &str, key: &str, known: &[&str]) -> Result<(), DocumentError> {
    if known.contains(&key) {
        return Ok(());
    }
    if RESTART_ONLY_KEYS.contains(&key) {
        return Err(DocumentError::new(format!("{path}{key} can't change while running")));
    }
    Err(DocumentError::new(format!("{path}{key} is not known: {} are", known.join(", "))))
}

/// Reads a section that has a table of values under each name.
fn read_named<F>(table: &Table, name: &str, keys: &[&str]) -> Result<BTreeMap<String, F>, DocumentError>
where
    F: DeserializeOwned,
{
    let Some(section) = table.get(name) else { return Ok(BTreeMap::new()) };
    let section = as_table(name, section)?;
    let read_entry = |(entry, value): (&String, &Value)| {
        let path = format!("{name}.{}", quoted(entry));
        Ok((entry.clone(), read_table(&path, as_table(&path, value)?, keys)?))
    };
    section.iter().map(read_entry).collect()
}

/// Reads a section that is itself a table of values.
fn read_section<F>(table: &Table, name: &str, keys: &[&str]) -> Result<F, DocumentError>
where
    F: DeserializeOwned + Default,
{
    let Some(section) = table.get(name) else { return Ok(F::default()) };
    read_table(name, as_table(name, section)?, keys)
}

/// Reads a table. Each key is first read alone, so that an error names it.
fn read_table<F: DeserializeOwned>(path: &str, table: &Table, keys: &[&str]) -> Result<F, DocumentError> {
    for (key, entry) in table {
        check_key(&format!("{path}."), key, keys)?;
        let alone = Table::from_iter([(key.clone(), entry.clone())]);
        read_value::<F>(&format!("{path}.{key}"), &Value::Table(alone))?;
    }
    read_value(path, &Value::Table(table.clone()))
}

fn read_value<V: DeserializeOwned>(path: &str, value: &Value) -> Result<V, DocumentError> {
    let why = |error: toml::de::Error| DocumentError::new(format!("{path}: {}", error.message()));
    value.clone().try_into().map_err(why)
}

fn as_table<'a>(path: &str, value: &'a Value) -> Result<&'a Table, DocumentError> {
    let why = || DocumentError::new(format!("{path}: a {}, a table is wanted", value.type_str()));
    value.as_table().ok_or_else(why)
}

/// A name as a TOML key: bare, or in quotes where TOML needs them.
pub(super) fn quoted(name: &str) -> String {
    let is_bare = |character: char| character.is_ascii_alphanumeric() || matches!(character, '_' | '-');
    if !name.is_empty() && name.chars().all(is_bare) {
        return name.to_string();
    }
    format!("{name:?}")
}

/// A key, its value, and the smallest and largest value allowed.
type Bounded = (&'static str, Option<f64>, f64, f64);

fn check(path: &str, values: &[Bounded]) -> Result<(), DocumentError> {
    for (key, value, min, max) in values {
        // NaN is in no range, so it is refused.
        if value.is_some_and(|value| !(*min..=*max).contains(&value)) {
            let value = value.unwrap_or_default();
            let why = format!("{path}.{key} is {value}: {} is allowed", range(*min, *max));
            return Err(DocumentError::new(why));
        }
    }
    Ok(())
}

fn range(min: f64, max: f64) -> String {
    match (min == MIN_POSITIVE, max == MAX_VALUE) {
        (true, true) => "above 0, 1e-9 to 1e12,".into(),
        (true, false) => format!("above 0, 1e-9 to {max},"),
        (false, true) => format!("{min} to 1e12"),
        (false, false) => format!("{min} to {max}"),
    }
}

fn normalize<const COUNT: usize>(values: [&mut Option<f64>; COUNT]) {
    for value in values.into_iter().flatten() {
        if *value == 0.0 {
            *value = 0.0;
        }
        if value.is_nan() {
            *value = f64::NAN;
        }
    }
}

impl ClassOverrides {
    pub(super) fn check(&self, name: &str) -> Result<(), DocumentError> {
        let values = [
            ("aim_ms", self.aim_ms, MIN_AIM_MS, MAX_DURATION_MS),
            ("worth", self.worth, MIN_POSITIVE, MAX_VALUE),
            ("late_worth", self.late_worth, 0.0, 1.0),
        ];
        check(&format!("classes.{}", quoted(name)), &values)
    }

    pub(super) fn normalize(&mut self) {
        normalize([&mut self.aim_ms, &mut self.worth, &mut self.late_worth]);
    }
}

impl PlanOverrides {
    pub(super) fn check(&self, name: &str) -> Result<(), DocumentError> {
        let values = [
            ("base_rate", self.base_rate, 0.0, MAX_VALUE),
            ("ceiling_rate", self.ceiling_rate, 0.0, MAX_VALUE),
            ("limit_burst", self.limit_burst, 0.0, MAX_VALUE),
            ("tolerance", self.tolerance, 0.0, MAX_VALUE),
            ("guaranteed", self.guaranteed, 0.0, MAX_VALUE),
            ("parts", self.parts, MIN_POSITIVE, MAX_VALUE),
            ("value_factor", self.value_factor, MIN_POSITIVE, MAX_VALUE),
        ];
        check(&format!("plans.{}", quoted(name)), &values)
    }

    pub(super) fn normalize(&mut self) {
        normalize([
            &mut self.base_rate,
            &mut self.ceiling_rate,
            &mut self.limit_burst,
            &mut self.tolerance,
            &mut self.guaranteed,
            &mut self.parts,
            &mut self.value_factor,
        ]);
    }
}

impl CostOverrides {
    pub(super) fn check(&self) -> Result<(), DocumentError> {
        let values = [
            ("idle_worth", self.idle_worth, 0.0, MAX_VALUE),
            // A share of the worth within the reserve, which is 1.
            ("share_worth", self.share_worth, MIN_POSITIVE, 1.0),
            ("largest", self.largest, MIN_POSITIVE, MAX_VALUE),
            ("unit_mean", self.unit_mean, MIN_POSITIVE, MAX_VALUE),
            ("young_limit", self.young_limit, 0.0, MAX_VALUE),
        ];
        check("costs", &values)
    }

    pub(super) fn normalize(&mut self) {
        normalize([
            &mut self.idle_worth,
            &mut self.share_worth,
            &mut self.largest,
            &mut self.unit_mean,
            &mut self.young_limit,
        ]);
    }
}

impl LimitOverrides {
    pub(super) fn check(&self) -> Result<(), DocumentError> {
        let attempts = self.attempts_cap.map(f64::from);
        let values = [
            ("attempts_cap", attempts, 1.0, f64::from(MAX_ATTEMPTS)),
            ("max_retry_after_ms", self.max_retry_after_ms, 0.0, MAX_DURATION_MS),
        ];
        check("limits", &values)
    }

    pub(super) fn normalize(&mut self) {
        normalize([&mut self.max_retry_after_ms]);
    }
}
