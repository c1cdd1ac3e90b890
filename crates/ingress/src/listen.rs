//! Listening sockets whose connections hold a bounded number of bytes that nobody has read.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

use crate::limits::RECEIVE_BUFFER_BYTES;

/// Connections that wait to be accepted. A crowd may fill it within the time in which other callers
/// are handled.
const BACKLOG: u32 = 1_024;

/// Listens on an address, like [`TcpListener::bind`].
///
/// By default the kernel lets the unread bytes of each connection grow to megabytes, for example
/// while its request waits for a slow store. Accepted connections inherit the buffer's size.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
