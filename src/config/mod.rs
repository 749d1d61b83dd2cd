//! Configuration of an initiator: the JSON file that `NODE_CONFIG` names, and the TOML files beside it.

pub mod iscsi;

use crate::discovery::ListMessage;
use crate::fleet;
use crate::interface::Settings;
use crate::revisions::document::Names;
use crate::settings;
use crate::vrrp;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Paths of the configuration files.
#[derive(Clone, Debug)]
pub struct Files {
    /// Main configuration (JSON).
    pub config: PathBuf,
    /// iSCSI front.
    pub iscsi: PathBuf,
    /// Remote planners.
    pub planners: PathBuf,
    /// VRRP.
    pub vrrp: PathBuf,
    /// Fleet membership.
    pub fleet: PathBuf,
    /// Address of the admin endpoint, used if the main configuration has none.
    pub control: Option<String>,
}

/// The whole configuration of an initiator.
#[derive(Debug)]
pub struct Config {
    /// Name of the initiator.
    pub name: String,
    /// Address for RESP clients.
    pub listen: SocketAddr,
    /// Address of the admin endpoint, if it is on.
    pub control: Option<SocketAddr>,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Share of a processor core that the process may use.
    pub cores: f64,
    /// Limit of file descriptors.
    pub sockets: usize,
    /// Limit of memory in bytes.
    pub memory: usize,
    /// The last known node list.
    pub known: Option<ListMessage>,
    /// Settings of the scheduler in force.
    pub settings: Settings,
    /// Settings of the scheduler as written in the file, without derived changes.
    pub configured_settings: Settings,
    /// Settings of the protocols.
    pub wire: Wire,
    /// The iSCSI front, if it is enabled.
    pub iscsi: Option<iscsi::Iscsi>,
    /// Addresses of the remote planners; without any, each initiator has an even share of the limits.
    pub planners: Vec<SocketAddr>,
    /// Number of partitions distributed over the planners.
    pub partitions: usize,
    /// Whether planners may change settings at run time: if enabled, and the settings allow talk between initiators.
    pub live_configuration: bool,
    /// VRRP, if it is enabled.
    pub vrrp: Option<vrrp::settings::Settings>,
    /// Fleet membership, if it is enabled and the settings allow talk between initiators.
    pub fleet: Option<fleet::settings::Settings>,
}

/// Settings that only the protocols need.
#[derive(Clone, Debug, PartialEq)]
pub struct Wire {
    /// Names of the classes; the scheduler refers to them by index.
    pub classes: Vec<String>,
    /// Longest time that clients of each class wait.
    pub deadlines: Vec<Duration>,
    /// Names of the plans.
    pub plans: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Idle time after which targets close a connection.
    pub conn_idle: Duration,
    /// Whether the settings allow talk between initiators.
    pub peers: bool,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    control: Option<SocketAddr>,
    discovery: SocketAddr,
    seed: String,
    limits: FileLimits,
    #[serde(default)]
    known: Option<serde_json::Value>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct FileLimits {
    cores: f64,
    memory_mb: f64,
    sockets: usize,
}

#[derive(Deserialize)]
struct WireSettings {
    classes: Vec<Named>,
    service_levels: Vec<Named>,
    #[serde(default)]
    zones: Vec<String>,
    limits: WireLimits,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

#[derive(Deserialize)]
struct WireLimits {
    connect_timeout_ms: f64,
    conn_idle_ms: f64,
    #[serde(default = "yes")]
    peers: bool,
}

fn yes() -> bool {
    true
}

impl Config {
    /// Reads all configuration files. The error is a single line.
    pub fn read(files: &Files) -> Result<Config, String> {
        let Files { config: path, iscsi, planners, vrrp, fleet, control } = files;
        let text = std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
        let mut config = Config::parse(&text).map_err(|why| format!("{}: {why}", path.display()))?;
        if let (None, Some(control)) = (config.control, control) {
            let address =
                control.parse().map_err(|_| format!("NODE_CONTROL: {control:?} is not ADDRESS:PORT"))?;
            config.control = Some(address);
        }
        config.iscsi = iscsi::Iscsi::read(iscsi, &mut config.settings, &mut config.wire)
            .map_err(|why| format!("{}: {why}", iscsi.display()))?;
        let remote =
            RemotePlanners::read(planners).map_err(|why| format!("{}: {why}", planners.display()))?;
        (config.planners, config.partitions) = (remote.planners, remote.partitions);
        config.live_configuration = remote.configuration && config.wire.peers;
        if remote.configuration && !config.wire.peers {
            let why = "configuration: disabled, because the settings forbid talk between initiators";
            tracing::warn!("{}: {why}", planners.display());
        }
        config.vrrp =
            vrrp::settings::Settings::read(vrrp).map_err(|why| format!("{}: {why}", vrrp.display()))?;
        let fleet_settings = read_optional(fleet)
            .and_then(|text| text.map_or(Ok(None), |text| fleet::settings::Settings::parse(&text)))
            .map_err(|why| format!("{}: {why}", fleet.display()))?;
        if config.wire.peers {
            config.fleet = fleet_settings;
        } else if fleet_settings.is_some() {
            tracing::warn!(
                "{}: disabled, because the settings forbid talk between initiators",
                fleet.display()
            );
        }
        if config.vrrp.is_some() && !config.planners.is_empty() {
            // Planners move shares of limits that are the same for all initiators, but the machines of a virtual
            // router have limits of their own.
            let why = "enabled: not beside VRRP, whose machines have fixed parts of the limits";
            return Err(format!("{}: {why}", planners.display()));
        }
        Ok(config)
    }

    /// Names that a live configuration may refer to.
    pub fn names(&self) -> Names {
        Names { classes: self.wire.classes.clone(), plans: self.wire.plans.clone() }
    }

    /// Names the differences to another configuration that need a restart.
    pub(crate) fn fixed_changes(&self, new: &Config) -> Vec<&'static str> {
        let changes = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("control", self.control != new.control),
            ("limits", (self.cores, self.sockets, self.memory) != (new.cores, new.sockets, new.memory)),
            ("settings", self.configured_settings != new.configured_settings || self.wire != new.wire),
            ("the second front", self.iscsi != new.iscsi),
            ("planners", (&self.planners, self.partitions) != (&new.planners, new.partitions)),
            ("live configuration", self.live_configuration != new.live_configuration),
            ("the fleet", self.fleet != new.fleet),
            ("whether VRRP is on", self.vrrp.is_some() != new.vrrp.is_some()),
        ];
        changes.into_iter().filter(|(_, changed)| *changed).map(|(what, _)| what).collect()
    }

    pub(crate) fn parse(text: &[u8]) -> Result<Config, String> {
        let file: File = serde_json::from_slice(text).map_err(|error| error.to_string())?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed {:?} is not a hexadecimal number", file.seed))?;
        let wire: WireSettings = WireSettings::deserialize(&file.settings)
            .map_err(|error| format!("unusable settings: {error}"))?;
        let settings = settings::parse(file.settings.to_string().as_bytes())
            .map_err(|why| format!("unusable settings: {why}"))?;
        if file.limits.sockets < 64 {
            return Err(format!("limits.sockets is {}: at least 64 are needed", file.limits.sockets));
        }
        if !(file.limits.cores > 0.0 && file.limits.cores.is_finite()) {
            return Err(format!("limits.cores is {}: more than 0 is needed", file.limits.cores));
        }
        let known = match file.known {
            None | Some(serde_json::Value::Null) => None,
            // An invalid saved list does not prevent the start: discovery sends the current one.
            Some(known) => ListMessage::parse(known.to_string().as_bytes())
                .inspect_err(|why| tracing::warn!("ignoring the saved node list: {why}"))
                .ok(),
        };
        let names = |all: Vec<Named>| all.into_iter().map(|one| one.name).collect();
        Ok(Config {
            name: file.name,
            listen: file.listen,
            control: file.control,
            discovery: file.discovery,
            seed,
            cores: file.limits.cores.clamp(0.01, 1.0),
            sockets: file.limits.sockets,
            memory: (file.limits.memory_mb.max(1.0) * 1048576.0) as usize,
            known,
            wire: Wire {
                deadlines: settings.classes.iter().map(|class| class.deadline).collect(),
                classes: names(wire.classes),
                plans: names(wire.service_levels),
                zones: wire.zones,
                connect_timeout: millis("connect_timeout_ms", wire.limits.connect_timeout_ms)?,
                conn_idle: millis("conn_idle_ms", wire.limits.conn_idle_ms)?,
                peers: wire.limits.peers,
            },
            configured_settings: settings.clone(),
            settings,
            iscsi: None,
            planners: Vec::new(),
            partitions: 0,
            live_configuration: false,
            vrrp: None,
            fleet: None,
        })
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannersFile {
    enabled: bool,
    planners: Vec<SocketAddr>,
    partitions: Option<usize>,
    #[serde(default)]
    configuration: bool,
}

/// The file of remote planners; without it there are none.
#[derive(Debug, Default, PartialEq)]
struct RemotePlanners {
    /// Addresses of the planners.
    planners: Vec<SocketAddr>,
    /// Number of partitions that volumes are distributed over.
    partitions: usize,
    /// Whether the planners may change settings at run time.
    configuration: bool,
}

impl RemotePlanners {
    fn read(path: &Path) -> Result<Self, String> {
        let text = read_optional(path)?;
        text.map_or_else(|| Ok(RemotePlanners::default()), |text| RemotePlanners::parse(&text))
    }

    fn parse(text: &str) -> Result<Self, String> {
        let file: PlannersFile = toml::from_str(text).map_err(|error| error.message().to_string())?;
        let partitions = file.partitions.unwrap_or(file.planners.len());
        if file.configuration && !file.enabled {
            return Err("configuration: true is not allowed without planners (enabled = false)".into());
        }
        if !file.enabled {
            return Ok(RemotePlanners::default());
        }
        if !(1..=16).contains(&file.planners.len()) {
            return Err(format!("planners: {} of them, 1 to 16 are allowed", file.planners.len()));
        }
        if !(1..=64).contains(&partitions) {
            return Err(format!("partitions: {partitions} is not allowed, 1 to 64 are"));
        }
        Ok(RemotePlanners { planners: file.planners, partitions, configuration: file.configuration })
    }
}

fn read_optional(path: &Path) -> Result<Option<String>, String> {
    match std::fs::read_to_string(path) {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        other => other.map(Some).map_err(|error| error.to_string()),
    }
}

fn millis(name: &str, value: f64) -> Result<Duration, String> {
    Duration::try_from_secs_f64(value / 1000.0)
        .ok()
        .filter(|span| !span.is_zero())
        .ok_or_else(|| format!("unusable settings: limits.{name} is {value}"))
}

#[cfg(test)]
mod tests;
