//! The report of a run: as JSON, as a plain table, and as Markdown tables for the documentation.

use super::figure::{Figure, Role};
use super::target;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt::Write;

/// An unmet requirement: a figure beyond its budget, or a line of the target without a mechanism.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Miss {
    /// The figure's name, or the target's line.
    pub name: String,
    /// Value divided by budget; `None` if there is no mechanism.
    pub ratio: Option<f64>,
    /// `none` if there is no mechanism, else `exists`.
    pub mechanism: String,
}

/// Results of a run.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// All figures.
    pub figures: Vec<Figure>,
    /// Report of the hollow fleet; null if it was not run.
    pub hollow: Value,
    /// Unmet requirements, worst first.
    pub ranking: Vec<Miss>,
    /// The target size by name.
    pub target: BTreeMap<String, f64>,
    /// Parts that failed, each with the reason.
    pub not_run: Vec<String>,
    /// Whether this is the short variant.
    pub short: bool,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Ranks unmet requirements: lines without a mechanism first, then figures beyond their budget by descending ratio.
pub fn rank(figures: &[Figure], lines: &[target::Line]) -> Vec<Miss> {
    let without_mechanism = lines
        .iter()
        .filter(|requirement| requirement.mechanism.is_none())
        .map(|requirement| Miss { name: requirement.asked.into(), ratio: None, mechanism: "none".into() });
    let mut over_budget: Vec<Miss> = figures
        .iter()
        .filter(|figure| figure.holds == Some(false))
        .map(|figure| Miss { name: figure.name.clone(), ratio: figure.ratio, mechanism: "exists".into() })
        .collect();
    over_budget.sort_by(|a, b| b.ratio.partial_cmp(&a.ratio).unwrap_or(Ordering::Equal));
    without_mechanism.chain(over_budget).collect()
}

impl Report {
    /// The plain table.
    pub fn table(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        for figure in &self.figures {
            let _ = writeln!(text, "{}", plain_row(figure));
        }
        for part in &self.not_run {
            let _ = writeln!(text, "not run: {part}");
        }
        for (place, miss) in self.ranking.iter().enumerate() {
            let how = miss
                .ratio
                .map_or("no mechanism".into(), |ratio| format!("{} times its budget", rounded(ratio)));
            let _ = writeln!(text, "{:>3}. {}: {how}", place + 1, miss.name);
        }
        text
    }

    /// Markdown: a table per role, the target and the ranking.
    pub fn markdown(&self) -> String {
        let mut text = String::new();
        for role in Role::ALL {
            let _ = writeln!(text, "### {}\n", role.title());
            text.push_str("| figure | slope | sizes | at the target | budget | ratio | how | command |\n");
            text.push_str("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
            for figure in self.figures.iter().filter(|figure| figure.role == role) {
                let _ = writeln!(text, "{}", markdown_row(figure));
            }
            text.push('\n');
        }
        text.push_str("### The size\n\n| asked | mechanism | part |\n| --- | --- | --- |\n");
        for target::Line { asked, mechanism, part } in &target::LINES {
            let _ = writeln!(text, "| {asked} | {} | {part} |", mechanism.unwrap_or("none"));
        }
        text.push_str("\n### Ranking\n\n| place | what | ratio |\n| --- | --- | --- |\n");
        for (place, miss) in self.ranking.iter().enumerate() {
            let ratio = miss.ratio.map_or("none exists".into(), rounded);
            let _ = writeln!(text, "| {} | {} | {ratio} |", place + 1, miss.name);
        }
        for part in &self.not_run {
            let _ = writeln!(text, "\nNot run: {part}");
        }
        text
    }
}

fn plain_row(figure: &Figure) -> String {
    let points: Vec<String> = figure
        .points
        .iter()
        .map(|point| {
            format!("{}: {} +-{}", rounded(point.size), rounded(point.median), rounded(point.spread / 2.0))
        })
        .collect();
    format!(
        "{}  [{}] by {}: {}  ~{} residual {}  at {}: {} {} ({}) {}",
        figure.name,
        figure.unit,
        figure.axis,
        points.join(", "),
        slope(figure),
        optional(figure.residual),
        rounded(figure.target_size),
        rounded(figure.at_target),
        figure.target_unit,
        figure.how.word(),
        verdict(figure),
    )
}

fn verdict(figure: &Figure) -> String {
    match (figure.budget, figure.ratio) {
        (Some(budget), Some(ratio)) => {
            let holds = if figure.holds == Some(true) { "holds" } else { "misses" };
            format!("of {}, ratio {}: {holds}", rounded(budget), rounded(ratio))
        }
        _ => "no budget".into(),
    }
}

fn markdown_row(figure: &Figure) -> String {
    let sizes = match figure.points.as_slice() {
        [] => "-".into(),
        [one] => rounded(one.size),
        [first, .., last] => format!("{} to {} {}", rounded(first.size), rounded(last.size), figure.axis),
    };
    let part = figure.name.split(':').next().unwrap_or_default();
    let note = if figure.note.is_empty() { String::new() } else { format!(" ({})", figure.note) };
    format!(
        "| {}{note} | {} | {sizes} | {} {} | {} | {} | {} | `capacity --only {part}` |",
        figure.name,
        slope(figure),
        rounded(figure.at_target),
        figure.target_unit,
        optional(figure.budget),
        optional(figure.ratio),
        figure.how.word(),
    )
}

/// The power law's exponent with two decimals.
fn slope(figure: &Figure) -> String {
    // Avoids a negative zero.
    figure
        .exponent
        .map_or("-".into(), |exponent| format!("n^{:.2}", exponent + 0.0))
        .replace("n^-0.00", "n^0.00")
}

fn optional(value: Option<f64>) -> String {
    value.map_or("-".into(), rounded)
}

/// Formats a number with three significant digits.
pub fn rounded(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 || value == value.trunc() {
        return format!("{value:.0}");
    }
    let places = if size >= 10.0 {
        1
    } else if size >= 1.0 {
        2
    } else {
        3 - size.log10().floor() as i32 - 1
    };
    format!("{value:.*}", places.clamp(0, 9) as usize)
}
