//! A small HTTP/1.1 server and client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(k, _)| k.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }
    pub fn param(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(k, _)| k == name);
        found.map(|(_, v)| v.as_str())
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        match bytes[i] {
            b'%' if i + 2 < bytes.len() => {
                out.push(u8::from_str_radix(&text[i + 1..i + 3], 16).unwrap_or(b'?'));
                i += 2;
            }
            b'+' => out.push(b' '),
            c => out.push(c),
        }
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<String> {
    let length = headers
        .iter()
        .find(|(k, _)| k.eq_ignore_ascii_case("content-length"));
    let length: usize = length.map_or(0, |(_, v)| v.parse().unwrap_or(0));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(k, v)| (unescape(k), unescape(v))).collect();
    let path = path.to_owned();
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path,
        query,
        headers,
        body,
    })
}

pub fn write_response(stream: &mut TcpStream, status: u16, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// Serves requests, each connection on a thread. A handler that returns `None` closes the
/// connection without an answer.
pub fn serve<Handler>(listener: TcpListener, handler: Handler)
where
    Handler: Fn(&Request) -> Option<(u16, String)> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = BufReader::new(copy);
                while let Some(request) = read_request(&mut reader) {
                    let Some((status, body)) = handler(&request) else {
                        return;
                    };
                    if !write_response(&mut stream, status, &body) {
                        return;
                    }
                }
            });
        }
    });
}

/// Makes a call on a connection of its own.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout_ms: u64,
) -> Option<(u16, String)> {
    let timeout = Duration::from_millis(timeout_ms);
    let mut stream = TcpStream::connect_timeout(&address.parse().ok()?, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    text += body;
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, body))
}
