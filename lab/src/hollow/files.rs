//! Configuration files of an initiator: settings, planners and fleet, in a folder of its own. Hollow and real
//! initiators use the same files.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use topazpath::config::Files;

/// Mean size of a request in units.
pub const MEAN_UNITS: f64 = 4.5;
/// Units that a node at the beginning of its slow start accepts per initiator of the fleet within
/// [`SLOW_START_WINDOW`]: a few requests of mean size, the share of each of 460 initiators at a node that serves 8000
/// units per second.
const SLOW_START_UNITS: f64 = 25.0;
/// Window over which the slow-start limit counts units.
pub const SLOW_START_WINDOW: Duration = Duration::from_millis(3000);
/// Share of its capacity that a node has at the beginning of its slow start; it grows linearly to 1.
pub const SLOW_START_SHARE: f64 = 0.16;
/// Duration of a node's slow start.
pub const SLOW_START: Duration = Duration::from_secs(18);
/// How long a draining node may still receive requests.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Names of the regions, used as zones in the settings.
pub const REGIONS: [&str; 3] = ["r-0", "r-1", "r-2"];

/// Units that a node at the beginning of its slow start accepts within [`SLOW_START_WINDOW`] from a fleet of this size.
pub fn slow_start_units(initiators: usize) -> f64 {
    SLOW_START_UNITS * initiators as f64
}

/// Values in an initiator's configuration files.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its name, also as a member of the fleet.
    pub name: String,
    /// Listening address for clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Addresses of its planners.
    pub planners: Vec<SocketAddr>,
    /// Its own fleet address, and the one that it advertises to the other members.
    pub fleet: (SocketAddr, SocketAddr),
    /// Seed members for the bootstrap of the fleet.
    pub seeds: Vec<(String, SocketAddr)>,
    /// Total number of initiators.
    pub initiators: usize,
    /// Whether it accepts live configuration from planners.
    pub live: bool,
}

/// Paths of the files in an initiator's folder.
pub fn paths(folder: &Path) -> Files {
    let file = |name: &str| -> PathBuf { folder.join(name) };
    Files {
        config: file("config.json"),
        iscsi: file("none"),
        planners: file("planners.toml"),
        vrrp: file("none"),
        fleet: file("fleet.toml"),
        control: None,
    }
}

/// Creates the folder and writes all files. Fails if one can't be written.
pub fn write(folder: &Path, setup: &Setup, seed: u64) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let paths = paths(folder);
    std::fs::write(&paths.config, configuration(setup, seed))?;
    let planners: Vec<String> = setup.planners.iter().map(SocketAddr::to_string).collect();
    let live = if setup.live { "configuration = true\n" } else { "" };
    std::fs::write(&paths.planners, format!("enabled = true\nplanners = {planners:?}\n{live}"))?;
    let (own, advertised) = setup.fleet;
    let seeds: Vec<String> = setup
        .seeds
        .iter()
        .map(|(name, address)| format!("[[seed]]\nname = {name:?}\naddress = \"{address}\"\n"))
        .collect();
    // Intervals keep their defaults, as in the shipped file.
    std::fs::write(
        &paths.fleet,
        format!(
            "enabled = true\nfleet = \"hollow\"\nname = {:?}\naddress = \"{own}\"\nadvertise = \"{advertised}\"\n{}",
            setup.name,
            seeds.concat()
        ),
    )
}

fn configuration(setup: &Setup, seed: u64) -> String {
    let Setup { name, listen, discovery, initiators, .. } = setup;
    let slow_start_limit = slow_start_units(*initiators);
    let (window_ms, slow_start_ms, drain_grace_ms) =
        (SLOW_START_WINDOW.as_millis(), SLOW_START.as_millis(), DRAIN_GRACE.as_millis());
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
 "limits":{{"cores":1.0,"memory_mb":256,"sockets":1024}},"known":null,
 "settings":{{"siblings":{initiators},"tick_ms":2.0,"discovery":"on_request","zones":{REGIONS:?},
 "classes":[
  {{"name":"read","aim_ms":400,"hard_limit_ms":2000,"worth":2,"late_worth":0.2,"effect":"read_like"}},
  {{"name":"write","aim_ms":600,"hard_limit_ms":3000,"worth":3,"effect":"idempotency_key","key_scope":"cell","window_ms":5000}},
  {{"name":"append","aim_ms":600,"hard_limit_ms":3000,"worth":3,"effect":"non_idempotent"}}],
 "service_levels":[
  {{"name":"base","base_rate":40,"ceiling_rate":80,"guaranteed":20,"limit_burst":48,"tolerance":8}},
  {{"name":"plus","base_rate":1000,"guaranteed":1000}}],
 "domain":{{"largest":8,"unit_mean":{MEAN_UNITS},"share_worth":0.35,"idle_worth":0.05,"young_limit":{slow_start_limit}}},
 "contract":{{"grace_to_answer_ms":8,"drain_grace_ms":{drain_grace_ms},"cold_from":{SLOW_START_SHARE},"warm_after_ms":{slow_start_ms},"tip_multiple":3,"fall_ms":{window_ms}}},
 "limits":{{"attempts_cap":4,"connect_timeout_ms":250,"conn_idle_ms":30000,"max_retry_after_ms":500,"retry_after":true,"may_cancel":true}}}}}}"#
    )
}

/// Number and hash of the revision in force, from an initiator's report on planners (JSON). `None` before the first
/// revision or if live configuration is off.
pub fn revision(report: &str) -> Option<(u64, String)> {
    // Avoids parsing: reports are long and are read ten times a second.
    if !report.contains("\"configuration\":") {
        return None;
    }
    let report: serde_json::Value = serde_json::from_str(report).ok()?;
    let section = &report["configuration"];
    let number = section["number"].as_u64().filter(|number| *number > 0)?;
    Some((number, section["hash"].as_str()?.to_string()))
}
