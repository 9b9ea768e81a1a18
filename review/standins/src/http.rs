//! The little of HTTP/1.1 that the stand-ins speak: bodies with a length, one request at a time.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or a response. Header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response; 0 if the status line cannot be read.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads the next message; `None` if the connection ends before the message is complete. `buffer`
/// keeps bytes that follow the message.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    loop {
        if let Some(message) = take_message(buffer) {
            return Some(message);
        }
        let mut bytes = [0; 16 * 1024];
        let count = stream.read(&mut bytes).ok()?;
        if count == 0 {
            return None;
        }
        buffer.extend_from_slice(&bytes[..count]);
    }
}

fn take_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let end = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..end]).to_string();
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or_default().to_string();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let whole = end + 4 + length;
    if buffer.len() < whole {
        return None;
    }
    let body = buffer[end + 4..whole].to_vec();
    buffer.drain(..whole);
    Some(Message {
        line,
        headers,
        body,
    })
}

/// Bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and reads the response, within `limit`. `None` if there is
/// no complete response.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1))).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!(
        "{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let left = end.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    read_message(&mut stream, &mut Vec::new())
}
