//! `topazpath-lab hollow-worker`: a process with many hollow initiators and one loop for all of them. Commands come over its
//! standard input, what is seen goes to its standard output. It ends when its input does.

use super::initiator::{Hollow, Told};
use super::messages::{unix_micros, Command, Late, Seen};
use hdrhistogram::Histogram;
use mio::{Events, Poll, Token, Waker};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};
use topazpath::tokens::{Kind, Tokens};

const WAKER: Token = Token(0);
const MOST_EVENTS: usize = 4096;
/// How long the loop may be deaf to its timers.
const LONGEST_WAIT: Duration = Duration::from_millis(100);
/// The longest lateness that is told apart, in microseconds.
const MOST_LATE: u64 = 60_000_000;

struct Worker {
    poll: Poll,
    tokens: Tokens,
    hollow: BTreeMap<usize, Hollow>,
    /// Who has a token.
    owners: HashMap<Token, usize>,
    late: Histogram<u64>,
    asks: (usize, u64),
}

/// Runs until the input ends.
pub fn run() -> Result<bool, String> {
    let told = |error: std::io::Error| error.to_string();
    let poll = Poll::new().map_err(told)?;
    let waker = Waker::new(poll.registry(), WAKER).map_err(told)?;
    let commands = listen(waker);
    let late = Histogram::new_with_bounds(1, MOST_LATE, 2).map_err(|error| error.to_string())?;
    let mut worker = Worker {
        poll,
        tokens: Tokens::new(),
        hollow: BTreeMap::new(),
        owners: HashMap::new(),
        late,
        asks: (0, 1),
    };
    worker.serve(&commands).map_err(told)?;
    Ok(true)
}

/// Reads commands in a thread of its own. The end of the input ends the process at once: whoever started it has gone.
fn listen(waker: Waker) -> Receiver<Command> {
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
                Err(why) => {
                    eprintln!("hollow-worker: unusable command: {why}");
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
        let mut events = Events::with_capacity(MOST_EVENTS);
        let mut out = std::io::stdout();
        loop {
            let due = self.hollow.values().map(|hollow| hollow.due).min();
            let longest = Instant::now() + LONGEST_WAIT;
            let due = due.unwrap_or(longest).min(longest);
            let wait = due.saturating_duration_since(Instant::now());
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
                other => other?,
            }
            self.count_late(due);
            let mut seen = self.turn_all(&events);
            while let Ok(command) = commands.try_recv() {
                self.obey(command, &mut seen);
            }
            for one in seen {
                serde_json::to_writer(&mut out, &one)?;
                out.write_all(b"\n")?;
            }
            out.flush()?;
        }
    }

    /// Only a wait that ran out tells how late the loop is.
    fn count_late(&mut self, due: Instant) {
        let now = Instant::now();
        if now >= due {
            self.late.saturating_record((now - due).as_micros() as u64);
        }
    }

    fn turn_all(&mut self, events: &Events) -> Vec<Seen> {
        let mut ready: BTreeMap<usize, Vec<Token>> = BTreeMap::new();
        for event in events {
            if let Some(who) = self.owners.get(&event.token()) {
                ready.entry(*who).or_default().push(event.token());
            }
        }
        let mut seen = Vec::new();
        for (who, hollow) in &mut self.hollow {
            let tokens = ready.remove(who).unwrap_or_default();
            let now = Instant::now();
            if tokens.is_empty() && hollow.due > now {
                continue;
            }
            let told = hollow.turn(now, &tokens, self.poll.registry());
            let at = unix_micros();
            seen.extend(told.into_iter().map(|told| match told {
                Told::List(index) => Seen::List { who: *who, index, at },
                Told::Revision(number, hash) => Seen::Revision { who: *who, number, hash, at },
            }));
        }
        seen
    }

    fn obey(&mut self, command: Command, seen: &mut Vec<Seen>) {
        match command {
            Command::Start(all) => {
                for (who, folder) in all {
                    if let Err(why) = self.start(who, &folder) {
                        seen.push(Seen::Failed(who, why));
                    }
                }
            }
            Command::Drop(all) => {
                self.hollow.retain(|who, _| !all.contains(who));
                self.owners.retain(|_, who| !all.contains(who));
            }
            Command::Ask { each, of } => {
                self.asks = (each, of);
                let now = Instant::now();
                self.hollow.values_mut().for_each(|hollow| hollow.ask(now, each, of));
            }
            Command::Status => {
                let hollow = self.hollow.values().map(Hollow::standing).collect();
                let late = Late {
                    turns: self.late.len(),
                    most: self.late.max(),
                    p99: self.late.value_at_quantile(0.99),
                };
                self.late.reset();
                seen.push(Seen::Status { hollow, late });
            }
        }
    }

    fn start(&mut self, who: usize, folder: &std::path::Path) -> Result<(), String> {
        let first = self.tokens.next(Kind::Operator).0;
        let now = Instant::now();
        let started = Hollow::start(who, folder, self.poll.registry(), &mut self.tokens, now);
        let end = self.tokens.next(Kind::Operator).0;
        let mut hollow = started?;
        hollow.ask(now, self.asks.0, self.asks.1);
        // Every token that was given out in between is this one's, whatever it names.
        self.owners.extend((first..end).map(|token| (Token(token), who)));
        self.hollow.insert(who, hollow);
        Ok(())
    }
}
