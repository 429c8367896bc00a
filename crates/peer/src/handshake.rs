//! Proof at both ends of a connection that the other knows the secret.
//!
//! The connecting router sends a magic number, a nonce and the name of its VM.
//! The other answers with a nonce of its own and an authentication code over
//! all of it, and takes the connection once it got such a code back.

use snafu::ensure;
use snafu::ResultExt;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

use crate::error::IoSnafu;
use crate::error::StrangerSnafu;
use crate::secret::CODE_BYTES;
use crate::Result;
use crate::Secret;

const MAGIC: &[u8; 8] = b"thollow1";
const NONCE_BYTES: usize = 32;
const STEP: &str = "handshake";

/// What both codes cover, besides the side that makes them.
struct Transcript {
    client_nonce: [u8; NONCE_BYTES],
    server_nonce: [u8; NONCE_BYTES],
    vm: Vec<u8>,
}

impl Transcript {
    fn parts<'a>(&'a self, side: &'a [u8]) -> [&'a [u8]; 4] {
        [side, &self.client_nonce, &self.server_nonce, &self.vm]
    }
}

const CLIENT: &[u8] = b"client";
const SERVER: &[u8] = b"server";

/// Connects as the router on `vm`.
pub async fn connect<T>(io: &mut T, peer: &str, secret: &Secret, vm: &str) -> Result<()>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let len = u8::try_from(vm.len()).ok();
    ensure!(
        len.is_some(),
        StrangerSnafu {
            peer,
            reason: "the VM's name is too long"
        }
    );
    let client_nonce: [u8; NONCE_BYTES] = rand::random();
    let mut hello = MAGIC.to_vec();
    hello.extend_from_slice(&client_nonce);
    hello.extend(len);
    hello.extend_from_slice(vm.as_bytes());
    io.write_all(&hello)
        .await
        .context(IoSnafu { step: STEP, peer })?;
    let transcript = Transcript {
        client_nonce,
        server_nonce: read(io, peer).await?,
        vm: vm.into(),
    };
    let code: [u8; CODE_BYTES] = read(io, peer).await?;
    ensure!(
        secret.verify(&transcript.parts(SERVER), &code),
        StrangerSnafu {
            peer,
            reason: "it does not know the secret"
        }
    );
    let code = secret.code(&transcript.parts(CLIENT));
    io.write_all(&code)
        .await
        .context(IoSnafu { step: STEP, peer })
}

/// Takes a connection and returns the name of the other router's VM.
pub async fn accept<T>(io: &mut T, peer: &str, secret: &Secret) -> Result<String>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let magic: [u8; MAGIC.len()] = read(io, peer).await?;
    ensure!(
        &magic == MAGIC,
        StrangerSnafu {
            peer,
            reason: "it speaks another protocol"
        }
    );
    let client_nonce = read(io, peer).await?;
    let [len] = read(io, peer).await?;
    let mut vm = vec![0; usize::from(len)];
    io.read_exact(&mut vm)
        .await
        .context(IoSnafu { step: STEP, peer })?;
    let transcript = Transcript {
        client_nonce,
        server_nonce: rand::random(),
        vm,
    };
    let mut answer = transcript.server_nonce.to_vec();
    answer.extend_from_slice(&secret.code(&transcript.parts(SERVER)));
    io.write_all(&answer)
        .await
        .context(IoSnafu { step: STEP, peer })?;
    let code: [u8; CODE_BYTES] = read(io, peer).await?;
    ensure!(
        secret.verify(&transcript.parts(CLIENT), &code),
        StrangerSnafu {
            peer,
            reason: "it does not know the secret"
        }
    );
    let vm = String::from_utf8(transcript.vm).ok();
    match vm {
        Some(vm) => Ok(vm),
        None => StrangerSnafu {
            peer,
            reason: "the VM's name is not UTF-8",
        }
        .fail(),
    }
}

async fn read<T, const N: usize>(io: &mut T, peer: &str) -> Result<[u8; N]>
where
    T: AsyncRead + Unpin,
{
    let mut buf = [0; N];
    io.read_exact(&mut buf)
        .await
        .context(IoSnafu { step: STEP, peer })?;
    Ok(buf)
}
