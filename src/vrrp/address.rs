//! What becoming Active does to an address, and what stepping down does: it is listened at, also where it is not
//! local yet, or a command moves it first. A command has a bound on its time, and its end is looked for, not waited
//! for: the loop goes on.

use super::settings::TakeoverMethod;
use crate::listener::{self, Locality};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How often an address that cannot be bound is tried again, and a command's end looked for.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long after a command that failed the next one is started.
const COMMAND_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How far an address has come.
#[derive(Debug)]
pub enum Progress {
    /// It is being got or let go; look again after [`PAUSE`].
    Pending,
    /// It is here: a listener for each address asked for, in their order. Told once.
    Acquired(Vec<TcpListener>),
    /// It is let go, or never was here.
    Released,
    /// It could not be got so far; it is tried again.
    Failed(String),
}

/// An address that comes and goes.
pub trait AddressTakeover {
    /// It is to come here.
    fn acquire(&mut self, now: Instant);

    /// It is to go. Its listeners are the caller's to close, before this.
    fn release(&mut self, now: Instant);

    /// Goes on with what was asked last.
    fn poll(&mut self, now: Instant) -> Progress;
}

/// The means of the settings, for one virtual router.
pub fn address_takeover(
    method: &TakeoverMethod,
    router: &super::routers::Router,
    listen: Vec<SocketAddr>,
) -> Box<dyn AddressTakeover> {
    let bind = BindTakeover { listen, wanted: false, listening: false };
    match method {
        TakeoverMethod::Bind => Box::new(bind),
        TakeoverMethod::Command { take, release, timeout } => {
            let addresses: Vec<String> = router.addresses.iter().map(|it| it.to_string()).collect();
            let environment = [
                ("TOPAZPATH_ROUTER", router.name.clone()),
                ("TOPAZPATH_VRID", router.vrid.to_string()),
                ("TOPAZPATH_ADDRESSES", addresses.join(" ")),
            ];
            let (take, release) = (take.clone(), release.clone());
            let (wanted, moved, running, not_before) = (false, false, None, None);
            Box::new(CommandTakeover {
                bind,
                take,
                release,
                timeout: *timeout,
                environment,
                wanted,
                moved,
                running,
                not_before,
            })
        }
    }
}

/// Listens at the addresses, wherever they are.
struct BindTakeover {
    listen: Vec<SocketAddr>,
    wanted: bool,
    listening: bool,
}

impl AddressTakeover for BindTakeover {
    fn acquire(&mut self, _: Instant) {
        self.wanted = true;
    }

    fn release(&mut self, _: Instant) {
        (self.wanted, self.listening) = (false, false);
    }

    fn poll(&mut self, _: Instant) -> Progress {
        match (self.wanted, self.listening) {
            (false, _) => Progress::Released,
            (true, true) => Progress::Pending,
            (true, false) => {
                let listeners: Result<Vec<_>, _> = self
                    .listen
                    .iter()
                    .map(|address| {
                        listener::bind(*address, Locality::Any).map_err(|error| format!("{address}: {error}"))
                    })
                    .collect();
                match listeners {
                    Ok(listeners) => {
                        self.listening = true;
                        Progress::Acquired(listeners)
                    }
                    Err(why) => Progress::Failed(why),
                }
            }
        }
    }
}

/// Has a command move the addresses, then listens.
struct CommandTakeover {
    bind: BindTakeover,
    take: Vec<String>,
    release: Vec<String>,
    timeout: Duration,
    /// What the commands are told, as variables.
    environment: [(&'static str, String); 3],
    wanted: bool,
    /// The addresses are here, as far as the commands tell.
    moved: bool,
    running: Option<RunningCommand>,
    /// No command is started before. Guards the machine against one that fails at once, again and again.
    not_before: Option<Instant>,
}

struct RunningCommand {
    child: Child,
    /// It moves the addresses here.
    acquires: bool,
    deadline: Instant,
}

impl CommandTakeover {
    fn start(&mut self, now: Instant, acquires: bool) -> Result<(), String> {
        let command_line = if acquires { &self.take } else { &self.release };
        let mut command = Command::new(&command_line[0]);
        command.args(&command_line[1..]).envs(self.environment.iter().map(|(name, value)| (name, value)));
        command.stdin(Stdio::null()).stdout(Stdio::null());
        let child = command.spawn().map_err(|error| format!("{}: {error}", command_line[0]))?;
        self.running = Some(RunningCommand { child, acquires, deadline: now + self.timeout });
        Ok(())
    }

    /// Whether the command that runs has ended, and how.
    fn poll_command(&mut self, now: Instant) -> Option<Result<bool, String>> {
        let timeout = self.timeout;
        let running = self.running.as_mut()?;
        let acquires = running.acquires;
        let result = match running.child.try_wait() {
            Ok(None) if now < running.deadline => return None,
            Ok(None) => {
                // Guards against a command that hangs: the address would be nobody's for as long.
                let _ = running.child.kill();
                let _ = running.child.wait();
                Err(format!("the command took longer than {} ms", timeout.as_millis()))
            }
            Ok(Some(status)) if status.success() => Ok(acquires),
            Ok(Some(status)) => Err(format!("the command ended with {status}")),
            Err(error) => Err(error.to_string()),
        };
        self.running = None;
        Some(result)
    }
}

impl AddressTakeover for CommandTakeover {
    fn acquire(&mut self, now: Instant) {
        self.wanted = true;
        self.bind.acquire(now);
    }

    fn release(&mut self, now: Instant) {
        self.wanted = false;
        self.bind.release(now);
    }

    fn poll(&mut self, now: Instant) -> Progress {
        match self.poll_command(now) {
            Some(Ok(acquires)) => self.moved = acquires,
            // An address that could not be let go is not asked to go again: the other machine has it by now.
            Some(Err(why)) => {
                self.moved = false;
                self.not_before = Some(now + COMMAND_RETRY_DELAY);
                tracing::warn!("an address could not be moved: {why}");
                return Progress::Failed(why);
            }
            None if self.running.is_some() => return Progress::Pending,
            None => {}
        }
        match (self.wanted, self.moved) {
            (true, true) => self.bind.poll(now),
            (false, false) => Progress::Released,
            _ if self.not_before.is_some_and(|at| now < at) => Progress::Pending,
            (acquires, _) => match self.start(now, acquires) {
                Ok(()) => Progress::Pending,
                Err(why) => {
                    self.not_before = Some(now + COMMAND_RETRY_DELAY);
                    // It is tried again to take one; what cannot be let go is left.
                    self.moved = false;
                    Progress::Failed(why)
                }
            },
        }
    }
}

#[cfg(test)]
mod tests;
