//! Adapter for the simulator: runs any number of schedulers and speaks the simulator's protocol on standard input and
//! output. It makes no decisions of its own.

mod frames;

use frames::{Record, Reply};
use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, ErrorKind, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::time::Duration;
use topazpath::interface::{Action, Event};
use topazpath::{settings, Scheduler};

/// The schedulers by instance, and the events for each from the current batch.
#[derive(Default)]
struct Instances {
    schedulers: BTreeMap<u32, Scheduler>,
    pending: BTreeMap<u32, Vec<Event>>,
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("topazpath-wirehost: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    let mut instances = Instances::default();
    while let Some(head) = read_head(&mut input)? {
        let header = frames::read_header(&head).map_err(|why| format!("bad batch header: {why}"))?;
        let mut body = Vec::new();
        let length = u64::from(header.length);
        input.by_ref().take(length).read_to_end(&mut body).map_err(|error| error.to_string())?;
        if body.len() as u64 != length {
            return Err(format!("batch {} is truncated", header.sequence));
        }
        let records = frames::read_records(&header, &body)
            .map_err(|why| format!("batch {} is malformed: {why}", header.sequence))?;
        let frame = instances.batch(header.now, records)?.into_frame(header.sequence);
        output.write_all(&frame).and_then(|()| output.flush()).map_err(|error| error.to_string())?;
    }
    Ok(())
}

/// Reads a header; `None` at the end of the input.
fn read_head(input: &mut impl Read) -> Result<Option<[u8; frames::HEADER_BYTES]>, String> {
    let mut head = [0; frames::HEADER_BYTES];
    let mut filled = 0;
    while filled < head.len() {
        match input.read(&mut head[filled..]) {
            Ok(0) if filled == 0 => return Ok(None),
            Ok(0) => return Err("the input ends inside a batch header".into()),
            Ok(count) => filled += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error.to_string()),
        }
    }
    Ok(Some(head))
}

impl Instances {
    fn batch(&mut self, now: Duration, records: Vec<Record>) -> Result<Reply, String> {
        let mut reply = Reply::default();
        let mut selected = None;
        for record in records {
            let instance = match record {
                Record::Select(instance) => {
                    selected = Some(instance);
                    continue;
                }
                _ => selected.ok_or("a record before any Select")?,
            };
            match record {
                Record::Start { seed, settings } => {
                    let settings = settings::parse(&settings)
                        .map_err(|why| format!("unusable settings for instance {instance}: {why}"))?;
                    self.schedulers.insert(instance, Scheduler::new(settings, seed));
                    self.pending.insert(instance, Vec::new());
                }
                Record::Stop => {
                    self.schedulers.remove(&instance);
                    self.pending.remove(&instance);
                }
                Record::Event(event) => {
                    if self.schedulers.contains_key(&instance) {
                        self.pending.entry(instance).or_default().push(event);
                    }
                }
                Record::Ignored | Record::Select(_) => {}
            }
        }
        for (instance, events) in std::mem::take(&mut self.pending) {
            let Some(scheduler) = self.schedulers.get_mut(&instance) else {
                continue;
            };
            let mut actions: Vec<Action> = Vec::new();
            let outcome = catch_unwind(AssertUnwindSafe(|| scheduler.handle(now, &events, &mut actions)));
            if outcome.is_ok() && actions.is_empty() {
                continue;
            }
            reply.select(instance);
            match outcome {
                Ok(()) => actions.iter().for_each(|action| reply.action(action)),
                Err(cause) => {
                    let text = cause.downcast_ref::<String>().map(String::as_str);
                    let text = text.or(cause.downcast_ref::<&str>().copied());
                    reply.internal_error(text.unwrap_or("the decision module panicked"));
                }
            }
        }
        Ok(reply)
    }
}
