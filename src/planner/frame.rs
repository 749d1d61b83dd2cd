//! What forwarders and planners say to each other: a four-byte length, then the message in postcard's form.

use crate::interface::{Action, Event, Settings};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A longer message is none of these.
pub const MOST: usize = 4 * 1024 * 1024;
/// Bytes of the length.
const HEAD: usize = 4;

/// From a forwarder.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum ToPlanner {
    /// First of all: for what to decide.
    Hello {
        /// The forwarder's settings.
        settings: Box<Settings>,
        /// Its seed.
        seed: u64,
    },
    /// What has happened up to a time on the forwarder's clock. Each is answered with actions.
    Events {
        /// The time.
        now: Duration,
        /// What has happened.
        events: Vec<Event>,
    },
}

/// From a planner: what is to be done.
pub type Actions = Vec<Action>;

/// Adds a message to an output.
pub fn write(message: &impl Serialize, output: &mut Vec<u8>) {
    // Only a message with maps of unknown length cannot be put in this form, and there is none.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    output.extend_from_slice(&(body.len() as u32).to_be_bytes());
    output.extend_from_slice(&body);
}

/// Takes a message off an input, once it is whole. An error means that the far side says something else.
pub fn take<M: DeserializeOwned>(input: &mut Vec<u8>) -> Result<Option<M>, String> {
    let Some(head) = input.first_chunk::<HEAD>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length > MOST {
        return Err(format!("a message of {length} bytes"));
    }
    let Some(body) = input.get(HEAD..HEAD + length) else { return Ok(None) };
    let message = postcard::from_bytes(body).map_err(|error| error.to_string())?;
    input.drain(..HEAD + length);
    Ok(Some(message))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{NewRequest, RequestId};

    #[test]
    fn messages_are_taken_once_they_are_whole() {
        let request = NewRequest { id: RequestId(7), shard: Some(3), ..NewRequest::default() };
        let sent = ToPlanner::Events {
            now: Duration::from_micros(1500),
            events: vec![Event::Request(request), Event::Wake],
        };
        let mut bytes = Vec::new();
        write(&sent, &mut bytes);
        for cut in 0..bytes.len() {
            assert_eq!(take::<ToPlanner>(&mut bytes[..cut].to_vec()), Ok(None));
        }
        bytes.push(0);
        assert_eq!(take(&mut bytes), Ok(Some(sent)));
        assert_eq!(bytes, [0]);
        assert!(take::<ToPlanner>(&mut vec![255; 8]).is_err());
        assert!(take::<ToPlanner>(&mut vec![0, 0, 0, 1, 9]).is_err());
    }
}
