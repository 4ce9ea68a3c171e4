//! HTTP/1.1 listeners with bounded connections, bodies and times, and single client connections.
//!
//! [`HttpListener`] accepts on one address and serves every connection on the current thread with
//! `actix-http`. [`HttpListener::drain`] ends it without cutting a request.

mod body;
mod call;
mod connection;
mod lane;
mod limits;
mod listener;
mod registry;
mod reply;
mod retry;
mod sending;

pub use call::HttpCall;
pub use call::HttpHandler;
pub use lane::HttpLane;
pub use lane::LaneError;
pub use lane::LaneExchange;
pub use lane::LaneReply;
pub use lane::LaneSettings;
pub use limits::HttpLimits;
pub use listener::HttpListener;
pub use reply::HttpReply;
pub use retry::ATTEMPT_HEADER;
pub use retry::KEY_HEADER;
pub use retry::is_first_try;
pub use sending::is_unsent;
