//! Framing of the bytes that a tunnel carries from a backend server to the router with the caller.
//!
//! A response without a length ends with its connection. So the server's bytes are sent in frames, and
//! an empty frame marks the regular end of the server's side. A tunnel that ends without one has
//! broken.

use std::io;

use bytes::BytesMut;
use futures::stream::try_unfold;
use futures::SinkExt;
use futures::StreamExt;
use tokio::io::join;
use tokio::io::split;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::io::StreamReader;

/// Most bytes in a frame.
const MAX_FRAME_BYTES: usize = 16 << 10;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Sends the bytes of a backend server in frames until it ends its side.
pub async fn send_frames<R, W>(mut server: R, router: W) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut frames = FramedWrite::new(router, codec());
    loop {
        let mut buf = BytesMut::with_capacity(MAX_FRAME_BYTES);
        let len = (&mut server)
            .take(MAX_FRAME_BYTES as u64)
            .read_buf(&mut buf)
            .await?;
        frames.send(buf.freeze()).await?;
        if len == 0 {
            return frames.into_inner().shutdown().await;
        }
    }
}

/// Returns the stream to a backend server behind a tunnel. Reading it fails if the tunnel breaks.
pub fn unframed<T>(tunnel: T) -> impl AsyncRead + AsyncWrite + Unpin
where
    T: AsyncRead + AsyncWrite,
{
    let (read, write) = split(tunnel);
    let frames = FramedRead::new(read, codec());
    let parts = try_unfold(frames, |mut frames| async move {
        match frames.next().await.transpose()? {
            None => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
            Some(frame) if frame.is_empty() => Ok(None),
            Some(frame) => Ok(Some((frame.freeze(), frames))),
        }
    });
    join(StreamReader::new(Box::pin(parts)), write)
}
