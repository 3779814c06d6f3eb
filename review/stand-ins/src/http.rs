//! The little of HTTP/1.1 that the stand-ins need, on blocking sockets.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// First line.
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, at: usize) -> &str {
        self.start.split(' ').nth(at).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.word(1).split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Reads a head. Returns `None` at the end of the connection.
pub fn read_head(io: &mut impl BufRead) -> Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if io.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if head.start.is_empty() {
            head.start = line.into();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((key, value)) = line.split_once(':') {
            head.headers.push((key.trim().into(), value.trim().into()));
        }
    }
}

/// Reads a body of a known length.
pub fn read_body(io: &mut impl Read, head: &Head) -> Result<Vec<u8>> {
    let len = head.get("content-length").and_then(|len| len.parse().ok());
    let mut body = vec![0; len.unwrap_or(0)];
    io.read_exact(&mut body)?;
    Ok(body)
}

/// Reads the next chunk of a chunked body, which is empty at the end.
pub fn read_chunk(io: &mut impl BufRead) -> Result<Vec<u8>> {
    let mut line = String::new();
    io.read_line(&mut line)?;
    let len = usize::from_str_radix(line.trim(), 16)
        .map_err(|_| std::io::Error::other("the body broke off"))?;
    let mut chunk = vec![0; len + 2];
    io.read_exact(&mut chunk)?;
    chunk.truncate(len);
    Ok(chunk)
}

/// Writes a response with a body of a known length.
pub fn respond(io: &mut impl Write, status: &str, headers: &str, body: &[u8]) -> Result<()> {
    let len = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {len}\r\n\r\n");
    io.write_all(&[head.as_bytes(), body].concat())
}

/// A client's channel.
pub struct Channel {
    pub io: BufReader<TcpStream>,
}

impl Channel {
    /// Opens a channel. Clients allow a second for that.
    pub fn open(addr: SocketAddr) -> Result<Self> {
        let io = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        io.set_nodelay(true)?;
        Ok(Self {
            io: BufReader::new(io),
        })
    }

    /// Sends a request without a body and reads the head of the response within `wait`.
    pub fn send(&mut self, head: &str, wait: Duration) -> Result<Head> {
        self.io.get_ref().set_read_timeout(Some(wait))?;
        self.io.get_mut().write_all(head.as_bytes())?;
        read_head(&mut self.io)?.ok_or_else(|| std::io::Error::other("the channel was closed"))
    }
}
