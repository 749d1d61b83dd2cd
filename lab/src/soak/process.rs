//! The real process of a run, and what it is told.

use super::plan::Plan;
use crate::capacity::{own_address, own_folder, program};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Drain grace and deduplication window of a shard; they must match `SETTINGS`.
pub const DRAIN_GRACE: Duration = Duration::from_millis(2_000);
pub const WINDOW: Duration = Duration::from_millis(5_000);

const SETTINGS: &str = r#"{"siblings":INITIATORS,"tick_ms":2.0,"discovery":"pushed","zones":["z"],
 "classes":[
  {"name":"read","aim_ms":300,"hard_limit_ms":READ,"worth":2,"late_worth":0.2,"effect":"read_like"},
  {"name":"write","aim_ms":400,"hard_limit_ms":WRITE,"worth":3,"late_worth":0.1,"effect":"idempotency_key",
   "key_scope":"cell","window_ms":5000}],
 "service_levels":[
  {"name":"base","base_rate":4,"ceiling_rate":400,"guaranteed":1.4,"limit_burst":400,"tolerance":8},
  {"name":"plus","base_rate":7,"guaranteed":7}],
 "domain":{"largest":8,"unit_mean":1,"share_worth":0.35,"idle_worth":0.05,"young_limit":34},
 "contract":{"grace_to_answer_ms":8,"drain_grace_ms":2000,"cold_from":0.16,"warm_after_ms":18000,
  "tip_multiple":3,"fall_ms":3000},
 "limits":{"attempts_cap":4,"connect_timeout_ms":250,"conn_idle_ms":30000,"max_retry_after_ms":500,
  "retry_after":true,"may_cancel":true}}"#;

/// The running process. Dropping it kills the process.
pub struct Process {
    child: Child,
    folder: PathBuf,
    pub listen: SocketAddr,
    started: Instant,
    processor_time: Duration,
    peak_memory: usize,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        // A folder that cannot be removed is left to the system's cleaning of temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    /// Starts the process with `known` as its cached node list.
    pub fn start(plan: &Plan, discovery: SocketAddr, known: &str) -> Result<Self, String> {
        let to_text = |error: std::io::Error| error.to_string();
        let free = TcpListener::bind((own_address(23), 0)).map_err(to_text)?;
        let listen = free.local_addr().map_err(to_text)?;
        drop(free);
        let folder = own_folder()?;
        let settings = SETTINGS
            .replace("INITIATORS", &plan.initiators.to_string())
            .replace("READ", &plan.deadlines[0].as_millis().to_string())
            .replace("WRITE", &plan.deadlines[1].as_millis().to_string());
        let text = format!(
            r#"{{"name":"n1","listen":"{listen}","control":null,"discovery":"{discovery}","seed":"{:016x}",
             "limits":{{"cores":1.0,"memory_mb":64,"sockets":{}}},"known":{known},"settings":{settings}}}"#,
            plan.seed, plan.descriptors
        );
        std::fs::write(folder.join("config.json"), text).map_err(to_text)?;
        let mut command = Command::new(program()?);
        command.env("NODE_CONFIG", folder.join("config.json")).env("TMPDIR", &folder);
        for file in ["TOPAZPATH_PLANNERS", "TOPAZPATH_FLEET", "TOPAZPATH_ISCSI", "TOPAZPATH_VRRP"] {
            command.env(file, folder.join("none"));
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        let (started, child) = (Instant::now(), command.spawn().map_err(to_text)?);
        Ok(Process { child, folder, listen, started, processor_time: Duration::ZERO, peak_memory: 0 })
    }

    /// Waits until the process accepts connections, and returns the time since its start.
    pub fn wait_until_up(&self, within: Duration) -> Result<Duration, String> {
        while TcpStream::connect(self.listen).is_err() {
            if self.started.elapsed() > within {
                return Err("the process does not start".into());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(self.started.elapsed())
    }

    pub fn signal(&self, name: &str) {
        let Ok(signal) = format!("SIG{name}").parse::<nix::sys::signal::Signal>() else { return };
        // The process may have ended already.
        let _ = nix::sys::signal::kill(nix::unistd::Pid::from_raw(self.child.id() as i32), signal);
    }

    pub fn has_ended(&mut self) -> bool {
        self.processor_time = self.processor_time.max(crate::load::processor_time(self.child.id()));
        let memory = topazpath::process::resident_memory(self.child.id()).unwrap_or(0);
        self.peak_memory = self.peak_memory.max(memory);
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Processor time used, as of the last call of `has_ended`.
    pub fn processor_time(&self) -> Duration {
        self.processor_time
    }

    /// Greatest resident memory seen by `has_ended`, in bytes.
    pub fn peak_memory(&self) -> usize {
        self.peak_memory
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    pub fn kill(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
