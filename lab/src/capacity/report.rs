//! The report: one JSON object, a table for people, and tables in Markdown for the pages.

use super::figure::{Figure, Role};
use super::target;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Something that misses, worst first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Miss {
    /// The figure's name, or the line of the size that nothing carries.
    pub name: String,
    /// Value over budget; none: no mechanism exists.
    pub ratio: Option<f64>,
    /// What carries it: `none`, or `exists`.
    pub mechanism: String,
}

/// All of a run.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// What was measured.
    pub figures: Vec<Figure>,
    /// The run of hollow initiators; null where it was not asked for.
    pub hollow: Value,
    /// What misses.
    pub ranking: Vec<Miss>,
    /// The size that the figures are set against.
    pub target: BTreeMap<String, f64>,
    /// What was not measured, and why.
    pub not_run: Vec<String>,
    /// Few repeats and small sizes.
    pub short: bool,
    /// Seeds everything that is drawn.
    pub seed: u64,
}

/// What has no mechanism first, then what exceeds its budget, the worst first.
pub fn rank(figures: &[Figure], lines: &[target::Line]) -> Vec<Miss> {
    let absent = lines.iter().filter(|line| line.mechanism.is_none()).map(|line| Miss {
        name: line.asked.into(),
        ratio: None,
        mechanism: "none".into(),
    });
    let mut missed: Vec<Miss> = figures
        .iter()
        .filter(|figure| figure.holds == Some(false))
        .map(|figure| Miss { name: figure.name.clone(), ratio: figure.ratio, mechanism: "exists".into() })
        .collect();
    missed.sort_by(|a, b| b.ratio.partial_cmp(&a.ratio).unwrap_or(Ordering::Equal));
    absent.chain(missed).collect()
}

impl Report {
    /// For people.
    pub fn table(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        for figure in &self.figures {
            let _ = writeln!(text, "{}", line(figure));
        }
        for part in &self.not_run {
            let _ = writeln!(text, "not run: {part}");
        }
        for (place, miss) in self.ranking.iter().enumerate() {
            let how = miss
                .ratio
                .map_or("no mechanism".into(), |ratio| format!("{} times its budget", short(ratio)));
            let _ = writeln!(text, "{:>3}. {}: {how}", place + 1, miss.name);
        }
        text
    }

    /// Tables by role, and the ranking, as the page has them.
    pub fn markdown(&self) -> String {
        let mut text = String::new();
        for role in Role::ALL {
            let _ = writeln!(text, "### {}\n", role.title());
            text.push_str("| figure | slope | sizes | at the target | budget | ratio | how | command |\n");
            text.push_str("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
            for figure in self.figures.iter().filter(|figure| figure.role == role) {
                let _ = writeln!(text, "{}", row(figure));
            }
            text.push('\n');
        }
        text.push_str("### The size\n\n| asked | mechanism | part |\n| --- | --- | --- |\n");
        for target::Line { asked, mechanism, part } in &target::LINES {
            let _ = writeln!(text, "| {asked} | {} | {part} |", mechanism.unwrap_or("none"));
        }
        text.push_str("\n### Ranking\n\n| place | what | ratio |\n| --- | --- | --- |\n");
        for (place, miss) in self.ranking.iter().enumerate() {
            let ratio = miss.ratio.map_or("none exists".into(), short);
            let _ = writeln!(text, "| {} | {} | {ratio} |", place + 1, miss.name);
        }
        for part in &self.not_run {
            let _ = writeln!(text, "\nNot run: {part}");
        }
        text
    }
}

fn line(figure: &Figure) -> String {
    let points: Vec<String> = figure
        .points
        .iter()
        .map(|point| {
            format!("{}: {} +-{}", short(point.size), short(point.median), short(point.spread / 2.0))
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
        short(figure.target_size),
        short(figure.at_target),
        figure.target_unit,
        figure.how.word(),
        verdict(figure),
    )
}

fn verdict(figure: &Figure) -> String {
    match (figure.budget, figure.ratio) {
        (Some(budget), Some(ratio)) => {
            let holds = if figure.holds == Some(true) { "holds" } else { "misses" };
            format!("of {}, ratio {}: {holds}", short(budget), short(ratio))
        }
        _ => "no budget".into(),
    }
}

fn row(figure: &Figure) -> String {
    let sizes = match figure.points.as_slice() {
        [] => "-".into(),
        [one] => short(one.size),
        [first, .., last] => format!("{} to {} {}", short(first.size), short(last.size), figure.axis),
    };
    let part = figure.name.split(':').next().unwrap_or_default();
    let note = if figure.note.is_empty() { String::new() } else { format!(" ({})", figure.note) };
    format!(
        "| {}{note} | {} | {sizes} | {} {} | {} | {} | {} | `capacity --only {part}` |",
        figure.name,
        slope(figure),
        short(figure.at_target),
        figure.target_unit,
        optional(figure.budget),
        optional(figure.ratio),
        figure.how.word(),
    )
}

/// The law's exponent, to two places.
fn slope(figure: &Figure) -> String {
    // Without the sign of a zero.
    figure
        .exponent
        .map_or("-".into(), |exponent| format!("n^{:.2}", exponent + 0.0))
        .replace("n^-0.00", "n^0.00")
}

fn optional(value: Option<f64>) -> String {
    value.map_or("-".into(), short)
}

/// Three digits that count.
pub fn short(value: f64) -> String {
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
