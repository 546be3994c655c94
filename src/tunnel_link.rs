//! Forwards the bytes of tunnels over QUIC streams, at the VM that asks for them and at the peer.

use std::{cell::Cell, io, os::unix, time::Duration};

use quinn::{RecvStream, SendStream};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, UnixStream},
    task,
};

use crate::{
    tunnel::{Tunnel, TunnelEnd, TunnelReply, TunnelTarget},
    util,
};

/// The most tunnels that a peer's connection carries.
pub(crate) const MAX_TUNNELS_PER_PEER: u32 = 64;
/// The timeout for opening a tunnel, from the request to the reply.
const OPEN_TIMEOUT: Duration = Duration::from_millis(150);
/// The timeout of the peer for opening the connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// The largest request or reply, in bytes.
const MESSAGE_LIMIT: usize = 1_024;
const BUFFER_SIZE: usize = 16 * 1_024;
/// The code with which a stream is reset when the connection at its other end broke.
const BROKEN: u32 = 1;

type LinkError = Box<dyn std::error::Error + Send + Sync>;

/// Asks the peer at the other end of `connection` for a connection to a target.
///
/// # Errors
///
/// Returns the reply `Refused` or `Unreachable`; the latter also when the peer does not reply.
pub(crate) async fn open(
    connection: &quinn::Connection,
    target: &TunnelTarget,
) -> Result<Tunnel, TunnelReply> {
    let opened = util::within(OPEN_TIMEOUT, exchange(connection, target)).await;
    let (reply, sender, receiver) = match opened {
        Some(Ok(opened)) => opened,
        Some(Err(error)) => {
            tracing::debug!(event = "tunnel-failed", target = %target.name, reason = %error);
            return Err(TunnelReply::Unreachable);
        }
        None => return Err(TunnelReply::Unreachable),
    };
    if reply != TunnelReply::Opened {
        return Err(reply);
    }
    bridge(sender, receiver).map_err(|error| {
        tracing::warn!(event = "tunnel-failed", step = "create socket", reason = %error);
        TunnelReply::Unreachable
    })
}

async fn exchange(
    connection: &quinn::Connection,
    target: &TunnelTarget,
) -> Result<(TunnelReply, SendStream, RecvStream), LinkError> {
    let (mut sender, mut receiver) = connection.open_bi().await?;
    write_message(&mut sender, &serde_json::to_vec(target)?).await?;
    let reply = read_message(&mut receiver).await?;
    Ok((serde_json::from_slice(&reply)?, sender, receiver))
}

/// Connects the streams with one end of a pair of sockets, and returns the other end.
fn bridge(mut sender: SendStream, mut receiver: RecvStream) -> io::Result<Tunnel> {
    let (near, far) = unix::net::UnixStream::pair()?;
    near.set_nonblocking(true)?;
    far.set_nonblocking(true)?;
    let (mut read, mut write) = UnixStream::from_std(near)?.into_split();
    let end = TunnelEnd::default();
    let by_target = end.clone();
    task::spawn_local(async move {
        let upward = async {
            let mut buffer = vec![0; BUFFER_SIZE];
            loop {
                match read.read(&mut buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(length) => {
                        // The answer may have been sent already, so the other direction goes on.
                        if sender.write_all(&buffer[..length]).await.is_err() {
                            std::future::pending::<()>().await;
                        }
                    }
                }
            }
        };
        let downward = async {
            let mut buffer = vec![0; BUFFER_SIZE];
            loop {
                match receiver.read(&mut buffer).await {
                    Ok(Some(length)) if write.write_all(&buffer[..length]).await.is_ok() => {}
                    Ok(None) => return by_target.record(),
                    Ok(Some(_)) | Err(_) => return,
                }
            }
        };
        tokio::select! {
            () = upward => {}
            () = downward => {}
        }
        // The stream is closed already, if its peer is gone.
        let _ = sender.reset(BROKEN.into());
    });
    Ok(Tunnel { socket: far, end })
}

/// Serves the tunnels that a peer opens on its connection, until that ends.
pub(crate) async fn serve(connection: quinn::Connection, peer: String) {
    while let Ok((sender, receiver)) = connection.accept_bi().await {
        let peer = peer.clone();
        task::spawn_local(async move {
            if let Err(error) = serve_one(sender, receiver, &peer).await {
                tracing::debug!(event = "tunnel-ended", from = peer, reason = %error);
            }
        });
    }
}

async fn serve_one(
    mut sender: SendStream,
    mut receiver: RecvStream,
    peer: &str,
) -> Result<(), LinkError> {
    let request = read_message(&mut receiver).await?;
    let target: TunnelTarget = serde_json::from_slice(&request)?;
    let opened = util::within(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await;
    let opened = match opened {
        Some(Ok(stream)) => Ok(stream),
        Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            Err(TunnelReply::Refused)
        }
        Some(Err(_)) | None => Err(TunnelReply::Unreachable),
    };
    let reply = opened.as_ref().err().copied().unwrap_or(TunnelReply::Opened);
    tracing::info!(event = "tunnel-asked", from = peer, target = %target.name, ?reply);
    write_message(&mut sender, &serde_json::to_vec(&reply)?).await?;
    let Ok(stream) = opened else {
        sender.finish()?;
        return Ok(());
    };
    stream.set_nodelay(true)?;
    let (mut read, mut write) = stream.into_split();
    // The system reports a reset once. If writing has found it, reading finds what looks like the end
    // of the connection, and a part of an answer would look like all of it. `BrokenPipe` is no such
    // case, since the target had closed the connection before.
    let is_reset = Cell::new(false);
    let upward = async {
        let mut buffer = vec![0; BUFFER_SIZE];
        while let Ok(Some(length)) = receiver.read(&mut buffer).await {
            if let Err(error) = write.write_all(&buffer[..length]).await {
                is_reset.set(error.kind() != io::ErrorKind::BrokenPipe);
                std::future::pending::<()>().await;
            }
        }
    };
    let downward = async {
        let mut buffer = vec![0; BUFFER_SIZE];
        loop {
            let length = read.read(&mut buffer).await?;
            if length == 0 && is_reset.get() {
                return Err(io::Error::from(io::ErrorKind::ConnectionReset).into());
            }
            if length == 0 {
                return Ok::<(), LinkError>(());
            }
            sender.write_all(&buffer[..length]).await?;
        }
    };
    let ended = tokio::select! {
        // The asking VM has closed its end, and the target's connection closes with it.
        () = upward => Err("closed by the asking VM".into()),
        ended = downward => ended,
    };
    match ended {
        Ok(()) => {
            sender.finish()?;
            sender.stopped().await?;
            Ok(())
        }
        Err(error) => {
            // The stream is closed already, if its peer is gone.
            let _ = sender.reset(BROKEN.into());
            Err(error)
        }
    }
}

async fn write_message(stream: &mut SendStream, message: &[u8]) -> Result<(), LinkError> {
    let length = u16::try_from(message.len())?;
    stream.write_all(&length.to_le_bytes()).await?;
    stream.write_all(message).await?;
    Ok(())
}

async fn read_message(stream: &mut RecvStream) -> Result<Vec<u8>, LinkError> {
    let mut length = [0; 2];
    stream.read_exact(&mut length).await?;
    let length = usize::from(u16::from_le_bytes(length));
    if length > MESSAGE_LIMIT {
        return Err(format!("message of {length} bytes").into());
    }
    let mut message = vec![0; length];
    stream.read_exact(&mut message).await?;
    Ok(message)
}
