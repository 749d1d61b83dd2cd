//! What Linux tells of a TCP socket: `TCP_INFO` (tcp(7), `struct tcp_info` of `linux/tcp.h`) and `SO_MEMINFO`
//! (`linux/sock_diag.h`). Where the system tells less, there is less.

use nix::libc;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::{Duration, Instant};

/// Places of the fields in `struct tcp_info`, counted in words of 32 bits.
const UNACKED: usize = 6;
const SACKED: usize = 7;
const LAST_DATA_RECV: usize = 13;
const RTT: usize = 17;
const TOTAL_RETRANS: usize = 25;
const DATA_SEGS_IN: usize = 38;
const WORDS: usize = DATA_SEGS_IN + 1;
/// `SO_MEMINFO`, and the place of the count of dropped segments in what it tells.
const SO_MEMINFO: libc::c_int = 55;
const MEMINFO_DROPS: usize = 8;

/// The longest tick of a Linux kernel's clock (HZ 100): what it counts in ticks may be older by one.
pub const TICK: Duration = Duration::from_millis(10);
/// What the kernel tells of an age and what this process measured may differ by so much: a tick at either end.
const AGE_TOLERANCE: Duration = Duration::from_millis(20);

/// `TCP_INFO` of one socket.
#[derive(Clone, Debug)]
pub struct TcpInfo {
    words: [u32; WORDS],
}

impl TcpInfo {
    /// As it is now; none where the system does not tell all that is used here.
    pub fn of(socket: BorrowedFd) -> Option<TcpInfo> {
        option(socket, libc::IPPROTO_TCP, libc::TCP_INFO).map(|words| TcpInfo { words })
    }

    /// Of a listening socket: connections in its accept queue.
    pub fn accept_queue_length(&self) -> u32 {
        self.words[UNACKED]
    }

    /// Of a listening socket: how many its accept queue takes.
    pub fn accept_queue_limit(&self) -> u32 {
        self.words[SACKED]
    }

    /// Segments with data that have come.
    pub fn data_segments(&self) -> u32 {
        self.words[DATA_SEGS_IN]
    }

    /// How long ago data last came, in whole ticks of the kernel's clock.
    pub fn since_data(&self) -> Duration {
        Duration::from_millis(self.words[LAST_DATA_RECV].into())
    }

    /// When what waits to be read had come, where the reader takes it that nothing came before `since`. A process that was
    /// stopped can't always tell; the kernel knows that no data came after its last segment.
    pub fn arrived_by(&self, now: Instant, since: Instant) -> Instant {
        let last = now.checked_sub(self.since_data()).unwrap_or(now);
        if last + AGE_TOLERANCE < since {
            last
        } else {
            since
        }
    }

    /// How long the answer to this side's first segment took.
    pub fn round_trip(&self) -> Duration {
        Duration::from_micros(self.words[RTT].into())
    }

    /// Segments that this side sent again.
    pub fn retransmits(&self) -> u32 {
        self.words[TOTAL_RETRANS]
    }

    #[cfg(test)]
    pub fn with_segments(
        data_segments: u32,
        since_data_ms: u32,
        round_trip_us: u32,
        retransmits: u32,
    ) -> TcpInfo {
        let mut words = [0; WORDS];
        words[DATA_SEGS_IN] = data_segments;
        words[LAST_DATA_RECV] = since_data_ms;
        words[RTT] = round_trip_us;
        words[TOTAL_RETRANS] = retransmits;
        TcpInfo { words }
    }

    #[cfg(test)]
    pub fn with_accept_queue(length: u32, limit: u32) -> TcpInfo {
        let mut words = [0; WORDS];
        words[UNACKED] = length;
        words[SACKED] = limit;
        TcpInfo { words }
    }
}

/// Segments that a listening socket dropped since it was opened, most of them for want of a place in its accept queue.
pub fn listen_drops(socket: BorrowedFd) -> u32 {
    option::<{ MEMINFO_DROPS + 1 }>(socket, libc::SOL_SOCKET, SO_MEMINFO)
        .map_or(0, |words| words[MEMINFO_DROPS])
}

/// A socket option of at least so many words; none where the system tells less of it.
fn option<const WORDS: usize>(
    socket: BorrowedFd,
    level: libc::c_int,
    name: libc::c_int,
) -> Option<[u32; WORDS]> {
    let mut words = [0u32; WORDS];
    let whole = std::mem::size_of_val(&words) as libc::socklen_t;
    let mut length = whole;
    // SAFETY: `words` is writable for `length` bytes, any content of which is valid, and the descriptor is open.
    let result =
        unsafe { libc::getsockopt(socket.as_raw_fd(), level, name, words.as_mut_ptr().cast(), &mut length) };
    (result == 0 && length == whole).then_some(words)
}
