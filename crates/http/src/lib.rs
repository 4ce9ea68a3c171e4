//! HTTP/1.1 listeners with limits on connections, body sizes and times, and clients with a single
//! connection.
//!
//! [`HttpListener`] accepts on one address and serves every connection on the current thread with
//! `actix-http`. [`HttpListener::drain`] stops it after open calls have finished or a timeout has
//! passed.

mod answer_body;
mod body;
mod call;
mod caller_guard;
mod caller_stream;
mod client;
mod connection;
mod flow;
mod idempotency;
mod limits;
mod listener;
mod memory_budget;
mod metered_stream;
mod probe;
mod registry;
mod reply;
mod reply_memory;
mod send_error;

pub use call::HttpCall;
pub use call::HttpHandler;
pub use caller_guard::BodyCheck;
pub use caller_guard::CallerGuard;
pub use client::ClientContext;
pub use client::ClientError;
pub use client::ClientExchange;
pub use client::ClientReply;
pub use client::ClientSettings;
pub use client::ConnectObserver;
pub use client::HeadObserver;
pub use client::HttpClient;
pub use flow::CloseRule;
pub use idempotency::ATTEMPT_HEADER;
pub use idempotency::KEY_HEADER;
pub use idempotency::is_first_attempt;
pub use limits::HttpLimits;
pub use listener::HttpListener;
pub use memory_budget::MemoryBudget;
pub use memory_budget::MemoryDecision;
pub use memory_budget::MemoryLedger;
pub use memory_budget::MemoryPurpose;
pub use probe::ListenerState;
pub use probe::probe_listener;
pub use reply::HttpReply;
pub use reply_memory::ReplyMemory;
pub use send_error::is_unsent;
