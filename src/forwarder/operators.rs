//! Handles the commands of operators from the admin endpoint.

use super::readiness::Readiness;
use super::{Forwarder, ADMIN_LISTENER};
use crate::control::Call;
use crate::service::Phase;
use crate::tokens::Kind;
use mio::Token;
use std::time::{Duration, Instant};

impl Forwarder {
    /// Answers operators before any other work of an iteration, so that they get answers under any load.
    pub(super) fn answer_operators(&mut self, now: Instant, ready: &Readiness) {
        let (Some(admin), tokens) = (&mut self.admin, &mut self.tokens) else { return };
        let mut calls = Vec::new();
        for Token(id) in ready.iter().map(|(token, _)| token) {
            if Token(id) == ADMIN_LISTENER {
                admin.connections_pending(self.arrived_since);
            } else if Kind::of(id) == Some(Kind::Operator) {
                calls.extend(admin.ready(now, id).map(|call| (id, call)));
            }
        }
        calls.extend(admin.run(now, self.poll.registry(), || tokens.next(Kind::Operator)));
        for (caller, call) in calls {
            let outcome = self.execute(now, &call);
            match &outcome {
                Ok(text) => tracing::info!(?call, "{text}"),
                Err(why) => tracing::warn!(?call, "command rejected: {why}"),
            }
            self.core.counters.admin_commands += 1;
            self.admin.iter_mut().for_each(|admin| admin.reply(now, caller, &outcome));
        }
    }

    /// Executes a command. Returns the resulting state, or the reason why it was not executed.
    fn execute(&mut self, now: Instant, call: &Call) -> Result<String, String> {
        let unix = self.clock.unix(now);
        match call {
            Call::Ready if self.state.phase() == Phase::Serving => return Ok("ready".into()),
            Call::Ready => return Err(format!("it takes no clients: {}", self.state.phase().name())),
            Call::DisableServer(name) => {
                self.ban(self.arrived_since, unix, name, true)?;
                self.upgrade.send_ban(name, unix, true);
                return Ok(format!("{name} gets nothing more"));
            }
            Call::EnableServer(name) => {
                self.ban(self.arrived_since, unix, name, false)?;
                self.upgrade.send_ban(name, unix, false);
                return Ok(format!("{name} may serve"));
            }
            Call::Drain => self.state.drain(now)?,
            Call::Resume => self.state.resume()?,
        }
        self.publish_service_state();
        Ok(self.state.phase().name().into())
    }

    /// Takes a target out of service, or returns it to service.
    pub(super) fn ban(&mut self, now: Instant, unix: Duration, name: &str, out: bool) -> Result<(), String> {
        let event = if out { self.nodes.disable(now, unix, name) } else { self.nodes.enable(unix, name) };
        if let Some(event) = event? {
            self.close_draining(&event);
            self.core.push_event(event);
        }
        Ok(())
    }
}
