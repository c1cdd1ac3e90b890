//! A small HTTP/1.1 server with one thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// A request, with its path decoded.
#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn parameter(&self, name: &str) -> &str {
        find(&self.query, name)
    }
}

fn find<'a>(pairs: &'a [(String, String)], name: &str) -> &'a str {
    let pair = pairs.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    pair.map_or("", |(_, value)| value)
}

/// A response with a JSON body.
pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Response {
    pub fn new(status: u16, body: impl Into<String>) -> Self {
        Self { status, body: body.into() }
    }
}

/// Serves requests on a listener until the process ends. Connections beyond `connections_max` are
/// closed.
pub fn serve(
    listener: TcpListener,
    connections_max: usize,
    handle: impl Fn(&Request) -> Response + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    let open = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if open.fetch_add(1, Ordering::SeqCst) >= connections_max {
                open.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            let (handle, open) = (handle.clone(), open.clone());
            thread::spawn(move || {
                serve_connection(stream, &*handle);
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(&Request) -> Response) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        let response = handle(&request);
        let head = format!(
            "HTTP/1.1 {} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        writer.write_all((head + &response.body).as_bytes()).ok()?;
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().into(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().into(), value.trim().into()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<String> {
    let length = find(headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_string(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (decode(name), decode(value))).collect();
    let body = read_body(reader, &headers)?;
    Some(Request { method, path: decode(path), query, headers, body })
}

/// Decodes a part of a URL.
fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'+' => out.push(b' '),
            b'%' => {
                let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            byte => out.push(byte),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a connection of its own. `None` if there is no whole response in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some(Response { status, body: read_body(&mut reader, &headers)? })
}
