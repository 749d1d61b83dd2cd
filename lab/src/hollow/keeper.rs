//! `topazpath-lab hollow-keeper`: ends the processes of a run whose own process ends without a word. It is told the number of
//! each process as it starts and once it has ended, over its standard input, and ends those that are left with its input.

use super::processes::lab;
use crate::sync::lock;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::collections::BTreeSet;
use std::io::{BufRead, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;

/// The keeper, as the run sees it.
pub struct Keeper {
    child: Child,
    /// Closed with it.
    input: Mutex<Option<ChildStdin>>,
}

impl Drop for Keeper {
    fn drop(&mut self) {
        *lock(&self.input) = None;
        // It ends with its input.
        let _ = self.child.wait();
    }
}

impl Keeper {
    /// Starts it; it keeps nothing yet.
    pub fn start() -> Result<Keeper, String> {
        let mut command = Command::new(lab()?);
        command.arg("hollow-keeper").stdin(Stdio::piped()).stdout(Stdio::null());
        let mut child = command.spawn().map_err(|error| format!("hollow keeper: {error}"))?;
        let input = Mutex::new(child.stdin.take());
        Ok(Keeper { child, input })
    }

    /// A process is there, and is to end with the run.
    pub fn keep(&self, process: u32) {
        self.say(&format!("+{process}\n"));
    }

    /// It has ended; its number may come again.
    pub fn forget(&self, process: u32) {
        self.say(&format!("-{process}\n"));
    }

    fn say(&self, line: &str) {
        if let Some(input) = lock(&self.input).as_mut() {
            // One that has gone keeps nothing; the run ends its processes by itself as well.
            let _ = input.write_all(line.as_bytes());
        }
    }
}

/// Runs until the input ends, then ends what is left.
pub fn run() -> Result<bool, String> {
    let mut kept = BTreeSet::new();
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let number = line.get(1..).and_then(|number| number.parse::<i32>().ok());
        let number = number.ok_or_else(|| format!("hollow-keeper: unusable line {line:?}"))?;
        match line.as_bytes().first() {
            Some(b'+') => drop(kept.insert(number)),
            _ => drop(kept.remove(&number)),
        }
    }
    for number in kept {
        // It may have ended with the run.
        let _ = kill(Pid::from_raw(number), Signal::SIGKILL);
    }
    Ok(true)
}
