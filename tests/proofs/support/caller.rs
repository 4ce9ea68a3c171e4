//! An HTTP client of the fleet.

use std::time::Duration;

use awc::Client;
use oleanderwind_wire::AddressAnswer;
use oleanderwind_wire::CallerAnswer;
use serde_json::Value;
use serde_json::json;

/// Time-out of every request.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends requests over its own connection pool.
#[derive(Clone)]
pub(crate) struct TestCaller {
    client: Client,
}

impl TestCaller {
    pub(crate) fn new() -> TestCaller {
        TestCaller { client: Client::builder().timeout(REPLY_TIMEOUT).finish() }
    }

    /// Sends a search with its query as request id; returns `None` when no valid answer arrives.
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

    /// Sends an operation under an idempotency key; returns `None` when no valid answer arrives.
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

    /// Requests the addresses of the fleet from a VM.
    pub(crate) async fn addresses(&self, vm: &str, customer: &str) -> Option<AddressAnswer> {
        let url = format!("http://{vm}/v1/addresses?customer={customer}");
        self.client.get(url).send().await.ok()?.json().await.ok()
    }

    /// Sends a GET request to any listener and reads a JSON reply.
    pub(crate) async fn get(&self, address: &str, path: &str) -> Option<Value> {
        self.client.get(format!("http://{address}{path}")).send().await.ok()?.json().await.ok()
    }

    /// Sends a GET request to any listener and reads a text reply.
    pub(crate) async fn text(&self, address: &str, path: &str) -> Option<String> {
        let mut reply = self.client.get(format!("http://{address}{path}")).send().await.ok()?;
        let body = reply.body().await.ok()?;
        String::from_utf8(body.to_vec()).ok()
    }

    /// Sends a PUT request with a JSON body and reads a JSON reply.
    pub(crate) async fn put(&self, address: &str, path: &str, body: &Value) -> Option<Value> {
        let request = self.client.put(format!("http://{address}{path}"));
        request.send_json(body).await.ok()?.json().await.ok()
    }

    /// Sends a POST request with a JSON body; returns `None` when the reply is not JSON.
    pub(crate) async fn post(&self, address: &str, path: &str, body: &Value) -> Option<Value> {
        let request = self.client.post(format!("http://{address}{path}"));
        request.send_json(body).await.ok()?.json().await.ok()
    }

    /// Returns whether the readiness check of a VM succeeds.
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
