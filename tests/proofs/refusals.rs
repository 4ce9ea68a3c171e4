//! Run state of searches, for every way in which a search can end.
//!
//! Guards against an answer that reports "not run" although a searcher ran the search, and against
//! one that reports a run that did not happen.

use std::time::Duration;

use oleanderwind::RefusalKind;
use oleanderwind_policy::FinishReason;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_policy::RunState;
use oleanderwind_policy::WorkFingerprint;
use oleanderwind_standin::FaultScope;
use oleanderwind_standin::PlatformFault;
use oleanderwind_standin::SearcherFault;
use oleanderwind_standin::SilenceManner;
use oleanderwind_wire::CallerAnswer;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::SearchFleet;
use crate::support::wait_for;

/// How long searchers keep an old snapshot.
const SNAPSHOT_KEEP: Duration = Duration::from_secs(10);
/// Customer of every request.
const CUSTOMER: &str = "tsagaan-ordon";
/// Index version that no searcher holds.
const UNHELD_VERSION: u64 = 1_000;

/// Number of requests for each end.
const TURNS: u64 = 40;

/// Every way in which a search can end.
#[derive(Clone, Copy, Debug)]
enum SearchEnd {
    Refused(RefusalKind),
    Finished(FinishReason),
}

/// Every end; [`provoke`] and [`reason`] match exhaustively, so that a new kind fails to compile.
const SEARCH_ENDS: [SearchEnd; 14] = [
    SearchEnd::Refused(RefusalKind::BadRequest),
    SearchEnd::Refused(RefusalKind::UnknownCustomer),
    SearchEnd::Refused(RefusalKind::UnknownPath),
    SearchEnd::Refused(RefusalKind::NotReady),
    SearchEnd::Refused(RefusalKind::OverLimit { retry_after: Duration::ZERO }),
    SearchEnd::Refused(RefusalKind::NoSnapshot),
    SearchEnd::Finished(FinishReason::Complete),
    SearchEnd::Finished(FinishReason::FloorMet),
    SearchEnd::Finished(FinishReason::DeadlineNear),
    SearchEnd::Finished(FinishReason::TargetsBusy),
    SearchEnd::Finished(FinishReason::ShardLost),
    SearchEnd::Finished(FinishReason::SnapshotRetired),
    SearchEnd::Finished(FinishReason::Quarantined),
    SearchEnd::Finished(FinishReason::Abandoned),
];

/// A request that meets a provoked end.
struct ProvokedRequest {
    vm: usize,
    customer: &'static str,
    class: &'static str,
    deadline_ms: Option<u64>,
}

impl ProvokedRequest {
    fn of_class(class: &'static str) -> ProvokedRequest {
        ProvokedRequest { vm: 0, customer: CUSTOMER, class, deadline_ms: None }
    }
}

/// Returns the query of a request for an end.
fn query_of(end: SearchEnd, turn: u64) -> String {
    format!("{end:?}-{turn}")
}

/// Sets up the conditions of an end and returns the request that meets it.
async fn provoke(searches: &mut SearchFleet, end: SearchEnd) -> ProvokedRequest {
    let request = ProvokedRequest::of_class;
    match end {
        SearchEnd::Refused(kind) => match kind {
            RefusalKind::BadRequest => request("no-such-class"),
            RefusalKind::UnknownCustomer => {
                ProvokedRequest { customer: "nobody", ..request("module-finder") }
            }
            RefusalKind::UnknownPath => {
                ProvokedRequest { customer: "a/b", ..request("module-finder") }
            }
            RefusalKind::NotReady => {
                let fault = PlatformFault::Outage { manner: SilenceManner::Closed };
                searches.fleet.standin.apply_platform_fault(fault);
                let vm = searches.fleet.start_unpublished_vm().await;
                ProvokedRequest { vm, ..request("module-finder") }
            }
            RefusalKind::OverLimit { .. } => {
                searches.fleet.set_customer_rate(0, CUSTOMER, 0.5).await;
                request("module-finder")
            }
            RefusalKind::NoSnapshot => {
                searches.move_to_provider_without_snapshot().await;
                request("module-finder")
            }
        },
        SearchEnd::Finished(reason) => match reason {
            FinishReason::Complete => request("module-finder"),
            FinishReason::FloorMet => {
                let slow = SearcherFault::Delay { extra_ms: 1_000 };
                searches.publish_all(20);
                searches.inject_searcher_faults("member-app", 0..2, slow);
                ProvokedRequest { customer: "haneul", ..request("find-bed") }
            }
            FinishReason::DeadlineNear => {
                ProvokedRequest { deadline_ms: Some(1), ..request("certificate-check") }
            }
            FinishReason::TargetsBusy => {
                searches.inject_fault(FaultScope::All, SearcherFault::Shed);
                request("module-finder")
            }
            FinishReason::ShardLost => {
                searches.inject_fault(FaultScope::All, SearcherFault::Down);
                request("module-finder")
            }
            FinishReason::SnapshotRetired => {
                searches.publish_unheld_snapshot().await;
                request("module-finder")
            }
            FinishReason::Quarantined => {
                for turn in 0..TURNS {
                    searches.block_work("module-finder", &query_of(end, turn)).await;
                }
                request("module-finder")
            }
            FinishReason::Abandoned => {
                searches.inject_fault(FaultScope::All, SearcherFault::Delay { extra_ms: 700 });
                request("certificate-check")
            }
        },
    }
}

/// Returns the reason in the answer; `None` for complete answers and disconnected callers.
fn reason(end: SearchEnd) -> Option<&'static str> {
    match end {
        SearchEnd::Refused(kind) => Some(kind.reason()),
        SearchEnd::Finished(reason) => match reason {
            FinishReason::Complete | FinishReason::Abandoned => None,
            FinishReason::FloorMet => Some("floor_met"),
            FinishReason::DeadlineNear => Some("deadline_near"),
            FinishReason::TargetsBusy => Some("targets_busy"),
            FinishReason::ShardLost => Some("shard_lost"),
            FinishReason::SnapshotRetired => Some("snapshot_retired"),
            FinishReason::Quarantined => Some("quarantined"),
        },
    }
}

impl SearchFleet {
    /// Moves the customer to a provider that has no snapshot.
    async fn move_to_provider_without_snapshot(&self) {
        let path = format!("/v1/contracts/{CUSTOMER}");
        let admin = self.fleet.admin_address(0);
        let mut document = self.fleet.caller.get(&admin, &path).await.unwrap();
        document["contract"]["placement"][0]["provider"] = json!("beta");
        self.fleet.standin.put_object("contracts", CUSTOMER, &document["contract"]);
        let caller = &self.fleet.caller;
        wait_for("the contract is in force", async || {
            let list = caller.get(&admin, "/v1/contracts").await.unwrap();
            list.to_string().contains("beta")
        })
        .await;
    }

    /// Publishes a snapshot that no searcher holds.
    async fn publish_unheld_snapshot(&self) {
        let platform = self.fleet.standin.platform_address().to_string();
        let path = "/apis/oleanderwind/v1/snapshots/course-finder.alpha";
        let object = self.fleet.caller.get(&platform, path).await.unwrap();
        let mut manifest = object["spec"].clone();
        manifest["index_version"] = json!(UNHELD_VERSION);
        self.fleet.standin.put_object("snapshots", "course-finder.alpha", &manifest);
        wait_for("the snapshot is known", async || {
            let vm = self.fleet.caller_address(0);
            let answer = self.fleet.caller.search(&vm, CUSTOMER, "module-finder", "probe").await;
            answer.is_some_and(|answer| answer.snapshot == Some(UNHELD_VERSION))
        })
        .await;
    }

    /// Blocks the search of one class by an operator's order.
    async fn block_work(&self, class: &str, query: &str) {
        let parts = [CUSTOMER.as_bytes(), class.as_bytes(), query.as_bytes()];
        let path = format!("/v1/quarantine/{}/block", WorkFingerprint::of(&parts));
        let admin = self.fleet.admin_address(0);
        let reply = self.fleet.caller.post(&admin, &path, &json!({})).await.unwrap();
        assert_eq!(reply["state"], "blocked", "{reply}");
    }

    async fn send(&self, request: &ProvokedRequest, query: &str) -> CallerAnswer {
        let mut body = json!({ "class": request.class, "query": query });
        if let Some(deadline_ms) = request.deadline_ms {
            body["deadline_ms"] = json!(deadline_ms);
        }
        let address = self.fleet.caller_address(request.vm);
        let path = format!("/v1/customers/{}/requests", request.customer);
        let answer = self.fleet.caller.post(&address, &path, &body).await;
        serde_json::from_value(answer.unwrap()).unwrap()
    }

    /// Checks that the run state of the answer is what the searchers did.
    fn check_run_state(&self, query: &str, answer: &CallerAnswer) {
        let has_run = self.fleet.standin.has_run_query(query);
        match answer.ran {
            RunState::No => {
                assert!(!has_run, "{query}: reported as not run, but it ran: {answer:?}");
                assert_eq!(answer.outcome, RequestOutcome::NotRun, "{query}");
            }
            RunState::Yes => assert!(has_run, "{query}: reported as run, but it did not run"),
            RunState::Unknown => assert_eq!(answer.outcome, RequestOutcome::Unknown, "{query}"),
        }
    }
}

#[actix_rt::test]
async fn search_reports_whether_it_ran_for_every_end() {
    for end in SEARCH_ENDS {
        let mut searches = SearchFleet::start(1, SNAPSHOT_KEEP).await;
        searches.fleet.standin.record_queries();
        let mut request = provoke(&mut searches, end).await;
        if matches!(end, SearchEnd::Finished(FinishReason::Abandoned)) {
            disconnect_mid_request(&searches, &request).await;
            continue;
        }
        let mut reasons = Vec::new();
        for turn in 0..TURNS {
            // Deadlines of 1 to 8 ms end before, during and after the run of a searcher.
            request.deadline_ms = request.deadline_ms.map(|_| 1 + turn % 8);
            let query = query_of(end, turn);
            let answer = searches.send(&request, &query).await;
            searches.check_run_state(&query, &answer);
            reasons.push(answer.refusal.map(|refusal| refusal.reason));
        }
        let wanted = reason(end).map(str::to_owned);
        assert!(reasons.contains(&wanted), "{end:?} was never seen: {reasons:?}");
    }
}

/// Disconnects a caller during its request and checks that its call at the searcher is cancelled.
async fn disconnect_mid_request(searches: &SearchFleet, request: &ProvokedRequest) {
    let body = json!({ "class": request.class, "query": "dropped" }).to_string();
    let head = format!(
        "POST /v1/customers/{}/requests HTTP/1.1\r\nhost: vm\r\ncontent-length: {}\r\n\r\n",
        request.customer,
        body.len()
    );
    let mut stream = TcpStream::connect(searches.fleet.caller_address(0)).await.unwrap();
    stream.write_all((head + &body).as_bytes()).await.unwrap();
    let standin = &searches.fleet.standin;
    wait_for("the request runs", async || standin.has_run_query("dropped")).await;
    drop(stream);
    let cancel_time = Duration::from_secs(2);
    tokio::time::sleep(cancel_time).await;
    let cancelled: u64 = standin.calls().iter().map(|report| report.cancelled).sum();
    assert_eq!(cancelled, 1, "calls cancelled after the caller disconnected");
    let query = "after the drop";
    let answer = searches.send(request, query).await;
    assert_eq!(answer.outcome, RequestOutcome::Answered);
}
