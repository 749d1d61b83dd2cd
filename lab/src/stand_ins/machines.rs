//! Initiator machines: the real program as a process each, with files of its own.

use crate::stand_ins::segment::Port;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A machine's part in VRRP.
#[derive(Clone, Debug)]
pub struct Routes {
    /// Its ports on the segment.
    pub port: Port,
    /// The relays of the other machines.
    pub peers: Vec<SocketAddr>,
    /// Its priority.
    pub priority: u8,
    /// The interval of advertisements.
    pub interval: Duration,
    /// Its parts of every limit, in rate and at once.
    pub share: (f64, f64),
}

/// A machine's part in a fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Its ports on the segment.
    pub port: Port,
    /// Its name there.
    pub name: String,
    /// Those that may found the fleet, with their relays.
    pub seeds: Vec<(String, SocketAddr)>,
    /// How often one of the others is probed, and how long an answer may take.
    pub period: Duration,
    /// Likewise.
    pub answer: Duration,
}

/// How a machine is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its name.
    pub name: String,
    /// Where it serves in its own name.
    pub listen: SocketAddr,
    /// Its part in VRRP, if it has one.
    pub routes: Option<Routes>,
    /// Its planners.
    pub planners: Vec<SocketAddr>,
    /// Its part in a fleet, if it has one.
    pub fleet: Option<Fleet>,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Units a second that a volume of `base` may take, over all machines.
    pub limit: f64,
}

/// Units at once that a volume of `base` may take, and by how much that may be overdrawn.
pub const BURST: f64 = 48.0;
/// Likewise.
pub const SLACK: f64 = 8.0;

/// A machine, running or not. Its process ends with it.
pub struct Machine {
    setup: Setup,
    program: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
        // What is left of a folder is the system's to clean.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Machine {
    /// A machine that is off.
    pub fn new(program: &Path, folder: PathBuf, setup: Setup) -> std::io::Result<Machine> {
        std::fs::create_dir_all(&folder)?;
        let machine = Machine { setup, program: program.to_path_buf(), folder, child: None };
        machine.write()?;
        Ok(machine)
    }

    /// Writes its files anew.
    fn write(&self) -> std::io::Result<()> {
        let Setup { name, listen, routes, planners, fleet, discovery, limit } = &self.setup;
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
  {{"name":"base","base_rate":40,"ceiling_rate":{limit},"guaranteed":20,"limit_burst":{BURST},"tolerance":{SLACK}}},
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
        if let Some(Fleet { port, name, seeds, period, answer }) = fleet {
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
        let Some(Routes { port, peers, priority, interval, share: (rate, burst) }) = routes else {
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
                port.serves,
            ),
        )
    }

    /// Switches it on.
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

    /// Its process, while it runs.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends it a signal by name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            // One that has ended hears nothing.
            let _ = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        }
    }

    /// Ends it at once, as a machine that loses power.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until it has ended by itself; true if it did in order.
    pub fn wait(&mut self, patience: Duration) -> bool {
        let Some(child) = &mut self.child else { return true };
        let start = Instant::now();
        while start.elapsed() < patience {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// What its log says.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}
