//! A small HTTP/1.1 server and client, and links that can be cut.

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two looks at a socket or a flag.
pub const TICK: Duration = Duration::from_millis(1);

/// Time after which TCP first sends bytes again that were not acknowledged.
const RETRANSMISSION_MIN: Duration = Duration::from_millis(200);

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// A parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }
}

fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| value.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (hex, bytes[at]) {
            (Some(byte), _) => {
                out.push(byte);
                at += 2;
            }
            (None, b'+') => out.push(b' '),
            (None, byte) => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A response: status and body.
pub type Response = (u16, String);

/// What happens to a request on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Passage {
    /// It arrives, and the response too.
    Open,
    /// It is held up until the link is open, unless its sender resets the connection meanwhile.
    Held,
}

/// Decides for each request whether it is held up now.
pub type Link = Arc<dyn Fn(&Request) -> Passage + Send + Sync>;
/// Answers a request; `None` closes the connection without a response.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Response> + Send + Sync>;

/// A server, which can crash: then its port is closed and all connections break.
pub struct Server {
    pub address: SocketAddr,
    is_up: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves at `address`; a port of 0 takes a free one.
    pub fn start(address: SocketAddr, link: Link, handler: Handler) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let is_up = Arc::new(AtomicBool::new(true));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (up, all) = (is_up.clone(), streams.clone());
        thread::spawn(move || {
            while up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(TICK);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(clone) = stream.try_clone() {
                    all.lock().unwrap().push(clone);
                }
                let (link, handler, up) = (link.clone(), handler.clone(), up.clone());
                thread::spawn(move || serve(stream, &link, &handler, &up));
            }
        });
        Ok(Server { address, is_up, streams })
    }

    /// Ends the server as a crash of its process does.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The listener's thread drops it.
        thread::sleep(TICK * 5);
    }
}

fn serve(mut stream: TcpStream, link: &Link, handler: &Handler, up: &AtomicBool) {
    let mut received = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut received) {
        if hold_up(&stream, || link(&request) == Passage::Held).is_err() {
            return;
        }
        if !up.load(Ordering::SeqCst) {
            return;
        }
        let Some((status, body)) = handler(&request) else { break };
        // A response is held up as well.
        while link(&request) == Passage::Held {
            thread::sleep(TICK);
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if !up.load(Ordering::SeqCst) || stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// The sender has reset the connection.
struct WasReset;

/// Waits while a link is cut, and until the sender's host sends the bytes again after that: TCP
/// doubles the time between two attempts.
fn hold_up(stream: &TcpStream, is_held: impl Fn() -> bool) -> Result<(), WasReset> {
    let since = Instant::now();
    let mut next_attempt = since;
    let mut interval = RETRANSMISSION_MIN;
    while is_held() || Instant::now() < next_attempt {
        if was_reset(stream) {
            return Err(WasReset);
        }
        if Instant::now() >= next_attempt {
            next_attempt += interval;
            interval *= 2;
        }
        thread::sleep(TICK);
    }
    Ok(())
}

/// Whether the peer has reset the connection. One whose process was killed has only closed it, and
/// what it had written arrives.
fn was_reset(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let result = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    matches!(result, Err(error) if error.kind() != ErrorKind::WouldBlock)
}

fn read_request(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<Request> {
    loop {
        if let Some(request) = take_request(received) {
            return Some(request);
        }
        let mut bytes = [0; 16 * 1024];
        match stream.read(&mut bytes) {
            Ok(count) if count > 0 => received.extend_from_slice(&bytes[..count]),
            _ => return None,
        }
    }
}

fn take_request(received: &mut Vec<u8>) -> Option<Request> {
    let head_end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, target) = (first.next()?.to_string(), first.next()?.to_string());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
        .collect();
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let end = head_end + 4 + length;
    if received.len() < end {
        return None;
    }
    let body = String::from_utf8_lossy(&received[head_end + 4..end]).into_owned();
    received.drain(..end);
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Some(Request { method, path: path.to_string(), query: query.to_string(), headers, body })
}

/// Sends one request; `None` if there is no complete response within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let mut request = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        request += &format!("{name}: {value}\r\n");
    }
    stream.write_all((request + "Connection: close\r\n\r\n" + body).as_bytes()).ok()?;
    let mut received = Vec::new();
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        stream.set_read_timeout(Some(left)).ok()?;
        let mut bytes = [0; 16 * 1024];
        match stream.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => received.extend_from_slice(&bytes[..count]),
            Err(_) => return None,
        }
    }
    let response = String::from_utf8_lossy(&received).into_owned();
    let (head, body) = response.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_string()))
}

/// A free port of an address.
pub fn free_port(ip: IpAddr) -> std::io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}
