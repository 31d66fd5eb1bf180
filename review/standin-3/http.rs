//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|row| row.0.eq_ignore_ascii_case(name));
        found.map(|row| row.1.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; `None` if the connection has ended.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message. A response without length or chunks ends with its connection.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message, is_response: bool) {
    message.is_complete = read_whole(reader, message, is_response).unwrap_or(false);
}

fn read_whole(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    is_response: bool,
) -> io::Result<bool> {
    let chunked = message.header("transfer-encoding").is_some_and(|text| text.contains("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(false);
            }
            let digits = line.trim().split(';').next().unwrap_or("");
            let Ok(size) = usize::from_str_radix(digits, 16) else { return Ok(false) };
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            chunk.truncate(size);
            message.body.extend_from_slice(&chunk);
            if size == 0 {
                return Ok(true);
            }
        }
    }
    if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
        let read = reader.by_ref().take(length).read_to_end(&mut message.body)?;
        return Ok(read as u64 == length);
    }
    if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(true)
}

/// Sends a request on a new connection and reads the answer; `None` if no head arrived.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Message, String> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1));
    let mut stream = stream.map_err(|error| format!("no connection: {error}"))?;
    stream.set_read_timeout(Some(timeout)).map_err(|error| error.to_string())?;
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).map_err(|error| format!("not sent: {error}"))?;
    let mut reader = BufReader::new(stream);
    match read_head(&mut reader) {
        Ok(Some(mut message)) => {
            read_body(&mut reader, &mut message, true);
            Ok(message)
        }
        Ok(None) => Err("closed without an answer".to_owned()),
        Err(error) => Err(format!("no answer: {error}")),
    }
}
