//! Text output of revisions for operators.

use crate::revisions::document::Document;
use crate::revisions::Revision;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

const MS_A_DAY: u64 = 86_400_000;

/// A revision: its author and time as comments, then its document in TOML.
pub fn revision(revision: &Revision) -> String {
    let Revision { id, author, submitted_ms, document } = revision;
    let time = utc(*submitted_ms);
    format!("# revision {id}, submitted by {author} at {time}\n# hash {}\n{}", id.hash, document.to_toml())
}

/// The differences between two documents, one key per line; empty if they are equal.
pub fn compare(one: &Document, other: &Document) -> String {
    let (one, other) = (keys(one), keys(other));
    let all: BTreeSet<&String> = one.keys().chain(other.keys()).collect();
    let mut text = String::new();
    for key in all {
        let (before, after) = (one.get(key), other.get(key));
        if before == after {
            continue;
        }
        let value = |value: Option<&String>| value.map_or("(not stated)".to_string(), String::clone);
        // Writing to a string can't fail.
        let _ = writeln!(text, "{key}: {} -> {}", value(before), value(after));
    }
    text
}

/// Each key of a document with its value, both in TOML.
fn keys(document: &Document) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    let table = toml::from_str::<toml::Table>(&document.to_toml()).unwrap_or_default();
    table.into_iter().for_each(|(key, value)| collect_keys(key, value, &mut values));
    values
}

fn collect_keys(key: String, value: toml::Value, values: &mut BTreeMap<String, String>) {
    match value {
        toml::Value::Table(table) => {
            table
                .into_iter()
                .for_each(|(inner, value)| collect_keys(format!("{key}.{inner}"), value, values));
        }
        value => drop(values.insert(key, value.to_string())),
    }
}

/// A Unix time in milliseconds as RFC 3339 text. The date is computed with Howard Hinnant's `civil_from_days`.
pub fn utc(unix_ms: u64) -> String {
    let (days, ms) = (unix_ms / MS_A_DAY + 719_468, unix_ms % MS_A_DAY);
    let (era, day_of_era) = (days / 146_097, days % 146_097);
    let year_of_era = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    let (hours, minutes, seconds) = (ms / 3_600_000, ms / 60_000 % 60, ms / 1_000 % 60);
    format!("{year:04}-{month:02}-{day:02}T{hours:02}:{minutes:02}:{seconds:02}Z")
}

#[cfg(test)]
mod tests;
