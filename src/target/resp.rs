//! Storage nodes that speak RESP2.

use super::Step;
use crate::core::{Content, Ended, Operation};
use crate::flow::{LONG, LONGEST};
use crate::interface::Outcome;
use crate::resp::{self, Value};
use std::time::Duration;

/// Answers name no request: what a node sends beyond one would be taken for the next one's.
const REST: Duration = Duration::from_millis(10);

/// A short command goes out whole, and one answer comes.
#[derive(Default)]
pub struct Session {
    /// What is still to come of a long value, once its answer has begun.
    left: Option<usize>,
    /// Answers may be passed on before they are whole.
    long: bool,
}

impl super::Session for Session {
    fn open(&mut self, _: &mut Vec<u8>) -> bool {
        true
    }

    fn start(&mut self, content: &Content, left: Duration, output: &mut Vec<u8>) -> bool {
        output.extend(encode(content, left));
        self.long = content.extent.is_none();
        true
    }

    fn rest(&self) -> Duration {
        REST
    }

    fn is_sent(&self) -> bool {
        true
    }

    fn input(&mut self, input: &mut Vec<u8>, _: &mut Vec<u8>) -> Result<Step, String> {
        match self.left {
            // The value is out; what follows it reads as the rest of an array that began with an empty one.
            Some(0) => {
                let Some(rest) = input.strip_prefix(b"\r\n") else {
                    return if input.len() < 2 {
                        Ok(Step::Waiting)
                    } else {
                        Err("a value ends without CRLF".into())
                    };
                };
                let whole = [&b"*3\r\n$0\r\n\r\n"[..], rest].concat();
                let Some((value, length)) = resp::parse(&whole)? else { return Ok(Step::Waiting) };
                let used = length - (whole.len() - input.len());
                input.drain(..used);
                self.left = None;
                Ok(Step::Ended(outcome(value)?))
            }
            Some(_) if input.is_empty() => Ok(Step::Waiting),
            Some(left) => {
                let piece: Vec<u8> = input.drain(..input.len().min(left)).collect();
                self.left = Some(left - piece.len());
                Ok(Step::Piece(piece))
            }
            None => {
                let head = resp::head(input, 0, LONGEST).ok().flatten();
                match head.filter(|head| self.long && head.elements == ELEMENTS && head.length > LONG) {
                    Some(head) => {
                        input.drain(..head.start);
                        self.left = Some(head.length);
                        Ok(Step::Begun(head.length))
                    }
                    None => match resp::parse(input)? {
                        None => Ok(Step::Waiting),
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

/// The command as the client gave it, with the time that is left.
fn encode(content: &Content, left: Duration) -> Vec<u8> {
    let word: &[u8] = match content.operation {
        Operation::Read => b"OBJ.GET",
        Operation::Write => b"OBJ.PUT",
    };
    let attributes = format!("{},d={}", content.attributes, left.as_millis().max(1));
    let mut words = vec![word, content.object.as_bytes(), content.id.as_bytes(), attributes.as_bytes()];
    if content.operation == Operation::Write {
        words.push(&content.body);
    }
    let mut command = resp::command(&words);
    if let Some(flow) = &content.flow {
        // The body follows as it comes, in the place of the empty one.
        command.truncate(command.len() - b"$0\r\n\r\n".len());
        command.extend_from_slice(format!("${}\r\n", flow.length()).as_bytes());
    }
    command
}

/// A figure on use is below this.
const MOST_USE: f64 = 1e6;
/// Elements of an answer: the value, the figures on use and the load report.
const ELEMENTS: usize = 3;

/// What an answer means. An error says that it is none: whatever it belongs to, nothing more of this connection can
/// be trusted.
fn outcome(value: Value) -> Result<Ended, String> {
    match value {
        Value::Array(Some(values)) if values.len() == ELEMENTS => {
            let mut values = values.into_iter();
            let Some(Value::Bulk(Some(value))) = values.next() else { return Err("no value".into()) };
            let mut ended = Ended { value, ..Ended::bare(Outcome::Served) };
            // Whatever else stands in their place is left out alone.
            if let Some(Value::Bulk(Some(figures))) = values.next() {
                read_figures(&figures, &mut ended);
            }
            Ok(ended)
        }
        Value::Error(line) => {
            let busy = line == b"BUSY" || line.starts_with(b"BUSY ");
            let known = busy || line == b"ERR" || line.starts_with(b"ERR ");
            if !known {
                return Err("an unknown error line".into());
            }
            let mut ended = Ended::bare(if busy { Outcome::Rejected } else { Outcome::Error });
            line.split(|byte| *byte == b' ').for_each(|word| read_figures(word, &mut ended));
            Ok(ended)
        }
        _ => Err("no answer to a request".into()),
    }
}

/// Figures on use, such as `used=37,cost=4`; what is not known is passed over.
fn read_figures(text: &[u8], ended: &mut Ended) {
    for pair in String::from_utf8_lossy(text).split(',') {
        let Some((name, figure)) = pair.split_once('=') else { continue };
        // Guards the estimates of use: one figure without sense would count for all that follow.
        let Some(figure) = figure.parse().ok().filter(|figure| (0.0..MOST_USE).contains(figure)) else {
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
