//! The simulator's binary protocol: parses batches of records into events, and writes actions as records of a reply.

use std::time::Duration;
use topazpath::interface::*;

/// A record of an incoming batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    Select(u32),
    Start { seed: u64, settings: Vec<u8> },
    Stop,
    Event(Event),
    Ignored,
}

/// The header of an incoming batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchHeader {
    pub sequence: u32,
    pub length: u32,
    pub now: Duration,
    pub records: u32,
}

/// Bytes of a batch header.
pub const HEADER_BYTES: usize = 20;

type Parsed<T> = Result<T, String>;

/// Reads little-endian fields in sequence.
struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Parsed<&'a [u8]> {
        if count > self.bytes.len() {
            return Err(format!("a field of {count} bytes where {} are left", self.bytes.len()));
        }
        let (head, tail) = self.bytes.split_at(count);
        self.bytes = tail;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Parsed<[u8; N]> {
        Ok(self.take(N)?.try_into().expect("take gives N bytes"))
    }

    fn u8(&mut self) -> Parsed<u8> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Parsed<u16> {
        self.array().map(u16::from_le_bytes)
    }

    fn u32(&mut self) -> Parsed<u32> {
        self.array().map(u32::from_le_bytes)
    }

    fn u64(&mut self) -> Parsed<u64> {
        self.array().map(u64::from_le_bytes)
    }

    fn f32(&mut self) -> Parsed<f64> {
        finite(self.array().map(f32::from_le_bytes)?.into())
    }

    /// A time or duration in milliseconds; negative ones become zero.
    fn time(&mut self) -> Parsed<Duration> {
        let millis = self.f64()?.max(0.0);
        Duration::try_from_secs_f64(millis / 1000.0).map_err(|_| format!("{millis} ms is out of range"))
    }

    fn f64(&mut self) -> Parsed<f64> {
        finite(self.array().map(f64::from_le_bytes)?)
    }
}

fn finite(value: f64) -> Parsed<f64> {
    if value.is_finite() {
        Ok(value)
    } else {
        Err("a number that is not finite".into())
    }
}

/// Reads the header of a batch.
pub fn read_header(bytes: &[u8; HEADER_BYTES]) -> Parsed<BatchHeader> {
    let mut reader = Reader { bytes };
    let (sequence, length) = (reader.u32()?, reader.u32()?);
    Ok(BatchHeader { sequence, length, now: reader.time()?, records: reader.u32()? })
}

/// Reads the records that follow a header.
pub fn read_records(header: &BatchHeader, body: &[u8]) -> Parsed<Vec<Record>> {
    let mut reader = Reader { bytes: body };
    let mut records = Vec::new();
    for _ in 0..header.records {
        let code = reader.u8()?;
        let length = reader.u32()? as usize;
        let mut fields = Reader { bytes: reader.take(length)? };
        records.push(read_record(code, &mut fields).map_err(|why| format!("record code {code}: {why}"))?);
        if !fields.bytes.is_empty() {
            return Err(format!("record code {code}: {} bytes too many", fields.bytes.len()));
        }
    }
    if !reader.bytes.is_empty() {
        return Err(format!("{} bytes after the last record", reader.bytes.len()));
    }
    Ok(records)
}

fn read_record(code: u8, fields: &mut Reader) -> Parsed<Record> {
    let event = match code {
        1 => read_list(fields)?,
        2 => {
            fields.u64()?;
            Event::Wake
        }
        3 => {
            fields.u32()?;
            let length = fields.u16()?;
            fields.take(length.into())?;
            return Ok(Record::Ignored);
        }
        4 => {
            fields.take(14)?;
            skip_report(fields)?;
            return Ok(Record::Ignored);
        }
        5 => read_request(fields)?,
        6 => Event::ClientGone { id: RequestId(fields.u64()?) },
        7 => return Ok(Record::Select(fields.u32()?)),
        8 => {
            let id = RequestId(fields.u64()?);
            fields.take(13)?;
            Event::StreamStarted { id }
        }
        9 => return Ok(Record::Stop),
        10 => {
            let seed = fields.u64()?;
            let length = fields.u32()? as usize;
            return Ok(Record::Start { seed, settings: fields.take(length)?.to_vec() });
        }
        11 => read_outcome(fields)?,
        _ => return Err("not known".into()),
    };
    Ok(Record::Event(event))
}

fn skip_report(fields: &mut Reader) -> Parsed<()> {
    for _ in 0..fields.u8()? {
        fields.f32()?;
    }
    Ok(())
}

fn read_list(fields: &mut Reader) -> Parsed<Event> {
    let kind = match fields.u8()? {
        1 => ListKind::Cached,
        2 => ListKind::Failed,
        3 => ListKind::Full,
        4 => ListKind::Delta,
        other => return Err(format!("list kind {other} is not known")),
    };
    fields.u64()?;
    let count = fields.u32()?;
    let mut entries = Vec::new();
    for _ in 0..count {
        let shard = fields.u16()?.into();
        // Zero or a time before the clock's origin: the node is past its slow start.
        let started = Some(fields.time()?).filter(|started| !started.is_zero());
        fields.f32()?;
        let zone = fields.u8()?.into();
        fields.u16()?;
        let node = NodeId(fields.u32()?);
        let state = match fields.u8()? {
            0 => NodeState::Gone,
            1 => NodeState::Ready,
            2 => NodeState::Draining,
            other => return Err(format!("node state {other} is not known")),
        };
        entries.push(NodeEntry { node, shard, zone, started, state, no_new_objects: false });
    }
    Ok(Event::List { kind, entries })
}

fn read_request(fields: &mut Reader) -> Parsed<Event> {
    let id = RequestId(fields.u64()?);
    let class = fields.u8()?.into();
    let plan = fields.u32()? as usize;
    let key = fields.u64()?;
    let deadline = fields.time()?;
    let volume = VolumeId(fields.u64()?);
    let units = fields.f32()?;
    let shard = fields.f32()?;
    let shard = (shard >= 0.0).then_some(shard as u32);
    let volume_initiators = fields.f32()?;
    fields.u8()?;
    Ok(Event::Request(NewRequest { id, class, plan, volume, key, deadline, units, shard, volume_initiators }))
}

fn read_outcome(fields: &mut Reader) -> Parsed<Event> {
    let id = RequestId(fields.u64()?);
    let served_elsewhere = fields.u16()?.into();
    let outcome = match fields.u16()? {
        200 => Outcome::Served,
        500 => Outcome::Error,
        503 => Outcome::Rejected,
        504 => Outcome::TimedOut,
        502 => Outcome::NotConnected,
        598 => Outcome::Reset,
        499 => Outcome::Cancelled,
        410 => Outcome::NotSent,
        _ => Outcome::Unknown,
    };
    let attempt = fields.u8()?.into();
    let finished = fields.u8()? != 0;
    let volume_usage = fields.u16()?;
    let volume_usage = (volume_usage > 0).then(|| f64::from(volume_usage - 1) / 100.0);
    let node = NodeId(fields.u32()?);
    let latency = fields.time()?;
    skip_report(fields)?;
    Ok(Event::AttemptEnded(AttemptEnd {
        id,
        attempt,
        node,
        outcome,
        finished,
        latency,
        volume_usage,
        served_elsewhere,
    }))
}

/// Encodes a time or duration as milliseconds.
fn millis(time: Duration) -> [u8; 8] {
    (time.as_secs_f64() * 1000.0).to_le_bytes()
}

/// Collects the records of a reply.
#[derive(Default)]
pub struct Reply {
    body: Vec<u8>,
}

impl Reply {
    fn record(&mut self, code: u8, parts: &[&[u8]]) {
        let length: usize = parts.iter().map(|part| part.len()).sum();
        self.body.push(code);
        self.body.extend((length as u32).to_le_bytes());
        parts.iter().for_each(|part| self.body.extend(*part));
    }

    /// Selects the instance that the following actions belong to.
    pub fn select(&mut self, instance: u32) {
        self.record(13, &[&instance.to_le_bytes()]);
    }

    /// Adds an action of the selected instance.
    pub fn action(&mut self, action: &Action) {
        match *action {
            Action::Send { id, node, give_up_at, .. } => {
                self.record(1, &[&id.0.to_le_bytes(), &node.0.to_le_bytes(), &millis(give_up_at)]);
            }
            Action::Refuse { id, retry_after } => {
                self.record(2, &[&id.0.to_le_bytes(), &millis(retry_after)]);
            }
            Action::Fail { id } => self.record(3, &[&id.0.to_le_bytes()]),
            Action::Cancel { id, attempt } => self.record(4, &[&id.0.to_le_bytes(), &[attempt as u8]]),
            Action::WakeAt(at) => self.record(5, &[&millis(at), &0u64.to_le_bytes()]),
            Action::Subscribe => self.record(11, &[&[1]]),
        }
    }

    /// Reports that the scheduler of the selected instance panicked.
    pub fn internal_error(&mut self, text: &str) {
        let text = &text.as_bytes()[..text.len().min(u16::MAX.into())];
        self.record(10, &[&(text.len() as u16).to_le_bytes(), text]);
    }

    /// The complete frame of the reply.
    pub fn into_frame(self, sequence: u32) -> Vec<u8> {
        let mut frame = sequence.to_le_bytes().to_vec();
        frame.extend((self.body.len() as u32).to_le_bytes());
        frame.extend(self.body);
        frame
    }
}
