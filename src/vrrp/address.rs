//! What becoming Active does to an address, and what stepping down does: it is listened at, also where it is not
//! local yet, or a command moves it first. A command has a bound on its time, and its end is looked for, not waited
//! for: the loop goes on.

use super::settings::Means;
use crate::listener::{self, Locality};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How often an address that cannot be bound is tried again, and a command's end looked for.
pub const PAUSE: Duration = Duration::from_millis(20);
/// How long after a command that failed the next one is started.
const AGAIN: Duration = Duration::from_millis(500);

/// How far an address has come.
#[derive(Debug)]
pub enum Progress {
    /// It is being got or let go; look again after [`PAUSE`].
    Pending,
    /// It is here: a listener for each address asked for, in their order. Told once.
    Here(Vec<TcpListener>),
    /// It is let go, or never was here.
    Gone,
    /// It could not be got so far; it is tried again.
    Failing(String),
}

/// An address that comes and goes.
pub trait Address {
    /// It is to come here.
    fn take(&mut self, now: Instant);

    /// It is to go. Its listeners are the caller's to close, before this.
    fn release(&mut self, now: Instant);

    /// Goes on with what was asked last.
    fn turn(&mut self, now: Instant) -> Progress;
}

/// The means of the settings, for one virtual router.
pub fn address(means: &Means, router: &super::routers::Router, listen: Vec<SocketAddr>) -> Box<dyn Address> {
    let bind = Bind { listen, wanted: false, here: false };
    match means {
        Means::Bind => Box::new(bind),
        Means::Command { take, release, limit } => {
            let addresses: Vec<String> = router.addresses.iter().map(|it| it.to_string()).collect();
            let named = [
                ("TOPAZPATH_ROUTER", router.name.clone()),
                ("TOPAZPATH_VRID", router.vrid.to_string()),
                ("TOPAZPATH_ADDRESSES", addresses.join(" ")),
            ];
            let (take, release) = (take.clone(), release.clone());
            let (wanted, moved, running, not_before) = (false, false, None, None);
            Box::new(Move { bind, take, release, limit: *limit, named, wanted, moved, running, not_before })
        }
    }
}

/// Listens at the addresses, wherever they are.
struct Bind {
    listen: Vec<SocketAddr>,
    wanted: bool,
    here: bool,
}

impl Address for Bind {
    fn take(&mut self, _: Instant) {
        self.wanted = true;
    }

    fn release(&mut self, _: Instant) {
        (self.wanted, self.here) = (false, false);
    }

    fn turn(&mut self, _: Instant) -> Progress {
        match (self.wanted, self.here) {
            (false, _) => Progress::Gone,
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
                        self.here = true;
                        Progress::Here(listeners)
                    }
                    Err(why) => Progress::Failing(why),
                }
            }
        }
    }
}

/// Has a command move the addresses, then listens.
struct Move {
    bind: Bind,
    take: Vec<String>,
    release: Vec<String>,
    limit: Duration,
    /// What the commands are told, as variables.
    named: [(&'static str, String); 3],
    wanted: bool,
    /// The addresses are here, as far as the commands tell.
    moved: bool,
    running: Option<Running>,
    /// No command is started before. Guards the machine against one that fails at once, again and again.
    not_before: Option<Instant>,
}

struct Running {
    child: Child,
    /// It moves the addresses here.
    takes: bool,
    until: Instant,
}

impl Move {
    fn start(&mut self, now: Instant, takes: bool) -> Result<(), String> {
        let words = if takes { &self.take } else { &self.release };
        let mut command = Command::new(&words[0]);
        command.args(&words[1..]).envs(self.named.iter().map(|(name, value)| (name, value)));
        command.stdin(Stdio::null()).stdout(Stdio::null());
        let child = command.spawn().map_err(|error| format!("{}: {error}", words[0]))?;
        self.running = Some(Running { child, takes, until: now + self.limit });
        Ok(())
    }

    /// Whether the command that runs has ended, and how.
    fn look(&mut self, now: Instant) -> Option<Result<bool, String>> {
        let limit = self.limit;
        let running = self.running.as_mut()?;
        let takes = running.takes;
        let ended = match running.child.try_wait() {
            Ok(None) if now < running.until => return None,
            Ok(None) => {
                // Guards against a command that hangs: the address would be nobody's for as long.
                let _ = running.child.kill();
                let _ = running.child.wait();
                Err(format!("the command took longer than {} ms", limit.as_millis()))
            }
            Ok(Some(status)) if status.success() => Ok(takes),
            Ok(Some(status)) => Err(format!("the command ended with {status}")),
            Err(error) => Err(error.to_string()),
        };
        self.running = None;
        Some(ended)
    }
}

impl Address for Move {
    fn take(&mut self, now: Instant) {
        self.wanted = true;
        self.bind.take(now);
    }

    fn release(&mut self, now: Instant) {
        self.wanted = false;
        self.bind.release(now);
    }

    fn turn(&mut self, now: Instant) -> Progress {
        match self.look(now) {
            Some(Ok(takes)) => self.moved = takes,
            // An address that could not be let go is not asked to go again: the other machine has it by now.
            Some(Err(why)) => {
                self.moved = false;
                self.not_before = Some(now + AGAIN);
                tracing::warn!("an address could not be moved: {why}");
                return Progress::Failing(why);
            }
            None if self.running.is_some() => return Progress::Pending,
            None => {}
        }
        match (self.wanted, self.moved) {
            (true, true) => self.bind.turn(now),
            (false, false) => Progress::Gone,
            _ if self.not_before.is_some_and(|at| now < at) => Progress::Pending,
            (takes, _) => match self.start(now, takes) {
                Ok(()) => Progress::Pending,
                Err(why) => {
                    self.not_before = Some(now + AGAIN);
                    // It is tried again to take one; what cannot be let go is left.
                    self.moved = false;
                    Progress::Failing(why)
                }
            },
        }
    }
}

#[cfg(test)]
mod tests;
