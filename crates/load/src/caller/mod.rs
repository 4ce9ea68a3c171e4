//! A caller of the tier: asks for addresses, keeps them a while and connects there.

mod address_book;

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use awc::error::SendRequestError;
use oleanderwind_http::ATTEMPT_HEADER;
use oleanderwind_http::KEY_HEADER;
use oleanderwind_http::is_unsent;
use oleanderwind_policy::OperationKind;
use oleanderwind_wire::AddressAnswer;
use oleanderwind_wire::CallerAnswer;
use serde_json::json;
use tokio::sync::Mutex;
use tokio::time::Instant;

pub use address_book::AddressBook;

/// Largest reply that is read, in bytes.
const MAX_REPLY_BYTES: usize = 8 << 20;
/// How often a caller asks for another address because it could not connect.
const MAX_RECONNECTS: usize = 3;

/// A reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct CallReply {
    /// HTTP status.
    pub status: u16,
    /// The reply's body.
    pub answer: CallerAnswer,
}

/// Why a request has no readable reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No address would take a connection; nothing was sent.
    NotConnected(String),
    /// The connection was cut or timed out after the request may have been sent.
    Cut(String),
    /// The reply is no answer in JSON.
    Unreadable(String),
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallFailure::NotConnected(cause) => {
                write!(f, "no connection: {cause}; check the seed addresses")
            }
            CallFailure::Cut(cause) => write!(f, "request cut: {cause}"),
            CallFailure::Unreadable(cause) => write!(f, "reply is no answer: {cause}"),
        }
    }
}

/// One request as the caller sends it; a repeat sends the same with the next attempt number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallRequest {
    pub(crate) id: String,
    pub(crate) class: &'static str,
    pub(crate) operation: OperationKind,
    pub(crate) text: String,
    pub(crate) issued_at: SystemTime,
    /// Counted from 1.
    pub(crate) attempt: u32,
}

impl CallRequest {
    /// Key of a request that may not be repeated.
    fn key(&self) -> String {
        let issued_at = self.issued_at.duration_since(UNIX_EPOCH).unwrap_or_default();
        format!("{}-{}", issued_at.as_millis(), self.id)
    }
}

/// A caller of one customer.
pub struct TierCaller {
    customer: &'static str,
    client: awc::Client,
    book: RefCell<AddressBook>,
    /// Held while an answer is asked for, so that requests that come meanwhile wait for it.
    asking: Mutex<()>,
    reconnects: Cell<u64>,
}

impl TierCaller {
    /// A caller that asks the seed addresses of `book` first.
    pub fn new(customer: &'static str, book: AddressBook, timeout: Duration) -> TierCaller {
        let client = awc::Client::builder().timeout(timeout).finish();
        TierCaller {
            customer,
            client,
            book: RefCell::new(book),
            asking: Mutex::new(()),
            reconnects: Cell::new(0),
        }
    }

    /// How often another address was asked for because none took a connection.
    pub fn reconnects(&self) -> u64 {
        self.reconnects.get()
    }

    /// Sends one request to one of the tier's addresses.
    pub(crate) async fn send(&self, request: &CallRequest) -> Result<CallReply, CallFailure> {
        let mut failure = CallFailure::NotConnected("no address".to_string());
        for attempt in 0..=MAX_RECONNECTS {
            if attempt > 0 {
                self.reconnects.set(self.reconnects.get() + 1);
            }
            let address = match self.address().await {
                Ok(address) => address,
                Err(error) => {
                    failure = error;
                    continue;
                }
            };
            match self.post(&address, request).await {
                Err(CallFailure::NotConnected(cause)) => {
                    self.book.borrow_mut().drop_answer();
                    failure = CallFailure::NotConnected(cause);
                }
                Err(error) => {
                    self.book.borrow_mut().drop_answer();
                    return Err(error);
                }
                Ok(reply) => return Ok(reply),
            }
        }
        Err(failure)
    }

    /// The kept address, or a new answer's when none is kept any longer.
    async fn address(&self) -> Result<String, CallFailure> {
        let _asking = self.asking.lock().await;
        if let Some(address) = self.book.borrow().current(Instant::now()) {
            return Ok(address);
        }
        let seed = self.book.borrow_mut().next_seed();
        let url = format!("http://{seed}/v1/addresses?customer={}", self.customer);
        let mut response = self.client.get(url).send().await.map_err(classify_error)?;
        let body = response
            .body()
            .limit(MAX_REPLY_BYTES)
            .await
            .map_err(|error| CallFailure::NotConnected(error.to_string()))?;
        let answer: AddressAnswer = serde_json::from_slice(&body)
            .map_err(|error| CallFailure::NotConnected(error.to_string()))?;
        let mut book = self.book.borrow_mut();
        book.keep(answer, Instant::now());
        book.current(Instant::now())
            .ok_or_else(|| CallFailure::NotConnected("empty address answer".to_string()))
    }

    /// Posts a request to `address` and reads the whole reply.
    async fn post(&self, address: &str, request: &CallRequest) -> Result<CallReply, CallFailure> {
        let url = format!("http://{address}/v1/customers/{}/requests", self.customer);
        let mut builder =
            self.client.post(url).insert_header(("X-Request-Id", request.id.as_str()));
        let body = match request.operation {
            OperationKind::Search => json!({"class": request.class, "query": request.text}),
            OperationKind::Execute => {
                builder = builder
                    .insert_header((KEY_HEADER, request.key()))
                    .insert_header((ATTEMPT_HEADER, request.attempt));
                json!({"class": request.class, "body": request.text})
            }
        };
        let mut response = builder.send_json(&body).await.map_err(classify_error)?;
        let status = response.status().as_u16();
        let body = response
            .body()
            .limit(MAX_REPLY_BYTES)
            .await
            .map_err(|error| CallFailure::Cut(error.to_string()))?;
        serde_json::from_slice(&body)
            .map(|answer| CallReply { status, answer })
            .map_err(|error| CallFailure::Unreadable(error.to_string()))
    }
}

/// Tells a connection that was never there from a request that was cut.
fn classify_error(error: SendRequestError) -> CallFailure {
    match is_unsent(&error) {
        true => CallFailure::NotConnected(error.to_string()),
        false => CallFailure::Cut(error.to_string()),
    }
}
