//! A real initiator as a child process, and a simple client for it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// How long a process may take to start, or to answer.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Limit on sockets in the initiator's configuration; the system's limit may be lower.
pub const SOCKETS: usize = 20_000;

/// Values in an initiator's configuration files.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Number of initiators in the fleet.
    pub initiators: usize,
    /// Number of zones.
    pub zones: usize,
    /// Addresses of planners; without any it uses its even share of each limit.
    pub planners: Vec<SocketAddr>,
    /// Content of its membership file; `None` if it is not a member of a fleet.
    pub fleet: Option<String>,
}

impl Setup {
    /// An initiator of a fleet of the target size, with discovery only.
    pub fn of(discovery: SocketAddr, zones: usize) -> Setup {
        let initiators = super::target::INITIATORS as usize;
        Setup { discovery, initiators, zones, planners: Vec::new(), fleet: None }
    }
}

/// A running initiator; its process is killed when this is dropped.
pub struct Initiator {
    child: Child,
    folder: PathBuf,
    /// Listening address for clients.
    pub listen: SocketAddr,
}

impl Drop for Initiator {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        // A remainder is left to the system's cleaning of temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A loopback address that only this run uses; `place` separates its uses.
pub fn own_address(place: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 140, std::process::id() as u8, place)
}

/// Creates a temporary folder that only this run uses. Fails if it can't be created.
pub fn own_folder() -> Result<PathBuf, String> {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("topazpath-capacity-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    Ok(folder)
}

/// Path of the initiator's program, built once if Cargo started this process.
pub fn program() -> Result<PathBuf, String> {
    static PROGRAM: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    PROGRAM.get_or_init(crate::vrrp::experiments::program).clone()
}

impl Initiator {
    /// Starts an initiator and waits until it accepts clients. Fails if that takes too long.
    pub fn start(setup: &Setup) -> Result<Initiator, String> {
        let program = program()?;
        let error_text = |error: std::io::Error| error.to_string();
        let listen =
            TcpListener::bind((own_address(1), 0)).and_then(|free| free.local_addr()).map_err(error_text)?;
        let folder = own_folder()?;
        std::fs::write(folder.join("config.json"), configuration(listen, setup)).map_err(error_text)?;
        if !setup.planners.is_empty() {
            let planners: Vec<String> = setup.planners.iter().map(SocketAddr::to_string).collect();
            let text = format!("enabled = true\nplanners = {planners:?}\n");
            std::fs::write(folder.join("planners.toml"), text).map_err(error_text)?;
        }
        if let Some(fleet) = &setup.fleet {
            std::fs::write(folder.join("fleet.toml"), fleet).map_err(error_text)?;
        }
        let mut command = Command::new(program);
        command.env("NODE_CONFIG", folder.join("config.json")).env("TMPDIR", &folder);
        command.env("TOPAZPATH_PLANNERS", folder.join("planners.toml"));
        command.env("TOPAZPATH_FLEET", folder.join("fleet.toml"));
        for file in ["TOPAZPATH_ISCSI", "TOPAZPATH_VRRP"] {
            command.env(file, folder.join("none"));
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        let child = command.spawn().map_err(error_text)?;
        let initiator = Initiator { child, folder, listen };
        let start = Instant::now();
        while TcpStream::connect(listen).is_err() {
            if start.elapsed() > TIMEOUT {
                return Err("the initiator does not accept clients".into());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(initiator)
    }

    /// Its process id.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Its processor time so far, in seconds.
    pub fn processor(&self) -> f64 {
        crate::load::processor_time(self.process()).as_secs_f64()
    }

    /// Processor time that it uses within `time`, as a share of one core.
    pub fn processor_within(&self, time: Duration) -> f64 {
        let (start, before) = (Instant::now(), self.processor());
        std::thread::sleep(time);
        (self.processor() - before) / start.elapsed().as_secs_f64()
    }

    /// Its resident memory, in bytes.
    pub fn memory(&self) -> Result<f64, String> {
        super::meter::resident_memory(self.process())
    }

    /// Its answer to a command, on a new connection.
    pub fn request(&self, words: &[&[u8]]) -> Result<String, String> {
        Client::connect(self.listen)?.request(&topazpath::resp::command(words))
    }

    /// A number from its `INFO`, by name. Fails if there is none.
    pub fn info_number(&self, name: &str) -> Result<f64, String> {
        let text = self.request(&[b"INFO"])?;
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix([':', ' ', '=']));
        value
            .and_then(|value| value.trim().parse().ok())
            .ok_or_else(|| format!("INFO has no {name}: {text:.200}"))
    }
}

/// A client's connection with one request in flight at a time.
pub struct Client {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Client {
    /// Connects. Fails if the address doesn't accept.
    pub fn connect(address: SocketAddr) -> Result<Client, String> {
        let connect = || -> std::io::Result<Client> {
            let stream = TcpStream::connect(address)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(TIMEOUT))?;
            Ok(Client { reader: BufReader::with_capacity(512, stream.try_clone()?), stream })
        };
        connect().map_err(|error| format!("client of {address}: {error}"))
    }

    /// Sends a command and waits for the answer. Returns its text without the framing.
    pub fn request(&mut self, command: &[u8]) -> Result<String, String> {
        self.stream.write_all(command).map_err(|error| format!("sending a client's command: {error}"))?;
        self.answer().map_err(|error| format!("reading a client's answer: {error}"))
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

/// A command that reads an object of a volume on a shard.
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
