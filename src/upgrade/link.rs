//! A Unix socket connection between two processes of one initiator. It carries whole frames, some with descriptors.

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

/// Buffer size of one read.
const READ_BYTES: usize = 64 * 1024;
/// Limits of descriptors in one message, and of descriptors that wait for their frame.
const MAX_DESCRIPTORS_PER_MESSAGE: usize = 8;
const MAX_PENDING_DESCRIPTORS: usize = 256;
/// Frames queued for output before no further client is handed over.
const MAX_QUEUED_FRAMES: usize = 64;
/// Bytes of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;

struct Outgoing {
    bytes: Vec<u8>,
    written: usize,
    descriptors: Vec<OwnedFd>,
}

/// What came of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkRead {
    /// Bytes were received; more may be waiting.
    Received,
    /// Nothing is waiting, or nothing came within the read timeout of a blocking stream.
    Blocked,
    /// The peer has closed.
    Ended,
}

/// One end of the connection. Each side sends its schema first; nothing else is read from a peer with another schema.
pub struct Link {
    stream: UnixStream,
    input: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
    output: VecDeque<Outgoing>,
    greeting_received: bool,
}

impl Link {
    /// Wraps a new connection. The peer has to be a process of the same user.
    pub fn new(stream: UnixStream) -> Result<Self, String> {
        let peer = getsockopt(&stream, sockopt::PeerCredentials).map_err(|error| error.to_string())?;
        if peer.uid() != nix::unistd::getuid().as_raw() {
            // Guards clients' connections against other users that can write to the directory of the socket.
            return Err("the other process belongs to another user".into());
        }
        let mut greeting = MAGIC.to_vec();
        greeting.extend(SCHEMA.to_le_bytes());
        let greeting_frame = Outgoing { bytes: greeting, written: 0, descriptors: Vec::new() };
        Ok(Link {
            stream,
            input: Vec::new(),
            descriptors: VecDeque::new(),
            output: [greeting_frame].into(),
            greeting_received: false,
        })
    }

    /// The stream to register with the poll.
    pub fn source(&mut self) -> &mut UnixStream {
        &mut self.stream
    }

    /// Whether another client may be queued.
    pub fn can_queue(&self) -> bool {
        self.output.len() < MAX_QUEUED_FRAMES
    }

    /// Whether all queued frames are with the kernel.
    pub fn is_flushed(&self) -> bool {
        self.output.is_empty()
    }

    /// Queues a frame.
    pub fn send(&mut self, frame: &Frame, descriptors: Vec<OwnedFd>) -> Result<(), String> {
        let payload = frame.encode().map_err(|error| error.to_string())?;
        if payload.len() > MAX_FRAME_BYTES {
            return Err(format!("a frame of {} bytes exceeds the limit", payload.len()));
        }
        let mut bytes = (payload.len() as u32).to_le_bytes().to_vec();
        bytes.extend(payload);
        self.output.push_back(Outgoing { bytes, written: 0, descriptors });
        Ok(())
    }

    /// Writes queued frames until the socket would block; an error means that the peer is gone.
    pub fn flush(&mut self) -> Result<(), String> {
        while let Some(out) = self.output.front_mut() {
            let raw: Vec<RawFd> = out.descriptors.iter().map(AsRawFd::as_raw_fd).collect();
            let control = [ControlMessage::ScmRights(&raw)];
            let control = if raw.is_empty() { &[][..] } else { &control[..] };
            let bytes = [IoSlice::new(&out.bytes[out.written..])];
            match sendmsg::<()>(self.stream.as_raw_fd(), &bytes, control, MsgFlags::MSG_NOSIGNAL, None) {
                Ok(count) => {
                    // The peer has received them.
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

    /// Reads once. A read ends behind bytes that came with descriptors, so that only [`LinkRead::Blocked`] says that there
    /// is nothing more (unix(7)).
    ///
    /// # Errors
    ///
    /// The connection failed, or the peer has sent more than a frame allows.
    pub fn read(&mut self) -> Result<LinkRead, String> {
        let mut bytes = vec![0; READ_BYTES];
        let mut space = cmsg_space!([RawFd; MAX_DESCRIPTORS_PER_MESSAGE]);
        let (count, received) = loop {
            match receive_message(self.stream.as_raw_fd(), &mut bytes, &mut space) {
                Ok(received) => break received,
                Err(Errno::EINTR) => {}
                Err(Errno::EAGAIN) => return Ok(LinkRead::Blocked),
                Err(error) => return Err(error.to_string()),
            }
        };
        self.descriptors.extend(received);
        if count == 0 {
            return Ok(LinkRead::Ended);
        }
        self.input.extend_from_slice(&bytes[..count]);
        if self.descriptors.len() > MAX_PENDING_DESCRIPTORS
            || self.input.len() > LENGTH_BYTES + MAX_FRAME_BYTES + READ_BYTES
        {
            return Err("more bytes or descriptors received than a frame allows".into());
        }
        Ok(LinkRead::Received)
    }

    /// Returns the next complete frame that was read, with its descriptors.
    pub fn next(&mut self) -> Result<Option<(Frame, Vec<OwnedFd>)>, String> {
        if !self.greeting_received {
            let length = MAGIC.len() + 2;
            let Some(greeting) = self.input.get(..length) else { return Ok(None) };
            let schema = u16::from_le_bytes([greeting[length - 2], greeting[length - 1]]);
            if !greeting.starts_with(&MAGIC) {
                return Err("the other process speaks another protocol".into());
            }
            if schema != SCHEMA {
                return Err(format!("the other process has schema {schema}, this one {SCHEMA}"));
            }
            self.input.drain(..length);
            self.greeting_received = true;
        }
        let Some(head) = self.input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_le_bytes(*head) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(format!("a frame of {length} bytes exceeds the limit"));
        }
        let Some(payload) = self.input.get(LENGTH_BYTES..LENGTH_BYTES + length) else { return Ok(None) };
        let frame = Frame::decode(payload).map_err(|error| error.to_string())?;
        self.input.drain(..LENGTH_BYTES + length);
        let count = frame.descriptors();
        if self.descriptors.len() < count {
            return Err("a frame arrived without its descriptors".into());
        }
        Ok(Some((frame, self.descriptors.drain(..count).collect())))
    }
}

/// Receives a message; returns its length and its descriptors.
fn receive_message(
    socket: RawFd,
    bytes: &mut [u8],
    space: &mut [u8],
) -> Result<(usize, Vec<OwnedFd>), Errno> {
    let mut buffers = [IoSliceMut::new(bytes)];
    let message = recvmsg::<()>(socket, &mut buffers, Some(space), MsgFlags::MSG_CMSG_CLOEXEC)?;
    let mut received = Vec::new();
    for control in message.cmsgs()? {
        if let ControlMessageOwned::ScmRights(raw) = control {
            // SAFETY: the kernel has just created these descriptors in this process; nothing else owns them.
            received.extend(raw.into_iter().map(|raw| unsafe { OwnedFd::from_raw_fd(raw) }));
        }
    }
    Ok((message.bytes, received))
}
