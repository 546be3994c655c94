//! A caller's connection that can be reset instead of closed.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Makes the end of a connection a reset.
#[derive(Clone, Debug, Default)]
pub struct ResetSwitch(Rc<Cell<bool>>);

impl ResetSwitch {
    /// Lets the connection be reset when it ends.
    pub fn turn_on(&self) {
        self.0.set(true);
    }
}

/// A caller's connection.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    switch: ResetSwitch,
}

impl CallerStream {
    /// Creates a connection that is closed when it is dropped, unless `switch` has been turned on.
    pub fn new(stream: TcpStream, switch: ResetSwitch) -> Self {
        Self { stream, switch }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if !self.switch.0.get() {
            return;
        }
        let socket = socket2::SockRef::from(&self.stream);
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            tracing::warn!(event = "caller-not-reset", step = "set linger", reason = %error);
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
