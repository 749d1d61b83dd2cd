//! The memory limit holds whatever clients and nodes make the process hold, and other clients are served meanwhile.

use crate::helper::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use topazpath::resp::{command, Value};

/// The least memory and the most descriptors that a deployment gives, and clients that hold half of these.
const MEMORY_MB: u64 = 32;
const SOCKETS: u32 = 1024;
const CLIENTS: usize = 500;
/// How long the clients go on.
const SECONDS: Duration = Duration::from_secs(2);

fn start(discovery: &Discovery) -> Program {
    Program::start(discovery, Setup { memory_mb: MEMORY_MB, sockets: SOCKETS, ..Setup::default() })
}

/// Connects clients that send these bytes as far as they are taken, and read what comes.
fn send_from_many(address: SocketAddr, bytes: impl Fn(usize) -> Vec<u8>) {
    let connect = |number| {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nonblocking(true).unwrap();
        (stream, bytes(number))
    };
    let mut clients: Vec<(TcpStream, Vec<u8>)> = (0..CLIENTS).map(connect).collect();
    let begun = Instant::now();
    while begun.elapsed() < SECONDS {
        for (stream, unsent) in &mut clients {
            let sent = stream.write(unsent).unwrap_or(0);
            unsent.drain(..sent);
            let _ = stream.read(&mut [0; 4096]);
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// A read whose list of attributes has many short fields that the program does not know.
fn read_with_many_fields(number: usize) -> Vec<u8> {
    const FIELDS: usize = 7000;
    let list = format!("c=read,t=plus,d=4000,volume={number:016x},units=2,shard=1,hosts=1");
    let list = list + &(0..FIELDS).map(|field| format!(",a{field}=b")).collect::<String>();
    let id = format!("many-{number}");
    command(&[b"OBJ.GET", b"0000000000000001", id.as_bytes(), list.as_bytes()])
}

/// Runs the clients beside one that is served, and checks the memory.
fn assert_within_limit(program: &Program, bytes: impl Fn(usize) -> Vec<u8> + Send + 'static) {
    let address = program.resp;
    let clients = thread::spawn(move || send_from_many(address, bytes));
    let (mut asked, mut served) = (0, 0);
    while !clients.is_finished() {
        let mut client = Client::connect(program.resp);
        asked += 1;
        client.request(2, 2, "", None);
        served += u32::from(matches!(client.try_receive(), Some(Value::Bulk(_))));
        thread::sleep(Duration::from_millis(20));
    }
    clients.join().unwrap();
    let peak = program.peak_memory_kb();
    assert!(peak < MEMORY_MB * 1024, "{peak} kB");
    assert!(2 * served > asked, "others are served: {served} of {asked}");
    program.wait_for_info("input_bytes:0");
    program.wait_for_info("long_value_bytes:0");
}

/// Guards against a process that passes its memory limit: commands whose heads are not whole were not limited.
#[test]
fn unfinished_heads_of_many_clients_stay_within_the_memory_limit() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-2", node.address, 2)]);
    let program = start(&discovery);
    let head =
        [&b"*4\r\n$7\r\nOBJ.GET\r\n$60000\r\n"[..], &[b'x'; 60_000], b"\r\n$20000\r\n", &[b'y'; 19_000]];
    let head = head.concat();
    assert_within_limit(&program, move |_| head.clone());
}

/// Guards against a process that passes its memory limit: attributes that are passed on to nodes were not counted.
#[test]
fn requests_with_very_many_fields_stay_within_the_memory_limit() {
    const PIPELINED: usize = 8;
    let (gate, fast) = (Gate::default(), Node::echo());
    let slow = Node::behind(&gate);
    let discovery = Discovery::start(&[("s-1", slow.address, 1), ("s-2", fast.address, 2)]);
    let program = start(&discovery);
    assert_within_limit(&program, |client| {
        let commands = (0..PIPELINED).map(|number| read_with_many_fields(client * PIPELINED + number));
        commands.collect::<Vec<_>>().concat()
    });
    gate.open();
}

/// Guards against a process that passes its memory limit: long bodies that memory has no room for were kept in part, and as
/// much again was read behind them.
#[test]
fn long_bodies_at_slow_nodes_stay_within_the_memory_limit() {
    const BODY: usize = 1 << 20;
    let fast = Node::echo();
    // It takes connections and reads nothing.
    let slow = serve(|_stream| thread::sleep(2 * SECONDS));
    let discovery = Discovery::start(&[("s-1", slow, 1), ("s-2", fast.address, 2)]);
    let program = start(&discovery);
    assert_within_limit(&program, |number| {
        let list = format!("c=write,t=plus,d=4000,volume={number:016x},units=2,shard=1,hosts=1");
        let id = format!("long-{number}");
        command(&[b"OBJ.PUT", b"0000000000000001", id.as_bytes(), list.as_bytes(), &[b'z'; BODY]])
    });
}
