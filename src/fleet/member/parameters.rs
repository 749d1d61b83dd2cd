//! What a member is told at its start.

use crate::fleet::life::Life;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a member is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Parameters {
    /// Its name.
    pub name: String,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Its first life: a Unix time in milliseconds.
    pub life: Life,
    /// Members that a fleet may be founded by, most of them together, and that are asked for it at the start.
    pub seeds: BTreeMap<String, SocketAddr>,
    /// One member is probed a period.
    pub period: Duration,
    /// How long an answer may take before others are asked to look.
    pub answer: Duration,
    /// How many others.
    pub lookers: usize,
    /// How long a doubt lasts at least, in periods, in a fleet of ten.
    pub doubt_periods: f64,
    /// Seeds what it draws.
    pub seed: u64,
}
