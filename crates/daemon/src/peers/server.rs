//! Listener for peer calls.

use std::net::SocketAddr;

use oleanderwind_wire::peer::BorrowReply;
use oleanderwind_wire::peer::BorrowRequest;
use oleanderwind_wire::peer::ExchangeMessage;
use oleanderwind_wire::peer::FetchObjectsReply;
use oleanderwind_wire::peer::FetchObjectsRequest;
use oleanderwind_wire::peer::ForwardReply;
use oleanderwind_wire::peer::ForwardRequest;
use oleanderwind_wire::peer::PermitReply;
use oleanderwind_wire::peer::PermitRequest;
use oleanderwind_wire::peer::ProbeReply;
use oleanderwind_wire::peer::ProbeRequest;
use oleanderwind_wire::peer::PushObjectsReply;
use oleanderwind_wire::peer::PushObjectsRequest;
use oleanderwind_wire::peer::QuotaReply;
use oleanderwind_wire::peer::QuotaRequest;
use oleanderwind_wire::peer::TrialReply;
use oleanderwind_wire::peer::TrialRequest;
use oleanderwind_wire::peer::peer_server::Peer;
use oleanderwind_wire::peer::peer_server::PeerServer;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::peers::call::IncomingLoanRequest;
use crate::peers::call::PeerCall;

/// Capacity of the queue of calls to the service's thread; calls beyond it are refused.
const CALL_QUEUE_CAPACITY: usize = 256;
/// Maximum size of a message, in bytes; one object may be the manifest of a whole snapshot.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 * 1_024 * 1_024;

/// Passes calls to the service's thread.
struct PeerHandler {
    calls: mpsc::Sender<PeerCall>,
}

/// Bound listener that does not serve yet.
pub(crate) struct PeerListener {
    listener: TcpListener,
}

impl PeerListener {
    /// Binds the peers' address.
    pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<PeerListener> {
        Ok(PeerListener { listener: TcpListener::bind(address).await? })
    }

    /// Returns the address that it is bound to.
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` is sent or dropped; returns the receiver of the calls.
    pub(crate) fn serve(self, stop: oneshot::Receiver<()>) -> mpsc::Receiver<PeerCall> {
        let (sender, receiver) = mpsc::channel(CALL_QUEUE_CAPACITY);
        let handler = PeerServer::new(PeerHandler { calls: sender })
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let incoming = TcpIncoming::from(self.listener).with_nodelay(Some(true));
        tokio::spawn(async move {
            let stopped = async { drop(stop.await) };
            let server = Server::builder().add_service(handler);
            if let Err(error) = server.serve_with_incoming_shutdown(incoming, stopped).await {
                log::error!("listener for peers failed: {error}");
            }
        });
        receiver
    }
}

impl PeerHandler {
    /// Queues a call for the service's thread and waits for the reply.
    ///
    /// Fails if the queue is full or the call is dropped without a reply.
    async fn dispatch<T>(
        &self,
        build: impl FnOnce(oneshot::Sender<T>) -> PeerCall,
    ) -> Result<Response<T>, Status> {
        let (reply, answer) = oneshot::channel();
        let sent = self.calls.try_send(build(reply));
        sent.map_err(|_| Status::resource_exhausted("too many calls wait here; try another VM"))?;
        let answer = answer.await;
        answer.map(Response::new).map_err(|_| Status::unavailable("the call was not taken"))
    }
}

#[tonic::async_trait]
impl Peer for PeerHandler {
    async fn exchange(
        &self,
        request: Request<ExchangeMessage>,
    ) -> Result<Response<ExchangeMessage>, Status> {
        let message = request.into_inner();
        self.dispatch(|reply| PeerCall::Exchange { message, reply }).await
    }

    async fn probe(&self, request: Request<ProbeRequest>) -> Result<Response<ProbeReply>, Status> {
        let vm = request.into_inner().vm;
        self.dispatch(|reply| PeerCall::Probe { vm, reply }).await
    }

    async fn borrow(
        &self,
        request: Request<BorrowRequest>,
    ) -> Result<Response<BorrowReply>, Status> {
        let request = request.into_inner();
        self.dispatch(|reply| PeerCall::Borrow(IncomingLoanRequest { request, reply })).await
    }

    async fn push_objects(
        &self,
        request: Request<PushObjectsRequest>,
    ) -> Result<Response<PushObjectsReply>, Status> {
        let objects = request.into_inner().objects;
        self.dispatch(|reply| PeerCall::Push { objects, reply }).await
    }

    async fn fetch_objects(
        &self,
        request: Request<FetchObjectsRequest>,
    ) -> Result<Response<FetchObjectsReply>, Status> {
        let request = request.into_inner();
        self.dispatch(|reply| PeerCall::Fetch { request, reply }).await
    }

    async fn trial(&self, request: Request<TrialRequest>) -> Result<Response<TrialReply>, Status> {
        let request = request.into_inner();
        self.dispatch(|reply| PeerCall::Trial { request, reply }).await
    }

    async fn permit(
        &self,
        request: Request<PermitRequest>,
    ) -> Result<Response<PermitReply>, Status> {
        let request = request.into_inner();
        self.dispatch(|reply| PeerCall::Permit { request, reply }).await
    }

    async fn quota(&self, request: Request<QuotaRequest>) -> Result<Response<QuotaReply>, Status> {
        let request = request.into_inner();
        self.dispatch(|reply| PeerCall::Quota { request, reply }).await
    }

    async fn forward(
        &self,
        _request: Request<ForwardRequest>,
    ) -> Result<Response<ForwardReply>, Status> {
        Err(Status::unimplemented("this version forwards no requests"))
    }
}
