//! Calls of peers on their way from tonic's handlers to the service's thread.

use oleanderwind_wire::peer::BorrowReply;
use oleanderwind_wire::peer::BorrowRequest;
use oleanderwind_wire::peer::ConfigurationObject;
use oleanderwind_wire::peer::ExchangeMessage;
use oleanderwind_wire::peer::FetchObjectsReply;
use oleanderwind_wire::peer::FetchObjectsRequest;
use oleanderwind_wire::peer::ProbeReply;
use oleanderwind_wire::peer::PushObjectsReply;
use tokio::sync::oneshot;

/// A peer that asks for loans.
pub(crate) struct BorrowAsk {
    pub(crate) request: BorrowRequest,
    pub(crate) reply: oneshot::Sender<BorrowReply>,
}

/// One call; a dropped reply is an error at the caller.
pub(crate) enum PeerCall {
    /// A heartbeat.
    Exchange { message: ExchangeMessage, reply: oneshot::Sender<ExchangeMessage> },
    /// Try another VM.
    Probe { vm: String, reply: oneshot::Sender<ProbeReply> },
    /// Lend part of customers' rates.
    Borrow(BorrowAsk),
    /// Changed objects.
    Push { objects: Vec<ConfigurationObject>, reply: oneshot::Sender<PushObjectsReply> },
    /// A page of objects.
    Fetch { request: FetchObjectsRequest, reply: oneshot::Sender<FetchObjectsReply> },
}
