//! Processor time, memory and descriptors as reported by the operating system.

use nix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Descriptors that a run needs in addition to those for a size.
const SPARE_DESCRIPTORS: usize = 200;

/// Processor time of this thread so far.
pub fn thread_time() -> Result<Duration, String> {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from).map_err(|error| error.to_string())
}

/// Runs a closure. Returns its result and the processor time in seconds that it took on this thread.
pub fn timed<T>(run: impl FnOnce() -> T) -> Result<(T, f64), String> {
    let before = thread_time()?;
    let result = run();
    Ok((result, (thread_time()? - before).as_secs_f64()))
}

/// Resident memory of a process, in bytes.
pub fn resident_memory(process: u32) -> Result<f64, String> {
    topazpath::process::resident_memory(process)
        .map(|bytes| bytes as f64)
        .ok_or_else(|| format!("process {process} has ended, or its resident memory can't be read"))
}

/// Anonymous resident memory of a process in bytes: heap and stacks. File-backed pages are left out because the system
/// loads them as it likes, so that two fresh processes differ in them.
pub fn anonymous_memory(process: u32) -> Result<f64, String> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status"));
    let text = text.map_err(|error| format!("process {process}: {error}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    Ok(kilobytes.ok_or("/proc/PID/status has no RssAnon")? * 1024.0)
}

/// Fails if this process may not open as many descriptors as a size needs.
pub fn need_descriptors(count: usize) -> Result<(), String> {
    let max = topazpath::process::max_descriptors().ok_or("the limit on descriptors can't be read")?;
    check_descriptors(count, max)
}

/// Fails if `max` is too low for the descriptors that a size needs.
pub fn check_descriptors(count: usize, max: usize) -> Result<(), String> {
    let needed = count + SPARE_DESCRIPTORS;
    if needed > max {
        return Err(format!("{needed} descriptors are needed and {max} are allowed (ulimit -n)"));
    }
    Ok(())
}

/// Fails if the machine has less memory available.
pub fn need_memory(bytes: f64) -> Result<(), String> {
    let text = std::fs::read_to_string("/proc/meminfo").map_err(|error| format!("/proc/meminfo: {error}"))?;
    check_memory(bytes, &text)
}

/// Fails if the content of `/proc/meminfo` says that less memory is available.
pub fn check_memory(bytes: f64, meminfo: &str) -> Result<(), String> {
    let line = meminfo.lines().find_map(|line| line.strip_prefix("MemAvailable:"));
    let kilobytes: f64 = line
        .and_then(|line| line.trim().trim_end_matches(" kB").parse().ok())
        .ok_or("/proc/meminfo has no MemAvailable")?;
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
