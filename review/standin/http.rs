//! Reading and writing of HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

#[derive(Debug)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|row| row.0.eq_ignore_ascii_case(name));
        found.map(|row| row.1.as_str())
    }


    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Bytes of a connection that were read ahead.
#[derive(Default)]
pub struct Buffer(pub Vec<u8>);

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Buffer) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = buffer.0.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        if !fill(stream, buffer)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer.0[..end]).into_owned();
    buffer.0.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let header = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    };
    Ok(Some(Message { first, headers: lines.filter_map(header).collect(), body: Vec::new() }))
}

/// Reads a message with its body, which has a length or comes in chunks.
pub fn read(stream: &mut TcpStream, buffer: &mut Buffer) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream, buffer)? else { return Ok(None) };
    let chunked = message.header("transfer-encoding").is_some();
    if chunked {
        loop {
            let line = read_line(stream, buffer)?;
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            take(stream, buffer, size, &mut message.body)?;
            read_line(stream, buffer)?;
            if size == 0 {
                break;
            }
        }
    } else {
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        take(stream, buffer, length.unwrap_or(0), &mut message.body)?;
    }
    Ok(Some(message))
}

fn read_line(stream: &mut TcpStream, buffer: &mut Buffer) -> io::Result<String> {
    loop {
        if let Some(at) = buffer.0.windows(2).position(|two| two == b"\r\n") {
            let line = String::from_utf8_lossy(&buffer.0[..at]).into_owned();
            buffer.0.drain(..at + 2);
            return Ok(line);
        }
        if !fill(stream, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn take(
    stream: &mut TcpStream,
    buffer: &mut Buffer,
    length: usize,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    while buffer.0.len() < length {
        if !fill(stream, buffer)? {
            body.append(&mut buffer.0);
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    body.extend(buffer.0.drain(..length));
    Ok(())
}

fn fill(stream: &mut TcpStream, buffer: &mut Buffer) -> io::Result<bool> {
    let mut piece = [0; 16_384];
    let length = stream.read(&mut piece)?;
    buffer.0.extend_from_slice(&piece[..length]);
    Ok(length > 0)
}

pub fn write(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(text.as_bytes())
}
