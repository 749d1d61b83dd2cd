//! Options that the experiments' subcommands share, and the output of their JSON reports.

use clap::Args;
use serde_json::{json, Map, Value};

/// Options of every experiment.
#[derive(Args)]
pub struct Common {
    /// Run a short variant with few repeats.
    #[arg(long)]
    pub short: bool,
    /// Print the report as one JSON object on the last line.
    #[arg(long)]
    pub json: bool,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Options of an experiment that has several parts.
#[derive(Args)]
pub struct Parts {
    #[command(flatten)]
    pub common: Common,
    /// Run only this part (default: all).
    #[arg(long)]
    only: Option<String>,
}

impl Parts {
    /// Whether a part is to run.
    pub fn want(&self, part: &str) -> bool {
        self.only.as_deref().is_none_or(|only| only == part)
    }

    /// Whether a part was selected by name, not merely as one of all.
    pub fn asked_for(&self, part: &str) -> bool {
        self.only.as_deref() == Some(part)
    }

    /// Fails if the selected part is none of these.
    pub fn check(&self, parts: &[&str]) -> Result<(), String> {
        match &self.only {
            Some(only) if !parts.contains(&only.as_str()) => {
                Err(format!("--only {only}: one of {} is allowed", parts.join(", ")))
            }
            _ => Ok(()),
        }
    }
}

impl Common {
    /// Prints the report, with the seed added, if `--json` was given.
    pub fn finish(&self, mut report: Map<String, Value>) {
        report.insert("seed".into(), json!(self.seed));
        if self.json {
            println!("{}", Value::Object(report));
        }
    }
}
