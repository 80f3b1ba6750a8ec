//! Authenticates peers with a shared key before the first message.
//!
//! Each side sends a random challenge. It then proves that it has the key by sending an
//! HMAC over its role and both challenges. The key itself is never sent.

use std::fmt;
use std::io::{Error, ErrorKind, Result};
use std::sync::Arc;
use std::time::Duration;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The timeout of the whole exchange, in milliseconds.
const EXCHANGE_TIMEOUT_MS: u64 = 2_000;

/// The length of a challenge and of a proof, in bytes.
const BLOCK_BYTES: usize = 32;

/// A challenge or a proof.
type Block = [u8; BLOCK_BYTES];

/// A key that all entry processes share; its `Debug` output hides the bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey(Arc<Vec<u8>>);

impl PeerKey {
    /// Creates the key from its bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(Arc::new(bytes))
    }

    fn mac(&self, role: &[u8], first: &Block, second: &Block) -> Result<Hmac<Sha256>> {
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(&self.0)
            .map_err(|_| Error::new(ErrorKind::InvalidInput, "unusable key"))?;
        mac.update(role);
        mac.update(first);
        mac.update(second);
        Ok(mac)
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(hidden)")
    }
}

/// A side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Client,
    /// The side that accepted the connection.
    Server,
}

impl Side {
    fn role(self) -> &'static [u8] {
        match self {
            Self::Client => b"turmericfold client",
            Self::Server => b"turmericfold server",
        }
    }

    fn other(self) -> Self {
        match self {
            Self::Client => Self::Server,
            Self::Server => Self::Client,
        }
    }
}

/// Authenticates both sides of a new connection to each other.
///
/// `challenge` must be random and must not be used for any other connection. The
/// client sends its proof first, so the server sends an unauthenticated client only
/// its challenge.
///
/// # Errors
/// Fails if the other side does not have the key, if the exchange takes longer than
/// 2 s, or if the connection fails.
pub async fn authenticate<Stream>(
    stream: &mut Stream,
    side: Side,
    key: &PeerKey,
    challenge: Block,
) -> Result<()>
where
    Stream: AsyncRead + AsyncWrite + Unpin,
{
    let exchange = exchange(stream, side, key, challenge);
    tokio::time::timeout(Duration::from_millis(EXCHANGE_TIMEOUT_MS), exchange)
        .await
        .map_err(|_| Error::new(ErrorKind::TimedOut, "no proof in time"))?
}

async fn exchange<Stream>(
    stream: &mut Stream,
    side: Side,
    key: &PeerKey,
    challenge: Block,
) -> Result<()>
where
    Stream: AsyncRead + AsyncWrite + Unpin,
{
    stream.write_all(&challenge).await?;
    let theirs = read_block(stream).await?;
    if side == Side::Client {
        send_proof(stream, side, key, (&theirs, &challenge)).await?;
    }
    let proof = read_block(stream).await?;
    key.mac(side.other().role(), &challenge, &theirs)?
        .verify_slice(&proof)
        .map_err(|_| {
            Error::new(
                ErrorKind::PermissionDenied,
                "the peer does not hold the key",
            )
        })?;
    if side == Side::Server {
        send_proof(stream, side, key, (&theirs, &challenge)).await?;
    }
    Ok(())
}

/// Sends the proof: an HMAC over the role, the other side's challenge and the own one.
async fn send_proof<Stream>(
    stream: &mut Stream,
    side: Side,
    key: &PeerKey,
    (theirs, own): (&Block, &Block),
) -> Result<()>
where
    Stream: AsyncWrite + Unpin,
{
    let proof = key.mac(side.role(), theirs, own)?.finalize().into_bytes();
    stream.write_all(&proof).await
}

async fn read_block<Stream>(stream: &mut Stream) -> Result<Block>
where
    Stream: AsyncRead + Unpin,
{
    let mut block = Block::default();
    stream.read_exact(&mut block).await?;
    Ok(block)
}
