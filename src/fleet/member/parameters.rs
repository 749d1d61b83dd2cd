//! Parameters of a member, fixed at its start.

use crate::fleet::update::Generation;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Parameters of a member, fixed at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Parameters {
    /// Its name.
    pub name: String,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Its first generation: a Unix time in milliseconds.
    pub generation: Generation,
    /// Members that bootstrap a fleet, a majority of them together, and that are asked for it at the start.
    pub seeds: BTreeMap<String, SocketAddr>,
    /// One member is probed a period.
    pub period: Duration,
    /// How long an answer may take before helpers are asked for an indirect probe.
    pub ack_timeout: Duration,
    /// How many helpers.
    pub helpers: usize,
    /// How long a suspicion lasts at least, in periods, in a fleet of ten.
    pub suspicion_periods: f64,
    /// Seed of its random numbers.
    pub seed: u64,
}
