//! The listener for operators.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use futures_util::FutureExt;
use oleanderwind_http::HttpCall;
use oleanderwind_http::HttpLimits;
use oleanderwind_http::HttpListener;
use oleanderwind_http::HttpReply;
use serde::Serialize;

use crate::directory::DirectoryService;
use crate::kernel::Kernel;
use crate::platform::PlatformService;

/// How long a drain waits for operators' open calls.
const DRAIN_PATIENCE: Duration = Duration::from_secs(1);

/// The reply to `GET /v1/status`.
#[derive(Debug, Serialize)]
struct VmStatus {
    vm: String,
    failure_domain: String,
    is_ready: bool,
    is_leaving: bool,
    /// Highest configuration revision in force.
    revision: u64,
    contracts: usize,
    targets: usize,
    platform_calls: u64,
}

/// Serves operators.
pub(crate) struct AdminService {
    listener: HttpListener,
}

/// What the handlers need.
struct AdminState {
    kernel: Rc<Kernel>,
    directory: Rc<DirectoryService>,
    platform: Rc<PlatformService>,
}

impl AdminService {
    /// Binds the operators' address.
    ///
    /// # Errors
    ///
    /// When the address can't be bound or a service is missing.
    pub(crate) async fn start(kernel: &Rc<Kernel>) -> eyre::Result<AdminService> {
        let state = Rc::new(AdminState {
            kernel: kernel.clone(),
            directory: kernel.directory()?,
            platform: kernel.platform()?,
        });
        let handler = Rc::new(move |call| serve(state.clone(), call).boxed_local());
        let address = kernel.settings().admin_listen;
        let listener = HttpListener::bind(address, HttpLimits::default(), handler).await?;
        Ok(AdminService { listener })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Ends the listener.
    pub(crate) async fn drain(&self) {
        self.listener.drain(DRAIN_PATIENCE).await;
    }
}

async fn serve(state: Rc<AdminState>, call: HttpCall) -> HttpReply {
    match (&call.method, call.segments().as_slice()) {
        (&Method::GET, ["v1", "status"]) => HttpReply::json(StatusCode::OK, &state.status()),
        _ => HttpReply::text(StatusCode::NOT_FOUND, "not served here\n"),
    }
}

impl AdminState {
    fn status(&self) -> VmStatus {
        let settings = self.kernel.settings();
        VmStatus {
            vm: settings.vm.to_string(),
            failure_domain: settings.failure_domain.to_string(),
            is_ready: self.directory.is_ready(),
            is_leaving: self.directory.is_leaving(),
            revision: self.directory.revision(),
            contracts: self.directory.contracts().len(),
            targets: self.directory.targets().len(),
            platform_calls: self.platform.calls(),
        }
    }
}
