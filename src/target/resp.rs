//! Storage nodes that speak RESP2.

use super::Step;
use crate::core::{AttemptResult, Content, Operation};
use crate::flow::{MAX_VALUE_BYTES, STREAM_THRESHOLD};
use crate::interface::Outcome;
use crate::resp::{self, Value};
use std::time::Duration;

/// Delay before a connection is reused. Answers do not name their request: surplus bytes that a node sends after an
/// answer would be read as the answer to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(10);

/// A short command is sent whole and gets one answer.
#[derive(Default)]
pub struct Session {
    /// Bytes of a long value that are still to be received, once its answer has started.
    value_left: Option<usize>,
    /// Long answers may be passed on before they are complete.
    may_stream: bool,
}

impl super::Session for Session {
    fn open(&mut self, _: &mut Vec<u8>) -> bool {
        true
    }

    fn start(&mut self, content: &Content, time_left: Duration, output: &mut Vec<u8>) -> bool {
        output.extend(encode(content, time_left));
        self.may_stream = content.extent.is_none();
        true
    }

    fn reuse_delay(&self) -> Duration {
        REUSE_DELAY
    }

    fn is_sent(&self) -> bool {
        true
    }

    fn input(&mut self, input: &mut Vec<u8>, _: &mut Vec<u8>) -> Result<Step, String> {
        match self.value_left {
            // The value was passed on; the bytes after it are parsed as the rest of an array whose first element is
            // empty.
            Some(0) => {
                let Some(rest) = input.strip_prefix(b"\r\n") else {
                    return if input.len() < 2 {
                        Ok(Step::Incomplete)
                    } else {
                        Err("a long value is not followed by CRLF".into())
                    };
                };
                let whole = [&b"*3\r\n$0\r\n\r\n"[..], rest].concat();
                let Some((value, length)) = resp::parse(&whole)? else { return Ok(Step::Incomplete) };
                let used = length - (whole.len() - input.len());
                input.drain(..used);
                self.value_left = None;
                Ok(Step::Ended(outcome(value)?))
            }
            Some(_) if input.is_empty() => Ok(Step::Incomplete),
            Some(left) => {
                let piece: Vec<u8> = input.drain(..input.len().min(left)).collect();
                self.value_left = Some(left - piece.len());
                Ok(Step::Data(piece))
            }
            None => {
                let head = resp::parse_head(input, 0, MAX_VALUE_BYTES).ok().flatten();
                match head.filter(|head| {
                    self.may_stream && head.elements == ANSWER_ELEMENTS && head.length > STREAM_THRESHOLD
                }) {
                    Some(head) => {
                        input.drain(..head.start);
                        self.value_left = Some(head.length);
                        Ok(Step::LongAnswer(head.length))
                    }
                    None => match resp::parse(input)? {
                        None => Ok(Step::Incomplete),
                        Some((value, length)) => {
                            input.drain(..length);
                            Ok(Step::Ended(outcome(value)?))
                        }
                    },
                }
            }
        }
    }
}

/// Encodes the command as the client gave it, with the remaining time added.
fn encode(content: &Content, time_left: Duration) -> Vec<u8> {
    let word: &[u8] = match content.operation {
        Operation::Read => b"OBJ.GET",
        Operation::Write => b"OBJ.PUT",
    };
    let attributes = format!("{},d={}", content.attributes, time_left.as_millis().max(1));
    let mut arguments = vec![word, content.object.as_bytes(), content.id.as_bytes(), attributes.as_bytes()];
    if content.operation == Operation::Write {
        arguments.push(&content.body);
    }
    let mut command = resp::command(&arguments);
    if let Some(flow) = &content.body_stream {
        // The body is sent in pieces as it arrives, instead of the empty one.
        command.truncate(command.len() - b"$0\r\n\r\n".len());
        command.extend_from_slice(format!("${}\r\n", flow.length()).as_bytes());
    }
    command
}

/// Usage figures at or above this value are ignored.
const MAX_USAGE: f64 = 1e6;
/// Elements of an answer: the value, the usage figures and the load report.
const ANSWER_ELEMENTS: usize = 3;

/// Interprets an answer. An error means that it is not a valid answer, and nothing more on this connection can be
/// trusted.
fn outcome(value: Value) -> Result<AttemptResult, String> {
    match value {
        Value::Array(Some(values)) if values.len() == ANSWER_ELEMENTS => {
            let mut values = values.into_iter();
            let Some(Value::Bulk(Some(value))) = values.next() else { return Err("missing value".into()) };
            let mut ended = AttemptResult { value, ..AttemptResult::without_reply(Outcome::Served) };
            // Anything else in place of the usage figures is ignored.
            if let Some(Value::Bulk(Some(figures))) = values.next() {
                read_figures(&figures, &mut ended);
            }
            Ok(ended)
        }
        Value::Error(line) => {
            let busy = line == b"BUSY" || line.starts_with(b"BUSY ");
            let known = busy || line == b"ERR" || line.starts_with(b"ERR ");
            if !known {
                return Err("unknown error reply".into());
            }
            let mut ended =
                AttemptResult::without_reply(if busy { Outcome::Rejected } else { Outcome::Error });
            line.split(|byte| *byte == b' ').for_each(|word| read_figures(word, &mut ended));
            Ok(ended)
        }
        _ => Err("the reply is not an answer to a request".into()),
    }
}

/// Reads usage figures such as `used=37,cost=4`; unknown names are ignored.
fn read_figures(text: &[u8], ended: &mut AttemptResult) {
    for pair in String::from_utf8_lossy(text).split(',') {
        let Some((name, figure)) = pair.split_once('=') else { continue };
        // Guards the usage estimates: a single absurd figure would distort all later ones.
        let Some(figure) = figure.parse().ok().filter(|figure| (0.0..MAX_USAGE).contains(figure)) else {
            continue;
        };
        match name {
            "used" => ended.used = Some(figure / 100.0),
            "cost" => ended.elsewhere = figure,
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
