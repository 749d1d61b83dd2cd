//! The VRRP settings: the file `deploy/vrrp.toml` of an initiator, and the `[vrrp]` table in a planner's file. All
//! values are checked when the file is read; an error is one line that names the key and the allowed values.

use super::machine::Parameters;
use super::packet::{Coverage, Family, CENTISECOND, MAX_ADDRESSES, MAX_INTERVAL};
use super::routers::Router;
use super::track::{Condition, Rule};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Maximum number of peers on one interface.
const MAX_PEERS: usize = 32;
/// Maximum number of virtual routers of one process: the number of VRIDs.
pub const MAX_ROUTERS: usize = 255;
/// Maximum timeout of a takeover command.
const MAX_COMMAND_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of hosts that share the limits.
const MAX_MACHINES: u64 = 16;

/// A UDP socket address for advertisements, with the peers on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interface {
    /// The local UDP address. Its IP address is the primary address of VRRP.
    pub address: SocketAddr,
    /// UDP addresses of the other hosts.
    pub peers: Vec<SocketAddr>,
}

/// How this host acquires an address when it becomes Active.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeoverMethod {
    /// Listen at it, even if it is not local yet.
    Bind,
    /// Run a command that moves it to this host, then listen at it.
    Command {
        /// Program and arguments that acquire the addresses.
        take: Vec<String>,
        /// Program and arguments that release the addresses.
        release: Vec<String>,
        /// A command that runs longer is killed.
        timeout: Duration,
    },
}

/// One virtual router and the endpoints at its addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Configuration of the virtual router.
    pub router: Router,
    /// Accept_Mode of RFC 9568: whether packets to the addresses are accepted while Active. An address owner always
    /// accepts them.
    pub accept: bool,
    /// Address for RESP2 clients while Active.
    pub listen: Option<SocketAddr>,
    /// Address for iSCSI clients while Active.
    pub listen_iscsi: Option<SocketAddr>,
}

/// Settings of the tracked conditions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tracking {
    /// Interval between checks.
    pub check_interval: Duration,
    /// Discovery counts as silent after this time without a message.
    pub discovery_silent: Duration,
    /// An iteration of the event loop is late if it takes longer than this or begins later than this after its due
    /// time.
    pub loop_late: Duration,
    /// Percentage of the memory limit above which memory is short.
    pub memory_percent: u8,
    /// Path of the file whose existence is tracked.
    pub file: Option<PathBuf>,
    /// The tracked conditions and their effects.
    pub rules: Vec<Rule>,
}

/// The VRRP settings of an initiator.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// One interface per address family in use.
    pub interfaces: Vec<Interface>,
    /// The virtual routers with their endpoints.
    pub services: Vec<Service>,
    /// The conditions that lower the priorities.
    pub tracking: Tracking,
    /// How addresses are acquired and released.
    pub takeover: TakeoverMethod,
    /// This host's share of the limits that the hosts have in common.
    pub share: crate::handover::Share,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    enabled: bool,
    #[serde(default)]
    interface: Vec<FileInterface>,
    #[serde(default)]
    router: Vec<FileRouter>,
    #[serde(default)]
    tracking: FileTracking,
    #[serde(default)]
    address: FileAddress,
    handover: Option<FileHandover>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileInterface {
    address: SocketAddr,
    peers: Vec<SocketAddr>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileRouter {
    name: String,
    vrid: i64,
    priority: i64,
    interval_ms: i64,
    addresses: Vec<IpAddr>,
    #[serde(default = "default_true")]
    preempt: bool,
    #[serde(default)]
    preempt_delay_ms: i64,
    #[serde(default = "default_true")]
    accept: bool,
    #[serde(default)]
    ipv4_checksum: FileCoverage,
    listen: Option<SocketAddr>,
    listen_iscsi: Option<SocketAddr>,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum FileCoverage {
    #[default]
    PseudoHeader,
    Message,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FileTracking {
    every_ms: i64,
    discovery_silent_ms: i64,
    loop_late_ms: i64,
    memory_percent: i64,
    file: Option<PathBuf>,
    rule: Vec<FileRule>,
}

impl Default for FileTracking {
    fn default() -> Self {
        FileTracking {
            every_ms: 250,
            discovery_silent_ms: 10_000,
            loop_late_ms: 200,
            memory_percent: 90,
            file: None,
            rule: Vec::new(),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileRule {
    condition: Condition,
    #[serde(rename = "lowers")]
    priority_decrement: i64,
    fall: Option<i64>,
    rise: Option<i64>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FileAddress {
    take: Vec<String>,
    release: Vec<String>,
    limit_ms: Option<i64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileHandover {
    machines: i64,
    rate_share: f64,
    burst_share: f64,
}

fn default_true() -> bool {
    true
}

impl Settings {
    /// Reads a VRRP settings file; `None` if it does not exist or has `enabled = false`.
    pub fn read(path: &Path) -> Result<Option<Settings>, String> {
        match std::fs::read_to_string(path) {
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error.to_string()),
            Ok(text) => Settings::parse(&text),
        }
    }

    /// Parses and checks the text of a VRRP settings file; `None` if it has `enabled = false`.
    pub fn parse(text: &str) -> Result<Option<Settings>, String> {
        let file: File = toml::from_str(text).map_err(|error| one_line(text, &error))?;
        if file.enabled && file.router.is_empty() {
            return Err("router: at least one is required if enabled = true".into());
        }
        // A disabled file is checked too, so that enabling it cannot fail unexpectedly.
        let settings = if file.router.is_empty() { None } else { Some(file.check()?) };
        Ok(settings.filter(|_| file.enabled))
    }

    /// The virtual routers without their endpoints.
    pub fn routers(&self) -> Vec<Router> {
        self.services.iter().map(|service| service.router.clone()).collect()
    }

    /// Names of the tables that differ in `new` and take effect only after a restart.
    pub fn changes_needing_restart(&self, new: &Settings) -> Vec<&'static str> {
        let without_priorities = |settings: &Settings| {
            let mut services = settings.services.clone();
            services.iter_mut().for_each(|service| service.router.priority = 1);
            services
        };
        let changes = [
            ("interface", self.interfaces != new.interfaces),
            ("router", without_priorities(self) != without_priorities(new)),
            ("address", self.takeover != new.takeover),
            ("handover", self.share != new.share),
        ];
        changes.into_iter().filter(|(_, changed)| *changed).map(|(what, _)| what).collect()
    }
}

impl File {
    fn check(&self) -> Result<Settings, String> {
        let mut interfaces: Vec<Interface> = Vec::new();
        for it in &self.interface {
            let interface = Interface { address: it.address, peers: it.peers.clone() };
            interface.check()?;
            if interfaces.iter().any(|other| other.address.is_ipv4() == it.address.is_ipv4()) {
                return Err("interface: at most one for IPv4 and one for IPv6".into());
            }
            interfaces.push(interface);
        }
        if self.router.len() > MAX_ROUTERS {
            return Err(format!("router: {} of them, at most {MAX_ROUTERS} are allowed", self.router.len()));
        }
        let services = self.router.iter().map(|router| router.check(&interfaces));
        let services: Vec<Service> = services.collect::<Result<_, _>>()?;
        let (mut names, mut numbers, mut listening) = (HashSet::new(), HashSet::new(), HashSet::new());
        for Service { router, listen, listen_iscsi, .. } in &services {
            if !names.insert(&router.name) || !numbers.insert((router.family(), router.vrid)) {
                return Err(format!(
                    "router {:?}: name and vrid differ from those of all others",
                    router.name
                ));
            }
            if listen.iter().chain(listen_iscsi).any(|address| !listening.insert(address)) {
                return Err(format!("router {:?}: listen differs from those of all others", router.name));
            }
        }
        let owner = services.iter().any(|service| service.router.priority == 255);
        let tracking = self.tracking.check(owner)?;
        let Some(handover) = &self.handover else {
            return Err(
                "handover: missing; it says how many machines share the limits, and the share of this one"
                    .into(),
            );
        };
        let machines = within("handover.machines", handover.machines, 1, MAX_MACHINES)? as u32;
        let (rate, burst) = (handover.rate_share, handover.burst_share);
        for (key, value) in [("rate_share", rate), ("burst_share", burst)] {
            if !(value > 0.0 && value <= 1.0) {
                return Err(format!(
                    "handover.{key}: {value} is not allowed, more than 0 and at most 1 is; all machines' sum to at most 1"
                ));
            }
        }
        let share = crate::handover::Share { machines, rate, burst };
        Ok(Settings { interfaces, services, tracking, takeover: self.address.check()?, share })
    }
}

impl Interface {
    fn check(&self) -> Result<(), String> {
        let key = format!("interface {}", self.address);
        if self.address.ip().is_unspecified() || self.address.ip().is_multicast() {
            return Err(format!(
                "{key}: address: one address of this machine is required for checksums and ties"
            ));
        }
        if self.peers.is_empty() || self.peers.len() > MAX_PEERS {
            return Err(format!("{key}: peers: 1 to {MAX_PEERS} are allowed"));
        }
        let valid = |peer: &SocketAddr| {
            peer.is_ipv4() == self.address.is_ipv4() && *peer != self.address && peer.port() > 0
        };
        match self.peers.iter().find(|peer| !valid(peer)) {
            Some(peer) => Err(format!("{key}: peers: {peer} is not another address of the same family")),
            None => Ok(()),
        }
    }
}

impl FileRouter {
    fn check(&self, interfaces: &[Interface]) -> Result<Service, String> {
        let key = |name: &str| format!("router {:?}: {name}", self.name);
        if self.name.is_empty() || self.name.len() > 64 {
            return Err(format!("router {:?}: name: 1 to 64 bytes are allowed", self.name));
        }
        if self.addresses.is_empty() || self.addresses.len() > MAX_ADDRESSES {
            return Err(format!("{}: 1 to {MAX_ADDRESSES} are allowed", key("addresses")));
        }
        let family = Family::of(self.addresses[0]);
        if self.addresses.iter().any(|address| Family::of(*address) != family) {
            return Err(format!("{}: all of one family, IPv4 or IPv6", key("addresses")));
        }
        let interface = interfaces.iter().find(|it| Family::of(it.address.ip()) == family);
        let interface =
            interface.ok_or_else(|| format!("{}: no interface of their family", key("addresses")))?;
        let interval = within(&key("interval_ms"), self.interval_ms, 10, MAX_INTERVAL.as_millis() as u64)?;
        if interval % CENTISECOND.as_millis() as u64 != 0 {
            return Err(format!("{}: {interval} is not allowed, a multiple of 10 is", key("interval_ms")));
        }
        let delay = within(&key("preempt_delay_ms"), self.preempt_delay_ms, 0, 3_600_000)?;
        let priority = within(&key("priority"), self.priority, 0, 255)? as u8;
        let router = Router {
            name: self.name.clone(),
            vrid: within(&key("vrid"), self.vrid, 1, 255)? as u8,
            priority,
            addresses: self.addresses.clone(),
            parameters: Parameters {
                interval: Duration::from_millis(interval),
                preempt: self.preempt,
                preempt_delay: Duration::from_millis(delay),
                address: interface.address.ip(),
            },
            coverage: match self.ipv4_checksum {
                FileCoverage::PseudoHeader => Coverage::PseudoHeader,
                FileCoverage::Message => Coverage::Message,
            },
        };
        let (listen, listen_iscsi) = (self.listen, self.listen_iscsi);
        Ok(Service { router, accept: self.accept, listen, listen_iscsi })
    }
}

impl FileTracking {
    fn check(&self, owner: bool) -> Result<Tracking, String> {
        let span = |name: &str, value: i64, min: u64, max: u64| {
            within(&format!("tracking.{name}"), value, min, max).map(Duration::from_millis)
        };
        let mut rules: Vec<Rule> = Vec::new();
        for rule in &self.rule {
            let key = |name: &str| format!("tracking.rule {:?}: {name}", rule.condition.name());
            let counts = |name: &str, value: Option<i64>| within(&key(name), value.unwrap_or(3), 1, 1000);
            if rules.iter().any(|other| other.condition == rule.condition) {
                return Err(format!("{}: at most one rule for each", key("condition")));
            }
            let priority_decrement = within(&key("lowers"), rule.priority_decrement, 0, 254)? as u8;
            if owner && priority_decrement > 0 {
                return Err(format!(
                    "{}: only 0, maintenance, is allowed beside an owner (255)",
                    key("lowers")
                ));
            }
            let (fall, rise) = (counts("fall", rule.fall)? as u32, counts("rise", rule.rise)? as u32);
            rules.push(Rule { condition: rule.condition, priority_decrement, fall, rise });
        }
        let wants_file = rules.iter().any(|rule| rule.condition == Condition::File);
        if wants_file && self.file.is_none() {
            return Err("tracking.file: missing; the rule \"file\" needs the name of one".into());
        }
        Ok(Tracking {
            check_interval: span("every_ms", self.every_ms, 10, 60_000)?,
            discovery_silent: span("discovery_silent_ms", self.discovery_silent_ms, 100, 3_600_000)?,
            loop_late: span("loop_late_ms", self.loop_late_ms, 1, 60_000)?,
            memory_percent: within("tracking.memory_percent", self.memory_percent, 1, 100)? as u8,
            file: self.file.clone(),
            rules,
        })
    }
}

impl FileAddress {
    fn check(&self) -> Result<TakeoverMethod, String> {
        let max = MAX_COMMAND_TIMEOUT.as_millis() as u64;
        let limit = within("address.limit_ms", self.limit_ms.unwrap_or(1000), 1, max)?;
        match (self.take.is_empty(), self.release.is_empty()) {
            (true, true) => Ok(TakeoverMethod::Bind),
            (false, false) => {
                let (take, release) = (self.take.clone(), self.release.clone());
                Ok(TakeoverMethod::Command { take, release, timeout: Duration::from_millis(limit) })
            }
            _ => Err("address: take and release go together: a program and its arguments each".into()),
        }
    }
}

/// A planner's settings for the election of partition leaders: one virtual router for each partition, with the
/// planner's own address. The priorities per partition are derived from the names of all planners, so that the
/// leadership is spread over all of them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Election {
    /// VRID of the first partition; the other partitions have the following ones.
    vrid: i64,
    /// Advertisement_Interval of the leading planner, in milliseconds; a multiple of ten.
    interval_ms: i64,
    /// Preempt_Mode: whether it takes over from a planner of lower priority.
    #[serde(default = "default_true")]
    preempt: bool,
    /// Local UDP address for advertisements.
    address: SocketAddrV4,
    /// UDP addresses of the other planners.
    peers: Vec<SocketAddrV4>,
}

impl Election {
    /// The interface, and a virtual router for each partition with this planner's priority there. The error names the
    /// key.
    pub fn check(&self, priorities: &[u8]) -> Result<(Interface, Vec<Router>), String> {
        let peers = self.peers.iter().map(|peer| SocketAddr::from(*peer)).collect();
        let interface = Interface { address: self.address.into(), peers };
        if interface.peers.is_empty() {
            // A single planner leads all partitions.
            within("vrid", self.vrid, 1, 255)?;
        } else {
            interface.check()?;
        }
        let router = |(partition, priority): (usize, &u8)| {
            let router = FileRouter {
                name: format!("partition {partition}"),
                vrid: self.vrid + partition as i64,
                priority: i64::from(*priority),
                interval_ms: self.interval_ms,
                addresses: vec![IpAddr::from(*self.address.ip())],
                preempt: self.preempt,
                preempt_delay_ms: 0,
                accept: true,
                ipv4_checksum: FileCoverage::PseudoHeader,
                listen: None,
                listen_iscsi: None,
            };
            router.check(std::slice::from_ref(&interface)).map(|service| service.router)
        };
        let routers = priorities.iter().enumerate().map(router).collect::<Result<_, _>>()?;
        Ok((interface, routers))
    }
}

fn within(key: &str, value: i64, min: u64, max: u64) -> Result<u64, String> {
    let checked = u64::try_from(value).ok().filter(|value| (min..=max).contains(value));
    checked.ok_or_else(|| format!("{key}: {value} is not allowed, {min} to {max} are"))
}

/// A TOML error as one line with the line number.
fn one_line(text: &str, error: &toml::de::Error) -> String {
    let line = error.span().map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
    let message = error.message().replace('\n', ", ");
    line.map_or(message.clone(), |line| format!("line {line}: {message}"))
}

#[cfg(test)]
mod tests;
