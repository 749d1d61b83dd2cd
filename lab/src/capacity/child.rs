//! Measurements in a fresh process: the program starts itself with a hidden subcommand and reads the result from its
//! output.

use super::meter;
use crate::planners::simulation::rounds;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::OnceLock;

/// Limits on the sizes that a child accepts.
const MAX_FORWARDERS: usize = 4096;
const MAX_NODES: usize = 16_384;
const MAX_VOLUMES: usize = 262_144;

/// Arguments of the hidden subcommand.
#[derive(clap::Args)]
pub struct Options {
    /// Number of forwarders.
    forwarders: usize,
    /// Number of nodes.
    nodes: usize,
    /// Number of volumes.
    volumes: usize,
    /// Number of planners.
    planners: usize,
}

/// Simulates rounds of plans, then prints the resident memory in bytes. Fails if a size is out of range.
pub fn run(options: &Options) -> Result<bool, String> {
    let Options { forwarders, nodes, volumes, planners } = *options;
    check("forwarders", forwarders, MAX_FORWARDERS)?;
    check("nodes", nodes, MAX_NODES)?;
    check("volumes", volumes, MAX_VOLUMES)?;
    check("planners", planners, 16)?;
    rounds(forwarders, nodes, volumes, planners);
    println!("{}", meter::resident_memory(std::process::id())?);
    Ok(true)
}

fn check(name: &str, value: usize, max: usize) -> Result<(), String> {
    match (1..=max).contains(&value) {
        true => Ok(()),
        false => Err(format!("{name}: {value} is not allowed, the range is 1 to {max}")),
    }
}

/// Resident memory in bytes of a fresh process that simulates planners and all their forwarders.
pub fn planners_memory(
    forwarders: usize,
    nodes: usize,
    volumes: usize,
    planners: usize,
) -> Result<f64, String> {
    let sizes = [forwarders, nodes, volumes, planners].map(|size| size.to_string());
    let mut command = Command::new(own_program()?);
    let output = command.arg("capacity-child").args(&sizes).stdin(Stdio::null()).output();
    let output = output.map_err(|error| format!("child process: {error}"))?;
    if !output.status.success() {
        return Err(format!(
            "child process for {sizes:?} failed: {}",
            String::from_utf8_lossy(&output.stderr).trim_end()
        ));
    }
    let text = String::from_utf8_lossy(&output.stdout);
    text.trim().parse().map_err(|_| format!("unexpected output of the child process for {sizes:?}: {text:?}"))
}

/// Path of the laboratory's program, built once if a test asks for it.
fn own_program() -> Result<PathBuf, String> {
    static PROGRAM: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    PROGRAM.get_or_init(find_own_program).clone()
}

/// Path of the laboratory's program. A test's binary lies in `deps` beside it; there the program is built first.
fn find_own_program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let folder = own.parent().ok_or("the path of this program has no folder")?;
    if !folder.ends_with("deps") {
        return Ok(own);
    }
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--package", "topazpath-lab"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        let built = build.status().map_err(|error| format!("cargo: {error}"))?;
        if !built.success() {
            return Err("the laboratory could not be built".into());
        }
    }
    Ok(folder.with_file_name("topazpath-lab"))
}
