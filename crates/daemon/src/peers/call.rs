//! Peer calls that tonic's handlers pass to the service's thread.

use oleanderwind_wire::peer::BorrowReply;
use oleanderwind_wire::peer::BorrowRequest;
use oleanderwind_wire::peer::ConfigurationObject;
use oleanderwind_wire::peer::ExchangeMessage;
use oleanderwind_wire::peer::FetchObjectsReply;
use oleanderwind_wire::peer::FetchObjectsRequest;
use oleanderwind_wire::peer::PermitReply;
use oleanderwind_wire::peer::PermitRequest;
use oleanderwind_wire::peer::ProbeReply;
use oleanderwind_wire::peer::PushObjectsReply;
use oleanderwind_wire::peer::QuotaReply;
use oleanderwind_wire::peer::QuotaRequest;
use oleanderwind_wire::peer::TrialReply;
use oleanderwind_wire::peer::TrialRequest;
use tokio::sync::oneshot;

/// Loan request from a peer.
pub(crate) struct IncomingLoanRequest {
    pub(crate) request: BorrowRequest,
    pub(crate) reply: oneshot::Sender<BorrowReply>,
}

/// Call from a peer; dropping the reply sender fails the call at the peer.
pub(crate) enum PeerCall {
    /// Heartbeat.
    Exchange { message: ExchangeMessage, reply: oneshot::Sender<ExchangeMessage> },
    /// Request to probe a VM on the peer's behalf.
    Probe { vm: String, reply: oneshot::Sender<ProbeReply> },
    /// Request to lend part of customers' rates.
    Borrow(IncomingLoanRequest),
    /// Push of changed objects.
    Push { objects: Vec<ConfigurationObject>, reply: oneshot::Sender<PushObjectsReply> },
    /// Request for a trial of suspect work, or report of its end.
    Trial { request: TrialRequest, reply: oneshot::Sender<TrialReply> },
    /// Request for permits for calls to a target with a rate limit.
    Permit { request: PermitRequest, reply: oneshot::Sender<PermitReply> },
    /// Request for tokens for requests of an organisation with a quota.
    Quota { request: QuotaRequest, reply: oneshot::Sender<QuotaReply> },
    /// Request for a page of objects.
    Fetch { request: FetchObjectsRequest, reply: oneshot::Sender<FetchObjectsReply> },
}
