//! RESP2: incremental parsing of values and their encoding.

/// Largest bulk string that is parsed whole. A longer one is read by its head with [`parse_head`], and its
/// bytes are streamed.
pub const MAX_BULK_BYTES: usize = 64 * 1024;
/// Maximum number of elements of an array; no command or answer has as many.
const MAX_ELEMENTS: usize = 64;
/// Maximum length of a line (a length, a status or an error).
const MAX_LINE_BYTES: usize = 4 * 1024;

/// A RESP2 value.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Value {
    Simple(Vec<u8>),
    Error(Vec<u8>),
    Integer(i64),
    Bulk(Option<Vec<u8>>),
    Array(Option<Vec<Value>>),
}

/// Parses the value at the start of `input`. Returns the value and its length in bytes, or `None` if it is
/// incomplete. An error means that the framing is lost.
pub fn parse(input: &[u8]) -> Result<Option<(Value, usize)>, String> {
    parse_nested(input, true)
}

fn parse_nested(input: &[u8], outermost: bool) -> Result<Option<(Value, usize)>, String> {
    let Some((&kind, rest)) = input.split_first() else { return Ok(None) };
    if !b"+-:$*".contains(&kind) {
        return Err(format!("expected a RESP2 value, got byte {kind}"));
    }
    let Some(end) = rest.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') else {
        return if rest.len() < MAX_LINE_BYTES { Ok(None) } else { Err("too long a line".into()) };
    };
    let line = rest[..end].strip_suffix(b"\r").ok_or("a line ends without CR")?;
    let start = end + 2;
    match kind {
        b'+' => Ok(Some((Value::Simple(line.to_vec()), start))),
        b'-' => Ok(Some((Value::Error(line.to_vec()), start))),
        b':' => Ok(Some((Value::Integer(parse_integer(line)?), start))),
        b'$' => {
            let Some(length) = parse_length(line, MAX_BULK_BYTES)? else {
                return Ok(Some((Value::Bulk(None), start)));
            };
            let Some(bytes) = input.get(start..start + length + 2) else { return Ok(None) };
            let bytes = bytes.strip_suffix(b"\r\n").ok_or("a bulk string ends without CRLF")?;
            Ok(Some((Value::Bulk(Some(bytes.to_vec())), start + length + 2)))
        }
        _ if !outermost => Err("an array within an array".into()),
        _ => {
            let Some(count) = parse_length(line, MAX_ELEMENTS)? else {
                return Ok(Some((Value::Array(None), start)));
            };
            let (mut values, mut at) = (Vec::with_capacity(count), start);
            for _ in 0..count {
                let Some((value, length)) = parse_nested(&input[at..], false)? else { return Ok(None) };
                values.push(value);
                at += length;
            }
            Ok(Some((Value::Array(Some(values)), at)))
        }
    }
}

/// The beginning of an array, up to the head of a bulk string whose bytes follow.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Number of elements of the array.
    pub elements: usize,
    /// The bulk strings before it.
    pub words: Vec<Vec<u8>>,
    /// Length of that bulk string.
    pub length: usize,
    /// Offset of its first byte in the input.
    pub start: usize,
}

/// Parses an array of bulk strings up to the head of the element at `index`, counted from 0. Returns `None` if
/// that head is incomplete or the array has another form.
pub fn parse_head(input: &[u8], index: usize, max_length: usize) -> Result<Option<Head>, String> {
    let line = |at: usize, kind: u8| -> Result<Option<(&[u8], usize)>, String> {
        let rest = input.get(at..).unwrap_or_default();
        if rest.first() != Some(&kind) {
            return Ok(None);
        }
        let Some(end) = rest.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') else {
            return Ok(None);
        };
        let line = rest[1..end].strip_suffix(b"\r").ok_or("a line ends without CR")?;
        Ok(Some((line, at + end + 1)))
    };
    let Some((count, mut at)) = line(0, b'*')? else { return Ok(None) };
    let Some(elements) = parse_length(count, MAX_ELEMENTS)?.filter(|elements| *elements > index) else {
        return Ok(None);
    };
    let mut words = Vec::with_capacity(index);
    for _ in 0..index {
        match parse_nested(input.get(at..).unwrap_or_default(), false)? {
            Some((Value::Bulk(Some(word)), length)) => {
                words.push(word);
                at += length;
            }
            _ => return Ok(None),
        }
    }
    let Some((text, start)) = line(at, b'$')? else { return Ok(None) };
    Ok(parse_length(text, max_length)?.map(|length| Head { elements, words, length, start }))
}

fn parse_integer(line: &[u8]) -> Result<i64, String> {
    let text = std::str::from_utf8(line).map_err(|_| "a number is not text")?;
    // `parse` below would also accept a plus sign.
    let text = text.strip_prefix('+').map_or(text, |_| "");
    text.parse().map_err(|_| format!("{text:?} is not a number"))
}

/// Parses a length; `None` stands for null.
fn parse_length(line: &[u8], max: usize) -> Result<Option<usize>, String> {
    match parse_integer(line)? {
        -1 => Ok(None),
        count => match usize::try_from(count) {
            Ok(count) if count <= max => Ok(Some(count)),
            _ => Err(format!("a length of {count}, at most {max} is accepted")),
        },
    }
}

/// Writes a bulk string.
pub fn write_bulk(output: &mut Vec<u8>, bytes: &[u8]) {
    output.extend_from_slice(format!("${}\r\n", bytes.len()).as_bytes());
    output.extend_from_slice(bytes);
    output.extend_from_slice(b"\r\n");
}

/// Encodes a command as an array of bulk strings.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut output = format!("*{}\r\n", words.len()).into_bytes();
    words.iter().for_each(|word| write_bulk(&mut output, word));
    output
}

#[cfg(test)]
mod tests;
