//! Acquires the addresses of a virtual router when it becomes Active, and releases them when it steps down. Either the
//! process just listens at them, even before they are local, or a command moves them to this host first. Commands have
//! a timeout and are polled, so that they do not block the event loop.

use super::settings::TakeoverMethod;
use crate::listener::{self, Locality};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How often a pending takeover is polled: retries a failed bind, and checks whether a command has ended.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after a failed command before the next one is started.
const COMMAND_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Progress of acquiring or releasing the addresses.
#[derive(Debug)]
pub enum Progress {
    /// In progress, or unchanged since [`Progress::Acquired`]. While in progress, poll again after [`POLL_INTERVAL`].
    Pending,
    /// Acquired: a listener for each requested address, in the same order. Returned once.
    Acquired(Vec<TcpListener>),
    /// Released, or never acquired.
    Released,
    /// The last attempt failed for this reason; acquiring is retried.
    Failed(String),
}

/// The addresses of one virtual router, which this host acquires and releases.
pub trait AddressTakeover {
    /// Begins to acquire the addresses.
    fn acquire(&mut self, now: Instant);

    /// Begins to release the addresses. The caller has to close the listeners first.
    fn release(&mut self, now: Instant);

    /// Continues with the last request.
    fn poll(&mut self, now: Instant) -> Progress;
}

/// Implements the configured method for one virtual router, which is to listen at these addresses.
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

/// Listens at the addresses, whether or not they are local.
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

/// Runs a command that moves the addresses to this host, then listens.
struct CommandTakeover {
    bind: BindTakeover,
    take: Vec<String>,
    release: Vec<String>,
    timeout: Duration,
    /// Environment variables of the commands.
    environment: [(&'static str, String); 3],
    wanted: bool,
    /// The last successful command moved the addresses to this host.
    moved: bool,
    running: Option<RunningCommand>,
    /// No command is started before this time, so that one that fails at once is not restarted in a busy loop.
    not_before: Option<Instant>,
}

struct RunningCommand {
    child: Child,
    /// It moves the addresses to this host, not away from it.
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

    /// The result of the running command once it has ended: whether it acquired (true) or released the addresses.
    fn poll_command(&mut self, now: Instant) -> Option<Result<bool, String>> {
        let timeout = self.timeout;
        let running = self.running.as_mut()?;
        let acquires = running.acquires;
        let result = match running.child.try_wait() {
            Ok(None) if now < running.deadline => return None,
            Ok(None) => {
                // While a command hangs, no host serves the addresses.
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
            // A failed release is not retried: the other host has acquired the addresses by now.
            Some(Err(why)) => {
                self.moved = false;
                self.not_before = Some(now + COMMAND_RETRY_DELAY);
                tracing::warn!("moving a VRRP address failed: {why}");
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
                    // Acquiring is retried, releasing is not.
                    self.moved = false;
                    Progress::Failed(why)
                }
            },
        }
    }
}

#[cfg(test)]
mod tests;
