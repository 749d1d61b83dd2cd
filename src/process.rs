//! Utilities shared by the binaries: logging, signals, exit codes and process limits.

use std::os::unix::net::UnixStream;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// Runs a program. Logs go to standard error at the level set by `TOPAZPATH_LOG` (errors only by default). A returned
/// error is printed as one line and the exit code is a failure.
pub fn run(name: &str, program: impl FnOnce() -> Result<(), String>) -> ExitCode {
    let filter = EnvFilter::try_from_env("TOPAZPATH_LOG").unwrap_or_else(|_| EnvFilter::new("error"));
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(std::io::stderr).init();
    match program() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("{name}: {why}");
            ExitCode::FAILURE
        }
    }
}

/// Resident memory of a process in bytes, where the system reports it.
pub fn resident_memory(id: u32) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: usize = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kilobytes * 1024)
}

/// Limit of file descriptors of this process, where the system reports it.
pub fn max_descriptors() -> Option<usize> {
    use nix::sys::resource::{getrlimit, Resource};
    let (limit, _) = getrlimit(Resource::RLIMIT_NOFILE).ok()?;
    usize::try_from(limit).ok()
}

/// Streams that become readable when a signal arrives.
pub struct Signals {
    /// Shutdown: SIGTERM or SIGINT.
    pub end: UnixStream,
    /// Reload of the configuration: SIGHUP, whose default action would end the process.
    pub reload: UnixStream,
}

/// Installs the signal handlers.
pub fn signals() -> Result<Signals, String> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    Ok(Signals { end: signal_stream(&[SIGTERM, SIGINT])?, reload: signal_stream(&[SIGHUP])? })
}

fn signal_stream(kinds: &[i32]) -> Result<UnixStream, String> {
    let (signal, wake) = UnixStream::pair().map_err(|error| format!("signal pipe: {error}"))?;
    signal.set_nonblocking(true).map_err(|error| format!("signal pipe: {error}"))?;
    for kind in kinds {
        let wake = wake.try_clone().map_err(|error| format!("signal pipe: {error}"))?;
        signal_hook::low_level::pipe::register(*kind, wake).map_err(|error| format!("signals: {error}"))?;
    }
    Ok(signal)
}
