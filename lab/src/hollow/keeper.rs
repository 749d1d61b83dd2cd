//! `topazpath-lab hollow-keeper`: a watchdog process that kills the child processes of a run that died. The run writes
//! `+pid` to its standard input when a process starts and `-pid` once it has ended. At the end of the input the keeper
//! kills the processes that are left.

use super::processes::lab_program;
use crate::sync::lock;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::collections::BTreeSet;
use std::io::{BufRead, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;

/// Handle of the run on its keeper process.
pub struct Keeper {
    child: Child,
    /// Its standard input; closed when this is dropped.
    input: Mutex<Option<ChildStdin>>,
}

impl Drop for Keeper {
    fn drop(&mut self) {
        *lock(&self.input) = None;
        // The process ends once its input is closed.
        let _ = self.child.wait();
    }
}

impl Keeper {
    /// Starts the keeper with no process registered. Fails if it can't be spawned.
    pub fn start() -> Result<Keeper, String> {
        let mut command = Command::new(lab_program()?);
        command.arg("hollow-keeper").stdin(Stdio::piped()).stdout(Stdio::null());
        let mut child = command.spawn().map_err(|error| format!("hollow keeper: {error}"))?;
        let input = Mutex::new(child.stdin.take());
        Ok(Keeper { child, input })
    }

    /// Registers a process to be killed if the run dies.
    pub fn register(&self, process: u32) {
        self.send(&format!("+{process}\n"));
    }

    /// Unregisters a process that has ended, since its id may be reused.
    pub fn unregister(&self, process: u32) {
        self.send(&format!("-{process}\n"));
    }

    fn send(&self, line: &str) {
        if let Some(input) = lock(&self.input).as_mut() {
            // A failure is harmless while the run lives: it ends its processes itself.
            let _ = input.write_all(line.as_bytes());
        }
    }
}

/// Reads ids until the input ends, then kills the processes that are still registered. Fails on a malformed line.
pub fn run() -> Result<bool, String> {
    let mut processes = BTreeSet::new();
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let number = line.get(1..).and_then(|number| number.parse::<i32>().ok());
        let number = number.ok_or_else(|| format!("hollow-keeper: malformed line {line:?}"))?;
        match line.as_bytes().first() {
            Some(b'+') => drop(processes.insert(number)),
            _ => drop(processes.remove(&number)),
        }
    }
    for number in processes {
        // The process may have ended with the run.
        let _ = kill(Pid::from_raw(number), Signal::SIGKILL);
    }
    Ok(true)
}
