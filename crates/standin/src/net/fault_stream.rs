//! A connection that can go silent or break at a chosen byte.

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

/// End of an HTTP/1.1 head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// What a connection does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamMode {
    /// Passes them on.
    Open,
    /// Reads nothing and swallows what is written.
    Silent,
    /// Writes this many more bytes, then fails.
    CutAfter(usize),
    /// Writes the next head and this many bytes of its body, then fails.
    CutInBody(usize),
}

/// Handle that changes a connection's mode from outside.
#[derive(Clone, Debug)]
pub(crate) struct StreamControl {
    mode: Rc<Cell<StreamMode>>,
    silenced: Rc<Notify>,
    closed: Rc<Notify>,
}

/// A TCP stream with a [`StreamControl`].
#[derive(Debug)]
pub(crate) struct FaultStream {
    stream: TcpStream,
    control: StreamControl,
}

impl StreamControl {
    /// A connection that works.
    fn new() -> StreamControl {
        StreamControl {
            mode: Rc::new(Cell::new(StreamMode::Open)),
            silenced: Rc::default(),
            closed: Rc::default(),
        }
    }

    /// Never reads nor writes again, without closing.
    pub(crate) fn silence(&self) {
        self.mode.set(StreamMode::Silent);
        self.silenced.notify_one();
    }

    /// Fails at the next written byte.
    pub(crate) fn cut(&self) {
        self.mode.set(StreamMode::CutAfter(0));
    }

    /// Fails once the next reply's head and `bytes` of its body are out.
    pub(crate) fn cut_in_body(&self, bytes: usize) {
        self.mode.set(StreamMode::CutInBody(bytes));
    }

    /// Closes the connection at once.
    pub(crate) fn close(&self) {
        self.closed.notify_one();
    }

    /// Returns when the connection has been silent for `hold`.
    pub(crate) async fn silent_for(&self, hold: Duration) {
        self.silenced.notified().await;
        actix_rt::time::sleep(hold).await;
    }

    /// Returns when the connection is to be closed.
    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }
}

impl FaultStream {
    /// Wraps an accepted connection.
    pub(crate) fn new(stream: TcpStream) -> FaultStream {
        FaultStream { stream, control: StreamControl::new() }
    }

    /// The connection's handle.
    pub(crate) fn control(&self) -> StreamControl {
        self.control.clone()
    }

    /// Turns a cut within the body into a cut after a number of bytes.
    fn settle_cut(&self, buffer: &[u8]) {
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
        self.settle_cut(buffer);
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
