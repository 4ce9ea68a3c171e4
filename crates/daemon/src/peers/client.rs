//! Connections to peers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_wire::peer::BorrowReply;
use oleanderwind_wire::peer::BorrowRequest;
use oleanderwind_wire::peer::ConfigurationObject;
use oleanderwind_wire::peer::ExchangeMessage;
use oleanderwind_wire::peer::FetchObjectsReply;
use oleanderwind_wire::peer::FetchObjectsRequest;
use oleanderwind_wire::peer::ProbeRequest;
use oleanderwind_wire::peer::PushObjectsRequest;
use oleanderwind_wire::peer::peer_client::PeerClient;
use tokio::time::timeout;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::peers::server::MAX_MESSAGE_BYTES;

/// Longest time for a new connection.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Longest time for a heartbeat over a connection, after which a fresh one is tried.
const FIRST_TRY: Duration = Duration::from_millis(400);
/// Longest time for a call.
const CALL_TIME: Duration = Duration::from_millis(800);
/// Longest time for a page of objects.
const FETCH_TIME: Duration = Duration::from_secs(2);
/// Connections kept for later calls.
const KEPT_CHANNELS: usize = 16;

/// Lazily connected channels, one a peer.
#[derive(Default)]
pub(crate) struct PeerClients {
    channels: RefCell<HashMap<SocketAddr, KeptChannel>>,
}

/// A channel with the time of its last use.
struct KeptChannel {
    client: PeerClient<Channel>,
    used_at: Instant,
}

/// Calls.
impl PeerClients {
    /// Sends a heartbeat; a connection that stays silent is replaced and tried once more.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        message: ExchangeMessage,
    ) -> Option<ExchangeMessage> {
        let again = message.clone();
        let send = async |mut client: PeerClient<Channel>, message| client.exchange(message).await;
        let first = self.call(address, FIRST_TRY, |client| send(client, message)).await;
        match first {
            Some(reply) => Some(reply),
            None => self.call(address, CALL_TIME, |client| send(client, again)).await,
        }
    }

    /// Asks a peer to try a VM, or whether it is that VM.
    pub(crate) async fn probe(&self, address: SocketAddr, vm: &str) -> bool {
        let request = ProbeRequest { vm: vm.to_owned() };
        let send = async |mut client: PeerClient<Channel>| client.probe(request).await;
        let reply = self.call(address, CALL_TIME, send).await;
        reply.is_some_and(|reply| reply.answered)
    }

    /// Asks for loans.
    pub(crate) async fn borrow(
        &self,
        address: SocketAddr,
        request: BorrowRequest,
    ) -> Option<BorrowReply> {
        let send = async |mut client: PeerClient<Channel>| client.borrow(request).await;
        self.call(address, CALL_TIME, send).await
    }

    /// Passes changed objects on; a loss is made good by later heartbeats.
    pub(crate) async fn push(&self, address: SocketAddr, objects: Vec<ConfigurationObject>) {
        let request = PushObjectsRequest { objects };
        let send = async |mut client: PeerClient<Channel>| client.push_objects(request).await;
        self.call(address, CALL_TIME, send).await;
    }

    /// Asks for a page of objects.
    pub(crate) async fn fetch(
        &self,
        address: SocketAddr,
        request: FetchObjectsRequest,
    ) -> Option<FetchObjectsReply> {
        let send = async |mut client: PeerClient<Channel>| client.fetch_objects(request).await;
        self.call(address, FETCH_TIME, send).await
    }
}

/// Connections.
impl PeerClients {
    /// Makes one call; the connection of a failed one is not used again.
    async fn call<T, F>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: impl FnOnce(PeerClient<Channel>) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let client = self.client(address)?;
        match timeout(limit, call(client)).await {
            Ok(Ok(response)) => Some(response.into_inner()),
            Ok(Err(status)) => {
                log::debug!("peer {address}: {status}");
                self.channels.borrow_mut().remove(&address);
                None
            }
            Err(_) => {
                log::debug!("peer {address}: no answer in time");
                self.channels.borrow_mut().remove(&address);
                None
            }
        }
    }

    /// The kept channel, or a new one in place of the one unused for longest.
    fn client(&self, address: SocketAddr) -> Option<PeerClient<Channel>> {
        let mut channels = self.channels.borrow_mut();
        if let Some(kept) = channels.get_mut(&address) {
            kept.used_at = Instant::now();
            return Some(kept.client.clone());
        }
        if channels.len() >= KEPT_CHANNELS {
            let oldest = channels.iter().min_by_key(|(_, kept)| kept.used_at);
            if let Some(oldest) = oldest.map(|(address, _)| *address) {
                channels.remove(&oldest);
            }
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let channel = endpoint.connect_timeout(CONNECT_TIME).tcp_nodelay(true).connect_lazy();
        let client = PeerClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        channels.insert(address, KeptChannel { client: client.clone(), used_at: Instant::now() });
        Some(client)
    }
}
