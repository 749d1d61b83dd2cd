//! The initiator, a single-threaded process. `NODE_CONFIG` names its configuration file, which is required. Optional
//! parts have files of their own, each at its default path or where its environment variable points; a part without a
//! file is off:
//!
//! - the second front: `deploy/iscsi.toml`, `TOPAZPATH_ISCSI`
//! - remote planners: `deploy/planners.toml`, `TOPAZPATH_PLANNERS`
//! - addresses that move between machines: `deploy/vrrp.toml`, `TOPAZPATH_VRRP`
//! - membership among initiators: `deploy/fleet.toml`, `TOPAZPATH_FLEET`
//!
//! `NODE_CONTROL` sets the address of the admin endpoint.

use std::path::PathBuf;
use std::process::ExitCode;
use topazpath::config::Files;
use topazpath::forwarder::Forwarder;
use topazpath::process;

fn main() -> ExitCode {
    process::run("topazpath", || {
        let path = std::env::var_os("NODE_CONFIG").ok_or("NODE_CONFIG does not name a configuration file")?;
        let file = |variable: &str, usual: &str| {
            std::env::var_os(variable).map_or_else(|| PathBuf::from(usual), PathBuf::from)
        };
        let iscsi = file("TOPAZPATH_ISCSI", "deploy/iscsi.toml");
        let planners = file("TOPAZPATH_PLANNERS", "deploy/planners.toml");
        let vrrp = file("TOPAZPATH_VRRP", "deploy/vrrp.toml");
        let fleet = file("TOPAZPATH_FLEET", "deploy/fleet.toml");
        let control = std::env::var("NODE_CONTROL").ok().filter(|address| !address.is_empty());
        let files = Files { config: PathBuf::from(path), iscsi, planners, vrrp, fleet, control };
        Forwarder::new(files, process::signals()?)?.run().map_err(|error| error.to_string())
    })
}
