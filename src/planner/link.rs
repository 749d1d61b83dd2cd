//! A forwarder's link to its planner.

use super::frame::{self, Actions, ToPlanner, MOST};
use super::Planner;
use crate::clock::Clock;
use crate::conn::{Conn, Connecting, ReadEnd};
use crate::interface::{Event, Settings};
use mio::{Registry, Token};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A planner that lets a message wait for this long is lost.
const SILENCE: Duration = Duration::from_millis(1000);
/// Pause before the next planner is tried.
const RETRY: Duration = Duration::from_millis(50);

/// Where decisions come from.
pub enum Link {
    /// This process decides.
    Local(Box<Planner>),
    /// The active one of a few planners decides.
    Remote(Box<Remote>),
}

enum State {
    Down { retry: Instant },
    Connecting { until: Instant },
    Up,
}

/// What became of the link.
#[derive(Debug, PartialEq)]
pub enum Change {
    /// Nothing but these actions, perhaps none.
    Actions(Actions),
    /// A planner was found, which knows nothing yet.
    Found,
    /// The planner is lost, with all that it had to decide.
    Lost,
}

/// A link to the active planner.
pub struct Remote {
    planners: Vec<SocketAddr>,
    /// Position of the planner that is tried or used.
    at: usize,
    token: Token,
    conn: Option<Conn>,
    state: State,
    /// When the messages without an answer were sent.
    unanswered: VecDeque<Instant>,
    settings: Settings,
    seed: u64,
    clock: Clock,
}

impl Remote {
    pub fn new(
        planners: Vec<SocketAddr>,
        token: Token,
        settings: Settings,
        seed: u64,
        clock: Clock,
        now: Instant,
    ) -> Self {
        let (conn, state, unanswered) = (None, State::Down { retry: now }, VecDeque::new());
        Remote { planners, at: 0, token, conn, state, unanswered, settings, seed, clock }
    }

    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up)
    }

    /// When [`Remote::tick`] has something to do.
    pub fn next_timer(&self) -> Option<Instant> {
        match self.state {
            State::Down { retry } => Some(retry),
            State::Connecting { until } => Some(until),
            State::Up => self.unanswered.front().map(|sent| *sent + SILENCE),
        }
    }

    /// Tries the next planner where that is due, and gives up a silent one.
    pub fn tick(&mut self, now: Instant, registry: &Registry) -> Change {
        if self.next_timer().is_none_or(|at| at > now) {
            return Change::Actions(Actions::new());
        }
        if !matches!(self.state, State::Down { .. }) {
            return self.lose(now);
        }
        self.at = (self.at + 1) % self.planners.len();
        self.conn = Conn::connect(self.planners[self.at], self.token, registry).ok();
        self.state = match self.conn {
            Some(_) => State::Connecting { until: now + SILENCE },
            None => State::Down { retry: now + RETRY },
        };
        Change::Actions(Actions::new())
    }

    /// Hands over what has happened.
    pub fn send(&mut self, now: Instant, events: Vec<Event>) {
        if let Some(conn) = self.conn.as_mut().filter(|_| matches!(self.state, State::Up)) {
            let mut output = Vec::new();
            frame::write(&ToPlanner::Events { now: self.clock.unix(now), events }, &mut output);
            conn.push(&output);
            self.unanswered.push_back(now);
            // A broken connection shows at the next read as well.
            let _ = conn.flush();
        }
    }

    /// Something happened on the connection.
    pub fn ready(&mut self, now: Instant) -> Change {
        let Some(conn) = &mut self.conn else { return Change::Actions(Actions::new()) };
        if matches!(self.state, State::Connecting { .. }) {
            match conn.connecting() {
                Connecting::Pending => return Change::Actions(Actions::new()),
                Connecting::Failed => return self.lose(now),
                Connecting::Up => {
                    let mut output = Vec::new();
                    let settings = Box::new(self.settings.clone());
                    frame::write(&ToPlanner::Hello { settings, seed: self.seed }, &mut output);
                    conn.push(&output);
                    self.state = State::Up;
                    tracing::info!(planner = %self.planners[self.at], "planner found");
                    return Change::Found;
                }
            }
        }
        let end = conn.read(MOST);
        if conn.flush().is_err() || end != ReadEnd::Blocked {
            return self.lose(now);
        }
        let mut actions = Actions::new();
        loop {
            match frame::take::<Actions>(&mut conn.input) {
                Ok(None) => return Change::Actions(actions),
                Ok(Some(more)) => {
                    self.unanswered.pop_front();
                    actions.extend(more);
                }
                Err(why) => {
                    tracing::warn!("a planner's message is unusable: {why}");
                    return self.lose(now);
                }
            }
        }
    }

    fn lose(&mut self, now: Instant) -> Change {
        let was_up = self.is_up();
        (self.conn, self.state) = (None, State::Down { retry: now + RETRY });
        self.unanswered.clear();
        if !was_up {
            return Change::Actions(Actions::new());
        }
        tracing::warn!(planner = %self.planners[self.at], "planner lost");
        Change::Lost
    }
}
