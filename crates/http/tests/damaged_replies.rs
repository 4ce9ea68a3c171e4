//! Property test of replies that are damaged anywhere, and of what the connection carries afterwards.
#![allow(clippy::unwrap_used)]

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use oleanderwind_http::ClientError;
use oleanderwind_http::ClientReply;
use oleanderwind_http::HttpClient;
use proptest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::support::SETTINGS;

/// Time after which a call counts as one that waits for the rest of its reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Time in which bytes that were written reach the client.
const DELIVERY_TIME: Duration = Duration::from_millis(3);
const SECOND_BODY: &str = "second";
const SECOND_REPLY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
const STALE_REPLY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";

/// How a reply tells where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
}

/// What is wrong with the bytes of a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Damage {
    None,
    /// The connection is closed after this part of the bytes, in thousandths.
    Cut(usize),
    /// The byte at this part is another one.
    Replaced(usize, u8),
    /// Bytes are inserted at this part.
    Inserted(usize, Vec<u8>),
    /// A whole reply to nobody follows.
    Repeated,
    /// Bytes that are no reply follow.
    Followed(Vec<u8>),
}

/// A reply as a server writes it.
#[derive(Clone, Debug)]
struct DamagedReply {
    interim_replies: usize,
    framing: Framing,
    body: Vec<u8>,
    damage: Damage,
    /// Bytes that are written at a time.
    piece_bytes: usize,
}

impl DamagedReply {
    fn any() -> impl Strategy<Value = DamagedReply> {
        let framing = prop_oneof![Just(Framing::Length), Just(Framing::Chunked)];
        let body = prop::collection::vec(b'a'..=b'z', 0..2_000);
        let noise = || prop::collection::vec(any::<u8>(), 1..40);
        let damage = prop_oneof![
            1 => Just(Damage::None),
            2 => (0..1_000_usize).prop_map(Damage::Cut),
            3 => (0..1_000_usize, any::<u8>()).prop_map(|(at, byte)| Damage::Replaced(at, byte)),
            3 => (0..1_000_usize, noise()).prop_map(|(at, bytes)| Damage::Inserted(at, bytes)),
            2 => Just(Damage::Repeated),
            2 => noise().prop_map(Damage::Followed),
        ];
        (0..3_usize, framing, body, damage, 1..4_000_usize).prop_map(
            |(interim_replies, framing, body, damage, piece_bytes)| DamagedReply {
                interim_replies,
                framing,
                body,
                damage,
                piece_bytes,
            },
        )
    }

    fn whole_bytes(&self) -> Vec<u8> {
        let mut bytes =
            "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(self.interim_replies);
        bytes.push_str("HTTP/1.1 200 OK\r\nServer: damaged\r\n");
        let body = String::from_utf8(self.body.clone()).unwrap();
        match self.framing {
            Framing::Length => {
                bytes.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
            }
            Framing::Chunked => {
                bytes.push_str("Transfer-Encoding: chunked\r\n\r\n");
                for chunk in self.body.chunks(700) {
                    let text = String::from_utf8_lossy(chunk);
                    bytes.push_str(&format!("{:x}\r\n{text}\r\n", chunk.len()));
                }
                bytes.push_str("0\r\n\r\n");
            }
        }
        bytes.into_bytes()
    }

    fn damaged_bytes(&self) -> Vec<u8> {
        let mut bytes = self.whole_bytes();
        let at = |part: usize| part * bytes.len() / 1_000;
        match &self.damage {
            Damage::None => {}
            Damage::Cut(part) => bytes.truncate(at(*part)),
            Damage::Replaced(part, byte) => {
                let at = at(*part);
                bytes[at] = *byte;
            }
            Damage::Inserted(part, noise) => {
                let at = at(*part);
                bytes.splice(at..at, noise.iter().copied());
            }
            Damage::Repeated => bytes.extend(STALE_REPLY.bytes()),
            Damage::Followed(noise) => bytes.extend(noise),
        }
        bytes
    }

    /// Writes the bytes to the first connection after its first request, and whole replies to all other requests.
    async fn serve(self, listener: TcpListener, is_written: Rc<Cell<bool>>) {
        let (mut stream, _) = listener.accept().await.unwrap();
        actix_rt::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                actix_rt::spawn(answer_all(stream));
            }
        });
        let mut request = [0; 4_096];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        for piece in self.damaged_bytes().chunks(self.piece_bytes) {
            // The client may have closed the connection.
            if stream.write_all(piece).await.is_err() {
                break;
            }
            tokio::task::yield_now().await;
        }
        is_written.set(true);
        if !matches!(self.damage, Damage::Cut(_)) {
            answer_all(stream).await;
        }
    }

    fn check(&self, first: Option<Result<ClientReply, ClientError>>) -> Result<(), TestCaseError> {
        let body = first.and_then(Result::ok).map(|reply| reply.body);
        match &self.damage {
            Damage::None => prop_assert_eq!(body.as_deref(), Some(&*self.body)),
            Damage::Cut(_) => prop_assert!(body.is_none(), "a cut reply looks whole"),
            Damage::Repeated | Damage::Followed(_) => {
                prop_assert!(body.is_none_or(|body| body == self.body));
            }
            Damage::Replaced(..) | Damage::Inserted(..) => {}
        }
        Ok(())
    }

    async fn play(self) -> Result<(), TestCaseError> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = HttpClient::new(listener.local_addr().unwrap(), SETTINGS, Rc::default());
        let is_written = Rc::new(Cell::new(false));
        actix_rt::spawn(self.clone().serve(listener, is_written.clone()));
        self.check(get(&client).await)?;
        while !is_written.get() {
            tokio::task::yield_now().await;
        }
        tokio::time::sleep(DELIVERY_TIME).await;
        if let Some(Ok(reply)) = get(&client).await {
            prop_assert_eq!(&reply.body[..], SECOND_BODY.as_bytes(), "the reply of another call");
        }
        Ok(())
    }
}

async fn answer_all(mut stream: TcpStream) {
    let mut request = [0; 4_096];
    while stream.read(&mut request).await.is_ok_and(|bytes| bytes > 0) {
        if stream.write_all(SECOND_REPLY.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Sends a request; returns `None` if its reply does not end.
async fn get(client: &HttpClient) -> Option<Result<ClientReply, ClientError>> {
    let request = Request::get("/x").header("host", "h").body(Full::<Bytes>::default()).unwrap();
    timeout(REPLY_TIMEOUT, client.send(request)).await.ok()
}

proptest! {
    /// Guards against a cut reply that looks whole, and against bytes behind a reply that are taken for the reply to the
    /// next call.
    #[test]
    fn damaged_reply_is_never_taken_for_a_whole_one_or_for_that_of_another_call(
        reply in DamagedReply::any(),
    ) {
        actix_rt::System::new().block_on(reply.play())?;
    }
}
