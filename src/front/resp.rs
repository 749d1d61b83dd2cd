//! Clients that speak RESP2: `OBJ.GET`, `OBJ.PUT`, `PING` and `INFO`.

use super::{Closing, Declined, Intake, Protocol, ELSEWHERE_AFTER, MOST_INPUT};
use crate::config::Wire;
use crate::core::{Answer, Content, Operation};
use crate::interface::{NewRequest, RequestId, VolumeId};
use crate::resp::{self, Value};
use std::collections::VecDeque;
use std::time::Duration;

/// Commands of one connection that wait for their answers; beyond it nothing more is taken.
const MOST_PENDING: usize = 64;
/// An id is not longer.
const LONGEST_ID: usize = 64;

/// RESP2, with the names that requests use.
pub struct Resp {
    pub wire: Wire,
    /// When a client is to come again whose request was declined.
    pub retry_after: Duration,
}

/// Commands without a written answer, in order.
#[derive(Default)]
pub struct Session {
    pending: VecDeque<Pending>,
    next_place: u64,
}

struct Pending {
    place: u64,
    request: Option<RequestId>,
    answer: Option<Vec<u8>>,
}

impl Protocol for Resp {
    type Session = Session;

    fn session(&self) -> Session {
        Session::default()
    }

    fn take(
        &self,
        session: &mut Session,
        input: &[u8],
        output: &mut Vec<u8>,
        intake: &mut Intake,
    ) -> Result<usize, Closing> {
        if self.is_full(session) {
            return Ok(0);
        }
        let place = session.next_place;
        let (length, request, answer) = match resp::parse(input) {
            Ok(None) if input.len() < MOST_INPUT => return Ok(0),
            Ok(None) => (None, None, Some(error("Protocol error: too long a command"))),
            Ok(Some((value, length))) => match read_command(value, &self.wire) {
                Ok(Command::Ping) if intake.yes => (Some(length), None, Some(b"+PONG\r\n".to_vec())),
                Ok(Command::Ping) => (Some(length), None, Some(error("no clients are taken"))),
                Ok(Command::Info(section)) => {
                    let mut text = Vec::new();
                    match intake.core.report(&section) {
                        Some(report) => resp::bulk(&mut text, report.as_bytes()),
                        None => resp::bulk(&mut text, intake.core.info().as_bytes()),
                    }
                    (Some(length), None, Some(text))
                }
                Ok(Command::Request { new, patience, content }) => {
                    match intake.take(place, new, patience, *content) {
                        Ok(request) => (Some(length), Some(request), None),
                        Err(Declined::Full) => (Some(length), None, Some(refusal(self.retry_after))),
                        Err(Declined::Elsewhere) => (Some(length), None, Some(refusal(ELSEWHERE_AFTER))),
                        Err(Declined::IdInUse) => (Some(length), None, Some(error("the id is in use"))),
                    }
                }
                Err(why) => {
                    tracing::debug!("unusable command: {why}");
                    intake.core.counters.commands_unusable += 1;
                    (Some(length), None, Some(error(&why)))
                }
            },
            Err(why) => (None, None, Some(error(&format!("Protocol error: {why}")))),
        };
        session.next_place += 1;
        session.pending.push_back(Pending { place, request, answer });
        session.write_in_order(output);
        length.ok_or(Closing)
    }

    fn answer(&self, session: &mut Session, place: u64, answer: Answer, output: &mut Vec<u8>) {
        let Some(pending) = session.pending.iter_mut().find(|pending| pending.place == place) else { return };
        pending.answer = Some(match answer {
            Answer::Served(value) => {
                let mut text = Vec::with_capacity(value.len() + 16);
                resp::bulk(&mut text, &value);
                text
            }
            Answer::Refused { retry_after } => refusal(retry_after),
            Answer::Failed => error("failed"),
        });
        session.write_in_order(output);
    }

    fn open(&self, session: &Session) -> Vec<RequestId> {
        session.pending.iter().filter_map(|pending| pending.request).collect()
    }

    fn has_asked(&self, session: &Session) -> bool {
        session.next_place > 0
    }

    fn is_full(&self, session: &Session) -> bool {
        session.pending.len() >= MOST_PENDING
    }

    fn is_idle(&self, session: &Session) -> bool {
        session.pending.is_empty()
    }
}

impl Session {
    /// Answers go out in the order of their commands.
    fn write_in_order(&mut self, output: &mut Vec<u8>) {
        while let Some(pending) = self.pending.pop_front_if(|pending| pending.answer.is_some()) {
            output.extend(pending.answer.unwrap_or_default());
        }
    }
}

/// An error line. What it quotes of a command must not break the line.
fn error(why: &str) -> Vec<u8> {
    let line: String = why.chars().map(|c| if c.is_control() { '?' } else { c }).collect();
    format!("-ERR {line}\r\n").into_bytes()
}

fn refusal(retry_after: Duration) -> Vec<u8> {
    match retry_after.as_millis() {
        0 => b"-BUSY\r\n".to_vec(),
        millis => format!("-BUSY {millis}\r\n").into_bytes(),
    }
}

enum Command {
    Ping,
    /// With the name of one part's report, or nothing.
    Info(String),
    Request {
        new: NewRequest,
        patience: Duration,
        content: Box<Content>,
    },
}

/// Reads a command; an error is told to the client.
fn read_command(value: Value, wire: &Wire) -> Result<Command, String> {
    let Value::Array(Some(values)) = value else {
        return Err("a command is an array of bulk strings".into());
    };
    let words = values.into_iter().map(|value| match value {
        Value::Bulk(Some(word)) => Ok(word),
        _ => Err("a command is an array of bulk strings"),
    });
    let words: Vec<Vec<u8>> = words.collect::<Result<_, _>>()?;
    let name = words.first().map(|word| word.to_ascii_uppercase()).unwrap_or_default();
    let (operation, count) = match name.as_slice() {
        b"PING" => return Ok(Command::Ping),
        b"INFO" => {
            let section = words.get(1).map(|word| String::from_utf8_lossy(word).to_ascii_lowercase());
            return Ok(Command::Info(section.unwrap_or_default()));
        }
        b"OBJ.GET" => (Operation::Read, 4),
        b"OBJ.PUT" => (Operation::Write, 5),
        _ => return Err("unknown command".into()),
    };
    if words.len() != count {
        return Err("wrong number of arguments".into());
    }
    let mut words = words.into_iter().skip(1);
    let mut text = |what: &str| {
        let word = words.next().unwrap_or_default();
        String::from_utf8(word).map_err(|_| format!("the {what} is not text"))
    };
    let (object, id, attributes) = (text("piece of data")?, text("id")?, text("list")?);
    // Guards the one rule that an answer belongs to: without an id a node cannot tell a repeat.
    if id.is_empty() || id.len() > LONGEST_ID || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("the id is no id".into());
    }
    let body = words.next().unwrap_or_default();
    let (new, patience, attributes) = read_attributes(&attributes, &object, wire)?;
    let content = Content { operation, object, id, attributes, body, extent: None };
    Ok(Command::Request { new, patience, content: Box::new(content) })
}

/// Reads the list of names and values. What is passed on leaves out the deadline.
fn read_attributes(list: &str, object: &str, wire: &Wire) -> Result<(NewRequest, Duration, String), String> {
    let mut new =
        NewRequest { key: hex(object, "piece of data")?, volume_hosts: 1.0, ..NewRequest::default() };
    let (mut class, mut plan, mut patience, mut volume, mut units, mut shard) =
        (None, None, None, None, None, None);
    let mut passed_on = Vec::new();
    for pair in list.split(',') {
        let (name, value) = pair.split_once('=').ok_or_else(|| format!("{pair:?} has no value"))?;
        let position = |names: &[String]| {
            names.iter().position(|one| one == value).ok_or_else(|| format!("{name}={value} is not known"))
        };
        match name {
            "c" => class = Some(position(&wire.classes)?),
            "t" => plan = Some(position(&wire.plans)?),
            "d" => patience = Some(Duration::from_secs_f64(positive(name, value)? / 1000.0)),
            "volume" => volume = Some(VolumeId(hex(value, name)?)),
            "units" => units = Some(positive(name, value)?),
            "shard" if value == "-1" => shard = Some(None),
            "shard" => shard = Some(Some(value.parse().map_err(|_| format!("shard={value} is no shard"))?)),
            "hosts" => new.volume_hosts = positive(name, value)?.max(1.0),
            _ => {}
        }
        if name != "d" {
            passed_on.push(pair);
        }
    }
    let missing = |name: &str| format!("{name} is missing");
    new.class = class.ok_or_else(|| missing("c"))?;
    new.plan = plan.ok_or_else(|| missing("t"))?;
    new.volume = volume.ok_or_else(|| missing("volume"))?;
    new.units = units.ok_or_else(|| missing("units"))?;
    new.shard = shard.ok_or_else(|| missing("shard"))?;
    // Nobody waits for longer than the class says: it would be held for as long.
    let patience = patience.ok_or_else(|| missing("d"))?.min(wire.deadlines[new.class]);
    Ok((new, patience, passed_on.join(",")))
}

fn hex(text: &str, what: &str) -> Result<u64, String> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16)
        .ok()
        .filter(|_| digits)
        .ok_or_else(|| format!("the {what} is not 16 hexadecimal digits"))
}

/// A number above zero of sensible size, in plain digits.
fn positive(name: &str, value: &str) -> Result<f64, String> {
    let plain = value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = value.parse().ok().filter(|number| plain && *number > 0.0 && *number < 1e9);
    number.ok_or_else(|| format!("{name}={value} is not a number above zero"))
}
