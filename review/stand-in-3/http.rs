//! HTTP/1.1 over std sockets: a server with a thread for each connection, and a client call.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub method: String,
    /// The path with its query.
    pub target: String,
    /// The names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a decoded parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name)?;
        Some(decode(found.1))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'+' => decoded.push(b' '),
            b'%' if at + 2 < bytes.len() => {
                let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("3f");
                decoded.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
                at += 2;
            }
            byte => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A status with a JSON body, or `None` to close the connection without an answer.
pub type Reply = Option<(u16, String)>;

/// Serves a handler on a free loopback port and returns the address.
pub fn serve<Handler>(handler: Handler) -> SocketAddr
where
    Handler: Fn(&Request) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    let address = listener.local_addr().expect("a local address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(&Request) -> Reply) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(&request) else {
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let length = content_length(&headers);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8(body).ok()?;
    Some(Request {
        method,
        target,
        headers,
        body,
    })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn content_length(headers: &[(String, String)]) -> usize {
    let found = headers.iter().find(|(name, _)| name == "content-length");
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// Makes one call on a new connection; `None` if no whole answer arrives in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8(body).ok()?))
}
