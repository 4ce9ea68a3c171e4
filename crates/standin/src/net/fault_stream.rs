//! TCP stream that can be made silent or broken at a given byte.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Terminator of an HTTP/1.1 head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// How a connection treats reads and writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamMode {
    /// Passes reads and writes through.
    Open,
    /// Reads nothing and discards what is written.
    Silent,
    /// Fails writes after this many more bytes.
    CutAfter(usize),
    /// Fails writes after the next head and this many bytes of its body.
    CutInBody(usize),
}

/// Handle to silence, break or close a connection.
#[derive(Clone, Debug)]
pub(crate) struct StreamControl {
    mode: Rc<Cell<StreamMode>>,
    silenced: Rc<Notify>,
    closed: Rc<Notify>,
}

/// TCP stream that is controlled through a [`StreamControl`].
#[derive(Debug)]
pub(crate) struct FaultStream {
    stream: TcpStream,
    control: StreamControl,
}

impl StreamControl {
    /// Creates the control of a connection without faults.
    fn new() -> StreamControl {
        StreamControl {
            mode: Rc::new(Cell::new(StreamMode::Open)),
            silenced: Rc::default(),
            closed: Rc::default(),
        }
    }

    /// Stops all reads and writes permanently, without closing the connection.
    pub(crate) fn silence(&self) {
        self.mode.set(StreamMode::Silent);
        self.silenced.notify_one();
    }

    /// Fails the next write.
    pub(crate) fn cut(&self) {
        self.mode.set(StreamMode::CutAfter(0));
    }

    /// Fails writes once the head of the next reply and `bytes` of its body have been written.
    pub(crate) fn cut_in_body(&self, bytes: usize) {
        self.mode.set(StreamMode::CutInBody(bytes));
    }

    /// Requests that the connection be closed.
    pub(crate) fn close(&self) {
        self.closed.notify_one();
    }

    /// Waits until the connection has been silent for `timeout`.
    pub(crate) async fn silent_for(&self, timeout: Duration) {
        self.silenced.notified().await;
        actix_rt::time::sleep(timeout).await;
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }
}

impl FaultStream {
    /// Wraps an accepted connection.
    pub(crate) fn new(stream: TcpStream) -> FaultStream {
        FaultStream { stream, control: StreamControl::new() }
    }

    /// Returns the control of the connection.
    pub(crate) fn control(&self) -> StreamControl {
        self.control.clone()
    }

    /// Replaces a cut within the body by a cut after a number of bytes, once `buffer` contains the
    /// end of the head.
    fn resolve_cut(&self, buffer: &[u8]) {
        let StreamMode::CutInBody(bytes) = self.control.mode.get() else { return };
        let head_end = buffer.windows(HEAD_END.len()).position(|window| window == HEAD_END);
        if let Some(start) = head_end {
            self.control.mode.set(StreamMode::CutAfter(start + HEAD_END.len() + bytes));
        }
    }
}

impl AsyncRead for FaultStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.control.mode.get() {
            StreamMode::Silent => Poll::Pending,
            _ => Pin::new(&mut self.stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for FaultStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.resolve_cut(buffer);
        match self.control.mode.get() {
            StreamMode::Silent => Poll::Ready(Ok(buffer.len())),
            StreamMode::CutAfter(0) => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            StreamMode::CutAfter(left) => {
                let part = &buffer[..buffer.len().min(left)];
                let written =
                    std::task::ready!(Pin::new(&mut self.stream).poll_write(context, part))?;
                self.control.mode.set(StreamMode::CutAfter(left - written));
                Poll::Ready(Ok(written))
            }
            StreamMode::Open | StreamMode::CutInBody(_) => {
                Pin::new(&mut self.stream).poll_write(context, buffer)
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.control.mode.get() {
            StreamMode::Silent => Poll::Pending,
            _ => Pin::new(&mut self.stream).poll_shutdown(context),
        }
    }
}
