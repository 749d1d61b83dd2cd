//! What operators say to a running initiator, one line a call, and what they are told: parser and replies. The sockets
//! are in `endpoint`, and what a call does is the loop's.

pub mod endpoint;

/// A line is not longer, its end included.
pub const MAX_LINE_BYTES: usize = 256;

/// One call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Ready,
    /// Nothing more to a target.
    DisableServer(String),
    /// A target may serve again.
    EnableServer(String),
    /// Take no more clients.
    Drain,
    /// Take clients again.
    Resume,
}

/// Reads what has come so far: nothing while the line has no end.
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

/// The line that answers a call: done as asked, with what is so now, or not done, with the reason.
pub fn reply(outcome: &Result<String, String>) -> Vec<u8> {
    let (code, text) = match outcome {
        Ok(text) => (200, text),
        Err(why) => (400, why),
    };
    format!("{code} {text}\n").into_bytes()
}

#[cfg(test)]
mod tests;
