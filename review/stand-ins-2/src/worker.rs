//! Stand-in of a worker. Each kind of request has a path of its own, and the worker records when a
//! request began to run and when its answer was written whole.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, Reader, read_message, respond};

/// Stream that a worker writes: events with ids from 1, one after the other.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    pub events: usize,
    /// Size of the text of an event, without its version.
    pub event_bytes: usize,
    pub gap: Duration,
}

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub worker: String,
    pub began: Instant,
    /// Time at which the whole answer was handed to the network, if it was.
    pub answered: Option<Instant>,
}

#[derive(Clone)]
pub struct Worker {
    pub addr: SocketAddr,
    pub id: String,
    /// Version of its software, which its events name.
    version: &'static str,
    born_ms: u128,
    stream: Stream,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Worker {
    pub fn start(addr: SocketAddr, id: &str, version: &'static str, stream: Stream) -> Self {
        let listener = TcpListener::bind(addr).expect("the worker's address is free");
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let worker = Self {
            addr,
            id: id.into(),
            version,
            born_ms: born.unwrap_or_default().as_millis(),
            stream,
            runs: Arc::default(),
        };
        let served = worker.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let worker = served.clone();
                thread::spawn(move || {
                    // A caller that has left ends the connection.
                    let _ = worker.serve(io);
                });
            }
        });
        worker
    }

    /// Entry of the worker in the list of instances.
    pub fn entry(&self, service: &str, seq: u64) -> String {
        let (addr, born, version) = (self.addr, self.born_ms, self.version);
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{addr}\",\"zone\":\"z-a\",\"version\":\"{version}\",\
             \"slots\":16,\"state\":\"ready\",\"cold-ms\":0,\"seq\":{seq},\"born\":{born}}}"
        )
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, io: TcpStream) -> std::io::Result<()> {
        io.set_nodelay(true)?;
        let mut reader = Reader::new(io);
        while let Some(req) = read_message(&mut reader)? {
            self.answer(reader.get_mut(), &req)?;
        }
        Ok(())
    }

    fn answer(&self, io: &mut TcpStream, req: &Message) -> std::io::Result<()> {
        let attempt = req.header("x-attempt-id").unwrap_or_default();
        if req.path() == "/-/report" {
            let report = format!("{{\"born\":{},\"seq\":0}}", self.born_ms);
            return respond(
                io,
                "200 OK",
                "Content-Type: application/json\r\n",
                report.as_bytes(),
            );
        }
        if req.header("x-expect-instance") != Some(self.id.as_str()) {
            let head = format!("X-Attempt-Id: {attempt}\r\n");
            return respond(io, "421 Misdirected Request", &head, b"");
        }
        let at = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                attempt: attempt.into(),
                worker: self.id.clone(),
                began: Instant::now(),
                answered: None,
            });
            runs.len() - 1
        };
        let head = format!("X-Attempt-Id: {attempt}\r\nX-Server-Seal: s.{attempt}\r\n");
        if req.path().starts_with("/stream/") {
            self.write_stream(io, &head, req)?;
        } else {
            respond(io, "200 OK", &head, b"done")?;
        }
        self.runs.lock().unwrap()[at].answered = Some(Instant::now());
        Ok(())
    }

    fn write_stream(&self, io: &mut TcpStream, head: &str, req: &Message) -> std::io::Result<()> {
        let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        io.write_all(format!("HTTP/1.1 200 OK\r\n{head}{kind}\r\n").as_bytes())?;
        let last = req.header("last-event-id");
        let last: usize = last.and_then(|id| id.parse().ok()).unwrap_or(0);
        let text = "x".repeat(self.stream.event_bytes);
        for id in last + 1..=self.stream.events {
            let event = format!("id: {id}\ndata: {} {text}\n\n", self.version);
            io.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(self.stream.gap);
        }
        io.write_all(b"0\r\n\r\n")
    }
}
