//! Datagrams and bytes of a member's socket, counted since the start.

/// What came and went.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams that came, readable or not.
    pub datagrams_in: u64,
    /// Datagrams that went out.
    pub datagrams_out: u64,
    /// Bytes of those, without heads of UDP and IP.
    pub bytes_out: u64,
    /// Datagrams that came and were passed over whole.
    pub unreadable: u64,
    /// Datagrams that the system did not take.
    pub not_sent: u64,
}
