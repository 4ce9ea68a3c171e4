//! Connections that go silent for good while new ones work.
//!
//! Guards against VMs that keep using, or never release, connections whose other end has stopped
//! answering, and so exhaust connection limits or block requests and edits.

use std::time::Duration;

use futures_util::future::join;
use oleanderwind_standin::CallReport;
use oleanderwind_standin::FaultScope;
use oleanderwind_standin::PlatformFault;
use oleanderwind_standin::SearcherFault;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::support::SearchFleet;
use crate::support::wait_for;

/// VMs of a deployment at its present size.
const VMS: usize = 7;
/// How long searchers keep an old snapshot.
const SNAPSHOT_KEEP: Duration = Duration::from_secs(10);
/// Longest time after which a VM must have released the connection of a silent caller.
const SILENT_CALLER_TIMEOUT: Duration = Duration::from_secs(20);
/// Most attempts at an edit, as silent platform connections may fail the first ones.
const MAX_EDITS: usize = 5;

/// Opens connections of callers that go silent in the head or in the body of a request.
async fn open_silent_callers(address: &str) -> Vec<TcpStream> {
    let head = "POST /v1/customers/haneul/requests HTTP/1.1\r\nhost: vm\r\n";
    let part = format!("{head}content-length: 50\r\n\r\n{{\"class\"");
    let mut streams = Vec::new();
    for text in [head, part.as_str()] {
        for _ in 0..20 {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(text.as_bytes()).await.unwrap();
            streams.push(stream);
        }
    }
    streams
}

/// Checks that the VM closes each connection by itself and reports no run.
async fn assert_released(streams: Vec<TcpStream>) {
    for mut stream in streams {
        let mut reply = Vec::new();
        let end = timeout(SILENT_CALLER_TIMEOUT, stream.read_to_end(&mut reply)).await;
        assert!(end.is_ok(), "a silent caller still holds its connection");
        let reply = String::from_utf8_lossy(&reply);
        assert!(!reply.contains("\"ran\":\"yes\""), "{reply}");
    }
}

/// Edits a rate limit until it is accepted, and waits until it is in force on every VM.
async fn edit_until_in_force(searches: &SearchFleet, rate: f64) {
    let fleet = &searches.fleet;
    let admin = fleet.admin_address(0);
    let path = "/v1/contracts/haneul";
    let mut verdict = json!(null);
    for _ in 0..MAX_EDITS {
        let Some(mut document) = fleet.caller.get(&admin, path).await else { continue };
        if document.get("contract").is_none() {
            continue;
        }
        document["contract"]["requests_per_second"] = json!(rate);
        let edit = json!({
            "expected_revision": document["revision"],
            "operator": "proof",
            "contract": document["contract"],
        });
        verdict = fleet.caller.put(&admin, path, &edit).await.unwrap()["verdict"].clone();
        if verdict == "accepted" {
            break;
        }
    }
    assert_eq!(verdict, "accepted");
    for vm in 0..fleet.vms.len() {
        let admin = fleet.admin_address(vm);
        wait_for("the edit is in force", async || {
            let list = fleet.caller.get(&admin, "/v1/contracts").await.unwrap();
            list.as_array()
                .unwrap()
                .iter()
                .any(|found| found["contract"]["requests_per_second"].as_f64() == Some(rate))
        })
        .await;
    }
}

#[actix_rt::test]
async fn search_survives_silent_connections_to_targets() {
    let searches = SearchFleet::start(VMS, SNAPSHOT_KEEP).await;
    searches.expect_recovery(50).await;
    searches.inject_fault(FaultScope::All, SearcherFault::SilenceConnections);
    searches.run(60, 10).await;
    searches.expect_recovery(61).await;
    assert_eq!(searches.over_limit(), 0, "connections over a searcher's limit");
}

#[actix_rt::test]
async fn search_survives_targets_that_hold_every_call() {
    let searches = SearchFleet::start(2, SNAPSHOT_KEEP).await;
    searches.expect_recovery(70).await;
    for fault in [SearcherFault::Freeze, SearcherFault::Delay { extra_ms: 1_500 }] {
        searches.inject_fault(FaultScope::All, fault);
        searches.run(80, 2).await;
        searches.inject_fault(FaultScope::All, SearcherFault::Clear);
        searches.expect_recovery(81).await;
    }
    assert_eq!(searches.over_limit(), 0, "connections over a searcher's limit");
}

#[actix_rt::test]
async fn vm_survives_silent_connections_on_every_side_at_once() {
    let searches = SearchFleet::start(VMS, SNAPSHOT_KEEP).await;
    searches.expect_recovery(90).await;
    searches.fleet.standin.apply_platform_fault(PlatformFault::SilenceConnections);
    searches.inject_fault(FaultScope::All, SearcherFault::SilenceConnections);
    let streams = open_silent_callers(&searches.fleet.caller_address(0)).await;
    searches.run(91, 10).await;
    searches.expect_recovery(92).await;
    join(edit_until_in_force(&searches, 777.0), assert_released(streams)).await;
    let reports: Vec<CallReport> = searches.fleet.standin.calls();
    let peak = reports.iter().map(|report| report.peak_connections).max();
    println!("most connections at a searcher: {peak:?}");
    assert_eq!(searches.over_limit(), 0, "connections over a searcher's limit");
}

#[actix_rt::test]
async fn vm_survives_silent_connections_to_the_platform() {
    let searches = SearchFleet::start(2, SNAPSHOT_KEEP).await;
    searches.fleet.standin.apply_platform_fault(PlatformFault::SilenceConnections);
    // Searches do not depend on the platform.
    searches.expect_recovery(95).await;
    edit_until_in_force(&searches, 888.0).await;
}
