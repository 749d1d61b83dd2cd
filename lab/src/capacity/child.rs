//! What is measured in a process of its own: this program starts itself again, and takes the answer from its output.

use super::meter;
use crate::planners::simulation::rounds;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::OnceLock;

/// Forwarders, nodes and volumes that a child takes at most.
const MOST_FORWARDERS: usize = 4096;
const MOST_NODES: usize = 16_384;
const MOST_VOLUMES: usize = 262_144;

/// Options of the hidden command.
#[derive(clap::Args)]
pub struct Options {
    /// Forwarders.
    forwarders: usize,
    /// Nodes.
    nodes: usize,
    /// Volumes.
    volumes: usize,
    /// Planners.
    planners: usize,
}

/// Plays rounds of plans, and prints the resident memory at their end, in bytes.
pub fn run(options: &Options) -> Result<bool, String> {
    let Options { forwarders, nodes, volumes, planners } = *options;
    check("forwarders", forwarders, MOST_FORWARDERS)?;
    check("nodes", nodes, MOST_NODES)?;
    check("volumes", volumes, MOST_VOLUMES)?;
    check("planners", planners, 16)?;
    rounds(forwarders, nodes, volumes, planners);
    println!("{}", meter::resident(std::process::id())?);
    Ok(true)
}

fn check(name: &str, value: usize, most: usize) -> Result<(), String> {
    match (1..=most).contains(&value) {
        true => Ok(()),
        false => Err(format!("{name}: {value} is not allowed, 1 to {most} are")),
    }
}

/// Resident memory of a fresh process that plays planners and all their forwarders.
pub fn planners_memory(
    forwarders: usize,
    nodes: usize,
    volumes: usize,
    planners: usize,
) -> Result<f64, String> {
    let sizes = [forwarders, nodes, volumes, planners].map(|size| size.to_string());
    let mut command = Command::new(own_program()?);
    let output = command.arg("capacity-child").args(&sizes).stdin(Stdio::null()).output();
    let output = output.map_err(|error| format!("a child: {error}"))?;
    if !output.status.success() {
        return Err(format!(
            "a child for {sizes:?} failed: {}",
            String::from_utf8_lossy(&output.stderr).trim_end()
        ));
    }
    let text = String::from_utf8_lossy(&output.stdout);
    text.trim().parse().map_err(|_| format!("a child for {sizes:?} answered {text:?}"))
}

/// This program, built once where this was started by a test.
fn own_program() -> Result<PathBuf, String> {
    static PROGRAM: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    PROGRAM.get_or_init(find_own_program).clone()
}

/// This program. Tests are another one, which lies beside it.
fn find_own_program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let folder = own.parent().ok_or("this program lies nowhere")?;
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
