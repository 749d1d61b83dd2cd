//! Long values, which the program passes on while it receives them: how stand-in nodes encode and clients parse them.

use topazpath::resp::{self, Value};

/// Length of a long value in bytes, beyond what is parsed whole.
pub const LENGTH: usize = 300_000;
/// Reads of this volume are answered with a long value.
pub const VOLUME: u64 = 1_000;

/// Returns a node's answer with a long value, without the optional fields.
pub fn answer() -> Vec<u8> {
    let mut answer = b"*3\r\n".to_vec();
    resp::write_bulk(&mut answer, &vec![b'l'; LENGTH]);
    answer.extend_from_slice(b"$-1\r\n$-1\r\n");
    answer
}

/// Whether these bytes are the beginning of a long value.
pub fn has_begun(input: &[u8]) -> bool {
    input.starts_with(head().as_bytes())
}

/// Parses the value at the start of `input`, which may be a long one. `None` if it is incomplete.
pub fn parse(input: &[u8]) -> Result<Option<(Value, usize)>, String> {
    if !has_begun(input) {
        return resp::parse(input);
    }
    let start = head().len();
    let Some(bytes) = input.get(start..start + LENGTH + 2) else { return Ok(None) };
    let bytes = bytes.strip_suffix(b"\r\n").ok_or("a long value is not followed by CRLF")?;
    Ok(Some((Value::Bulk(Some(bytes.to_vec())), start + LENGTH + 2)))
}

/// Whether a value is a long one, unchanged.
pub fn is_whole(value: &[u8]) -> bool {
    value.len() == LENGTH && value.iter().all(|byte| *byte == b'l')
}

fn head() -> String {
    format!("${LENGTH}\r\n")
}
