//! Processor time, memory and descriptors, as the system tells them.

use nix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Descriptors of a run beside those that a size asks for.
const SPARE_DESCRIPTORS: usize = 200;

/// Processor time of this thread so far.
pub fn thread_time() -> Result<Duration, String> {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from).map_err(|error| error.to_string())
}

/// Runs something; what came of it, and the processor time of this thread that it took, in seconds.
pub fn timed<T>(run: impl FnOnce() -> T) -> Result<(T, f64), String> {
    let before = thread_time()?;
    let result = run();
    Ok((result, (thread_time()? - before).as_secs_f64()))
}

/// Resident memory of a process, in bytes.
pub fn resident(process: u32) -> Result<f64, String> {
    topazpath::process::resident_memory(process)
        .map(|bytes| bytes as f64)
        .ok_or_else(|| format!("process {process} is gone, or the system doesn't tell its memory"))
}

/// Resident memory of a process that no file backs, in bytes: its heap and stacks. Pages of the program itself come in as
/// the system likes, which two fresh processes differ by.
pub fn anonymous(process: u32) -> Result<f64, String> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status"));
    let text = text.map_err(|error| format!("process {process}: {error}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    Ok(kilobytes.ok_or("the system doesn't tell the memory without files")? * 1024.0)
}

/// An error if this process may not have as many descriptors as a size asks for.
pub fn need_descriptors(count: usize) -> Result<(), String> {
    let most =
        topazpath::process::max_descriptors().ok_or("the system doesn't tell the descriptors allowed")?;
    check_descriptors(count, most)
}

/// Likewise, where so many are allowed.
pub fn check_descriptors(count: usize, most: usize) -> Result<(), String> {
    let needed = count + SPARE_DESCRIPTORS;
    if needed > most {
        return Err(format!("{needed} descriptors are needed and {most} are allowed (ulimit -n)"));
    }
    Ok(())
}

/// An error if the machine has less memory left than that.
pub fn need_memory(bytes: f64) -> Result<(), String> {
    let text = std::fs::read_to_string("/proc/meminfo").map_err(|error| format!("/proc/meminfo: {error}"))?;
    check_memory(bytes, &text)
}

/// Likewise, from what the system tells.
pub fn check_memory(bytes: f64, told: &str) -> Result<(), String> {
    let line = told.lines().find_map(|line| line.strip_prefix("MemAvailable:"));
    let kilobytes: f64 = line
        .and_then(|line| line.trim().trim_end_matches(" kB").parse().ok())
        .ok_or("the system doesn't tell the memory available")?;
    let available = kilobytes * 1024.0;
    if bytes > available {
        let mb = |bytes: f64| bytes / 1_048_576.0;
        return Err(format!(
            "{:.0} MB of memory are needed and {:.0} are available",
            mb(bytes),
            mb(available)
        ));
    }
    Ok(())
}
