//! A crowd of connections, and what a process that serves it holds.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

/// Time for which a crowd's write may block before its connection sends nothing more.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which a connection must be opened. No bound of the speed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);
const PROCESS_DIR: &str = "/proc";

/// Peak resident memory of a process, in MiB.
pub fn peak_mb(process: u32) -> u64 {
    let path = format!("{PROCESS_DIR}/{process}/status");
    let text = std::fs::read_to_string(path).expect("the process lives");
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("field");
    let peak_kb: u64 = line.trim_matches(|c: char| !c.is_ascii_digit()).parse().expect("number");
    peak_kb / 1_024
}

/// Number of open descriptors of a process, once it has stopped changing.
pub fn open_descriptors(process: u32) -> usize {
    let path = format!("{PROCESS_DIR}/{process}/fd");
    let count = || std::fs::read_dir(&path).expect("the process lives").count();
    let mut last = count();
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(300));
        let now = count();
        if now == last {
            break;
        }
        last = now;
    }
    last
}

/// A connection from one of many addresses.
fn connect(to: SocketAddr, number: usize) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    let last = u8::try_from(number % 200).unwrap_or_default() + 1;
    socket.bind(&SocketAddr::from((Ipv4Addr::new(127, 78, 9, last), 0)).into()).ok()?;
    socket.connect_timeout(&to.into(), CONNECT_TIMEOUT).ok()?;
    let stream = TcpStream::from(socket);
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    Some(stream)
}

/// Connects the crowd, and writes the parts in turn: a part to each connection, then the next one.
/// Connections that are closed or take nothing more get nothing more.
pub fn crowd(to: SocketAddr, connections: usize, parts: &[Vec<u8>]) -> Vec<TcpStream> {
    const WRITERS: usize = 10;
    let write = |first: usize| {
        let numbers = (first..connections).step_by(WRITERS);
        let mut streams: Vec<(TcpStream, bool)> =
            numbers.filter_map(|number| Some((connect(to, number)?, true))).collect();
        for part in parts {
            for (stream, takes_more) in streams.iter_mut().filter(|(_, takes_more)| *takes_more) {
                *takes_more = stream.write_all(part).is_ok();
            }
        }
        streams.into_iter().map(|(stream, _)| stream).collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let writers: Vec<_> = (0..WRITERS).map(|first| scope.spawn(move || write(first))).collect();
        writers.into_iter().flat_map(|writer| writer.join().expect("writer")).collect()
    })
}
