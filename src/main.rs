//! The initiator: one process, one thread. Its configuration is the file that `NODE_CONFIG` names; the second front's is
//! `deploy/iscsi.toml`, or what `TOPAZPATH_ISCSI` names.

use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::ExitCode;
use topazpath::config::Config;
use topazpath::forwarder::Forwarder;
use tracing_subscriber::EnvFilter;

fn main() -> ExitCode {
    let filter = EnvFilter::try_from_env("TOPAZPATH_LOG").unwrap_or_else(|_| EnvFilter::new("error"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("topazpath: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let path = std::env::var_os("NODE_CONFIG").ok_or("NODE_CONFIG does not name a configuration file")?;
    let iscsi = std::env::var_os("TOPAZPATH_ISCSI").unwrap_or_else(|| "deploy/iscsi.toml".into());
    let config = Config::read(&PathBuf::from(path), &PathBuf::from(iscsi))?;
    let (signal, wake) = UnixStream::pair().map_err(|error| format!("signal pipe: {error}"))?;
    for kind in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        let wake = wake.try_clone().map_err(|error| format!("signal pipe: {error}"))?;
        signal_hook::low_level::pipe::register(kind, wake).map_err(|error| format!("signals: {error}"))?;
    }
    Forwarder::new(config, signal)?.run().map_err(|error| error.to_string())
}
