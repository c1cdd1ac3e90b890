//! Minimal HTTP/1.1 request reader on a byte stream, which lets the server fail at any byte.

use std::io;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

use super::REQUEST_ID_HEADER;

const HEADERS_MAX: usize = 100;
const READ_BYTES: usize = 16 << 10;

/// A received request.
#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub request_id: String,
    pub body: Vec<u8>,
    /// Names of the headers, in lower case.
    pub header_names: Vec<String>,
    length: Length,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Length {
    #[default]
    None,
    Bytes(usize),
    Chunked,
}

/// Reads requests from a byte stream.
pub struct RequestReader<R> {
    stream: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> RequestReader<R> {
    pub fn new(stream: R) -> Self {
        Self { stream, buffer: BytesMut::new() }
    }

    /// Waits for the first bytes of a request. Returns false at the end of the stream.
    pub async fn wait_for_data(&mut self) -> io::Result<bool> {
        Ok(!self.buffer.is_empty() || self.fill_buffer().await?)
    }

    async fn fill_buffer(&mut self) -> io::Result<bool> {
        self.buffer.reserve(READ_BYTES);
        Ok(self.stream.read_buf(&mut self.buffer).await? > 0)
    }

    /// Reads one whole request.
    pub async fn read_request(&mut self) -> io::Result<Request> {
        let mut request = loop {
            if let Some((request, length)) = parse_head(&self.buffer)? {
                self.buffer.advance(length);
                break request;
            }
            self.require_more_data().await?;
        };
        match request.length {
            Length::None => {}
            Length::Bytes(length) => request.body = self.read_bytes(length).await?,
            Length::Chunked => request.body = self.read_chunked_body().await?,
        }
        Ok(request)
    }

    async fn require_more_data(&mut self) -> io::Result<()> {
        if self.fill_buffer().await? { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
    }

    async fn read_bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.require_more_data().await?;
        }
        Ok(self.buffer.split_to(length).to_vec())
    }

    async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.buffer.split_to(end);
                self.buffer.advance(2);
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            self.require_more_data().await?;
        }
    }

    async fn read_chunked_body(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line().await?;
            let length = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if length == 0 {
                while !self.read_line().await?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_bytes(length).await?);
            self.read_line().await?;
        }
    }
}

fn parse_head(buffer: &[u8]) -> io::Result<Option<(Request, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Request::new(&mut headers);
    let parsed = head.parse(buffer).map_err(io::Error::other)?;
    let httparse::Status::Complete(length) = parsed else {
        return Ok(None);
    };
    let mut request = Request {
        method: head.method.unwrap_or_default().to_owned(),
        path: head.path.unwrap_or_default().to_owned(),
        ..Request::default()
    };
    for header in head.headers.iter() {
        let value = String::from_utf8_lossy(header.value);
        let name = header.name.to_ascii_lowercase();
        match name.as_str() {
            REQUEST_ID_HEADER => request.request_id = value.into_owned(),
            "content-length" => {
                let length = value.trim().parse().map_err(io::Error::other)?;
                request.length = Length::Bytes(length);
            }
            "transfer-encoding" => request.length = Length::Chunked,
            _ => {}
        }
        request.header_names.push(name);
    }
    Ok(Some((request, length)))
}
