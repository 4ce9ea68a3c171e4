//! A caller for the proofs.

use std::time::Duration;

use awc::Client;
use oleanderwind_wire::AddressAnswer;
use oleanderwind_wire::CallerAnswer;
use serde_json::Value;
use serde_json::json;

/// Longest wait for any reply.
const REPLY_PATIENCE: Duration = Duration::from_secs(10);

/// Sends requests; each caller keeps its own connections.
#[derive(Clone)]
pub(crate) struct TestCaller {
    client: Client,
}

impl TestCaller {
    pub(crate) fn new() -> TestCaller {
        TestCaller { client: Client::builder().timeout(REPLY_PATIENCE).finish() }
    }

    /// Sends a search whose text is its request id too; `None` when the request was cut.
    pub(crate) async fn search(
        &self,
        vm: &str,
        customer: &str,
        class: &str,
        query: &str,
    ) -> Option<CallerAnswer> {
        let body = json!({ "class": class, "query": query });
        self.request(vm, customer, &[("x-request-id", query)], &body).await
    }

    /// Sends an operation under a key; `None` when the request was cut.
    pub(crate) async fn execute(
        &self,
        vm: &str,
        customer: &str,
        class: &str,
        key: &str,
        attempt: u32,
    ) -> Option<CallerAnswer> {
        let body = json!({ "class": class, "body": "bed 7" });
        let attempt = attempt.to_string();
        let headers = [("idempotency-key", key), ("idempotency-attempt", attempt.as_str())];
        self.request(vm, customer, &headers, &body).await
    }

    /// Asks a VM for addresses.
    pub(crate) async fn addresses(&self, vm: &str, customer: &str) -> Option<AddressAnswer> {
        let url = format!("http://{vm}/v1/addresses?customer={customer}");
        self.client.get(url).send().await.ok()?.json().await.ok()
    }

    /// Gets JSON from any listener.
    pub(crate) async fn get(&self, address: &str, path: &str) -> Option<Value> {
        self.client.get(format!("http://{address}{path}")).send().await.ok()?.json().await.ok()
    }

    /// Gets text from any listener.
    pub(crate) async fn text(&self, address: &str, path: &str) -> Option<String> {
        let mut reply = self.client.get(format!("http://{address}{path}")).send().await.ok()?;
        let body = reply.body().await.ok()?;
        String::from_utf8(body.to_vec()).ok()
    }

    /// Puts JSON to any listener and reads JSON.
    pub(crate) async fn put(&self, address: &str, path: &str, body: &Value) -> Option<Value> {
        let request = self.client.put(format!("http://{address}{path}"));
        request.send_json(body).await.ok()?.json().await.ok()
    }

    /// Posts JSON to any listener and reads JSON, if the reply is JSON.
    pub(crate) async fn post(&self, address: &str, path: &str, body: &Value) -> Option<Value> {
        let request = self.client.post(format!("http://{address}{path}"));
        request.send_json(body).await.ok()?.json().await.ok()
    }

    /// Whether the VM says that it is ready.
    pub(crate) async fn is_ready(&self, vm: &str) -> bool {
        let reply = self.client.get(format!("http://{vm}/readyz")).send().await;
        reply.is_ok_and(|reply| reply.status().is_success())
    }

    pub(crate) async fn request(
        &self,
        vm: &str,
        customer: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Option<CallerAnswer> {
        let mut request = self.client.post(format!("http://{vm}/v1/customers/{customer}/requests"));
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        request.send_json(body).await.ok()?.json().await.ok()
    }
}
