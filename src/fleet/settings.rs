//! `deploy/fleet.toml`: an initiator's part in a fleet. Checked whole; each error is one line that names the key and
//! what is allowed.

use super::member::Parameters;
use super::update::{Generation, MAX_NAME_BYTES};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Most seeds that may be given.
const MAX_SEEDS: usize = 16;
/// Periods may be so long, in milliseconds.
const PERIOD_RANGE_MS: std::ops::RangeInclusive<u64> = 20..=60_000;
/// An answer may take such a part of a period: helpers answer within the rest.
const MIN_PERIOD_PER_ANSWER: u64 = 3;

/// Everything that the file says, under its names.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// This member's.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where the others reach it.
    pub advertise: SocketAddr,
    /// Members by which a fleet may be bootstrapped.
    pub seeds: BTreeMap<String, SocketAddr>,
    /// One member is probed a period.
    pub period: Duration,
    /// How long an answer may take before helpers are asked for an indirect probe.
    pub ack_timeout: Duration,
    /// How many helpers.
    pub helpers: usize,
    /// How long a suspicion lasts at least, in periods, in a fleet of ten.
    pub suspicion_periods: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    enabled: bool,
    fleet: String,
    name: String,
    address: SocketAddr,
    advertise: Option<SocketAddr>,
    #[serde(default)]
    seed: Vec<Seed>,
    #[serde(default = "period_ms")]
    period_ms: u64,
    #[serde(default = "answer_ms")]
    answer_ms: u64,
    #[serde(rename = "lookers", default = "helpers")]
    helpers: usize,
    #[serde(rename = "doubt_periods", default = "suspicion_periods")]
    suspicion_periods: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Seed {
    name: String,
    address: SocketAddr,
}

fn period_ms() -> u64 {
    500
}

fn answer_ms() -> u64 {
    150
}

fn helpers() -> usize {
    3
}

fn suspicion_periods() -> f64 {
    6.0
}

impl Settings {
    /// Reads the text of `deploy/fleet.toml` or its like: nothing where it is switched off.
    pub fn parse(text: &str) -> Result<Option<Settings>, String> {
        let file: File = toml::from_str(text).map_err(|error| error.message().replace('\n', " "))?;
        let named = |key: &str, name: &str| match name.len() {
            1..=MAX_NAME_BYTES => Ok(()),
            _ => Err(format!("{key}: 1 to {MAX_NAME_BYTES} bytes are allowed")),
        };
        named("fleet", &file.fleet)?;
        named("name", &file.name)?;
        if !PERIOD_RANGE_MS.contains(&file.period_ms) {
            return Err(format!(
                "period_ms: {} to {} are allowed",
                PERIOD_RANGE_MS.start(),
                PERIOD_RANGE_MS.end()
            ));
        }
        let max = file.period_ms / MIN_PERIOD_PER_ANSWER;
        if !(1..=max).contains(&file.answer_ms) {
            return Err(format!("answer_ms: 1 to {max} are allowed, a third of period_ms"));
        }
        if !(1..=8).contains(&file.helpers) {
            return Err("lookers: 1 to 8 are allowed".into());
        }
        if !(2.0..=100.0).contains(&file.suspicion_periods) {
            return Err("doubt_periods: 2 to 100 are allowed".into());
        }
        if file.seed.is_empty() || file.seed.len() > MAX_SEEDS {
            return Err(format!("seed: 1 to {MAX_SEEDS} are allowed, the same on all members"));
        }
        let mut seeds = BTreeMap::new();
        for Seed { name, address } in file.seed {
            named("seed.name", &name)?;
            if seeds.insert(name.clone(), address).is_some() {
                return Err(format!("seed.name: {name:?} is there twice"));
            }
        }
        let advertise = file.advertise.unwrap_or(file.address);
        if advertise.ip().is_unspecified() || advertise.port() == 0 {
            return Err("advertise: an address is needed that the others reach".into());
        }
        if seeds.get(&file.name).is_some_and(|address| *address != advertise) {
            return Err(format!("seed: {:?} is this member, and has another address", file.name));
        }
        Ok(file.enabled.then_some(Settings {
            fleet: file.fleet,
            name: file.name,
            address: file.address,
            advertise,
            seeds,
            period: Duration::from_millis(file.period_ms),
            ack_timeout: Duration::from_millis(file.answer_ms),
            helpers: file.helpers,
            suspicion_periods: file.suspicion_periods,
        }))
    }

    /// For a member whose generation begins at this Unix time.
    pub fn parameters(&self, unix: Duration, seed: u64) -> Parameters {
        Parameters {
            name: self.name.clone(),
            address: self.advertise,
            generation: Generation(unix.as_millis() as u64),
            seeds: self.seeds.clone(),
            period: self.period,
            ack_timeout: self.ack_timeout,
            helpers: self.helpers,
            suspicion_periods: self.suspicion_periods,
            seed,
        }
    }
}

#[cfg(test)]
mod tests;
