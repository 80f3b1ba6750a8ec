//! Links between failure domains: TCP relays that delay, lose or block data.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Result;
use ecow::{EcoString, eco_format};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The limit on bytes of one read from a socket.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// The limit on delayed chunks in one direction of a connection.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;

/// The faults of links between failure domains.
///
/// A relay applies them to each chunk of bytes that it reads from a socket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// The minimum one-way delay, in microseconds.
    pub delay_us: u64,
    /// The maximum random addition to the delay, in microseconds.
    pub jitter_us: u64,
    /// The share of chunks that are lost once and sent again, in thousandths.
    pub loss_permille: u32,
    /// The additional delay of a lost chunk, in milliseconds.
    pub resend_ms: u64,
    /// Whether all chunks are held back until the fault ends.
    pub cut: bool,
}

impl LinkFaults {
    /// Returns the usual faults of a link: 3 to 4 ms one way, and one chunk in 500 lost
    /// once.
    pub fn usual() -> Self {
        Self {
            delay_us: 3_000,
            jitter_us: 1_000,
            loss_permille: 2,
            resend_ms: 40,
            cut: false,
        }
    }

    /// Draws the delay of one chunk.
    fn random_delay(&self) -> Duration {
        let jitter_us = rand::random_range(0..=self.jitter_us);
        let is_lost = rand::random_range(0..1_000) < self.loss_permille;
        let resend_ms = if is_lost { self.resend_ms } else { 0 };
        Duration::from_micros(self.delay_us + jitter_us) + Duration::from_millis(resend_ms)
    }
}

/// All links of a fleet; clones share their faults.
#[derive(Debug, Clone, Default)]
pub struct Links {
    faults: Arc<Mutex<LinkFaults>>,
}

impl Links {
    /// Creates links with the given faults.
    pub fn new(faults: LinkFaults) -> Self {
        let links = Self::default();
        links.set_faults(faults);
        links
    }

    /// Sets the faults of all links.
    pub fn set_faults(&self, faults: LinkFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Returns the faults of all links.
    pub fn faults(&self) -> LinkFaults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Spawns a relay to `target` that runs until `stopped` is set; returns the address
    /// that it listens on.
    ///
    /// Fails if no port can be bound.
    pub async fn relay(
        &self,
        target: EcoString,
        servers: &mut JoinSet<()>,
        stopped: watch::Receiver<bool>,
    ) -> Result<EcoString> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = eco_format!("{}", listener.local_addr()?);
        servers.spawn(accept(self.clone(), listener, target, stopped));
        Ok(address)
    }
}

async fn accept(
    links: Links,
    listener: TcpListener,
    target: EcoString,
    mut stopped: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = stopped.wait_for(|stopped| *stopped) => break,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(relay_connection(links.clone(), stream, target.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
    connections.shutdown().await;
}

/// Relays one connection in both directions until both have ended.
async fn relay_connection(links: Links, source: TcpStream, target: EcoString) {
    let Ok(destination) = TcpStream::connect(target.as_str()).await else {
        return;
    };
    let _ = source.set_nodelay(true);
    let _ = destination.set_nodelay(true);
    let (source_read, source_write) = source.into_split();
    let (destination_read, destination_write) = destination.into_split();
    tokio::join!(
        relay_one_way(&links, source_read, destination_write),
        relay_one_way(&links, destination_read, source_write),
    );
}

/// Relays bytes in one direction.
///
/// The end of the stream is passed on after the last chunk, and so after its delay.
async fn relay_one_way<Reader, Writer>(links: &Links, reader: Reader, writer: Writer)
where
    Reader: AsyncRead + Unpin,
    Writer: AsyncWrite + Unpin,
{
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    tokio::join!(
        read_chunks(links, reader, sender),
        write_chunks(links, writer, receiver)
    );
}

type Chunk = (Instant, Vec<u8>);

async fn read_chunks<Reader>(links: &Links, mut reader: Reader, sender: mpsc::Sender<Chunk>)
where
    Reader: AsyncRead + Unpin,
{
    let mut buffer = vec![0; MAX_CHUNK_BYTES];
    loop {
        // When the writer has failed, the reader must end too.
        let read = tokio::select! {
            read = reader.read(&mut buffer) => read,
            () = sender.closed() => return,
        };
        let Ok(count @ 1..) = read else { return };
        let deliver_at = Instant::now() + links.faults().random_delay();
        if sender
            .send((deliver_at, buffer[..count].to_vec()))
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn write_chunks<Writer>(
    links: &Links,
    mut writer: Writer,
    mut receiver: mpsc::Receiver<Chunk>,
) where
    Writer: AsyncWrite + Unpin,
{
    while let Some((deliver_at, chunk)) = receiver.recv().await {
        tokio::time::sleep_until(deliver_at).await;
        while links.faults().cut {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if writer.write_all(&chunk).await.is_err() {
            return;
        }
    }
    let _ = writer.shutdown().await;
}
