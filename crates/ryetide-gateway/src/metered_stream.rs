//! Bounds the bytes that a target may send without any of an answer in them.
//!
//! The parser drops interim answers and the framing of chunks, so bytes without end there take no memory,
//! but fill the VM's link and processor until the request's deadline.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The most bytes between two parts of an answer that are used: the largest head, and what the parser
/// reads ahead, many times over.
const MAX_UNUSED: usize = 1 << 20;

/// Counts the bytes that were received since a part of an answer was last used.
#[derive(Clone, Debug, Default)]
pub struct ByteMeter(Rc<Cell<usize>>);

impl ByteMeter {
    /// Records that a part of the answer was used.
    pub fn record_used(&self) {
        self.0.set(0);
    }
}

/// A connection whose received bytes are counted.
pub struct MeteredStream<T> {
    stream: T,
    meter: ByteMeter,
}

impl<T> MeteredStream<T> {
    /// Counts the bytes received on `stream` with `meter`.
    pub fn new(stream: T, meter: ByteMeter) -> Self {
        Self { stream, meter }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for MeteredStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let unused = self.meter.0.get();
        if unused > MAX_UNUSED {
            let reason = "the target sends bytes that are no part of an answer";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.meter.0.set(unused + buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for MeteredStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
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
}
