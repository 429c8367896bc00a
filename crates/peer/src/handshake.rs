//! Mutual authentication of two routers by a shared secret.
//!
//! The connecting router sends a magic number, a nonce and its introduction.
//! The accepting router responds with a nonce of its own and an authentication
//! code over both nonces and the introduction. The connecting router verifies
//! the code and sends one of its own, which the accepting router verifies.

use snafu::ensure;
use snafu::ResultExt;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

use crate::error::HandshakeRejectedSnafu;
use crate::error::IoSnafu;
use crate::secret::AUTH_CODE_BYTES;
use crate::Introduction;
use crate::Result;
use crate::Secret;

/// First bytes of a connection, which identify the protocol and its version.
const MAGIC: &[u8; 8] = b"thollow1";

const NONCE_BYTES: usize = 32;

/// Maximum length of an encoded introduction, in bytes.
const MAX_INTRODUCTION_BYTES: u16 = 2_048;

/// Length of the length prefix of the introduction, in bytes.
const LEN_BYTES: usize = size_of::<u16>();

/// Step named in errors.
const STEP: &str = "handshake";

/// The exchanged data that both authentication codes cover.
struct Transcript {
    client_nonce: [u8; NONCE_BYTES],
    server_nonce: [u8; NONCE_BYTES],
    introduction: Vec<u8>,
}

impl Transcript {
    /// Returns the input of an authentication code. The label of the side that
    /// creates the code keeps the other side from sending back a code it received.
    fn signed_parts<'a>(&'a self, label: &'a [u8]) -> [&'a [u8]; 4] {
        [
            label,
            &self.client_nonce,
            &self.server_nonce,
            &self.introduction,
        ]
    }
}

const CLIENT_LABEL: &[u8] = b"client";
const SERVER_LABEL: &[u8] = b"server";

/// Performs the handshake on a new connection to `peer`, as the router that
/// `introduction` describes.
pub async fn connect<T>(
    io: &mut T,
    peer: &str,
    secret: &Secret,
    introduction: &Introduction,
) -> Result<()>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let introduction =
        serde_json::to_vec(introduction).expect("an introduction serializes to JSON");
    let len = u16::try_from(introduction.len()).unwrap_or(u16::MAX);
    ensure!(
        len <= MAX_INTRODUCTION_BYTES,
        HandshakeRejectedSnafu {
            peer,
            reason: "the introduction is too long"
        }
    );
    let client_nonce: [u8; NONCE_BYTES] = rand::random();
    let mut hello = MAGIC.to_vec();
    hello.extend_from_slice(&client_nonce);
    hello.extend_from_slice(&len.to_be_bytes());
    hello.extend_from_slice(&introduction);
    io.write_all(&hello)
        .await
        .context(IoSnafu { step: STEP, peer })?;
    let transcript = Transcript {
        client_nonce,
        server_nonce: read_array(io, peer).await?,
        introduction,
    };
    let code: [u8; AUTH_CODE_BYTES] = read_array(io, peer).await?;
    ensure!(
        secret.verify(&transcript.signed_parts(SERVER_LABEL), &code),
        HandshakeRejectedSnafu {
            peer,
            reason: "the authentication code does not match"
        }
    );
    let code = secret.auth_code(&transcript.signed_parts(CLIENT_LABEL));
    io.write_all(&code)
        .await
        .context(IoSnafu { step: STEP, peer })
}

/// Performs the handshake on an accepted connection and returns the
/// introduction of the router that connected.
pub async fn accept<T>(io: &mut T, peer: &str, secret: &Secret) -> Result<Introduction>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let magic: [u8; MAGIC.len()] = read_array(io, peer).await?;
    ensure!(
        &magic == MAGIC,
        HandshakeRejectedSnafu {
            peer,
            reason: "the magic number does not match"
        }
    );
    let client_nonce = read_array(io, peer).await?;
    let len: [u8; LEN_BYTES] = read_array(io, peer).await?;
    let len = u16::from_be_bytes(len);
    ensure!(
        len <= MAX_INTRODUCTION_BYTES,
        HandshakeRejectedSnafu {
            peer,
            reason: "its introduction is too long"
        }
    );
    let mut introduction = vec![0; usize::from(len)];
    io.read_exact(&mut introduction)
        .await
        .context(IoSnafu { step: STEP, peer })?;
    let transcript = Transcript {
        client_nonce,
        server_nonce: rand::random(),
        introduction,
    };
    let mut response = transcript.server_nonce.to_vec();
    response.extend_from_slice(&secret.auth_code(&transcript.signed_parts(SERVER_LABEL)));
    io.write_all(&response)
        .await
        .context(IoSnafu { step: STEP, peer })?;
    let code: [u8; AUTH_CODE_BYTES] = read_array(io, peer).await?;
    ensure!(
        secret.verify(&transcript.signed_parts(CLIENT_LABEL), &code),
        HandshakeRejectedSnafu {
            peer,
            reason: "the authentication code does not match"
        }
    );
    match serde_json::from_slice(&transcript.introduction) {
        Ok(introduction) => Ok(introduction),
        Err(_) => HandshakeRejectedSnafu {
            peer,
            reason: "its introduction does not parse",
        }
        .fail(),
    }
}

async fn read_array<T, const N: usize>(io: &mut T, peer: &str) -> Result<[u8; N]>
where
    T: AsyncRead + Unpin,
{
    let mut buf = [0; N];
    io.read_exact(&mut buf)
        .await
        .context(IoSnafu { step: STEP, peer })?;
    Ok(buf)
}
