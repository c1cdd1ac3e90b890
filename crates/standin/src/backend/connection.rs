//! One connection of a stand-in backend server.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

use super::fault::Fault;
use super::http::{Request, RequestReader};
use super::{Interruption, REQUEST_ID_HEADER, Shared};

/// What is done with a connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionAction {
    KeepOpen,
    Close,
    Reset,
    Hang,
}

/// Serves requests until the connection ends.
pub async fn serve(mut stream: TcpStream, shared: &Shared) {
    let mut interruption = shared.interruption.clone();
    interruption.mark_unchanged();
    let _ = stream.set_nodelay(true);
    if shared.options.faults.on_accept() {
        reset(&stream);
        return;
    }
    let action = tokio::select! {
        action = serve_requests(&mut stream, shared) => action.unwrap_or(ConnectionAction::Close),
        Ok(()) = interruption.changed() => match *interruption.borrow() {
            Interruption::Silence => ConnectionAction::Hang,
            Interruption::Reset => ConnectionAction::Reset,
        },
    };
    match action {
        ConnectionAction::Reset => reset(&stream),
        ConnectionAction::Hang => std::future::pending().await,
        ConnectionAction::KeepOpen | ConnectionAction::Close => {}
    }
}

/// Sets the connection to be reset when it is closed.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn serve_requests(stream: &mut TcpStream, shared: &Shared) -> io::Result<ConnectionAction> {
    let (read, mut write) = stream.split();
    let mut reader = RequestReader::new(read);
    while reader.wait_for_data().await? {
        let fault = shared.options.faults.on_request();
        if fault == Some(Fault::ResetDuringWrite) {
            return Ok(ConnectionAction::Reset);
        }
        let request = reader.read_request().await?;
        let action = handle_request(&mut write, shared, &request, fault).await?;
        if action != ConnectionAction::KeepOpen {
            return Ok(action);
        }
    }
    Ok(ConnectionAction::Close)
}

async fn handle_request(
    write: &mut (impl AsyncWrite + Unpin),
    shared: &Shared,
    request: &Request,
    fault: Option<Fault>,
) -> io::Result<ConnectionAction> {
    if fault == Some(Fault::Silence) {
        return Ok(ConnectionAction::Hang);
    }
    if fault == Some(Fault::RefuseNotRun) || !shared.load.start_run(shared.options.slots) {
        let head = head(503, &request.request_id, "content-length: 0\r\nx-run-state: not run\r\n");
        write.write_all(head.as_bytes()).await?;
        return Ok(ConnectionAction::KeepOpen);
    }
    shared.counts.record_run(&request.request_id);
    let run_time = match fault {
        Some(Fault::Slow(run_time)) => run_time,
        _ => shared.options.run_time,
    };
    tokio::time::sleep(run_time).await;
    shared.load.running.fetch_sub(1, Ordering::SeqCst);
    write_response(write, shared, request, fault).await
}

async fn write_response(
    write: &mut (impl AsyncWrite + Unpin),
    shared: &Shared,
    request: &Request,
    fault: Option<Fault>,
) -> io::Result<ConnectionAction> {
    let id = request.request_id.as_str();
    let body = response_body(shared, request);
    let length = format!("content-length: {}\r\n", body.len());
    let half = &body[..body.len() / 2];
    let (head, body, action) = match fault {
        Some(Fault::ResetAfterRun) => return Ok(ConnectionAction::Reset),
        Some(Fault::SilenceAfterRun) => return Ok(ConnectionAction::Hang),
        Some(Fault::CutHead) => {
            ("HTTP/1.1 200 OK\r\nconte".to_owned(), &body[..0], ConnectionAction::Close)
        }
        Some(Fault::CutBody) => (head(200, id, &length), half, ConnectionAction::Close),
        Some(Fault::CutChunked) => {
            let head = head(200, id, "transfer-encoding: chunked\r\n");
            (format!("{head}{:x}\r\n", body.len()), half, ConnectionAction::Close)
        }
        Some(Fault::WrongRequestId) => {
            (head(200, "of-another", &length), &body[..], ConnectionAction::KeepOpen)
        }
        Some(Fault::Unframed) => (head(200, id, ""), &body[..], ConnectionAction::Close),
        Some(Fault::ServerError) => (head(500, id, &length), &body[..], ConnectionAction::KeepOpen),
        _ if request.path == "/trailers" => return write_trailers(write, id, &body).await,
        _ => (head(200, id, &length), &body[..], ConnectionAction::KeepOpen),
    };
    write.write_all(head.as_bytes()).await?;
    if request.method != "HEAD" {
        write.write_all(body).await?;
    }
    Ok(action)
}

async fn write_trailers(
    write: &mut (impl AsyncWrite + Unpin),
    id: &str,
    body: &[u8],
) -> io::Result<ConnectionAction> {
    let head = head(200, id, "transfer-encoding: chunked\r\ntrailer: x-checksum\r\n");
    write.write_all(head.as_bytes()).await?;
    write.write_all(format!("{:x}\r\n", body.len()).as_bytes()).await?;
    write.write_all(body).await?;
    write.write_all(b"\r\n0\r\nx-checksum: 7\r\n\r\n").await?;
    Ok(ConnectionAction::KeepOpen)
}

/// Returns the response body: the request body for `/echo`, the header names for `/headers`,
/// `count` bytes for `/bytes/{count}`, and the id of the backend server for any other path.
fn response_body(shared: &Shared, request: &Request) -> Vec<u8> {
    if request.path == "/echo" {
        return request.body.clone();
    }
    if request.path == "/headers" {
        return request.header_names.join("\n").into_bytes();
    }
    if let Some(count) = request.path.strip_prefix("/bytes/") {
        return vec![b'x'; count.parse().unwrap_or(0)];
    }
    format!("served by {}\n", shared.id).into_bytes()
}

fn head(status: u16, request_id: &str, headers: &str) -> String {
    let reason = match status {
        200 => "OK",
        500 => "Internal Server Error",
        _ => "Service Unavailable",
    };
    let id = match request_id {
        "" => String::new(),
        id => format!("{REQUEST_ID_HEADER}: {id}\r\n"),
    };
    format!("HTTP/1.1 {status} {reason}\r\n{id}{headers}\r\n")
}
