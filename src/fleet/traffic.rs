//! Counters of the datagrams and bytes at a member's socket.

/// Datagrams and bytes received and sent since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams received, valid or not.
    pub datagrams_in: u64,
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Payload bytes of the sent datagrams, without UDP and IP headers.
    pub bytes_out: u64,
    /// Datagrams received and dropped since they were not valid.
    pub unreadable: u64,
    /// Datagrams that the kernel refused to send.
    pub not_sent: u64,
}
