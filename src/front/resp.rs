//! RESP2 front: the commands `OBJ.GET`, `OBJ.PUT`, `PING` and `INFO`.

use super::{
    Abandoned, CloseConnection, Declined, Intake, Protocol, UnfinishedAnswer, BODY_TIMEOUT, MAX_INPUT_BYTES,
    MOVED_RETRY_AFTER,
};
use crate::config::Wire;
use crate::core::{Answer, Content, Operation};
use crate::flow::{BodyStream, MAX_VALUE_BYTES, STREAM_THRESHOLD};
use crate::interface::{NewRequest, RequestId, VolumeId};
use crate::memory::Budget;
use crate::resp::{self, Value};
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum length of a request id.
const MAX_ID_BYTES: usize = 64;
/// Bytes that end a body.
const TERMINATOR: &[u8] = b"\r\n";
/// Elements of a write command, with the body last.
const PUT_ELEMENTS: usize = 5;

/// The RESP2 protocol, with the configured names that requests refer to.
pub struct Resp {
    pub wire: Wire,
    /// Retry delay for declined requests.
    pub retry_after: Duration,
    /// Unanswered commands on a connection above which no more are taken.
    pub max_pending: usize,
    /// Memory for bodies that are received.
    pub budget: Budget,
}

/// Unanswered commands of a connection, in order.
#[derive(Default)]
pub struct Session {
    pending: VecDeque<Pending>,
    next_sequence: u64,
    /// Whether any of its commands was a request.
    request_received: bool,
    /// The body that is being received; it belongs to the last command.
    receiving: Option<Receiving>,
}

#[derive(Default)]
struct Pending {
    sequence: u64,
    request: Option<RequestId>,
    answer: Option<Vec<u8>>,
    /// The answer is being streamed: more of it follows.
    unfinished: bool,
    /// A part of the streamed answer was passed on.
    begun: bool,
}

struct Receiving {
    sequence: u64,
    /// When the head of the command was received.
    head_received_at: Duration,
    /// When the kernel last had nothing more of the body: its last byte arrived later. What this side leaves there may
    /// have been whole ever since.
    drained_at: Duration,
    /// Whether something was left there since, for want of memory.
    left_unread: bool,
    body_stream: BodyStream,
    timeout: Duration,
    /// The request, until it is submitted.
    unsubmitted: Option<Box<(NewRequest, Content)>>,
}

impl Protocol for Resp {
    type Session = Session;

    fn new_session(&self) -> Session {
        Session::default()
    }

    fn handle_command(
        &self,
        session: &mut Session,
        input: &[u8],
        output: &mut Vec<u8>,
        intake: &mut Intake,
    ) -> Result<usize, CloseConnection> {
        if session.receiving.is_some() {
            return self.receive_body(session, input, output, intake);
        }
        if self.is_blocked(session) {
            return Ok(0);
        }
        let sequence = session.next_sequence;
        let (length, request, answer) = match self.parse(input) {
            Ok(None) => match resp::parse_head(input, PUT_ELEMENTS - 1, MAX_VALUE_BYTES) {
                Ok(Some(head)) if head.elements == PUT_ELEMENTS => {
                    let length = head.start;
                    self.begin_body(session, head, output, intake);
                    return Ok(length);
                }
                _ if input.len() < MAX_INPUT_BYTES => return Ok(0),
                _ => (None, None, Some(error_line("Protocol error: too long a command"))),
            },
            Ok(Some((value, length))) => match read_command(value, &self.wire) {
                Ok(Command::Ping) if intake.ready => (Some(length), None, Some(b"+PONG\r\n".to_vec())),
                Ok(Command::Ping) => (Some(length), None, Some(error_line("no clients are taken"))),
                Ok(Command::Info(section)) => {
                    let mut text = Vec::new();
                    match intake.core.report(&section) {
                        Some(report) => resp::write_bulk(&mut text, report.as_bytes()),
                        None => resp::write_bulk(&mut text, intake.core.info().as_bytes()),
                    }
                    (Some(length), None, Some(text))
                }
                Ok(Command::Request { new, timeout, content }) => {
                    session.request_received = true;
                    let submitted = match intake.decline_new(length) {
                        Some(reason) => Err(reason),
                        None => intake.submit((sequence, length), new, timeout, *content),
                    };
                    match submitted {
                        Ok(request) => (Some(length), Some(request), None),
                        Err(reason) => (Some(length), None, Some(self.decline_answer(reason))),
                    }
                }
                Err(reason) => {
                    tracing::debug!("unusable command: {reason}");
                    intake.core.counters.commands_rejected += 1;
                    (Some(length), None, Some(error_line(&reason)))
                }
            },
            Err(reason) => (None, None, Some(error_line(&format!("Protocol error: {reason}")))),
        };
        session.next_sequence += 1;
        session.pending.push_back(Pending { sequence, request, answer, ..Pending::default() });
        session.write_ready_answers(output);
        length.ok_or(CloseConnection)
    }

    fn write_answer(&self, session: &mut Session, sequence: u64, answer: Answer, output: &mut Vec<u8>) {
        if let Some(receiving) = session.receiving.as_mut().filter(|receiving| receiving.sequence == sequence)
        {
            // The request was answered before its body was complete: the rest is discarded.
            receiving.body_stream.discard();
        }
        let Some(pending) = session.pending_mut(sequence) else { return };
        pending.answer = Some(match answer {
            Answer::Served(value) => {
                let mut text = Vec::with_capacity(value.len() + 16);
                resp::write_bulk(&mut text, &value);
                text
            }
            Answer::Refused { retry_after } => busy_line(retry_after),
            Answer::Failed => error_line("failed"),
        });
        session.write_ready_answers(output);
    }

    fn open_requests(&self, session: &Session) -> Vec<RequestId> {
        session.pending.iter().filter_map(|pending| pending.request).collect()
    }

    fn has_sent_command(&self, session: &Session) -> bool {
        session.next_sequence > 0
    }

    fn has_sent_request(&self, session: &Session) -> bool {
        session.request_received
    }

    fn begin_answer(&self, session: &mut Session, sequence: u64, length: usize) {
        if let Some(pending) = session.pending_mut(sequence) {
            pending.answer = Some(format!("${length}\r\n").into_bytes());
            pending.unfinished = true;
        }
    }

    fn add_piece(&self, session: &mut Session, sequence: u64, piece: &[u8]) {
        if let Some(pending) = session.pending_mut(sequence) {
            pending.answer.get_or_insert_default().extend_from_slice(piece);
        }
    }

    fn finish_answer(&self, session: &mut Session, sequence: u64, output: &mut Vec<u8>) {
        if let Some(pending) = session.pending_mut(sequence) {
            pending.answer.get_or_insert_default().extend_from_slice(b"\r\n");
            pending.unfinished = false;
        }
        session.write_ready_answers(output);
    }

    fn discard_answer(&self, session: &mut Session, sequence: u64) {
        if let Some(pending) = session.pending_mut(sequence) {
            debug_assert!(!pending.begun, "the client has a part of this answer");
            (pending.answer, pending.unfinished) = (None, false);
        }
    }

    fn unfinished_answer<'a>(&self, session: &'a mut Session) -> Option<UnfinishedAnswer<'a>> {
        let has_successors = session.pending.len() > 1;
        let next = session.pending.front_mut().filter(|pending| pending.unfinished)?;
        let (request, sequence, bytes) = (next.request?, next.sequence, next.answer.as_mut()?);
        Some(UnfinishedAnswer { request, sequence, has_successors, bytes, begun: &mut next.begun })
    }

    fn is_unanswered(&self, session: &Session, sequence: u64) -> bool {
        session.pending.iter().any(|pending| pending.sequence == sequence)
    }

    fn buffered_answer_bytes(&self, session: &Session) -> usize {
        self.buffered_bytes_through(session, u64::MAX)
    }

    fn buffered_bytes_through(&self, session: &Session, sequence: u64) -> usize {
        let through = session.pending.iter().take_while(|pending| pending.sequence <= sequence);
        through.filter_map(|pending| pending.answer.as_ref()).map(Vec::len).sum()
    }

    fn max_input(&self, session: &Session) -> usize {
        match &session.receiving {
            // What the body can't take stays with the kernel.
            Some(receiving) => {
                let capacity = receiving.body_stream.capacity();
                let terminator = if receiving.body_stream.is_ending() { TERMINATOR.len() } else { 0 };
                (capacity + terminator).min(MAX_INPUT_BYTES)
            }
            None => MAX_INPUT_BYTES,
        }
    }

    fn abandon_unfinished(&self, session: &mut Session, reason: Abandoned, output: &mut Vec<u8>) {
        let Some(receiving) = session.receiving.take() else { return };
        receiving.body_stream.discard();
        if receiving.unsubmitted.is_some() {
            let answer = match reason {
                Abandoned::ByClient => error_line("the command is not whole"),
                Abandoned::Ending => self.decline_answer(Declined::Draining),
            };
            session.set_answer(receiving.sequence, Some(answer), output);
        }
    }

    fn is_receiving_body(&self, session: &Session) -> bool {
        session.receiving.is_some()
    }

    fn is_blocked(&self, session: &Session) -> bool {
        let blocked = |receiving: &Receiving| {
            receiving.body_stream.capacity() == 0 && !receiving.body_stream.is_complete()
        };
        match &session.receiving {
            Some(receiving) => blocked(receiving),
            None => session.pending.len() >= self.max_pending,
        }
    }

    fn has_unanswered(&self, session: &Session) -> bool {
        !session.pending.is_empty()
    }

    fn is_idle(&self, session: &Session) -> bool {
        session.pending.is_empty() && session.receiving.is_none()
    }
}

impl Resp {
    /// Parses a whole command. `None` if it is incomplete or has a long body, which is streamed instead.
    fn parse(&self, input: &[u8]) -> Result<Option<(Value, usize)>, String> {
        match resp::parse(input) {
            Err(reason) => match resp::parse_head(input, PUT_ELEMENTS - 1, MAX_VALUE_BYTES) {
                Ok(Some(head)) if head.elements == PUT_ELEMENTS && head.length > STREAM_THRESHOLD => Ok(None),
                _ => Err(reason),
            },
            whole => whole,
        }
    }

    /// Begins a write command whose head has been received and whose body follows.
    fn begin_body(&self, session: &mut Session, head: resp::Head, output: &mut Vec<u8>, intake: &mut Intake) {
        let sequence = session.next_sequence;
        let mut words: Vec<Value> = head.words.into_iter().map(|word| Value::Bulk(Some(word))).collect();
        words.push(Value::Bulk(Some(Vec::new())));
        let body_stream = BodyStream::take(&self.budget, head.length);
        let mut pending = Pending { sequence, ..Pending::default() };
        let (mut timeout, mut unsubmitted) = (Duration::ZERO, None);
        match read_command(Value::Array(Some(words)), &self.wire) {
            Ok(Command::Request { new, timeout: client_timeout, mut content }) => {
                session.request_received = true;
                content.body_stream = Some(body_stream.clone());
                (timeout, unsubmitted) = (client_timeout, Some(Box::new((new, *content))));
                intake.core.counters.bodies_streamed += u64::from(head.length > STREAM_THRESHOLD);
            }
            Ok(_) => pending.answer = Some(error_line("unknown command")),
            Err(reason) => {
                intake.core.counters.commands_rejected += 1;
                pending.answer = Some(error_line(&reason));
            }
        }
        let no_memory = body_stream.is_discarded().then_some(Declined::AtCapacity);
        let declined = intake.decline_new(head.start).or(no_memory);
        if let Some(reason) = declined.filter(|_| unsubmitted.is_some()) {
            // Answered before the body is received, so that the client need not send it.
            (unsubmitted, pending.answer) = (None, Some(self.decline_answer(reason)));
        }
        if unsubmitted.is_none() {
            body_stream.discard();
        }
        session.next_sequence += 1;
        session.pending.push_back(pending);
        session.receiving = Some(Receiving {
            sequence,
            head_received_at: intake.now,
            drained_at: intake.now,
            left_unread: false,
            body_stream,
            timeout,
            unsubmitted,
        });
        session.write_ready_answers(output);
    }

    /// Receives part of a body. The request is submitted once the body is complete, or once the body stream takes no
    /// more of it.
    fn receive_body(
        &self,
        session: &mut Session,
        input: &[u8],
        output: &mut Vec<u8>,
        intake: &mut Intake,
    ) -> Result<usize, CloseConnection> {
        let Some(mut receiving) = session.receiving.take() else { return Ok(0) };
        let body_stream = &receiving.body_stream;
        if intake.now.saturating_sub(receiving.head_received_at) > BODY_TIMEOUT {
            return Err(CloseConnection);
        }
        let mut count = body_stream.capacity().min(input.len());
        body_stream.push(&input[..count]);
        let complete = body_stream.is_complete();
        let mut done = false;
        if complete {
            match input.get(count..count + TERMINATOR.len()) {
                Some(terminator) if terminator == TERMINATOR => {
                    body_stream.terminate();
                    (count, done) = (count + TERMINATOR.len(), true);
                }
                Some(_) => {
                    let answer = Some(error_line("Protocol error: a bulk string ends without CRLF"));
                    session.set_answer(receiving.sequence, answer, output);
                    return Err(CloseConnection);
                }
                None => {}
            }
        }
        if done || (body_stream.capacity() == 0 && !complete) {
            if let Some(command) = receiving.unsubmitted.take() {
                let (new, mut content) = *command;
                if done && body_stream.length() <= STREAM_THRESHOLD {
                    // From here on it is the same as a command received in one piece.
                    content.body = body_stream.copy(0, body_stream.length());
                    content.body_stream = None;
                }
                let (command, timeout) = ((receiving.sequence, count), receiving.timeout);
                let submitted = match done {
                    true => intake.submit(command, new, timeout, content),
                    false => {
                        let timeouts = (timeout, BODY_TIMEOUT);
                        intake.submit_unfinished(command, new, timeouts, receiving.drained_at, content)
                    }
                };
                match submitted {
                    Ok(request) => {
                        let pending = session.pending.iter_mut().find(|it| it.sequence == receiving.sequence);
                        pending.into_iter().for_each(|pending| pending.request = Some(request));
                    }
                    Err(reason) => {
                        body_stream.discard();
                        session.set_answer(receiving.sequence, Some(self.decline_answer(reason)), output);
                    }
                }
            }
        }
        let drained = intake.drained && count == input.len();
        let request = session.pending.iter().find(|it| it.sequence == receiving.sequence);
        let request = request.and_then(|pending| pending.request);
        if drained && !done {
            // It is the client that has to go on.
            (receiving.drained_at, receiving.left_unread) = (intake.now, false);
            request.into_iter().for_each(|id| intake.last_byte_at(id, intake.now, receiving.timeout));
        } else if done && !receiving.left_unread {
            let arrival = intake.arrival_of_command(count);
            request.into_iter().for_each(|id| intake.last_byte_at(id, arrival, receiving.timeout));
        } else if body_stream.capacity() == 0 {
            receiving.left_unread = true;
        }
        request.into_iter().for_each(|id| intake.core.body_available(id));
        if !done {
            session.receiving = Some(receiving);
        }
        Ok(count)
    }

    fn decline_answer(&self, reason: Declined) -> Vec<u8> {
        match reason {
            Declined::AtCapacity | Declined::Draining | Declined::Late => busy_line(self.retry_after),
            Declined::AddressMoved => busy_line(MOVED_RETRY_AFTER),
            Declined::IdInUse => error_line("the id is in use"),
        }
    }
}

impl Session {
    /// Sets the answer of a command that the core does not answer.
    fn set_answer(&mut self, sequence: u64, answer: Option<Vec<u8>>, output: &mut Vec<u8>) {
        if let Some(pending) = self.pending_mut(sequence) {
            pending.answer = answer;
        }
        self.write_ready_answers(output);
    }

    /// Writes answers in the order of their commands.
    fn write_ready_answers(&mut self, output: &mut Vec<u8>) {
        let whole = |pending: &mut Pending| pending.answer.is_some() && !pending.unfinished;
        while let Some(pending) = self.pending.pop_front_if(whole) {
            let answer = pending.answer.unwrap_or_default();
            // A long answer is not copied.
            if output.is_empty() {
                *output = answer;
            } else {
                output.extend(answer);
            }
        }
    }

    fn pending_mut(&mut self, sequence: u64) -> Option<&mut Pending> {
        self.pending.iter_mut().find(|pending| pending.sequence == sequence)
    }
}

/// An error reply. Control characters in quoted input are replaced, as they could break the line.
fn error_line(reason: &str) -> Vec<u8> {
    let line: String = reason.chars().map(|c| if c.is_control() { '?' } else { c }).collect();
    format!("-ERR {line}\r\n").into_bytes()
}

fn busy_line(retry_after: Duration) -> Vec<u8> {
    match retry_after.as_millis() {
        0 => b"-BUSY\r\n".to_vec(),
        millis => format!("-BUSY {millis}\r\n").into_bytes(),
    }
}

enum Command {
    Ping,
    /// With the name of a section, or empty.
    Info(String),
    Request {
        new: NewRequest,
        timeout: Duration,
        content: Box<Content>,
    },
}

/// Parses a command; an error is reported to the client.
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
    // Without an id a node cannot recognize a repeated request.
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("the id is no id".into());
    }
    let body = words.next().unwrap_or_default();
    let (new, timeout, attributes) = read_attributes(&attributes, &object, wire)?;
    let content = Content { operation, object, id, attributes, body, body_stream: None, extent: None };
    Ok(Command::Request { new, timeout, content: Box::new(content) })
}

/// Parses the list of attributes. The list that is passed on to nodes leaves out the deadline.
fn read_attributes(list: &str, object: &str, wire: &Wire) -> Result<(NewRequest, Duration, String), String> {
    let mut new = NewRequest {
        key: parse_hex(object, "piece of data")?,
        volume_initiators: 1.0,
        ..NewRequest::default()
    };
    let (mut class, mut plan, mut timeout, mut volume, mut units, mut shard) =
        (None, None, None, None, None, None);
    let mut passed_on = Vec::new();
    for pair in list.split(',') {
        let (name, value) = pair.split_once('=').ok_or_else(|| format!("{pair:?} has no value"))?;
        let position = |names: &[String]| {
            names
                .iter()
                .position(|known| known == value)
                .ok_or_else(|| format!("{name}={value} is not known"))
        };
        match name {
            "c" => class = Some(position(&wire.classes)?),
            "t" => plan = Some(position(&wire.plans)?),
            "d" => timeout = Some(Duration::from_secs_f64(parse_positive(name, value)? / 1000.0)),
            "volume" => volume = Some(VolumeId(parse_hex(value, name)?)),
            "units" => units = Some(parse_positive(name, value)?),
            "shard" if value == "-1" => shard = Some(None),
            "shard" => shard = Some(Some(value.parse().map_err(|_| format!("shard={value} is no shard"))?)),
            "hosts" => new.volume_initiators = parse_positive(name, value)?.max(1.0),
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
    // Limited by the class's deadline: a request may be queued for as long as its client waits.
    let timeout = timeout.ok_or_else(|| missing("d"))?.min(wire.deadlines[new.class]);
    Ok((new, timeout, passed_on.join(",")))
}

fn parse_hex(text: &str, what: &str) -> Result<u64, String> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16)
        .ok()
        .filter(|_| digits)
        .ok_or_else(|| format!("the {what} is not 16 hexadecimal digits"))
}

/// Parses a number in plain digits, above zero and below 10⁹.
fn parse_positive(name: &str, value: &str) -> Result<f64, String> {
    let plain = value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = value.parse().ok().filter(|number| plain && *number > 0.0 && *number < 1e9);
    number.ok_or_else(|| format!("{name}={value} is not a number above zero"))
}
