//! `topazpath-lab hollow-worker`: a process that runs many hollow initiators in one loop. It reads commands from its
//! standard input and writes messages to its standard output (see [`super::messages`]). It exits at the end of its
//! input.

use super::initiator::{Applied, Hollow};
use super::messages::{unix_micros, Command, Late, WorkerMessage};
use hdrhistogram::Histogram;
use mio::{Events, Poll, Token, Waker};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};
use topazpath::tokens::{Kind, Tokens};

const WAKER: Token = Token(0);
const MAX_EVENTS: usize = 4096;
/// Maximum time for which the loop sleeps.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Upper bound of the lateness histogram in microseconds.
const MAX_LATENESS_US: u64 = 60_000_000;

struct Worker {
    poll: Poll,
    tokens: Tokens,
    hollow: BTreeMap<usize, Hollow>,
    /// Initiator that each token belongs to.
    owners: HashMap<Token, usize>,
    lateness: Histogram<u64>,
    simulated_requests: (usize, u64),
}

/// Runs until the input ends. Fails if the poller can't be set up or the output is closed.
pub fn run() -> Result<bool, String> {
    let error_text = |error: std::io::Error| error.to_string();
    let poll = Poll::new().map_err(error_text)?;
    let waker = Waker::new(poll.registry(), WAKER).map_err(error_text)?;
    let commands = read_commands(waker);
    let lateness = Histogram::new_with_bounds(1, MAX_LATENESS_US, 2).map_err(|error| error.to_string())?;
    let mut worker = Worker {
        poll,
        tokens: Tokens::new(),
        hollow: BTreeMap::new(),
        owners: HashMap::new(),
        lateness,
        simulated_requests: (0, 1),
    };
    worker.serve(&commands).map_err(error_text)?;
    Ok(true)
}

/// Reads commands in a thread of its own. The end of the input exits the process at once: the run has ended.
fn read_commands(waker: Waker) -> Receiver<Command> {
    let (send, commands) = channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines() {
            let Ok(line) = line else { break };
            match serde_json::from_str(&line) {
                Ok(command) => {
                    let woken = send.send(command).is_ok() && waker.wake().is_ok();
                    if !woken {
                        break;
                    }
                }
                Err(error) => {
                    eprintln!("hollow-worker: malformed command: {error}");
                    std::process::exit(1);
                }
            }
        }
        std::process::exit(0);
    });
    commands
}

impl Worker {
    fn serve(&mut self, commands: &Receiver<Command>) -> std::io::Result<()> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        let mut out = std::io::stdout();
        loop {
            let due = self.hollow.values().map(|hollow| hollow.due).min();
            let latest = Instant::now() + MAX_WAIT;
            let due = due.unwrap_or(latest).min(latest);
            let wait = due.saturating_duration_since(Instant::now());
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
                other => other?,
            }
            self.record_lateness(due);
            let mut messages = self.run_iterations(&events);
            while let Ok(command) = commands.try_recv() {
                self.handle_command(command, &mut messages);
            }
            for message in messages {
                serde_json::to_writer(&mut out, &message)?;
                out.write_all(b"\n")?;
            }
            out.flush()?;
        }
    }

    /// Records the lateness of a wake-up by a timer; an earlier wake-up by a socket says nothing about it.
    fn record_lateness(&mut self, due: Instant) {
        let now = Instant::now();
        if now >= due {
            self.lateness.saturating_record((now - due).as_micros() as u64);
        }
    }

    fn run_iterations(&mut self, events: &Events) -> Vec<WorkerMessage> {
        let mut ready: BTreeMap<usize, Vec<Token>> = BTreeMap::new();
        for event in events {
            if let Some(who) = self.owners.get(&event.token()) {
                ready.entry(*who).or_default().push(event.token());
            }
        }
        let mut messages = Vec::new();
        for (who, hollow) in &mut self.hollow {
            let tokens = ready.remove(who).unwrap_or_default();
            let now = Instant::now();
            if tokens.is_empty() && hollow.due > now {
                continue;
            }
            let applied = hollow.run_iteration(now, &tokens, self.poll.registry());
            let at = unix_micros();
            messages.extend(applied.into_iter().map(|applied| match applied {
                Applied::List(index) => WorkerMessage::List { who: *who, index, at },
                Applied::Revision(number, hash) => WorkerMessage::Revision { who: *who, number, hash, at },
            }));
        }
        messages
    }

    fn handle_command(&mut self, command: Command, messages: &mut Vec<WorkerMessage>) {
        match command {
            Command::Start(all) => {
                for (who, folder) in all {
                    if let Err(error) = self.start(who, &folder) {
                        messages.push(WorkerMessage::Failed(who, error));
                    }
                }
            }
            Command::Drop(all) => {
                self.hollow.retain(|who, _| !all.contains(who));
                self.owners.retain(|_, who| !all.contains(who));
            }
            Command::Ask { each, of } => {
                self.simulated_requests = (each, of);
                let now = Instant::now();
                self.hollow.values_mut().for_each(|hollow| hollow.simulate_requests(now, each, of));
            }
            Command::Status => {
                let hollow = self.hollow.values().map(Hollow::state).collect();
                let late = Late {
                    turns: self.lateness.len(),
                    most: self.lateness.max(),
                    p99: self.lateness.value_at_quantile(0.99),
                };
                self.lateness.reset();
                messages.push(WorkerMessage::Status { hollow, late });
            }
        }
    }

    fn start(&mut self, who: usize, folder: &std::path::Path) -> Result<(), String> {
        let first = self.tokens.next(Kind::Operator).0;
        let now = Instant::now();
        let started = Hollow::start(who, folder, self.poll.registry(), &mut self.tokens, now);
        let end = self.tokens.next(Kind::Operator).0;
        let mut hollow = started?;
        hollow.simulate_requests(now, self.simulated_requests.0, self.simulated_requests.1);
        // All tokens issued in between belong to this initiator, whatever their kind.
        self.owners.extend((first..end).map(|token| (Token(token), who)));
        self.hollow.insert(who, hollow);
        Ok(())
    }
}
