//! Request bodies that are read as a whole, within the limit of all bodies together.

use std::ops::Deref;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;

use crate::connections::{BodyUnit, Connection, UNIT_BYTES};

/// A complete body. What it holds counts against the limit until it is dropped.
#[derive(Debug, Default)]
pub struct HeldBody {
    data: Vec<u8>,
    units: Vec<BodyUnit>,
}

impl Deref for HeldBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.data
    }
}

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ReadBodyError {
    /// It is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// It ended early or is malformed.
    #[error("the body is broken")]
    Broken,
    /// All bodies together hold as much as they may.
    #[error("too many bytes of other bodies are held")]
    NoRoom,
}

/// Reads a body of at most `bytes_max` bytes.
///
/// The data is copied out of the connection's buffer, so that a body in many small chunks holds no
/// more memory than its length.
pub async fn read_body<B>(
    mut body: B,
    bytes_max: usize,
    connection: &Connection,
) -> Result<HeldBody, ReadBodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut held = HeldBody::default();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| ReadBodyError::Broken)?.into_data() else { continue };
        if held.data.len() + data.len() > bytes_max {
            return Err(ReadBodyError::TooLarge);
        }
        held.append(&data, connection).await?;
    }
    Ok(held)
}

/// What is reserved for a body that was handled, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    _units: Vec<BodyUnit>,
}

impl HeldBody {
    /// Drops the body, and reserves this many times its size for what was made of it, but no more than
    /// half of what all bodies may hold, so that the largest body is served in calm.
    pub async fn into_copies(
        mut self,
        copies: usize,
        connection: &Connection,
    ) -> Result<Reservation, ReadBodyError> {
        let bytes = self.data.len().saturating_mul(copies).min(connection.bodies_bytes_max() / 2);
        self.data = Vec::new();
        self.reserve(bytes, connection).await?;
        Ok(Reservation { _units: self.units })
    }

    async fn reserve(
        &mut self,
        bytes: usize,
        connection: &Connection,
    ) -> Result<(), ReadBodyError> {
        while self.units.len() * UNIT_BYTES < bytes {
            self.units.push(connection.reserve_unit().await.ok_or(ReadBodyError::NoRoom)?);
        }
        Ok(())
    }

    async fn append(&mut self, data: &[u8], connection: &Connection) -> Result<(), ReadBodyError> {
        self.reserve(self.data.len() + data.len(), connection).await?;
        let reserved = self.units.len() * UNIT_BYTES;
        self.data.reserve_exact(reserved - self.data.len());
        self.data.extend_from_slice(data);
        Ok(())
    }
}
