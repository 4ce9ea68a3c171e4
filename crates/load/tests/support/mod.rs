//! Fake VM that serves the callers' interface, and settings of short runs against it.
#![allow(dead_code)]

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::HttpService;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_service::Service;
use actix_service::ServiceFactory;
use futures_util::StreamExt;
use oleanderwind_load::DeploymentName;
use oleanderwind_load::RunSettings;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use oleanderwind_wire::AddressAnswer;
use oleanderwind_wire::CallerAnswer;
use oleanderwind_wire::CoverageReport;
use oleanderwind_wire::SearchHit;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Behaviour of a fake VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FakeBehaviour {
    /// Answers every request correctly.
    Correct,
    /// Answers with a wrong digest.
    WrongDigest,
    /// Answers with the id of another request.
    WrongId,
    /// Reports more covered documents than there are.
    WrongCoverage,
    /// Refuses the first attempt of each request and answers every later one with the same id.
    RefusesFirst,
    /// Delays the answer to the first request by this time.
    DelaysFirst(Duration),
    /// Closes each connection after the first byte of a request.
    ClosesConnections,
}

/// Headers of a received request.
#[derive(Clone, Debug)]
pub(crate) struct SeenRequest {
    pub(crate) id: String,
    pub(crate) key: Option<String>,
    pub(crate) attempt: Option<String>,
}

/// Running fake VM.
pub(crate) struct FakeVm {
    pub(crate) address: String,
    pub(crate) seen: Rc<RefCell<Vec<SeenRequest>>>,
    pub(crate) addresses: Rc<RefCell<Vec<String>>>,
    pub(crate) address_calls: Rc<Cell<u64>>,
    behaviour: FakeBehaviour,
}

impl FakeVm {
    /// Starts a VM whose address answer lists its own address.
    pub(crate) async fn start(behaviour: FakeBehaviour) -> Rc<FakeVm> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let vm = Rc::new(FakeVm {
            address: address.clone(),
            seen: Rc::default(),
            addresses: Rc::new(RefCell::new(vec![address])),
            address_calls: Rc::default(),
            behaviour,
        });
        actix_rt::spawn(serve(vm.clone(), listener));
        vm
    }

    /// Builds the reply to one request.
    async fn reply(&self, mut request: Request) -> Response<BoxBody> {
        if request.path() == "/metrics" {
            let calls = self.seen.borrow().len();
            return Response::ok().set_body(BoxBody::new(format!(
                "oleanderwind_primary_calls_total{{customer=\"haneul\"}} {}\n\
                 oleanderwind_extra_calls_total{{customer=\"haneul\"}} {calls}\n",
                calls * 20
            )));
        }
        if request.path() == "/v1/addresses" {
            self.address_calls.set(self.address_calls.get() + 1);
            let addresses = self.addresses.borrow().clone();
            return json(
                200,
                &AddressAnswer { customer: "haneul".into(), addresses, keep_ms: 60_000 },
            );
        }
        let mut payload: Payload = request.take_payload();
        while payload.next().await.is_some() {}
        let header = |name| {
            let value = request.headers().get(name)?;
            value.to_str().ok().map(str::to_string)
        };
        let id: String = header("X-Request-Id").unwrap();
        let earlier_attempts = self.seen.borrow().iter().filter(|seen| seen.id == id).count();
        let key = header("Idempotency-Key");
        let attempt = header("Idempotency-Attempt");
        let is_search = key.is_none();
        self.seen.borrow_mut().push(SeenRequest { id: id.clone(), key, attempt });
        if let FakeBehaviour::DelaysFirst(delay) = self.behaviour
            && self.seen.borrow().len() == 1
        {
            actix_rt::time::sleep(delay).await;
        }
        if self.behaviour == FakeBehaviour::RefusesFirst && earlier_attempts == 0 {
            return json(503, &refusal(&id));
        }
        let mut answer = if is_search { search_answer(&id) } else { execute_answer(&id) };
        match self.behaviour {
            FakeBehaviour::WrongDigest => answer.digest = "0".repeat(16),
            FakeBehaviour::WrongId => answer.request_id.push('x'),
            FakeBehaviour::WrongCoverage => {
                answer.coverage = Some(CoverageReport { documents_covered: 11, ..full_coverage() });
            }
            _ => {}
        }
        json(200, &answer)
    }
}

/// Accepts connections until the runtime ends.
async fn serve(vm: Rc<FakeVm>, listener: TcpListener) {
    let handler = vm.clone();
    let factory = HttpService::build()
        .finish(move |request: Request| {
            let vm = handler.clone();
            async move { Ok::<_, actix_http::Error>(vm.reply(request).await) }
        })
        .tcp();
    let service = factory.new_service(()).await.unwrap();
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        if vm.behaviour == FakeBehaviour::ClosesConnections {
            let _ = stream.read(&mut [0; 1]).await;
            continue;
        }
        actix_rt::spawn(service.call(stream));
    }
}

/// Builds a JSON response.
fn json<T: serde::Serialize>(status: u16, body: &T) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap();
    Response::new(status).set_body(BoxBody::new(serde_json::to_vec(body).unwrap()))
}

/// Returns the coverage of a complete snapshot.
pub(crate) fn full_coverage() -> CoverageReport {
    CoverageReport {
        documents_covered: 10,
        documents_total: 10,
        shards_answered: 2,
        shards_total: 2,
    }
}

/// Returns a correct answer to a search.
pub(crate) fn search_answer(id: &str) -> CallerAnswer {
    let mut answer = CallerAnswer {
        request_id: id.to_string(),
        outcome: RequestOutcome::Answered,
        ran: RunState::Yes,
        snapshot: Some(7),
        coverage: Some(full_coverage()),
        hits: vec![SearchHit { score: 9, document: 4 }, SearchHit { score: 3, document: 5 }],
        result: None,
        refusal: None,
        retry_after_ms: None,
        digest: String::new(),
    };
    answer.digest = answer.content_digest();
    answer
}

/// Returns a correct answer to an operation.
pub(crate) fn execute_answer(id: &str) -> CallerAnswer {
    let mut answer = CallerAnswer {
        snapshot: None,
        coverage: None,
        hits: Vec::new(),
        result: Some("booked".to_string()),
        ..search_answer(id)
    };
    answer.digest = answer.content_digest();
    answer
}

/// Returns a refusal of a request that was not run.
pub(crate) fn refusal(id: &str) -> CallerAnswer {
    CallerAnswer {
        outcome: RequestOutcome::NotRun,
        ran: RunState::No,
        hits: Vec::new(),
        result: None,
        snapshot: None,
        coverage: None,
        retry_after_ms: Some(1),
        digest: String::new(),
        ..search_answer(id)
    }
}

/// Returns settings of a short run of `haneul` with the seed addresses `seeds`.
pub(crate) fn short_run(seeds: &[&str], count: u64) -> RunSettings {
    RunSettings {
        deployments: vec![DeploymentName::Haneul],
        seed_addresses: seeds.iter().map(|seed| seed.to_string()).collect(),
        rate: 1_000.0,
        duration_ms: 60_000,
        count,
        seed: 5,
        repeat_permille: 1_000,
        concurrency: 100,
        callers: 2,
        timeout_ms: 20_000,
        progress_ms: 60_000,
        metrics_addresses: Vec::new(),
        pids: Vec::new(),
        ..RunSettings::default()
    }
}
