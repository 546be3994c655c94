//! A caller's connection: it can be reset instead of closed, and it can take in what its caller is
//! still sending before it closes.

use std::{
    cell::Cell,
    future::Future,
    io,
    net::Shutdown,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use ryetide_core::units::ByteSize;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{self, Instant, Sleep},
};

use crate::caller_connections::CallerConnection;

/// The longest time for which a connection takes in the rest of a refused body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// The bytes that are discarded at a time, how often in a row, and how often that is done. Callers that
/// come again as soon as they are closed cannot keep the VM busy with it.
const DISCARD_BUFFER: usize = 8_192;
const DISCARD_READS: u32 = 16;
const DISCARD_INTERVAL: Duration = Duration::from_millis(25);

/// Tells a connection how to end.
#[derive(Clone, Debug, Default)]
pub struct StreamControl {
    resets: Rc<Cell<bool>>,
    discards: Rc<Cell<ByteSize>>,
}

impl StreamControl {
    /// Lets the connection be reset when it ends.
    pub fn reset(&self) {
        self.resets.set(true);
    }

    /// Lets the connection discard up to `limit` bytes before it ends.
    ///
    /// A connection that is closed with unread bytes is reset, and the reset may destroy an answer
    /// that its caller has not read yet, because it is still sending the body.
    pub fn discard_rest(&self, limit: ByteSize) {
        self.discards.set(limit);
    }
}

/// The rest of a refused body, which is discarded.
#[derive(Debug)]
struct DiscardedRest {
    left: u64,
    until: Instant,
    pause: Pin<Box<Sleep>>,
}

/// A caller's connection.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: Rc<TcpStream>,
    control: StreamControl,
    connection: Rc<CallerConnection>,
    rest: Option<DiscardedRest>,
}

impl CallerStream {
    /// Creates a connection that is closed when it is dropped, unless `control` says otherwise.
    pub fn new(
        stream: Rc<TcpStream>,
        control: StreamControl,
        connection: Rc<CallerConnection>,
    ) -> Self {
        Self { stream, control, connection, rest: None }
    }

    /// Discards what the caller still sends, until it has closed its end or a limit is reached.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let limit = self.control.discards.get();
        if limit == ByteSize(0) {
            return Poll::Ready(());
        }
        let rest = self.rest.get_or_insert_with(|| DiscardedRest {
            left: limit.0,
            until: Instant::now() + DISCARD_TIMEOUT,
            pause: Box::pin(time::sleep(Duration::ZERO)),
        });
        let mut bytes = [0; DISCARD_BUFFER];
        loop {
            ready!(rest.pause.as_mut().poll(context));
            if rest.left == 0 || Instant::now() >= rest.until {
                return Poll::Ready(());
            }
            for _ in 0..DISCARD_READS {
                let mut buffer = ReadBuf::new(&mut bytes);
                match poll_receive(&self.stream, context, &mut buffer) {
                    Poll::Pending => break,
                    Poll::Ready(Err(_)) => return Poll::Ready(()),
                    Poll::Ready(Ok(())) if buffer.filled().is_empty() => return Poll::Ready(()),
                    Poll::Ready(Ok(())) => {
                        rest.left = rest.left.saturating_sub(buffer.filled().len() as u64);
                    }
                }
            }
            rest.pause.as_mut().reset(Instant::now() + DISCARD_INTERVAL);
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if !self.control.resets.get() {
            return;
        }
        let socket = socket2::SockRef::from(&*self.stream);
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            tracing::warn!(event = "caller-not-reset", step = "set linger", reason = %error);
        }
    }
}

/// Reads from a stream that several parts of a task share.
fn poll_receive(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            read => return Poll::Ready(read.map(drop)),
        }
    }
}

/// Writes to such a stream.
fn poll_send(
    stream: &TcpStream,
    context: &mut Context<'_>,
    send: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match send(stream) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            sent => return Poll::Ready(sent),
        }
    }
}

/// Polls whether bytes wait that nobody has read yet.
pub(crate) fn poll_unread(stream: &TcpStream, context: &mut Context<'_>) -> Poll<()> {
    let mut byte = [0];
    let peeked = ready!(stream.poll_peek(context, &mut ReadBuf::new(&mut byte)));
    // The end of the connection, or an error, is for whoever reads next.
    if peeked.is_ok_and(|length| length > 0) { Poll::Ready(()) } else { Poll::Pending }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(poll_receive(&self.stream, context, buffer))?;
        if buffer.filled().len() > before {
            self.connection.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = poll_send(&self.stream, context, |stream| stream.try_write(bytes));
        self.connection.record_written(written.is_ready());
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = poll_send(&self.stream, context, |stream| stream.try_write_vectored(slices));
        self.connection.record_written(written.is_ready());
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Called once everything that was handed over is written.
        self.connection.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_discard(context));
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
