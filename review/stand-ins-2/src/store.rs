//! Stand-in of the platform's store: keyed topics with one partition, and the interface for usage
//! reports, which is at the same address.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Reader, read_message, respond};

#[derive(Default)]
struct Topics {
    by_name: HashMap<String, Vec<(String, Vec<u8>)>>,
}

/// Usage report as the platform receives it.
#[derive(Debug, Clone)]
pub struct UsageCall {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
    pub body: String,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    topics: Arc<(Mutex<Topics>, Condvar)>,
    usage: Arc<Mutex<Vec<UsageCall>>>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Self {
        let listener = TcpListener::bind(addr).expect("the store's address is free");
        let store = Self {
            addr,
            topics: Arc::default(),
            usage: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(io));
            }
        });
        store
    }

    /// Appends a record. An empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> usize {
        self.put_at(topic, key, value, None).unwrap_or_default()
    }

    /// Appends a record if the topic ends at `at`. Fails with the end otherwise.
    fn put_at(
        &self,
        topic: &str,
        key: &str,
        value: &str,
        at: Option<usize>,
    ) -> Result<usize, usize> {
        let mut topics = self.topics.0.lock().unwrap();
        let records = topics.by_name.entry(topic.into()).or_default();
        let end = records.len();
        if at.is_some_and(|at| at != end) {
            return Err(end);
        }
        records.push((key.into(), value.as_bytes().to_vec()));
        self.topics.1.notify_all();
        Ok(end)
    }

    pub fn usage(&self) -> Vec<UsageCall> {
        self.usage.lock().unwrap().clone()
    }

    fn serve(&self, io: TcpStream) {
        let _ = io.set_nodelay(true);
        let mut reader = Reader::new(io);
        while let Ok(Some(req)) = read_message(&mut reader) {
            let (status, body) = self.answer(&req);
            if respond(reader.get_mut(), status, "", &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (&'static str, Vec<u8>) {
        let topic = req.query("topic").unwrap_or_default();
        match req.path() {
            "/-/log-newest" => ("200 OK", self.newest(topic)),
            "/-/log-read" => ("200 OK", self.read(req, topic)),
            "/-/log-append" => self.append(req, topic),
            "/usage" => {
                let text = |name| req.header(name).unwrap_or_default();
                let call = UsageCall {
                    at: Instant::now(),
                    holder: text("x-duty-holder").into(),
                    fence: text("x-fencing-token").parse().unwrap_or(0),
                    body: String::from_utf8_lossy(&req.body).into(),
                };
                self.usage.lock().unwrap().push(call);
                ("200 OK", b"{}".to_vec())
            }
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.0.lock().unwrap();
        let records = topics.by_name.get(topic).map_or(&[][..], |r| r);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<_> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"has-more\":false,\"end\":{end}}}").into_bytes()
    }

    fn read(&self, req: &Message, topic: &str) -> Vec<u8> {
        let number = |name| req.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            let end = topics.by_name.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.topics.1.wait_timeout(topics, left).unwrap().0;
        }
        let records = topics.by_name.get(topic).map_or(&[][..], |r| r);
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            let len = 1 + key.len() + value.len();
            bytes.extend_from_slice(&(len as u32).to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend_from_slice(key.as_bytes());
            bytes.extend_from_slice(value);
        }
        bytes
    }

    fn append(&self, req: &Message, topic: &str) -> (&'static str, Vec<u8>) {
        let key_len = usize::from(req.body[4]);
        let key = String::from_utf8_lossy(&req.body[5..5 + key_len]);
        let value = String::from_utf8_lossy(&req.body[5 + key_len..]);
        let at = req.query("at").and_then(|text| text.parse::<usize>().ok());
        let offset = match self.put_at(topic, &key, &value, at) {
            Ok(offset) => offset,
            Err(end) => {
                let body = format!("{{\"end\":{end}}}");
                return ("412 Precondition Failed", body.into());
            }
        };
        let body = format!("{{\"offset\":{offset},\"end\":{}}}", offset + 1);
        ("200 OK", body.into())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let at = |i: usize| u32::from(*three.get(i).unwrap_or(&0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            let value = (bits >> (18 - 6 * digit)) & 63;
            let is_padding = digit > three.len();
            text.push(if is_padding {
                '='
            } else {
                char::from(DIGITS[value as usize])
            });
        }
    }
    text
}
