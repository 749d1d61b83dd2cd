//! The real initiator as a process of its own, with what is asked of it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// How long a process may take to start, or to answer.
const PATIENCE: Duration = Duration::from_secs(30);
/// Descriptors that it is told it may hold; those of the machine may be fewer.
pub const SOCKETS: usize = 20_000;

/// What an initiator is told.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// How many initiators the fleet has.
    pub initiators: usize,
    /// How many zones.
    pub zones: usize,
    /// Planners; none: it has its even parts.
    pub planners: Vec<SocketAddr>,
    /// Its file for membership; none: it is no member.
    pub fleet: Option<String>,
}

impl Setup {
    /// One of the target's fleet, alone with discovery.
    pub fn of(discovery: SocketAddr, zones: usize) -> Setup {
        let initiators = super::target::INITIATORS as usize;
        Setup { discovery, initiators, zones, planners: Vec::new(), fleet: None }
    }
}

/// A running initiator; its process ends with this.
pub struct Initiator {
    child: Child,
    folder: PathBuf,
    /// Where clients connect.
    pub listen: SocketAddr,
}

impl Drop for Initiator {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        // What is left of a folder is the system's to clean.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An address of this run's own; `place` keeps parts apart.
pub fn own_address(place: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 140, std::process::id() as u8, place)
}

/// A folder of this run's own.
pub fn own_folder() -> Result<PathBuf, String> {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("topazpath-capacity-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    Ok(folder)
}

/// The program, built once where this was started by cargo.
pub fn program() -> Result<PathBuf, String> {
    static PROGRAM: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    PROGRAM.get_or_init(crate::vrrp::experiments::program).clone()
}

impl Initiator {
    /// Starts one, and waits until it lets clients in.
    pub fn start(setup: &Setup) -> Result<Initiator, String> {
        let program = program()?;
        let told = |error: std::io::Error| error.to_string();
        let listen =
            TcpListener::bind((own_address(1), 0)).and_then(|free| free.local_addr()).map_err(told)?;
        let folder = own_folder()?;
        std::fs::write(folder.join("config.json"), configuration(listen, setup)).map_err(told)?;
        if !setup.planners.is_empty() {
            let planners: Vec<String> = setup.planners.iter().map(SocketAddr::to_string).collect();
            let text = format!("enabled = true\nplanners = {planners:?}\n");
            std::fs::write(folder.join("planners.toml"), text).map_err(told)?;
        }
        if let Some(fleet) = &setup.fleet {
            std::fs::write(folder.join("fleet.toml"), fleet).map_err(told)?;
        }
        let mut command = Command::new(program);
        command.env("NODE_CONFIG", folder.join("config.json")).env("TMPDIR", &folder);
        command.env("TOPAZPATH_PLANNERS", folder.join("planners.toml"));
        command.env("TOPAZPATH_FLEET", folder.join("fleet.toml"));
        for file in ["TOPAZPATH_ISCSI", "TOPAZPATH_VRRP"] {
            command.env(file, folder.join("none"));
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        let child = command.spawn().map_err(told)?;
        let initiator = Initiator { child, folder, listen };
        let start = Instant::now();
        while TcpStream::connect(listen).is_err() {
            if start.elapsed() > PATIENCE {
                return Err("an initiator does not start".into());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(initiator)
    }

    /// Its process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Its processor time so far, in seconds.
    pub fn processor(&self) -> f64 {
        crate::load::processor(self.process()).as_secs_f64()
    }

    /// Processor time that it takes within a time, as a part of one core.
    pub fn processor_within(&self, time: Duration) -> f64 {
        let (start, before) = (Instant::now(), self.processor());
        std::thread::sleep(time);
        (self.processor() - before) / start.elapsed().as_secs_f64()
    }

    /// Its resident memory, in bytes.
    pub fn memory(&self) -> Result<f64, String> {
        super::meter::resident(self.process())
    }

    /// What it answers to a command on a connection of its own.
    pub fn ask(&self, words: &[&[u8]]) -> Result<String, String> {
        Client::connect(self.listen)?.ask(&topazpath::resp::command(words))
    }

    /// A count of its `INFO`, by name.
    pub fn count(&self, name: &str) -> Result<f64, String> {
        let text = self.ask(&[b"INFO"])?;
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix([':', ' ', '=']));
        value
            .and_then(|value| value.trim().parse().ok())
            .ok_or_else(|| format!("INFO has no {name}: {text:.200}"))
    }
}

/// A client's connection that asks one thing after another.
pub struct Client {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Client {
    /// Connects.
    pub fn connect(address: SocketAddr) -> Result<Client, String> {
        let connect = || -> std::io::Result<Client> {
            let stream = TcpStream::connect(address)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(PATIENCE))?;
            Ok(Client { reader: BufReader::with_capacity(512, stream.try_clone()?), stream })
        };
        connect().map_err(|error| format!("a client at {address}: {error}"))
    }

    /// Asks, and waits for the answer: its text, without the form of the wire.
    pub fn ask(&mut self, command: &[u8]) -> Result<String, String> {
        self.stream.write_all(command).map_err(|error| format!("a client's command: {error}"))?;
        self.answer().map_err(|error| format!("a client's answer: {error}"))
    }

    fn answer(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(std::io::Error::other("the connection was closed"));
        }
        let line = line.trim_end();
        let Some(length) = line.strip_prefix('$').and_then(|length| length.parse::<usize>().ok()) else {
            return Ok(line.to_string());
        };
        let mut body = vec![0; length + 2];
        self.reader.read_exact(&mut body)?;
        body.truncate(length);
        Ok(String::from_utf8_lossy(&body).into_owned())
    }
}

/// A read of a volume's object on a shard.
pub fn read_command(number: u64, volume: u64, shard: u64) -> Vec<u8> {
    let (object, id) = (format!("{number:016x}"), format!("{number:016x}"));
    let attributes = format!("c=read,t=base,d=2000,volume={volume:016x},units=2,shard={shard},hosts=3");
    topazpath::resp::command(&[b"OBJ.GET", object.as_bytes(), id.as_bytes(), attributes.as_bytes()])
}

fn configuration(listen: SocketAddr, setup: &Setup) -> String {
    let zones: Vec<String> = (0..setup.zones).map(|zone| format!("\"z{zone}\"")).collect();
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":256,"sockets":{SOCKETS}}},"known":null,
 "settings":{{"siblings":{},"tick_ms":2.0,"discovery":"on_request","zones":[{}],
 "classes":[
  {{"name":"read","aim_ms":400,"hard_limit_ms":2000,"worth":2,"late_worth":0.2,"effect":"read_like"}}],
 "service_levels":[
  {{"name":"base","base_rate":4000,"ceiling_rate":8000,"guaranteed":2000,"limit_burst":4800,"tolerance":800}}],
 "domain":{{"largest":8,"unit_mean":2,"share_worth":0.35,"idle_worth":0.05,"young_limit":34}},
 "contract":{{"grace_to_answer_ms":8,"drain_grace_ms":2000,"cold_from":0.16,"warm_after_ms":18000,"tip_multiple":3,"fall_ms":3000}},
 "limits":{{"attempts_cap":4,"connect_timeout_ms":250,"conn_idle_ms":30000,"max_retry_after_ms":500,"retry_after":true,"may_cancel":true}}}}}}"#,
        setup.discovery,
        setup.initiators,
        zones.join(",")
    )
}
