//! A toy back end: discovery with one storage node that keeps objects in memory and takes 50 ms for each request.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use topazpath::resp::{self, Value};

const DISCOVERY: &str = "127.0.0.1:6401";
const NODE: &str = "127.0.0.1:6402";
const LIST: &str = r#"{"index":1,"snapshot":true,"endpoints":[{"name":"s-toy","address":"127.0.0.1:6402",
"zone":"sala-palermo","type":"toy","group":0,"status":"active","weight":1.0,"since_ms":0}]}"#;

type Objects = Arc<Mutex<HashMap<Vec<u8>, Vec<u8>>>>;

fn main() -> std::io::Result<()> {
    let (discovery, node) = (TcpListener::bind(DISCOVERY)?, TcpListener::bind(NODE)?);
    println!("discovery at {DISCOVERY}, one storage node with shard 0 at {NODE}");
    thread::spawn(move || {
        for stream in discovery.incoming().flatten() {
            thread::spawn(move || serve_list(stream));
        }
    });
    let objects = Objects::default();
    for stream in node.incoming().flatten() {
        let objects = objects.clone();
        thread::spawn(move || serve_objects(stream, &objects));
    }
    Ok(())
}

/// Answers the first call with the list and lets later ones wait, since the list never changes.
fn serve_list(mut stream: TcpStream) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            (reader.read_line(&mut head).ok()? > 0).then_some(())?;
        }
        let watches = head.contains("after=1&");
        if watches {
            thread::sleep(Duration::from_secs(2));
        }
        let body = if watches { r#"{"index":1,"snapshot":false,"endpoints":[]}"# } else { LIST };
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
    }
}

/// Serves one connection: `OBJ.PUT` stores a body and returns it, `OBJ.GET` returns the stored body.
fn serve_objects(mut stream: TcpStream, objects: &Objects) -> Option<()> {
    let (mut input, mut bytes) = (Vec::new(), [0; 4096]);
    loop {
        while let Some((command, length)) = resp::parse(&input).ok()? {
            input.drain(..length);
            thread::sleep(Duration::from_millis(50));
            let Value::Array(Some(words)) = command else { return None };
            let word = |at: usize| match words.get(at) {
                Some(Value::Bulk(Some(word))) => Some(word.clone()),
                _ => None,
            };
            let stored = match word(4) {
                Some(body) => {
                    objects.lock().ok()?.insert(word(1)?, body.clone());
                    Some(body)
                }
                None => objects.lock().ok()?.get(&word(1)?).cloned(),
            };
            let mut answer = Vec::new();
            match stored {
                Some(value) => {
                    answer.extend(b"*3\r\n");
                    resp::write_bulk(&mut answer, &value);
                    answer.extend(b"$-1\r\n$-1\r\n");
                }
                None => answer.extend(b"-ERR failed\r\n"),
            }
            stream.write_all(&answer).ok()?;
        }
        let count = stream.read(&mut bytes).ok().filter(|count| *count > 0)?;
        input.extend(&bytes[..count]);
    }
}
