//! Clients, calls and orders shared by the tests.
#![allow(dead_code, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::http::StatusCode;
use oleanderwind_policy::TargetSpec;
use oleanderwind_standin::CallReport;
use oleanderwind_standin::FaultOrder;
use oleanderwind_standin::FaultScope;
use oleanderwind_standin::SearcherFault;
use oleanderwind_standin::ServiceTimeSettings;
use oleanderwind_standin::StandinServer;
use oleanderwind_standin::StandinSettings;
use oleanderwind_wire::API_PREFIX;
use oleanderwind_wire::ExecuteCall;
use oleanderwind_wire::ShardCall;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Time-out of an expected reply; generous, since the tests do not check its latency.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which a reply that must not arrive counts as missing.
pub(crate) const NO_REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Time longer than any test, in milliseconds.
pub(crate) const FOREVER_MS: u64 = 3_600_000;

/// Status and JSON body of a reply.
#[derive(Clone, Debug)]
pub(crate) struct TestReply {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl TestReply {
    /// Parses the body as a message.
    pub(crate) fn read<T: DeserializeOwned>(&self) -> T {
        serde_json::from_value(self.body.clone()).unwrap()
    }
}

/// Returns settings with a constant service time.
pub(crate) fn settings(median_ms: u64) -> StandinSettings {
    let service_time = ServiceTimeSettings {
        median: Duration::from_millis(median_ms),
        sigma: 0.0,
        straggler_permille: 0,
        straggler_factor: 1,
    };
    StandinSettings { service_time, ..StandinSettings::default() }
}

/// Runs a test against a server of stand-ins on its own actix system.
pub(crate) fn with_server<F, T>(settings: StandinSettings, test: F) -> T
where
    F: AsyncFnOnce(StandinServer) -> T,
{
    actix_rt::System::new().block_on(async { test(StandinServer::start(settings).unwrap()).await })
}

/// Returns a client with a single connection and the time-out for expected replies.
pub(crate) fn client() -> Client {
    client_with(REPLY_TIMEOUT)
}

/// Returns a client with the short time-out for replies that must not arrive.
pub(crate) fn short_timeout_client() -> Client {
    client_with(NO_REPLY_TIMEOUT)
}

/// Returns a client with a single connection and the given time-out.
fn client_with(timeout: Duration) -> Client {
    Client::builder().connector(Connector::new().limit(1)).timeout(timeout).finish()
}

/// Polls until `reached` returns true; panics after [`REPLY_TIMEOUT`].
pub(crate) async fn wait_until(reached: impl Fn() -> bool) {
    let step = Duration::from_millis(2);
    for _ in 0..REPLY_TIMEOUT.as_millis() / step.as_millis() {
        if reached() {
            return;
        }
        actix_rt::time::sleep(step).await;
    }
    panic!("the state was not reached within {REPLY_TIMEOUT:?}");
}

/// Returns the call counts of one searcher.
pub(crate) fn calls(server: &StandinServer, spec: &TargetSpec) -> CallReport {
    server.calls().into_iter().find(|report| report.searcher == spec.target).unwrap()
}

/// Sends a `GET` request.
pub(crate) async fn get(client: &Client, url: String) -> Option<TestReply> {
    send(client, "GET", url, &Value::Null).await
}

/// Sends a JSON body; returns `None` if no complete reply arrives.
pub(crate) async fn send<T: Serialize>(
    client: &Client,
    method: &str,
    url: String,
    body: &T,
) -> Option<TestReply> {
    let request = client.request(method.parse().unwrap(), url);
    let mut reply = request.send_json(body).await.ok()?;
    let status: StatusCode = reply.status();
    let bytes =
        actix_rt::time::timeout(REPLY_TIMEOUT, reply.body().limit(2 << 20)).await.ok()?.ok()?;
    let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    Some(TestReply { status: status.as_u16(), body })
}

/// Returns the URL of a path of the Object API.
pub(crate) fn object_url(server: &StandinServer, path: &str) -> String {
    format!("http://{}{API_PREFIX}/{path}", server.platform_address())
}

/// Returns the URL of a path at an address.
pub(crate) fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

/// Returns the first searcher of a service.
pub(crate) fn searcher(server: &StandinServer, service: &str) -> TargetSpec {
    server.targets().into_iter().find(|spec| &*spec.service == service).unwrap()
}

/// Injects a fault into one searcher.
pub(crate) fn apply(server: &StandinServer, spec: &TargetSpec, fault: SearcherFault) {
    let scope = FaultScope::Searcher(spec.target.clone());
    let report = server.apply(&FaultOrder { scope, fault }).unwrap();
    assert_eq!(report.searchers, 1);
}

/// Returns a search call for shard 0 of the first snapshot.
pub(crate) fn shard_call(call_id: u64) -> ShardCall {
    ShardCall {
        call_id,
        customer: "tsagaan-ordon".into(),
        shard: 0,
        index_version: 1,
        deadline_ms: FOREVER_MS,
        query: "budget law".to_owned(),
    }
}

/// Returns an execute call.
pub(crate) fn execute_call(call_id: u64) -> ExecuteCall {
    ExecuteCall {
        call_id,
        customer: "tsagaan-ordon".into(),
        idempotency_key: format!("key-{call_id}"),
        deadline_ms: FOREVER_MS,
        body: "enter".to_owned(),
    }
}

/// Sends a search call.
pub(crate) async fn search(client: &Client, spec: &TargetSpec, call_id: u64) -> Option<TestReply> {
    send(client, "POST", url(spec.address, "/v1/search"), &shard_call(call_id)).await
}

/// Sends an execute call.
pub(crate) async fn execute(client: &Client, spec: &TargetSpec, call_id: u64) -> Option<TestReply> {
    send(client, "POST", url(spec.address, "/v1/execute"), &execute_call(call_id)).await
}
