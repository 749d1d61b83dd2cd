//! Keys of the login and text negotiation: `Name=Value` pairs, each terminated by a zero byte.

/// Parses the pairs of a data segment; fails if any of them is malformed.
pub fn read(data: &[u8]) -> Result<Vec<(String, String)>, String> {
    let text = std::str::from_utf8(data).map_err(|_| "the keys are not text".to_string())?;
    let pairs = text.split('\0').filter(|pair| !pair.is_empty());
    let split = |pair: &str| pair.split_once('=').map(|(name, value)| (name.to_string(), value.to_string()));
    pairs.map(|pair| split(pair).ok_or_else(|| format!("{pair:?} has no value"))).collect()
}

/// Encodes pairs as a data segment.
pub fn write(pairs: &[(&str, &str)]) -> Vec<u8> {
    pairs.iter().flat_map(|(name, value)| format!("{name}={value}\0").into_bytes()).collect()
}

/// The value of a key, if present.
pub fn get<'a>(pairs: &'a [(String, String)], name: &str) -> Option<&'a str> {
    pairs.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
}
