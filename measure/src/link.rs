//! A link between failure domains: a TCP relay that delays, loses and cuts.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Result;
use ecow::{EcoString, eco_format};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Bytes read from a socket at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Chunks on their way in one direction of one connection.
const CHUNKS_IN_FLIGHT: usize = 64;

/// What links between failure domains do to what they carry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// The shortest one-way delay, in microseconds.
    pub delay_us: u64,
    /// What the delay may grow by at random, in microseconds.
    pub jitter_us: u64,
    /// Thousandths of chunks that are lost once and sent again.
    pub loss_permille: u32,
    /// How long a lost chunk takes longer, in milliseconds.
    pub resend_ms: u64,
    /// Whether nothing gets through.
    pub cut: bool,
}

impl LinkFaults {
    /// Returns the usual state of a link: 3 to 4 ms one way, one chunk in 500
    /// sent twice.
    pub fn usual() -> Self {
        Self {
            delay_us: 3_000,
            jitter_us: 1_000,
            loss_permille: 2,
            resend_ms: 40,
            cut: false,
        }
    }

    fn random_delay(&self) -> Duration {
        let jitter_us = rand::random_range(0..=self.jitter_us);
        let is_lost = rand::random_range(0..1_000) < self.loss_permille;
        let resend_ms = if is_lost { self.resend_ms } else { 0 };
        Duration::from_micros(self.delay_us + jitter_us) + Duration::from_millis(resend_ms)
    }
}

/// All links of a fleet; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct Links {
    faults: Arc<Mutex<LinkFaults>>,
}

impl Links {
    /// Creates links in the given state.
    pub fn new(faults: LinkFaults) -> Self {
        let links = Self::default();
        links.set_faults(faults);
        links
    }

    /// Sets the state of all links.
    pub fn set_faults(&self, faults: LinkFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Returns the state of all links.
    pub fn faults(&self) -> LinkFaults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Spawns a relay to `target` and returns the address it listens on.
    ///
    /// Fails if no port can be had.
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

/// Carries one connection until either side ends it.
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

/// Carries bytes one way; the end of the reader is passed on after the delay.
async fn relay_one_way<Reader, Writer>(links: &Links, reader: Reader, writer: Writer)
where
    Reader: AsyncRead + Unpin,
    Writer: AsyncWrite + Unpin,
{
    let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
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
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        // A writer that has gone must end the reader too.
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
