//! Client of the tier: looks up the tier's addresses, caches one and sends requests to it.

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

/// Maximum size of a reply body, in bytes.
const MAX_REPLY_BYTES: usize = 8 << 20;
/// Maximum number of times a request asks for an address again because it could not connect.
const MAX_RECONNECTS: usize = 3;

/// Reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct CallReply {
    /// HTTP status.
    pub status: u16,
    /// Decoded body.
    pub answer: CallerAnswer,
}

/// Reason why a request has no readable reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No address could be looked up or connected to; the request was not sent.
    NotConnected(String),
    /// The connection was lost or timed out after the request may have been sent.
    ConnectionLost(String),
    /// The reply body is not a valid JSON answer.
    Unreadable(String),
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallFailure::NotConnected(cause) => {
                write!(f, "could not connect: {cause}; check the seed addresses")
            }
            CallFailure::ConnectionLost(cause) => {
                write!(f, "connection lost or timed out: {cause}")
            }
            CallFailure::Unreadable(cause) => write!(f, "invalid reply body: {cause}"),
        }
    }
}

/// Request as the caller sends it. A repeat is the same request with the next attempt number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallRequest {
    pub(crate) id: String,
    pub(crate) class: &'static str,
    pub(crate) operation: OperationKind,
    pub(crate) text: String,
    pub(crate) issued_at: SystemTime,
    /// Number of the attempt, counted from 1.
    pub(crate) attempt: u32,
}

impl CallRequest {
    /// Returns the idempotency key: the issue time in milliseconds and the request id.
    fn key(&self) -> String {
        let issued_at = self.issued_at.duration_since(UNIX_EPOCH).unwrap_or_default();
        format!("{}-{}", issued_at.as_millis(), self.id)
    }
}

/// Client that sends the requests of one customer.
pub struct TierCaller {
    customer: &'static str,
    client: awc::Client,
    address_book: RefCell<AddressBook>,
    /// Held during an address lookup, so that concurrent requests wait for its result instead of
    /// starting their own.
    lookup_lock: Mutex<()>,
    reconnects: Cell<u64>,
}

impl TierCaller {
    /// Creates a caller that looks up addresses at the seed addresses of `address_book`.
    pub fn new(customer: &'static str, address_book: AddressBook, timeout: Duration) -> TierCaller {
        let client = awc::Client::builder().timeout(timeout).finish();
        TierCaller {
            customer,
            client,
            address_book: RefCell::new(address_book),
            lookup_lock: Mutex::new(()),
            reconnects: Cell::new(0),
        }
    }

    /// Returns how often this caller asked for an address again because it had got none or could
    /// not connect to it.
    pub fn reconnects(&self) -> u64 {
        self.reconnects.get()
    }

    /// Sends one request to the tier. Reconnects up to [`MAX_RECONNECTS`] times, but only while
    /// the request has not been sent.
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
                    self.address_book.borrow_mut().invalidate();
                    failure = CallFailure::NotConnected(cause);
                }
                Err(error) => {
                    self.address_book.borrow_mut().invalidate();
                    return Err(error);
                }
                Ok(reply) => return Ok(reply),
            }
        }
        Err(failure)
    }

    /// Returns the cached address, or looks up a new one if none is cached or it has expired.
    async fn address(&self) -> Result<String, CallFailure> {
        let _guard = self.lookup_lock.lock().await;
        if let Some(address) = self.address_book.borrow().current(Instant::now()) {
            return Ok(address);
        }
        let seed = self.address_book.borrow_mut().next_seed();
        let url = format!("http://{seed}/v1/addresses?customer={}", self.customer);
        let mut response = self.client.get(url).send().await.map_err(classify_error)?;
        let body = response
            .body()
            .limit(MAX_REPLY_BYTES)
            .await
            .map_err(|error| CallFailure::NotConnected(error.to_string()))?;
        let answer: AddressAnswer = serde_json::from_slice(&body)
            .map_err(|error| CallFailure::NotConnected(error.to_string()))?;
        let mut address_book = self.address_book.borrow_mut();
        address_book.store(answer, Instant::now());
        address_book
            .current(Instant::now())
            .ok_or_else(|| CallFailure::NotConnected("empty address list".to_string()))
    }

    /// Posts a request to `address` and reads the complete reply.
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
            .map_err(|error| CallFailure::ConnectionLost(error.to_string()))?;
        serde_json::from_slice(&body)
            .map(|answer| CallReply { status, answer })
            .map_err(|error| CallFailure::Unreadable(error.to_string()))
    }
}

/// Distinguishes a request that was never sent from one that may have been sent.
fn classify_error(error: SendRequestError) -> CallFailure {
    match is_unsent(&error) {
        true => CallFailure::NotConnected(error.to_string()),
        false => CallFailure::ConnectionLost(error.to_string()),
    }
}
