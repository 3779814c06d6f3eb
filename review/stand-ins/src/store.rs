//! Stand-in for the platform's store, which keeps keyed topics, and for its usage interface.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Result, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head, respond};

/// Time of an answer, as on the sheets of the installations.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Check-in intervals of silence after which an entry of a server is removed.
const LAPSE_INTERVALS: u32 = 3;

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
}

#[derive(Default)]
struct Contents {
    topics: HashMap<String, Topic>,
    /// Last check-in of each server.
    seen: BTreeMap<String, Instant>,
}

/// The store. Clones share its contents.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Contents>, Condvar)>);

impl Store {
    /// Starts the store, which removes the entries of servers that no longer check in.
    pub fn start(heartbeat: Duration) -> Self {
        let store = Self::default();
        let lapsing = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                lapsing.remove_lapsed(heartbeat * LAPSE_INTERVALS);
            }
        });
        store
    }

    /// Serves at a free port of `ip`. Returns the address.
    pub fn listen(&self, ip: IpAddr) -> Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let addr = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(io));
            }
        });
        Ok(addr)
    }

    /// Writes the operator's configuration.
    pub fn put_config(&self, config: &str) {
        self.push("keyed.op", "config", config.as_bytes());
    }

    /// Writes the entry of a server, which checks in with it.
    pub fn check_in(&self, id: &str, entry: &str) {
        self.push("keyed.servers", id, entry.as_bytes());
        let mut contents = self.0.0.lock().unwrap();
        contents.seen.insert(id.into(), Instant::now());
    }

    fn remove_lapsed(&self, silence: Duration) {
        let lapsed: Vec<String> = {
            let mut contents = self.0.0.lock().unwrap();
            let lapsed = contents
                .seen
                .extract_if(.., |_, at| at.elapsed() > silence)
                .map(|(id, _)| id);
            lapsed.collect()
        };
        for id in lapsed {
            self.push("keyed.servers", &id, b"");
        }
    }

    fn push(&self, topic: &str, key: &str, value: &[u8]) -> usize {
        let mut contents = self.0.0.lock().unwrap();
        let topic = contents.topics.entry(topic.into()).or_default();
        topic.records.push((key.into(), value.into()));
        self.0.1.notify_all();
        topic.records.len() - 1
    }

    fn serve(&self, io: TcpStream) -> Option<()> {
        io.set_nodelay(true).ok()?;
        let mut out = io.try_clone().ok()?;
        let mut input = BufReader::new(io);
        while let Some(head) = read_head(&mut input).ok()? {
            let body = read_body(&mut input, &head).ok()?;
            self.answer(&mut out, &head, &body).ok()?;
        }
        None
    }

    fn answer(&self, out: &mut impl Write, head: &Head, body: &[u8]) -> Result<()> {
        let path = head.word(1).split('?').next().unwrap_or_default();
        let topic = head.query("topic").unwrap_or_default();
        let json = "Content-Type: application/json\r\nStore-Era: 1\r\n";
        let raw = "Store-Era: 1\r\n";
        let wait = match path {
            "/-/log-read" => head.query("wait-ms").and_then(|ms| ms.parse().ok()),
            _ => None,
        };
        let number = |name| head.query(name).and_then(|text| text.parse().ok());
        let from = number("from").unwrap_or(0);
        self.await_record(topic, from, Duration::from_millis(wait.unwrap_or(0)));
        thread::sleep(ANSWER_TIME);
        match path {
            "/-/log-newest" => respond(out, "200 OK", json, self.newest(topic).as_bytes()),
            "/-/log-read" => respond(out, "200 OK", raw, &self.read(topic, from)),
            "/-/log-append" => match self.append(topic, number("at"), body) {
                Ok(offset) => {
                    let body = format!("{{\"offset\":{offset},\"end\":{}}}", offset + 1);
                    respond(out, "200 OK", json, body.as_bytes())
                }
                Err(end) => {
                    let body = format!("{{\"end\":{end}}}");
                    respond(out, "412 Precondition Failed", json, body.as_bytes())
                }
            },
            "/usage" => respond(out, "200 OK", json, b"{}"),
            _ => respond(out, "404 Not Found", json, b"{}"),
        }
    }

    /// Waits until the topic has a record at `from`.
    fn await_record(&self, topic: &str, from: usize, wait: Duration) {
        let end = |contents: &mut Contents| {
            let topic = contents.topics.get(topic);
            topic.map_or(0, |topic| topic.records.len())
        };
        let contents = self.0.0.lock().unwrap();
        let waiting = self
            .0
            .1
            .wait_timeout_while(contents, wait, |c| end(c) <= from);
        drop(waiting);
    }

    fn append(
        &self,
        topic: &str,
        at: Option<usize>,
        body: &[u8],
    ) -> std::result::Result<usize, usize> {
        let mut contents = self.0.0.lock().unwrap();
        let records = &mut contents.topics.entry(topic.into()).or_default().records;
        if at.is_some_and(|at| at != records.len()) {
            return Err(records.len());
        }
        let key_len = usize::from(body[4]);
        let key = String::from_utf8_lossy(&body[5..5 + key_len]).into_owned();
        records.push((key, body[5 + key_len..].to_vec()));
        self.0.1.notify_all();
        Ok(records.len() - 1)
    }

    fn newest(&self, topic: &str) -> String {
        let contents = self.0.0.lock().unwrap();
        let records = contents.topics.get(topic).map_or(&[][..], |t| &t.records);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<_> = newest
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        format!(
            "{{\"items\":[{}],\"has-more\":false,\"end\":{}}}",
            items.join(","),
            records.len()
        )
    }

    fn read(&self, topic: &str, from: usize) -> Vec<u8> {
        let contents = self.0.0.lock().unwrap();
        let records = contents.topics.get(topic).map_or(&[][..], |t| &t.records);
        let mut body = Vec::new();
        body.extend((records.len() as u64).to_be_bytes());
        body.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        body
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize];
            text.push(if at > group.len() {
                '='
            } else {
                char::from(digit)
            });
        }
    }
    text
}
