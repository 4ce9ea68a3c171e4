//! The listener for peers.

use std::net::SocketAddr;

use oleanderwind_wire::peer::BorrowReply;
use oleanderwind_wire::peer::BorrowRequest;
use oleanderwind_wire::peer::ExchangeMessage;
use oleanderwind_wire::peer::FetchObjectsReply;
use oleanderwind_wire::peer::FetchObjectsRequest;
use oleanderwind_wire::peer::ForwardReply;
use oleanderwind_wire::peer::ForwardRequest;
use oleanderwind_wire::peer::ProbeReply;
use oleanderwind_wire::peer::ProbeRequest;
use oleanderwind_wire::peer::PushObjectsReply;
use oleanderwind_wire::peer::PushObjectsRequest;
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

use crate::peers::call::BorrowAsk;
use crate::peers::call::PeerCall;

/// Calls that wait for the service's thread; more are refused.
const WAITING_CALLS: usize = 256;
/// Longest message in bytes; one object may be a whole snapshot's manifest.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 * 1_024 * 1_024;

/// Hands calls over to the service's thread.
struct PeerHandler {
    calls: mpsc::Sender<PeerCall>,
}

/// A bound listener that does not serve yet.
pub(crate) struct PeerListener {
    listener: TcpListener,
}

impl PeerListener {
    /// Binds the peers' address.
    pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<PeerListener> {
        Ok(PeerListener { listener: TcpListener::bind(address).await? })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` is dropped or sent; calls come out of the result.
    pub(crate) fn serve(self, stop: oneshot::Receiver<()>) -> mpsc::Receiver<PeerCall> {
        let (sender, receiver) = mpsc::channel(WAITING_CALLS);
        let handler = PeerServer::new(PeerHandler { calls: sender })
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let incoming = TcpIncoming::from(self.listener).with_nodelay(Some(true));
        tokio::spawn(async move {
            let stopped = async { drop(stop.await) };
            let server = Server::builder().add_service(handler);
            if let Err(error) = server.serve_with_incoming_shutdown(incoming, stopped).await {
                log::error!("the peers' listener failed: {error}");
            }
        });
        receiver
    }
}

impl PeerHandler {
    /// Passes a call on and waits for its reply.
    async fn pass<T>(
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
        self.pass(|reply| PeerCall::Exchange { message, reply }).await
    }

    async fn probe(&self, request: Request<ProbeRequest>) -> Result<Response<ProbeReply>, Status> {
        let vm = request.into_inner().vm;
        self.pass(|reply| PeerCall::Probe { vm, reply }).await
    }

    async fn borrow(
        &self,
        request: Request<BorrowRequest>,
    ) -> Result<Response<BorrowReply>, Status> {
        let request = request.into_inner();
        self.pass(|reply| PeerCall::Borrow(BorrowAsk { request, reply })).await
    }

    async fn push_objects(
        &self,
        request: Request<PushObjectsRequest>,
    ) -> Result<Response<PushObjectsReply>, Status> {
        let objects = request.into_inner().objects;
        self.pass(|reply| PeerCall::Push { objects, reply }).await
    }

    async fn fetch_objects(
        &self,
        request: Request<FetchObjectsRequest>,
    ) -> Result<Response<FetchObjectsReply>, Status> {
        let request = request.into_inner();
        self.pass(|reply| PeerCall::Fetch { request, reply }).await
    }

    async fn forward(
        &self,
        _request: Request<ForwardRequest>,
    ) -> Result<Response<ForwardReply>, Status> {
        Err(Status::unimplemented("this version forwards no requests"))
    }
}
