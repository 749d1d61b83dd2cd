//! Kernel statistics of a TCP socket on Linux: `TCP_INFO` (tcp(7), `struct tcp_info` of `linux/tcp.h`) and `SO_MEMINFO`
//! (`linux/sock_diag.h`). A kernel that does not provide all fields used here yields none.

use nix::libc;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::{Duration, Instant};

/// Offsets of the fields in `struct tcp_info`, in 32-bit words.
const UNACKED: usize = 6;
const SACKED: usize = 7;
const LAST_DATA_RECV: usize = 13;
const RTT: usize = 17;
const TOTAL_RETRANS: usize = 25;
const DATA_SEGS_IN: usize = 38;
const WORDS: usize = DATA_SEGS_IN + 1;
/// `SO_MEMINFO`, and the index of the drop count in its result.
const SO_MEMINFO: libc::c_int = 55;
const MEMINFO_DROPS: usize = 8;

/// The longest clock tick of a Linux kernel (HZ 100). Ages that the kernel counts in ticks may be one tick longer.
pub const TICK: Duration = Duration::from_millis(10);
/// Largest difference between an age from the kernel and one measured here: a tick at either end.
const AGE_TOLERANCE: Duration = Duration::from_millis(20);

/// `TCP_INFO` of one socket.
#[derive(Clone, Debug)]
pub struct TcpInfo {
    words: [u32; WORDS],
}

impl TcpInfo {
    /// Reads it now; none if the kernel does not provide all fields used here.
    pub fn of(socket: BorrowedFd) -> Option<TcpInfo> {
        option(socket, libc::IPPROTO_TCP, libc::TCP_INFO).map(|words| TcpInfo { words })
    }

    /// For a listening socket: connections in its accept queue.
    pub fn accept_queue_length(&self) -> u32 {
        self.words[UNACKED]
    }

    /// For a listening socket: the limit of its accept queue.
    pub fn accept_queue_limit(&self) -> u32 {
        self.words[SACKED]
    }

    /// Number of data segments received.
    pub fn data_segments(&self) -> u32 {
        self.words[DATA_SEGS_IN]
    }

    /// Time since the last data segment was received, in whole ticks of the kernel's clock.
    pub fn since_data(&self) -> Duration {
        Duration::from_millis(self.words[LAST_DATA_RECV].into())
    }

    /// When the unread data had arrived, if as far as the reader knows none arrived before `since`. A process that was
    /// stopped may be wrong about that; the kernel knows when the last segment was received.
    pub fn arrived_by(&self, now: Instant, since: Instant) -> Instant {
        let last = now.checked_sub(self.since_data()).unwrap_or(now);
        if last + AGE_TOLERANCE < since {
            last
        } else {
            since
        }
    }

    /// The round-trip time; on a new connection, how long the answer to this side's first segment took.
    pub fn round_trip(&self) -> Duration {
        Duration::from_micros(self.words[RTT].into())
    }

    /// Segments that this side retransmitted.
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

/// Segments that a listening socket dropped since it was opened, mostly because its accept queue was full.
pub fn listen_drops(socket: BorrowedFd) -> u32 {
    option::<{ MEMINFO_DROPS + 1 }>(socket, libc::SOL_SOCKET, SO_MEMINFO)
        .map_or(0, |words| words[MEMINFO_DROPS])
}

/// Bytes that were written to a TCP socket and that its peer's system has not acknowledged yet, counting a FIN as one
/// (tcp(7), `SIOCOUTQ`); 0 if the system can't tell.
pub fn unacknowledged(socket: BorrowedFd) -> usize {
    let mut count: libc::c_int = 0;
    // SAFETY: the request writes one int, and the descriptor is borrowed for the call.
    let result = unsafe { libc::ioctl(socket.as_raw_fd(), libc::TIOCOUTQ, &mut count) };
    if result == 0 {
        usize::try_from(count).unwrap_or(0)
    } else {
        0
    }
}

/// Reads a socket option of `WORDS` words; none if the system returns fewer.
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
