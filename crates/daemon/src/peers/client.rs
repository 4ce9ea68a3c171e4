//! Client connections to peers.

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
use oleanderwind_wire::peer::PermitReply;
use oleanderwind_wire::peer::PermitRequest;
use oleanderwind_wire::peer::ProbeRequest;
use oleanderwind_wire::peer::PushObjectsRequest;
use oleanderwind_wire::peer::QuotaReply;
use oleanderwind_wire::peer::QuotaRequest;
use oleanderwind_wire::peer::TrialReply;
use oleanderwind_wire::peer::TrialRequest;
use oleanderwind_wire::peer::peer_client::PeerClient;
use tokio::time::timeout;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::peers::server::MAX_MESSAGE_BYTES;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for the first attempt of a heartbeat, after which a new connection is tried.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for asking for a trial, which a request of a caller waits for.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for asking for permits, which requests of callers wait for.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for asking for tokens of a quota, which requests of callers wait for.
const QUOTA_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout for fetching a page of objects.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of connections kept for later calls.
const MAX_CHANNELS: usize = 16;

/// Lazily connected channels, one per peer.
#[derive(Default)]
pub(crate) struct PeerClientPool {
    channels: RefCell<HashMap<SocketAddr, CachedChannel>>,
}

/// A channel with the time of its last use.
struct CachedChannel {
    client: PeerClient<Channel>,
    used_at: Instant,
}

/// Calls.
impl PeerClientPool {
    /// Sends a heartbeat; if the first attempt fails, retries it once on a new connection.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        message: ExchangeMessage,
    ) -> Option<ExchangeMessage> {
        let retry_message = message.clone();
        let send = async |mut client: PeerClient<Channel>, message| client.exchange(message).await;
        let first =
            self.call(address, FIRST_HEARTBEAT_TIMEOUT, |client| send(client, message)).await;
        match first {
            Some(reply) => Some(reply),
            None => self.call(address, CALL_TIMEOUT, |client| send(client, retry_message)).await,
        }
    }

    /// Asks a peer to probe a VM, which may be the peer itself; returns whether the VM answered.
    pub(crate) async fn probe(&self, address: SocketAddr, vm: &str) -> bool {
        let request = ProbeRequest { vm: vm.to_owned() };
        let send = async |mut client: PeerClient<Channel>| client.probe(request).await;
        let reply = self.call(address, CALL_TIMEOUT, send).await;
        reply.is_some_and(|reply| reply.answered)
    }

    /// Requests loans.
    pub(crate) async fn borrow(
        &self,
        address: SocketAddr,
        request: BorrowRequest,
    ) -> Option<BorrowReply> {
        let send = async |mut client: PeerClient<Channel>| client.borrow(request).await;
        self.call(address, CALL_TIMEOUT, send).await
    }

    /// Pushes changed objects; a lost push is made up for by pulls after later heartbeats.
    pub(crate) async fn push(&self, address: SocketAddr, objects: Vec<ConfigurationObject>) {
        let request = PushObjectsRequest { objects };
        let send = async |mut client: PeerClient<Channel>| client.push_objects(request).await;
        self.call(address, CALL_TIMEOUT, send).await;
    }

    /// Asks for a trial of suspect work, or reports its end.
    pub(crate) async fn trial(
        &self,
        address: SocketAddr,
        request: TrialRequest,
    ) -> Option<TrialReply> {
        let send = async |mut client: PeerClient<Channel>| client.trial(request).await;
        self.call(address, TRIAL_TIMEOUT, send).await
    }

    /// Asks for permits for calls to a target with a rate limit.
    pub(crate) async fn permit(
        &self,
        address: SocketAddr,
        request: PermitRequest,
    ) -> Option<PermitReply> {
        let send = async |mut client: PeerClient<Channel>| client.permit(request).await;
        self.call(address, PERMIT_TIMEOUT, send).await
    }

    /// Asks for tokens for requests of an organisation with a quota.
    ///
    /// A late reply does not close the connection, as heartbeats tell whether the peer is gone.
    pub(crate) async fn quota(
        &self,
        address: SocketAddr,
        request: QuotaRequest,
    ) -> Option<QuotaReply> {
        let mut client = self.client(address)?;
        match timeout(QUOTA_TIMEOUT, client.quota(request)).await {
            Ok(Ok(response)) => Some(response.into_inner()),
            Ok(Err(status)) => {
                log::debug!("peer {address} issues no quota: {status}");
                None
            }
            Err(_) => {
                log::debug!("peer {address} issues no quota within {QUOTA_TIMEOUT:?}");
                None
            }
        }
    }

    /// Fetches a page of objects.
    pub(crate) async fn fetch(
        &self,
        address: SocketAddr,
        request: FetchObjectsRequest,
    ) -> Option<FetchObjectsReply> {
        let send = async |mut client: PeerClient<Channel>| client.fetch_objects(request).await;
        self.call(address, FETCH_TIMEOUT, send).await
    }
}

/// Connections.
impl PeerClientPool {
    /// Makes one call; if it fails, the connection is dropped.
    async fn call<T, F>(
        &self,
        address: SocketAddr,
        time_limit: Duration,
        call: impl FnOnce(PeerClient<Channel>) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let client = self.client(address)?;
        match timeout(time_limit, call(client)).await {
            Ok(Ok(response)) => Some(response.into_inner()),
            Ok(Err(status)) => {
                log::debug!("call to peer {address} failed: {status}");
                self.channels.borrow_mut().remove(&address);
                None
            }
            Err(_) => {
                log::debug!("call to peer {address} timed out after {time_limit:?}");
                self.channels.borrow_mut().remove(&address);
                None
            }
        }
    }

    /// Returns the cached channel, or a new one that may evict the least recently used.
    fn client(&self, address: SocketAddr) -> Option<PeerClient<Channel>> {
        let mut channels = self.channels.borrow_mut();
        if let Some(cached) = channels.get_mut(&address) {
            cached.used_at = Instant::now();
            return Some(cached.client.clone());
        }
        if channels.len() >= MAX_CHANNELS {
            let least_recent = channels.iter().min_by_key(|(_, cached)| cached.used_at);
            if let Some(evicted) = least_recent.map(|(address, _)| *address) {
                channels.remove(&evicted);
            }
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let channel = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true).connect_lazy();
        let client = PeerClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        channels.insert(address, CachedChannel { client: client.clone(), used_at: Instant::now() });
        Some(client)
    }
}
