//! Reads request bodies with limits of size and time.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use turmericfold_types::{Reason, RequestError};

/// Timeout of reading a body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Reads a whole body of at most `limit_bytes`.
///
/// Fails with the verdict *not run* if the body is too large, too slow or cut off.
pub(crate) async fn read<Chunks, Chunk, StreamError>(
    chunks: Chunks,
    limit_bytes: u64,
) -> Result<Bytes, RequestError>
where
    Chunks: Stream<Item = Result<Chunk, StreamError>>,
    Chunk: Buf,
{
    let limit = Duration::from_millis(BODY_TIMEOUT_MS);
    match tokio::time::timeout(limit, collect(chunks, limit_bytes)).await {
        Ok(result) => result,
        Err(_) => Err(RequestError::not_run(
            Reason::RequestTimeout,
            ecow::eco_format!("the body did not arrive within {BODY_TIMEOUT_MS} ms"),
        )),
    }
}

async fn collect<Chunks, Chunk, StreamError>(
    chunks: Chunks,
    limit_bytes: u64,
) -> Result<Bytes, RequestError>
where
    Chunks: Stream<Item = Result<Chunk, StreamError>>,
    Chunk: Buf,
{
    let mut chunks = std::pin::pin!(chunks);
    let mut body = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        let Ok(mut chunk) = chunk else {
            let message = "the body was cut off";
            return Err(RequestError::not_run(Reason::BadRequest, message));
        };
        if (body.len() + chunk.remaining()) as u64 > limit_bytes {
            return Err(RequestError::not_run(
                Reason::RequestTooLarge,
                ecow::eco_format!("the body is larger than {limit_bytes} bytes"),
            ));
        }
        body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok(body.freeze())
}
