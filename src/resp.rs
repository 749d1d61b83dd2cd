//! RESP2: reading whole values off an input that comes in pieces, and writing them.

/// A value of at most this many bytes is read whole; what is longer is read by its head, and passed through.
pub const MAX_BULK_BYTES: usize = 64 * 1024;
/// More elements than any command or answer has.
const MOST_ELEMENTS: usize = 64;
/// A line (a length, a status or an error) is not longer.
const LONGEST_LINE: usize = 4 * 1024;

/// One RESP2 value.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Value {
    Simple(Vec<u8>),
    Error(Vec<u8>),
    Integer(i64),
    Bulk(Option<Vec<u8>>),
    Array(Option<Vec<Value>>),
}

/// Reads the value at the start of `input`: the value and its length, or nothing while it is not whole. An
/// error means that the framing is lost.
pub fn parse(input: &[u8]) -> Result<Option<(Value, usize)>, String> {
    parse_nested(input, true)
}

fn parse_nested(input: &[u8], outermost: bool) -> Result<Option<(Value, usize)>, String> {
    let Some((&kind, rest)) = input.split_first() else { return Ok(None) };
    if !b"+-:$*".contains(&kind) {
        return Err(format!("expected a RESP2 value, got byte {kind}"));
    }
    let Some(end) = rest.iter().take(LONGEST_LINE).position(|byte| *byte == b'\n') else {
        return if rest.len() < LONGEST_LINE { Ok(None) } else { Err("too long a line".into()) };
    };
    let line = rest[..end].strip_suffix(b"\r").ok_or("a line ends without CR")?;
    let start = end + 2;
    match kind {
        b'+' => Ok(Some((Value::Simple(line.to_vec()), start))),
        b'-' => Ok(Some((Value::Error(line.to_vec()), start))),
        b':' => Ok(Some((Value::Integer(number(line)?), start))),
        b'$' => {
            let Some(length) = length(line, MAX_BULK_BYTES)? else {
                return Ok(Some((Value::Bulk(None), start)));
            };
            let Some(bytes) = input.get(start..start + length + 2) else { return Ok(None) };
            let bytes = bytes.strip_suffix(b"\r\n").ok_or("a bulk string ends without CRLF")?;
            Ok(Some((Value::Bulk(Some(bytes.to_vec())), start + length + 2)))
        }
        _ if !outermost => Err("an array within an array".into()),
        _ => {
            let Some(count) = length(line, MOST_ELEMENTS)? else {
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

/// The beginning of an array, of which the last thing is the head of a bulk string whose bytes follow.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Elements of the array.
    pub elements: usize,
    /// The bulk strings before that one.
    pub words: Vec<Vec<u8>>,
    /// Length of that one.
    pub length: usize,
    /// Where its bytes begin.
    pub start: usize,
}

/// Reads an array of bulk strings up to the head of the one at a place, counted from 0: nothing while that has not
/// come, or where the array is of another form.
pub fn parse_head(input: &[u8], place: usize, largest: usize) -> Result<Option<Head>, String> {
    let line = |at: usize, kind: u8| -> Result<Option<(&[u8], usize)>, String> {
        let rest = input.get(at..).unwrap_or_default();
        if rest.first() != Some(&kind) {
            return Ok(None);
        }
        let Some(end) = rest.iter().take(LONGEST_LINE).position(|byte| *byte == b'\n') else {
            return Ok(None);
        };
        let line = rest[1..end].strip_suffix(b"\r").ok_or("a line ends without CR")?;
        Ok(Some((line, at + end + 1)))
    };
    let Some((count, mut at)) = line(0, b'*')? else { return Ok(None) };
    let Some(elements) = length(count, MOST_ELEMENTS)?.filter(|elements| *elements > place) else {
        return Ok(None);
    };
    let mut words = Vec::with_capacity(place);
    for _ in 0..place {
        match parse_nested(input.get(at..).unwrap_or_default(), false)? {
            Some((Value::Bulk(Some(word)), length)) => {
                words.push(word);
                at += length;
            }
            _ => return Ok(None),
        }
    }
    let Some((text, start)) = line(at, b'$')? else { return Ok(None) };
    Ok(length(text, largest)?.map(|length| Head { elements, words, length, start }))
}

fn number(line: &[u8]) -> Result<i64, String> {
    let text = std::str::from_utf8(line).map_err(|_| "a number is not text")?;
    // The parser below would take a plus as well.
    let text = text.strip_prefix('+').map_or(text, |_| "");
    text.parse().map_err(|_| format!("{text:?} is not a number"))
}

/// A length, or nothing for null.
fn length(line: &[u8], most: usize) -> Result<Option<usize>, String> {
    match number(line)? {
        -1 => Ok(None),
        count => match usize::try_from(count) {
            Ok(count) if count <= most => Ok(Some(count)),
            _ => Err(format!("a length of {count}, at most {most} is accepted")),
        },
    }
}

/// A bulk string.
pub fn write_bulk(output: &mut Vec<u8>, bytes: &[u8]) {
    output.extend_from_slice(format!("${}\r\n", bytes.len()).as_bytes());
    output.extend_from_slice(bytes);
    output.extend_from_slice(b"\r\n");
}

/// A command: an array of bulk strings.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut output = format!("*{}\r\n", words.len()).into_bytes();
    words.iter().for_each(|word| write_bulk(&mut output, word));
    output
}

#[cfg(test)]
mod tests;
