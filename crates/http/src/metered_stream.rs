//! Bound of the bytes that are read from a connection.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use actix_rt::net::ActixStream;
use actix_rt::net::Ready;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Bytes on the wire for each byte of a body. Chunks of 16 bytes, one record each, take 1.4.
pub(crate) const WIRE_BYTES_PER_BODY_BYTE: usize = 2;

/// Counts the bytes that are read from a connection against those that the current message may take.
///
/// The bound covers every place of a message, whatever its parser accepts there.
#[derive(Debug, Default)]
pub(crate) struct ByteMeter {
    read: Cell<usize>,
    allowed: Cell<usize>,
    is_exceeded: Cell<bool>,
}

impl ByteMeter {
    /// Allows this many bytes from here on, whatever was allowed before.
    pub(crate) fn begin(&self, bytes: usize) {
        self.allowed.set(self.read.get().saturating_add(bytes));
    }

    /// Allows more bytes.
    pub(crate) fn extend(&self, bytes: usize) {
        self.allowed.set(self.allowed.get().saturating_add(bytes));
    }

    /// Returns whether a message took more bytes than it may.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.is_exceeded.get()
    }

    fn check(&self) -> io::Result<()> {
        if self.read.get() < self.allowed.get() {
            return Ok(());
        }
        self.is_exceeded.set(true);
        Err(io::Error::new(io::ErrorKind::InvalidData, "the message exceeds its limit"))
    }
}

/// A connection whose reads are counted. A read may go beyond the bound by the size of its buffer.
pub(crate) struct MeteredStream {
    stream: TcpStream,
    meter: Rc<ByteMeter>,
}

impl MeteredStream {
    /// Counts the reads of `stream` with `meter`, which must allow some bytes.
    pub(crate) fn new(stream: TcpStream, meter: Rc<ByteMeter>) -> MeteredStream {
        MeteredStream { stream, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.meter.check()?;
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        self.meter.read.set(self.meter.read.get().saturating_add(count));
        result
    }
}

impl AsyncWrite for MeteredStream {
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

impl ActixStream for MeteredStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, context)
    }
}
