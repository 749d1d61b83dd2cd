//! The parameters of a member.

use crate::fleet::update::Generation;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Parameters of a member, fixed at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Parameters {
    /// Its name.
    pub name: String,
    /// Address under which the other members reach it.
    pub address: SocketAddr,
    /// Its first generation: a Unix time in milliseconds.
    pub generation: Generation,
    /// Members, by name, of which a majority bootstraps the fleet, and which a joining member asks for admission.
    pub seeds: BTreeMap<String, SocketAddr>,
    /// Protocol period: one member is probed per period.
    pub period: Duration,
    /// How long to wait for an ack before helpers are asked for indirect probes.
    pub ack_timeout: Duration,
    /// Number of helpers asked for an indirect probe.
    pub helpers: usize,
    /// Minimum suspicion timeout, in protocol periods, for a fleet of up to ten members.
    pub suspicion_periods: f64,
    /// Seed of its random numbers.
    pub seed: u64,
}
