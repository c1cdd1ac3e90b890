//! HTTP/1.1 over blocking sockets: a server with one thread for each connection, and a client.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
    connection: Option<TcpStream>,
}

impl Request {
    /// Whether its sender has closed or reset the connection.
    pub fn is_abandoned(&self) -> bool {
        let Some(stream) = &self.connection else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
        let peeked = stream.peek(&mut [0]);
        let _ = stream.set_read_timeout(None);
        match peeked {
            Ok(bytes) => bytes == 0,
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }

    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn param(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }
}

pub struct Response {
    pub status: u16,
    pub body: String,
}

pub fn respond(status: u16, body: impl Into<String>) -> Option<Response> {
    Some(Response { status, body: body.into() })
}

/// Serves connections until the process ends. A handler that returns `None` gives no answer, now
/// or later, on that connection.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Request) -> Option<Response> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(&Request) -> Option<Response>) {
    let _ = stream.set_nodelay(true);
    let mut received: Vec<u8> = Vec::new();
    loop {
        let Some((head, body)) = read_message(&mut stream, &mut received, None) else { return };
        let Some(mut request) = parse_request(&head, body) else { return };
        request.connection = stream.try_clone().ok();
        let Some(response) = handler(&request) else {
            // The connection stays open and silent.
            let mut rest = [0; 1024];
            while matches!(stream.read(&mut rest), Ok(count) if count > 0) {}
            return;
        };
        let message = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            response.status,
            response.body.len(),
            response.body
        );
        if stream.write_all(message.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads a head and its body; `None` at the end of the connection or after the deadline.
fn read_message(
    stream: &mut TcpStream,
    received: &mut Vec<u8>,
    deadline: Option<Instant>,
) -> Option<(String, String)> {
    loop {
        if let Some(end) = find(received, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received[..end]).into_owned();
            let length = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse::<usize>().ok())
                .unwrap_or(0);
            let total = end + 4 + length;
            if received.len() >= total {
                let body = String::from_utf8_lossy(&received[end + 4..total]).into_owned();
                received.drain(..total);
                return Some((head, body));
            }
        }
        if let Some(deadline) = deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
                return None;
            }
        }
        let mut part = [0; 16 * 1024];
        match stream.read(&mut part) {
            Ok(count) if count > 0 => received.extend_from_slice(&part[..count]),
            _ => return None,
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

fn parse_request(head: &str, body: String) -> Option<Request> {
    let mut lines = head.lines();
    let mut first = lines.next()?.split(' ');
    let (method, target) = (first.next()?.to_string(), first.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (unescape(name), unescape(value))).collect();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_string(), value.trim().to_string()));
    Some(Request { method, path: path.to_string(), query, headers: headers.collect(), body, connection: None })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'+' => out.push(b' '),
            b'%' => {
                let digits = text.get(at + 1..at + 3).unwrap_or("20");
                out.push(u8::from_str_radix(digits, 16).unwrap_or(b' '));
                at += 2;
            }
            other => out.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A caller with one connection, which it keeps open between calls.
pub struct Caller {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

pub struct Call<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub body: &'a str,
    pub timeout: Duration,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, stream: None }
    }

    /// Returns the status and the body; `None` without a whole answer in time.
    pub fn call(&mut self, call: &Call) -> Option<(u16, String)> {
        let deadline = Instant::now() + call.timeout;
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&self.address, call.timeout).ok()?,
        };
        let _ = stream.set_nodelay(true);
        let key = match call.key {
            "" => String::new(),
            key => format!("Api-Key: {key}\r\n"),
        };
        let message = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\n{key}X-Deadline-Ms: {}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            call.method,
            call.path,
            call.host,
            call.timeout.as_millis(),
            call.body.len(),
            call.body
        );
        stream.write_all(message.as_bytes()).ok()?;
        let (head, body) = read_message(&mut stream, &mut Vec::new(), Some(deadline))?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        self.stream = Some(stream);
        Some((status, body))
    }
}
