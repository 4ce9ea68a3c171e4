//! The HTTP listener for operators.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use actix_http::Method;
use actix_http::StatusCode;
use futures_util::FutureExt;
use oleanderwind_http::HttpCall;
use oleanderwind_http::HttpLimits;
use oleanderwind_http::HttpListener;
use oleanderwind_http::HttpReply;
use oleanderwind_policy::FindingList;
use oleanderwind_wire::ContractDocument;
use oleanderwind_wire::ContractEdit;
use oleanderwind_wire::EditVerdict;
use oleanderwind_wire::VmStatus;
use serde_json::Value;

use crate::admin::edit::ContractEditor;
use crate::admin::edit::check_contract;
use crate::admin::explain::explain_route;
use crate::admin::history::read_history;
use crate::admin::quarantine::WorkOrder;
use crate::admin::quarantine::change_work;
use crate::admin::quarantine::list_works;
use crate::admin::reply::invalid_report;
use crate::admin::reply::report_reply;
use crate::admin::reply::report_without_details;
use crate::directory::DirectoryService;
use crate::edge::ObjectKind;
use crate::edge::PlatformError;
use crate::kernel::Kernel;
use crate::metrics::MetricsService;
use crate::outcomes::OutcomeService;
use crate::peers::PeerService;
use crate::platform::PlatformService;

/// Maximum time that a drain waits for open calls of operators.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// The HTTP service for operators.
pub(crate) struct AdminService {
    listener: HttpListener,
}

/// State shared by the handlers.
struct AdminState {
    kernel: Rc<Kernel>,
    directory: Rc<DirectoryService>,
    peers: Rc<PeerService>,
    platform: Rc<PlatformService>,
    outcomes: Rc<OutcomeService>,
    metrics: Rc<MetricsService>,
    edits: Cell<u64>,
}

impl AdminService {
    /// Binds the address for operators and starts to serve.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or a service is missing.
    pub(crate) async fn start(kernel: &Rc<Kernel>) -> eyre::Result<AdminService> {
        let state = Rc::new(AdminState {
            kernel: kernel.clone(),
            directory: kernel.directory()?,
            peers: kernel.peers()?,
            platform: kernel.platform()?,
            outcomes: kernel.outcomes()?,
            metrics: kernel.metrics()?,
            edits: Cell::new(0),
        });
        let handler = Rc::new(move |call| serve(state.clone(), call).boxed_local());
        let address = kernel.settings().admin_listen;
        let listener = HttpListener::bind(address, HttpLimits::default(), handler).await?;
        Ok(AdminService { listener })
    }

    /// Returns the address that the service listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops the listener, after waiting for open calls.
    pub(crate) async fn drain(&self) {
        self.listener.drain(DRAIN_TIMEOUT).await;
    }
}

async fn serve(state: Rc<AdminState>, call: HttpCall) -> HttpReply {
    if call.method != Method::GET && !state.is_allowed(&call) {
        return HttpReply::text(StatusCode::UNAUTHORIZED, "give the operator token as a bearer\n");
    }
    match (&call.method, call.segments().as_slice()) {
        (&Method::GET, ["v1", "status"]) => HttpReply::json(StatusCode::OK, &state.status()),
        (&Method::GET, ["v1", "routing"]) => state.routing(),
        (&Method::GET, ["v1", "fleet"]) => HttpReply::json(StatusCode::OK, &state.peers.fleet()),
        (&Method::GET, ["v1", "contracts"]) => state.list_contracts(),
        (&Method::GET, ["v1", "contracts", customer]) => state.get_contract(customer).await,
        (&Method::GET, ["v1", "contracts", customer, "history"]) => state.history(customer).await,
        (&Method::POST, ["v1", "contracts", "validate"]) => validate(&call),
        (&Method::PUT, ["v1", "contracts", customer]) => state.put_contract(customer, &call).await,
        (&Method::GET, ["v1", "outcomes"]) => {
            HttpReply::json(StatusCode::OK, &state.outcomes.report(&state.directory))
        }
        (&Method::GET, ["v1", "explain"]) => state.explain(&call),
        (&Method::GET, ["v1", "quarantine"]) => list_works(&state.peers),
        (&Method::POST, ["v1", "quarantine", work, "clear"]) => {
            change_work(&state.peers, work, WorkOrder::Clear)
        }
        (&Method::POST, ["v1", "quarantine", work, "block"]) => {
            change_work(&state.peers, work, WorkOrder::Block)
        }
        (&Method::POST, ["v1", "drain"]) => state.drain(),
        (&Method::GET, ["metrics"]) => state.metrics.reply(),
        _ => not_found(&format!("{} {} is not served here", call.method, call.path)),
    }
}

/// Handlers for contracts.
impl AdminState {
    fn list_contracts(&self) -> HttpReply {
        let entries = self.directory.contracts().into_iter();
        let documents: Vec<ContractDocument> = entries
            .map(|entry| ContractDocument {
                customer: entry.contract.customer.clone(),
                revision: entry.revision,
                contract: entry.raw.as_ref().clone(),
            })
            .collect();
        HttpReply::json(StatusCode::OK, &documents)
    }

    /// Returns the contract from the platform, so that an edit is based on the newest version.
    async fn get_contract(&self, customer: &str) -> HttpReply {
        let object = match self.platform.get(ObjectKind::Contracts, customer).await {
            Ok(object) => object,
            Err(error) => return platform_reply(&error),
        };
        match crate::admin::edit::read_document(&object) {
            Some(document) => HttpReply::json(StatusCode::OK, &document),
            None => not_found(&format!("the object \"{customer}\" is not a contract")),
        }
    }

    async fn history(&self, customer: &str) -> HttpReply {
        match self.platform.get(ObjectKind::Contracts, customer).await {
            Ok(object) => HttpReply::json(StatusCode::OK, &read_history(&object)),
            Err(error) => platform_reply(&error),
        }
    }

    async fn put_contract(&self, customer: &str, call: &HttpCall) -> HttpReply {
        let edit: ContractEdit = match serde_json::from_slice(&call.body) {
            Ok(edit) => edit,
            Err(error) => return report_reply(&invalid_report(body_finding(&error))),
        };
        let token = self.new_token();
        let editor =
            ContractEditor { platform: &self.platform, peers: &self.peers, customer, token };
        report_reply(&editor.apply(&edit).await)
    }

    /// Returns a token that is unique across VMs, restarts and edits.
    fn new_token(&self) -> String {
        self.edits.set(self.edits.get() + 1);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        format!("{}-{:x}-{}", self.kernel.settings().vm, now.as_nanos(), self.edits.get())
    }
}

/// Handlers for status and operation.
impl AdminState {
    fn is_allowed(&self, call: &HttpCall) -> bool {
        match &self.kernel.settings().operator_token {
            None => true,
            Some(token) => call.header("authorization") == Some(&format!("Bearer {token}")),
        }
    }

    fn status(&self) -> VmStatus {
        let settings = self.kernel.settings();
        VmStatus {
            vm: settings.vm.to_string(),
            failure_domain: settings.failure_domain.to_string(),
            is_ready: self.peers.can_serve(),
            is_leaving: self.directory.is_leaving(),
            contact: self.peers.contact_label().to_owned(),
            revision: self.directory.revision(),
            contracts: self.directory.contracts().len(),
            targets: self.directory.targets().len(),
            platform_calls: self.platform.calls(),
            evacuated: self.peers.evacuated_domains().iter().map(ToString::to_string).collect(),
        }
    }

    fn routing(&self) -> HttpReply {
        match self.kernel.routes() {
            Ok(routes) => HttpReply::json(StatusCode::OK, &routes.status()),
            Err(_) => not_found("this VM serves no routes of opaque requests"),
        }
    }

    fn explain(&self, call: &HttpCall) -> HttpReply {
        let customer = call.parameter("customer").unwrap_or_default();
        let class = call.parameter("class").unwrap_or_default();
        match explain_route(&self.directory, customer, class) {
            Some(explanation) => HttpReply::json(StatusCode::OK, &explanation),
            None => not_found("no such customer and class; give ?customer=&class="),
        }
    }

    fn drain(&self) -> HttpReply {
        log::info!("drain requested by an operator");
        self.kernel.request_drain();
        HttpReply::text(StatusCode::ACCEPTED, "draining\n")
    }
}

fn validate(call: &HttpCall) -> HttpReply {
    let value: Value = match serde_json::from_slice(&call.body) {
        Ok(value) => value,
        Err(error) => return report_reply(&invalid_report(body_finding(&error))),
    };
    let customer = value["customer"].as_str().unwrap_or_default();
    match check_contract(&value, customer) {
        Ok(_) => report_reply(&report_without_details(EditVerdict::Valid, "it can be applied")),
        Err(findings) => report_reply(&invalid_report(findings)),
    }
}

fn body_finding(error: &serde_json::Error) -> FindingList {
    let mut findings = FindingList::default();
    findings.add("body", error.to_string());
    findings
}

fn platform_reply(error: &PlatformError) -> HttpReply {
    match error {
        PlatformError::NotFound => not_found("there is no such contract"),
        _ => HttpReply::text(StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n")),
    }
}

fn not_found(text: &str) -> HttpReply {
    HttpReply::text(StatusCode::NOT_FOUND, format!("{text}\n"))
}
