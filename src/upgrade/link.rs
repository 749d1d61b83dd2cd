//! A Unix connection between two processes of one initiator: whole frames, some with descriptors.

use super::frame::{Frame, MAGIC, MAX_FRAME_BYTES, SCHEMA};
use mio::net::UnixStream;
use nix::cmsg_space;
use nix::errno::Errno;
use nix::sys::socket::{
    getsockopt, recvmsg, sendmsg, sockopt, ControlMessage, ControlMessageOwned, MsgFlags,
};
use std::collections::VecDeque;
use std::io::{IoSlice, IoSliceMut};
use std::os::fd::{AsRawFd, FromRawFd, OwnedFd, RawFd};

/// Room that a read asks for at once.
const READ_BYTES: usize = 64 * 1024;
/// Descriptors that come with one message, and that may wait for their frame.
const MAX_DESCRIPTORS_PER_MESSAGE: usize = 8;
const MAX_PENDING_DESCRIPTORS: usize = 256;
/// Frames that may wait to go out before clients are kept back.
const MAX_QUEUED_FRAMES: usize = 64;
/// Length of a frame, before it.
const LENGTH_BYTES: usize = 4;

struct Outgoing {
    bytes: Vec<u8>,
    written: usize,
    descriptors: Vec<OwnedFd>,
}

/// One end. What is said first tells the schema; nothing else is read from a peer that has another.
pub struct Link {
    stream: UnixStream,
    input: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
    output: VecDeque<Outgoing>,
    greeting_received: bool,
}

impl Link {
    /// A connection that has just come about, from a process of the same user.
    pub fn new(stream: UnixStream) -> Result<Self, String> {
        let peer = getsockopt(&stream, sockopt::PeerCredentials).map_err(|error| error.to_string())?;
        if peer.uid() != nix::unistd::getuid().as_raw() {
            // Guards clients' connections against whoever else can write to the folder.
            return Err("the other process is another user's".into());
        }
        let mut greeting = MAGIC.to_vec();
        greeting.extend(SCHEMA.to_le_bytes());
        let first = Outgoing { bytes: greeting, written: 0, descriptors: Vec::new() };
        Ok(Link {
            stream,
            input: Vec::new(),
            descriptors: VecDeque::new(),
            output: [first].into(),
            greeting_received: false,
        })
    }

    /// What the loop watches.
    pub fn source(&mut self) -> &mut UnixStream {
        &mut self.stream
    }

    /// Whether more can be queued.
    pub fn can_queue(&self) -> bool {
        self.output.len() < MAX_QUEUED_FRAMES
    }

    /// Adds to what is to be written.
    pub fn send(&mut self, frame: &Frame, descriptors: Vec<OwnedFd>) -> Result<(), String> {
        let payload = postcard::to_stdvec(frame).map_err(|error| error.to_string())?;
        if payload.len() > MAX_FRAME_BYTES {
            return Err(format!("{} bytes are too many for a frame", payload.len()));
        }
        let mut bytes = (payload.len() as u32).to_le_bytes().to_vec();
        bytes.extend(payload);
        self.output.push_back(Outgoing { bytes, written: 0, descriptors });
        Ok(())
    }

    /// Writes as much as goes; an error means that the other process is gone.
    pub fn flush(&mut self) -> Result<(), String> {
        while let Some(out) = self.output.front_mut() {
            let raw: Vec<RawFd> = out.descriptors.iter().map(AsRawFd::as_raw_fd).collect();
            let rights = [ControlMessage::ScmRights(&raw)];
            let rights = if raw.is_empty() { &[][..] } else { &rights[..] };
            let bytes = [IoSlice::new(&out.bytes[out.written..])];
            match sendmsg::<()>(self.stream.as_raw_fd(), &bytes, rights, MsgFlags::MSG_NOSIGNAL, None) {
                Ok(count) => {
                    // They are the other process's now.
                    out.descriptors.clear();
                    out.written += count;
                    if out.written == out.bytes.len() {
                        self.output.pop_front();
                    }
                }
                Err(Errno::EINTR) => {}
                Err(Errno::EAGAIN) => return Ok(()),
                Err(error) => return Err(error.to_string()),
            }
        }
        Ok(())
    }

    /// Reads what is there; false once the other process has closed. Without an end of its own it waits for as long as
    /// the stream does, for one read.
    pub fn read(&mut self) -> Result<bool, String> {
        let mut bytes = vec![0; READ_BYTES];
        loop {
            let mut space = cmsg_space!([RawFd; MAX_DESCRIPTORS_PER_MESSAGE]);
            let mut room = [IoSliceMut::new(&mut bytes)];
            let flags = MsgFlags::MSG_CMSG_CLOEXEC;
            let (count, received) =
                match recvmsg::<()>(self.stream.as_raw_fd(), &mut room, Some(&mut space), flags) {
                    Ok(message) => {
                        let mut received = Vec::new();
                        for control in message.cmsgs().map_err(|error| error.to_string())? {
                            if let ControlMessageOwned::ScmRights(raw) = control {
                                // SAFETY: the kernel has just made these descriptors for this process; nobody else owns them.
                                received
                                    .extend(raw.into_iter().map(|raw| unsafe { OwnedFd::from_raw_fd(raw) }));
                            }
                        }
                        (message.bytes, received)
                    }
                    Err(Errno::EINTR) => continue,
                    Err(Errno::EAGAIN) => return Ok(true),
                    Err(error) => return Err(error.to_string()),
                };
            self.descriptors.extend(received);
            if count == 0 {
                return Ok(false);
            }
            self.input.extend_from_slice(&bytes[..count]);
            if self.descriptors.len() > MAX_PENDING_DESCRIPTORS
                || self.input.len() > LENGTH_BYTES + MAX_FRAME_BYTES + READ_BYTES
            {
                return Err("more received than a frame holds".into());
            }
            if count < READ_BYTES {
                // Frames are taken before more is read.
                return Ok(true);
            }
        }
    }

    /// The next whole frame of what was read, with its descriptors.
    pub fn next(&mut self) -> Result<Option<(Frame, Vec<OwnedFd>)>, String> {
        if !self.greeting_received {
            let length = MAGIC.len() + 2;
            let Some(greeting) = self.input.get(..length) else { return Ok(None) };
            let schema = u16::from_le_bytes([greeting[length - 2], greeting[length - 1]]);
            if !greeting.starts_with(&MAGIC) {
                return Err("the other process speaks something else".into());
            }
            if schema != SCHEMA {
                return Err(format!("the other process speaks schema {schema}, this one {SCHEMA}"));
            }
            self.input.drain(..length);
            self.greeting_received = true;
        }
        let Some(head) = self.input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_le_bytes(*head) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(format!("a frame of {length} bytes"));
        }
        let Some(payload) = self.input.get(LENGTH_BYTES..LENGTH_BYTES + length) else { return Ok(None) };
        let frame: Frame = postcard::from_bytes(payload).map_err(|error| error.to_string())?;
        self.input.drain(..LENGTH_BYTES + length);
        let count = frame.descriptors();
        if self.descriptors.len() < count {
            return Err("a frame without its descriptors".into());
        }
        Ok(Some((frame, self.descriptors.drain(..count).collect())))
    }
}
