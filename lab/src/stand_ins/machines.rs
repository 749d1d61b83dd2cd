//! Initiator machines: each runs the real program as a process, with its own configuration files.

use crate::stand_ins::segment::Port;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The VRRP configuration of a machine.
#[derive(Clone, Debug)]
pub struct VrrpSetup {
    /// Its addresses on the segment.
    pub port: Port,
    /// Relay addresses of the other machines.
    pub peers: Vec<SocketAddr>,
    /// Its priority.
    pub priority: u8,
    /// The interval of advertisements.
    pub interval: Duration,
    /// Its shares of every limit: of the rate and of the burst.
    pub share: (f64, f64),
}

/// The fleet configuration of a machine.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// Its addresses on the segment.
    pub port: Port,
    /// Its name in the fleet.
    pub name: String,
    /// The seeds, which may bootstrap the fleet, with their relay addresses.
    pub seeds: Vec<(String, SocketAddr)>,
    /// Interval of probes.
    pub period: Duration,
    /// Time limit of the answer to a probe.
    pub answer: Duration,
}

/// The configuration of a machine.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its name.
    pub name: String,
    /// Listen address of its own front.
    pub listen: SocketAddr,
    /// Its VRRP configuration, if enabled.
    pub vrrp: Option<VrrpSetup>,
    /// Addresses of the planners.
    pub planners: Vec<SocketAddr>,
    /// Its fleet configuration, if enabled.
    pub fleet: Option<FleetSetup>,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Limit of a volume of plan `base` over all machines, in units a second.
    pub limit: f64,
}

/// Burst of a volume of plan `base`, in units.
pub const BURST: f64 = 48.0;
/// By how much a volume of plan `base` may be overdrawn, in units.
pub const OVERDRAFT: f64 = 8.0;

/// A machine, running or not. Dropping it kills its process.
pub struct Machine {
    setup: Setup,
    program: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
        // A folder that cannot be removed is left to the system's cleaning of temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Machine {
    /// Creates a machine that is not running, and writes its files.
    pub fn new(program: &Path, folder: PathBuf, setup: Setup) -> std::io::Result<Machine> {
        std::fs::create_dir_all(&folder)?;
        let machine = Machine { setup, program: program.to_path_buf(), folder, child: None };
        machine.write()?;
        Ok(machine)
    }

    /// Writes the configuration files.
    fn write(&self) -> std::io::Result<()> {
        let Setup { name, listen, vrrp, planners, fleet, discovery, limit } = &self.setup;
        std::fs::write(
            self.folder.join("config.json"),
            format!(
                r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":null,
 "settings":{{"siblings":1,"tick_ms":2.0,"discovery":"pushed","zones":["z"],
 "classes":[
  {{"name":"read","aim_ms":400,"hard_limit_ms":2000,"worth":2,"late_worth":0.2,"effect":"read_like"}},
  {{"name":"write","aim_ms":600,"hard_limit_ms":3000,"worth":3,"effect":"idempotency_key","key_scope":"cell","window_ms":5000}},
  {{"name":"append","aim_ms":600,"hard_limit_ms":3000,"worth":3,"effect":"non_idempotent"}}],
 "service_levels":[
  {{"name":"base","base_rate":40,"ceiling_rate":{limit},"guaranteed":20,"limit_burst":{BURST},"tolerance":{OVERDRAFT}}},
  {{"name":"plus","base_rate":1000,"guaranteed":1000}}],
 "domain":{{"largest":8,"unit_mean":4.5,"share_worth":0.35,"idle_worth":0.05,"young_limit":34}},
 "contract":{{"grace_to_answer_ms":8,"drain_grace_ms":2000,"cold_from":0.16,"warm_after_ms":18000,"tip_multiple":3,"fall_ms":3000}},
 "limits":{{"attempts_cap":4,"connect_timeout_ms":250,"conn_idle_ms":30000,"max_retry_after_ms":500,"retry_after":true,"may_cancel":true}}}}}}"#
            ),
        )?;
        if !planners.is_empty() {
            let planners: Vec<String> = planners.iter().map(SocketAddr::to_string).collect();
            let text = format!("enabled = true\nplanners = {planners:?}\n");
            std::fs::write(self.folder.join("planners.toml"), text)?;
        }
        if let Some(FleetSetup { port, name, seeds, period, answer }) = fleet {
            let seeds: Vec<String> = seeds
                .iter()
                .map(|(name, address)| format!("[[seed]]\nname = {name:?}\naddress = \"{address}\"\n"))
                .collect();
            let text = format!(
                "enabled = true\nfleet = \"lab\"\nname = {name:?}\naddress = \"{}\"\nadvertise = \"{}\"\n\
                 period_ms = {}\nanswer_ms = {}\n{}",
                port.own,
                port.relay,
                period.as_millis(),
                answer.as_millis(),
                seeds.concat()
            );
            std::fs::write(self.folder.join("fleet.toml"), text)?;
        }
        let Some(VrrpSetup { port, peers, priority, interval, share: (rate, burst) }) = vrrp else {
            return Ok(());
        };
        let peers: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
        std::fs::write(
            self.folder.join("vrrp.toml"),
            format!(
                "enabled = true\n[[interface]]\naddress = \"{}\"\npeers = {peers:?}\n[[router]]\nname = \"dashboards\"\n\
                 vrid = 51\npriority = {priority}\ninterval_ms = {}\naddresses = [\"127.0.0.100\"]\nlisten = \"{}\"\n\
                 [handover]\nmachines = 2\nrate_share = {rate}\nburst_share = {burst}\n",
                port.own,
                interval.as_millis(),
                port.listen,
            ),
        )
    }

    /// Starts the process, after killing a running one.
    pub fn start(&mut self) -> std::io::Result<()> {
        self.kill();
        let file = |name: &str| self.folder.join(name);
        let mut command = Command::new(&self.program);
        command.env("NODE_CONFIG", file("config.json")).env("TOPAZPATH_VRRP", file("vrrp.toml"));
        command.env("TOPAZPATH_ISCSI", file("none")).env("TOPAZPATH_PLANNERS", file("planners.toml"));
        command.env("TOPAZPATH_FLEET", file("fleet.toml")).env("TMPDIR", &self.folder);
        let log = std::fs::File::options().create(true).append(true).open(file("log"))?;
        command.env("TOPAZPATH_LOG", "info").stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Returns the process id, if it was started.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends the process a signal by name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            // A process that has ended ignores it.
            let _ = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        }
    }

    /// Kills the process, as in a loss of power.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process has ended by itself; true if it exited successfully in time.
    pub fn wait(&mut self, timeout: Duration) -> bool {
        let Some(child) = &mut self.child else { return true };
        let start = Instant::now();
        while start.elapsed() < timeout {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Returns the log of all its processes.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}
