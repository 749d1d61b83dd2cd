//! The admin protocol: one line per call, one line per reply. This module parses and formats them; the sockets are in
//! `endpoint`, and the event loop executes the calls.

pub mod endpoint;

/// Maximum length of a line, including its end.
pub const MAX_LINE_BYTES: usize = 256;

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Asks whether this process accepts clients.
    Ready,
    /// Takes a target out of service.
    DisableServer(String),
    /// Returns a target to service.
    EnableServer(String),
    /// Drains this process: it accepts no more clients.
    Drain,
    /// Returns this process to service.
    Resume,
}

/// Parses the input received so far; `None` while the line is incomplete.
pub fn parse(input: &[u8]) -> Option<Result<Call, String>> {
    let line = match input.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') {
        Some(end) => &input[..end],
        None if input.len() >= MAX_LINE_BYTES => {
            return Some(Err(format!("the line is longer than {MAX_LINE_BYTES} bytes")));
        }
        None => return None,
    };
    Some(read(line.strip_suffix(b"\r").unwrap_or(line)))
}

fn read(line: &[u8]) -> Result<Call, String> {
    let text = std::str::from_utf8(line).map_err(|_| "the line is not text")?;
    if text.chars().any(char::is_control) {
        return Err("the line holds control characters".into());
    }
    let mut words = text.split_whitespace();
    let name = words.next().ok_or("the line is empty")?;
    let mut id =
        || words.next().map(str::to_string).ok_or_else(|| format!("{name} needs the id of a target"));
    let call = match name {
        "ready" => Call::Ready,
        "disable-server" => Call::DisableServer(id()?),
        "enable-server" => Call::EnableServer(id()?),
        "drain" => Call::Drain,
        "resume" => Call::Resume,
        _ => {
            return Err("no such call: ready, disable-server ID, enable-server ID, drain, resume".into());
        }
    };
    match words.next() {
        Some(_) => Err(format!("{name} is followed by too many words")),
        None => Ok(call),
    }
}

/// Formats the reply to a call: the resulting state, or the reason why it was not executed.
pub fn reply(outcome: &Result<String, String>) -> Vec<u8> {
    let (code, text) = match outcome {
        Ok(text) => (200, text),
        Err(why) => (400, why),
    };
    format!("{code} {text}\n").into_bytes()
}

#[cfg(test)]
mod tests;
