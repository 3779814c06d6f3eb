//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head and body of a request or response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let known = self.headers.iter();
        let mut found = known.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Path of a request, without its query.
    pub fn path(&self) -> &str {
        let target = self.start.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// Parameter of a request's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let target = self.start.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

pub type Reader = BufReader<TcpStream>;

/// Reads a head. Returns `None` if the connection ends before it.
pub fn read_head(reader: &mut Reader) -> Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.start.is_empty() {
                true => Ok(None),
                false => Err(ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        match line.split_once(':') {
            _ if line.is_empty() => return Ok(Some(message)),
            _ if message.start.is_empty() => message.start = line.into(),
            Some((name, value)) => {
                let header = (name.to_ascii_lowercase(), value.trim().into());
                message.headers.push(header);
            }
            None => return Err(Error::other("a header without a colon")),
        }
    }
}

/// Reads the next piece of a chunked body into `body`. Returns whether more follow.
pub fn read_chunk(reader: &mut Reader, body: &mut Vec<u8>) -> Result<bool> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let len = usize::from_str_radix(line.trim(), 16).map_err(Error::other)?;
    let mut chunk = vec![0; len + 2];
    reader.read_exact(&mut chunk)?;
    body.extend_from_slice(&chunk[..len]);
    Ok(len > 0)
}

/// Reads a body that has a length or chunks. What has arrived stays in the message on an error.
pub fn read_body(reader: &mut Reader, message: &mut Message) -> Result<()> {
    let is_chunked = message.header("transfer-encoding").is_some();
    if is_chunked {
        while read_chunk(reader, &mut message.body)? {}
        return Ok(());
    }
    let len = message.header("content-length");
    let len: usize = len.and_then(|len| len.parse().ok()).unwrap_or(0);
    let mut buf = [0; 16 * 1024];
    while message.body.len() < len {
        let most = buf.len().min(len - message.body.len());
        match reader.read(&mut buf[..most])? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            n => message.body.extend_from_slice(&buf[..n]),
        }
    }
    Ok(())
}

pub fn read_message(reader: &mut Reader) -> Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn respond(io: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> Result<()> {
    let len = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {len}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    io.write_all(&bytes)
}

pub fn connect(addr: SocketAddr) -> Result<Reader> {
    let io = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    io.set_nodelay(true)?;
    Ok(BufReader::new(io))
}

/// Sends a request on a new connection and reads the response.
pub fn call(addr: SocketAddr, head: &str) -> Result<Message> {
    let mut reader = connect(addr)?;
    reader
        .get_ref()
        .set_read_timeout(Some(Duration::from_secs(5)))?;
    reader.get_mut().write_all(head.as_bytes())?;
    read_message(&mut reader)?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
}
