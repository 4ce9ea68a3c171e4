//! A caller's connection, from which one message at a time is taken.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use actix_rt::net::ActixStream;
use actix_rt::net::Ready;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::flow::CloseRule;
use crate::flow::FlowPhase;
use crate::registry::ConnectionCalls;

/// Bytes that are read from the socket at once, and at most ahead of a call's answer.
const PIECE_BYTES: usize = 4 * 1_024;

/// Bytes that a connection may take in each phase.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowBounds {
    /// Bytes of a head.
    pub(crate) head_bytes: usize,
    /// Bytes of a body with its framing, and of what arrives after a refusal.
    pub(crate) call_bytes: usize,
}

/// A connection whose server gets no byte behind the message that it serves.
///
/// The server parses whatever it can read, and keeps a request of its own for each head. So what was
/// sent ahead stays in the socket, except for one piece, until the answer before it is written.
pub(crate) struct CallerStream {
    stream: TcpStream,
    calls: Rc<ConnectionCalls>,
    bounds: Rc<dyn Fn() -> FlowBounds>,
    /// Bytes that were read and not handed out.
    piece: Vec<u8>,
    start: usize,
    /// Whether the server must parse what it has before it reads on.
    must_yield: bool,
    line_feeds: LineFeeds,
}

/// Finds empty lines. Each head and each body of chunks ends with one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LineFeeds {
    #[default]
    None,
    /// The last byte was a line feed.
    One,
    /// The last bytes were a line feed and a carriage return.
    OneAndReturn,
}

impl LineFeeds {
    /// Returns the length of the bytes up to the first empty line, and whether there is one.
    fn find_empty_line(&mut self, bytes: &[u8]) -> (usize, bool) {
        for (index, byte) in bytes.iter().enumerate() {
            *self = match (*self, byte) {
                (LineFeeds::One | LineFeeds::OneAndReturn, b'\n') => {
                    *self = LineFeeds::None;
                    return (index + 1, true);
                }
                (LineFeeds::None, b'\n') => LineFeeds::One,
                (LineFeeds::One, b'\r') => LineFeeds::OneAndReturn,
                _ => LineFeeds::None,
            };
        }
        (bytes.len(), false)
    }
}

impl CallerStream {
    /// Wraps `stream`; `bounds` are asked for while bytes arrive.
    pub(crate) fn new(
        stream: TcpStream,
        calls: Rc<ConnectionCalls>,
        bounds: Rc<dyn Fn() -> FlowBounds>,
    ) -> CallerStream {
        CallerStream {
            stream,
            calls,
            bounds,
            piece: Vec::new(),
            start: 0,
            must_yield: false,
            line_feeds: LineFeeds::default(),
        }
    }

    /// Reads a piece if there is none; returns whether the peer has closed.
    fn poll_piece(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if self.start < self.piece.len() {
            return Poll::Ready(Ok(false));
        }
        let mut space = [0; PIECE_BYTES];
        let mut buffer = ReadBuf::new(&mut space);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
        self.piece = buffer.filled().to_vec();
        self.start = 0;
        Poll::Ready(Ok(self.piece.is_empty()))
    }

    /// Hands out as much as the phase takes; returns whether the server must parse it first.
    fn hand_out(&mut self, buffer: &mut ReadBuf<'_>) -> io::Result<bool> {
        let flow = &self.calls.flow;
        let rest = &self.piece[self.start..];
        let rest = &rest[..rest.len().min(buffer.remaining())];
        let bounds = (self.bounds)();
        let (length, bound, rule) = match flow.phase() {
            FlowPhase::Head => {
                let (length, _) = self.line_feeds.find_empty_line(rest);
                (length, bounds.head_bytes, CloseRule::LongHead)
            }
            FlowPhase::Body { left: None } => {
                let (length, _) = self.line_feeds.find_empty_line(rest);
                (length, bounds.call_bytes, CloseRule::Discarded)
            }
            FlowPhase::Body { left: Some(left) } => {
                let length = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                (length, bounds.call_bytes, CloseRule::Discarded)
            }
            FlowPhase::Answer => (0, bounds.call_bytes, CloseRule::Discarded),
            FlowPhase::Discard => (rest.len(), bounds.call_bytes, CloseRule::Discarded),
        };
        buffer.put_slice(&rest[..length]);
        self.start += length;
        if self.start == self.piece.len() {
            self.piece = Vec::new();
            self.start = 0;
        }
        let total = flow.record(length);
        if let FlowPhase::Body { left: Some(left) } = flow.phase() {
            flow.take_body(left - length as u64);
        }
        if total > bound {
            flow.set_rule(rule);
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the message exceeds its limit",
            ));
        }
        Ok(length > 0)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.must_yield) {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        // A peer that disconnects is noticed while its call runs.
        self.calls.flow.park(context.waker());
        if ready!(self.poll_piece(context))? {
            return Poll::Ready(Ok(()));
        }
        match self.calls.flow.phase() {
            FlowPhase::Answer | FlowPhase::Body { left: Some(0) } => Poll::Pending,
            FlowPhase::Body { .. } if self.calls.flow.is_paused() => Poll::Pending,
            FlowPhase::Head | FlowPhase::Body { .. } | FlowPhase::Discard => {
                self.must_yield = self.hand_out(buffer)?;
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        if self.calls.flow.phase() == FlowPhase::Answer {
            self.calls.record_written(written);
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The server flushes once the socket has taken all that it has produced.
        if self.calls.flow.record_flush() {
            self.calls.flow.record_ahead(!self.piece.is_empty());
            self.calls.release_answer();
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl ActixStream for CallerStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, context)
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        let flow = &self.calls.flow;
        let reply = flow.rule().filter(|_| flow.has_part_of_head()).and_then(CloseRule::head_reply);
        if let Some(reply) = reply
            && let Err(error) = self.stream.try_write(reply)
        {
            log::debug!("failed to tell a caller why its connection is closed: {error}");
        }
    }
}
