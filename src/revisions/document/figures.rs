//! The keys of a document, and the range of each figure.

use super::{ClassOverrides, CostOverrides, Document, DocumentError, LimitOverrides, PlanOverrides};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use toml::{Table, Value};

/// The least figure where 0 is not allowed: products and quotients of a few figures are finite, and above 0.
pub(super) const MIN_POSITIVE: f64 = 1e-9;
/// The largest figure.
pub(super) const MAX_VALUE: f64 = 1e12;
/// The longest span, in milliseconds: a day.
pub(super) const MAX_DURATION_MS: f64 = 86_400_000.0;
/// The shortest aim, in milliseconds: a microsecond, well above the unit that spans are counted in.
const MIN_AIM_MS: f64 = 0.001;
/// The most attempts of one request.
const MAX_ATTEMPTS: u32 = 100;

const SECTIONS: [&str; 5] = ["classes", "plans", "costs", "limits", "nodes_out"];
const CLASS_KEYS: [&str; 3] = ["aim_ms", "worth", "late_worth"];
const PLAN_KEYS: [&str; 7] =
    ["base_rate", "ceiling_rate", "limit_burst", "tolerance", "guaranteed", "parts", "value_factor"];
const COST_KEYS: [&str; 5] = ["idle_worth", "share_worth", "largest", "unit_mean", "young_limit"];
const LIMIT_KEYS: [&str; 3] = ["attempts_cap", "max_retry_after_ms", "may_cancel"];

/// Keys of the settings file, and of the file around it, that only a restart changes; wherever they stand.
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
    // How units count.
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
    // Files beside it.
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

/// Reads a document without a look at its figures' ranges.
pub(super) fn read(text: &str) -> Result<Document, DocumentError> {
    let table: Table = text.parse().map_err(|error| not_toml(text, &error))?;
    table.keys().try_for_each(|key| check_key("", key, &SECTIONS))?;
    Ok(Document {
        classes: named(&table, "classes", &CLASS_KEYS)?,
        plans: named(&table, "plans", &PLAN_KEYS)?,
        costs: section(&table, "costs", &COST_KEYS)?,
        limits: section(&table, "limits", &LIMIT_KEYS)?,
        nodes_out: table
            .get("nodes_out")
            .map_or_else(|| Ok(Default::default()), |it| value("nodes_out", it))?,
    })
}

fn not_toml(text: &str, error: &toml::de::Error) -> DocumentError {
    let before = error.span().and_then(|span| text.get(..span.start)).unwrap_or_default();
    DocumentError::new(format!("line {}: {}", before.matches('\n').count() + 1, error.message()))
}

/// Refuses a key that is none of these. `place` is what stands before it, up to the dot.
fn check_key(place: &str, key: &str, known: &[&str]) -> Result<(), DocumentError> {
    if known.contains(&key) {
        return Ok(());
    }
    if RESTART_ONLY_KEYS.contains(&key) {
        return Err(DocumentError::new(format!("{place}{key} can't change while running")));
    }
    Err(DocumentError::new(format!("{place}{key} is not known: {} are", known.join(", "))))
}

/// A section with a table of figures under each name.
fn named<F>(table: &Table, name: &str, keys: &[&str]) -> Result<BTreeMap<String, F>, DocumentError>
where
    F: DeserializeOwned,
{
    let Some(section) = table.get(name) else { return Ok(BTreeMap::new()) };
    let section = as_table(name, section)?;
    let figures = |(entry, value): (&String, &Value)| {
        let place = format!("{name}.{}", quoted(entry));
        Ok((entry.clone(), figures(&place, as_table(&place, value)?, keys)?))
    };
    section.iter().map(figures).collect()
}

/// A section that is a table of figures itself.
fn section<F>(table: &Table, name: &str, keys: &[&str]) -> Result<F, DocumentError>
where
    F: DeserializeOwned + Default,
{
    let Some(section) = table.get(name) else { return Ok(F::default()) };
    figures(name, as_table(name, section)?, keys)
}

/// Each key is looked at alone first, so that an error names it.
fn figures<F: DeserializeOwned>(place: &str, table: &Table, keys: &[&str]) -> Result<F, DocumentError> {
    for (key, figure) in table {
        check_key(&format!("{place}."), key, keys)?;
        let alone = Table::from_iter([(key.clone(), figure.clone())]);
        value::<F>(&format!("{place}.{key}"), &Value::Table(alone))?;
    }
    value(place, &Value::Table(table.clone()))
}

fn value<V: DeserializeOwned>(place: &str, value: &Value) -> Result<V, DocumentError> {
    let why = |error: toml::de::Error| DocumentError::new(format!("{place}: {}", error.message()));
    value.clone().try_into().map_err(why)
}

fn as_table<'a>(place: &str, value: &'a Value) -> Result<&'a Table, DocumentError> {
    let why = || DocumentError::new(format!("{place}: a {}, a table is wanted", value.type_str()));
    value.as_table().ok_or_else(why)
}

/// A name as it stands in a key: plain, or in quotes where that is needed.
pub(super) fn quoted(name: &str) -> String {
    let plain = |character: char| character.is_ascii_alphanumeric() || matches!(character, '_' | '-');
    if !name.is_empty() && name.chars().all(plain) {
        return name.to_string();
    }
    format!("{name:?}")
}

/// A figure's key, its value, and the least and the largest that is allowed.
type Bounded = (&'static str, Option<f64>, f64, f64);

fn check(place: &str, figures: &[Bounded]) -> Result<(), DocumentError> {
    for (key, figure, least, most) in figures {
        // What is no number is in no range.
        if figure.is_some_and(|figure| !(*least..=*most).contains(&figure)) {
            let figure = figure.unwrap_or_default();
            let why = format!("{place}.{key} is {figure}: {} is allowed", range(*least, *most));
            return Err(DocumentError::new(why));
        }
    }
    Ok(())
}

fn range(least: f64, most: f64) -> String {
    match (least == MIN_POSITIVE, most == MAX_VALUE) {
        (true, true) => "above 0, 1e-9 to 1e12,".into(),
        (true, false) => format!("above 0, 1e-9 to {most},"),
        (false, true) => format!("{least} to 1e12"),
        (false, false) => format!("{least} to {most}"),
    }
}

fn normalize<const COUNT: usize>(figures: [&mut Option<f64>; COUNT]) {
    for figure in figures.into_iter().flatten() {
        if *figure == 0.0 {
            *figure = 0.0;
        }
        if figure.is_nan() {
            *figure = f64::NAN;
        }
    }
}

impl ClassOverrides {
    pub(super) fn check(&self, name: &str) -> Result<(), DocumentError> {
        let figures = [
            ("aim_ms", self.aim_ms, MIN_AIM_MS, MAX_DURATION_MS),
            ("worth", self.worth, MIN_POSITIVE, MAX_VALUE),
            ("late_worth", self.late_worth, 0.0, 1.0),
        ];
        check(&format!("classes.{}", quoted(name)), &figures)
    }

    pub(super) fn normalize(&mut self) {
        normalize([&mut self.aim_ms, &mut self.worth, &mut self.late_worth]);
    }
}

impl PlanOverrides {
    pub(super) fn check(&self, name: &str) -> Result<(), DocumentError> {
        let figures = [
            ("base_rate", self.base_rate, 0.0, MAX_VALUE),
            ("ceiling_rate", self.ceiling_rate, 0.0, MAX_VALUE),
            ("limit_burst", self.limit_burst, 0.0, MAX_VALUE),
            ("tolerance", self.tolerance, 0.0, MAX_VALUE),
            ("guaranteed", self.guaranteed, 0.0, MAX_VALUE),
            ("parts", self.parts, MIN_POSITIVE, MAX_VALUE),
            ("value_factor", self.value_factor, MIN_POSITIVE, MAX_VALUE),
        ];
        check(&format!("plans.{}", quoted(name)), &figures)
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
        let figures = [
            ("idle_worth", self.idle_worth, 0.0, MAX_VALUE),
            // Worth is a part of the worth within the reserve.
            ("share_worth", self.share_worth, MIN_POSITIVE, 1.0),
            ("largest", self.largest, MIN_POSITIVE, MAX_VALUE),
            ("unit_mean", self.unit_mean, MIN_POSITIVE, MAX_VALUE),
            ("young_limit", self.young_limit, 0.0, MAX_VALUE),
        ];
        check("costs", &figures)
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
        let figures = [
            ("attempts_cap", attempts, 1.0, f64::from(MAX_ATTEMPTS)),
            ("max_retry_after_ms", self.max_retry_after_ms, 0.0, MAX_DURATION_MS),
        ];
        check("limits", &figures)
    }

    pub(super) fn normalize(&mut self) {
        normalize([&mut self.max_retry_after_ms]);
    }
}
