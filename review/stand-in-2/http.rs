//! A small HTTP/1.1 server and client.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request that was read in full.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// What a server does with a request.
pub enum Reply {
    /// It answers with a status and a body.
    Answer(u16, String),
    /// It never answers on this connection.
    Silent,
}

pub fn ok(body: impl Into<String>) -> Reply {
    Reply::Answer(200, body.into())
}

/// Serves a listener with one thread for each connection.
pub fn serve<Handler>(listener: TcpListener, handler: Handler)
where
    Handler: Fn(Request) -> Reply + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Reply) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if writer
                    .write_all(format!("{head}{body}").as_bytes())
                    .is_err()
                {
                    return;
                }
            }
            Reply::Silent => {
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                return;
            }
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut parts = line.split_whitespace();
    let (method, target) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    let headers = read_headers(reader)?;
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), decode_percent(value)));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes
            .get(at + 1..at + 3)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        match (
            bytes[at],
            code.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes one call on a connection of its own; `None` if there is no complete answer in time.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout_ms: u64,
) -> Option<(u16, String)> {
    let timeout = Duration::from_millis(timeout_ms);
    let target = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&target, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\ndeadline-ms: {timeout_ms}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
