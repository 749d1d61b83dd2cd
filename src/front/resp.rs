//! Clients that speak RESP2: `OBJ.GET`, `OBJ.PUT`, `PING` and `INFO`.

use super::{Closing, Declined, Intake, Protocol, ELSEWHERE_AFTER, MOST_INPUT};
use crate::config::Wire;
use crate::core::{Answer, Content, Operation};
use crate::flow::{Budget, Flow, LONG, LONGEST};
use crate::interface::{NewRequest, RequestId, VolumeId};
use crate::resp::{self, Value};
use std::collections::VecDeque;
use std::time::Duration;

/// An id is not longer.
const LONGEST_ID: usize = 64;
/// Words of a write, the body last.
const PUT_WORDS: usize = 5;
/// A body has come by then. Guards against one that comes byte by byte for good.
const LONGEST_BODY: Duration = Duration::from_secs(20);

/// RESP2, with the names that requests use.
pub struct Resp {
    pub wire: Wire,
    /// When a client is to come again whose request was declined.
    pub retry_after: Duration,
    /// Commands of one connection that wait for their answers; beyond it nothing more is taken.
    pub most_pending: usize,
    /// For bodies that are held whole.
    pub budget: Budget,
}

/// Commands without a written answer, in order.
#[derive(Default)]
pub struct Session {
    pending: VecDeque<Pending>,
    next_place: u64,
    /// A request was among its commands.
    requested: bool,
    /// The body of the last command, of which not all has come.
    receiving: Option<Receiving>,
}

#[derive(Default)]
struct Pending {
    place: u64,
    request: Option<RequestId>,
    answer: Option<Vec<u8>>,
    /// The answer goes on.
    unfinished: bool,
}

struct Receiving {
    place: u64,
    /// When its head had come.
    since: Duration,
    flow: Flow,
    patience: Duration,
    /// What is asked for, until it is.
    command: Option<Box<(NewRequest, Content)>>,
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
        if session.receiving.is_some() {
            return self.receive(session, input, output, intake);
        }
        if self.is_full(session) {
            return Ok(0);
        }
        let place = session.next_place;
        let (length, request, answer) = match self.parse(input) {
            Ok(None) => match resp::head(input, PUT_WORDS - 1, LONGEST) {
                Ok(Some(head)) if head.elements == PUT_WORDS => {
                    let length = head.start;
                    self.begin_body(session, head, output, intake);
                    return Ok(length);
                }
                _ if input.len() < MOST_INPUT => return Ok(0),
                _ => (None, None, Some(error("Protocol error: too long a command"))),
            },
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
                    session.requested = true;
                    match intake.take((place, length), new, patience, *content) {
                        Ok(request) => (Some(length), Some(request), None),
                        Err(why) => (Some(length), None, Some(self.declined(why))),
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
        session.pending.push_back(Pending { place, request, answer, unfinished: false });
        session.write_in_order(output);
        length.ok_or(Closing)
    }

    fn answer(&self, session: &mut Session, place: u64, answer: Answer, output: &mut Vec<u8>) {
        if let Some(receiving) = session.receiving.as_mut().filter(|receiving| receiving.place == place) {
            // Its answer came before its last byte: what still comes is passed over.
            receiving.flow.abandon();
        }
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

    fn has_requested(&self, session: &Session) -> bool {
        session.requested
    }

    fn begin(&self, session: &mut Session, place: u64, length: usize, output: &mut Vec<u8>) {
        if let Some(pending) = session.pending.iter_mut().find(|pending| pending.place == place) {
            pending.answer = Some(format!("${length}\r\n").into_bytes());
            pending.unfinished = true;
        }
        session.write_in_order(output);
    }

    fn piece(&self, session: &mut Session, place: u64, piece: &[u8], output: &mut Vec<u8>) {
        if let Some(pending) = session.pending.iter_mut().find(|pending| pending.place == place) {
            pending.answer.get_or_insert_default().extend_from_slice(piece);
        }
        session.write_in_order(output);
    }

    fn finish(&self, session: &mut Session, place: u64, output: &mut Vec<u8>) {
        if let Some(pending) = session.pending.iter_mut().find(|pending| pending.place == place) {
            pending.answer.get_or_insert_default().extend_from_slice(b"\r\n");
            pending.unfinished = false;
        }
        session.write_in_order(output);
    }

    fn kept_back(&self, session: &Session) -> usize {
        let held = session.pending.iter().filter_map(|pending| pending.answer.as_ref());
        held.map(Vec::len).sum()
    }

    fn is_receiving(&self, session: &Session) -> bool {
        session.receiving.is_some()
    }

    fn is_full(&self, session: &Session) -> bool {
        let held_up = |receiving: &Receiving| receiving.flow.room() == 0 && !receiving.flow.is_complete();
        match &session.receiving {
            Some(receiving) => held_up(receiving),
            None => session.pending.len() >= self.most_pending,
        }
    }

    fn is_idle(&self, session: &Session) -> bool {
        session.pending.is_empty() && session.receiving.is_none()
    }
}

impl Resp {
    /// A whole command, unless its body is long: that one is passed through.
    fn parse(&self, input: &[u8]) -> Result<Option<(Value, usize)>, String> {
        match resp::parse(input) {
            Err(why) => match resp::head(input, PUT_WORDS - 1, LONGEST) {
                Ok(Some(head)) if head.elements == PUT_WORDS && head.length > LONG => Ok(None),
                _ => Err(why),
            },
            whole => whole,
        }
    }

    /// A write of which all but the body has come.
    fn begin_body(&self, session: &mut Session, head: resp::Head, output: &mut Vec<u8>, intake: &mut Intake) {
        let place = session.next_place;
        let mut words: Vec<Value> = head.words.into_iter().map(|word| Value::Bulk(Some(word))).collect();
        words.push(Value::Bulk(Some(Vec::new())));
        let flow = Flow::new(head.length, self.budget.grant(head.length));
        let mut pending = Pending { place, ..Pending::default() };
        let (mut patience, mut command) = (Duration::ZERO, None);
        match read_command(Value::Array(Some(words)), &self.wire) {
            Ok(Command::Request { new, patience: waits, mut content }) => {
                session.requested = true;
                content.flow = Some(flow.clone());
                (patience, command) = (waits, Some(Box::new((new, *content))));
                intake.core.counters.bodies_long += u64::from(head.length > LONG);
            }
            Ok(_) => pending.answer = Some(error("unknown command")),
            Err(why) => {
                intake.core.counters.commands_unusable += 1;
                pending.answer = Some(error(&why));
            }
        }
        if let Some(why) = intake.declines.filter(|_| command.is_some()) {
            // Told before the body has come, so that it need not come.
            (command, pending.answer) = (None, Some(self.declined(why)));
        }
        if command.is_none() {
            flow.abandon();
        }
        session.next_place += 1;
        session.pending.push_back(pending);
        session.receiving = Some(Receiving { place, since: intake.now, flow, patience, command });
        session.write_in_order(output);
    }

    /// Some of a body has come. It is asked for once all has come, or once no more is held of it.
    fn receive(
        &self,
        session: &mut Session,
        input: &[u8],
        output: &mut Vec<u8>,
        intake: &mut Intake,
    ) -> Result<usize, Closing> {
        let Some(mut receiving) = session.receiving.take() else { return Ok(0) };
        let flow = &receiving.flow;
        if intake.now.saturating_sub(receiving.since) > LONGEST_BODY {
            return Err(Closing);
        }
        let mut count = flow.room().min(input.len());
        flow.push(&input[..count]);
        let complete = flow.is_complete();
        let mut done = false;
        if complete {
            match input.get(count..count + 2) {
                Some(b"\r\n") => (count, done) = (count + 2, true),
                Some(_) => {
                    let answer = Some(error("Protocol error: a bulk string ends without CRLF"));
                    session.settle(receiving.place, answer, output);
                    return Err(Closing);
                }
                None => {}
            }
        }
        if done || (flow.room() == 0 && !complete) {
            if let Some(command) = receiving.command.take() {
                let (new, mut content) = *command;
                if done && flow.length() <= LONG {
                    // It is no different from one that came in one piece.
                    content.body = flow.copy(0, flow.length());
                    content.flow = None;
                }
                // The client's time counts from its last byte, which may be long in coming.
                let patience = receiving.patience + if done { Duration::ZERO } else { LONGEST_BODY };
                match intake.take((receiving.place, count), new, patience, content) {
                    Ok(request) => {
                        let pending = session.pending.iter_mut().find(|it| it.place == receiving.place);
                        pending.into_iter().for_each(|pending| pending.request = Some(request));
                    }
                    Err(why) => {
                        flow.abandon();
                        session.settle(receiving.place, Some(self.declined(why)), output);
                    }
                }
            } else if done {
                let request = session.pending.iter().find(|it| it.place == receiving.place);
                if let Some(request) = request.and_then(|pending| pending.request) {
                    intake.body_came(request, count, receiving.patience);
                }
            }
        }
        let pending = session.pending.iter().find(|it| it.place == receiving.place);
        if let Some(request) = pending.and_then(|pending| pending.request) {
            intake.core.body_moved(request);
        }
        if !done {
            session.receiving = Some(receiving);
        }
        Ok(count)
    }

    fn declined(&self, why: Declined) -> Vec<u8> {
        match why {
            Declined::Full | Declined::Late => refusal(self.retry_after),
            Declined::Elsewhere => refusal(ELSEWHERE_AFTER),
            Declined::IdInUse => error("the id is in use"),
        }
    }
}

impl Session {
    /// Answers a command that the core does not answer.
    fn settle(&mut self, place: u64, answer: Option<Vec<u8>>, output: &mut Vec<u8>) {
        if let Some(pending) = self.pending.iter_mut().find(|pending| pending.place == place) {
            pending.answer = answer;
        }
        self.write_in_order(output);
    }

    /// Answers go out in the order of their commands.
    fn write_in_order(&mut self, output: &mut Vec<u8>) {
        let whole = |pending: &mut Pending| pending.answer.is_some() && !pending.unfinished;
        while let Some(pending) = self.pending.pop_front_if(whole) {
            output.extend(pending.answer.unwrap_or_default());
        }
        // What there is of the next one goes out as it comes.
        if let Some(answer) = self.pending.front_mut().and_then(|pending| pending.answer.as_mut()) {
            output.append(answer);
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
    let content = Content { operation, object, id, attributes, body, flow: None, extent: None };
    Ok(Command::Request { new, patience, content: Box::new(content) })
}

/// Reads the list of names and values. What is passed on leaves out the deadline.
fn read_attributes(list: &str, object: &str, wire: &Wire) -> Result<(NewRequest, Duration, String), String> {
    let mut new =
        NewRequest { key: hex(object, "piece of data")?, volume_initiators: 1.0, ..NewRequest::default() };
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
            "hosts" => new.volume_initiators = positive(name, value)?.max(1.0),
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
