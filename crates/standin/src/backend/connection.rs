//! One connection of a stand-in backend server.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

use super::fault::Fault;
use super::http::{Reader, Request};
use super::{REQUEST_ID_HEADER, Shared, Upset};

/// What becomes of a connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Keep,
    Close,
    Reset,
    Silent,
}

/// Serves requests until the connection ends.
pub async fn serve(mut stream: TcpStream, shared: &Shared) {
    let mut upset = shared.upset.clone();
    upset.mark_unchanged();
    let _ = stream.set_nodelay(true);
    if shared.options.faults.on_accept() {
        reset(&stream);
        return;
    }
    let next = tokio::select! {
        next = serve_requests(&mut stream, shared) => next.unwrap_or(Next::Close),
        Ok(()) = upset.changed() => match *upset.borrow() {
            Upset::Silence => Next::Silent,
            Upset::Reset => Next::Reset,
        },
    };
    match next {
        Next::Reset => reset(&stream),
        Next::Silent => std::future::pending().await,
        Next::Keep | Next::Close => {}
    }
}

/// Makes the end of the connection a reset.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn serve_requests(stream: &mut TcpStream, shared: &Shared) -> io::Result<Next> {
    let (read, mut write) = stream.split();
    let mut reader = Reader::new(read);
    while reader.wait().await? {
        let fault = shared.options.faults.on_request();
        if fault == Some(Fault::ResetDuringWrite) {
            return Ok(Next::Reset);
        }
        let request = reader.request().await?;
        let next = answer(&mut write, shared, &request, fault).await?;
        if next != Next::Keep {
            return Ok(next);
        }
    }
    Ok(Next::Close)
}

async fn answer(
    write: &mut (impl AsyncWrite + Unpin),
    shared: &Shared,
    request: &Request,
    fault: Option<Fault>,
) -> io::Result<Next> {
    if fault == Some(Fault::Silence) {
        return Ok(Next::Silent);
    }
    if fault == Some(Fault::RefuseNotRun) || !shared.load.start_run(shared.options.slots) {
        let head = head(503, &request.request_id, "content-length: 0\r\nx-run-state: not run\r\n");
        write.write_all(head.as_bytes()).await?;
        return Ok(Next::Keep);
    }
    shared.counts.note(&request.request_id);
    let run_time = match fault {
        Some(Fault::Slow(run_time)) => run_time,
        _ => shared.options.run_time,
    };
    tokio::time::sleep(run_time).await;
    shared.load.running.fetch_sub(1, Ordering::SeqCst);
    write_answer(write, shared, request, fault).await
}

async fn write_answer(
    write: &mut (impl AsyncWrite + Unpin),
    shared: &Shared,
    request: &Request,
    fault: Option<Fault>,
) -> io::Result<Next> {
    let id = request.request_id.as_str();
    let body = content(shared, request);
    let length = format!("content-length: {}\r\n", body.len());
    let half = &body[..body.len() / 2];
    let (head, body, next) = match fault {
        Some(Fault::ResetAfterRun) => return Ok(Next::Reset),
        Some(Fault::SilenceAfterRun) => return Ok(Next::Silent),
        Some(Fault::CutHead) => ("HTTP/1.1 200 OK\r\nconte".to_owned(), &body[..0], Next::Close),
        Some(Fault::CutBody) => (head(200, id, &length), half, Next::Close),
        Some(Fault::CutChunked) => {
            let head = head(200, id, "transfer-encoding: chunked\r\n");
            (format!("{head}{:x}\r\n", body.len()), half, Next::Close)
        }
        Some(Fault::CrossedId) => (head(200, "of-another", &length), &body[..], Next::Keep),
        Some(Fault::Unframed) => (head(200, id, ""), &body[..], Next::Close),
        Some(Fault::ServerError) => (head(500, id, &length), &body[..], Next::Keep),
        _ if request.path == "/trailers" => return write_trailers(write, id, &body).await,
        _ => (head(200, id, &length), &body[..], Next::Keep),
    };
    write.write_all(head.as_bytes()).await?;
    if request.method != "HEAD" {
        write.write_all(body).await?;
    }
    Ok(next)
}

async fn write_trailers(
    write: &mut (impl AsyncWrite + Unpin),
    id: &str,
    body: &[u8],
) -> io::Result<Next> {
    let head = head(200, id, "transfer-encoding: chunked\r\ntrailer: x-checksum\r\n");
    write.write_all(head.as_bytes()).await?;
    write.write_all(format!("{:x}\r\n", body.len()).as_bytes()).await?;
    write.write_all(body).await?;
    write.write_all(b"\r\n0\r\nx-checksum: 7\r\n\r\n").await?;
    Ok(Next::Keep)
}

/// Content of the answer: what came for `/echo`, names of the headers for `/headers`, so many
/// bytes for `/bytes/{count}`, and who served for all else.
fn content(shared: &Shared, request: &Request) -> Vec<u8> {
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
