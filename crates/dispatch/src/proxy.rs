//! One attempt at a backend server over a connection of its own.

use std::net::SocketAddr;

use axum::body::Body;
use axum::response::Response;
use cassiafold_event::emit;
use http::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::code::DispatchCode;
use crate::event::DispatchEvent;
use crate::problem::Problem;

/// Sends `request` to the backend server at `address` and returns its answer.
pub async fn send(address: SocketAddr, request: Request<Body>) -> Result<Response, Problem> {
    let stream = TcpStream::connect(address).await.map_err(|error| {
        emit!(DispatchEvent::AttemptFailed, address = address, error = error);
        Problem::not_run(DispatchCode::ConnectFailed)
    })?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) =
        handshake.map_err(|_| Problem::not_run(DispatchCode::ConnectFailed))?;
    tokio::spawn(connection);
    let answer = sender.send_request(request).await.map_err(|error| {
        emit!(DispatchEvent::AttemptFailed, address = address, error = error);
        Problem::outcome_unknown(DispatchCode::AnswerLost)
    })?;
    Ok(answer.map(Body::new))
}
