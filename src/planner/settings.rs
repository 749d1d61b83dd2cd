//! A planner's configuration file: the group of planners, the elections, and live configuration if it is enabled.

use crate::config;
use crate::interface;
use crate::revisions::agreement::VoterId;
use crate::revisions::document::Names;
use crate::shares::deal;
use crate::vrrp::routers::Router;
use crate::vrrp::settings::{Election, Interface};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Limits of one fleet: planners and partitions.
const MAX_PLANNERS: usize = 16;
const MAX_PARTITIONS: u16 = 64;
/// Numbers of planners that can agree on revisions: odd, since one more planner than that tolerates no further failure.
const ALLOWED_GROUP_SIZES: [usize; 3] = [1, 3, 5];
/// Election priority of the first planner of a partition, and the difference from each planner to the next.
const HIGHEST_PRIORITY: u8 = 250;
const PRIORITY_STEP: u8 = 10;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    listen: SocketAddr,
    name: String,
    planners: Vec<String>,
    partitions: Option<u16>,
    vrrp: Election,
    configuration: Option<FileConfiguration>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileConfiguration {
    directory: PathBuf,
    initiator: PathBuf,
    #[serde(default)]
    peer: Vec<FilePeer>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FilePeer {
    name: String,
    address: SocketAddr,
}

/// The checked settings of a planner.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where initiators, other planners and operators' commands connect.
    pub listen: SocketAddr,
    /// Its name among the planners.
    pub name: String,
    /// Where it receives the other planners' election messages.
    pub interface: Interface,
    /// Its part in the election of each partition's leader.
    pub routers: Vec<Router>,
    /// Live configuration, if enabled.
    pub configuration: Option<Configuration>,
}

/// The settings of live configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The directory of the store.
    pub directory: PathBuf,
    /// The initiator's configuration file; documents are checked against its settings and names.
    pub initiator: PathBuf,
    /// The names of all planners, sorted. A voter's id is its position plus one.
    pub planners: Vec<String>,
    /// The id of this planner.
    pub voter: VoterId,
    /// The other planners.
    pub peers: Vec<Peer>,
}

/// Another planner.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// The planner's id.
    pub voter: VoterId,
    /// The planner's name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Config {
    /// Reads a file. The error is one line.
    pub fn read(path: &Path) -> Result<Config, String> {
        let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        Config::parse(&text).map_err(|why| format!("{}: {why}", path.display()))
    }

    /// Parses the text of a file. The error is one line.
    pub fn parse(text: &str) -> Result<Config, String> {
        let file: File = toml::from_str(text).map_err(|error| error.message().to_string())?;
        let names: HashSet<&String> = file.planners.iter().collect();
        if file.planners.len() > MAX_PLANNERS || names.len() != file.planners.len() {
            return Err(format!("planners: the names of all, at most {MAX_PLANNERS}, each once"));
        }
        let Some(own) = file.planners.iter().position(|name| *name == file.name) else {
            return Err(format!("name: {:?} is not among planners", file.name));
        };
        let partitions = file.partitions.unwrap_or(file.planners.len() as u16);
        if !(1..=MAX_PARTITIONS).contains(&partitions) {
            return Err(format!("partitions: {partitions} is not allowed, 1 to {MAX_PARTITIONS} are"));
        }
        let candidates: Vec<u64> = file.planners.iter().map(|name| deal::hash(name)).collect();
        let rank = |partition: u16| {
            let order = deal::order(deal::hash(&format!("partition {partition}")), &candidates);
            order.iter().position(|at| *at == own).unwrap_or(0) as u8
        };
        let priorities: Vec<u8> =
            (0..partitions).map(|partition| HIGHEST_PRIORITY - PRIORITY_STEP * rank(partition)).collect();
        let (interface, routers) = file.vrrp.check(&priorities).map_err(|why| format!("vrrp: {why}"))?;
        let configuration = file
            .configuration
            .map(|section| section.check(&file.name, &file.planners))
            .transpose()
            .map_err(|why| format!("configuration: {why}"))?;
        Ok(Config { listen: file.listen, name: file.name, interface, routers, configuration })
    }
}

impl FileConfiguration {
    fn check(self, own: &str, planners: &[String]) -> Result<Configuration, String> {
        if !ALLOWED_GROUP_SIZES.contains(&planners.len()) {
            return Err(format!("{} planners can't agree on revisions, 1, 3 or 5 can", planners.len()));
        }
        let mut planners = planners.to_vec();
        planners.sort_unstable();
        let voter = |name: &str| {
            planners.iter().position(|planner| planner == name).map(|position| VoterId(position as u64 + 1))
        };
        let mut peers: Vec<Peer> = Vec::new();
        for FilePeer { name, address } in self.peer {
            let Some(voter) = voter(&name).filter(|_| name != own) else {
                return Err(format!("peer: {name:?} is not among the other planners"));
            };
            if peers.iter().any(|peer| peer.name == name || peer.address == address) {
                return Err(format!("peer: {name:?} or {address} is stated twice"));
            }
            peers.push(Peer { voter, name, address });
        }
        let is_missing = |name: &&String| *name != own && !peers.iter().any(|peer| peer.name == **name);
        if let Some(missing) = planners.iter().find(is_missing) {
            return Err(format!("peer: the address of {missing:?} is missing"));
        }
        let own = voter(own).ok_or_else(|| format!("{own:?} is not among planners"))?;
        let FileConfiguration { directory, initiator, .. } = self;
        Ok(Configuration { directory, initiator, planners, voter: own, peers })
    }
}

impl Configuration {
    /// The ids of all planners.
    pub fn voters(&self) -> Vec<VoterId> {
        (1..=self.planners.len() as u64).map(VoterId).collect()
    }

    /// The name of a planner.
    pub fn planner(&self, voter: VoterId) -> Option<&str> {
        let position = usize::try_from(voter.0).ok()?.checked_sub(1)?;
        self.planners.get(position).map(String::as_str)
    }

    /// Reads the settings and names that documents are checked against. The error is one line.
    pub fn read_initiator(&self) -> Result<(interface::Settings, Names), String> {
        let path = self.initiator.display();
        let text = std::fs::read(&self.initiator).map_err(|error| format!("{path}: {error}"))?;
        let initiator = config::Config::parse(&text).map_err(|why| format!("{path}: {why}"))?;
        let names = Names { classes: initiator.wire.classes, plans: initiator.wire.plans };
        Ok((initiator.settings, names))
    }
}

#[cfg(test)]
mod tests;
