//! The settings file `deploy/fleet.toml`: whether this initiator is a member of a fleet, and its parameters there. All
//! values are checked when the file is read; an error is one line that names the key and the allowed values.

use super::member::Parameters;
use super::update::{Generation, MAX_NAME_BYTES};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of seeds.
const MAX_SEEDS: usize = 16;
/// Allowed protocol periods, in milliseconds.
const PERIOD_RANGE_MS: std::ops::RangeInclusive<u64> = 20..=60_000;
/// The protocol period is at least this many times the ack timeout: the rest of it is left for indirect probes.
const MIN_PERIOD_PER_ANSWER: u64 = 3;

/// The values of the file, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of this member.
    pub name: String,
    /// Local UDP address that it binds.
    pub address: SocketAddr,
    /// Address under which the other members reach it.
    pub advertise: SocketAddr,
    /// Members, by name, that may bootstrap the fleet; the same on all members.
    pub seeds: BTreeMap<String, SocketAddr>,
    /// Protocol period: each member probes one other per period.
    pub period: Duration,
    /// How long to wait for an ack before helpers are asked for indirect probes.
    pub ack_timeout: Duration,
    /// Number of helpers asked for an indirect probe.
    pub helpers: usize,
    /// Minimum suspicion timeout, in protocol periods, for a fleet of up to ten members.
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
    #[serde(rename = "lookers")]
    #[serde(default = "helpers")]
    helpers: usize,
    #[serde(rename = "doubt_periods")]
    #[serde(default = "suspicion_periods")]
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
    /// Parses and checks the text of a fleet settings file; `None` if it has `enabled = false`.
    pub fn parse(text: &str) -> Result<Option<Settings>, String> {
        let file: File = toml::from_str(text).map_err(|error| error.message().replace('\n', " "))?;
        let check_name = |key: &str, name: &str| match name.len() {
            1..=MAX_NAME_BYTES => Ok(()),
            _ => Err(format!("{key}: 1 to {MAX_NAME_BYTES} bytes are allowed")),
        };
        check_name("fleet", &file.fleet)?;
        check_name("name", &file.name)?;
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
            check_name("seed.name", &name)?;
            if seeds.insert(name.clone(), address).is_some() {
                return Err(format!("seed.name: {name:?} is listed twice"));
            }
        }
        let advertise = file.advertise.unwrap_or(file.address);
        if advertise.ip().is_unspecified() || advertise.port() == 0 {
            return Err("advertise: an address that the other members can reach is required".into());
        }
        if seeds.get(&file.name).is_some_and(|address| *address != advertise) {
            return Err(format!(
                "seed: {:?} is this member, but its address differs from this member's",
                file.name
            ));
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

    /// Parameters of a member whose generation begins at this Unix time; `seed` initializes its random numbers.
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
